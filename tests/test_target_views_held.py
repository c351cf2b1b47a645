"""Which ended targets nodes hold when the store fails again or a node resumes after a pause."""

from __future__ import annotations

from .target_views import NAMES
from .test_target_views import TargetViewCase as _Case

FIRST, SECOND, THIRD = NAMES


class TestHeldEntries(_Case):
    """Entries in a grace period, or known since before a pause, while no read succeeds."""

    def test_a_respite_ends_though_the_store_is_away_again(self) -> None:
        """The store is back for one second, and then down for long.

        Failure: the reader reads the end of x and holds it (`target entry lapsed`, 2.3 s), and the
        store goes down. Each update then ends in a failed read before expired entries are dropped,
        so x receives work for as long as the store is down. Grace periods were checked only in
        successful reads.
        """
        self.end_in_outage("x")
        self.assertIn(("target entry lapsed", "platform"), self.events("x"))
        self.fleet.store.down = True
        self.fleet.wait(6.0)
        self.assertEqual(self.fleet.nodes[FIRST].lists, {"y"})

    def test_a_service_that_lapsed_whole_is_kept_while_the_store_is_away_again(self) -> None:
        """All entries of a service expire in an outage, and the store is back only for one second.

        Dropping all of them after the grace period would leave callers without any target although
        these targets are alive: the store lost the entries, and they cannot write them again.
        """
        fleet = self.fleet
        fleet.store.down = True
        fleet.wait(4.0)
        for name in ("x", "y"):
            fleet.store.end(name)
        fleet.store.down = False
        fleet.wait(1.0)
        fleet.store.down = True
        fleet.wait(6.0)
        self.assertEqual(self.lists(), dict.fromkeys(NAMES, {"x", "y"}))
        fleet.store.down = False
        fleet.wait(1.5)
        fleet.store.enter("x")
        self.assertIn("y", fleet.nodes[FIRST].lists)
        fleet.wait(4.0)
        self.assertEqual(self.lists(), dict.fromkeys(NAMES, {"x"}))

    def test_who_lost_the_store_too_holds_what_lapses_after_its_first_copy(self) -> None:
        """All nodes lose the store; an entry expires 0.8 s after its return, for one second.

        Failure: the others copied from the reader again, which reset that they had lost the store.
        Then the reader read the end in its grace period and held the entry, but the others copied
        its list and dropped the entry at once. Their state of an outage ended with the first copy,
        the reader's grace period only after 2.3 s.
        """
        fleet = self.fleet
        fleet.store.down = True
        fleet.wait(4.0)
        fleet.store.down = False
        fleet.wait(1.4)
        fleet.store.end("x")
        lacking: set[str] = set()
        for _ in range(9):
            fleet.wait(0.1)
            lacking |= {name for name, listed in self.lists().items() if "x" not in listed}
        fleet.store.enter("x")
        fleet.wait(2.0)
        self.assertEqual(self.lists(), dict.fromkeys(NAMES, {"x", "y"}))
        self.assertIn(("target entry lapsed", "platform"), self.events("x"))
        self.assertEqual(lacking, set())

    def test_a_node_that_woke_while_the_store_turns_it_away_follows_its_neighbours(self) -> None:
        """A node resumes after a pause while the store answers the others but not this node.

        Failure: the pause sets `stale`, which only a read by the node itself resets. Until then it
        requested no copy of the targets from its neighbours, although the reader has it.
        """
        fleet = self.fleet
        node = fleet.nodes[SECOND]
        node.cut_off = True
        node.views.stale.set()
        node.feed.read_now()
        fleet.store.end("x")
        fleet.wait(5.0)
        self.assertEqual(fleet.nodes[FIRST].lists, {"y"})
        self.assertEqual(node.lists, {"y"})


del _Case
