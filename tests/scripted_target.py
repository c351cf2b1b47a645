"""Targets that answer on plain sockets, each connection in a thread of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable
from itertools import chain
from typing import BinaryIO

_STOP_SECONDS = 5.0


class SocketTarget:
    """Accept connections and hand them to `serve`, which subclasses define."""

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.connections = 0
        self._open: list[socket.socket] = []
        self._threads: list[threading.Thread] = []
        self._start(self._accept)

    def serve(self, connection: socket.socket) -> None:
        """Serve a connection; it is closed on return.  `OSError` is suppressed."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Refuse further connections."""
        # Closing alone does not wake a thread that waits in `accept`.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def close(self) -> None:
        """Close all connections.  Raise `RuntimeError` if a thread goes on."""
        self.stop_listening()
        for connection in self._open:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(_STOP_SECONDS)
            # A thread that is left running slows every later test of this process.
            if thread.is_alive():
                raise RuntimeError(f"a thread of {self.address} still runs")

    def _start(self, function: Callable[..., None], *args: object) -> None:
        thread = threading.Thread(target=function, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            self._open.append(connection)
            self._start(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            self.serve(connection)


class ScriptedTarget(SocketTarget):
    """Send the pieces of one script on each connection; `cut` tells that the peer closed it."""

    def __init__(self, *, script: Iterable[Iterable[bytes]]) -> None:
        self._script = list(script)
        self.cut = threading.Event()
        super().__init__()
        self.url = f"http://{self.address}/"

    def serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            connection.recv(65536)
            for piece in chain(*self._script):
                connection.sendall(piece)
            connection.recv(1)
        self.cut.set()


def read_head(received: BinaryIO) -> bytes:
    """Return the lines of a request's head; empty if the connection ends before or inside it."""
    lines = []
    while line := received.readline():
        if line == b"\r\n":
            return b"".join(lines)
        lines.append(line)
    return b""
