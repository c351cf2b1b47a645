"""Limits of targets: how often each node may send, and which report is the newest."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import NamedTuple

import msgspec
from fielddrift_core.limit_share import LimitShare, owners_of
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Relation
from fielddrift_core.target_notices import LimitReport, TargetLimits, TargetPauses
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.limit_gate import LimitGate
from fielddrift_node.serving.views import Views
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from .test_cold_targets import NODES, STEPS, TARGETS, Site

_WINDOW_SECONDS = 4.0


class HeartbeatNode(NamedTuple):
    """A node's views, and their translator into heartbeats."""

    views: Views
    translator: HeartbeatTranslator


class LimitSite(Site):
    """Nodes that send to targets with a limit, each whenever it may."""

    window = _WINDOW_SECONDS

    def __init__(self, seed: int, rate: float) -> None:
        self._rate = rate
        self._limits: dict[int, LimitShare] = {}
        self._sent: dict[int, TargetLimits] = {}
        super().__init__(seed)

    def start(self, number: int) -> None:
        super().start(number)
        if number not in self._sent:
            self._sent[number] = TargetLimits()
        self._limits[number] = LimitShare(node=f"n{number}")
        for target in TARGETS:
            self._sent[number].named(target, self._rate, self.now)

    def _send(self, number: int) -> None:
        age = self.now - self.begun[number]
        if age < 1.1 or not self.nodes[number].had_recent_quorum(self.now):
            return
        nodes = self.nodes[number].recently_active(self.now)
        for target in TARGETS:
            interval = self._limits[number].send_interval(target, self._rate, nodes, self.now)
            if self._sent[number].wait(target, interval, self.now) <= 0:
                self._sent[number].sent(target, self.now)
                self._arrive(target)


def max_allowed(rate: float) -> float:
    return 1.5 * rate * _WINDOW_SECONDS + 5


class TestLimitWalk(unittest.TestCase):
    """Nodes start, freeze, are partitioned and lose datagrams, and all send as much as they may.

    A restarted node keeps its last send here, because the rule exempts sends of a node that
    does not.
    """

    @settings(
        max_examples=25, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate]
    )
    @given(STEPS, st.integers(0, 5), st.sampled_from([0.0, 0.5, 1.3, 4.0, 12.0]))
    def test_no_target_gets_more_than_the_rule_allows(
        self, steps: list, seed: int, rate: float
    ) -> None:
        site = LimitSite(seed, rate)
        site.walk(steps)
        self.assertLessEqual(site.worst, max_allowed(rate))

    def test_isolated_nodes_use_no_more_than_their_shares(self) -> None:
        for rate in (0.5, 1.3, 4.0):
            site = LimitSite(1, rate)
            site.run(4.0)
            site.cut = set(range(NODES))
            site.run(10.0)
            self.assertLessEqual(site.worst, max_allowed(rate))

    def test_most_of_a_limit_is_used(self) -> None:
        for rate in (0.5, 1.3, 4.0, 12.0):
            site = LimitSite(1, rate)
            site.run(40.0)
            self.assertGreaterEqual(site.total / len(TARGETS) / 40.0, 0.75 * rate)


class TestLimitShare(unittest.TestCase):
    def test_a_node_that_leaves_changes_at_most_one_owner(self) -> None:
        nodes = frozenset(f"n{number}" for number in range(30))
        for rate, gone in itertools.product((0.0, 1.0, 7.5), sorted(nodes)):
            before = owners_of("t", rate, nodes)
            self.assertLessEqual(len(owners_of("t", rate, nodes - {gone}) - before), 1)

    def test_owners_of_two_lists_together_are_within_the_rule(self) -> None:
        for rate, count in itertools.product((0.5, 1.0, 1.5, 3.0, 7.5, 40.0), (2, 3, 9, 71, 400)):
            owners = len(owners_of("t", rate, frozenset(f"n{n}" for n in range(count))))
            each = _WINDOW_SECONDS * rate / owners + 1
            self.assertLessEqual((owners + 1) * each, max_allowed(rate) + 0.5)

    def test_a_new_owner_waits_until_sends_of_the_former_one_do_not_count(self) -> None:
        nodes = frozenset({"a", "b", "c", "d"})
        owners = owners_of("t", 1.0, nodes)
        (other,) = nodes - owners
        lost = min(owners)
        share = LimitShare(node=other)
        self.assertEqual(share.send_interval("t", 1.0, nodes, 0.0), float("inf"))
        self.assertEqual(share.send_interval("t", 1.0, nodes - {lost}, 1.0), float("inf"))
        self.assertEqual(share.send_interval("t", 1.0, nodes - {lost}, 5.6), 3.0)


class TestLimitGate(unittest.TestCase):
    """Limited targets of a data centre without live nodes are served by another data centre."""

    def setUp(self) -> None:
        self.views = Views(started_at=0.0)
        me = Neighbour("n1", 1, "b", "h:1", "h:2", "h:3")
        self.neighbours = Neighbours(me=me)
        self.neighbours.update_self(serving=True, load=1.0)
        self.gate = LimitGate(views=self.views, neighbours=self.neighbours)
        self.views.limits.named("t", 1.0, 9.0)

    def wait(self, data_centre: str) -> float:
        return self.gate.wait(Instance("t", "s", "10.0.0.1:80", data_centre), 10.0)

    def receive_from(self, data_centre: str) -> None:
        node = Neighbour(f"n-{data_centre}", 1, data_centre, "g:1", "g:2", "g:3")
        self.neighbours.receive(Heartbeat(node, True, False, 1, {}, {}, active=True), 9.9)

    def test_a_target_is_not_sent_requests_from_other_data_centres(self) -> None:
        self.receive_from("c")
        self.assertEqual((self.wait("b"), self.wait("c")), (0.0, float("inf")))

    def test_the_first_data_centre_by_name_takes_over_with_half_of_the_limit(self) -> None:
        self.receive_from("c")
        self.assertEqual(self.wait("d"), 0.0)
        self.gate.sent(Instance("t", "s", "10.0.0.1:80", "d"), 10.0)
        # One owner: every second in its own data centre, every two seconds elsewhere.
        self.assertEqual((self.wait("b"), self.wait("d")), (1.0, 2.0))
        self.receive_from("a")
        self.assertEqual(self.wait("d"), float("inf"))

    def test_a_node_that_has_just_started_owns_nothing(self) -> None:
        self.views = Views(started_at=9.5)
        self.views.limits.named("t", 1.0, 9.0)
        self.gate = LimitGate(views=self.views, neighbours=self.neighbours)
        self.assertEqual(self.wait("b"), float("inf"))


class TestLimitReports(unittest.TestCase):
    def test_a_response_to_an_earlier_request_does_not_end_a_limit(
        self,
    ) -> None:
        limits = TargetLimits()
        self.assertTrue(limits.named("t", 1.5, 10.0))
        self.assertFalse(limits.unnamed("t", sent_at=9.9, now=10.4))
        self.assertEqual(limits.rate("t"), 1.5)
        self.assertTrue(limits.unnamed("t", sent_at=10.1, now=10.5))
        self.assertIsNone(limits.rate("t"))

    def test_the_newer_report_applies_in_any_order_of_heartbeats(self) -> None:
        limits = TargetLimits()
        limits.named("t", 1.5, 10.0)
        self.assertTrue(limits.merge(LimitReport("t", None, 0.1), 11.0))
        self.assertFalse(limits.merge(LimitReport("t", 1.5, 1.0), 11.1))
        self.assertIsNone(limits.rate("t"))
        self.assertTrue(limits.merge(LimitReport("t", 2.0, 0.0), 11.2))
        self.assertEqual(limits.rate("t"), 2.0)

    def test_nodes_that_exchange_the_same_report_do_not_renew_it(self) -> None:
        one, other = TargetLimits(), TargetLimits()
        one.named("t", 1.5, 0.0)
        now = 0.0
        for _ in range(500):
            for sender, receiver in ((one, other), (other, one)):
                words = sender.words(now, 16)
                now += 0.02
                for word in words:
                    receiver.merge(word, now)
        self.assertGreater(one.words(now, 16)[0].age, now - 0.5)

    def test_a_limit_outlasts_an_entry_that_lapses(self) -> None:
        limits = TargetLimits()
        limits.named("t", 1.5, 0.0)
        self.assertEqual(limits.expire(set(), 30.0), 1)
        self.assertEqual(limits.expire({"t"}, 300.0), 1)
        self.assertEqual(limits.expire(set(), 301.0), 0)

    def test_the_newest_reports_are_sent(self) -> None:
        limits = TargetLimits()
        for number in range(20):
            limits.named(f"t{number}", 1.0, float(number))
        limits.named("t0", 1.0, 30.0)
        names = [word.target for word in limits.words(30.0, 16)]
        self.assertEqual(len(names), 16)
        self.assertIn("t0", names)
        self.assertNotIn("t1", names)


class TestHeartbeats(unittest.IsolatedAsyncioTestCase):
    """Limits are sent among the loads of heartbeats, which the previous release can decode."""

    async def asyncSetUp(self) -> None:
        self.sending, self.receiving = self.node("n1"), self.node("n2")
        now = asyncio.get_running_loop().time()
        self.sending.views.limits.named("t", 1.3, now)

    def node(self, name: str) -> HeartbeatNode:
        views = Views()
        me = Neighbour(name, 1, "a", f"{name}:1", f"{name}:2", f"{name}:3")
        return HeartbeatNode(views, HeartbeatTranslator(views=views, neighbours=Neighbours(me=me)))

    async def test_every_node_receives_a_limit_and_its_end(self) -> None:
        for relation in (Relation(True, True, True), Relation(True, False, False)):
            heartbeat = self.sending.translator.heartbeat(relation, leaving=False)
            self.receiving.translator.heard(heartbeat)
            self.assertEqual(self.receiving.views.limits.rate("t"), 1.3)
        now = asyncio.get_running_loop().time()
        self.sending.views.limits.unnamed("t", sent_at=now + 0.1, now=now + 0.2)
        heartbeat = self.sending.translator.heartbeat(Relation(False, True, True), leaving=False)
        self.receiving.translator.heard(heartbeat)
        self.assertIsNone(self.receiving.views.limits.rate("t"))

    async def test_any_limit_is_encoded_without_loss(self) -> None:
        now = asyncio.get_running_loop().time()
        for rate in (0.0, 0.0001, 1 / 3, 1e300):
            limits = self.sending.views.limits
            limits.named("t", rate, now)
            heartbeat = self.sending.translator.heartbeat(Relation(True, True, True), leaving=False)
            data = msgspec.msgpack.encode(heartbeat)
            self.receiving.translator.heard(msgspec.msgpack.decode(data, type=Heartbeat))
            self.assertEqual(self.receiving.views.limits.rate("t"), limits.rate("t"))
            self.receiving.views.limits = TargetLimits()

    async def test_a_limit_does_not_count_as_a_load(self) -> None:
        heartbeat = self.sending.translator.heartbeat(Relation(True, True, True), leaving=False)
        self.receiving.translator.heard(heartbeat)
        now = asyncio.get_running_loop().time()
        self.assertEqual(self.receiving.views.workload.total(["n1"], now), {})

    async def test_reports_added_up_by_a_relay_of_the_previous_release_are_ignored(self) -> None:
        heartbeat = self.sending.translator.heartbeat(Relation(True, True, True), leaving=False)
        ((name, entry),) = heartbeat.burdens.items()
        self.receiving.translator.heard(heartbeat._replace(burdens={name: entry + entry}))
        self.assertIsNone(self.receiving.views.limits.rate("t"))


class TestPauses(unittest.TestCase):
    def test_the_longest_requested_pause_applies(self) -> None:
        pauses = TargetPauses()
        self.assertTrue(pauses.record("t", 3.0, 10.0))
        self.assertFalse(pauses.record("t", 0.5, 11.0))
        self.assertEqual(pauses.left("t", 12.0), 1.0)
        self.assertEqual(pauses.left("t", 13.0), 0.0)
        self.assertEqual(pauses.left("u", 11.0), 0.0)

    def test_the_shortest_remaining_pause_counts(self) -> None:
        pauses = TargetPauses()
        pauses.record("t", 3.0, 10.0)
        pauses.record("u", 2.0, 10.0)
        self.assertEqual(pauses.min_left(["t", "u"], 11.0), 1.0)
        self.assertEqual(pauses.min_left(["t", "u", "v"], 11.0), 0.0)
        self.assertEqual(pauses.min_left([], 11.0), 0.0)
        self.assertEqual(pauses.expire(12.5), 1)


if __name__ == "__main__":
    unittest.main()
