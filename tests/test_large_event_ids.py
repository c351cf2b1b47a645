"""Ids of events rise, whatever they count: a run whose ids are times in ns can be resumed."""

from __future__ import annotations

import unittest

from fielddrift_core.stream import EventFramer

_NANOSECONDS = 1_790_000_000_123_456_789


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: token\n\n".encode()


class TestLargeIds(unittest.TestCase):
    def test_a_run_whose_ids_are_above_two_to_the_53_can_be_resumed(self) -> None:
        """Failure: the stream ended broken, though its ids rose; its caller could not return."""
        for first in (2**53 - 1, _NANOSECONDS):
            with self.subTest(first=first):
                numbers = range(first, first + 5)
                framer = EventFramer()
                sent = b"".join(framer.feed(_event(number)) for number in numbers)
                self.assertEqual(sent, b"".join(map(_event, numbers)))
                self.assertTrue(framer.resumable)
                resumed = EventFramer(after=framer.last)
                again = b"".join(resumed.feed(_event(n)) for n in (numbers[-1], numbers[-1] + 9))
                self.assertEqual(again, _event(numbers[-1] + 9))
                self.assertTrue(resumed.resumable)
