"""Serve the own interface's application over the one HTTP path of the node.

The event loop reads requests and writes answers; the application, which
blocks, runs on a bounded pool.  Pieces of an answer go out as they come.  When
a caller leaves, the application hears of it at its next piece.
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
_END_SECONDS = 1.0
"""Time for answers that were cancelled to end, of what a stop waits for the loop."""
_BODY_SLACK = 1024 * 1024
"""Bytes beyond the longest prompt that a request may have: the application names the fault."""
_LOOK_SECONDS = 0.2
"""How often a thread that waits for the loop looks whether that still runs."""
_QUEUED_PIECES = 64
"""Pieces of one answer that wait for a slow caller before the application is held up."""

_Application = Callable[[Any, Any], Iterable[bytes]]


class _CallerLeft(Exception):
    """The caller closed its connection before its answer was whole."""


class _Ended(Enum):
    """How an application's answer ended; put behind its last piece."""

    WHOLE = "whole"
    FAILED = "failed"


_Pieces = asyncio.Queue[bytes | _Ended]


class _Head:
    """The head that the application gave, once it did."""

    def __init__(self) -> None:
        self.status = 500
        self.headers: list[tuple[str, str]] = []

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: object = None
    ) -> None:
        """Take the head."""
        self.status = int(status.partition(" ")[0])
        self.headers = headers


class ApplicationServer:
    """Serve `app` at an address, from a thread of its own."""

    def __init__(self, *, app: _Application, host: str, port: int, threads: int, body: int) -> None:
        self._app = app
        self._host, self._port = host, port
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="caller")
        limits = Limits(body_bytes=body + _BODY_SLACK, header_bytes=64 * 1024, idle_seconds=60.0)
        self._loop = SuspendAwareLoop()
        self._server = Server(handler=self._handle, limits=lambda: limits, format_fault=_problem)
        self._ready = threading.Event()
        self._stopped = threading.Event()
        self._fault: OSError | None = None
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)
        self._thread.start()
        self._ready.wait(_START_SECONDS)
        if self._fault is not None:
            raise self._fault

    def stop(self) -> None:
        """Stop serving."""
        self._stopped.set()
        self._loop.call_soon_threadsafe(self._close)
        self._thread.join(_STOP_SECONDS)
        self._pool.shutdown(wait=False, cancel_futures=True)

    # --- the loop's thread ------------------------------------------------------

    def _run(self) -> None:
        try:
            self._loop.run_until_complete(self._server.start(self._host, self._port))
        except OSError as error:
            self._fault = error
            self._ready.set()
            return
        self._ready.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._end_answers())

    async def _end_answers(self) -> None:
        """Let the answers end that the close has cancelled: a task must not outlive its loop."""
        answers = asyncio.all_tasks() - {asyncio.current_task()}
        for answer in answers:
            answer.cancel()
        if answers:
            await asyncio.wait(answers, timeout=_END_SECONDS)

    def _close(self) -> None:
        self._server.stop_accepting()
        self._server.close()
        self._loop.call_soon(self._loop.stop)

    async def _handle(self, request: Request, responder: Responder) -> None:
        pieces: _Pieces = asyncio.Queue(_QUEUED_PIECES)
        head, left = _Head(), threading.Event()
        work = self._loop.run_in_executor(self._pool, self._apply, request, head, pieces, left)
        try:
            piece = await pieces.get()
            if isinstance(piece, bytes):
                headers = Headers([(n.encode(), v.encode("latin-1")) for n, v in head.headers])
                length = headers.text(b"content-length")
                kept = Headers(headers.without_hop_by_hop())
                responder.start(head.status, kept, int(length) if length else None)
            while isinstance(piece, bytes):
                responder.write(piece)
                await responder.drain()
                piece = await pieces.get()
            if piece is _Ended.WHOLE:
                responder.end()
            else:
                responder.cut()
        finally:
            left.set()
            self._unblock(pieces)
        await work

    def _unblock(self, pieces: _Pieces) -> None:
        """Let the application run on to where it hears that its caller left."""
        while not pieces.empty():
            pieces.get_nowait()

    # --- a pool's thread ----------------------------------------------------------

    def _apply(
        self,
        request: Request,
        head: _Head,
        pieces: _Pieces,
        left: threading.Event,
    ) -> None:
        """Run the application, and pass its pieces to the loop."""

        def put(piece: bytes | _Ended) -> None:
            if left.is_set() or self._stopped.is_set():
                raise _CallerLeft
            placed = asyncio.run_coroutine_threadsafe(pieces.put(piece), self._loop)
            while True:
                try:
                    placed.result(_LOOK_SECONDS)
                    return
                except FutureTimeout:
                    # A loop that was stopped never answers; the thread must still end.
                    if left.is_set() or self._stopped.is_set():
                        placed.cancel()
                        raise _CallerLeft from None

        body: Iterable[bytes] = ()
        try:
            body = self._app(_environ(request, self._host, self._port), head.start_response)
            empty = True
            for piece in body:
                if piece:
                    put(piece)
                    empty = False
            if empty:
                put(b"")
            put(_Ended.WHOLE)
        except _CallerLeft:
            get().info("caller left", path=request.head.target.decode("latin-1"))
        except Exception:
            get().exception("answer failed", path=request.head.target.decode("latin-1"))
            # The loop would wait for the next piece for ever.
            with contextlib.suppress(_CallerLeft):
                put(_Ended.FAILED)
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()


def _problem(fault: Fault) -> FaultAnswer:
    """Word a request that cannot be read as a problem document."""
    kind = (
        ErrorKind.TOO_LARGE
        if fault.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        else ErrorKind.BAD_REQUEST
    )
    problem = Refusal(kind, fault.detail, Ran.NO).problem(request_id="")
    problem["status"] = fault.status
    return FaultAnswer(b"application/problem+json", json.dumps(problem).encode())


def _environ(request: Request, host: str, port: int) -> dict[str, Any]:
    """Return the request as PEP 3333 spells it."""
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
