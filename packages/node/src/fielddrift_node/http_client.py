"""Make concurrent HTTP calls to targets and the platform from one thread.

The thread runs the event loop of a pycurl `CurlMulti`; callers get a `concurrent.futures`
future of the response head.  Errors state whether the call certainly was not executed.
"""

from __future__ import annotations

import contextlib
import errno
import os
import queue
import selectors
import threading
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future
from http import HTTPStatus
from typing import NamedTuple

import pycurl
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.outside_values import Range, ValueOutOfRange, text_of, whole_number_of

from . import clock

__all__ = [
    "MAX_BODY_BYTES",
    "AnswerMismatchError",
    "Call",
    "Head",
    "HttpClient",
    "Reply",
    "Stream",
]

MAX_BODY_BYTES = 64 * 1024 * 1024
"""The size of a body that is collected whole; a body read as a stream may have any size."""

_MAX_HEAD_BYTES = 64 * 1024
_MAX_FIELD_COUNT = 1000
"""Bounds of a response's head, interim heads included, and again of its trailers."""

_LENGTH_HEADER = "content-length"
_STATUS = Range(100, 599)
_REQUEST_ID_HEADER = "X-Request-Id"
_STATUSES_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
_MAX_IDLE_COUNT = 256
_MAX_SELECT_SECONDS = 1.0
_CONNECTION_LOST_CODES = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)
"""Error codes of connections that the server closed before the response was complete."""

_UNSENT_CODES = frozenset({pycurl.E_OPERATION_TIMEDOUT, pycurl.E_URL_MALFORMAT})
"""Error codes of calls that were not executed, if no byte of theirs was sent."""


class AnswerMismatchError(ExternalSystemError):
    """A response carries the id of another request; whether this one ran is not known."""


class Call(NamedTuple):
    """One HTTP call.  Both timeouts are in seconds; `timeout` covers the whole call.

    `fresh` uses a connection for this call alone.  On a reused one, libcurl resends a request by
    itself if the connection turns out to be dead, which is not safe for a call that must not be
    repeated, and a late second response to an earlier request may arrive.

    If `headers` have an `X-Request-Id`, a response with a different one fails with
    `AnswerMismatchError`; a response without one is accepted.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}
    timeout: float = 5.0
    connect_timeout: float = 0.5
    fresh: bool = False


class Head(NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]


class Reply(NamedTuple):
    """A complete response.

    `delimited` is false if only the end of the connection ended the body: the response may then
    have been cut.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    delimited: bool = True


_END = None


class Stream:
    """A response that is read while it arrives.

    Iterate over it for the body.  The iteration raises `ExternalSystemError` if the response
    is cut off, or if no data arrives for `stall_seconds`; None means no such limit.  Close the
    stream to cancel the call.
    """

    def __init__(self, *, cancel: Callable[[Stream], None]) -> None:
        self.head: Future[Head] = Future()
        self.stall_seconds: float | None = None
        self._cancel = cancel
        self._chunks: queue.SimpleQueue[bytes | ExternalSystemError | None] = queue.SimpleQueue()

    def __iter__(self) -> Iterator[bytes]:
        while (chunk := self._next()) is not _END:
            chunks = [chunk]
            # Yields all chunks received so far as one.
            while not self._chunks.empty() and isinstance(chunks[-1], bytes):
                chunks.append(self._chunks.get())  # type: ignore[arg-type]
            data = b"".join(c for c in chunks if isinstance(c, bytes))
            if data:
                yield data
            if isinstance(chunks[-1], ExternalSystemError):
                raise chunks[-1]
            if chunks[-1] is _END:
                return

    def _next(self) -> bytes | ExternalSystemError | None:
        try:
            return self._chunks.get(timeout=self.stall_seconds)
        except queue.Empty:
            return ExternalSystemError(f"no data received for {self.stall_seconds} s")

    def read(self) -> bytes:
        """Return the rest of the body; raise `ExternalSystemError` like the iteration."""
        return b"".join(self)

    def close(self) -> None:
        """Cancel the call; no effect once it has ended."""
        self._cancel(self)

    def put(self, chunk: bytes) -> None:
        """Append a chunk of the body for the reader."""
        self._chunks.put(chunk)

    def end(self, error: ExternalSystemError | None) -> None:
        """End the body, complete if `error` is None, else with `error`."""
        if not self.head.done():
            self.head.set_exception(error or ExternalSystemError("no response received"))
        self._chunks.put(error if error is not None else _END)


class _Transfer:
    """One call in progress: collects the headers and forwards the body to the stream.

    `max_body_bytes` bounds the body; None means no such bound.
    """

    def __init__(self, *, call: Call, stream: Stream, max_body_bytes: int | None = None) -> None:
        self.call = call
        self.stream = stream
        self.status = 0
        self.headers: dict[str, str] = {}
        self._answered_ids: list[str] = []
        self.error: ExternalSystemError | None = None
        """Why this class stopped the transfer."""
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._head_bytes = 0
        self._field_count = 0

    def header(self, line: bytes) -> int | None:
        """Take a line of the head or a trailer; any result but None stops the transfer."""
        if not line.endswith(b"\n"):
            # libcurl passes on what came of a line before the connection ended.
            return self._stop(self.cut_head_error())
        if (excess := self._head_excess(line)) is not None:
            return self._stop(excess)
        if self.stream.head.done():
            return None  # A trailer: the reader may have the head's fields already.
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            try:
                self.status = whole_number_of("status", (text.split(" ") + [""])[1], _STATUS)
            except ValueOutOfRange as error:
                return self._stop(ExternalSystemError(f"{self.call.url}: {error}"))
            self.headers = {}
            self._answered_ids = []
        elif text:
            name, _, value = text.partition(":")
            self.headers[name.lower()] = value.strip()
            if name.lower() == _LENGTH_HEADER and (fault := self._length_fault(value)) is not None:
                return self._stop(fault)
            if name.lower() == _REQUEST_ID_HEADER.lower():
                self._answered_ids.append(value.strip())
        elif self.status >= 200:
            if (fault := self._mismatch() or self._coding()) is not None:
                return self._stop(fault)
            self._head_bytes = self._field_count = 0
            self.stream.head.set_result(Head(self.status, self.headers))
        return None

    def body(self, data: bytes) -> int | None:
        """Take a piece of the body; any result but None stops the transfer."""
        self._body_bytes += len(data)
        if self._max_body_bytes is not None and self._body_bytes > self._max_body_bytes:
            return self._stop(self._excess("body", self._max_body_bytes, "bytes"))
        self.stream.put(data)
        return None

    def cut_head_error(self) -> ExternalSystemError:
        """Return the error of a response that ended before its head did."""
        return ExternalSystemError(f"{self.call.url}: response ended inside its head", broken=True)

    def _head_excess(self, line: bytes) -> ExternalSystemError | None:
        part = "trailers" if self.stream.head.done() else "head"
        self._head_bytes += len(line)
        self._field_count += b":" in line
        if self._head_bytes > _MAX_HEAD_BYTES:
            return self._excess(part, _MAX_HEAD_BYTES, "bytes")
        if self._field_count > _MAX_FIELD_COUNT:
            return self._excess(part, _MAX_FIELD_COUNT, "fields")
        return None

    def _excess(self, part: str, bound: int, unit: str) -> ExternalSystemError:
        return ExternalSystemError(f"{self.call.url}: {part} of the response over {bound} {unit}")

    def _mismatch(self) -> AnswerMismatchError | None:
        expected = self.call.headers.get(_REQUEST_ID_HEADER)
        received = self._answered_ids
        if expected is None or received in ([], [expected]):
            return None
        return AnswerMismatchError(
            f"{self.call.url}: response has {_REQUEST_ID_HEADER} {', '.join(received)!r}, "
            f"expected {expected!r}"
        )

    def _length_fault(self, value: str) -> ExternalSystemError | None:
        """Return the error of a Content-Length, or a list of them, that is not a length.

        libcurl takes a body whose length is too large for it as one that ends with its connection.
        """
        try:
            for length in value.split(","):
                whole_number_of(_LENGTH_HEADER, length)
        except ValueOutOfRange as error:
            return ExternalSystemError(f"{self.call.url}: {error}")
        return None

    def _coding(self) -> ExternalSystemError | None:
        """Return the error of a success whose body is coded, which no request asks for."""
        coding = self.headers.get("content-encoding")
        if coding is None or self.status // 100 != 2:
            return None
        return ExternalSystemError(f"{self.call.url}: Content-Encoding {coding[:40]!r}")

    def _stop(self, error: ExternalSystemError) -> int:
        """Fail the transfer with `error`; libcurl then closes the connection."""
        self.error = error
        return -1

    def prepare(self, curl: pycurl.Curl) -> None:
        call = self.call
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout * 1000)))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(call.connect_timeout * 1000)))
        curl.setopt(pycurl.FRESH_CONNECT, int(call.fresh))
        curl.setopt(pycurl.FORBID_REUSE, int(call.fresh))
        if call.body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, call.body)
        if call.method == "HEAD":
            # Otherwise libcurl waits for the body that the head tells of.
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
        headers = {"Expect": "", **call.headers}
        for name, value in headers.items():
            # A line break in a value would begin another field.
            text_of(name, value, max_characters=_MAX_HEAD_BYTES)
        curl.setopt(pycurl.HTTPHEADER, [f"{name}: {value}" for name, value in headers.items()])
        curl.setopt(pycurl.HEADERFUNCTION, self.header)
        curl.setopt(pycurl.WRITEFUNCTION, self.body)


class HttpClient:
    """Run all outgoing HTTP calls of a node on one thread.  Thread-safe."""

    def __init__(self) -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_IDLE_COUNT)
        self._selector = selectors.DefaultSelector()
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        self._selector.register(self._reader, selectors.EVENT_READ)
        self._timer: float | None = None
        self._commands: deque[tuple[str, _Transfer | Stream]] = deque()
        self._by_stream: dict[Stream, pycurl.Curl] = {}
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._stopped = False
        self._ended = False
        self._commands_lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="http-client", daemon=True)
        self._thread.start()

    def stream(self, call: Call) -> Stream:
        """Start `call`; return the stream of its response."""
        return self._start(call, None)

    def request(self, call: Call) -> Reply:
        """Make `call` and return its complete response.

        Raise `ExternalSystemError`, also if the body is larger than `MAX_BODY_BYTES`.
        """
        stream = self._start(call, MAX_BODY_BYTES)
        head = stream.head.result()
        return Reply(head.status, head.headers, stream.read(), _is_delimited(call, head))

    def close(self) -> None:
        """Stop the thread; calls in progress and later calls fail."""
        self._stopped = True
        os.write(self._writer, b".")
        self._thread.join(timeout=2 * _MAX_SELECT_SECONDS)

    def _start(self, call: Call, max_body_bytes: int | None) -> Stream:
        stream = Stream(cancel=self._cancel)
        transfer = _Transfer(call=call, stream=stream, max_body_bytes=max_body_bytes)
        self._submit("add", transfer)
        return stream

    def _cancel(self, stream: Stream) -> None:
        self._submit("cancel", stream)

    def _submit(self, what: str, item: _Transfer | Stream) -> None:
        with self._commands_lock:
            ended = self._ended
            if not ended:
                self._commands.append((what, item))
        if not ended:
            os.write(self._writer, b".")
        elif isinstance(item, _Transfer):
            item.stream.end(_closed_error(not_executed=True))

    # --- on the client thread -----------------------------------------------------

    def _on_socket(self, what: int, fd: int, multi: pycurl.CurlMulti, data: object) -> None:
        if what == pycurl.POLL_REMOVE:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(fd)
            return
        events = selectors.EVENT_READ if what & pycurl.POLL_IN else 0
        events |= selectors.EVENT_WRITE if what & pycurl.POLL_OUT else 0
        try:
            self._selector.modify(fd, events)
        except KeyError:
            self._selector.register(fd, events)

    def _on_timer(self, milliseconds: int) -> None:
        self._timer = None if milliseconds < 0 else clock.now() + milliseconds / 1000

    def _run(self) -> None:
        try:
            self._run_until_stopped()
        finally:
            # Without this thread, callers that wait for a response would never return.
            self._fail_all()

    def _fail_all(self) -> None:
        with self._commands_lock:
            self._ended = True
        while self._commands:
            _, item = self._commands.popleft()
            if isinstance(item, _Transfer):
                item.stream.end(_closed_error(not_executed=True))
        for transfer in self._transfers.values():
            transfer.stream.end(_closed_error(not_executed=False))

    def _run_until_stopped(self) -> None:
        while not self._stopped:
            for key, events in self._selector.select(self._timeout()):
                if key.fd == self._reader:
                    os.read(self._reader, 65536)
                else:
                    self._handle_event(key.fd, events)
            self._run_commands()
            if self._timer is not None and clock.now() >= self._timer:
                self._timer = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._collect()

    def _timeout(self) -> float:
        if self._timer is None:
            return _MAX_SELECT_SECONDS
        return max(0.0, min(_MAX_SELECT_SECONDS, self._timer - clock.now()))

    def _handle_event(self, fd: int, events: int) -> None:
        mask = pycurl.CSELECT_IN if events & selectors.EVENT_READ else 0
        mask |= pycurl.CSELECT_OUT if events & selectors.EVENT_WRITE else 0
        self._multi.socket_action(fd, mask)

    def _run_commands(self) -> None:
        while self._commands:
            what, item = self._commands.popleft()
            if isinstance(item, _Transfer):
                self._add(item)
            elif (curl := self._by_stream.get(item)) is not None:
                self._finish(curl, ExternalSystemError("cancelled"))

    def _add(self, transfer: _Transfer) -> None:
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        try:
            transfer.prepare(curl)
        except (ValueError, TypeError, OverflowError, pycurl.error) as error:
            self._keep_handle(curl)
            transfer.stream.end(_unsendable_error(transfer.call, error))
            return
        self._transfers[curl] = transfer
        self._by_stream[transfer.stream] = curl
        self._multi.add_handle(curl)

    def _collect(self) -> None:
        while True:
            left, succeeded, errors = self._multi.info_read()
            for curl in succeeded:
                self._finish(curl, self._cut_head_error(curl))
            for curl, code, message in errors:
                self._finish(curl, self._error(curl, code, message))
            if not left:
                return

    def _cut_head_error(self, curl: pycurl.Curl) -> ExternalSystemError | None:
        """Return the error of a response without a whole head, which libcurl takes for complete."""
        transfer = self._transfers[curl]
        if transfer.stream.head.done():
            return None
        return transfer.cut_head_error()

    def _error(self, curl: pycurl.Curl, code: int, message: str) -> ExternalSystemError:
        if (stopped := self._transfers[curl].error) is not None:
            return stopped
        # A call is not executed if no connection was established.  If a reused connection was
        # dead, libcurl had already sent the request on it, even if reconnecting then failed.
        sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
        no_connection = code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
        refused = no_connection and curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
        not_executed = not sent and (no_connection or code in _UNSENT_CODES)
        broken = code in _CONNECTION_LOST_CODES or (sent and no_connection)
        url = self._transfers[curl].call.url
        return ExternalSystemError(
            f"{url}: {message or code}", not_executed=not_executed, refused=refused, broken=broken
        )

    def _finish(self, curl: pycurl.Curl, error: ExternalSystemError | None) -> None:
        transfer = self._transfers.pop(curl)
        del self._by_stream[transfer.stream]
        self._multi.remove_handle(curl)
        self._keep_handle(curl)
        transfer.stream.end(error)

    def _keep_handle(self, curl: pycurl.Curl) -> None:
        """Keep a handle for a later call, without what it was set to."""
        curl.reset()
        if len(self._idle_handles) < _MAX_IDLE_COUNT:
            self._idle_handles.append(curl)


def _is_delimited(call: Call, head: Head) -> bool:
    """Return whether the end of a response to `call` is told by its framing."""
    return (
        call.method == "HEAD"
        or head.status in _STATUSES_WITHOUT_BODY
        or _LENGTH_HEADER in head.headers
        or "chunked" in head.headers.get("transfer-encoding", "").lower()
    )


def _unsendable_error(call: Call, error: Exception) -> ExternalSystemError:
    """Return the error of a call whose URL, headers or timeouts libcurl does not take."""
    return ExternalSystemError(f"{call.url!r}: not sent: {error}", not_executed=True)


def _closed_error(*, not_executed: bool) -> ExternalSystemError:
    return ExternalSystemError("HTTP client of this process was closed", not_executed=not_executed)
