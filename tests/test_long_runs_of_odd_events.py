"""An event that is a repeat, or has an odd id, costs no more at the end of a long run."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable

from fielddrift_core.stream import EventFramer

_SHORT_RUN_EVENTS = 2_000
_TIMES_LONGER = 8
_MAX_TIMES_SLOWER = 24
"""Three times what a cost in proportion to the events would be; 64 where each event is compared
with all before it."""
_TRIES = 3


class TestCost(unittest.TestCase):
    """Failure: each event was compared with all before it, and the node stood still meanwhile."""

    def _seconds(self, events: int, event: Callable[[int], bytes]) -> float:
        """Return the processor time of a run: the smallest of some tries."""
        data = [event(number) for number in range(events)]
        tries = []
        for _ in range(_TRIES):
            framer, began = EventFramer(), time.process_time()
            for each in data:
                framer.feed(each)
            tries.append(time.process_time() - began)
        return min(tries)

    def _check(self, event: Callable[[int], bytes]) -> None:
        short = self._seconds(_SHORT_RUN_EVENTS, event)
        long = self._seconds(_SHORT_RUN_EVENTS * _TIMES_LONGER, event)
        self.assertLess(long / short, _MAX_TIMES_SLOWER)

    def test_repeats_cost_the_same_at_the_end_of_a_run(self) -> None:
        self._check(lambda number: b"id: %d\ndata: token\n\n" % (number // 2))

    def test_odd_ids_cost_the_same_at_the_end_of_a_run(self) -> None:
        self._check(lambda number: b"id: x%d\ndata: token\n\n" % number)
