"""How the targets of a brittle service are divided among nodes."""

from __future__ import annotations

import tracemalloc
import unittest

from fielddrift_core.brittle_services import (
    BrittleReport,
    BrittleServices,
    NodePosition,
    Share,
    divide,
)
from fielddrift_core.catalog import Service
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.brittle_gate import BrittleGate
from fielddrift_node.serving.views import Views


class TestDivision(unittest.TestCase):
    def test_each_node_has_a_part_and_all_parts_together_are_the_room(self) -> None:
        for targets in range(1, 12):
            for nodes in range(1, 25):
                names = [f"t{number}" for number in range(targets)]
                shares = [divide(names, NodePosition(k, nodes)) for k in range(nodes)]
                with self.subTest(targets=targets, nodes=nodes):
                    self.assertTrue(all(shares))
                    for name in names:
                        owners = [share[name].owners for share in shares if name in share]
                        self.assertEqual(set(owners), {len(owners)})

    def test_a_node_without_a_position_owns_none(self) -> None:
        self.assertEqual(divide(["a", "b"], None), {"a": Share(0), "b": Share(0)})

    def test_no_targets_are_no_fault(self) -> None:
        self.assertEqual(divide([], NodePosition(0, 3)), {})


class TestRoom(unittest.TestCase):
    def test_an_owner_fills_its_part_only(self) -> None:
        share = Share(2)
        self.assertTrue(share.has_room(own=2, known=2, need=1, capacity=6))
        self.assertFalse(share.has_room(own=3, known=3, need=1, capacity=6))

    def test_what_others_are_known_to_take_counts(self) -> None:
        self.assertFalse(Share(2).has_room(own=1, known=6, need=1, capacity=6))

    def test_an_idle_owner_may_send_a_request_larger_than_its_part(self) -> None:
        self.assertTrue(Share(3).has_room(own=0, known=0, need=500, capacity=900))
        self.assertFalse(Share(3).has_room(own=500, known=500, need=500, capacity=900))

    def test_a_node_without_a_part_uses_idle_targets_one_request_at_a_time(self) -> None:
        self.assertTrue(Share(0).has_room(own=0, known=2, need=1, capacity=6))
        self.assertFalse(Share(0).has_room(own=1, known=1, need=1, capacity=6))
        self.assertFalse(Share(0).has_room(own=0, known=3, need=1, capacity=6))


class TestNotices(unittest.TestCase):
    def setUp(self) -> None:
        self.brittle = BrittleServices()

    def test_a_notice_holds_for_three_seconds_after_the_last_one(self) -> None:
        self.assertTrue(self.brittle.named("s", 3, 0.0))
        self.assertFalse(self.brittle.named("s", 3, 2.0))
        self.assertEqual(self.brittle.expire([], 4.9), [])
        self.assertEqual(self.brittle.expire([], 5.1), ["s"])
        self.assertFalse(self.brittle.is_brittle("s"))

    def test_reports_that_go_back_and_forth_renew_nothing(self) -> None:
        self.brittle.named("s", 3, 0.0)
        self.assertFalse(self.brittle.merge(BrittleReport("s", 3, 1.9), 2.0))
        self.assertEqual(self.brittle.expire([], 3.1), ["s"])

    def test_an_old_report_is_none(self) -> None:
        self.assertFalse(self.brittle.merge(BrittleReport("s", 3, 4.0), 5.0))
        self.assertFalse(self.brittle.is_brittle("s"))

    def test_a_node_uses_up_its_part_of_the_tolerated_rejections(self) -> None:
        self.brittle.named("s", 6, 0.0)
        self.brittle.rejected("t", 1.0)
        self.assertEqual(self.brittle.wait("s", "t", 1.1, nodes=3), 0.0)
        self.brittle.rejected("t", 1.2)
        self.assertAlmostEqual(self.brittle.wait("s", "t", 1.3, nodes=3), 0.7)
        self.assertEqual(self.brittle.wait("s", "t", 2.1, nodes=3), 0.0)
        self.assertEqual(self.brittle.wait("s", "other", 1.3, nodes=3), 0.0)

    def test_rejections_do_not_pile_up_while_nothing_is_brittle(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(50_000):
            self.brittle.rejected("t", number / 10)
        self.assertLess(tracemalloc.get_traced_memory()[0], 50_000)

    def test_a_single_rejection_is_enough_among_many_nodes(self) -> None:
        self.brittle.named("s", 3, 0.0)
        self.brittle.rejected("t", 1.0)
        self.assertAlmostEqual(self.brittle.wait("s", "t", 1.5, nodes=9), 0.5)


class TestGate(unittest.TestCase):
    """A node that knows no other yet, and a target that has one of its requests."""

    def setUp(self) -> None:
        me = Neighbour("n", 1, "a", "", "", "")
        self.views = Views(started_at=0.0)
        self.gate = BrittleGate(views=self.views, neighbours=Neighbours(me=me))
        self.service = Service("s", cold_rate=1.0, cold_seconds=3.0)
        self.target = Instance("t", "s", "10.0.0.1:1", "a", slots=6)
        self.views.registry.apply_copy([self.target], [])
        self.views.workload.begin("t", "r", 0)
        self.views.brittle.named("s", 3, 0.5)

    def has_room(self) -> bool:
        return self.gate.has_room(self.service, self.target, 0, 0.6)

    def test_it_sends_one_request_at_a_time(self) -> None:
        self.assertFalse(self.has_room())
        self.views.workload.end("t", "r")
        self.assertTrue(self.has_room())

    def test_a_brittle_target_that_is_cold_keeps_its_cold_owners(self) -> None:
        self.views.cold.assume("t", 3.0, 0.5)
        self.assertTrue(self.has_room())

    def test_a_brittle_target_with_a_limit_keeps_its_owners(self) -> None:
        self.views.limits.named("t", 2.0, 0.5)
        self.assertTrue(self.has_room())
