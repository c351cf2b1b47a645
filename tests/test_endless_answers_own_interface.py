"""An answer whose head, body or event has no end fails before it fills the node's memory.

Failure: the own interface's HTTP client and event sequencer kept whatever a target sent.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable, Iterator
from itertools import repeat
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.stream import EventSequencer, StreamError
from fielddrift_node.http_client import Call, HttpClient
from fielddrift_node.relay import Relay, RunInterruptedError, buffered_answer

from .scripted_target import ScriptedTarget

_STATUS = b"HTTP/1.1 200 OK\r\n"
_END = b"Content-Length: 0\r\n\r\n"
_CHUNKED = _STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
_MAX_HEAD_BYTES = 64 * 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024
_PIECE = b"x" * 65_536
_CHUNK = b"10000\r\n%s\r\n" % _PIECE
_PAST_BODY = _MAX_BODY_BYTES // len(_PIECE) + 64
"""So many pieces are more than a body may have."""


class EndlessAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)

    def _server(self, *script: Iterable[bytes]) -> ScriptedTarget:
        server = ScriptedTarget(script=list(script))
        self.addCleanup(server.close)
        return server

    def _assert_refused(self, server: ScriptedTarget, message: str) -> None:
        with self.assertRaisesRegex(ExternalSystemError, message) as raised:
            self.http.request(Call("GET", server.url))
        self.assertFalse(raised.exception.not_executed)
        self.assertTrue(server.cut.wait(5.0), "the connection is closed")

    def test_a_head_above_its_bound_is_refused(self) -> None:
        field = b"X-Field: %s\r\n" % (b"v" * 1000)
        server = self._server([_STATUS], repeat(field, 100), [_END])
        self._assert_refused(server, f"head.* {_MAX_HEAD_BYTES} bytes")

    def test_too_many_fields_are_refused(self) -> None:
        server = self._server([_STATUS], repeat(b"a: b\r\n", 5000), [_END])
        self._assert_refused(server, "head.* 1000 fields")

    def test_endless_interim_heads_are_refused(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\nX-Field: %s\r\n\r\n" % (b"v" * 1000)
        server = self._server(repeat(interim, 100), [_STATUS, _END])
        self._assert_refused(server, f"head.* {_MAX_HEAD_BYTES} bytes")

    def test_endless_trailers_are_refused(self) -> None:
        field = b"X-Field: %s\r\n" % (b"v" * 1000)
        server = self._server([_CHUNKED, b"0\r\n"], repeat(field, 100), [b"\r\n"])
        self._assert_refused(server, f"trailers.* {_MAX_HEAD_BYTES} bytes")

    def test_a_head_up_to_its_bound_is_accepted(self) -> None:
        name = b"X-Large: "
        value = b"v" * (_MAX_HEAD_BYTES - len(_STATUS + name + b"\r\n" + _END))
        server = self._server([_STATUS, name, value, b"\r\n", _END])
        reply = self.http.request(Call("GET", server.url))
        self.assertEqual(len(reply.headers["x-large"]), len(value))

    def test_a_collected_body_above_its_bound_is_refused(self) -> None:
        server = self._server([_CHUNKED], repeat(_CHUNK, _PAST_BODY), [b"0\r\n\r\n"])
        self._assert_refused(server, f"body.* {_MAX_BODY_BYTES} bytes")

    def test_a_stream_may_be_larger_than_a_collected_body(self) -> None:
        server = self._server([_CHUNKED], repeat(_CHUNK, _PAST_BODY), [b"0\r\n\r\n"])
        stream = self.http.stream(Call("GET", server.url, timeout=30.0))
        self.assertEqual(sum(map(len, stream)), _PAST_BODY * len(_PIECE))


class EndlessEventsTest(unittest.TestCase):
    def test_an_event_without_end_is_refused(self) -> None:
        sequencer = EventSequencer()
        with self.assertRaisesRegex(StreamError, "event 1: .* at most 1048576$"):
            for _ in range(32):
                sequencer.feed(_PIECE)

    def test_large_events_held_for_a_missing_one_are_refused(self) -> None:
        sequencer = EventSequencer()
        with self.assertRaisesRegex(StreamError, "event 1: missing, .* 16777216 bytes"):
            for number in range(2, 400):
                sequencer.feed(b"id: %d\ndata: %s\n\n" % (number, _PIECE))

    def test_events_in_a_refused_piece_do_not_count_as_forwarded(self) -> None:
        """The next run goes on at `following`: the caller would miss events before it."""
        sequencer = EventSequencer()
        later = (b"id: %d\ndata: %s\n\n" % (number, _PIECE) for number in range(3, 400))
        for data in (b"".join(later) + b"id: 1\n\n", b"id: 1\n\n" + b"id: 2\ndata: " + 17 * _PIECE):
            with self.assertRaises(StreamError):
                sequencer.feed(data)
            self.assertEqual(sequencer.following, 1)

    def test_events_that_were_held_no_longer_count(self) -> None:
        sequencer = EventSequencer()
        size = 0
        for number in range(1, 400, 2):
            for each in (number + 1, number):
                size += len(sequencer.feed(b"id: %d\ndata: %s\n\n" % (each, _PIECE)))
        self.assertGreater(size, 16 * 1024 * 1024)

    def test_a_run_without_end_is_not_collected_for_ever(self) -> None:
        events = (b"id: %d\ndata: %s\n\n" % (n, _PIECE) for n in range(1, _PAST_BODY))
        run = _Run(events)
        exchange = mock.MagicMock()
        exchange.began_at = exchange.deadline = 0.0
        exchange.claim = None
        relay = Relay(exchange=exchange, started=run, resume=lambda *_: None)  # type: ignore[arg-type]
        with self.assertRaisesRegex(RunInterruptedError, f"answer.* {_MAX_BODY_BYTES} bytes"):
            buffered_answer(exchange, relay)
        self.assertTrue(run.closed)


class _Run:
    """A started run whose stream gives `events`."""

    def __init__(self, events: Iterator[bytes]) -> None:
        self.choice: Any = SimpleNamespace(target=SimpleNamespace(name="e1"))
        self.order = SimpleNamespace(run="r1")
        self.head = SimpleNamespace(memory=0, imported=0, recomputed=0)
        self.stream = self
        self.closed = False
        self._events = events

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        self.closed = True
