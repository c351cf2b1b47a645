"""Events: late, doubled, reordered and cut streams."""

from __future__ import annotations

import random
import time
import unittest
from collections.abc import Iterator
from types import SimpleNamespace
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.stream import EventSequencer, StreamError
from fielddrift_node.filters import run
from fielddrift_node.metrics import Metrics
from fielddrift_node.relay import Relay
from fielddrift_node.settle import AttemptFailed
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs


def event(number: int) -> bytes:
    return b'id: %d\ndata: {"choices": [{"text": "w%d"}]}\n\n' % (number, number)


def end(count: int) -> bytes:
    return b'event: end\nid: %d\ndata: {"count": %d}\n\n' % (count + 1, count)


def whole(count: int) -> list[bytes]:
    return [*(event(n) for n in range(1, count + 1)), end(count)]


class EventSequencerTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @given(count=st.integers(0, 30), seed=st.integers(0, 2**32), size=st.integers(1, 200))
    def test_any_disorder_gives_each_event_once_in_order(
        self, count: int, seed: int, size: int
    ) -> None:
        rng = random.Random(seed)
        sent = whole(count)
        # The end mark stays behind the events, as a target sends it last.
        body = [*sent[:-1], *rng.choices(sent[:-1], k=count // 3)] if count else []
        rng.shuffle(body)
        raw = b"".join([*body, sent[-1]])
        sequencer = EventSequencer()
        chunks = (raw[start : start + size] for start in range(0, len(raw), size))
        self.assertEqual(b"".join(map(sequencer.feed, chunks)), b"".join(sent))
        self.assertTrue(sequencer.whole)

    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @given(count=st.integers(1, 30), cut=st.integers(1, 2000))
    def test_a_cut_stream_is_never_whole(self, count: int, cut: int) -> None:
        raw = b"".join(whole(count))
        sequencer = EventSequencer()
        sequencer.feed(raw[: max(0, len(raw) - cut)])
        self.assertFalse(sequencer.whole)

    def test_a_missing_event_is_never_whole(self) -> None:
        sequencer = EventSequencer()
        self.assertEqual(sequencer.feed(event(1) + event(3) + end(3)), event(1))
        self.assertFalse(sequencer.whole)

    def test_an_end_mark_that_contradicts_the_events_is_an_error(self) -> None:
        with self.assertRaises(StreamError):
            EventSequencer().feed(event(1) + end(5).replace(b"id: 6", b"id: 2"))

    def test_an_end_mark_that_contradicts_the_events_ends_nothing(self) -> None:
        sequencer = EventSequencer()
        sequencer.feed(event(1) + event(2) + event(3))
        with self.assertRaises(StreamError):
            sequencer.feed(end(2).replace(b"id: 3", b"id: 4"))
        self.assertFalse(sequencer.whole)

    def test_events_before_a_wrong_end_mark_are_not_lost(self) -> None:
        sequencer = EventSequencer()
        sequencer.feed(event(1))
        with self.assertRaises(StreamError):
            sequencer.feed(event(3) + event(2) + end(1).replace(b"id: 2", b"id: 4"))
        self.assertEqual(sequencer.following, 2)

    def test_a_held_event_behind_the_end_mark_is_an_error(self) -> None:
        sequencer = EventSequencer()
        sequencer.feed(end(1) + event(3))
        with self.assertRaises(StreamError):
            sequencer.feed(event(1))
        self.assertEqual((sequencer.following, sequencer.whole), (1, False))

    def test_an_event_with_two_numbers_is_an_error(self) -> None:
        for joined in (event(1)[:20] + b"\n" + event(1), event(1)[:20] + b"\n" + event(2)):
            with self.assertRaises(StreamError):
                EventSequencer().feed(joined)

    def test_two_numbers_of_one_event_do_not_stand_for_those_of_two(self) -> None:
        joined = event(1)[:20] + b"\n" + event(2) + b"data: x\n\n"
        with self.assertRaises(StreamError):
            EventSequencer().feed(joined)

    def test_an_event_without_a_number_is_an_error(self) -> None:
        with self.assertRaises(StreamError):
            EventSequencer().feed(b"data: x\n\n")

    def test_a_resumed_stream_goes_on_at_the_next_event(self) -> None:
        sequencer = EventSequencer()
        sequencer.feed(event(1) + event(2)[:10])
        sequencer = EventSequencer(following=sequencer.following)
        self.assertEqual(sequencer.following, 2)
        self.assertEqual(sequencer.feed(event(2) + end(2)), event(2) + end(2))
        self.assertTrue(sequencer.whole)


class FakeRun:
    """A run whose stream gives some data, and breaks off unless it is whole."""

    def __init__(self, target: str, data: bytes) -> None:
        self.choice = SimpleNamespace(target=SimpleNamespace(name=target))
        self.order = SimpleNamespace(run=f"r.{target}")
        self.head = SimpleNamespace(memory=0, imported=0, recomputed=0)
        self.stream = self
        self._data = data

    def __iter__(self) -> Iterator[bytes]:
        yield self._data
        raise ExternalSystemError("reset")

    def close(self) -> None:
        """Nothing is open."""


class RelayLinesTest(unittest.TestCase):
    """What the node's own interface tells of a run that broke off, and of the next one."""

    def setUp(self) -> None:
        self.metrics = Metrics(address="")
        self.exchange = mock.MagicMock()
        self.exchange.runtime.metrics = self.metrics
        self.exchange.request_id, self.exchange.failed = "r1", set()
        self.exchange.began_at = self.exchange.deadline = time.monotonic()

    def _relay(self, first: bytes, *others: bytes) -> list[dict[str, object]]:
        resumed = iter([FakeRun(f"e{n}", data) for n, data in enumerate(others, 2)])
        relay = Relay(
            exchange=self.exchange,
            started=FakeRun("e1", first),  # type: ignore[arg-type]
            resume=lambda exchange, at: next(resumed, None),  # type: ignore[arg-type,return-value]
        )
        with capture_logs() as lines:
            self.body = b"".join(relay)
        return [dict(line) for line in lines]

    def test_a_run_that_breaks_off_and_the_one_behind_it_are_told(self) -> None:
        sent = whole(3)
        broke, resumed = self._relay(sent[0] + sent[1][:9], b"".join(sent[1:]))
        self.assertEqual(self.body, b"".join(sent))
        self.assertEqual(
            broke,
            {
                "event": "run broke off", "log_level": "info", "request": "r1", "target": "e1",
                "run": "r.e1", "after": 1, "partial_bytes": 9, "resumes": 0, "reason": "cut",
            },
        )  # fmt: skip
        self.assertEqual(
            resumed,
            {
                "event": "run resumed", "log_level": "info", "request": "r1", "target": "e2",
                "run": "r.e2", "after": 1, "partial_bytes": 0, "resumes": 1,
            },
        )  # fmt: skip
        self.assertEqual(self.metrics.totals["streams.cut_events"], 1)

    def test_events_put_right_in_a_run_that_broke_off_are_counted(self) -> None:
        sent = whole(3)
        self._relay(sent[1] + sent[0] + sent[2][:9], b"".join(sent[2:]))
        self.assertEqual(self.body, b"".join(sent))
        self.assertEqual(self.metrics.totals["streams.reordered"], 1)

    def test_an_answer_that_no_run_goes_on_with_is_told(self) -> None:
        broke, cut = self._relay(whole(3)[0])
        self.assertEqual((broke["event"], cut["event"]), ("run broke off", "answer cut"))
        self.assertEqual((cut["after"], cut["resumes"], cut["reason"]), (1, 1, "cut"))
        self.assertIn(b"event: error", self.body)
        self.assertNotIn("streams.cut_events", self.metrics.totals)

    def test_a_send_that_fails_before_any_event_is_told(self) -> None:
        self.exchange.choice.target.name, self.exchange.left = "e1", -1.0
        self.exchange.runtime.rng = random.Random(1)
        self.exchange.held_back.return_value = None
        failure = AttemptFailed("e1: refused", "connect", not_executed=True)
        with mock.patch.object(run, "_start_once", side_effect=failure), capture_logs() as lines:
            run._resume(self.exchange, 3)
        expected = {
            "event": "send failed", "log_level": "info", "request": "r1", "target": "e1",
            "reason": "connect", "detail": "e1: refused", "not_run": True, "after": 2,
        }  # fmt: skip
        self.assertEqual([dict(line) for line in lines], [expected])
