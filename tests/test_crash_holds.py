"""When a hold may end, whatever crashes follow and in whatever order they are reported.

Failure: further crashes took away holds that the crashes before them justified.
"""

from __future__ import annotations

import unittest
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from fielddrift_core.crashes import Crash, CrashHistory, HeldRequest, is_part, part_suspect
from hypothesis import given, settings
from hypothesis import strategies as st

_MOMENT_SECONDS = 0.15
_COMMON_FRACTION = 0.3
_BAD = part_suspect("m", "bad")


class _End(NamedTuple):
    """A target that ended, `after` seconds after the one before, and what ran on it."""

    after: float
    request: int | None
    """One of the requests that are repeated, None for another one each time."""
    parts: frozenset[str]


def _ends(*, least: float) -> st.SearchStrategy[list[_End]]:
    """Return targets that end at least `least` seconds after each other."""
    pauses = [pause for pause in (0.02, 0.1, 0.2, 0.7, 2.0, 9.0) if pause >= least]
    parts = st.frozensets(st.sampled_from(["bad", "evil", "shared"]), max_size=3)
    requests = st.one_of(st.none(), st.integers(0, 2))
    end = st.builds(_End, st.sampled_from(pauses), requests, parts)
    return st.lists(end, min_size=4, max_size=24)


def _reports(ends: Iterable[_End]) -> list[list[Crash]]:
    """Return the reports about each of the targets."""
    found, at = [], 0.0
    for number, end in enumerate(ends):
        at += end.after
        request = f"new-{number}" if end.request is None else f"repeated-{end.request}"
        names = [request, *(part_suspect("m", part) for part in sorted(end.parts))]
        found.append([Crash(name, f"t{number}", at, 0.1) for name in names])
    return found


def _held(history: CrashHistory) -> dict[str, HeldRequest]:
    return {held.fingerprint: held for held in history.all_held(0.0)}


def _moments(times: Iterable[float]) -> int:
    """Return how many of `times` are at least a moment apart."""
    count, last = 0, float("-inf")
    for at in sorted(times):
        if at - last > _MOMENT_SECONDS:
            count, last = count + 1, at
    return count


def _unexplained(history: CrashHistory, name: str) -> list[Crash]:
    """Return the crashes of a suspect that no other one which is held back explains."""
    others = [held for other, held in _held(history).items() if other != name]
    explained = {target for held in others for target in held.targets}
    return [crash for crash in history.crashes_of(name) if crash.target not in explained]


def _is_explained(history: CrashHistory, name: str) -> bool:
    """Return whether other holds explain so many of its crashes that its own may end."""
    unexplained = _unexplained(history, name)
    if is_part(name):
        return _moments(crash.at for crash in unexplained) < 2
    return len(unexplained) < 3


def _is_common(history: CrashHistory, name: str, ended: Collection[float]) -> bool:
    """Return whether a suspect is in many of the crashes from its first to its last one."""
    times = [crash.at for crash in history.crashes_of(name)]
    meanwhile = sum(times[0] <= at <= times[-1] for at in ended)
    return len(times) >= _COMMON_FRACTION * meanwhile


class TestHoldsEnd(unittest.TestCase):
    """Crashes end a hold only where other holds explain its crashes, and never shorten it."""

    def _record(self, history: CrashHistory, reports: Sequence[Crash], ended: set[float]) -> None:
        """Record reports; check that they end no hold but those that others explain."""
        before = _held(history)
        for crash in reports:
            history.record_crash(crash)
            ended.add(crash.at)
        after = _held(history)
        for name in before.keys() - after.keys():
            if _is_common(history, name, ended):
                self.assertTrue(_is_explained(history, name), f"{name} was let go")
        for name in before.keys() & after.keys():
            self.assertGreaterEqual(
                after[name].until, before[name].until, f"{name}: hold is shorter"
            )

    @given(ends=_ends(least=0.2))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_later_crashes_end_no_hold_that_others_do_not_explain(self, ends: list[_End]) -> None:
        history: CrashHistory = CrashHistory()
        for reports in _reports(ends):
            self._record(history, reports, set())

    @given(ends=_ends(least=0.2), data=st.data())
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_reports_in_any_order_end_no_hold_that_others_do_not_explain(
        self, ends: list[_End], data: st.DataObject
    ) -> None:
        history, ended = CrashHistory(), set[float]()
        reports = [crash for crashes in _reports(ends) for crash in crashes]
        for crash in data.draw(st.permutations(reports)):
            self._record(history, [crash], ended)

    @given(ends=_ends(least=0.02), data=st.data())
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_the_order_of_reports_does_not_matter(
        self, ends: list[_End], data: st.DataObject
    ) -> None:
        reports = [crash for crashes in _reports(ends) for crash in crashes]
        in_time, in_any_order = CrashHistory(), CrashHistory()
        for crash in reports:
            in_time.record_crash(crash)
        for crash in data.draw(st.permutations(reports)):
            in_any_order.record_crash(crash)
        self.assertEqual(in_any_order.all_held(0.0), in_time.all_held(0.0))

    def test_a_target_that_was_alive_before_it_ended_counts_in_any_order(self) -> None:
        """Failure: a late report that a target had been alive hid its later crash."""
        rare = part_suspect("m", "rare")
        crashes = [Crash(f"new-{number}", f"t{number}", 0.4 * number, 0.1) for number in range(20)]
        crashes += [crash._replace(fingerprint=rare) for crash in crashes[::5]]
        alive = [(crash.target, crash.at - 5.0) for crash in crashes if crash.fingerprint != rare]
        first, last = CrashHistory(), CrashHistory()
        for target, at in alive:
            first.record_alive(target, at)
        for history in (first, last):
            for crash in crashes:
                history.record_crash(crash)
        for target, at in alive:
            last.record_alive(target, at)
        self.assertEqual(_held(first), {}, "it is in a fifth of the crashes")
        self.assertEqual(_held(last), {})

    def test_a_sound_part_stays_free_beside_repeated_requests_and_a_crash_by_chance(self) -> None:
        history = CrashHistory()
        ends = [_End(0.5, number % 3, frozenset({"shared"})) for number in range(9)]
        for reports in _reports([*ends, _End(0.5, None, frozenset({"shared"}))]):
            for crash in reports:
                history.record_crash(crash)
        self.assertEqual(sorted(_held(history)), [f"repeated-{number}" for number in range(3)])


def _first_hold(history: CrashHistory, times: Iterable[float], *, part: str = "bad") -> float:
    """Record crashes of different requests with `part`; return when it is held back."""
    name = part_suspect("m", part)
    for number, at in enumerate(sorted(times)):
        history.record_crash(Crash(f"{part}-{number}", f"{part}-t{number}", at, 0.1))
        history.record_crash(Crash(name, f"{part}-t{number}", at, 0.1))
        if name in _held(history):
            return at
    return float("inf")


class TestQuickCrashes(unittest.TestCase):
    """Failure: the faster a part crashed targets, the later it was held back, if at all."""

    def test_a_part_is_held_back_once_its_crashes_go_on_for_a_second(self) -> None:
        for pause in (0.02, 0.05, 0.1, 0.14, 0.16, 0.2, 0.3):
            with self.subTest(pause=pause):
                times = [pause * number for number in range(int(3.0 / pause))]
                self.assertLessEqual(_first_hold(CrashHistory(), times), 1.0 + pause)

    def test_crashes_of_another_part_that_is_quicker_delay_no_hold_for_long(self) -> None:
        history = CrashHistory()
        evil = _first_hold(history, [0.05 * number for number in range(60)], part="evil")
        self.assertLessEqual(evil, 1.05)
        # From then on only requests with the other part crash targets.
        bad = _first_hold(history, [0.2 * number for number in range(20)])
        self.assertLessEqual(bad, evil + 1.2)

    @given(
        times=st.lists(st.integers(0, 40), min_size=4, max_size=12, unique=True),
        more=st.lists(st.integers(0, 40), max_size=40),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_more_crashes_never_delay_a_hold(self, times: list[int], more: list[int]) -> None:
        few, many = ([each / 20 for each in found] for found in (times, {*times, *more}))
        self.assertLessEqual(_first_hold(CrashHistory(), many), _first_hold(CrashHistory(), few))

    def test_no_part_is_held_back_for_a_rack_that_loses_power_over_half_a_second(self) -> None:
        history, shared = CrashHistory(), part_suspect("m", "shared")
        for loss in range(3):
            times = [5.0 * loss + 0.05 * number for number in range(11)]
            self.assertEqual(_first_hold(history, times, part=f"of-{loss}"), float("inf"))
            for at in times:
                history.record_crash(Crash(shared, f"t{at}", at, 0.1))
            self.assertEqual(_held(history), {})
            # Other racks go on to answer prompts with the part.
            history.record_answer([shared], times[-1] + 0.5)


class TestSlowCrashes(unittest.TestCase):
    """Failure: a part that crashed a target each 20 s or more was never held back."""

    _PAUSES = (15.0, 20.0, 30.0, 60.0, 120.0, 240.0)

    def test_a_part_is_held_back_after_as_many_crashes_however_slow_they_come(self) -> None:
        for pause in self._PAUSES:
            with self.subTest(pause=pause):
                times = [pause * number for number in range(8)]
                self.assertEqual(_first_hold(CrashHistory(), times), 3 * pause)

    def test_further_crashes_lengthen_the_hold_of_a_slow_part_from_its_beginning_on(self) -> None:
        history = CrashHistory()
        begun = _first_hold(history, [60.0 * number for number in range(4)])
        (held,) = history.all_held(begun)
        self.assertEqual(held.until, begun + 120.0)
        for name in ("probe", _BAD):
            history.record_crash(Crash(name, "probed", begun + 125.0, 0.1))
        (held,) = history.all_held(begun + 125.0)
        self.assertEqual(held.until, begun + 125.0 + 240.0)

    def test_no_part_is_held_back_whose_prompts_are_answered_between_crashes(self) -> None:
        for pause in self._PAUSES:
            history = CrashHistory()
            for number in range(12):
                at = pause * number
                for name in (f"request-{number}", _BAD):
                    history.record_crash(Crash(name, f"t{number}", at, 0.1))
                history.record_answer([_BAD], at + 0.9 * pause)
                self.assertEqual(_held(history), {})

    def test_no_part_is_held_back_that_few_of_many_crashes_have(self) -> None:
        history = CrashHistory()
        for number in range(120):
            names = [f"request-{number}", *([_BAD] if number % 5 == 0 else [])]
            for name in names:
                history.record_crash(Crash(name, f"t{number}", 6.0 * number, 0.1))
        self.assertEqual(_held(history), {})
