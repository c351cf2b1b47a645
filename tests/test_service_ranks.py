"""Short prompts must not wait behind long ones because their customers have one priority."""

from __future__ import annotations

import unittest

from fielddrift_core.prompt_queue import PromptQueue, WaitingPrompt
from fielddrift_core.service_ranks import ServiceRanks

_SHORT_GOAL, _LONG_GOAL = 0.522, 1.545


class TestServiceRanks(unittest.TestCase):
    def setUp(self) -> None:
        self.ranks = ServiceRanks(priorities=[0, 1, 2], goals=[_LONG_GOAL, _SHORT_GOAL])

    def test_within_a_priority_the_shorter_goal_comes_first(self) -> None:
        order = [(p, g) for p in (0, 1, 2) for g in (_SHORT_GOAL, _LONG_GOAL)]
        self.assertEqual([self.ranks.rank(*each) for each in order], list(self.ranks.ranks))

    def test_close_goals_keep_the_priorities_as_ranks(self) -> None:
        ranks = ServiceRanks(priorities=[0, 3], goals=[0.3, 0.5])
        self.assertEqual(list(ranks.ranks), [0, 3])
        self.assertEqual(ranks.rank(3, 0.5), 3)

    def test_an_unknown_priority_is_its_own_rank(self) -> None:
        self.assertEqual(self.ranks.rank(7, _SHORT_GOAL), 7)

    def test_a_short_prompt_waits_for_none_of_a_queue_of_long_ones(self) -> None:
        # Hundreds of long prompts of one priority wait in a burst, and each node's short ones
        # counted all of them as ahead.
        self.assertEqual(self._count_ahead(ServiceRanks(priorities=[0, 1, 2])), 190)
        self.assertEqual(self._count_ahead(self.ranks), 0)

    @staticmethod
    def _count_ahead(ranks: ServiceRanks) -> int:
        queue = PromptQueue()
        for number in range(190):
            queue.add(WaitingPrompt(str(number), ranks.rank(1, _LONG_GOAL), 1.0, 12_000))
        return queue.count_ahead(ranks.rank(1, _SHORT_GOAL))
