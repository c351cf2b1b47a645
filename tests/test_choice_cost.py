"""The cost of choosing an engine must not grow with the numbers of nodes and stores.

Failure: with 60 engines, 28 store hosts, 80 nodes and some hundred requests per second, a
choice took 43 ms, and responses were late from the first second on.  For each engine, the
lateness of each store was computed from that of all stores, and the reports of all nodes
were added up.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

from fielddrift_core import placement
from fielddrift_core.candidates import MAX_CANDIDATES, sample
from fielddrift_core.link_queue import LinkQueue
from fielddrift_core.placement import EngineChoice
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import REPORT_TTL_SECONDS, Burden, Lateness, Workload
from fielddrift_node.serving.attempts import Attempts
from hypothesis import given
from hypothesis import strategies as st

from bench.choice import Fleet, placing_of

_LARGE = Fleet(engines=60, stores=28, nodes=80)


async def _choose(fleet: Fleet) -> EngineChoice:
    placing, context, call = placing_of(fleet)
    return await placing.place(call, Attempts(call=call, context=context), resumes=False)


class TestChoice(unittest.IsolatedAsyncioTestCase):
    async def test_lateness_is_worked_out_once(self) -> None:
        with mock.patch.object(
            Lateness, "by_store", autospec=True, side_effect=Lateness.by_store
        ) as method:
            await _choose(_LARGE)
        self.assertEqual(method.call_count, 1)

    async def test_each_link_is_asked_once(self) -> None:
        with mock.patch.object(
            LinkQueue, "wait", autospec=True, side_effect=LinkQueue.wait
        ) as method:
            await _choose(_LARGE)
        self.assertLessEqual(method.call_count, _LARGE.stores)

    async def test_no_more_engines_are_weighed_where_there_are_more(self) -> None:
        for engines in (60, 400, 800):
            with (
                self.subTest(engines=engines),
                mock.patch.object(
                    placement, "_evaluate", side_effect=placement._evaluate
                ) as priced,
            ):
                await _choose(_LARGE._replace(engines=engines))
                # Each engine is evaluated with and without fetching.
                self.assertLessEqual(priced.call_count, 2 * MAX_CANDIDATES)

    async def test_an_engine_far_from_all_others_is_found_when_only_it_has_room(self) -> None:
        placing, context, call = placing_of(_LARGE)
        assert call.parsed.prompt is not None
        for engine in context.views.registry.all():
            if engine.name != "engine-59":
                context.views.workload.begin(engine.name, "run", 0, 40_000)
        choice = await placing.place(call, Attempts(call=call, context=context), resumes=False)
        self.assertEqual(choice.instance.name, "engine-59")

    async def test_failing_engines_with_room_are_not_taken_for_working_ones(self) -> None:
        placing, context, call = placing_of(_LARGE)
        now = call.arrived_at
        for number, engine in enumerate(context.views.registry.all()):
            if number < 10:
                context.views.health.failed(engine.name, now)
            else:
                context.views.workload.begin(engine.name, "run", 0, 40_000)
        self.assertIsNone(placing._choose_with_room(call, set()))


class TestSample(unittest.TestCase):
    def test_few_engines_are_all_weighed(self) -> None:
        engines = [Instance(f"e{n}", "s", "h:1", "a") for n in range(MAX_CANDIDATES)]
        self.assertEqual(sample(engines, data_centre="a", rng=mock.Mock()), engines)

    def test_most_are_near_and_none_comes_twice(self) -> None:
        engines = [Instance(f"e{n}", "s", "h:1", f"dc{n % 4}") for n in range(400)]
        chosen = sample(engines, data_centre="dc1", rng=random.Random(1))
        self.assertEqual(len({e.name for e in chosen}), MAX_CANDIDATES)
        local = sum(e.data_centre == "dc1" for e in chosen)
        self.assertEqual(local, MAX_CANDIDATES * 3 // 4)

    def test_where_all_are_far_the_sample_is_full(self) -> None:
        engines = [Instance(f"e{n}", "s", "h:1", "b") for n in range(100)]
        chosen = sample(engines, data_centre="a", rng=random.Random(1))
        self.assertEqual(len(chosen), MAX_CANDIDATES)


_NODES = st.sampled_from(["n1", "n2", "n3"])
_TARGETS = st.sampled_from(["e1", "e2"])
_BURDENS = st.builds(Burden, st.integers(0, 3), st.integers(0, 9), st.integers(0, 9))
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("told"), _NODES, st.dictionaries(_TARGETS, _BURDENS)),
        st.tuples(st.just("begin"), _TARGETS, st.sampled_from(["r1", "r2"])),
        st.tuples(st.just("end"), _TARGETS, st.sampled_from(["r1", "r2"])),
        st.tuples(st.just("pass"), st.floats(0, 2 * REPORT_TTL_SECONDS), st.none()),
    ),
    max_size=30,
)


class TestTotals(unittest.TestCase):
    @given(_STEPS)
    def test_totals_are_what_adding_up_all_nodes_gives(self, steps: list[tuple]) -> None:  # type: ignore[type-arg]
        workload, now = Workload(), 0.0
        reports: dict[str, tuple[float, dict[str, Burden]]] = {}
        runs: set[tuple[str, str]] = set()
        for kind, first, second in steps:
            if kind == "told":
                workload.update_node(first, second, now)
                reports[first] = (now, second)
            elif kind == "begin":
                workload.begin(first, second, 2, 5)
                runs.add((first, second))
            elif kind == "end":
                workload.end(first, second)
                runs.discard((first, second))
            else:
                now += first
            for target in ("e1", "e2"):
                own = sum(name == target for name, _ in runs)
                expected = Burden(own, 2 * own, 5 * own)
                for at, burdens in reports.values():
                    if now - at <= REPORT_TTL_SECONDS:
                        expected = expected + burdens.get(target, Burden())
                self.assertEqual(workload.burden_of(target, now), expected)

    def test_a_target_with_less_to_do_is_noticed(self) -> None:
        workload = Workload()
        self.assertFalse(workload.update_node("n", {"e": Burden(1, 0, 900)}, 0.0))
        self.assertFalse(workload.update_node("n", {"e": Burden(2, 0, 950)}, 0.1))
        self.assertTrue(workload.update_node("n", {"e": Burden(1, 0, 50)}, 0.2))
        self.assertTrue(workload.update_node("n", {}, 0.3))

    @given(st.dictionaries(st.sampled_from("abcd"), st.floats(0, 2), min_size=0, max_size=4))
    def test_lateness_is_what_comparing_each_with_the_others_gives(
        self, observed: dict[str, float]
    ) -> None:
        lateness = Lateness()
        for store, seconds in observed.items():
            lateness.observe(store, seconds, 0.0)
        known = lateness.own(0.0)
        for store in observed:
            others = [late for other, late in known.items() if other != store]
            expected = max(0.0, known[store] - min(others, default=0.0))
            self.assertAlmostEqual(lateness.by_store(0.0)[store], expected)
            self.assertAlmostEqual(lateness.for_store(store, 0.0), expected)


if __name__ == "__main__":
    unittest.main()
