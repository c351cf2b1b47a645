"""Which requests are held back for the ends of targets, whatever order nodes hear of them in."""

from __future__ import annotations

import random
import unittest

from fielddrift_core.crashes import (
    _FORGET_SECONDS,
    _HOLD_SECONDS,
    _LONGEST_HOLD_SECONDS,
    _MOST_CRASHES,
    _TRIAL_SECONDS,
    CRASHES_TO_HOLD,
    Crash,
    CrashHistory,
    CrashNews,
)
from hypothesis import given, settings
from hypothesis import strategies as st

_FATAL = "fatal"


def _held(history: CrashHistory, now: float = 0.0) -> list[str]:
    return [held.fingerprint for held in history.all_held(now)]


def _crashes(fingerprint: str, *targets: str, ran: float = 0.1, at: float = 0.0) -> list[Crash]:
    return [Crash(fingerprint, target, at + n, ran) for n, target in enumerate(targets)]


class TestHolding(unittest.TestCase):
    def setUp(self) -> None:
        self.history = CrashHistory()

    def _take(self, *crashes: Crash) -> None:
        for crash in crashes:
            self.history.crashed(crash)

    def test_it_takes_three_targets(self) -> None:
        self._take(*_crashes(_FATAL, "a", "b"), Crash(_FATAL, "b", 5.0, 0.1))
        self.assertEqual(_held(self.history), [])
        self._take(Crash(_FATAL, "c", 6.0, 0.1))
        (held,) = self.history.all_held(7.0)
        self.assertEqual(held.targets, ("a", "b", "c"))
        self.assertEqual(held.until, 6.0 + _HOLD_SECONDS)

    def test_who_was_there_each_time_explains_the_crashes_of_others(self) -> None:
        self._take(*_crashes(_FATAL, "a", "b", "c", "d"), *_crashes("other", "a", "b", "c"))
        self.assertEqual(_held(self.history), [_FATAL])

    def test_of_two_that_were_there_each_time_the_shorter_runs_decide(self) -> None:
        self._take(*_crashes("other", "a", "b", "c", ran=1.0), *_crashes(_FATAL, "a", "b", "c"))
        self.assertEqual(_held(self.history), [_FATAL])

    def test_a_wrong_choice_is_mended_by_the_next_crash(self) -> None:
        self._take(*_crashes("quick", "a", "b", "c", ran=0.01), *_crashes(_FATAL, "a", "b", "c"))
        self.assertEqual(_held(self.history), ["quick"])
        self._take(Crash(_FATAL, "d", 9.0, 0.1))
        self.assertEqual(_held(self.history), [_FATAL])

    def test_two_that_end_targets_of_their_own_are_both_held(self) -> None:
        self._take(*_crashes(_FATAL, "a", "b", "c"), *_crashes("other", "c", "d", "e", "f"))
        self.assertEqual(_held(self.history), ["other"])
        self._take(Crash(_FATAL, "g", 9.0, 0.1))
        self.assertEqual(_held(self.history), [_FATAL, "other"])

    def test_a_whole_answer_clears_what_was_before(self) -> None:
        self._take(*_crashes("popular", "a", "b"))
        self.history.clear("popular", 5.0)
        self._take(*_crashes("popular", "c", "d", at=6.0))
        self.assertEqual(_held(self.history), [])

    def test_a_target_that_lives_after_all_counts_for_nobody(self) -> None:
        self._take(*_crashes(_FATAL, "a", "b", "c"))
        self.history.lives("b", 9.0)
        self.assertEqual(_held(self.history), [])
        self._take(Crash(_FATAL, "b", 20.0, 0.1))
        self.assertEqual(_held(self.history), [_FATAL])

    def test_after_a_hold_one_send_goes_out_and_another_crash_doubles_it(self) -> None:
        self._take(*_crashes(_FATAL, "a", "b", "c"))
        over = 2.0 + _HOLD_SECONDS
        self.assertIsNotNone(self.history.send(_FATAL, over - 0.1))
        self.assertIsNone(self.history.held(_FATAL, over))
        self.assertIsNone(self.history.send(_FATAL, over))
        held = self.history.send(_FATAL, over + 0.1)
        assert held is not None
        self.assertEqual(held.until, over + _TRIAL_SECONDS)
        self._take(Crash(_FATAL, "d", over + 1.0, 0.1))
        (held,) = self.history.all_held(over + 2.0)
        self.assertEqual(held.until, over + 1.0 + 2 * _HOLD_SECONDS)

    def test_holds_are_bounded_and_forgotten(self) -> None:
        self._take(*_crashes(_FATAL, *map(str, range(40))))
        (held,) = self.history.all_held(40.0)
        self.assertEqual(held.until, 39.0 + _LONGEST_HOLD_SECONDS)
        self.history.expire(held.until + _FORGET_SECONDS)
        self.assertFalse(self.history.is_empty)
        self.history.expire(held.until + _FORGET_SECONDS + 1.0)
        self.assertTrue(self.history.is_empty)
        self.assertEqual(len(self.history), 0)

    def test_what_is_remembered_is_bounded_and_keeps_who_is_held_back(self) -> None:
        self._take(*_crashes(_FATAL, "a", "b", "c"))
        for number in range(_MOST_CRASHES + 100):
            self._take(Crash(f"other-{number}", f"t-{number}", 10.0, 0.1))
        self.assertEqual(len(self.history), _MOST_CRASHES)
        self.assertEqual(_held(self.history, 20.0), [_FATAL])

    def test_what_is_told_again_is_no_news(self) -> None:
        news = CrashNews("a", tuple(_crashes(_FATAL, "a", "b")), (("other", 1.0),), (("c", 1.0),))
        self.assertEqual(self.history.take(news, 100.0), news)
        self.assertEqual(self.history.take(news, 100.02), CrashNews("a"))


_NAMES = st.sampled_from(["p", "q", "r"])
_TARGETS = st.sampled_from(["a", "b", "c", "d", "e"])
_TIMES = st.integers(0, 80).map(lambda quarters: quarters / 4)
_EVENTS = st.lists(
    st.one_of(
        st.builds(Crash, _NAMES, _TARGETS, _TIMES, st.just(0.1)),
        st.tuples(st.just("clear"), _NAMES, _TIMES),
        st.tuples(st.just("lives"), _TARGETS, _TIMES),
    ),
    max_size=25,
    # One run of a request ends at a target once.
    unique_by=lambda event: tuple(event[:2]) if isinstance(event, Crash) else event,
)


class TestAnyOrder(unittest.TestCase):
    """What nodes know grows by union: they agree, whatever came first, was lost or doubled."""

    @given(events=_EVENTS, seed=st.integers(0, 1000))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_nodes_that_heard_the_same_agree(self, events: list[object], seed: int) -> None:
        rng = random.Random(seed)
        found = []
        for _ in range(2):
            history = CrashHistory()
            for event in rng.sample([*events, *events], 2 * len(events)):
                if isinstance(event, Crash):
                    news = CrashNews("a", (event._replace(at=100.0 - event.at),))
                else:
                    assert isinstance(event, tuple)
                    kind, name, at = event
                    item = ((name, 100.0 - at),)
                    news = CrashNews("a", (), *((item, ()) if kind == "clear" else ((), item)))
                history.take(news, 100.0)
            found.append(history.all_held(100.0))
        self.assertEqual(found[0], found[1])

    @given(beside=st.lists(st.lists(_NAMES, unique=True), min_size=3, max_size=6))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_who_stands_beside_is_never_held_back(self, beside: list[list[str]]) -> None:
        history = CrashHistory()
        for number, names in enumerate(beside):
            for name in names:
                history.crashed(Crash(name, f"t{number}", float(number), 1.0))
            history.crashed(Crash(_FATAL, f"t{number}", float(number), 0.1))
        self.assertGreaterEqual(len(beside), CRASHES_TO_HOLD)
        self.assertEqual(_held(history, 10.0), [_FATAL])
