"""A response that belongs to another request is not taken for the answer to this one.

Failure: a target answered a request twice, the second time late, on a kept connection.  The
next request on that connection got the answer to the request before it.
"""

from __future__ import annotations

import json
import socket
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.filters import call as call_filter
from fielddrift_node.filters import run as run_filter
from fielddrift_node.http_client import Call, HttpClient
from fielddrift_node.settle import AttemptFailed
from fielddrift_node.targets import LoadReport, RunOrder, TargetClient

from .scripted_target import SocketTarget, read_head

_TIMEOUT_SECONDS = 5.0
_LOAD = b'{"running": %d, "queued": 0, "backlog": 0}'


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        field, _, value = line.partition(b": ")
        if field.lower() == name:
            return value
    return b""


class StutteringTarget(SocketTarget):
    """Answer each request, and again, late, when another one arrives on the same connection.

    The body of an answer names the id of its run, or counts the requests.  `echoes` returns the
    request's id with each answer; `answered_id` is returned in its place if given.
    """

    def __init__(self, *, echoes: bool, answered_id: bytes = b"") -> None:
        self._echoes = echoes
        self._answered_id = answered_id
        self.requests = 0
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        late = b""
        with connection.makefile("rb") as received:
            while head := read_head(received):
                body = received.read(int(_field(head, b"content-length") or b"0"))
                self.requests += 1
                answer = self._answer(head, body)
                connection.sendall(late or answer)
                late = answer

    def _answer(self, head: bytes, body: bytes) -> bytes:
        if head.startswith(b"GET /load"):
            data = _LOAD % self.requests
        elif head.startswith(b"POST /v1/runs"):
            data = json.loads(body)["run"].encode()
        else:
            data = b"call %d" % self.requests
        request_id = self._answered_id or (_field(head, b"x-request-id") if self._echoes else b"")
        line = b"X-Request-Id: %s\r\n" % request_id if request_id else b""
        return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (line, len(data), data)


class LateSecondAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        self.targets = TargetClient(http=self.http)

    def _target(self, **options: Any) -> Any:
        self.server = StutteringTarget(**options)
        self.addCleanup(self.server.close)
        return SimpleNamespace(name="t1", address=self.server.address)

    def _run(self, target: Any, run: str) -> bytes:
        order = RunOrder(run, "c", "m", "v1", "salt", "prompt", 8)
        return self.targets.run(target, order, timeout=_TIMEOUT_SECONDS).read()

    def _call(self, target: Any, request_id: str) -> bytes:
        url = f"http://{target.address}/call/x"
        call = Call("POST", url, b"body", {"X-Request-Id": request_id}, _TIMEOUT_SECONDS)
        return self.targets.call(target, call).body

    def test_a_late_second_answer_is_not_taken_for_the_next_runs(self) -> None:
        for echoes in (False, True):
            target = self._target(echoes=echoes)
            self.assertEqual([self._run(target, r) for r in ("r1", "r2")], [b"r1", b"r2"])

    def test_a_late_second_answer_of_a_call_is_not_taken_for_the_next_polls(self) -> None:
        for echoes in (False, True):
            target = self._target(echoes=echoes)
            self.assertEqual(self._call(target, "r1"), b"call 1")
            self.assertEqual(self.targets.load(target, after=0).running, 2)

    def test_a_late_second_state_is_not_taken_for_an_orders_answer(self) -> None:
        target = self._target(echoes=False)
        for number in (1, 2):
            with self.assertRaises(ExternalSystemError):
                self.targets.state(target)
            self.assertEqual(self.server.connections, number)

    def test_a_late_second_poll_is_refused_by_its_id(self) -> None:
        target = self._target(echoes=True)
        self.assertEqual(self.targets.load(target, after=0).running, 1)
        with self.assertRaisesRegex(ExternalSystemError, "X-Request-Id"):
            self.targets.load(target, after=0)
        self.assertIsInstance(self.targets.load(target, after=0), LoadReport)
        self.assertEqual(self.server.connections, 2)

    def test_an_answer_with_another_requests_id_is_no_answer_to_a_call(self) -> None:
        target = self._target(echoes=True, answered_id=b"another")
        with self.assertRaisesRegex(ExternalSystemError, "another") as raised:
            self._call(target, "r1")
        self.assertFalse(raised.exception.not_executed)
        self.assertFalse(raised.exception.broken)


class RetryReasonTest(unittest.TestCase):
    """The answer with another id fails the send, which then counts as perhaps run."""

    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        server = StutteringTarget(echoes=True, answered_id=b"another")
        self.addCleanup(server.close)
        self.target: Any = SimpleNamespace(name="t1", address=server.address)
        self.exchange = mock.MagicMock()
        self.exchange.request_id, self.exchange.key, self.exchange.left = "r1", "", 5.0
        self.exchange.runtime.targets = TargetClient(http=self.http)

    def _assert_wrong_head(self, failure: AttemptFailed) -> None:
        self.assertEqual((failure.reason, failure.not_executed), ("wrong-head", False))

    def test_a_call_fails_for_the_wrong_head(self) -> None:
        self.exchange.customer.name = "c"
        self.exchange.call = SimpleNamespace(
            method="POST", path="x", query="", body=b"b", content_type=""
        )
        with self.assertRaises(AttemptFailed) as raised:
            call_filter._send_once(self.exchange, self.target)
        self._assert_wrong_head(raised.exception)

    def test_a_run_fails_for_the_wrong_head(self) -> None:
        order = RunOrder("r1", "c", "m", "v1", "salt", "prompt", 8)
        stream = self.exchange.runtime.targets.run(self.target, order, timeout=5.0)
        self.exchange.repeatable, self.exchange.targets = False, []
        choice: Any = SimpleNamespace(target=self.target, ttft=0.1)
        with self.assertRaisesRegex(AttemptFailed, "X-Request-Id") as raised:
            run_filter._await_head(self.exchange, choice, order, stream)
        self._assert_wrong_head(raised.exception)
