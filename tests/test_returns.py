"""Callers that are refused return as capacity becomes free, and make nobody else late.

Failure: after a burst all refused callers returned at once, and new ones were late behind them.
"""

from __future__ import annotations

import random
import unittest

from fielddrift_core.prompt_queue import PromptQueue, WaitingPrompt, late_rank
from fielddrift_core.returns import (
    UsualRate,
    free_rate,
    reserved_fraction,
    return_delay,
    returns_name,
)
from fielddrift_core.urgency import CallerWaits
from fielddrift_core.workload import Burden
from fielddrift_node.serving.views import Views
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.lab.figures import Figures, intervals
from bench.lab.sizes import Sizes

from .test_lab import played

_SHORT = Sizes(nodes=2, data_centres=1, engines=3, stores=2, seconds=14.0, load=0.6)


class TestReturnDelay(unittest.TestCase):
    """A caller returns when room is free behind all that were told before."""

    def _delay(self, backlog: float, *, time_left: float = 12.0, least: float = 0.0) -> float:
        rng = random.Random(2)
        delay, _ = return_delay(
            backlog=backlog, tokens=500, rate=1000.0, least=least, time_left=time_left, rng=rng
        )
        return delay

    def test_callers_return_one_after_another_at_the_free_rate(self) -> None:
        for told in range(8):
            self.assertGreaterEqual(self._delay(500.0 * told), 0.5 * told)
            self.assertLessEqual(self._delay(500.0 * told), 0.5 * (told + 1))

    def test_no_caller_returns_before_there_can_be_room(self) -> None:
        self.assertGreaterEqual(self._delay(0.0, least=1.5), 1.5)

    @given(
        backlog=st.floats(0, 1e7),
        rate=st.floats(0, 1e6),
        least=st.floats(0, 60),
        time_left=st.floats(-1, 60),
        seed=st.integers(0, 100),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_no_caller_is_told_a_time_that_it_does_not_honour(
        self, backlog: float, rate: float, least: float, time_left: float, seed: int
    ) -> None:
        delay, _ = return_delay(
            backlog=backlog,
            tokens=500,
            rate=rate,
            least=least,
            time_left=time_left,
            rng=random.Random(seed),
        )
        self.assertLessEqual(delay, max(0.0, time_left) / 3)
        self.assertGreaterEqual(delay, 0.0)

    def test_nothing_is_promised_that_is_not_free_in_time(self) -> None:
        delay, is_free = return_delay(
            backlog=9000, tokens=500, rate=1000.0, least=0.0, time_left=12.0, rng=random.Random(2)
        )
        self.assertFalse(is_free)
        self.assertGreater(delay, 2.7)


class TestFreeRate(unittest.TestCase):
    def test_a_burst_does_not_change_what_callers_usually_leave_free(self) -> None:
        usual = UsualRate()
        for second in range(12):
            usual.add(600, second + 0.5)
        for second in range(12, 16):
            usual.add(3000, second + 0.5)
        self.assertEqual(usual.value(16.0), 600)

    def test_a_lasting_rate_becomes_the_usual_one(self) -> None:
        usual = UsualRate()
        for second in range(40):
            usual.add(600 if second < 20 else 900, second + 0.5)
        self.assertEqual(usual.value(40.0), 900)
        self.assertEqual(usual.value(80.0), 0)

    def test_the_second_in_progress_does_not_count(self) -> None:
        usual = UsualRate()
        usual.add(600, 1.0)
        self.assertEqual(usual.value(1.9), 0)
        self.assertEqual(usual.value(2.1), 600)

    def test_less_than_usual_callers_leave_is_free_and_nothing_in_a_lasting_overload(self) -> None:
        self.assertLess(free_rate(1000.0, 600.0), 400)
        self.assertGreater(free_rate(1000.0, 600.0), 300)
        self.assertEqual(free_rate(1000.0, 5000.0), 0)

    def test_late_prompts_leave_memory_to_those_that_usually_come(self) -> None:
        reserved = [reserved_fraction(1000.0, usual) for usual in (0.0, 300.0, 900.0, 5000.0)]
        self.assertEqual(reserved, sorted(reserved))
        self.assertLess(reserved[-1], 1.0)


class TestWhoReturns(unittest.TestCase):
    """Only callers that surely came before come after the others."""

    def test_less_time_than_any_first_request_has_shows_a_return(self) -> None:
        waits = CallerWaits()
        for _ in range(50):
            self.assertFalse(waits.is_return("chat", 4.0, expected=False))
        self.assertTrue(waits.is_return("chat", 2.8, expected=True))
        self.assertFalse(waits.is_return("chat", 4.0, expected=True))

    def test_an_impatient_first_request_is_no_return(self) -> None:
        waits, rng = CallerWaits(), random.Random(1)
        for _ in range(200):
            waits.is_return("chat", rng.uniform(2.0, 6.0), expected=False)
        found = [waits.is_return("chat", rng.uniform(2.0, 6.0), expected=True) for _ in range(500)]
        self.assertLess(sum(found), 25)

    def test_where_patience_differs_nobody_comes_after_the_others(self) -> None:
        waits, rng = CallerWaits(), random.Random(1)
        for _ in range(200):
            remaining = rng.uniform(8.0, 16.0)
            waits.waited("chat", remaining)
            waits.is_return("chat", remaining, expected=False)
        self.assertFalse(waits.is_return("chat", 6.0, expected=True))

    def test_returning_requests_do_not_pass_for_first_ones(self) -> None:
        waits = CallerWaits()
        for _ in range(50):
            waits.is_return("chat", 4.0, expected=False)
        for _ in range(200):
            self.assertTrue(waits.is_return("chat", 2.8, expected=True))

    def test_returns_are_expected_while_any_node_told_callers_to_return(self) -> None:
        views = Views()
        self.assertFalse(views.expects_returns("s", 10.0))
        views.workload.update_node("other", {returns_name("s"): Burden(1, 0, 0)}, 10.0)
        self.assertTrue(views.expects_returns("s", 10.0))
        views.workload.update_node("other", {}, 10.5)
        self.assertTrue(views.expects_returns("s", 11.0))
        self.assertFalse(views.expects_returns("s", 13.0))

    def test_returning_prompts_wait_behind_all_that_can_be_in_time(self) -> None:
        queue = PromptQueue()
        late = WaitingPrompt("late", late_rank(0), 1.0, 10)
        queue.add(late)
        self.assertEqual(queue.count_ahead(5), 0)
        new = WaitingPrompt("new", 5, 9.0, 10)
        queue.add(new)
        self.assertIs(queue.head(), new)


class TestAfterBursts(unittest.TestCase):
    """In the laboratory, by means over seeds: nobody pays for those that return."""

    def _figures(self, *off: str, seeds: int = 4) -> list[Figures]:
        return [played("burst", *off, sizes=_SHORT, seed=seed) for seed in range(1, seeds + 1)]

    def test_new_callers_are_in_time_after_a_burst_and_returning_ones_are_served(self) -> None:
        found = intervals(self._figures())
        former = intervals(self._figures("returns", "yielding"))
        self.assertGreaterEqual(found["after"].mean, found["before"].mean - 0.05)
        self.assertGreater(found["after"].mean, former["after"].mean)
        self.assertGreaterEqual(found["returned"].mean, former["returned"].mean)
        self.assertLessEqual(found["vain"].mean, former["vain"].mean)


if __name__ == "__main__":
    unittest.main()
