"""No piece of a run is dropped for the id of its event.

Failure: an event whose id was too low, too large or no number, or those behind it, were taken for
repeats and left out without a word, and the stream ended as complete without them.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterator

from fielddrift_core.stream import EventFramer, EventSequencer, StreamError
from hypothesis import given, settings
from hypothesis import strategies as st

_ODD_IDS = (
    "0",
    "-1",
    "1",
    str(2**64),
    "9" * 5000,
    "0" * 5000 + "7",
    "\u0663",
    "seven",
    "",
    "1e3",
    None,
)
"""Ids that an event may have in place of the next number; None: it has no id line."""

_MISPLACED_IDS = tuple(each for each in _ODD_IDS if each != "0" * 5000 + "7")
"""Those that do not look like the id of a later event, behind which a run would resume."""


def _event(number: str | None, text: str) -> bytes:
    line = "" if number is None else f"id: {number}\n"
    return f"{line}data: {text}\n\n".encode()


def _are_rising(ids: list[str | None]) -> bool:
    """Return whether all ids are numbers that a float holds exactly, each above the last."""
    digits = [each or "" for each in ids]
    if not all(each.isascii() and each.isdigit() for each in digits):
        return False
    short = [each.lstrip("0")[:17] or "0" for each in digits]
    numbers = [int(each) for each in short]
    in_range = all(number <= 2**53 for number in numbers)
    return in_range and all(a < b for a, b in zip(numbers, numbers[1:], strict=False))


def _reads(data: bytes, rng: random.Random) -> Iterator[bytes]:
    """Cut `data` into reads."""
    while data:
        size = rng.choice((1, rng.randint(1, 40), rng.randint(1, len(data))))
        yield data[:size]
        data = data[size:]


def _outcome(framer: EventFramer, data: bytes, rng: random.Random) -> tuple[bytes, bool]:
    """Return what the framer forwards, and whether it ends the run by an error."""
    out = b""
    try:
        for read in _reads(data, rng):
            out += framer.feed(read)
    except StreamError:
        return out, True
    return out, False


class TestFramer(unittest.TestCase):
    def test_one_odd_id_drops_no_event(self) -> None:
        for odd in _ODD_IDS:
            with self.subTest(odd=(odd or "none")[:20]):
                ids = ["1", "2", "3", odd, "5", "6", "7"]
                events = [_event(number, f"token {at}") for at, number in enumerate(ids)]
                framer = EventFramer()
                out = b"".join(framer.feed(event) for event in events)
                self.assertEqual(out, b"".join(events))
                self.assertEqual(framer.repeats, 0)
                is_in_place = odd == "0" * 5000 + "7"
                self.assertEqual(framer.resumable, False)
                self.assertEqual(framer.misplaced, 3 if is_in_place else 1)

    def test_a_run_behind_an_odd_id_ends_as_complete_with_events_only(self) -> None:
        """Failure: a caller returned with an id behind which no event comes, and got an empty
        response that was whole."""
        for odd in (str(2**64), "9" * 5000, "seven"):
            with self.subTest(odd=odd[:20]):
                framer = EventFramer(after=odd)
                self.assertEqual((framer.may_end, framer.resumable), (False, False))
                event = _event("1", "token")
                self.assertEqual(framer.feed(event), event)
                self.assertTrue(framer.may_end)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.integers(1, 25),
        st.dictionaries(st.integers(0, 24), st.sampled_from(_ODD_IDS)),
        st.integers(0, 30),
        st.integers(0, 10**6),
    )
    def test_each_event_is_forwarded_once_or_the_run_ends(
        self, count: int, odd: dict[int, str | None], repeated: int, seed: int
    ) -> None:
        rng = random.Random(seed)
        ids = [odd.get(at, str(at + 1)) for at in range(count)]
        events = [_event(number, f"token {at}") for at, number in enumerate(ids)]
        sent = list(range(count))
        if repeated:
            # A run repeats some events that it has sent, from a numbered one on.
            until = rng.randint(0, count)
            starts = [at for at in range(max(0, until - repeated), until) if at not in odd]
            sent[until:until] = range(starts[0], until) if starts else ()
        data = b"".join(events[at] for at in sent)
        framer = EventFramer()
        out, has_ended = _outcome(framer, data, rng)
        other, same = _outcome(EventFramer(), data, rng)
        self.assertEqual(has_ended, same)
        whole = b"".join(events)
        if has_ended:
            self.assertTrue(whole.startswith(out) and whole.startswith(other))
        else:
            self.assertEqual((out, other), (whole, whole))
            self.assertEqual(framer.resumable, _are_rising(ids))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.integers(1, 25),
        st.dictionaries(st.integers(0, 24), st.sampled_from(_MISPLACED_IDS)),
        st.integers(0, 30),
        st.integers(0, 10**6),
    )
    def test_a_stream_of_several_runs_has_each_event_once_or_is_cut(
        self, count: int, odd: dict[int, str | None], repeated: int, seed: int
    ) -> None:
        rng = random.Random(seed)
        ids = [odd.get(at, str(at + 1)) for at in range(count)]
        events = [_event(number, f"token {at}") for at, number in enumerate(ids)]
        whole, out, framer = b"".join(events), b"", EventFramer()
        for _ in range(50):
            position = max(0, int(framer.last or 0) - rng.randint(0, repeated))
            data = b"".join(events[position:])
            broken = data[: rng.randint(0, len(data))] if rng.random() < 0.7 else data
            run = EventFramer(after=framer.last)
            more, has_ended = _outcome(run, broken, rng)
            out, framer = out + more, run
            self.assertTrue(whole.startswith(out))
            if not has_ended and broken == data and run.may_end:
                self.assertEqual(out, whole)
                return
            if has_ended or not run.resumable:
                # The caller gets no end.
                return


class TestSequencer(unittest.TestCase):
    """The own interface: events are numbered from 1, and an end event tells their count."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.integers(1, 20),
        st.dictionaries(st.integers(0, 20), st.sampled_from(_ODD_IDS)),
        st.booleans(),
        st.integers(0, 10**6),
    )
    def test_a_stream_is_whole_with_all_events_only(
        self, count: int, odd: dict[int, str | None], is_shuffled: bool, seed: int
    ) -> None:
        rng = random.Random(seed)
        plain = [_event(str(at + 1), f"token {at}") for at in range(count)]
        plain.append(b'event: end\nid: %d\ndata: {"count": %d}\n\n' % (count + 1, count))
        sent = [
            _event(odd[at], f"token {at}") if at in odd and at < count else event
            for at, event in enumerate(plain)
        ]
        if is_shuffled:
            rng.shuffle(sent)
        sequencer, out = EventSequencer(), b""
        try:
            for read in _reads(b"".join(sent), rng):
                out += sequencer.feed(read)
        except StreamError:
            self.assertFalse(sequencer.whole)
        self.assertEqual(sequencer.whole, out.endswith(plain[-1]))
        if sequencer.whole:
            self.assertEqual(len(out), sum(map(len, sent)))

    def test_a_number_of_any_length_ends_the_run(self) -> None:
        """Failure: `int` raised an error that nobody expected, and the response broke off."""
        for number in ("9" * 5000, "0", "0" * 5000):
            with self.subTest(number=number[:5]), self.assertRaises(StreamError):
                EventSequencer().feed(_event(number, "x"))
        with self.assertRaises(StreamError):
            EventSequencer().feed(b'event: end\nid: 1\ndata: {"count": ' + b"9" * 5000 + b"}\n\n")

    def test_an_event_beside_the_end_event_ends_the_run(self) -> None:
        """Failure: an event behind the last one was held, and the stream ended as whole."""
        end = b'event: end\nid: 2\ndata: {"count": 1}\n\n'
        for events in ([_event("4", "x"), _event("1", "a"), end], [_event("4", "x"), end]):
            sequencer = EventSequencer()
            with self.assertRaises(StreamError):
                for event in [*events, _event("1", "a")]:
                    sequencer.feed(event)

    def test_two_events_of_one_number_end_the_run(self) -> None:
        """Failure: the second one was dropped, though it was another piece."""
        sequencer = EventSequencer()
        sequencer.feed(_event("2", "a"))
        self.assertEqual(sequencer.feed(_event("2", "a")), b"")
        with self.assertRaises(StreamError):
            sequencer.feed(_event("2", "b"))
