"""What the head of a target's response tells is heeded on the own interface too.

Failure: a coded body was handed to the caller as a plain one, without its Content-Encoding; a head
with the ids of two requests answered one of them; and a response to HEAD was waited for until its
time was over.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest
from types import SimpleNamespace
from typing import Any

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.http_client import AnswerMismatchError, Call, HttpClient, Reply
from fielddrift_node.targets import TargetClient

_HEADERS = {"X-Request-Id": "r"}
_SECONDS = 1.0


class TestOwnInterfaceHeads(unittest.TestCase):
    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        self.targets = TargetClient(http=self.http)

    def _target(self, answer: bytes) -> Any:
        """Return a target that answers the first call with `answer` and keeps its connection."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)

        def serve() -> None:
            with contextlib.suppress(OSError):
                connection, _ = server.accept()
                with connection:
                    connection.recv(65536)
                    connection.sendall(answer)
                    connection.recv(65536)

        threading.Thread(target=serve, daemon=True).start()
        return SimpleNamespace(name="t1", address=f"127.0.0.1:{server.getsockname()[1]}")

    def _call(self, fields: bytes, body: bytes = b"body", method: str = "GET") -> Reply:
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n" % fields
        target = self._target(head + body)
        url = f"http://{target.address}/call/x"
        return self.targets.call(target, Call(method, url, None, _HEADERS, timeout=_SECONDS))

    def test_a_coded_body_is_not_passed_on(self) -> None:
        with self.assertRaisesRegex(ExternalSystemError, "gzip") as raised:
            self._call(b"Content-Encoding: gzip\r\n")
        self.assertFalse(raised.exception.not_executed)

    def test_a_head_with_two_ids_answers_no_request(self) -> None:
        for ids in (b"other", b"r"), (b"r", b"other"), (b"r", b"r"):
            with self.subTest(ids=ids), self.assertRaises(AnswerMismatchError):
                self._call(b"X-Request-Id: %s\r\nX-Request-Id: %s\r\n" % ids)

    def test_a_response_to_head_ends_with_its_head(self) -> None:
        reply = self._call(b"", body=b"", method="HEAD")
        self.assertEqual((reply.status, reply.body), (200, b""))
