"""Cold targets get no more sends than they bear from all nodes, and most of that is used."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import deque

from fielddrift_core.cold_targets import ColdShare, ColdTargets, share_of
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_node.serving.settings import Bounds
from fielddrift_standins.worker import Worker
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from .platform_fleet import BOUNDS, FleetCase, ask, eventually, prompt

BOUND = 21.5
"""Sends within any second that a cold engine of a deployment bears."""
_STEP_SECONDS = 0.05
_HEARTBEAT_SECONDS = 0.15
_COLD = 3600.0
NODES = 6
TARGETS = ("t0", "t1", "t2")


class TestShares(unittest.TestCase):
    def test_all_shares_and_one_more_are_within_the_bound(self) -> None:
        for bound in (1.0, 2.0, 5.5, 6.5, 21.5, 40.0):
            for count in range(1, 80):
                share = share_of("t", frozenset(f"n{i}" for i in range(count)), bound)
                self.assertLessEqual((len(share.owners) + 1) * share.sends, bound)

    def test_most_of_the_bound_is_used(self) -> None:
        for count in (3, 4, 9, 71, 400):
            share = share_of("t", frozenset(f"n{i}" for i in range(count)), BOUND)
            self.assertGreaterEqual(len(share.owners) * share.sends / BOUND, 0.69)

    def test_owners_of_targets_differ(self) -> None:
        nodes = frozenset(f"n{i}" for i in range(71))
        owned: dict[str, int] = {}
        for target in range(60):
            for name in share_of(f"t{target}", nodes, BOUND).owners:
                owned[name] = owned.get(name, 0) + 1
        self.assertGreater(len(owned), 55)
        self.assertLess(max(owned.values()), 20)

    def test_a_target_that_bears_no_sends_has_no_owners(self) -> None:
        self.assertEqual(share_of("t", frozenset({"n"}), 0.5).sends, 0)
        self.assertEqual(share_of("t", frozenset(), 21.5).owners, frozenset())


class TestColdTargets(unittest.TestCase):
    def test_sends_within_any_second_are_limited(self) -> None:
        sends, sent = ColdTargets(), deque[float]()
        sends.report("t", 100.0, 0.0)
        now = 0.0
        rng = random.Random(3)
        while now < 20.0:
            now += rng.uniform(0.0, 0.1)
            if sends.may_send("t", 4, now):
                sends.sent("t", now)
                sent.append(now)
        for first in sent:
            self.assertLessEqual(sum(first <= at < first + 1.0 for at in sent), 4)
        self.assertGreater(len(sent), 0.9 * 4 * 20)

    def test_a_target_is_cold_until_it_reports_otherwise(self) -> None:
        sends = ColdTargets()
        sends.report("t", 3.0, 10.0)
        self.assertTrue(sends.is_cold("t", 12.9))
        self.assertFalse(sends.is_cold("t", 13.0))
        sends.report("t", 0.0, 11.0)
        self.assertFalse(sends.is_cold("t", 11.0))

    def test_an_assumption_outlasts_an_earlier_entry(self) -> None:
        sends = ColdTargets()
        sends.assume("t", 3.0, 10.0)
        sends.report("t", 0.0, 10.5)
        self.assertTrue(sends.is_cold("t", 12.0))

    def test_warm_and_unlisted_targets_are_removed(self) -> None:
        sends = ColdTargets()
        for name in ("over", "gone", "cold"):
            sends.report(name, 1.0 if name == "over" else 9.0, 0.0)
            sends.sent(name, 0.0)
        self.assertEqual(sends.expire({"over", "cold"}, 5.0), 1)
        self.assertTrue(sends.is_cold("cold", 5.0))
        self.assertFalse(sends.is_cold("gone", 5.0))


class Site:
    """Nodes of one data centre that send to cold targets, with simulated time and datagrams.

    Each node sends whenever it may, which is the maximum under any load.
    """

    window = 1.0
    """Seconds within which the sends to a target are counted."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.cut: set[int] = set()
        self.frozen: set[int] = set()
        self.lost = 0.0
        self.begun: dict[int, float] = {}
        self.nodes: dict[int, Neighbours] = {}
        self.sends: dict[int, ColdTargets] = {}
        self.shares: dict[int, ColdShare] = {}
        self.arrivals = {name: deque[float]() for name in TARGETS}
        self.worst = 0
        """The most sends to a target within a window."""
        self.total = 0
        self.boots = 0
        self._heartbeat_at: dict[int, float] = {}
        for number in range(NODES):
            self.start(number)

    def start(self, number: int) -> None:
        self.boots += 1
        me = Neighbour(f"n{number}", self.boots, "a", f"n{number}:1", "g:1", "p:1", 100.0)
        self.nodes[number] = Neighbours(me=me)
        self.nodes[number].update_self(serving=True, load=40.0)
        self.sends[number] = ColdTargets()
        self.shares[number] = ColdShare(node=me.name)
        for target in TARGETS:
            self.sends[number].report(target, _COLD, self.now)
        self.begun[number] = self.now
        self.frozen.discard(number)
        for other in self.nodes.values():
            self.nodes[number].add(other.me)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += _STEP_SECONDS
            for number in self.nodes.keys() - self.frozen:
                self._send_heartbeat(number)
            for number in sorted(self.nodes.keys() - self.frozen):
                self._send(number)

    def walk(self, steps: list[tuple[str, int, float]]) -> None:
        """Take `steps`, each with its kind, a node and a duration in seconds."""
        self.run(4.0)
        for kind, number, seconds in steps:
            if kind == "cut":
                self.cut.add(number)
            elif kind == "heal":
                self.cut.discard(number)
            elif kind == "freeze":
                self.frozen.add(number)
            elif kind == "wake":
                self.frozen.discard(number)
            elif kind == "restart":
                self.start(number)
            else:
                self.lost = 0.3 if kind == "lose" else 0.0
            self.run(seconds)

    def _send_heartbeat(self, number: int) -> None:
        if self.now - self._heartbeat_at.get(number, 0.0) < _HEARTBEAT_SECONDS:
            return
        self._heartbeat_at[number] = self.now
        sender = self.nodes[number]
        active = sender.is_active(self.now)
        heartbeat = Heartbeat(sender.me, True, False, 1, {}, {}, active=active, load=40.0)
        for other in self.nodes.keys() - self.frozen - {number}:
            if not {number, other} & self.cut and self.rng.random() >= self.lost:
                self.nodes[other].receive(heartbeat, self.now)

    def _send(self, number: int) -> None:
        age = self.now - self.begun[number]
        if age < 1.1 or not self.nodes[number].had_recent_quorum(self.now):
            return
        nodes = self.nodes[number].recently_active(self.now)
        for target in TARGETS:
            sends = self.shares[number].sends(target, nodes, BOUND, self.now)
            while self.sends[number].may_send(target, sends, self.now):
                self.sends[number].sent(target, self.now)
                self._arrive(target)

    def _arrive(self, target: str) -> None:
        self.total += 1
        arrivals = self.arrivals[target]
        arrivals.append(self.now)
        while arrivals and self.now - arrivals[0] >= self.window:
            arrivals.popleft()
        self.worst = max(self.worst, len(arrivals))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "freeze", "wake", "restart", "lose", "find"]),
        st.integers(0, NODES - 1),
        st.floats(0.1, 8.0),
    ),
    min_size=1,
    max_size=9,
)


class TestWalk(unittest.TestCase):
    """Nodes start, freeze, are partitioned and lose datagrams, and all send as much as they may."""

    @settings(
        max_examples=25, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate]
    )
    @example([("cut", 0, 1.0), ("restart", 0, 2.0)], 0)
    @example([("cut", 0, seconds) for seconds in (1.0, 2.0, 6.0, 6.0, 6.0)], 0)
    @given(STEPS, st.integers(0, 5))
    def test_no_target_gets_more_than_it_bears(self, steps: list, seed: int) -> None:
        site = Site(seed)
        site.walk(steps)
        self.assertLessEqual(site.worst, BOUND)

    def test_isolated_nodes_use_no_more_than_their_shares(self) -> None:
        site = Site(1)
        site.run(4.0)
        site.cut = set(range(NODES))
        site.run(10.0)
        self.assertLessEqual(site.worst, BOUND)
        self.assertGreaterEqual(site.worst, 0.7 * BOUND)


class ColdFleet(FleetCase):
    """One engine that has long been warm, and one that starts cold."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet.cold_rate = 2.0
        self.tolerate_pauses(3.0)
        self.warm = await self.fleet.worker(Worker(name="warm", events=1), "engines")
        bounds: Bounds = BOUNDS._replace(cold_overage=1.5, cold_slack=5.0)
        self.node = await self.fleet.node(bounds=bounds)

    async def ask_many(self, number: int) -> list[int]:
        answers = await asyncio.gather(
            *(ask(self.node, "/chat/1", request_id=f"r{n}", **prompt()) for n in range(number))
        )
        return [answer.status for answer in answers]

    async def cold(self, name: str) -> None:
        views = self.node.node.views
        await eventually(lambda: views.cold.is_cold(name, asyncio.get_running_loop().time()))


class TestColdFleet(ColdFleet):
    """Many requests find an engine idle that has just started, and all went there at once."""

    async def test_an_engine_that_has_just_started_gets_a_limited_rate(self) -> None:
        views = self.node.node.views
        await eventually(lambda: views.age(asyncio.get_running_loop().time()) > 2.0)
        now = asyncio.get_running_loop().time()
        views.workload.begin("warm", "busy", 20_000, 30_000)
        cold = Worker(name="cold", events=1)
        await self.fleet.worker(cold, "engines")
        self.fleet.enter("cold", "engines", cold_seconds=30.0)
        await self.cold("cold")
        self.assertEqual(set(await self.ask_many(30)), {200})
        self.assertGreater(asyncio.get_running_loop().time(), now)
        # One owner, and room for one more that it does not know: half of eight.
        for first in cold.ran:
            self.assertLessEqual(sum(first.at <= r.at < first.at + 1.0 for r in cold.ran), 4)
        self.assertGreaterEqual(len(cold.ran), 4)

    async def test_a_node_that_has_just_started_does_not_send_to_cold_targets(self) -> None:
        self.fleet.enter("warm", "engines", cold_seconds=30.0)
        late = await self.fleet.node("node-2", bounds=self.node.settings.bounds)
        now = asyncio.get_running_loop().time()
        await eventually(lambda: late.node.views.cold.is_cold("warm", now))
        answer = await ask(late, "/chat/1", deadline_ms=400, **prompt())
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.warm.ran, [])

    async def test_engines_of_a_returned_data_centre_are_assumed_to_be_cold(self) -> None:
        self.fleet.evacuate("a")
        registry = self.node.node.views.registry
        await eventually(lambda: registry.evacuated == {"a"})
        self.fleet.take_back("a")
        await eventually(lambda: registry.evacuated == frozenset())
        now = asyncio.get_running_loop().time()
        self.assertTrue(self.node.node.views.cold.is_cold("warm", now + 2.5))


if __name__ == "__main__":
    unittest.main()
