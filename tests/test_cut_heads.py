"""A response that is cut inside its head counts as cut by its target.

Failure: libcurl reports such a response as complete.  The send failed without a word of the
connection's end, so requests that ended a target there were not counted with its crashes.
"""

from __future__ import annotations

import socket
import threading
import unittest

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.http_client import Call, HttpClient


class CutHeadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)

    def _send_and_close(self, data: bytes) -> str:
        """Return the URL of a target that sends `data` once and closes the connection."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)

        def serve() -> None:
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(data)

        threading.Thread(target=serve, daemon=True).start()
        return f"http://127.0.0.1:{server.getsockname()[1]}/"

    def test_a_response_cut_at_any_byte_of_its_head_is_broken(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
        for cut in range(len(b"HTTP/1.1 "), len(head)):
            url = self._send_and_close(head[:cut])
            with self.assertRaises(ExternalSystemError) as raised:
                self.http.request(Call("GET", url))
            self.assertTrue(raised.exception.broken, head[:cut])
            self.assertFalse(raised.exception.not_executed)
