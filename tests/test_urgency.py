"""Prompts that are already late come after those that can be in time."""

from __future__ import annotations

import unittest

from fielddrift_core.urgency import LOWEST_URGENCY, CallerWaits, urgency
from fielddrift_node.serving.views import Views


class WaitsTest(unittest.TestCase):
    def test_who_says_less_than_usual_has_waited_since_its_first_try(self) -> None:
        waits = CallerWaits()
        for _ in range(100):
            waits.waited("chat", 4.0)
        self.assertAlmostEqual(waits.waited("chat", 2.5), 1.5)
        self.assertEqual(waits.waited("chat", 4.0), 0.0)

    def test_a_few_patient_callers_make_nobody_late(self) -> None:
        waits = CallerWaits()
        for number in range(200):
            waits.waited("chat", 30.0 if number % 20 == 0 else 4.0)
        self.assertEqual(waits.waited("chat", 4.0), 0.0)

    def test_a_first_request_has_not_waited(self) -> None:
        self.assertEqual(CallerWaits().waited("chat", 0.1), 0.0)


class JustStartedTest(unittest.TestCase):
    def test_only_a_moment_after_a_start_counts(self) -> None:
        views = Views(started_at=100.0)
        self.assertTrue(views.just_started(101.0))
        self.assertFalse(views.just_started(104.0))


class UrgencyTest(unittest.TestCase):
    def test_late_ones_come_last_of_their_rank_and_before_the_next(self) -> None:
        ranks = [0, 1, 4]
        order = [urgency(r, late=late, ranks=ranks) for r in ranks for late in (False, True)]
        self.assertEqual(order, sorted(set(order)))
        self.assertLessEqual(order[-1], LOWEST_URGENCY)

    def test_many_ranks_keep_their_own_order(self) -> None:
        ranks = list(range(8))
        self.assertEqual([urgency(r, late=True, ranks=ranks) for r in ranks], ranks)
        self.assertEqual(urgency(30, late=False, ranks=[30]), 0)
        self.assertEqual(urgency(30, late=False, ranks=[]), LOWEST_URGENCY)
