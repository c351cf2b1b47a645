"""Views of the stores' content, the choice of stores for saves, and fetch plans."""

from __future__ import annotations

import unittest

from fielddrift_core.catalog import EngineTraits, StoreTraits
from fielddrift_core.placement import EngineState, Holder, choose_engine, plan_fetch
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.store_index import (
    VIEW_LEASE_SECONDS,
    KeptChange,
    StoreConfirmation,
    StoreIndex,
    StoreView,
)
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

ENGINE = EngineTraits(64, 40_000, 18_432, 16e9, ("m",), 12)
SLOW = StoreTraits("slow:1", "a", 1_000_000, 3.6e9, 0.006, True, 12)
QUICK = StoreTraits("quick:1", "a", 150_000, 12.5e9, 0.0005, True, 12)
_CLOCK = round(VIEW_LEASE_SECONDS * 1000)
"""A time on the engines' clock at which all stores have been known for long enough."""
PROMPT = Prompt("m", (Part("top", 2500), Part("leaf", 5000), Part("own", 1500)), 9000, 10)


def instance(name: str, data_centre: str = "a", **extra: object) -> Instance:
    return Instance(name, "s", f"{name}:1", data_centre, **extra)  # type: ignore[arg-type]


class TestKeptChanges(unittest.TestCase):
    """Nodes copy the changes at a store from the node that receives its events."""

    def setUp(self) -> None:
        self.receiver = StoreView(traits=SLOW)
        self.receiver.listed(7, 10, [("s", "aa", 100)])

    def _receive(self, since: int, following: int, part: str) -> None:
        change = KeptChange(since, following, (("s", part, 50),), ())
        self.assertTrue(self.receiver.apply(change))

    def test_a_copy_takes_the_changes_it_lacks(self) -> None:
        copy = StoreView(traits=SLOW)
        copy.listed(7, 10, [("s", "aa", 100)])
        self._receive(10, 12, "bb")
        self._receive(12, 15, "cc")
        changes = self.receiver.changes_since(copy.following)
        assert changes is not None
        for change in changes:
            self.assertTrue(copy.apply(change))
        self.assertEqual((copy.held, copy.used), (self.receiver.held, self.receiver.used))
        self.assertEqual(self.receiver.changes_since(15), ())

    def test_a_copy_with_a_gap_is_told_that_changes_are_not_known(self) -> None:
        self._receive(10, 12, "bb")
        self.assertIsNone(self.receiver.changes_since(9))
        self.assertIsNone(self.receiver.changes_since(11))
        copy = StoreView(traits=SLOW)
        copy.listed(7, 9, [])
        self.assertFalse(copy.apply(KeptChange(10, 12, (), (("s", "aa"),))))
        self.assertEqual((copy.following, copy.held), (9, {}))

    def test_a_view_takes_nothing_from_one_that_is_behind(self) -> None:
        self.assertFalse(self.receiver.is_behind(7, 9))
        self.assertFalse(self.receiver.is_behind(7, 10))
        self.assertTrue(self.receiver.is_behind(7, 11))
        self.assertTrue(self.receiver.is_behind(8, 1))

    def test_old_changes_are_forgotten_not_invented(self) -> None:
        for number in range(10, 500):
            self._receive(number, number + 1, f"p{number}")
        self.assertIsNone(self.receiver.changes_since(10))
        self.assertEqual(len(self.receiver.changes_since(499) or ()), 1)


class TestPlacement(unittest.TestCase):
    def _choose(
        self, engines: list[EngineState], holders: dict[str, list[Holder]], tokens_out: int = 10
    ) -> object:
        choice = choose_engine(
            PROMPT._replace(tokens_out=tokens_out),
            engines,
            traits=ENGINE,
            data_centre="a",
            latency_goal=0.5,
            holders=lambda _, part: holders.get(part.id, []),
        )
        assert choice is not None
        return choice

    def _engine(self, name: str, **extra: object) -> EngineState:
        values: dict[str, object] = {
            "instance": instance(name),
            "burden": Burden(),
            "failures": 0.0,
            "is_outdated": False,
            "loading": False,
        }
        return EngineState(**{**values, **extra})  # type: ignore[arg-type]

    def test_parts_behind_a_gap_are_of_no_use(self) -> None:
        found = plan_fetch(
            PROMPT,
            traits=ENGINE,
            data_centre="a",
            holders=lambda part: [Holder(SLOW)] if part.id == "leaf" else [],
        )
        self.assertEqual(found.sources, (None, None, None))
        self.assertEqual((found.unread, found.recomputed), (9000, 5000))

    def test_the_link_that_is_free_sooner_serves(self) -> None:
        holders = [Holder(SLOW, 0.0), Holder(QUICK, 0.5)]
        found = plan_fetch(PROMPT, traits=ENGINE, data_centre="a", holders=lambda _: holders)
        self.assertEqual(found.sources[:2], (SLOW, SLOW))

    def test_long_answers_go_to_engines_that_do_not_load_next(self) -> None:
        soon, other = (
            self._engine("soon", loads_next=True),
            self._engine("other", burden=Burden(3, 2000)),
        )
        self.assertEqual(self._choose([soon, other], {}, 80).instance.name, "other")  # type: ignore[attr-defined]
        self.assertEqual(self._choose([soon, other], {}, 10).instance.name, "soon")  # type: ignore[attr-defined]

    def test_the_lighter_engine_is_chosen_and_a_loading_one_only_alone(self) -> None:
        light, heavy = self._engine("light"), self._engine("heavy", burden=Burden(3, 20_000))
        self.assertEqual(self._choose([heavy, light], {}).instance.name, "light")  # type: ignore[attr-defined]
        loading = self._engine("loading", loading=True)
        self.assertEqual(self._choose([loading, heavy], {}).instance.name, "heavy")  # type: ignore[attr-defined]
        self.assertEqual(self._choose([loading], {}).instance.name, "loading")  # type: ignore[attr-defined]

    def test_an_engine_where_the_first_event_would_come_too_late_is_none(self) -> None:
        light, heavy = self._engine("light"), self._engine("heavy", burden=Burden(3, 20_000))
        needed = self._choose([light], {}).seconds  # type: ignore[attr-defined]
        late = light._replace(left=needed * 0.9)
        self.assertEqual(self._choose([late, heavy], {}).instance.name, "heavy")  # type: ignore[attr-defined]
        in_time = light._replace(left=needed * 1.1)
        self.assertEqual(self._choose([in_time, heavy], {}).instance.name, "light")  # type: ignore[attr-defined]
        self.assertIsNone(
            choose_engine(
                PROMPT,
                [late],
                traits=ENGINE,
                data_centre="a",
                latency_goal=0.5,
                holders=lambda *_: [],
            )
        )

    def test_an_engine_that_still_has_the_parts_is_preferred(self) -> None:
        cold, warm = self._engine("cold"), self._engine("warm", memory={"top", "leaf"})
        self.assertEqual(self._choose([cold, warm], {}).instance.name, "warm")  # type: ignore[attr-defined]

    def test_a_fetch_that_would_be_late_gives_way_to_reading(self) -> None:
        late = {"top": [Holder(SLOW, 1.0)], "leaf": [Holder(SLOW, 1.0)]}
        choice = self._choose([self._engine("e")], late)
        self.assertFalse(any(choice.fetch_plan.sources))  # type: ignore[attr-defined]

    def test_a_full_memory_counts(self) -> None:
        full = self._engine("full", burden=Burden(5, 0, 60_000))
        some = self._engine("some", burden=Burden(5, 2_000, 10_000))
        self.assertEqual(self._choose([full, some], {}).instance.name, "some")  # type: ignore[attr-defined]


class TestStoreIndex(unittest.TestCase):
    def setUp(self) -> None:
        self.store_index = StoreIndex()
        self.store_index.configure([SLOW, QUICK])
        for view in self.store_index.views:
            view.listed(1, 0, [])
            view.confirm(StoreConfirmation(1, 0, _CLOCK))

    def test_small_parts_go_to_quick_stores_and_large_ones_to_large(self) -> None:
        self.assertEqual(self.store_index.save("s", Part("large", 5000), 0.0, clock=_CLOCK), SLOW)
        chosen = [
            self.store_index.save("s", Part(f"p{n}", 500), 0.0, clock=_CLOCK) for n in range(40)
        ]
        self.assertGreater(chosen.count(QUICK), chosen.count(SLOW))

    def test_a_save_is_not_begun_twice_until_it_is_lost(self) -> None:
        part = Part("p", 500)
        self.store_index.save("s", part, 0.0, clock=_CLOCK)
        self.assertTrue(self.store_index.is_saving("s", part, 1.0))
        self.assertFalse(self.store_index.is_saving("s", part, 10.0))

    def test_nothing_counts_as_kept_in_a_store_that_is_unknown(self) -> None:
        view = self.store_index.views[0]
        view.add("s", "p", 500)
        self.assertEqual(len(self.store_index.holders("s", Part("p", 500))), 1)
        view.unknown()
        self.assertEqual(self.store_index.holders("s", Part("p", 500)), [])

    def test_a_full_store_and_a_late_store_take_nothing(self) -> None:
        for view in self.store_index.views:
            view.listed(1, 0, [("s", "x", view.traits.capacity)])
        self.assertIsNone(self.store_index.save("s", Part("p", 500), 0.0, clock=_CLOCK))
        for view in self.store_index.views:
            view.listed(1, 0, [])
        late = {QUICK.address: 1.0}
        chosen = self.store_index.save(
            "s", Part("p", 500), 0.0, clock=_CLOCK, late=lambda s: late.get(s, 0.0)
        )
        self.assertEqual(chosen, SLOW)

    def test_parts_are_found_by_their_salt_alone(self) -> None:
        view = self.store_index.views[0]
        view.add("m.1.", "old", 100)
        view.add("m.2.", "new", 100)
        view.add("m.2.ana", "own", 100)
        self.assertEqual(self.store_index.salts(), {"m.1.", "m.2.", "m.2.ana"})
        self.assertEqual(
            self.store_index.keys_under({"m.1."}), {view.traits.address: [("m.1.", "old")]}
        )
        self.assertEqual(self.store_index.keys_under({"m."}), {})
