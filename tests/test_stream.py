"""Events: late, doubled, reordered and cut streams."""

from __future__ import annotations

import random
import unittest

from fielddrift_core.stream import EventSequencer, StreamError
from hypothesis import given, settings
from hypothesis import strategies as st


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

    def test_an_event_without_a_number_is_an_error(self) -> None:
        with self.assertRaises(StreamError):
            EventSequencer().feed(b"data: x\n\n")

    def test_a_resumed_stream_goes_on_at_the_next_event(self) -> None:
        sequencer = EventSequencer()
        sequencer.feed(event(1) + event(2)[:10])
        sequencer.restart()
        self.assertEqual(sequencer.following, 2)
        self.assertEqual(sequencer.feed(event(2) + end(2)), event(2) + end(2))
        self.assertTrue(sequencer.whole)
