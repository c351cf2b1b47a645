"""Outdated weights, the lease of the rollout duty, and the order in which engines load."""

from __future__ import annotations

import unittest
from collections import Counter

from fielddrift_core.names import rank
from fielddrift_core.rollout import (
    DutyRow,
    EngineWeights,
    NamingTimes,
    StoreClock,
    VersionAge,
    _load_order,
    may_take_over,
    next_loads,
    seconds_to_begin,
    upcoming_loads,
)
from fielddrift_node.serving.ports import NamedWeights
from fielddrift_node.serving.views import Views
from hypothesis import given, settings
from hypothesis import strategies as st


class TestDuty(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.floats(-1000, 1000), st.floats(0, 2), st.floats(0, 2), st.floats(0, 5), st.floats(0, 30)
    )
    def test_a_successor_never_begins_within_a_turn_of_the_holder_s_last_order(
        self, skew: float, out: float, back: float, until: float, later: float
    ) -> None:
        # Both nodes read the platform's clock by requests with arbitrary delays in each direction.
        holder = StoreClock(100.0, 50.0, 50.0 + out + back)
        last_order_local = holder.local(100.0 + until)
        # At the holder's last order the platform's clock shows at most `until`.
        true_at_last = 100.0 + (last_order_local - (50.0 + out))
        self.assertLessEqual(true_at_last, 100.0 + until + 1e-6)
        read_at = 100.0 + later
        other = StoreClock(read_at, skew, skew + out + back)
        now = skew + out + back
        row = DutyRow("holder", 100.0 + until)
        if may_take_over(row, holder="other", clock=other, now=now, takeover_delay=3.0):
            true_now = read_at + back
            self.assertGreaterEqual(true_now + 1e-6, 100.0 + until + 3.0)

    def test_the_holder_itself_need_not_wait(self) -> None:
        clock = StoreClock(0.0, 0.0, 0.0)
        self.assertTrue(
            may_take_over(
                DutyRow("me", 99.0), holder="me", clock=clock, now=0.0, takeover_delay=3.0
            )
        )

    def test_a_third_loads_at_once_over_all_data_centres(self) -> None:
        engines = [EngineWeights(f"e{n}", "abc"[n % 3], 1, False) for n in range(9)]
        chosen = next_loads(engines, wanted=2, max_outdated=7.0)
        self.assertEqual(sorted(int(name[1:]) % 3 for name in chosen), [0, 1, 2])
        loading = [e._replace(loading=e.name in chosen) for e in engines]
        self.assertEqual(next_loads(loading, wanted=2, max_outdated=7.0), [])
        late = [e._replace(outdated=7.1) for e in engines]
        self.assertEqual(len(next_loads(late, wanted=2, max_outdated=7.0)), 9)

    def test_every_node_knows_which_engines_load_next_until_all_have(self) -> None:
        engines = [EngineWeights(f"e{n}", "abc"[n % 3], 1, False) for n in range(9)]
        while behind := [e for e in engines if e.weights < 2]:
            expected = upcoming_loads(engines, wanted=2)
            chosen = next_loads(engines, wanted=2, max_outdated=7.0)
            self.assertEqual(set(chosen), set(expected))
            loading = [e._replace(loading=e.name in chosen) for e in engines]
            after = upcoming_loads(loading, wanted=2)
            self.assertEqual(len(after), min(3, len(behind) - 3))
            engines = [e._replace(weights=2) if e.name in chosen else e for e in engines]
            self.assertEqual(set(next_loads(engines, wanted=2, max_outdated=7.0)), set(after))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.booleans())))
    def test_the_line_is_what_taking_the_best_of_all_each_time_gives(
        self, found: list[tuple[str, int, bool]]
    ) -> None:
        engines = [EngineWeights(f"e{n}", *each) for n, each in enumerate(found)]
        order = rank("3", [(engine.name, 1.0) for engine in engines])
        waiting = [e for e in engines if e.weights < 3 and not e.loading]
        waiting.sort(key=lambda e: order.index(e.name))
        loading = Counter(e.data_centre for e in engines if e.loading)
        expected = []
        while waiting:
            engine = min(waiting, key=lambda e: (e.weights, loading[e.data_centre]))
            waiting.remove(engine)
            loading[engine.data_centre] += 1
            expected.append(engine.name)
        self.assertEqual(_load_order(engines, 3), expected)

    def test_the_oldest_weights_are_replaced_first(self) -> None:
        engines = [EngineWeights(f"e{n}", "abc"[n % 3], 2, False) for n in range(9)]
        for n in (4, 7):
            engines[n] = engines[n]._replace(weights=1)
        chosen = next_loads(engines, wanted=3, max_outdated=7.0)
        self.assertEqual(len(chosen), 3)
        self.assertTrue({"e4", "e7"} <= set(chosen))


class TestNamedWeights(unittest.TestCase):
    def test_a_node_that_was_away_counts_from_when_others_heard(self) -> None:
        views = Views()
        views.update_weights(NamedWeights("m", 3), 100.0)
        views.record_version_ages([VersionAge("m", 3, 4.0)], 100.2)
        self.assertAlmostEqual(views.outdated_seconds("m", 2, 100.2), 4.0)
        views.record_version_ages([VersionAge("m", 3, 0.1)], 100.3)
        self.assertAlmostEqual(views.outdated_seconds("m", 2, 100.3), 4.1)
        self.assertEqual(views.outdated_seconds("m", 3, 100.3), 0.0)

    def test_each_version_outdates_those_before_it_from_its_own_naming(self) -> None:
        views = Views()
        views.update_weights(NamedWeights("m", 2), 100.0)
        views.update_weights(NamedWeights("m", 3), 104.0)
        self.assertAlmostEqual(views.outdated_seconds("m", 1, 110.0), 10.0)
        self.assertAlmostEqual(views.outdated_seconds("m", 2, 110.0), 6.0)

    def test_requests_begin_on_older_weights_before_their_time_is_over(self) -> None:
        self.assertEqual(seconds_to_begin(0.0, max_outdated=10.0), float("inf"))
        self.assertAlmostEqual(seconds_to_begin(6.9, max_outdated=10.0), 2.6)
        self.assertLessEqual(seconds_to_begin(9.5, max_outdated=10.0), 0.0)

    def test_the_newest_sightings_of_weights_stand_last(self) -> None:
        views = Views()
        for version in (2, 3):
            for engine in ("e1", "e2", "e3"):
                views.weights.observe(engine, "m", version, 0.0)
        views.weights.observe("e1", "m", 4, 0.0)
        views.weights.observe("e2", "m", 2, 0.0)
        expected = [("e2", "m", 3), ("e3", "m", 3), ("e1", "m", 4)]
        self.assertEqual(views.weights.newest(9), expected)

    def test_a_version_that_was_missed_is_learned_from_others(self) -> None:
        first, late = NamingTimes(), Views()
        first.heard("m", 2, 100.0)
        first.heard("m", 3, 104.0)
        late.update_weights(NamedWeights("m", 3), 205.0)
        late.record_version_ages(first.ages(105.0), 205.0)
        self.assertAlmostEqual(late.outdated_seconds("m", 1, 205.0), 5.0)
        self.assertEqual(late.named, {"m": 3})
