"""Call targets and the platform over HTTP, many at a time, from one thread.

The thread turns a pycurl `CurlMulti`; callers get `concurrent.futures`
futures.  Failures say whether the call surely never reached the other side.
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
from typing import NamedTuple

import pycurl
from fielddrift_core.interfaces import ExternalSystemError

from . import clock

__all__ = ["Call", "Head", "HttpClient", "Reply", "Stream"]

_MOST_IDLE = 256
_LOOP_SECONDS = 1.0
_BROKEN_OFF = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)
"""Codes of connections that the other side closed before an answer was whole."""


class Call(NamedTuple):
    """One HTTP call.  `timeout` is in seconds, for the whole call.

    `fresh` opens a connection of its own: on a kept one, libcurl itself sends
    a request again when the connection turns out to be dead, which a call
    that may not be repeated cannot bear.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}
    timeout: float = 5.0
    connect_timeout: float = 0.5
    fresh: bool = False


class Head(NamedTuple):
    """Status and headers (lower case) of an answer."""

    status: int
    headers: Mapping[str, str]


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


_END = None


class Stream:
    """An answer that is read while it arrives.

    Iterate over it for the body; the iteration raises `ExternalSystemError` when the
    answer breaks off, or when nothing comes for `stall` seconds.  Close it to
    cancel the call.
    """

    def __init__(self, *, cancel: Callable[[Stream], None]) -> None:
        self.head: Future[Head] = Future()
        self.stall: float | None = None
        self._cancel = cancel
        self._chunks: queue.SimpleQueue[bytes | ExternalSystemError | None] = queue.SimpleQueue()

    def __iter__(self) -> Iterator[bytes]:
        while (chunk := self._next()) is not _END:
            chunks = [chunk]
            # What has arrived together is handed on together.
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
            return self._chunks.get(timeout=self.stall)
        except queue.Empty:
            return ExternalSystemError(f"nothing came for {self.stall} s")

    def read(self) -> bytes:
        """Return the rest of the body."""
        return b"".join(self)

    def close(self) -> None:
        """Cancel the call; harmless once it has ended."""
        self._cancel(self)

    def put(self, chunk: bytes) -> None:
        """Hand a piece of the body to the reader."""
        self._chunks.put(chunk)

    def end(self, error: ExternalSystemError | None) -> None:
        """End the body, whole or with `error`."""
        if not self.head.done():
            self.head.set_exception(error or ExternalSystemError("no answer"))
        self._chunks.put(error if error is not None else _END)


class _Transfer:
    """One easy handle on its way: collects headers, passes the body on."""

    def __init__(self, *, call: Call, stream: Stream) -> None:
        self.call = call
        self.stream = stream
        self.status = 0
        self.headers: dict[str, str] = {}

    def header(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.status = int(text.split(" ", 2)[1])
            self.headers = {}
        elif text:
            name, _, value = text.partition(":")
            self.headers[name.lower()] = value.strip()
        elif self.status >= 200 and not self.stream.head.done():
            self.stream.head.set_result(Head(self.status, self.headers))

    def body(self, data: bytes) -> None:
        self.stream.put(data)

    def prepare(self, curl: pycurl.Curl) -> None:
        call = self.call
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout * 1000)))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(call.connect_timeout * 1000)))
        curl.setopt(pycurl.FRESH_CONNECT, int(call.fresh))
        if call.body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
        headers = {"Expect": "", **call.headers}
        curl.setopt(pycurl.HTTPHEADER, [f"{name}: {value}" for name, value in headers.items()])
        curl.setopt(pycurl.HEADERFUNCTION, self.header)
        curl.setopt(pycurl.WRITEFUNCTION, self.body)


class HttpClient:
    """Turn all outgoing calls of a node in one thread."""

    def __init__(self) -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MOST_IDLE)
        self._selector = selectors.DefaultSelector()
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        self._selector.register(self._reader, selectors.EVENT_READ)
        self._timer: float | None = None
        self._todo: deque[tuple[str, _Transfer | Stream]] = deque()
        self._by_stream: dict[Stream, pycurl.Curl] = {}
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._spare: list[pycurl.Curl] = []
        self._stopped = False
        self._ended = False
        self._todo_lock = threading.Lock()
        self._thread = threading.Thread(target=self._turn, name="http-client", daemon=True)
        self._thread.start()

    def stream(self, call: Call) -> Stream:
        """Start `call`; return its answer to be read while it arrives."""
        stream = Stream(cancel=self._cancel)
        self._wake("add", _Transfer(call=call, stream=stream))
        return stream

    def request(self, call: Call) -> Reply:
        """Make `call` and return its whole answer; raise `ExternalSystemError`."""
        stream = self.stream(call)
        head = stream.head.result()
        return Reply(head.status, head.headers, stream.read())

    def close(self) -> None:
        """Stop the thread; calls on their way fail, and so do later ones."""
        self._stopped = True
        os.write(self._writer, b".")
        self._thread.join(timeout=2 * _LOOP_SECONDS)

    def _cancel(self, stream: Stream) -> None:
        self._wake("cancel", stream)

    def _wake(self, what: str, item: _Transfer | Stream) -> None:
        with self._todo_lock:
            ended = self._ended
            if not ended:
                self._todo.append((what, item))
        if not ended:
            os.write(self._writer, b".")
        elif isinstance(item, _Transfer):
            item.stream.end(_closed(not_executed=True))

    # --- in the thread -----------------------------------------------------

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

    def _turn(self) -> None:
        try:
            self._turn_until_stopped()
        finally:
            # Whoever waits for an answer would wait for ever without this thread.
            self._end_all()

    def _end_all(self) -> None:
        with self._todo_lock:
            self._ended = True
        while self._todo:
            _, item = self._todo.popleft()
            if isinstance(item, _Transfer):
                item.stream.end(_closed(not_executed=True))
        for transfer in self._transfers.values():
            transfer.stream.end(_closed(not_executed=False))

    def _turn_until_stopped(self) -> None:
        while not self._stopped:
            for key, events in self._selector.select(self._timeout()):
                if key.fd == self._reader:
                    os.read(self._reader, 65536)
                else:
                    self._act(key.fd, events)
            self._take_todo()
            if self._timer is not None and clock.now() >= self._timer:
                self._timer = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._collect()

    def _timeout(self) -> float:
        if self._timer is None:
            return _LOOP_SECONDS
        return max(0.0, min(_LOOP_SECONDS, self._timer - clock.now()))

    def _act(self, fd: int, events: int) -> None:
        mask = pycurl.CSELECT_IN if events & selectors.EVENT_READ else 0
        mask |= pycurl.CSELECT_OUT if events & selectors.EVENT_WRITE else 0
        self._multi.socket_action(fd, mask)

    def _take_todo(self) -> None:
        while self._todo:
            what, item = self._todo.popleft()
            if isinstance(item, _Transfer):
                self._add(item)
            elif (curl := self._by_stream.get(item)) is not None:
                self._finish(curl, ExternalSystemError("cancelled"))

    def _add(self, transfer: _Transfer) -> None:
        curl = self._spare.pop() if self._spare else pycurl.Curl()
        transfer.prepare(curl)
        self._transfers[curl] = transfer
        self._by_stream[transfer.stream] = curl
        self._multi.add_handle(curl)

    def _collect(self) -> None:
        while True:
            left, good, bad = self._multi.info_read()
            for curl in good:
                self._finish(curl, None)
            for curl, code, message in bad:
                self._finish(curl, self._error(curl, code, message))
            if not left:
                return

    def _error(self, curl: pycurl.Curl, code: int, message: str) -> ExternalSystemError:
        # Nothing can have run where no connection came to stand.  On a kept one that was dead
        # libcurl has sent the request before, whatever became of the connection after it.
        sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
        no_connection = code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
        refused = no_connection and curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
        not_executed = not sent and (no_connection or code == pycurl.E_OPERATION_TIMEDOUT)
        broken = code in _BROKEN_OFF or (sent and no_connection)
        url = self._transfers[curl].call.url
        return ExternalSystemError(
            f"{url}: {message or code}", not_executed=not_executed, refused=refused, broken=broken
        )

    def _finish(self, curl: pycurl.Curl, error: ExternalSystemError | None) -> None:
        transfer = self._transfers.pop(curl)
        del self._by_stream[transfer.stream]
        self._multi.remove_handle(curl)
        curl.reset()
        if len(self._spare) < _MOST_IDLE:
            self._spare.append(curl)
        transfer.stream.end(error)


def _closed(*, not_executed: bool) -> ExternalSystemError:
    return ExternalSystemError("this process's client was closed", not_executed=not_executed)
