"""An HTTP/1.1 client with persistent connections that detects truncated responses.

It sends a request once, except reads (`Access.READ`).  `ExchangeError.sent` states whether any byte
of the request may have reached the server.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections import deque
from collections.abc import Awaitable, Callable, Collection
from enum import StrEnum
from functools import partial
from typing import NamedTuple, Protocol, TypeVar, cast

import httptools
from fielddrift_core.memory_budget import MAX_READ_BYTES

from .host_memory import HeldBytes, bound_receive_buffer, held_for_caller
from .messages import Framing, Headers, Reply, ResponseHead
from .process_check import ProcessAnswer, ProcessCheck
from .server import prepare_socket, probe_silent_path
from .tunnel import TunnelError, TunnelHandshake, TunnelStatus

__all__ = [
    "Access",
    "CONNECT_REASON",
    "Client",
    "Exchange",
    "ExchangeError",
    "LiveConnection",
    "GARBLED_REASON",
    "MAX_BODY_BYTES",
    "MEMORY_REASON",
    "OpenConnection",
    "REPLACED_REASON",
    "RESET_REASON",
    "Reply",
    "TUNNEL_REASON",
    "UNIDENTIFIED_REASON",
    "CarrierState",
    "Timeouts",
]

CONNECT_REASON = "connect"
"""`ExchangeError.reason` if no connection came up."""
TUNNEL_REASON = "tunnel"
"""The same for a tunnel that another node did not open."""
RESET_REASON = "reset"
"""`ExchangeError.reason` if the connection was lost; without a byte sent, before the request."""
REPLACED_REASON = "replaced"
"""`ExchangeError.reason` for a connection that leads to another process than the expected one."""
UNIDENTIFIED_REASON = "unidentified"
"""The same for a connection that was not shown to lead to the expected process."""
_DEFAULT_IDLE_LIMIT_SECONDS = 4.0
"""How long an idle connection is reused if the server sends no Keep-Alive timeout."""
_IDLE_LIMIT_FRACTION = 0.7
"""Fraction of the Keep-Alive timeout of the server for which an idle connection is reused."""
_MAX_MISMATCHED_COUNT = 3
"""Responses to earlier requests that are skipped before the connection is closed."""
_MAX_SKIPPED_BYTES = 4 * 1024 * 1024
"""Bytes of such responses together, before the connection is closed."""
_MAX_BUFFERED_BYTES = 256 * 1024
"""Body bytes buffered for a slow reader before reading from the connection pauses."""
GARBLED_REASON = "garbled"
"""The same for bytes that are no valid answer, or exceed a bound."""
MAX_BODY_BYTES = 32 * 1024 * 1024
"""Bytes of a body that is collected whole.  A limited node pauses reading earlier if little of its
memory is left; bodies that are passed on as they arrive have no bound."""
MEMORY_REASON = "memory"
"""The same for a response that was given up since the node's memory is full."""
_MAX_HEAD_BYTES = 64 * 1024
"""What may come before the body of an answer: its head, interim heads and blank lines before it."""
_MAX_FIELD_COUNT = 4096
"""Fields of these heads."""
_MAX_FRAMING_BYTES = 64 * 1024
"""What may come between two parts of a body or behind it: extensions of chunks, and trailers."""
_FIELD_OVERHEAD_BYTES = 4
"""Bytes of a field besides its name and value: colon, space and line end."""
_CHECK_TIMEOUT_SECONDS = 1.0
"""How long the answers to the process checks before one send are waited for in all."""
_UNUSABLE_ANSWERS = frozenset({ProcessAnswer.OTHER, ProcessAnswer.FORMER, ProcessAnswer.UNKNOWN})
"""Answers that a connection does not lead, or may not lead, to the expected process."""
_MAX_CHECK_BYTES = 64 * 1024
"""Bytes of such an answer."""
_MAX_REQUEST_ID_COUNT = 256
"""Requests with ids that one connection carries.  All of their ids are remembered, in some 24 KB,
so that no id is sent twice on a connection; the connection that has carried this many is closed."""
_MAX_ANSWER_COUNT = 256
"""Answers without an id that one connection carries: digests of all of them are remembered."""
_DIGEST_BYTES = 8
"""Size of a digest."""


_P = TypeVar("_P", bound=asyncio.BaseProtocol)


class Access(StrEnum):
    """Whether a request only reads.  Its response has no id, so a late copy of one can't be told
    from the next."""

    READ = "read"
    """It changes nothing: it is sent once more if its connection has carried the same success."""
    CHANGE = "change"
    """It has a connection of its own, on which no late copy can come."""


class CarrierState(StrEnum):
    """What an attempt to open a tunnel showed of the node that was to carry it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Nothing listens at its address: its process has ended."""
    UNKNOWN = "unknown"


class ExchangeError(Exception):
    """Raised when an exchange ends without a complete response.

    `sent` is False if certainly no byte of the request was sent; `reason` is a
    short label for metrics.  `refused` is True if the server refused the connection,
    `connect_timed_out` if it did not respond to the attempt to connect.  The reason
    `TUNNEL_REASON` says that another node opened no tunnel, which says nothing of the server.
    `carrier` is what is known of that node, None for a direct connection.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool,
        reason: str,
        refused: bool = False,
        connect_timed_out: bool = False,
        carrier: CarrierState | None = None,
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.reason = reason
        self.refused = refused
        self.connect_timed_out = connect_timed_out
        self.carrier = carrier


class _BoundExceeded(Exception):
    """Raised for an answer of which some part is larger than its bound."""

    def __init__(self, part: str, size: int, limit: int, unit: str = "bytes") -> None:
        super().__init__(f"{part}: {size} {unit}, at most {limit}")


class OpenConnection(Protocol):
    """Opens a connection to a host and port, as `asyncio.loop.create_connection` does."""

    async def __call__(
        self, factory: Callable[[], _P], host: str, port: int
    ) -> tuple[asyncio.BaseTransport, _P]:
        """Return the transport and the protocol; raise `OSError` if no connection comes up."""


class LiveConnection(Protocol):
    """An established connection, whose end is noticed while it is read from."""

    @property
    def is_reading(self) -> bool:
        """Return whether the connection is open, and its end would be noticed."""


async def _create_connection(
    factory: Callable[[], _P], host: str, port: int
) -> tuple[asyncio.BaseTransport, _P]:
    return await asyncio.get_running_loop().create_connection(factory, host, port)


class Timeouts(NamedTuple):
    """Timeouts of a call in seconds: of the connect, and of the call as a whole."""

    connect: float = 0.5
    whole: float = 1.0


class _Connection(asyncio.BufferedProtocol):
    """One connection to a server; it carries one exchange at a time.

    `released` is called when the connection may be reused, `lost` when it is closed.  Bytes are
    read into `read_buffer`, which bounds a read and may be shared with other connections.
    """

    def __init__(
        self,
        *,
        released: Callable[[_Connection], None],
        lost: Callable[[_Connection], None],
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
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, _BoundExceeded) as error:
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
            error = _BoundExceeded("skipped answers", self._skipped_bytes, _MAX_SKIPPED_BYTES)
            self._fail(str(error), "mismatch")
            self.close()

    def _check_framing(self, read_bytes: int) -> None:
        """Raise `_BoundExceeded` if too much that is no body has come, but for the last read.

        The parser reports a field only at its end, and of other framing nothing at all.
        """
        if self._skips_mismatched or self._exchange is None:
            return
        part, limit = "framing of a body", _MAX_FRAMING_BYTES
        if self._awaits_answer:
            part, limit = "head", _MAX_HEAD_BYTES
        if self._framing_bytes > limit + read_bytes:
            raise _BoundExceeded(part, self._framing_bytes, limit)

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
            raise _BoundExceeded("head", self._field_count, _MAX_FIELD_COUNT, "fields")
        self._fields_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._fields_bytes > _MAX_HEAD_BYTES:
            raise _BoundExceeded("head", self._fields_bytes, _MAX_HEAD_BYTES)

    def on_headers_complete(self) -> None:
        self._head_complete = True
        status = self._parser.get_status_code()
        exchange = self._exchange
        if self._answered or exchange is None or status < 200:
            self._skipping = True
            return
        fields = self._fields
        length = fields.text(b"content-length")
        head = ResponseHead(status, fields, int(length) if length.isdigit() else None, False)
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
        named = fields.text(b"keep-alive").lower().partition("timeout=")[2].partition(",")[0]
        if named.strip().isdigit():
            self._idle_limit_seconds = int(named) * _IDLE_LIMIT_FRACTION
        exchange.head_received(head)
        if not self._expects_body:
            # The parser waits for the body that the head describes.
            self._reusable = False
            self._finish(exchange)

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


class Exchange:
    """One request and its response, which is read as it arrives.

    `on_bytes` is called when bytes of any kind arrive on its connection.  `held` counts the bytes
    for the caller on whose behalf the response is read, and may pause or end it.  `address` is
    that of the server.
    """

    def __init__(
        self,
        *,
        accepts: Callable[[ResponseHead], bool],
        on_bytes: Callable[[], None] = lambda: None,
        held: HeldBytes | None = None,
        address: str = "",
    ) -> None:
        self._accepts = accepts
        self._address = address
        self.on_bytes = on_bytes
        self._held = held
        self._paused = False
        self._loop = asyncio.get_running_loop()
        self._head: ResponseHead | None = None
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._complete = False
        self._is_repeated = False
        self._error: ExchangeError | None = None
        self._changed = asyncio.Event()
        self._connection: _Connection | None = None
        self._kept = False
        self._through = ""
        self._carrier_process = ""
        self._process = ""

    @property
    def process(self) -> str:
        """Return the name of the process to which the connection leads, empty if not known."""
        return self._process

    @property
    def address(self) -> str:
        """Return the address of the server, empty if it was not given."""
        return self._address

    @property
    def through(self) -> str:
        """Return the address of the node that carries the connection, empty for none."""
        return self._through

    @property
    def carrier_process(self) -> str:
        """Return the id of the process of that node, empty if it is not known."""
        return self._carrier_process

    @property
    def kept(self) -> bool:
        """Return whether the connection is a reused one."""
        return self._kept

    @property
    def complete(self) -> bool:
        """Return whether the whole response has arrived."""
        return self._complete

    @property
    def is_repeated(self) -> bool:
        """Return whether the response may be a late copy of one to an earlier request."""
        return self._is_repeated

    def mark_repeated(self) -> None:
        """Note that the connection has carried the same response to an earlier request."""
        self._is_repeated = True

    def bind(self, connection: _Connection, *, kept: bool = False, through: str = "") -> None:
        """Set the connection that carries the exchange, and whether it is a reused one.

        `through` is the address of the node that carries the connection, empty for none.
        """
        self._connection = connection
        self._kept = kept
        self._through = through
        self._carrier_process = connection.carrier_process
        self._process = connection.process
        if self._held is not None:
            self._held.add_source(self)

    def forbid_reuse(self) -> None:
        """Close the connection behind the response, which is not complete yet."""
        if self._connection is not None:
            self._connection.forbid_reuse()

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether `head` belongs to the response to this request."""
        return self._accepts(head)

    def head_received(self, head: ResponseHead) -> None:
        """Set the head of the response."""
        self._head = head
        self._changed.set()

    def body_received(self, data: bytes) -> None:
        """Append `data` to the body; pause the connection while too much is buffered."""
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        held = self._held
        may_read = held is None or held.read_from_target(self, len(data))
        if not may_read or self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self.pause()
        self._changed.set()

    def pause(self) -> None:
        """Pause reading from the connection."""
        if self._connection is not None and not self._paused:
            self._paused = True
            self._connection.pause_reading()

    def resume_if_allowed(self) -> None:
        """Resume reading from the connection unless too much is buffered."""
        held = self._held
        if (
            self._paused
            and self._connection is not None
            and self._buffered_bytes <= _MAX_BUFFERED_BYTES
            and (held is None or held.record.may_resume)
        ):
            self._paused = False
            self._connection.resume_reading()

    def give_up(self, detail: str) -> None:
        """End the exchange with an error and drop what was not read, unless it has ended."""
        connection, held = self._connection, self._held
        if connection is None or self._error is not None:
            return
        connection.fail(detail, MEMORY_REASON)
        if held is not None:
            held.record.release_read(self._buffered_bytes)
        self._buffer.clear()
        self._buffered_bytes = 0

    def completed(self) -> None:
        """Mark the response as complete."""
        self._complete = True
        # From now on the connection may carry another exchange.
        self._connection = None
        self._reading_ended()
        self._changed.set()

    def failed(self, error: ExchangeError) -> None:
        """Mark the response as ended by `error`."""
        self._error = error
        self._reading_ended()
        self._changed.set()

    async def head(self) -> ResponseHead:
        """Wait for the head and return it; raise `ExchangeError` if the exchange fails."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        return self._head

    async def read(self) -> bytes:
        """Wait for body bytes and return all that have arrived; empty at the end of the body.

        Raise `ExchangeError` if the exchange fails.
        """
        while not self._buffer:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        if self._held is not None:
            self._held.record.release_read(len(data))
        if self._paused:
            self.resume_if_allowed()
        return data

    async def body(self, *, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Wait for the end of the body and return all of it.

        Raise `ExchangeError` if the exchange fails, or the body is larger than `max_bytes`.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            head = await self.head()
            # A complete response may tell of a body that does not follow, as one to HEAD does.
            self._check_body(0 if self._complete else head.length or 0, max_bytes)
            while count := await self._collect(chunks):
                size += count
                self._check_body(size, max_bytes)
                self.retain(size)
            return b"".join(chunks)
        finally:
            # An error keeps this frame, and often a cycle keeps the error for minutes.
            chunks.clear()
            self.retain(0)

    def retain(self, size: int) -> None:
        """Set how many bytes that were read are kept until more of the response has come.

        They count for the caller until the exchange is cancelled.
        """
        if self._held is not None:
            self._held.set_collected(self, size)

    async def _collect(self, chunks: list[bytes]) -> int:
        """Append the next bytes of the body to `chunks`; return their number."""
        chunks.append(await self.read())
        return len(chunks[-1])

    def _check_body(self, size: int, max_bytes: int) -> None:
        """Abort the connection and raise `ExchangeError` if `size` exceeds `max_bytes`."""
        if size > max_bytes:
            self.cancel()
            error = _BoundExceeded("body", size, max_bytes)
            raise ExchangeError(str(error), sent=True, reason=GARBLED_REASON)

    def cancel(self) -> None:
        """Abort the connection unless the response is complete."""
        if not self._complete and self._connection is not None:
            self._connection.close()
        self._reading_ended()
        if self._held is not None:
            self._held.record.release_read(self._buffered_bytes)
            self._held.set_collected(self, 0)
            self._held = None
        self._buffer.clear()
        self._buffered_bytes = 0

    def _reading_ended(self) -> None:
        if self._held is not None:
            self._held.remove_source(self)


class _Path(NamedTuple):
    """The address of a server, and that of the node that carries the connection, if any."""

    address: str
    through: str = ""


def _connect_error(path: _Path, error: OSError | TimeoutError) -> ExchangeError:
    """Return the error for a connection that did not come up."""
    detail = f"{path.address}: no connection: {error or 'timeout'}"
    refused = isinstance(error, ConnectionRefusedError)
    timed_out = isinstance(error, TimeoutError)
    reason = CONNECT_REASON
    carrier: CarrierState | None = None
    if path.through:
        carrier = _carrier_state(error)
        status = error.status if isinstance(error, TunnelError) else None
        refused, timed_out = status is TunnelStatus.REFUSED, status is TunnelStatus.SILENT
        reason = CONNECT_REASON if refused or timed_out else TUNNEL_REASON
        detail = f"{detail}, through {path.through}"
    return ExchangeError(
        detail,
        sent=False,
        reason=reason,
        refused=refused,
        connect_timed_out=timed_out,
        carrier=carrier,
    )


def _carrier_state(error: OSError | TimeoutError) -> CarrierState:
    """Return what `error`, with which a tunnel was not opened, shows of the carrying node."""
    if isinstance(error, TunnelError):
        return CarrierState.UNKNOWN if error.status is None else CarrierState.ANSWERED
    if isinstance(error, ConnectionRefusedError):
        return CarrierState.REFUSED
    return CarrierState.UNKNOWN


class Client:
    """A pool of connections by address, and the exchanges over them.

    `on_connect` is called with the address of each new connection attempt.  `open_connection`
    replaces the event loop's `create_connection`.
    """

    def __init__(
        self,
        *,
        on_connect: Callable[[str], None] = lambda address: None,
        open_connection: OpenConnection | None = None,
    ) -> None:
        self._on_connect = on_connect
        self._open_connection = open_connection
        self._read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._idle: dict[_Path, list[_Connection]] = {}
        self._open_counts: dict[str, int] = {}
        self._established: dict[_Path, set[_Connection]] = {}

    async def begin(
        self,
        address: str,
        data: bytes,
        *,
        connect_seconds: float,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        on_bytes: Callable[[], None] = lambda: None,
        max_idle_seconds: float | None = None,
        max_connections: int | None = None,
        through: str = "",
        request_id: str = "",
        process: ProcessCheck | None = None,
        is_new: bool = False,
        compares: bool = True,
    ) -> Exchange:
        """Send `data`, a complete request, and return its exchange.

        `max_idle_seconds` bounds the idle time of a reused connection in seconds,
        `max_connections` the number of open connections to the address.  `through` is the
        address of a node whose tunnel carries the connection, empty for a direct one.  A
        connection never carries a `request_id` twice, unless it is empty: a late copy of the
        first answer could not be told from the second answer.  With `process`, only a connection
        to that process is used, with `is_new` only a new one.  With `compares` a response without
        an id that equals an earlier one is marked as repeated, and closes its connection.  Raise
        `ExchangeError` with `sent` False if there is no connection to send it on, and with
        `REPLACED_REASON` if another process has taken its place.
        """
        held = held_for_caller.get()
        path = _Path(address, through)
        wanted = "" if process is None else process.name
        until = asyncio.get_running_loop().time() + _CHECK_TIMEOUT_SECONDS
        connection = None
        if not is_new:
            connection = self._take_idle(path, max_idle_seconds, request_id, wanted)
        if connection is not None and process is not None and connection.process != wanted:
            may_use = await self._check_process(
                path, connection, process, until=until, is_kept=True
            )
            connection = connection if may_use and connection.usable else None
        kept = connection is not None
        if connection is None:

            async def open_one() -> _Connection:
                return await self._open_for(path, connect_seconds, max_connections, held)

            connection = await self._open_checked(path, open_one, process, until=until)
        exchange = Exchange(accepts=accepts, on_bytes=on_bytes, held=held, address=address)
        exchange.bind(connection, kept=kept, through=through)
        connection.begin(exchange, data, request_id=request_id, compares=compares)
        return exchange

    async def _open_for(
        self,
        path: _Path,
        connect_seconds: float,
        max_connections: int | None,
        held: HeldBytes | None,
    ) -> _Connection:
        """Open a connection for a send; raise `ExchangeError` if none is allowed or comes up."""
        address = path.address
        if (
            max_connections is not None
            and self._open_counts.get(address, 0) >= max_connections
            and not self._close_one_idle(path)
        ):
            detail = f"{address}: {max_connections} connections are open"
            raise ExchangeError(detail, sent=False, reason="connections")
        connection = await self._connect(path, connect_seconds)
        if held is not None and held.limited:
            connection.bound_receive_buffer()
        return connection

    async def _open_checked(
        self,
        path: _Path,
        open_one: Callable[[], Awaitable[_Connection]],
        process: ProcessCheck | None,
        *,
        until: float,
    ) -> _Connection:
        """Return a new connection to `process`; raise `ExchangeError` as `_check_process` does."""
        connection = await open_one()
        if process is None:
            return connection
        await self._check_process(path, connection, process, until=until, is_kept=False)
        if connection.usable:
            return connection
        if asyncio.get_running_loop().time() >= until:
            # No answer came, and none is required.
            return await open_one()
        # The server closes connections behind its answers, so the first of two is used and the
        # second one checked.  The first was opened earlier: it leads to the same process, or to
        # one that has ended and closed it.
        connection = await open_one()
        try:
            checked = await open_one()
            await self._check_process(path, checked, process, until=until, is_kept=False)
            self._release(path, checked)
            if not connection.usable:
                detail = f"{path.address}: connection lost before it was used"
                raise ExchangeError(detail, sent=False, reason=RESET_REASON)
        except BaseException:
            connection.close()
            raise
        connection.set_process(checked.process)
        return connection

    async def _check_process(
        self,
        path: _Path,
        connection: _Connection,
        process: ProcessCheck,
        *,
        until: float,
        is_kept: bool,
    ) -> bool:
        """Ask on a connection which process is at its other end; return whether it may be used.

        The answer is waited for until the loop time `until`.  Raise `ExchangeError` if it is a
        later process, or is not known to be the expected one, unless the connection is a kept one:
        it is closed, and a new one may lead there.
        """
        connection.reserve()
        exchange = Exchange(accepts=process.accepts)
        exchange.bind(connection, through=path.through)
        connection.begin(exchange, process.request)
        is_usable = False
        try:
            async with asyncio.timeout_at(until):
                reply = Reply(
                    await exchange.head(), await exchange.body(max_bytes=_MAX_CHECK_BYTES)
                )
            answer = process.judge(reply)
            is_usable = answer not in _UNUSABLE_ANSWERS and not (
                answer is ProcessAnswer.REFUSED and process.is_required
            )
        except TimeoutError:
            if not process.is_required:
                return True
            detail = f"{path.address}: no process named in {_CHECK_TIMEOUT_SECONDS} s"
            raise ExchangeError(
                detail, sent=False, reason=UNIDENTIFIED_REASON, connect_timed_out=True
            ) from None
        except ExchangeError as error:
            if is_kept:
                return False
            raise ExchangeError(str(error), sent=False, reason=error.reason) from None
        finally:
            if not is_usable:
                connection.close()
        if answer is ProcessAnswer.OTHER:
            detail = f"{path.address}: not the process {process.name}"
            raise ExchangeError(detail, sent=False, reason=REPLACED_REASON)
        if not is_usable:
            if is_kept:
                return False
            detail = f"{path.address}: not known to be the process {process.name}: {answer}"
            raise ExchangeError(detail, sent=False, reason=UNIDENTIFIED_REASON)
        if answer is ProcessAnswer.EXPECTED:
            connection.set_process(process.name)
        return True

    async def call(
        self,
        address: str,
        data: bytes,
        *,
        timeouts: Timeouts,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        max_idle_seconds: float | None = None,
        process: ProcessCheck | None = None,
        access: Access | None = None,
    ) -> Reply:
        """Send `data`, a complete request, and return the complete response.

        `access` tells what a request without an id does at a server that may answer twice, None at
        one that does not.  The other arguments are as for `begin`.  Raise `ExchangeError` if the
        exchange fails or times out.
        """
        send = partial(
            self._call,
            address,
            data,
            timeouts=timeouts,
            accepts=accepts,
            max_idle_seconds=max_idle_seconds,
            process=process,
        )
        if access is Access.CHANGE:
            return await send(is_new=True, is_last=True)
        reply = await send(compares=access is Access.READ)
        if reply.is_repeated and reply.head.status // 100 == 2:
            # The answer may be a late copy.  A refusal only says that the read failed.
            return await send(is_new=True, compares=True)
        return reply

    async def _call(
        self,
        address: str,
        data: bytes,
        *,
        timeouts: Timeouts,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        max_idle_seconds: float | None = None,
        process: ProcessCheck | None = None,
        is_new: bool = False,
        is_last: bool = False,
        compares: bool = False,
    ) -> Reply:
        """Send `data`, a complete request, and return the complete response.

        With `is_last` the connection is closed behind the response; the other arguments are as for
        `begin`.  Raise `ExchangeError` if the exchange fails or times out.
        """
        exchange: Exchange | None = None
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeouts.whole):
                exchange = await self.begin(
                    address,
                    data,
                    connect_seconds=timeouts.connect,
                    accepts=accepts,
                    max_idle_seconds=max_idle_seconds,
                    process=process,
                    is_new=is_new,
                    compares=compares,
                )
                if is_last:
                    exchange.forbid_reuse()
                head, body = await exchange.head(), await exchange.body()
                return Reply(head, body, is_repeated=exchange.is_repeated)
        except TimeoutError:
            sent = exchange is not None
            # Connections to an address stop responding together: one idle since before
            # this call would hang as well.
            self._close_idle_before(_Path(address), idle_before=started_at)
            detail = f"{address}: no answer in {timeouts.whole} s"
            raise ExchangeError(detail, sent=sent, reason="timeout") from None
        finally:
            if exchange is not None:
                exchange.cancel()

    async def connect(
        self,
        address: str,
        *,
        seconds: float,
        through: str = "",
        process: ProcessCheck | None = None,
    ) -> None:
        """Open a connection and add it to the idle ones; raise `ExchangeError` if that fails.

        `through` and `process` are as for `begin`.
        """
        path = _Path(address, through)
        connection = await self._connect(path, seconds)
        if process is not None:
            until = asyncio.get_running_loop().time() + _CHECK_TIMEOUT_SECONDS
            await self._check_process(path, connection, process, until=until, is_kept=False)
        self._release(path, connection)

    def close_idle(self, address: str) -> None:
        """Close the idle direct connections to `address`."""
        self._close_idle_before(_Path(address), idle_before=float("inf"))

    def has_idle(self, address: str, *, through: str = "") -> bool:
        """Return whether there is an idle connection to `address`; `through` is as for `begin`."""
        return bool(self._idle.get(_Path(address, through)))

    def live_connections(
        self, address: str, *, through: str = "", process: str = ""
    ) -> frozenset[LiveConnection]:
        """Return the connections to `address` that are open at their other ends as well.

        `through` is as for `begin`; `process` is the name of the process to which they lead, empty
        for any.  A connection that is not read from at the moment does not count: its end would not
        be noticed.
        """
        established = self._established.get(_Path(address, through), ())
        return frozenset(c for c in established if c.is_reading and process in ("", c.process))

    def close_idle_tunnels(self, *, usable: Collection[str]) -> None:
        """Close the idle connections through nodes whose addresses are not `usable`."""
        for path in [p for p in self._idle if p.through and p.through not in usable]:
            self._close_idle_before(path, idle_before=float("inf"))

    def close(self) -> None:
        """Close all idle connections."""
        for path in list(self._idle):
            self._close_idle_before(path, idle_before=float("inf"))

    def _close_idle_before(self, path: _Path, *, idle_before: float) -> None:
        """Close the idle connections on `path` that became idle before `idle_before`."""
        idle = self._idle.pop(path, [])
        kept = [connection for connection in idle if connection.idle_since >= idle_before]
        if kept:
            self._idle[path] = kept
        for connection in idle:
            if connection not in kept:
                connection.close()

    def _take_idle(
        self, path: _Path, max_idle_seconds: float | None, request_id: str, process: str
    ) -> _Connection | None:
        """Return an idle connection that has not carried `request_id`; the others stay idle.

        Those that lead to another process than `process` are closed; empty stands for any.
        """
        idle = self._idle.get(path, [])
        now = asyncio.get_running_loop().time()
        for index in reversed(range(len(idle))):
            connection = idle[index]
            is_outdated = process != "" and connection.process not in ("", process)
            if is_outdated or not connection.can_reuse(now, max_idle_seconds):
                idle.pop(index).close()
            elif not connection.has_carried(request_id):
                return idle.pop(index)
        return None

    def _close_one_idle(self, path: _Path) -> bool:
        """Close an idle connection to make room for another one; return False without any."""
        idle = self._idle.get(path)
        if not idle:
            return False
        idle.pop(0).close()
        return True

    async def _connect(self, path: _Path, seconds: float) -> _Connection:
        address = path.address
        self._open_counts[address] = self._open_counts.get(address, 0) + 1
        self._on_connect(address)
        connection: _Connection | None = None

        def make_connection() -> _Connection:
            nonlocal connection
            connection = _Connection(
                released=lambda c: self._release(path, c),
                lost=lambda c: self._lost(path, c),
                read_buffer=self._read_buffer,
            )
            return connection

        try:
            async with asyncio.timeout(seconds):
                if path.through:
                    established = await self._connect_through(path, make_connection)
                else:
                    established = await self._open(make_connection, address)
            self._established.setdefault(path, set()).add(established)
            return established
        except (OSError, TimeoutError) as error:
            raise _connect_error(path, error) from None
        finally:
            # `_lost` decrements the count for a connection that came up and was then abandoned.
            if connection is None:
                self._count_closed(address)

    async def _open(self, factory: Callable[[], _P], address: str) -> _P:
        host, _, port = address.rpartition(":")
        open_connection = self._open_connection or _create_connection
        _, protocol = await open_connection(factory, host, int(port))
        return protocol

    async def _connect_through(
        self, path: _Path, make_connection: Callable[[], _Connection]
    ) -> _Connection:
        """Return a connection that another node carries; raise `OSError` without one."""
        handshake = await self._open(lambda: TunnelHandshake(address=path.address), path.through)
        transport = await handshake.opened()
        connection = make_connection()
        connection.set_carrier_process(handshake.process)
        transport.set_protocol(connection)
        connection.connection_made(transport)
        return connection

    def _release(self, path: _Path, connection: _Connection) -> None:
        if connection.usable:
            self._idle.setdefault(path, []).append(connection)

    def _lost(self, path: _Path, connection: _Connection) -> None:
        idle = self._idle.get(path)
        if idle is not None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)
        established = self._established.get(path)
        if established is not None:
            established.discard(connection)
            if not established:
                del self._established[path]
        self._count_closed(path.address)

    def _count_closed(self, address: str) -> None:
        left = self._open_counts.get(address, 1) - 1
        if left > 0:
            self._open_counts[address] = left
        else:
            self._open_counts.pop(address, None)
