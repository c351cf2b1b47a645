"""Events that a run sends a second time are not passed on twice, however its bytes are read.

Failure: repeats were left out only where a read began with one.  A read that held an event and
then repeats passed them on, and the run was gone on with behind a repeat, which repeated more.
"""

from __future__ import annotations

import unittest

from fielddrift_core.stream import EventFramer


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class TestRepeatedEvents(unittest.TestCase):
    def test_each_event_is_passed_on_once_and_the_last_one_counts(self) -> None:
        for after in ("", "2"):
            for sent in ([1, 2, 3, 1, 2, 3, 4], [3, 4, 1, 2], [1, 1, 2, 5, 2, 5], [3, 5, 4, 9]):
                data = b"".join(_event(number) for number in sent)
                expected: list[int] = []
                for number in sent:
                    if number > max([int(after or 0), *expected]):
                        expected.append(number)
                for size in (len(data), 30, 7):
                    with self.subTest(after=after, sent=sent, size=size):
                        framer = EventFramer(after=after)
                        reads = [data[at : at + size] for at in range(0, len(data), size)]
                        passed = b"".join(framer.feed(read) for read in reads)
                        self.assertEqual(passed, b"".join(_event(n) for n in expected))
                        self.assertEqual(framer.last, str(expected[-1]))
                        self.assertEqual((framer.odd, framer.resumable), (0, True))
