"""One connection to a server, and the parser of the responses that come on it."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from typing import Protocol, cast

import httptools
import structlog
from fielddrift_core.outside_values import ValueOutOfRange, whole_number_of

from .errors import GARBLED_REASON, RESET_REASON, BoundExceeded, ExchangeError
from .exchange import Exchange
from .host_memory import bound_receive_buffer
from .messages import MESSAGE_LENGTH, STATUS, Framing, Headers, ResponseHead
from .server import prepare_socket, probe_silent_path

__all__ = ["Connection", "LiveConnection"]

_DEFAULT_IDLE_LIMIT_SECONDS = 4.0
"""How long an idle connection is reused if the server sends no Keep-Alive timeout."""
_IDLE_LIMIT_FRACTION = 0.7
"""Fraction of the Keep-Alive timeout of the server for which an idle connection is reused."""
_MAX_MISMATCHED_COUNT = 3
"""Responses to earlier requests that are skipped before the connection is closed."""
_MAX_SKIPPED_BYTES = 4 * 1024 * 1024
"""Bytes of such responses together, before the connection is closed."""
_MAX_HEAD_BYTES = 64 * 1024
"""What may come before the body of an answer: its head, interim heads and blank lines before it."""
_MAX_FIELD_COUNT = 4096
"""Fields of these heads."""
_MAX_FRAMING_BYTES = 64 * 1024
"""What may come between two parts of a body or behind it: extensions of chunks, and trailers."""
_FIELD_OVERHEAD_BYTES = 4
"""Bytes of a field besides its name and value: colon, space and line end."""
_MAX_REQUEST_ID_COUNT = 256
"""Requests with ids that one connection carries.  All of their ids are remembered, in some 24 KB,
so that no id is sent twice on a connection; the connection that has carried this many is closed."""
_MAX_ANSWER_COUNT = 256
"""Answers without an id that one connection carries: digests of all of them are remembered."""
_DIGEST_BYTES = 8
"""Size of a digest."""

_log = structlog.get_logger()


class LiveConnection(Protocol):
    """An established connection, whose end is noticed while it is read from."""

    @property
    def is_reading(self) -> bool:
        """Return whether the connection is open, and its end would be noticed."""


class Connection(asyncio.BufferedProtocol):
    """One connection to a server; it carries one exchange at a time.

    `released` is called when the connection may be reused, `lost` when it is closed.  Bytes are
    read into `read_buffer`, which bounds a read and may be shared with other connections.
    """

    def __init__(
        self,
        *,
        released: Callable[[Connection], None],
        lost: Callable[[Connection], None],
        read_buffer: memoryview,
    ) -> None:
        self._read_buffer = read_buffer
        self._carrier_process = ""
        self._process = ""
        self._is_reserved = False
        self._release = released
        self._lost = lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._reusable = True
        self._answered = True
        self._parser = httptools.HttpResponseParser(self)
        self._ends_at_close = False
        self._expects_body = True
        self._skipping = False
        self._skips_mismatched = False
        """Whether an answer to another request is being skipped."""
        self._request_ids: set[int] = set()
        """The hashes of the ids of the requests that the connection carried."""
        self._answers: set[bytes] = set()
        """The digests of the answers without an id that the connection carried."""
        self._digest: hashlib.blake2b | None = None
        """That of the answer being read, None if it is not compared with others."""
        self._fields = Headers()
        self._head_complete = False
        self._awaits_answer = True
        """Whether the head of the answer to the request has not come whole."""
        self._field_count = 0
        self._fields_bytes = 0
        """Count and size of the fields since the request was sent."""
        self._framing_bytes = 0
        """Bytes since the request was sent, or since the last bytes of a body."""
        self._idle_limit_seconds = _DEFAULT_IDLE_LIMIT_SECONDS
        self._is_timeout_left_out = False
        """Whether a Keep-Alive timeout out of range has been logged."""
        self.idle_since = self._loop.time()

    # --- state --------------------------------------------------------------

    @property
    def carrier_process(self) -> str:
        """Return the id of the process that carries the connection, empty for none or unknown."""
        return self._carrier_process

    def set_carrier_process(self, process: str) -> None:
        """Set the id of the process of another node that carries the connection."""
        self._carrier_process = process

    @property
    def process(self) -> str:
        """Return the name of the process to which the connection leads, empty if not known."""
        return self._process

    def set_process(self, process: str) -> None:
        """Set the name of the process to which the connection leads."""
        self._process = process

    def reserve(self) -> None:
        """Keep the connection from becoming idle at the end of its next exchange."""
        self._is_reserved = True

    @property
    def usable(self) -> bool:
        """Return whether the connection may carry another exchange."""
        return self._reusable and self._transport is not None and not self._transport.is_closing()

    @property
    def is_reading(self) -> bool:
        """Return whether the connection is open, and its end would be noticed."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and transport.is_reading()

    def can_reuse(self, now: float, max_idle_seconds: float | None) -> bool:
        """Return whether the server certainly still accepts a request here at `now`.

        `max_idle_seconds`, if given, bounds the idle time further.
        """
        limit = (
            self._idle_limit_seconds
            if max_idle_seconds is None
            else min(self._idle_limit_seconds, max_idle_seconds)
        )
        return self.usable and now - self.idle_since <= limit

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id may have been sent here; empty stands for none."""
        return request_id != "" and hash(request_id) in self._request_ids

    def begin(
        self, exchange: Exchange, data: bytes, *, request_id: str = "", compares: bool = True
    ) -> None:
        """Send `data`, a complete request, for `exchange`; `request_id` is empty for none.

        With `compares` an answer without an id is compared with earlier ones.
        """
        assert self._transport is not None
        self._digest = None
        if compares and not request_id:
            self._digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        if request_id:
            self._request_ids.add(hash(request_id))
            if len(self._request_ids) >= _MAX_REQUEST_ID_COUNT:
                self._reusable = False
        self._exchange = exchange
        self._expects_body = not data.startswith(b"HEAD ")
        self._answered = False
        self._skipped_count = self._skipped_bytes = 0
        self._skips_mismatched = False
        self._expect_head()
        self._transport.write(data)

    def forbid_reuse(self) -> None:
        """Close the connection at the end of its exchange."""
        self._reusable = False

    def fail(self, detail: str, reason: str) -> None:
        """Abort the connection, and end the exchange on it with an error."""
        self._fail(detail, reason)
        self.close()

    def close(self) -> None:
        """Abort the connection and the exchange on it."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    # --- asyncio ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        prepare_socket(transport)
        probe_silent_path(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._data_received(self._read_buffer[:nbytes])

    def _data_received(self, data: memoryview) -> None:
        if self._exchange is None:
            # No request is pending, so these bytes answer none.
            self.close()
            return
        self._exchange.on_bytes()
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_skipped(len(data))
            self._check_framing(len(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, BoundExceeded) as error:
            if self._exchange is not None:
                # The parser wraps what its callbacks raise.
                is_wrapped = isinstance(error, httptools.HttpParserCallbackError)
                cause = error.__context__ if is_wrapped else error
                self._fail(f"not a valid HTTP response: {cause}", GARBLED_REASON)
            self.close()

    def _expect_head(self) -> None:
        """Start the counts that bound what comes before the answer's body."""
        self._awaits_answer = True
        self._field_count = self._fields_bytes = self._framing_bytes = 0

    def _check_skipped(self, read_bytes: int) -> None:
        """End the exchange if too much of answers to other requests has come."""
        if not self._skips_mismatched or self._exchange is None:
            return
        # A read in which one such answer ends and another begins is counted once.
        self._skipped_bytes += read_bytes
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            error = BoundExceeded("skipped answers", self._skipped_bytes, _MAX_SKIPPED_BYTES)
            self._fail(str(error), "mismatch")
            self.close()

    def _check_framing(self, read_bytes: int) -> None:
        """Raise `BoundExceeded` if too much that is no body has come, but for the last read.

        The parser reports a field only at its end, and of other framing nothing at all.
        """
        if self._skips_mismatched or self._exchange is None:
            return
        part, limit = "framing of a body", _MAX_FRAMING_BYTES
        if self._awaits_answer:
            part, limit = "head", _MAX_HEAD_BYTES
        if self._framing_bytes > limit + read_bytes:
            raise BoundExceeded(part, self._framing_bytes, limit)

    def eof_received(self) -> bool:
        exchange = self._exchange
        if exchange is not None and self._ends_at_close and not self._skipping:
            self._reusable = False
            self._finish(exchange)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._reusable = False
        if self._exchange is not None:
            self._fail(f"connection lost: {exc or 'closed'}", RESET_REASON)
        self._lost(self)

    def pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def bound_receive_buffer(self) -> None:
        """Keep the kernel from growing the receive buffer."""
        if self._transport is not None:
            bound_receive_buffer(self._transport)

    def resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # --- httptools ----------------------------------------------------------

    def on_message_begin(self) -> None:
        self._fields = Headers()
        self._head_complete = False
        self._ends_at_close = False
        self._skipping = False
        if self._skips_mismatched:
            self._skips_mismatched = False
            self._expect_head()
        if self._answered:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are discarded: nothing has checked their names.
        if self._head_complete:
            return
        self._fields.add(name, value)
        self._field_count += 1
        if self._field_count > _MAX_FIELD_COUNT:
            raise BoundExceeded("head", self._field_count, _MAX_FIELD_COUNT, "fields")
        self._fields_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._fields_bytes > _MAX_HEAD_BYTES:
            raise BoundExceeded("head", self._fields_bytes, _MAX_HEAD_BYTES)

    def on_headers_complete(self) -> None:
        self._head_complete = True
        status = whole_number_of("status", self._parser.get_status_code(), STATUS)
        exchange = self._exchange
        if self._answered or exchange is None or status < 200:
            self._skipping = True
            return
        fields = self._fields
        head = ResponseHead(status, fields, _length(fields), False)
        self._ends_at_close = head.framing is Framing.CLOSE
        keep = self._parser.should_keep_alive() and not self._ends_at_close
        head = head._replace(keep_alive=keep)
        if not exchange.accepts(head):
            self._skipping = True
            self._skips_mismatched = True
            self._skipped_count += 1
            if self._skipped_count > _MAX_MISMATCHED_COUNT or self._ends_at_close:
                self._fail("only answers to other requests", "mismatch")
                self.close()
            return
        self._awaits_answer = False
        self._framing_bytes = 0
        if self._digest is not None:
            self._digest.update(b"%d " % status)
        self._reusable = self._reusable and keep
        self._set_idle_limit(fields.text(b"keep-alive"))
        exchange.head_received(head)
        if not self._expects_body:
            # The parser waits for the body that the head describes.
            self._reusable = False
            self._finish(exchange)

    def _set_idle_limit(self, keep_alive: str) -> None:
        """Set the idle time after which the connection is not reused, if the server tells its own.

        `keep_alive` is the value of its field Keep-Alive.
        """
        timeout = keep_alive.lower().partition("timeout=")[2].partition(",")[0]
        if not timeout:
            return
        try:
            seconds = whole_number_of("keep-alive timeout", timeout)
        except ValueOutOfRange as error:
            if not self._is_timeout_left_out:
                _log.warning("keep-alive timeout left out", reason=str(error))
            self._is_timeout_left_out = True
            return
        self._idle_limit_seconds = seconds * _IDLE_LIMIT_FRACTION

    def on_body(self, body: bytes) -> None:
        self._framing_bytes = 0
        if not self._skipping and self._exchange is not None:
            if self._digest is not None:
                self._digest.update(body)
            self._exchange.body_received(body)

    def on_message_complete(self) -> None:
        if self._skipping or self._exchange is None:
            return
        self._finish(self._exchange)

    # --- ends ---------------------------------------------------------------

    def _compare(self, exchange: Exchange, digest: bytes) -> None:
        """Mark the answer to `exchange` as repeated if the connection has carried the same one."""
        if digest in self._answers:
            exchange.mark_repeated()
            # Behind a late copy the answer itself is due, in the place of the next one.
            self._reusable = False
        self._answers.add(digest)
        if len(self._answers) >= _MAX_ANSWER_COUNT:
            self._reusable = False

    def _finish(self, exchange: Exchange) -> None:
        self._answered = True
        self._exchange = None
        if self._digest is not None:
            self._compare(exchange, self._digest.digest())
        unread = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unread:
            # The server answered before it read the whole request.  It must not
            # parse the rest of it as another request.
            self.close()
        self.idle_since = self._loop.time()
        # A slow reader of this exchange may have paused reading; the next one must not stall.
        self.resume_reading()
        is_reserved, self._is_reserved = self._is_reserved, False
        if self._reusable:
            # The connection is idle before the reader of the response can send again.  By
            # then surplus bytes in the data being parsed have made it unusable.
            if not is_reserved:
                self._release(self)
        elif self._transport is not None:
            self._transport.close()
        exchange.completed()

    def _fail(self, detail: str, reason: str) -> None:
        exchange, self._exchange = self._exchange, None
        self._answered = True
        if exchange is not None:
            exchange.failed(ExchangeError(detail, sent=True, reason=reason))


def _length(fields: Headers) -> int | None:
    """Return the Content-Length in bytes, None without one; raise `ValueOutOfRange`."""
    if fields.get(b"content-length") is None:
        return None
    return whole_number_of("content-length", fields.text(b"content-length"), MESSAGE_LENGTH)
