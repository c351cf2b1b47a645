"""The own interface's application behind the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import threading
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from fielddrift_node.servers import ApplicationServer
from structlog.testing import capture_logs

from .platform_fleet import HOST, free_port

WAIT_SECONDS = 10.0


class Endless:
    """An answer that goes on until it is closed."""

    def __init__(self) -> None:
        self.closed = threading.Event()
        self.pieces = 0

    def __iter__(self) -> Iterator[bytes]:
        while not self.closed.wait(0.01):
            self.pieces += 1
            yield b"data: x\n\n"

    def close(self) -> None:
        self.closed.set()


class ServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: list[Endless] = []
        self.port = free_port()
        self.server = ApplicationServer(
            app=self._app, host=HOST, port=self.port, threads=2, body=1000
        )
        self.addCleanup(self.server.stop)

    def _app(self, environ: Any, start_response: Any) -> Any:
        if environ["PATH_INFO"] == "/fault":
            raise ValueError("a fault of the node")
        if environ["PATH_INFO"] == "/echo":
            body = environ["wsgi.input"].read()
            start_response("200 OK", [("Content-Length", str(len(body)))])
            return [body]
        answer = Endless()
        self.answers.append(answer)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return answer

    def _connect(self) -> socket.socket:
        caller = socket.create_connection((HOST, self.port), WAIT_SECONDS)
        self.addCleanup(caller.close)
        return caller

    def test_a_body_in_chunks_reaches_the_application_whole(self) -> None:
        caller = self._connect()
        head = b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        caller.sendall(head + b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        answer = b"".join(iter(lambda: caller.recv(4096), b""))
        self.assertTrue(answer.endswith(b"\r\n\r\nabcde"), answer)

    def test_a_caller_that_leaves_ends_its_answer(self) -> None:
        caller = self._connect()
        caller.sendall(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"200", caller.recv(4096))
        caller.close()
        self.assertTrue(self.answers[0].closed.wait(WAIT_SECONDS))

    def test_a_call_that_fails_before_its_head_is_cut(self) -> None:
        caller = self._connect()
        with capture_logs() as lines:
            caller.sendall(b"GET /fault HTTP/1.1\r\nHost: x\r\n\r\n")
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(caller.recv(4096), b"")
        self.assertEqual([line["event"] for line in lines], ["answer failed"])

    def test_a_stop_ends_answers_that_wait_for_their_callers(self) -> None:
        """Found beside load: a thread that waited for the stopped loop kept the process alive."""
        caller = self._connect()
        caller.sendall(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"200", caller.recv(4096))
        with mock.patch.object(self.server, "_drain_queue"):
            self.server.stop()
            self.assertTrue(self.answers[0].closed.wait(WAIT_SECONDS))

    def test_a_stop_leaves_no_answer_s_task_behind(self) -> None:
        """A loop that ended while a task was being cancelled destroyed it pending."""
        callers = [self._connect() for _ in range(2)]
        for caller in callers:
            caller.sendall(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertIn(b"200", caller.recv(4096))
        self.server.stop()
        self.assertEqual(asyncio.all_tasks(self.server._loop), set())

    def test_broken_framing_is_refused_in_the_interface_s_own_words(self) -> None:
        caller = self._connect()
        caller.sendall(b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1x\r\n\r\n")
        head, _, body = b"".join(iter(lambda: caller.recv(4096), b"")).partition(b"\r\n\r\n")
        self.assertIn(b"400", head)
        self.assertEqual(json.loads(body)["ran"], "no")
