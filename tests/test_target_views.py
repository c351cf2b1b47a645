"""What nodes list as targets after an outage of the store, when they read, copy and read again."""

from __future__ import annotations

import random
import unittest

from structlog.testing import capture_logs

from .target_views import NAMES, TargetFleet
from .virtual_time import VirtualLoop

FIRST, SECOND, THIRD = NAMES
_SETTLED_SECONDS = 8.0
"""Longer than a grace period and the updates after it."""


class TargetViewCase(unittest.TestCase):
    """Nodes that list the targets x and y."""

    def setUp(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        self.fleet = TargetFleet(loop=loop, rng=random.Random(1))
        self.addCleanup(self.fleet.close)
        self.lines = self.enterContext(capture_logs())
        for target in ("x", "y"):
            self.fleet.store.enter(target)
        for name in NAMES:
            self.fleet.start(name)
        self.fleet.wait(_SETTLED_SECONDS)

    def events(self, target: str) -> list[tuple[str, str]]:
        """Return the events of a target's log lines, each with the node named in `told_by`, in
        order."""
        return [(e["event"], e["told_by"]) for e in self.lines if e.get("target") == target]

    def end_in_outage(self, target: str) -> None:
        """End a target while the store is down; only the first node can reach it at first
        afterwards."""
        fleet = self.fleet
        fleet.store.down = True
        fleet.wait(2.5)
        fleet.store.end(target)
        for name in (SECOND, THIRD):
            fleet.nodes[name].cut_off = True
        fleet.store.down = False
        fleet.wait(1.0)

    def lists(self) -> dict[str, set[str]]:
        """Return what each node lists."""
        return {name: node.lists for name, node in self.fleet.nodes.items()}


class TestEndAfterOutage(TargetViewCase):
    """An entry that ended in an outage received work for ten seconds after its end.

    Failure: after an outage the reader read the end and held the entry as lapsed (`target entry
    lapsed`, 2.3 s). Another target's entry changed, so other nodes copied the reader's list, whose
    row was later than the end (`targets copied`). They then read on from that row, so no read
    reported the end again, and as a copy did not say which entries were held, they kept the entry
    for good.
    """

    def test_an_end_that_was_copied_in_its_respite_is_not_forgotten(self) -> None:
        self.end_in_outage("x")
        self.assertIn(("target entry lapsed", "platform"), self.events("x"))
        self.fleet.store.enter("z")
        self.fleet.wait(1.0)
        self.assertIn(("target heard", FIRST), self.events("z"), "nobody has copied it")
        self.fleet.stop(FIRST)
        for name in (SECOND, THIRD):
            self.fleet.nodes[name].cut_off = False
        self.fleet.wait(_SETTLED_SECONDS)
        listed = {"y", "z"}
        self.assertEqual(self.lists(), {SECOND: listed, THIRD: listed})

    def test_an_end_that_was_read_is_not_taken_back_from_who_holds_it(self) -> None:
        fleet = self.fleet
        others = [frozenset((FIRST, name)) for name in (SECOND, THIRD)]
        fleet.nodes[FIRST].cut_off = True
        fleet.wait(1.0)
        # Only the first node lost the store, and it reaches no other node.
        fleet.partitions.update(others)
        fleet.wait(1.5)
        fleet.store.end("x")
        fleet.wait(1.0)
        self.assertEqual(fleet.nodes[SECOND].lists, {"y"})
        fleet.nodes[FIRST].cut_off = False
        fleet.wait(1.0)
        self.assertIn(("target entry lapsed", "platform"), self.events("x"))
        fleet.partitions.clear()
        for _ in range(20):
            fleet.wait(0.1)
            self.assertEqual(fleet.nodes[SECOND].lists, {"y"})
            self.assertEqual(fleet.nodes[THIRD].lists, {"y"})
        copies = [e["told_by"] for e in self.lines[-20:] if e["event"] == "targets copied"]
        self.assertIn(FIRST, copies, "nobody has copied it")

    def test_nodes_that_copy_from_each_other_do_not_hand_an_end_round(self) -> None:
        self.end_in_outage("x")
        self.fleet.store.enter("z")
        self.fleet.wait(1.0)
        # The node that holds the entry loses the store again, and copies from nodes that copied
        # from it.
        self.fleet.nodes[FIRST].cut_off = True
        for name in (SECOND, THIRD):
            self.fleet.nodes[name].cut_off = False
        self.fleet.wait(_SETTLED_SECONDS)
        self.fleet.store.forget()
        self.fleet.nodes[FIRST].cut_off = False
        self.fleet.wait(_SETTLED_SECONDS)
        self.assertEqual(self.lists(), dict.fromkeys(NAMES, {"y", "z"}))

    def test_a_node_that_lost_nothing_holds_no_end(self) -> None:
        fleet = self.fleet
        # The first node is disconnected for less time than the others need to notice.
        fleet.nodes[FIRST].cut_off = True
        while not self._lost(FIRST):
            fleet.wait(0.05)
        fleet.store.end("x")
        fleet.nodes[FIRST].cut_off = False
        fleet.wait(0.5)
        self.assertIn(("target entry lapsed", "platform"), self.events("x"))
        fleet.store.enter("z")
        fleet.wait(1.2)
        self.assertEqual(fleet.nodes[SECOND].lists, {"y", "z"})

    def test_an_entry_that_lapsed_and_returned_is_kept_by_those_who_copied_it(self) -> None:
        self.end_in_outage("x")
        self.fleet.store.enter("z")
        self.fleet.wait(0.5)
        self.fleet.store.enter("x")
        for _ in range(50):
            self.fleet.wait(0.1)
            self.assertEqual([n for n, listed in self.lists().items() if "x" not in listed], [])

    def _lost(self, name: str) -> bool:
        return self.fleet.nodes[name].failed_at > 0


class TestReaderStartedAnew(TargetViewCase):
    """The list of a restarted reader looked like the one that had been copied before.

    Failure: the reader was killed and restarted before its neighbours noticed. In the meantime one
    target ended and another one started, so its new list had the same number of changes, thus the
    same serial, and no node copied it. A serial was compared without the process instance that
    counted it.
    """

    def test_the_list_of_a_new_life_is_copied_under_an_equal_serial(self) -> None:
        serial = self.fleet.nodes[FIRST].views.registry.serial
        self.fleet.stop(FIRST)
        self.fleet.store.end("x")
        self.fleet.store.enter("z")
        self.fleet.start(FIRST)
        self.fleet.wait(_SETTLED_SECONDS)
        self.assertEqual(self.fleet.nodes[FIRST].views.registry.serial, serial)
        self.assertEqual(self.lists(), dict.fromkeys(NAMES, {"y", "z"}))
