"""What nodes hold of targets that ended, where the store goes away again or a node woke."""

from __future__ import annotations

from .target_views import NAMES
from .test_target_views import TargetViewCase as _Case

FIRST, SECOND, THIRD = NAMES


class TestHeldEntries(_Case):
    """An entry is held for a respite, or was believed before a pause, while no reading comes."""

    def test_a_respite_ends_though_the_store_is_away_again(self) -> None:
        """The store is back for a second, and away again for long.

        Sequence: the reader reads the end of x and holds it (`target entry lapsed`, 2.3 s);
        the store goes away; each turn of the feed ends in a failed reading, which comes
        before the tick that gives up what is over.  So x gets work for as long as the
        store is away.  Cause: a respite is judged at readings that work only.
        """
        self.end_in_outage("x")
        self.assertIn(("target entry lapsed", "platform"), self.events("x"))
        self.fleet.store.down = True
        self.fleet.wait(6.0)
        self.assertEqual(self.fleet.nodes[FIRST].lists, {"y"})

    def test_a_service_that_lapsed_whole_is_kept_while_the_store_is_away_again(self) -> None:
        """All entries of a service lapse in an outage, the store is back for a second only.

        Sequence: giving all of them up by the clock would leave callers without any target,
        though these live: the store lost them, and they cannot write their entries anew.
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
        """All nodes lose the store; an entry lapses 0.8 s after its return, for a second.

        Sequence: the others rely on the reader again, which clears that they lost the
        store; then the reader reads the end within its respite and holds it, and the
        others copy its list and drop the entry at once.  Cause: that a node lost the
        store lasts until its first copy, the reader's respite 2.3 s.
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
        """A node wakes from a pause while the store answers the others, but not it.

        Sequence: the pause sets `stale`, which only a reading of its own clears; until
        then it asks no neighbour for the targets' list, though the reader has it.
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
