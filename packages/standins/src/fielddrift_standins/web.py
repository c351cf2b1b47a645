"""Serve a stand-in over HTTP, with switches for its faults."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import click
from cheroot import wsgi
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

__all__ = ["App", "Faults", "json_response", "listen_options", "lost", "run"]

_THREADS = 48
_CRASHED = 70
"""The exit code of a stand-in that a request has ended."""
Handler = Callable[..., Response]


class Faults:
    """Hold the switches: a name is off while its value is falsy."""

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}

    def get(self, name: str) -> Any:
        """Return a switch's value, None when it was never set."""
        return self._values.get(name)

    def set(self, values: dict[str, Any]) -> None:
        """Set some switches, leaving the others."""
        self._values.update(values)

    def take(self, name: str) -> bool:
        """Count a numeric switch down; return whether it was on."""
        left = self._values.get(name) or 0
        if left <= 0:
            return False
        self._values[name] = left - 1
        return True


class App:
    """A WSGI application of URL rules; `down` and `slow` work for all of them.

    `fatal` is a text that ends the process when a request that runs has it in its body.
    """

    def __init__(self, *, rules: list[tuple[str, str, Handler]]) -> None:
        self.faults = Faults()
        self._map = Map(
            [Rule(path, methods=[method], endpoint=handler) for method, path, handler in rules]
            + [Rule("/faults", methods=["POST"], endpoint=self._set_faults)],
            merge_slashes=False,
        )

    def __call__(self, environ: Any, start_response: Any) -> Any:
        request = Request(environ)
        try:
            handler, values = self._map.bind_to_environ(environ).match()
            if handler != self._set_faults and (broken := self._broken()):
                return broken(environ, start_response)
            response = handler(request, **values)
        except HTTPException as error:
            response = error.get_response(environ)
        if request_id := request.headers.get("X-Request-Id"):
            response.headers["X-Request-Id"] = request_id
        return response(environ, start_response)

    def _broken(self) -> Response | None:
        if slow := self.faults.get("slow"):
            time.sleep(slow)
        return lost() if self.faults.get("down") else None

    def end_if_fatal(self, body: str) -> None:
        """End this process, as a crash does, where `body` has the text of the switch `fatal`."""
        fatal = self.faults.get("fatal")
        if fatal and fatal in body:
            os._exit(_CRASHED)

    def _set_faults(self, request: Request) -> Response:
        self.faults.set(request.get_json())
        return json_response({})


def json_response(body: Any, status: int = 200, **headers: str) -> Response:
    """Return `body` as a JSON response."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(json.dumps(body), status, named, mimetype="application/json")


def lost() -> Response:
    """Return a response that closes the connection instead of answering."""

    def cut() -> Iterator[bytes]:
        yield b" "
        raise ConnectionAbortedError

    return Response(cut(), 200, {"Content-Length": "1000"})


class _Server(wsgi.Server):
    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Say nothing: cut connections are what the switches are for."""


def listen_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options that say where a stand-in listens."""
    function = click.option("--port", default=0, show_default=True)(function)
    return click.option("--host", default="127.0.0.1", show_default=True)(function)


def run(app: App, host: str, port: int, *, threads: int = _THREADS) -> None:
    """Serve `app` until SIGTERM, printing its address first."""
    server = _Server((host, port), app, numthreads=threads, request_queue_size=512)
    server.prepare()
    signal.signal(signal.SIGTERM, lambda *_: threading.Thread(target=server.stop).start())
    print(json.dumps({"address": f"{host}:{server.bind_addr[1]}"}), flush=True)
    try:
        server.serve()
    except KeyboardInterrupt:
        server.stop()
    sys.exit(0)
