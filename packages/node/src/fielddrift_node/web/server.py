"""An HTTP/1.1 server that reads complete requests and streams responses.

It handles one request of a connection at a time, in a task that is cancelled as
soon as the client closes the connection.  A request with invalid framing gets an
error response and the connection is closed; the handler sees nothing of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, cast

import httptools
import structlog
from fielddrift_core.outside_values import ValueOutOfRange, whole_number_of
from fielddrift_core.request_ends import EndCause, end_cause

from .host_memory import HeldBytes, HostMemory, held_for_caller
from .messages import BODILESS_STATUSES, MESSAGE_LENGTH, Headers, RequestHead, reason_phrase
from .request_ends import NOT_OBSERVED, RequestEnd, RequestObserver

__all__ = [
    "Fault",
    "FaultAnswer",
    "Limits",
    "Request",
    "Responder",
    "Server",
    "plain_text_fault",
    "prepare_socket",
    "probe_silent_path",
    "set_reset_on_close",
]

_MAX_PIPELINED_COUNT = 4
"""Pipelined requests of a connection that may be queued before reading from it pauses."""
_MAX_READ_BYTES = 65_536
"""Bytes read from a connection at a time. asyncio allocates a buffer of this size for each read;
its default of 256 KB is mapped from the system each time, which costs as much as the read."""
_TCP_USER_TIMEOUT_MS = 4000
"""A connection is closed if sent bytes stay unacknowledged for this long.

A peer that lost power never answers, not even with a reset.
"""
_KEEPALIVE_SECONDS = 1
"""Idle time before the first keep-alive probe, and interval between probes.  On Linux probes give
up once nothing has arrived for the time-out above, whatever their count."""
_LISTEN_BACKLOG_COUNT = 1024
_KEEP_ALIVE_MARGIN_SECONDS = 0.25
"""Time from the end of the announced idle time to the close, for a request that is in transit."""
_FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides its name and value: colon, space and line end."""
_WRITE_HIGH_WATER_BYTES = 256 * 1024
"""Bytes buffered for a slow caller before reading from its target pauses."""
_MEMORY_STATUS = 503
"""Status of requests that are refused because their bodies would take too much memory."""
_MEMORY_RETRY_SECONDS = 0.25
"""Their `Retry-After`, as that of other refusals: the caller may reach another node at once."""
_NO_CONTENT_STATUS = 204
"""The status whose responses have no Content-Length either."""
_FAILED_STATUS = 500
"""Status of a request whose handler failed before its response; it may have run."""
_CLOSE_IDLE_SECONDS = 0.02
"""Time between the last new connections and the close of idle ones."""
_LINGER_SECONDS = 1.0
"""Time for which what arrives behind the last response is read and dropped, such as the rest of
a refused body.  A connection that is closed with unread bytes is reset, and the client may lose
the response."""

_LINGER_OPTION = struct.Struct("ii")
"""The value of SO_LINGER: whether it is on, and its seconds."""

_log = structlog.get_logger()


class Limits(NamedTuple):
    """Limits on the size of a request in bytes, and on header and idle times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0

    def widened(self, other: Limits) -> Limits:
        """Return the larger value of each limit, of this and of `other`."""
        return Limits(
            header_bytes=max(self.header_bytes, other.header_bytes),
            body_bytes=max(self.body_bytes, other.body_bytes),
            header_seconds=max(self.header_seconds, other.header_seconds),
            idle_seconds=max(self.idle_seconds, other.idle_seconds),
        )


class Request(NamedTuple):
    """A complete request; `arrived` is the event loop's time at its first byte."""

    head: RequestHead
    body: bytes
    arrived: float


class _BadRequest(Exception):
    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


def _announced_bytes(length: bytes | None) -> int:
    """Return the size of a body that a Content-Length announces, 0 without one."""
    if length is None:
        return 0
    try:
        return whole_number_of("content-length", length.decode("latin-1"), MESSAGE_LENGTH)
    except ValueOutOfRange as error:
        raise _BadRequest(400, str(error)) from None


def prepare_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and bound the time for a peer to acknowledge sent bytes.

    Also bound what is read at a time.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    # An attribute of asyncio's transports without a method to set it.
    cast(Any, transport).max_size = _MAX_READ_BYTES
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)


def probe_silent_path(transport: asyncio.BaseTransport) -> None:
    """Probe an idle connection, so that it is closed if its path is silent for some seconds.

    Without probes only sent bytes show that, and none are sent while a response is waited for.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS)


def set_reset_on_close(transport: asyncio.BaseTransport, enabled: bool) -> None:
    """Set whether the connection is reset when its socket is closed, by whatever cause.

    The kernel drops what is not sent yet then, and the peer cannot take the close for an end.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OPTION.pack(enabled, 0))


class Responder:
    """Writes the response to one request."""

    def __init__(
        self, *, connection: _Connection, keep_alive: bool, http_1_0: bool, method: bytes
    ) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self._http_1_0 = http_1_0
        self._answers_head = method == b"HEAD"
        self._has_body = True
        self._chunked = False
        self._started = False
        self._ended = False
        self._refused = False
        self._details: Callable[[], Mapping[str, object]] = dict
        self._begins_at = connection.written_bytes
        self._ends_at = self._begins_at

    @property
    def refused(self) -> bool:
        """Return whether the response is the node's own."""
        return self._refused

    @property
    def details(self) -> Mapping[str, object]:
        """Return the log fields that the handler adds to the line about the request's end."""
        return self._details()

    @property
    def written(self) -> int:
        """Return the bytes of the response that were written, its head included."""
        end = self._ends_at if self._ended else self._connection.written_bytes
        return end - self._begins_at

    @property
    def ends_at(self) -> int:
        """Return the offset of the end of the response in all bytes of the connection."""
        return self._ends_at

    @property
    def started(self) -> bool:
        """Return whether the head has been written."""
        return self._started

    @property
    def is_open(self) -> bool:
        """Return whether the caller can still receive a response."""
        return self._connection.is_open

    @property
    def ended(self) -> bool:
        """Return whether the response is complete."""
        return self._ended

    def start(
        self, status: int, headers: Headers, length: int | None, *, chunked: bool = True
    ) -> None:
        """Write the head; `length` is that of the body in bytes, None if it is not known.

        Without a length the body is chunked, or ends with the connection for HTTP/1.0 and where
        `chunked` is false.  A response to HEAD, or with a status in `BODILESS_STATUSES`, has no
        body whatever is written (RFC 9112, section 6.3).
        """
        keep = self._keep_alive and not self._connection.closing
        self._has_body = not self._answers_head and status not in BODILESS_STATUSES
        if status == _NO_CONTENT_STATUS:
            length = None
        ends_with_length = length is not None or not self._has_body
        self._chunked = not ends_with_length and chunked and not self._http_1_0
        if not ends_with_length and not self._chunked:
            keep = False
        if not ends_with_length and self._http_1_0:
            # The caller takes a connection that is closed in order for the end of the response.
            self._connection.reset_unless_sent(self)
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason_phrase(status))]
        lines += [b"%s: %s\r\n" % field for field in headers]
        if length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        elif self._chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if not keep:
            lines.append(b"Connection: close\r\n")
        elif seconds := self._connection.announced_idle_seconds():
            lines.append(b"Connection: keep-alive\r\nKeep-Alive: timeout=%d\r\n" % seconds)
        lines.append(b"\r\n")
        self._keep_alive = keep
        self._started = True
        self._connection.write(b"".join(lines))

    def write(self, data: bytes) -> None:
        """Write part of the body, if the response has one."""
        if data and self._has_body:
            self._connection.write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    async def drain(self) -> None:
        """Wait while the write buffer is full, because the caller reads too slowly."""
        await self._connection.drain()

    def end(self) -> None:
        """Complete the response, and close the connection unless it is kept alive."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._ended = True
        self._ends_at = self._connection.written_bytes
        if not self._keep_alive:
            self._connection.close_after_answer()

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        self.start(status, headers, len(body))
        self.write(body)
        self.end()

    def refuse(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response of the node's own."""
        self._refused = True
        self.send(status, headers, body)

    def describe(self, details: Callable[[], Mapping[str, object]]) -> None:
        """Set what returns the log fields for the line about the request's end."""
        self._details = details

    def write_raw(self, data: bytes) -> None:
        """Write bytes without framing.

        The connection is aborted when the handler returns, unless it ended the response.
        """
        self._connection.write(data)

    def cut(self, cause: EndCause = EndCause.FAULT) -> None:
        """Abort the connection, so that the client cannot take the response for complete."""
        self._connection.abort(cause)


Handler = Callable[[Request, Responder], Awaitable[None]]


class Fault(NamedTuple):
    """An invalid request: the status of its response, and what was wrong."""

    status: int
    detail: str


class FaultAnswer(NamedTuple):
    """The body of an error response and its content type."""

    content_type: bytes
    body: bytes


def plain_text_fault(fault: Fault) -> FaultAnswer:
    """Return the response to a fault as plain text."""
    return FaultAnswer(b"text/plain; charset=utf-8", fault.detail.encode())


class Server:
    """Listens on addresses and passes each request to `handler`.

    `limits` returns the limits in force, which open connections follow; `format_fault` formats
    error responses.  `memory` counts and bounds what is held for the connections.  With
    `announces_idle_time` responses contain the idle time in a `Keep-Alive` header.  `observer` is
    told of each request.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], Limits],
        format_fault: Callable[[Fault], FaultAnswer] = plain_text_fault,
        memory: HostMemory | None = None,
        observer: RequestObserver = NOT_OBSERVED,
        announces_idle_time: bool = False,
    ) -> None:
        self._handler = handler
        self._announces_idle_time = announces_idle_time
        self._format_fault = format_fault
        self._observer = observer
        self._limits = limits
        self._memory = memory
        self._connections: set[_Connection] = set()
        self._listeners: list[asyncio.Server] = []
        self._leaving = False

    @property
    def leaving(self) -> bool:
        """Return whether responses carry `Connection: close`."""
        return self._leaving

    @property
    def announces_idle_time(self) -> bool:
        """Return whether responses contain the idle time of their connections."""
        return self._announces_idle_time

    @property
    def busy(self) -> int:
        """Return the number of connections on which a request is being read or has not ended."""
        return sum(1 for connection in self._connections if connection.busy)

    @property
    def open_requests(self) -> int:
        """Return the number of requests that were read whole and have not ended."""
        return sum(connection.open_requests for connection in self._connections)

    @property
    def observer(self) -> RequestObserver:
        """Return what is told of each request."""
        return self._observer

    async def start(self, host: str, port: int) -> None:
        """Listen on the address; raise `OSError` if it cannot be bound."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            self._connection, host, port, backlog=_LISTEN_BACKLOG_COUNT, reuse_address=True
        )
        self._listeners.append(listener)

    def announce_close(self) -> None:
        """Send `Connection: close` with each response from now on."""
        self._leaving = True

    def stop_accepting(self) -> None:
        """Stop listening and, shortly after, close idle connections.

        What arrived on a connection that has just opened is read before.
        """
        for listener in self._listeners:
            listener.close()
        if self._listeners:
            loop = self._listeners[0].get_loop()
            loop.call_later(_CLOSE_IDLE_SECONDS, self._close_idle)

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close_if_idle()

    def cancel_unanswered(self) -> None:
        """Cancel the handlers that have not begun a response; they may still send one."""
        for connection in list(self._connections):
            connection.cancel_unanswered()

    def close(self) -> None:
        """Abort all open connections."""
        for connection in list(self._connections):
            connection.abort(EndCause.STOP)

    def _connection(self) -> _Connection:
        return _Connection(server=self, handler=self._handler, memory=self._memory)

    def limits(self) -> Limits:
        """Return the limits in force."""
        return self._limits()

    def format_fault(self, fault: Fault) -> FaultAnswer:
        """Return the body of the response to an invalid request."""
        return self._format_fault(fault)

    def joined(self, connection: _Connection) -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def left(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class _Connection(asyncio.Protocol):
    """Parses the requests of one connection and handles them in order."""

    def __init__(self, *, server: Server, handler: Handler, memory: HostMemory | None) -> None:
        self._server = server
        self._memory = memory
        self._held: HeldBytes | None = None
        self._handler = handler
        self._limits = server.limits()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._observer = server.observer
        self._queue: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._responder: Responder | None = None
        """That of the request that is handled, once its handler has started."""
        self._unsent: deque[tuple[Request, Responder]] = deque()
        """Requests whose complete responses are still partly in the write buffer."""
        self._reports_empty = False
        """Whether the transport reports only an empty write buffer."""
        self._written_bytes = 0
        self._dropped_at: int | None = None
        """The offset of the first byte that was written after the connection began to close."""
        self._closed_by: EndCause | None = None
        """Why the connection was closed or lost; None while it is open."""
        self._close_after_answer = False
        self._reset_without: Responder | None = None
        """The one whose response must be sent whole before the connection may close in order."""
        self._expects_close = False
        """Whether the caller asked to close the connection behind the current request."""
        self._fault: _BadRequest | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wait(self._limits.idle_seconds)
        self._promised_idle_seconds = 0.0
        """Idle time after the current response, if the response announces one."""
        self._writable = asyncio.Event()
        self._writable.set()
        self._in_message = False
        self._dropped_after_last = False
        """Whether data was dropped that arrived after the last response."""
        self._expects_continue = False
        """Whether the client waits for `100 Continue` before it sends the body of the request
        that is being read."""
        self._reset_message()

    # --- state --------------------------------------------------------------

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or has not ended."""
        return self.open_requests > 0 or self._in_message

    @property
    def open_requests(self) -> int:
        """Return the number of requests that were read whole and have not ended."""
        return len(self._queue) + (self._task is not None) + len(self._unsent)

    @property
    def is_open(self) -> bool:
        """Return whether a response can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def written_bytes(self) -> int:
        """Return the bytes of all responses that were written on the connection."""
        return self._written_bytes

    @property
    def closing(self) -> bool:
        """Return whether the next response should be the last one on the connection.

        It is not while another request is queued or being read, nor before the response to an
        invalid one: a caller takes no answer behind `Connection: close` (RFC 9112, section 9.6).
        """
        has_next = bool(self._queue) or self._in_message or self._fault is not None
        return self._server.leaving and not has_next

    def _reset_message(self) -> None:
        self._url = b""
        self._fields = Headers()
        self._fields_bytes = 0
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._reserved_bytes = 0
        """Bytes of the memory budget that are reserved for the body."""
        self._head_bytes = 0
        self._head_complete = False
        self._arrived = 0.0

    # --- asyncio ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        prepare_socket(transport)
        if self._memory is not None:
            self._held = self._memory.open(self._transport, on_abort=self._closed_for_memory)
        self._server.joined(self)
        self._check_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        self._note_close(EndCause.CALLER_CLOSED if exc is None else EndCause.CALLER_RESET)
        self._server.left(self)
        self._transport = None
        if self._held is not None:
            self._held.close()
        self._writable.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        self._end_queued(self._closed_by or EndCause.FAULT)
        self._end_unsent()

    def eof_received(self) -> bool:
        self._note_close(EndCause.CALLER_CLOSED)
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()
        self._end_sent()
        if self._held is not None:
            self._held.refresh()

    def data_received(self, data: bytes) -> None:
        if self._fault is not None:
            return
        if self._close_after_answer:
            self._drop_after_last()
            return
        self._refresh_limits()
        self._head_bytes += 0 if self._head_complete else len(data)
        try:
            self._parser.feed_data(data)
            # The parser calls on_header only at the end of a field; this bounds an endless one.
            if not self._head_complete and self._head_bytes > self._limits.header_bytes + len(data):
                raise _BadRequest(431, "header: larger than the limit")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._fail(cause if isinstance(cause, _BadRequest) else _BadRequest(400, repr(cause)))
        except _BadRequest as error:
            self._fail(error)
        except httptools.HttpParserUpgrade:
            self._fail(_BadRequest(400, "upgrade: not supported"))
        except httptools.HttpParserError as error:
            self._fail(_BadRequest(400, f"framing: {error}"))

    # --- httptools ----------------------------------------------------------

    def on_message_begin(self) -> None:
        self._reset_message()
        self._in_message = True
        self._arrived = self._loop.time()
        self._wait(self._limits.header_seconds)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are discarded: nothing has checked their names.
        if not self._head_complete:
            self._fields.add(name, value)
        self._fields_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        size = self._fields_bytes + len(self._url)
        if size > self._limits.header_bytes:
            raise _BadRequest(431, f"header: {size} bytes, at most {self._limits.header_bytes}")

    def on_headers_complete(self) -> None:
        self._head_complete = True
        self._wait(self._limits.idle_seconds)
        fields = self._fields
        for name in (b"content-length", b"transfer-encoding", b"host"):
            if fields.count(name) > 1:
                raise _BadRequest(400, f"header {name.decode()}: given more than once")
        length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
        if length is not None and coding is not None:
            raise _BadRequest(400, "framing: both a length and a transfer coding")
        if coding is not None and coding.strip().lower() != b"chunked":
            raise _BadRequest(400, f"transfer-encoding {coding!r}: expected chunked")
        announced_bytes = _announced_bytes(length)
        if announced_bytes > self._limits.body_bytes:
            raise _BadRequest(413, f"body: {announced_bytes} bytes announced")
        if not self._url.startswith(b"/"):
            raise _BadRequest(400, f"request target {self._url[:40]!r}: expected a path")
        self._reserve_body(announced_bytes)
        self._expects_continue = (fields.get(b"expect") or b"").lower() == b"100-continue"
        self._send_continue()

    def on_body(self, body: bytes) -> None:
        self._body_chunks.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise _BadRequest(413, f"body: more than {self._limits.body_bytes} bytes")
        if self._held is not None:
            if self._body_bytes > self._reserved_bytes:
                self._reserve_body(self._body_bytes - self._reserved_bytes)
            self._held.record.body_arrived(self._loop.time())

    def on_message_complete(self) -> None:
        http_1_0 = self._parser.get_http_version() == "1.0"
        head = RequestHead(
            method=self._parser.get_method(),
            target=self._url,
            headers=self._fields,
            keep_alive=self._parser.should_keep_alive(),
            http_1_0=http_1_0,
        )
        self._in_message = False
        self._expects_continue = False
        self._head_bytes = 0
        self._head_complete = False
        if self._held is not None:
            self._held.record.body_complete()
        # `_handle` releases the complete body; a later fault must not release it as well.
        self._reserved_bytes = 0
        self._queue.append(Request(head, b"".join(self._body_chunks), self._arrived))
        self._observer.accepted()
        self._body_chunks = []
        self._wait(self._limits.idle_seconds)
        if len(self._queue) > _MAX_PIPELINED_COUNT and self._transport is not None:
            self._transport.pause_reading()
        self._handle_next()

    def _reserve_body(self, size: int) -> None:
        """Reserve memory for the body, or a further part of it; fail the request without it."""
        if self._held is None or not size:
            return
        if not self._held.take_body(size):
            raise _BadRequest(_MEMORY_STATUS, "body: the node holds too much for other requests")
        self._reserved_bytes += size

    # --- handling -----------------------------------------------------------

    def _send_continue(self) -> None:
        """Send `100 Continue` to a client that waits for it, after all earlier responses.

        The client would parse it as part of the response to an earlier request otherwise.
        """
        if self._expects_continue and self._task is None and not self._queue:
            self._expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle_next(self) -> None:
        if self._task is not None or not self._queue or self._transport is None:
            return
        request = self._queue.popleft()
        self._transport.resume_reading()
        responder = Responder(
            connection=self,
            keep_alive=request.head.keep_alive,
            http_1_0=request.head.http_1_0,
            method=request.head.method,
        )
        self._task = self._loop.create_task(self._handle(request, responder))
        # A task that is cancelled before its first step runs nothing of its coroutine.
        self._task.add_done_callback(lambda task: self._handled(task, request, responder))

    async def _handle(self, request: Request, responder: Responder) -> None:
        held = self._held
        if held is not None:
            held_for_caller.set(held)
            held.record.begin_response()
        self._responder = responder
        self._expects_close = not request.head.keep_alive
        await self._handler(request, responder)

    def _handled(self, task: asyncio.Task[None], request: Request, responder: Responder) -> None:
        """End a request whose handler has ended."""
        self._task = self._responder = None
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("handler failed", error=repr(error), exc_info=error)
            if not responder.written and self.is_open:
                answer = self._server.format_fault(Fault(_FAILED_STATUS, "the server failed"))
                fields = Headers([(b"Content-Type", answer.content_type)])
                responder.refuse(_FAILED_STATUS, fields, answer.body)
        if self._held is not None:
            self._held.record.end_response(len(request.body))
        if not responder.ended:
            self.abort(EndCause.STOP if task.cancelled() else EndCause.FAULT)
            self._report_end(request, responder, sent=False)
            return
        self._unsent.append((request, responder))
        try:
            self._end_sent()
        finally:
            self._after_answer()

    def _end_sent(self) -> None:
        """End the requests whose responses were handed to the kernel."""
        if not self._unsent:
            return
        transport = self._transport
        sent = self._written_bytes
        if transport is not None:
            sent -= transport.get_write_buffer_size()
        if self._dropped_at is not None:
            sent = min(sent, self._dropped_at)
        while self._unsent and self._unsent[0][1].ends_at <= sent:
            request, responder = self._unsent.popleft()
            if responder is self._reset_without and transport is not None:
                set_reset_on_close(transport, False)
            self._report_end(request, responder, sent=True)
        if transport is None:
            self._end_unsent()
        elif self._unsent or self._reports_empty:
            # With these limits the transport reports when the buffer is empty.
            self._reports_empty = bool(self._unsent)
            high = 0 if self._unsent else _WRITE_HIGH_WATER_BYTES
            transport.set_write_buffer_limits(high=high)

    def _end_unsent(self) -> None:
        """End the requests whose responses can no longer be sent whole."""
        while self._unsent:
            self._report_end(*self._unsent.popleft(), sent=False)

    def _end_queued(self, cause: EndCause) -> None:
        """End the requests that were not handled."""
        while self._queue:
            self._report_end(self._queue.popleft(), None, sent=False, closed_by=cause)
        if self._in_message:
            self._in_message = False
            self._observer.unread(cause)

    def _report_end(
        self,
        request: Request,
        responder: Responder | None,
        *,
        sent: bool,
        closed_by: EndCause | None = None,
    ) -> None:
        refused = responder is not None and responder.refused
        self._observer.ended(
            RequestEnd(
                head=request.head,
                cause=end_cause(sent=sent, refused=refused, closed_by=closed_by or self._closed_by),
                age=self._loop.time() - request.arrived,
                handled=responder is not None,
                written=0 if responder is None else responder.written,
                details={} if responder is None else responder.details,
            )
        )

    def _note_close(self, cause: EndCause) -> None:
        """Record why the connection is closed; the first cause counts."""
        if self._closed_by is None:
            self._closed_by = cause

    def _closed_for_memory(self) -> None:
        self._end_sent()
        self._note_close(EndCause.MEMORY)

    def _drop_after_last(self) -> None:
        """Count a request that arrives behind a response with `Connection: close`, once."""
        if not self._dropped_after_last:
            self._dropped_after_last = True
            self._observer.unread(EndCause.LAST_RESPONSE)

    def _after_answer(self) -> None:
        self._refresh_limits()
        self._wait(max(self._limits.idle_seconds, self._promised_idle_seconds))
        if self._transport is None:
            return
        if self._close_after_answer:
            self._end_queued(EndCause.LAST_RESPONSE)
            self._close_after_last()
        elif self._fault is not None and not self._queue:
            self._answer_fault()
        else:
            self._send_continue()
            self._handle_next()

    def _fail(self, fault: _BadRequest) -> None:
        self._fault = fault
        if self._in_message:
            self._observer.unread(EndCause.REFUSED)
        self._in_message = False
        self._body_chunks = []
        if self._held is not None:
            self._held.record.body_complete()
            self._held.record.release_body(self._reserved_bytes)
            self._reserved_bytes = 0
        if self._task is None and not self._queue:
            self._answer_fault()

    def _answer_fault(self) -> None:
        fault = self._fault
        if fault is None or self._transport is None:
            return
        content_type, body = self._server.format_fault(Fault(fault.status, str(fault)))
        head = b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n"
        values = (fault.status, reason_phrase(fault.status), content_type, len(body))
        retry_after = b""
        if fault.status == _MEMORY_STATUS:
            retry_after = b"Retry-After: %.3f\r\n" % _MEMORY_RETRY_SECONDS
        self.write(head % values + retry_after + b"\r\n" + body)
        self._linger()

    # --- writing and closing ------------------------------------------------

    def _close_after_last(self) -> None:
        """Close the connection behind its last response, once that is sent."""
        if self._transport is None:
            return
        if self._expects_close:
            self._transport.close()
        else:
            self._linger()

    def _linger(self) -> None:
        """Close the sending side; read and drop what arrives until the caller closes."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(_LINGER_SECONDS, self._end_linger)

    def _end_linger(self) -> None:
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._loop.call_later(_LINGER_SECONDS, self._end_linger)
        else:
            self._transport.close()

    def write(self, data: bytes) -> None:
        written = self._written_bytes
        self._written_bytes += len(data)
        if self._transport is None or self._transport.is_closing():
            if self._dropped_at is None:
                self._dropped_at = written
            return
        if self._held is None:
            self._transport.write(data)
        else:
            self._held.write(data)

    async def drain(self) -> None:
        await self._writable.wait()
        if self._held is not None:
            await self._held.drain()

    def close_after_answer(self) -> None:
        self._close_after_answer = True

    def reset_unless_sent(self, responder: Responder) -> None:
        """Reset the connection if it is closed before the response was sent whole."""
        if self._transport is not None:
            self._reset_without = responder
            set_reset_on_close(self._transport, True)

    def close_if_idle(self) -> None:
        if not self.busy and self._transport is not None:
            self._note_close(EndCause.STOP)
            self._transport.close()

    def cancel_unanswered(self) -> None:
        # A handler that has not started could send nothing if it were cancelled.
        if self._task is not None and self._responder and not self._responder.written:
            self._task.cancel()

    def abort(self, cause: EndCause) -> None:
        self._end_sent()
        self._note_close(cause)
        if self._transport is not None:
            self._transport.abort()

    # --- limits -------------------------------------------------------------

    def _refresh_limits(self) -> None:
        """Take the limits in force; a request that is being read keeps those that were larger."""
        limits = self._server.limits()
        if limits != self._limits:
            self._limits = self._limits.widened(limits) if self._in_message else limits

    def announced_idle_seconds(self) -> int:
        """Return the idle time to announce in a response, in whole seconds; 0 for none."""
        if not self._server.announces_idle_time:
            return 0
        self._refresh_limits()
        self._promised_idle_seconds = self._limits.idle_seconds
        return max(0, int(self._limits.idle_seconds - _KEEP_ALIVE_MARGIN_SECONDS))

    def _wait(self, seconds: float) -> None:
        """Begin to wait for the client, for `seconds` unless a longer time comes into force."""
        self._waiting_since = self._loop.time()
        self._deadline = self._waiting_since + seconds

    def _extend_wait(self) -> None:
        """Wait for as long as the limits in force allow, if that is longer than before."""
        self._refresh_limits()
        reads_header = self._in_message and not self._head_complete
        limits = self._limits
        seconds = limits.header_seconds if reads_header else limits.idle_seconds
        self._deadline = max(self._deadline, self._waiting_since + seconds)

    def _check_timeout(self) -> None:
        now = self._loop.time()
        if self._task is not None:
            self._deadline = max(self._deadline, now + self._limits.idle_seconds)
        elif now >= self._deadline:
            self._extend_wait()
        if now >= self._deadline and self._transport is not None:
            self._note_close(EndCause.IDLE)
            self._transport.close()
            return
        self._timer = self._loop.call_later(max(0.05, self._deadline - now), self._check_timeout)
