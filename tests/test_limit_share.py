"""The limits that targets name: who may send how often, and whose word on them is the newest."""

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


class Told(NamedTuple):
    """A node's views, and what puts them into heartbeats."""

    views: Views
    translator: HeartbeatTranslator


class LimitSite(Site):
    """The same nodes before targets that name a limit; each sends whenever it may."""

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
            spacing = self._limits[number].send_interval(target, self._rate, nodes, self.now)
            if self._sent[number].wait(target, spacing, self.now) <= 0:
                self._sent[number].sent(target, self.now)
                self._arrive(target)


def most_allowed(rate: float) -> float:
    return 1.5 * rate * _WINDOW_SECONDS + 5


class TestLimitWalk(unittest.TestCase):
    """Nodes start, freeze, are cut off and lose datagrams, and all send as much as they may.

    A node that starts again remembers its last send here: the rule excuses one that does not.
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
        self.assertLessEqual(site.worst, most_allowed(rate))

    def test_each_cut_off_by_itself_takes_no_more_than_its_part(self) -> None:
        for rate in (0.5, 1.3, 4.0):
            site = LimitSite(1, rate)
            site.run(4.0)
            site.cut = set(range(NODES))
            site.run(10.0)
            self.assertLessEqual(site.worst, most_allowed(rate))

    def test_most_of_a_limit_is_used(self) -> None:
        for rate in (0.5, 1.3, 4.0, 12.0):
            site = LimitSite(1, rate)
            site.run(40.0)
            self.assertGreaterEqual(site.total / len(TARGETS) / 40.0, 0.75 * rate)


class TestLimitShare(unittest.TestCase):
    def test_a_node_that_changes_moves_one_owner_at_most(self) -> None:
        nodes = frozenset(f"n{number}" for number in range(30))
        for rate, gone in itertools.product((0.0, 1.0, 7.5), sorted(nodes)):
            before = owners_of("t", rate, nodes)
            self.assertLessEqual(len(owners_of("t", rate, nodes - {gone}) - before), 1)

    def test_owners_of_all_lists_together_stay_within_what_the_rule_allows(self) -> None:
        for rate, count in itertools.product((0.5, 1.0, 1.5, 3.0, 7.5, 40.0), (2, 3, 9, 71, 400)):
            owners = len(owners_of("t", rate, frozenset(f"n{n}" for n in range(count))))
            each = _WINDOW_SECONDS * rate / owners + 1
            self.assertLessEqual((owners + 1) * each, most_allowed(rate) + 0.5)

    def test_a_new_owner_waits_until_the_former_one_s_sends_count_no_more(self) -> None:
        nodes = frozenset({"a", "b", "c", "d"})
        owners = owners_of("t", 1.0, nodes)
        (other,) = nodes - owners
        lost = min(owners)
        share = LimitShare(node=other)
        self.assertEqual(share.send_interval("t", 1.0, nodes, 0.0), float("inf"))
        self.assertEqual(share.send_interval("t", 1.0, nodes - {lost}, 1.0), float("inf"))
        self.assertEqual(share.send_interval("t", 1.0, nodes - {lost}, 5.6), 3.0)


class TestLimitGate(unittest.TestCase):
    """A data centre without a node that is heard leaves its limited targets to another one's."""

    def setUp(self) -> None:
        self.views = Views(started_at=0.0)
        me = Neighbour("n1", 1, "b", "h:1", "h:2", "h:3")
        self.neighbours = Neighbours(me=me)
        self.neighbours.update_self(serving=True, load=1.0)
        self.gate = LimitGate(views=self.views, neighbours=self.neighbours)
        self.views.limits.named("t", 1.0, 9.0)

    def wait(self, data_centre: str) -> float:
        return self.gate.wait(Instance("t", "s", "10.0.0.1:80", data_centre), 10.0)

    def hear(self, data_centre: str) -> None:
        node = Neighbour(f"n-{data_centre}", 1, data_centre, "g:1", "g:2", "g:3")
        self.neighbours.receive(Heartbeat(node, True, False, 1, {}, {}, active=True), 9.9)

    def test_other_data_centres_leave_a_target_to_the_nodes_of_its_own(self) -> None:
        self.hear("c")
        self.assertEqual((self.wait("b"), self.wait("c")), (0.0, float("inf")))

    def test_the_first_one_by_name_stands_in_with_half_of_the_limit(self) -> None:
        self.hear("c")
        self.assertEqual(self.wait("d"), 0.0)
        self.gate.sent(Instance("t", "s", "10.0.0.1:80", "d"), 10.0)
        # One owner: each second in its own data centre, each two seconds elsewhere.
        self.assertEqual((self.wait("b"), self.wait("d")), (1.0, 2.0))
        self.hear("a")
        self.assertEqual(self.wait("d"), float("inf"))

    def test_a_node_that_has_just_started_owns_nothing(self) -> None:
        self.views = Views(started_at=9.5)
        self.views.limits.named("t", 1.0, 9.0)
        self.gate = LimitGate(views=self.views, neighbours=self.neighbours)
        self.assertEqual(self.wait("b"), float("inf"))


class TestLimitWords(unittest.TestCase):
    def test_an_answer_to_a_request_of_before_does_not_end_a_limit(
        self,
    ) -> None:
        limits = TargetLimits()
        self.assertTrue(limits.named("t", 1.5, 10.0))
        self.assertFalse(limits.unnamed("t", sent_at=9.9, now=10.4))
        self.assertEqual(limits.rate("t"), 1.5)
        self.assertTrue(limits.unnamed("t", sent_at=10.1, now=10.5))
        self.assertIsNone(limits.rate("t"))

    def test_the_newer_word_holds_whatever_the_order_of_heartbeats(self) -> None:
        limits = TargetLimits()
        limits.named("t", 1.5, 10.0)
        self.assertTrue(limits.merge(LimitReport("t", None, 0.1), 11.0))
        self.assertFalse(limits.merge(LimitReport("t", 1.5, 1.0), 11.1))
        self.assertIsNone(limits.rate("t"))
        self.assertTrue(limits.merge(LimitReport("t", 2.0, 0.0), 11.2))
        self.assertEqual(limits.rate("t"), 2.0)

    def test_nodes_that_tell_each_other_the_same_word_do_not_renew_it(self) -> None:
        one, other = TargetLimits(), TargetLimits()
        one.named("t", 1.5, 0.0)
        now = 0.0
        for _ in range(500):
            for teller, hearer in ((one, other), (other, one)):
                words = teller.words(now, 16)
                now += 0.02
                for word in words:
                    hearer.merge(word, now)
        self.assertGreater(one.words(now, 16)[0].age, now - 0.5)

    def test_a_limit_outlasts_an_entry_that_lapses(self) -> None:
        limits = TargetLimits()
        limits.named("t", 1.5, 0.0)
        self.assertEqual(limits.expire(set(), 30.0), 1)
        self.assertEqual(limits.expire({"t"}, 300.0), 1)
        self.assertEqual(limits.expire(set(), 301.0), 0)

    def test_the_newest_words_are_told(self) -> None:
        limits = TargetLimits()
        for number in range(20):
            limits.named(f"t{number}", 1.0, float(number))
        limits.named("t0", 1.0, 30.0)
        names = [word.target for word in limits.words(30.0, 16)]
        self.assertEqual(len(names), 16)
        self.assertIn("t0", names)
        self.assertNotIn("t1", names)


class TestHeartbeats(unittest.IsolatedAsyncioTestCase):
    """Limits travel among the loads of heartbeats, which the release before understands."""

    async def asyncSetUp(self) -> None:
        self.teller, self.hearer = self.node("n1"), self.node("n2")
        now = asyncio.get_running_loop().time()
        self.teller.views.limits.named("t", 1.3, now)

    def node(self, name: str) -> Told:
        views = Views()
        me = Neighbour(name, 1, "a", f"{name}:1", f"{name}:2", f"{name}:3")
        return Told(views, HeartbeatTranslator(views=views, neighbours=Neighbours(me=me)))

    async def test_every_node_hears_of_a_limit_and_of_its_end(self) -> None:
        for standing in (Relation(True, True, True), Relation(True, False, False)):
            heartbeat = self.teller.translator.heartbeat(standing, leaving=False)
            self.hearer.translator.heard(heartbeat)
            self.assertEqual(self.hearer.views.limits.rate("t"), 1.3)
        now = asyncio.get_running_loop().time()
        self.teller.views.limits.unnamed("t", sent_at=now + 0.1, now=now + 0.2)
        heartbeat = self.teller.translator.heartbeat(Relation(False, True, True), leaving=False)
        self.hearer.translator.heard(heartbeat)
        self.assertIsNone(self.hearer.views.limits.rate("t"))

    async def test_any_limit_can_be_told_and_comes_back_as_the_same(self) -> None:
        now = asyncio.get_running_loop().time()
        for rate in (0.0, 0.0001, 1 / 3, 1e300):
            limits = self.teller.views.limits
            limits.named("t", rate, now)
            heartbeat = self.teller.translator.heartbeat(Relation(True, True, True), leaving=False)
            data = msgspec.msgpack.encode(heartbeat)
            self.hearer.translator.heard(msgspec.msgpack.decode(data, type=Heartbeat))
            self.assertEqual(self.hearer.views.limits.rate("t"), limits.rate("t"))
            self.hearer.views.limits = TargetLimits()

    async def test_a_limit_is_no_load(self) -> None:
        heartbeat = self.teller.translator.heartbeat(Relation(True, True, True), leaving=False)
        self.hearer.translator.heard(heartbeat)
        now = asyncio.get_running_loop().time()
        self.assertEqual(self.hearer.views.workload.total(["n1"], now), {})

    async def test_words_that_a_relay_of_the_release_before_added_up_are_dropped(self) -> None:
        heartbeat = self.teller.translator.heartbeat(Relation(True, True, True), leaving=False)
        ((name, mark),) = heartbeat.burdens.items()
        self.hearer.translator.heard(heartbeat._replace(burdens={name: mark + mark}))
        self.assertIsNone(self.hearer.views.limits.rate("t"))


class TestPauses(unittest.TestCase):
    def test_a_pause_lasts_as_long_as_the_longest_that_was_asked_for(self) -> None:
        pauses = TargetPauses()
        self.assertTrue(pauses.record("t", 3.0, 10.0))
        self.assertFalse(pauses.record("t", 0.5, 11.0))
        self.assertEqual(pauses.left("t", 12.0), 1.0)
        self.assertEqual(pauses.left("t", 13.0), 0.0)
        self.assertEqual(pauses.left("u", 11.0), 0.0)

    def test_the_first_that_takes_requests_counts(self) -> None:
        pauses = TargetPauses()
        pauses.record("t", 3.0, 10.0)
        pauses.record("u", 2.0, 10.0)
        self.assertEqual(pauses.min_left(["t", "u"], 11.0), 1.0)
        self.assertEqual(pauses.min_left(["t", "u", "v"], 11.0), 0.0)
        self.assertEqual(pauses.min_left([], 11.0), 0.0)
        self.assertEqual(pauses.expire(12.5), 1)


if __name__ == "__main__":
    unittest.main()
