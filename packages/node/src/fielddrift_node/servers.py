"""Serve a WSGI application with the node's asynchronous HTTP server.

The event loop reads requests and writes responses; the application, which
blocks, runs on a bounded thread pool.  Each chunk of a response is sent as
soon as the application yields it.  When a caller disconnects, the application
is stopped at its next chunk.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeout
from enum import Enum
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote_to_bytes

from fielddrift_core.errors import ErrorKind, Ran, Refusal

from .clock import SuspendAwareLoop
from .log import get
from .web.messages import Headers
from .web.server import Fault, FaultAnswer, Limits, Request, Responder, Server

__all__ = ["ApplicationServer"]

_START_SECONDS = 10.0
_STOP_SECONDS = 5.0
_CANCEL_SECONDS = 1.0
"""Time for cancelled responses to end; part of the time that `stop` waits for the loop."""
_BODY_SLACK_BYTES = 1024 * 1024
"""Bytes that a body may have beyond the longest prompt, so that the application reports a prompt
that is too long."""
_POLL_SECONDS = 0.2
"""Interval at which a thread that waits for the loop checks whether it still runs."""
_MAX_QUEUED_CHUNKS = 64
"""Chunks of one response that are queued for a slow caller before the application blocks."""

_WSGIApplication = Callable[[Any, Any], Iterable[bytes]]


class _CallerDisconnected(Exception):
    """The caller closed its connection, or the server stopped, before the response was complete."""


class _EndMarker(Enum):
    """How the application's response ended; queued after its last chunk."""

    COMPLETE = "whole"
    FAILED = "failed"


_Chunks = asyncio.Queue[bytes | _EndMarker]


class _ResponseHead:
    """Status and headers of a response, set when the application calls `start_response`."""

    def __init__(self) -> None:
        self.status = 500
        self.headers: list[tuple[str, str]] = []

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: object = None
    ) -> None:
        """Store the status and the headers (the `start_response` of PEP 3333)."""
        self.status = int(status.partition(" ")[0])
        self.headers = headers


class ApplicationServer:
    """Serve the WSGI application `app` at an address, in a thread of its own.

    `threads` is the size of the pool that runs the application, `body` the
    length of the longest prompt in bytes.  Raises `OSError` when the address
    cannot be bound.
    """

    def __init__(
        self, *, app: _WSGIApplication, host: str, port: int, threads: int, body: int
    ) -> None:
        self._app = app
        self._host, self._port = host, port
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="caller")
        limits = Limits(
            body_bytes=body + _BODY_SLACK_BYTES, header_bytes=64 * 1024, idle_seconds=60.0
        )
        self._loop = SuspendAwareLoop()
        self._server = Server(
            handler=self._handle, limits=lambda: limits, format_fault=_format_fault
        )
        self._ready = threading.Event()
        self._stopped = threading.Event()
        self._fault: OSError | None = None
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)
        self._thread.start()
        self._ready.wait(_START_SECONDS)
        if self._fault is not None:
            raise self._fault

    def stop(self) -> None:
        """Stop the server: close its connections and cancel the requests that wait for a thread."""
        self._stopped.set()
        self._loop.call_soon_threadsafe(self._close)
        self._thread.join(_STOP_SECONDS)
        self._pool.shutdown(wait=False, cancel_futures=True)

    # --- event loop thread ------------------------------------------------------

    def _run(self) -> None:
        try:
            self._loop.run_until_complete(self._server.start(self._host, self._port))
        except OSError as error:
            self._fault = error
            self._ready.set()
            return
        self._ready.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._cancel_responses())

    async def _cancel_responses(self) -> None:
        """Cancel the remaining responses and wait for them: a task must not outlive its loop."""
        answers = asyncio.all_tasks() - {asyncio.current_task()}
        for answer in answers:
            answer.cancel()
        if answers:
            await asyncio.wait(answers, timeout=_CANCEL_SECONDS)

    def _close(self) -> None:
        self._server.stop_accepting()
        self._server.close()
        self._loop.call_soon(self._loop.stop)

    async def _handle(self, request: Request, responder: Responder) -> None:
        chunks: _Chunks = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        head, left = _ResponseHead(), threading.Event()
        work = self._loop.run_in_executor(self._pool, self._apply, request, head, chunks, left)
        try:
            chunk = await chunks.get()
            if isinstance(chunk, bytes):
                headers = Headers([(n.encode(), v.encode("latin-1")) for n, v in head.headers])
                length = headers.text(b"content-length")
                kept = Headers(headers.without_hop_by_hop())
                responder.start(head.status, kept, int(length) if length else None)
            while isinstance(chunk, bytes):
                responder.write(chunk)
                await responder.drain()
                chunk = await chunks.get()
            if chunk is _EndMarker.COMPLETE:
                responder.end()
            else:
                responder.cut()
        finally:
            left.set()
            self._drain_queue(chunks)
        await work

    def _drain_queue(self, chunks: _Chunks) -> None:
        """Empty the queue, so that a blocked application reaches its check for a disconnect."""
        while not chunks.empty():
            chunks.get_nowait()

    # --- pool threads -------------------------------------------------------------

    def _apply(
        self,
        request: Request,
        head: _ResponseHead,
        chunks: _Chunks,
        left: threading.Event,
    ) -> None:
        """Run the application and queue its chunks for the event loop."""

        def put(chunk: bytes | _EndMarker) -> None:
            if left.is_set() or self._stopped.is_set():
                raise _CallerDisconnected
            future = asyncio.run_coroutine_threadsafe(chunks.put(chunk), self._loop)
            while True:
                try:
                    future.result(_POLL_SECONDS)
                    return
                except FutureTimeout:
                    # A stopped loop never completes the future; the thread must still end.
                    if left.is_set() or self._stopped.is_set():
                        future.cancel()
                        raise _CallerDisconnected from None

        body: Iterable[bytes] = ()
        try:
            body = self._app(_environ(request, self._host, self._port), head.start_response)
            empty = True
            for chunk in body:
                if chunk:
                    put(chunk)
                    empty = False
            if empty:
                put(b"")
            put(_EndMarker.COMPLETE)
        except _CallerDisconnected:
            get().info("caller disconnected", path=request.head.target.decode("latin-1"))
        except Exception:
            get().exception("answer failed", path=request.head.target.decode("latin-1"))
            # Without an end marker, the event loop would wait for the next chunk forever.
            with contextlib.suppress(_CallerDisconnected):
                put(_EndMarker.FAILED)
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()


def _format_fault(fault: Fault) -> FaultAnswer:
    """Return the problem document for a request that cannot be parsed."""
    kind = (
        ErrorKind.TOO_LARGE
        if fault.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        else ErrorKind.BAD_REQUEST
    )
    problem = Refusal(kind, fault.detail, Ran.NO).problem(request_id="")
    problem["status"] = fault.status
    return FaultAnswer(b"application/problem+json", json.dumps(problem).encode())


def _environ(request: Request, host: str, port: int) -> dict[str, Any]:
    """Return the WSGI environment of a request (PEP 3333)."""
    path, _, query = request.head.target.partition(b"?")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": request.head.method.decode("ascii"),
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query.decode("latin-1"),
        "SERVER_NAME": host,
        "SERVER_PORT": str(port),
        "SERVER_PROTOCOL": "HTTP/1.1",
        "CONTENT_LENGTH": str(len(request.body)),
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": io.StringIO(),
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in request.head.headers:
        key = name.decode("latin-1").upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            environ[key] = value.decode("latin-1")
            continue
        key = f"HTTP_{key}"
        text = value.decode("latin-1")
        environ[key] = f"{environ[key]},{text}" if key in environ else text
    environ["CONTENT_LENGTH"] = str(len(request.body))
    return environ
