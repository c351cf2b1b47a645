"""A target that sends prepared bytes, whatever it is asked."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterable
from itertools import chain


class ScriptedTarget:
    """Send the pieces of one script on each connection; `cut` tells that the peer closed it."""

    def __init__(self, *, script: Iterable[Iterable[bytes]]) -> None:
        self._script = list(script)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._socket.getsockname()[1]}/"
        self.cut = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        self._socket.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.recv(65536)
                for piece in chain(*self._script):
                    connection.sendall(piece)
                connection.recv(1)
            self.cut.set()
