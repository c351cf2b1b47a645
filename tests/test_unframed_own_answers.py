"""A service's answer that ends only with its connection is whole only if the service lives on.

Failure: on the own interface an answer with neither a length nor chunks, cut by the end of its
service, was handed to the caller as whole, and kept for the key of a call that may run once.
"""

from __future__ import annotations

import socket
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.filters import call as call_filter
from fielddrift_node.http_client import Call, HttpClient
from fielddrift_node.settle import AttemptFailed
from fielddrift_node.targets import TargetClient

from .scripted_target import SocketTarget, read_head

_UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Epoch: 7\r\n\r\nhalf"
_LOAD = b'{"running": 0, "queued": 0, "backlog": 0, "epoch": %d}'
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


def _load(epoch: int) -> bytes:
    body = _LOAD % epoch
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class _Service(SocketTarget):
    """Answer calls with `answer`, polls with `load`; each answer ends with its connection.

    If `load` is None, the service ends with its first answer.
    """

    def __init__(self, *, answer: bytes, load: bytes | None) -> None:
        self._answer = answer
        self.load = load
        self.polls = 0
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as received:
            head = read_head(received)
            received.read(head.count(b"Content-Length: 1\r\n"))
            is_poll = head.startswith(b"GET /load")
            self.polls += is_poll
            connection.sendall(self.load or b"" if is_poll else self._answer)
            if self.load is None:
                self.stop_listening()


class UnframedOwnAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        self.targets = TargetClient(http=self.http)

    def _service(self, load: bytes | None, answer: bytes = _UNFRAMED) -> Any:
        self.service = _Service(answer=answer, load=load)
        self.addCleanup(self.service.close)
        return SimpleNamespace(name="t1", address=self.service.address)

    def _call(self, target: Any, method: str = "GET") -> bytes:
        return self.targets.call(target, Call(method, f"http://{target.address}/call/x")).body

    def _assert_cut(self, target: Any) -> None:
        with self.assertRaisesRegex(ExternalSystemError, "without a length") as raised:
            self._call(target)
        self.assertTrue(raised.exception.broken)
        self.assertFalse(raised.exception.not_executed)

    def test_an_answer_that_ends_with_its_service_is_cut(self) -> None:
        self._assert_cut(self._service(None))

    def test_a_service_that_is_slow_to_tell_does_not_count_as_ended(self) -> None:
        target = self._service(_load(7))
        slow = ExternalSystemError("timed out")
        with (
            mock.patch.object(self.targets, "_load_call", side_effect=slow),
            self.assertRaisesRegex(ExternalSystemError, "without a length") as raised,
        ):
            self._call(target)
        self.assertFalse(raised.exception.broken)

    def test_an_answer_of_a_service_that_was_replaced_is_cut(self) -> None:
        self._assert_cut(self._service(_load(8)))

    def test_an_answer_without_an_epoch_is_cut_if_polls_tell_that_its_service_was_replaced(
        self,
    ) -> None:
        answer = b"HTTP/1.1 200 OK\r\n\r\nhalf"
        target = self._service(_load(7), answer)
        self.assertEqual(self.targets.load(target, after=0).epoch, 7)
        self.assertEqual(self._call(target), b"half")
        self.service.load = _load(8)
        self._assert_cut(target)

    def test_an_answer_of_a_service_that_lives_on_is_whole(self) -> None:
        for load in (_load(7), _load(0), _NOT_FOUND):
            self.assertEqual(self._call(self._service(load)), b"half")

    def test_answers_that_are_known_to_be_whole_need_no_poll(self) -> None:
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 304 Not Modified\r\n\r\n",
            b"HTTP/1.1 503 Busy\r\nX-Started: no\r\n\r\nhalf",
        ):
            self._call(self._service(None, answer))
            self.assertEqual(self.service.polls, 0)

    def test_the_call_fails_as_cut_and_counts_as_lost(self) -> None:
        exchange = mock.MagicMock()
        exchange.request_id, exchange.key, exchange.left = "r1", "", 5.0
        exchange.customer.name, exchange.runtime.targets = "c", self.targets
        exchange.call = SimpleNamespace(
            method="POST", path="x", query="", body=b"b", content_type=""
        )
        target = self._service(None)
        with self.assertRaises(AttemptFailed) as raised:
            call_filter._send_once(exchange, target)
        failure = raised.exception
        self.assertEqual((failure.reason, failure.not_executed), ("cut-before-head", False))
        (lost,) = exchange.record_send_failure.call_args_list
        self.assertTrue(lost.args[1].broken)
