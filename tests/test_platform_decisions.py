"""The pure decisions of a serving node, also with messages lost, late and repeated."""

from __future__ import annotations

import random
import unittest
from typing import ClassVar

from fielddrift_core.active import Candidate, active_names
from fielddrift_core.catalog import EngineTraits, StoreTraits
from fielddrift_core.linkqueue import LinkQueue
from fielddrift_core.memory import EngineMemory
from fielddrift_core.names import rank
from fielddrift_core.neighbours import Beat, Neighbour, Neighbours, Standing
from fielddrift_core.overload import come_back
from fielddrift_core.placement import EngineSight, Holder, choose_engine, recall
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.readers import Reading, source
from fielddrift_core.retries import WindowBudget
from fielddrift_core.rollout import (
    DutyRow,
    EngineWeights,
    NamedTimes,
    StoreClock,
    VersionAge,
    may_take,
    next_loads,
)
from fielddrift_core.roster import RESPITE_SECONDS, Instance, Roster
from fielddrift_core.shelf import KeptChange, Shelf, StoreView
from fielddrift_core.stream import EventCutter
from fielddrift_core.workload import Burden, Lateness, PeakRate, TargetHealth, Workload
from fielddrift_node.serving.ports import NamedWeights
from fielddrift_node.serving.views import Views
from hypothesis import given, settings
from hypothesis import strategies as st

ENGINE = EngineTraits(64, 40_000, 18_432, 16e9, ("m",), 12)
SLOW = StoreTraits("slow:1", "a", 1_000_000, 3.6e9, 0.006, True, 12)
QUICK = StoreTraits("quick:1", "a", 150_000, 12.5e9, 0.0005, True, 12)
PROMPT = Prompt("m", (Part("top", 2500), Part("leaf", 5000), Part("own", 1500)), 9000, 10)


def instance(name: str, data_centre: str = "a", **extra: object) -> Instance:
    return Instance(name, "s", f"{name}:1", data_centre, **extra)  # type: ignore[arg-type]


def neighbour(name: str, data_centre: str = "a", boot: int = 1) -> Neighbour:
    return Neighbour(name, boot, data_centre, f"{name}:80", f"{name}:81", f"{name}:82")


def beat(node: Neighbour, *, ready: bool = True, leaving: bool = False) -> Beat:
    return Beat(node, ready, leaving, 1, {}, {})


class TestRoster(unittest.TestCase):
    def test_a_lapse_in_an_outage_is_waited_out_and_then_taken_for_the_end(self) -> None:
        roster = Roster()
        roster.heard(instance("w"), 0.0)
        roster.store_returned(10.0)
        roster.gone("w", 10.1)
        self.assertEqual(len(roster.serving("s")), 1)
        roster.tick(10.0 + RESPITE_SECONDS)
        self.assertEqual(roster.serving("s"), [])

    def test_an_end_in_fair_weather_holds_at_once(self) -> None:
        roster = Roster()
        roster.heard(instance("w"), 0.0)
        roster.gone("w", 1.0)
        self.assertEqual(len(roster), 0)

    def test_leaving_is_final_whoever_said_it_first(self) -> None:
        roster = Roster()
        roster.heard(instance("w"), 0.0)
        roster.left("w")
        roster.heard(instance("w", warming=1.0), 1.0)
        roster.copied([instance("w")], [])
        self.assertEqual(roster.serving("s"), [])


class TestBudget(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 0.5)), max_size=300))
    def test_all_nodes_together_stay_inside_in_any_window(
        self, steps: list[tuple[int, float]]
    ) -> None:
        nodes = [WindowBudget(ratio=0.2, slack=10.0, window=10.0) for _ in range(3)]
        now, firsts, repeats = 0.0, [], []
        for number, (node, wait) in enumerate(steps):
            now += wait
            if number % 2:
                nodes[node].first(now)
                firsts.append(now)
            elif nodes[node].take(now, nodes=3):
                repeats.append(now)
        for end in repeats:
            window = sum(end - 10.0 < at <= end for at in repeats)
            before = sum(end - 20.0 < at <= end for at in firsts)
            self.assertLessEqual(window, 0.2 * before + 10.0)


class TestDuty(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.floats(-1000, 1000), st.floats(0, 2), st.floats(0, 2), st.floats(0, 5), st.floats(0, 30)
    )
    def test_a_successor_never_begins_within_a_turn_of_the_holder_s_last_order(
        self, skew: float, out: float, back: float, until: float, later: float
    ) -> None:
        # Both read the platform's clock over calls that take any time each way.
        holder = StoreClock(100.0, 50.0, 50.0 + out + back)
        last_order_local = holder.local(100.0 + until)
        # The platform's true clock at the holder's last order is at most `until`.
        true_at_last = 100.0 + (last_order_local - (50.0 + out))
        self.assertLessEqual(true_at_last, 100.0 + until + 1e-6)
        read_at = 100.0 + later
        other = StoreClock(read_at, skew, skew + out + back)
        now = skew + out + back
        row = DutyRow("holder", 100.0 + until)
        if may_take(row, holder="other", clock=other, now=now, turn=3.0):
            true_now = read_at + back
            self.assertGreaterEqual(true_now + 1e-6, 100.0 + until + 3.0)

    def test_the_holder_itself_need_not_wait(self) -> None:
        clock = StoreClock(0.0, 0.0, 0.0)
        self.assertTrue(may_take(DutyRow("me", 99.0), holder="me", clock=clock, now=0.0, turn=3.0))

    def test_a_third_loads_at_once_over_all_data_centres(self) -> None:
        engines = [EngineWeights(f"e{n}", "abc"[n % 3], 1, n, False) for n in range(9)]
        chosen = next_loads(engines, wanted=2, longest=7.0)
        self.assertEqual(sorted(chosen), ["e0", "e1", "e2"])
        loading = [e._replace(loading=e.name in chosen) for e in engines]
        self.assertEqual(next_loads(loading, wanted=2, longest=7.0), [])
        late = [e._replace(outdated=7.1) for e in engines]
        self.assertEqual(len(next_loads(late, wanted=2, longest=7.0)), 9)

    def test_the_oldest_weights_are_replaced_first(self) -> None:
        engines = [EngineWeights(f"e{n}", "abc"[n % 3], 2, n, False) for n in range(9)]
        for n in (4, 7):
            engines[n] = engines[n]._replace(weights=1)
        chosen = next_loads(engines, wanted=3, longest=7.0)
        self.assertEqual(len(chosen), 3)
        self.assertTrue({"e4", "e7"} <= set(chosen))


class TestNamedWeights(unittest.TestCase):
    def test_a_node_that_was_away_counts_from_when_others_heard(self) -> None:
        views = Views()
        views.take_weights(NamedWeights("m", 3), 100.0)
        views.heard_ages([VersionAge("m", 3, 4.0)], 100.2)
        self.assertAlmostEqual(views.outdated_seconds("m", 2, 100.2), 4.0)
        views.heard_ages([VersionAge("m", 3, 0.1)], 100.3)
        self.assertAlmostEqual(views.outdated_seconds("m", 2, 100.3), 4.1)
        self.assertEqual(views.outdated_seconds("m", 3, 100.3), 0.0)

    def test_each_version_outdates_those_before_it_from_its_own_naming(self) -> None:
        views = Views()
        views.take_weights(NamedWeights("m", 2), 100.0)
        views.take_weights(NamedWeights("m", 3), 104.0)
        self.assertAlmostEqual(views.outdated_seconds("m", 1, 110.0), 10.0)
        self.assertAlmostEqual(views.outdated_seconds("m", 2, 110.0), 6.0)

    def test_the_newest_sightings_of_weights_stand_last(self) -> None:
        views = Views()
        for version in (2, 3):
            for engine in ("e1", "e2", "e3"):
                views.saw_weights(engine, "m", version)
        views.saw_weights("e1", "m", 4)
        views.saw_weights("e2", "m", 2)
        self.assertEqual(list(views.weights), [("e2", "m"), ("e3", "m"), ("e1", "m")])
        self.assertEqual(views.weights[("e2", "m")], 3)

    def test_a_version_that_was_missed_is_learned_from_others(self) -> None:
        first, late = NamedTimes(), Views()
        first.heard("m", 2, 100.0)
        first.heard("m", 3, 104.0)
        late.take_weights(NamedWeights("m", 3), 205.0)
        late.heard_ages(first.ages(105.0), 205.0)
        self.assertAlmostEqual(late.outdated_seconds("m", 1, 205.0), 5.0)
        self.assertEqual(late.named, {"m": 3})


class TestReaders(unittest.TestCase):
    def test_one_reads_for_all_and_when_it_grows_old_each_reads(self) -> None:
        names = ["n1", "n2", "n3"]
        fresh = {name: Reading(age=0.1) for name in names}
        readers = set()
        for name in names:
            others = {n: r for n, r in fresh.items() if n != name}
            readers.add(source(name, "platform", others, active=names).name or name)
        self.assertEqual(len(readers), 1)
        (reader,) = readers
        old = {n: Reading(age=5.0) for n in names}
        for name in names:
            others = {n: r for n, r in old.items() if n != name}
            self.assertEqual(source(name, "platform", others, active=names).name, "", reader)

    def test_where_the_reader_is_cut_off_the_next_one_reads_for_the_others(self) -> None:
        names = ["n1", "n2", "n3", "n4"]
        active = names[:3]
        order = rank("platform", [(name, 1.0) for name in active])
        ages = {order[0]: 3.0, order[1]: 0.1, order[2]: 0.4, "n4": 0.4}
        found = {}
        for name in names:
            others = {n: Reading(age=age) for n, age in ages.items() if n != name}
            found[name] = source(name, "platform", others, active=active).name
        self.assertEqual(found, {order[0]: "", order[1]: "", order[2]: order[1], "n4": order[1]})

    def test_a_node_that_stands_by_never_reads_for_others_and_waits_longer(self) -> None:
        late = {"n1": Reading(age=1.5), "n2": Reading(age=1.6)}
        self.assertEqual(source("n3", "k", late, active=["n1", "n2"]).name, "n1")
        lost = {"n1": Reading(age=2.5), "n2": Reading(age=2.6)}
        self.assertEqual(source("n3", "k", lost, active=["n1", "n2"]).name, "")


class TestNeighbours(unittest.TestCase):
    def setUp(self) -> None:
        self.view = Neighbours(me=neighbour("me"))

    def _addresses(self, now: float, data_centre: str = "a") -> list[str]:
        return self.view.addresses(data_centre, now)

    def test_a_silent_node_leaves_the_answers_and_a_heard_one_returns(self) -> None:
        self.view.hear(beat(neighbour("n1")), 0.0)
        self.assertEqual(self._addresses(0.5), ["n1:80"])
        self.assertEqual(self._addresses(2.0), [])
        self.view.hear(beat(neighbour("n1")), 2.0)
        self.assertEqual(len(self._addresses(2.1)), 1)

    def test_a_leaving_node_leaves_the_answers_at_once(self) -> None:
        self.view.hear(beat(neighbour("n1")), 0.0)
        self.assertEqual(len(self._addresses(0.01)), 1)
        self.view.hear(beat(neighbour("n1"), leaving=True), 0.02)
        self.assertEqual(self._addresses(0.03), [])
        self.view.report(serving=True, load=0.0)
        self.assertEqual(self._addresses(0.04), ["me:80"])
        self.view.report(serving=False, load=0.0)
        self.assertEqual(self._addresses(0.05), [])

    def test_a_beat_of_an_earlier_life_is_ignored(self) -> None:
        self.view.hear(beat(neighbour("n1", boot=2)), 0.0)
        self.view.hear(beat(neighbour("n1", boot=1), leaving=True), 0.1)
        self.assertEqual(len(self._addresses(0.2)), 1)

    def test_callers_are_sent_to_their_own_data_centre_first(self) -> None:
        self.view.hear(beat(neighbour("n1", "a")), 0.0)
        self.view.hear(beat(neighbour("n2", "b")), 0.0)
        self.assertEqual(self._addresses(0.1, "b"), ["n2:80"])
        self.assertEqual(self._addresses(0.1, "c"), ["n1:80", "n2:80"])

    def test_beats_a_second_do_not_grow_without_bound(self) -> None:
        for number in range(200):
            many = beat(neighbour(f"n{number}"))._replace(period=3.0)
            self.view.hear(many, 0.0)
        self.assertEqual(len(self.view.due(0.0)), 200)
        sent = sum(len(self.view.due(tick / 20)) for tick in range(1, 41))
        self.assertLessEqual(sent, 150)

    def test_a_longer_period_is_told_at_once(self) -> None:
        self.view.report(serving=True, load=0.0)
        self.view.hear(beat(neighbour("n1")), 0.0)
        self.assertEqual(len(self.view.due(0.0)), 1)
        self.assertEqual(self.view.due(0.05), [])
        self.view.report(serving=False, load=0.0)
        self.assertEqual(len(self.view.due(0.06)), 1)


class TestActive(unittest.TestCase):
    """Which hosts are active, and what a host that stands by believes."""

    HOSTS: ClassVar = [Candidate(f"small-{n}", 40.0) for n in range(20)]
    LARGE: ClassVar = [Candidate(f"large-{n}", 500.0) for n in range(2)]

    def test_large_hosts_come_first_and_three_at_least(self) -> None:
        chosen = active_names([*self.HOSTS, *self.LARGE])
        self.assertTrue({"large-0", "large-1"} <= chosen)
        self.assertEqual(len(chosen), 4)
        self.assertEqual(len(active_names(self.HOSTS[:2])), 2)

    def test_more_hosts_become_active_as_the_load_grows(self) -> None:
        loaded = [host._replace(load=10.0) for host in self.HOSTS]
        chosen = active_names(loaded)
        self.assertEqual(len(chosen), 15)
        self.assertTrue(active_names(self.HOSTS) <= chosen)

    @given(st.integers(0, 19))
    @settings(max_examples=20, derandomize=True, deadline=None)
    def test_a_host_that_goes_changes_at_most_one_place(self, gone: int) -> None:
        before = active_names(self.HOSTS)
        after = active_names([host for n, host in enumerate(self.HOSTS) if n != gone])
        self.assertLessEqual(len(before - after), 1)
        self.assertLessEqual(len(after - before), 1)

    def _view(self, names: list[str]) -> Neighbours:
        view = Neighbours(me=neighbour("n0"))
        view.report(serving=True, load=0.0)
        for name in names:
            view.hear(beat(neighbour(name))._replace(period=0.25), 0.0)
        return view

    def test_a_host_that_stands_by_takes_the_place_of_one_that_fell_silent(self) -> None:
        names = [f"n{number}" for number in range(1, 9)]
        view = self._view(names)
        chosen = view.active(0.1)
        self.assertEqual(len(chosen), 3)
        silent = min(chosen - {"n0"})
        for name in names:
            if name != silent:
                view.hear(beat(neighbour(name))._replace(period=0.25), 1.2)
        after = view.active(1.5)
        self.assertNotIn(silent, after)
        self.assertEqual(len(after), 3)
        self.assertTrue(chosen - {silent} <= after)

    def test_what_all_may_do_is_shared_out_with_room_for_those_that_step_in(self) -> None:
        view = self._view([f"n{number}" for number in range(1, 9)])
        self.assertEqual(view.sharing(0.1), 6)
        self.assertEqual(self._view(["n1"]).sharing(0.1), 2)
        self.assertEqual(self._view([]).sharing(0.1), 1)

    def test_nodes_that_stand_by_beat_seldom_and_say_so(self) -> None:
        view = self._view([f"n{number}" for number in range(1, 30)])
        both = view.period(Standing(near=True, mine=True, theirs=True), 0.1)
        none = view.period(Standing(near=True, mine=False, theirs=False), 0.1)
        self.assertLess(both, 0.2)
        self.assertGreaterEqual(none, 3.0)

    def test_a_peak_counts_for_some_seconds(self) -> None:
        rate = PeakRate()
        for _ in range(7):
            rate.add(100.2)
        rate.add(101.5)
        self.assertEqual(rate.value(105.0), 7.0)
        self.assertEqual(rate.value(111.2), 1.0)
        self.assertEqual(rate.value(120.0), 0.0)


class TestKeptChanges(unittest.TestCase):
    """Nodes copy what changed at a store from the one that listens to it."""

    def setUp(self) -> None:
        self.listener = StoreView(traits=SLOW)
        self.listener.listed(7, 10, [("s", "aa", 100)])

    def _hear(self, since: int, following: int, part: str) -> None:
        change = KeptChange(since, following, (("s", part, 50),), ())
        self.assertTrue(self.listener.take(change))

    def test_a_copy_takes_the_changes_it_lacks(self) -> None:
        copy = StoreView(traits=SLOW)
        copy.listed(7, 10, [("s", "aa", 100)])
        self._hear(10, 12, "bb")
        self._hear(12, 15, "cc")
        changes = self.listener.changes(copy.following)
        assert changes is not None
        for change in changes:
            self.assertTrue(copy.take(change))
        self.assertEqual((copy.held, copy.used), (self.listener.held, self.listener.used))
        self.assertEqual(self.listener.changes(15), ())

    def test_a_copy_with_a_gap_is_told_that_changes_are_not_known(self) -> None:
        self._hear(10, 12, "bb")
        self.assertIsNone(self.listener.changes(9))
        self.assertIsNone(self.listener.changes(11))
        copy = StoreView(traits=SLOW)
        copy.listed(7, 9, [])
        self.assertFalse(copy.take(KeptChange(10, 12, (), (("s", "aa"),))))
        self.assertEqual((copy.following, copy.held), (9, {}))

    def test_old_changes_are_forgotten_not_invented(self) -> None:
        for number in range(10, 500):
            self._hear(number, number + 1, f"p{number}")
        self.assertIsNone(self.listener.changes(10))
        self.assertEqual(len(self.listener.changes(499) or ()), 1)


class TestOverload(unittest.TestCase):
    """Who is sent away at once, and until when."""

    def setUp(self) -> None:
        self.rng = random.Random(3)

    def _judge(
        self, estimate: float, *, patience: float = 4.0, crowded: bool = True
    ) -> float | None:
        return come_back(
            patience=patience, estimate=estimate, aim=0.5, crowded=crowded, rng=self.rng
        )

    def test_what_can_be_in_time_is_taken(self) -> None:
        self.assertIsNone(self._judge(0.4))

    def test_a_long_prompt_is_taken_where_nobody_waits(self) -> None:
        self.assertIsNone(self._judge(0.9, crowded=False))

    def test_one_that_would_be_late_comes_back_within_its_patience(self) -> None:
        backs = [self._judge(1.2) or 0.0 for _ in range(50)]
        self.assertLessEqual(max(backs), 4.0 / 3)
        self.assertGreater(min(backs), 0.9)
        self.assertGreater(max(backs) - min(backs), 0.3)


class TestPlacement(unittest.TestCase):
    def _choose(self, sights: list[EngineSight], holders: dict[str, list[Holder]]) -> object:
        choice = choose_engine(
            PROMPT,
            sights,
            traits=ENGINE,
            data_centre="a",
            aim=0.5,
            holders=lambda _, part: holders.get(part.id, []),
        )
        assert choice is not None
        return choice

    def _sight(self, name: str, **extra: object) -> EngineSight:
        values: dict[str, object] = {
            "instance": instance(name),
            "burden": Burden(),
            "failures": 0.0,
            "behind": False,
            "loading": False,
        }
        return EngineSight(**{**values, **extra})  # type: ignore[arg-type]

    def test_parts_behind_a_gap_are_of_no_use(self) -> None:
        found = recall(
            PROMPT,
            traits=ENGINE,
            data_centre="a",
            holders=lambda part: [Holder(SLOW)] if part.id == "leaf" else [],
        )
        self.assertEqual(found.sources, (None, None, None))
        self.assertEqual((found.unread, found.again), (9000, 5000))

    def test_the_link_that_is_free_sooner_serves(self) -> None:
        holders = [Holder(SLOW, 0.0), Holder(QUICK, 0.5)]
        found = recall(PROMPT, traits=ENGINE, data_centre="a", holders=lambda _: holders)
        self.assertEqual(found.sources[:2], (SLOW, SLOW))

    def test_the_lighter_engine_is_chosen_and_a_loading_one_only_alone(self) -> None:
        light, heavy = self._sight("light"), self._sight("heavy", burden=Burden(3, 20_000))
        self.assertEqual(self._choose([heavy, light], {}).instance.name, "light")  # type: ignore[attr-defined]
        loading = self._sight("loading", loading=True)
        self.assertEqual(self._choose([loading, heavy], {}).instance.name, "heavy")  # type: ignore[attr-defined]
        self.assertEqual(self._choose([loading], {}).instance.name, "loading")  # type: ignore[attr-defined]

    def test_an_engine_that_still_has_the_parts_is_preferred(self) -> None:
        cold, warm = self._sight("cold"), self._sight("warm", memory={"top", "leaf"})
        self.assertEqual(self._choose([cold, warm], {}).instance.name, "warm")  # type: ignore[attr-defined]

    def test_a_fetch_that_would_be_late_gives_way_to_reading(self) -> None:
        late = {"top": [Holder(SLOW, 1.0)], "leaf": [Holder(SLOW, 1.0)]}
        choice = self._choose([self._sight("e")], late)
        self.assertFalse(any(choice.recall.sources))  # type: ignore[attr-defined]

    def test_a_full_memory_counts(self) -> None:
        full = self._sight("full", burden=Burden(5, 0, 60_000))
        some = self._sight("some", burden=Burden(5, 2_000, 10_000))
        self.assertEqual(self._choose([full, some], {}).instance.name, "some")  # type: ignore[attr-defined]


class TestShelf(unittest.TestCase):
    def setUp(self) -> None:
        self.shelf = Shelf()
        self.shelf.configure([SLOW, QUICK])
        for view in self.shelf.views:
            view.listed(1, 0, [])

    def test_small_parts_go_to_quick_stores_and_large_ones_to_large(self) -> None:
        self.assertEqual(self.shelf.save("s", Part("large", 5000), 0.0), SLOW)
        chosen = [self.shelf.save("s", Part(f"p{n}", 500), 0.0) for n in range(40)]
        self.assertGreater(chosen.count(QUICK), chosen.count(SLOW))

    def test_a_save_is_not_begun_twice_until_it_is_lost(self) -> None:
        part = Part("p", 500)
        self.shelf.save("s", part, 0.0)
        self.assertTrue(self.shelf.saving("s", part, 1.0))
        self.assertFalse(self.shelf.saving("s", part, 10.0))

    def test_nothing_counts_as_kept_in_a_store_that_is_unknown(self) -> None:
        view = self.shelf.views[0]
        view.add("s", "p", 500)
        self.assertEqual(len(self.shelf.holders("s", Part("p", 500))), 1)
        view.unknown()
        self.assertEqual(self.shelf.holders("s", Part("p", 500)), [])

    def test_a_full_store_and_a_late_store_take_nothing(self) -> None:
        for view in self.shelf.views:
            view.listed(1, 0, [("s", "x", view.traits.capacity)])
        self.assertIsNone(self.shelf.save("s", Part("p", 500), 0.0))
        for view in self.shelf.views:
            view.listed(1, 0, [])
        late = {QUICK.address: 1.0}
        chosen = self.shelf.save("s", Part("p", 500), 0.0, late=lambda s: late.get(s, 0.0))
        self.assertEqual(chosen, SLOW)

    def test_parts_are_found_by_their_salt_alone(self) -> None:
        view = self.shelf.views[0]
        view.add("m.1.", "old", 100)
        view.add("m.2.", "new", 100)
        view.add("m.2.ana", "own", 100)
        self.assertEqual(self.shelf.salts(), {"m.1.", "m.2.", "m.2.ana"})
        self.assertEqual(self.shelf.under({"m.1."}), {view.traits.address: [("m.1.", "old")]})
        self.assertEqual(self.shelf.under({"m."}), {})


class TestCounts(unittest.TestCase):
    def test_what_others_told_fades(self) -> None:
        work = Workload()
        work.begin("e", "r", 100, 200)
        work.told("n", {"e": Burden(2, 300, 400)}, 0.0)
        self.assertEqual(work.at("e", 0.5), Burden(3, 400, 600))
        self.assertEqual(work.at("e", 9.0), Burden(1, 100, 200))
        work.read("e", "r")
        work.end("e", "r")
        self.assertEqual(work.own(), {})

    def test_moves_pass_with_time(self) -> None:
        queue = LinkQueue()
        queue.add("s", 0.2, 0.0)
        queue.add("s", 0.1, 0.0)
        queue.told("n", {"s": 0.4}, 0.0)
        self.assertAlmostEqual(queue.wait("s", 0.0), 0.7)
        self.assertAlmostEqual(queue.wait("s", 0.1), 0.5)
        self.assertEqual(queue.wait("s", 5.0), 0.0)

    def test_lateness_that_all_stores_share_is_not_a_link_s(self) -> None:
        late = Lateness()
        late.came("s1", 0.5, 0.0)
        late.came("s2", 0.5, 0.0)
        self.assertEqual(late.of("s1", 0.0), 0.0)
        late.came("s1", 2.0, 0.0)
        self.assertGreater(late.of("s1", 0.0), 0.3)
        self.assertLess(late.of("s1", 20.0), 0.01)

    def test_failures_fade_and_answers_count_against_them(self) -> None:
        health = TargetHealth()
        health.failed("t", 0.0)
        before = health.share("t", 0.0)
        health.worked("t", 0.0)
        self.assertLess(health.share("t", 0.0), before)
        self.assertLess(health.share("t", 60.0), 0.001)

    def test_an_engine_s_memory_keeps_the_newest(self) -> None:
        memory = EngineMemory()
        for number in range(10):
            memory.sent("e", "s", [Part(f"p{number}", 100)], 1000)
        self.assertEqual(memory.parts("e", "s"), {"p6", "p7", "p8", "p9"})
        self.assertEqual(memory.parts("e", "other"), frozenset())


class TestCutter(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(1, 30), st.integers(0, 10**6), st.integers(0, 30))
    def test_any_cut_and_resume_gives_each_event_once(
        self, count: int, seed: int, repeated: int
    ) -> None:
        rng = random.Random(seed)
        events = [f"id: {n * 3}\ndata: token {n}\n\n".encode() for n in range(1, count + 1)]
        cutter, out, position = EventCutter(), b"", 0
        while position < count:
            data = b"".join(events[position:])
            data = data[: rng.randint(1, len(data))]
            while data:
                size = rng.randint(1, len(data))
                out += cutter.feed(data[:size])
                data = data[size:]
            cutter.restart()
            position = int(cutter.last or 0) // 3
            # A target may send some events again that came before.
            if position < count and rng.random() < 0.5:
                position = max(0, position - repeated)
        self.assertEqual(out, b"".join(events))
