"""Events that a run sends a second time are not passed on twice, however its bytes are read.

Failure: repeats were left out only where a read began with one.  A read that held an event and
then repeats passed them on, and the run was gone on with behind a repeat, which repeated more.
Or events that were no repeats were left out for their ids.
"""

from __future__ import annotations

import unittest

from fielddrift_core.stream import EventFramer, StreamError

_SIZES = (1000, 30, 7)
"""Bytes of a read."""


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _events(numbers: list[int]) -> bytes:
    return b"".join(_event(number) for number in numbers)


def _feed(framer: EventFramer, numbers: list[int], size: int) -> bytes:
    data = _events(numbers)
    return b"".join(framer.feed(data[at : at + size]) for at in range(0, len(data), size))


class TestRepeatedEvents(unittest.TestCase):
    def test_each_event_is_passed_on_once_and_the_last_one_counts(self) -> None:
        for after in ("", "2"):
            for sent in (
                [1, 2, 3, 1, 2, 3, 4],
                [1, 2, 3, 4, 1, 2],
                [1, 1, 2, 5, 2, 5],
                [1, 2, 9, 9],
            ):
                expected: list[int] = []
                for number in sent:
                    if number > max([int(after or 0), *expected]):
                        expected.append(number)
                for size in _SIZES:
                    with self.subTest(after=after, sent=sent, size=size):
                        framer = EventFramer(after=after)
                        self.assertEqual(_feed(framer, sent, size), _events(expected))
                        self.assertEqual(framer.last, str(expected[-1]))
                        self.assertEqual((framer.odd, framer.resumable), (0, True))
                        self.assertEqual(framer.repeats, len(sent) - len(expected))

    def test_an_event_that_came_late_is_no_repeat(self) -> None:
        """Failure: it was left out, and the stream ended as complete without it."""
        for after, sent in (("", [3, 4, 1, 2]), ("", [3, 5, 4, 9]), ("2", [3, 5, 4, 9])):
            for size in _SIZES:
                with self.subTest(after=after, sent=sent, size=size):
                    framer = EventFramer(after=after)
                    self.assertEqual(_feed(framer, sent, size), _events(sent))
                    self.assertFalse(framer.resumable)
                    self.assertEqual(framer.repeats, 0)

    def test_an_event_that_an_earlier_run_may_have_sent_ends_the_run(self) -> None:
        for sent in ([3, 4, 1, 2], [1, 3], [0, 1, 5]):
            for size in _SIZES:
                with self.subTest(sent=sent, size=size), self.assertRaises(StreamError):
                    _feed(EventFramer(after="2"), sent, size)

    def test_a_run_that_repeats_less_than_all_is_not_complete(self) -> None:
        """Failure: a run that was to resume behind event 4, and ended before it, was whole."""
        framer = EventFramer(after="4")
        self.assertEqual(_feed(framer, [1, 2, 3], 30), b"")
        self.assertFalse(framer.may_end)
        self.assertEqual(framer.feed(_event(4)), b"")
        self.assertTrue(framer.may_end)
