"""What the head of a target's response tells is heeded on the own interface too.

Failure: a coded body was handed to the caller as a plain one, without its Content-Encoding; a head
with the ids of two requests answered one of them; and a response to HEAD was waited for until its
time was over.
"""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.http_client import AnswerMismatchError, Call, HttpClient, Reply
from fielddrift_node.targets import TargetClient

from .scripted_target import ScriptedTarget

_HEADERS = {"X-Request-Id": "r"}
_SECONDS = 1.0


class TestOwnInterfaceHeads(unittest.TestCase):
    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        self.targets = TargetClient(http=self.http)

    def _call(self, fields: bytes, body: bytes = b"body", method: str = "GET") -> Reply:
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n" % fields
        server = ScriptedTarget(script=[[head + body]])
        self.addCleanup(server.close)
        target: Any = SimpleNamespace(name="t1", address=server.address)
        call = Call(method, f"{server.url}call/x", None, _HEADERS, timeout=_SECONDS)
        return self.targets.call(target, call)

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
