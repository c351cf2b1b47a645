"""Serve a WSGI application; which server is a setting."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, Protocol

from cheroot import wsgi
from werkzeug.serving import BaseWSGIServer, make_server

from .log import get

__all__ = ["SERVERS", "Server", "server"]

_BACKLOG = 1024
_START_SECONDS = 10


class Server(Protocol):
    """A server on its own threads."""

    def stop(self) -> None:
        """Stop serving."""


_Start = Callable[[Any, str, int, int], Server]
SERVERS: dict[str, _Start] = {}


def server(name: str) -> Callable[[_Start], _Start]:
    """Register the decorated function as the one that starts the server `name`."""

    def register(function: _Start) -> _Start:
        SERVERS[name] = function
        return function

    return register


class _LoggingServer(wsgi.Server):
    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a connection that ended with an error; a caller may always go away."""
        if traceback:
            get().info("connection ended", detail=msg.strip())


class _Cheroot:
    def __init__(self, app: Any, host: str, port: int, threads: int) -> None:
        self._server = _LoggingServer(
            (host, port), app, numthreads=threads, request_queue_size=_BACKLOG
        )
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._server.stop()
        self._thread.join(_START_SECONDS)


@server("cheroot")
def start_cheroot(app: Any, host: str, port: int, threads: int) -> Server:
    """Start cheroot: a bounded pool of threads, kept connections."""
    return _Cheroot(app, host, port, threads)


class _Werkzeug:
    def __init__(self, app: Any, host: str, port: int) -> None:
        self._server: BaseWSGIServer = make_server(host, port, app, threaded=True)
        self._thread = threading.Thread(target=self._server.serve_forever, name="http", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._server.shutdown()
        self._thread.join(_START_SECONDS)


@server("werkzeug")
def start_werkzeug(app: Any, host: str, port: int, threads: int) -> Server:
    """Start werkzeug's own server: a thread a connection, no bound on them."""
    return _Werkzeug(app, host, port)
