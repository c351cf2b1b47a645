"""Random walks over views of the targets, with reads, copies, partitions and restarts in any
order."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from unittest import mock

from fielddrift_core.target_registry import TargetRegistry
from structlog.testing import capture_logs

from .machines import Walk, explore
from .target_views import NAMES, TargetFleet
from .virtual_time import VirtualLoop

EXAMPLES = 3
"""Examples, of twenty walks each."""
DRAIN_SECONDS = 2.0
"""Maximum time after its end during which a target may receive work."""
SETTLED_SECONDS = 8.0
"""Longer than a grace period, the updates after it, and the detection of a silent node."""
_MAX_TARGET_COUNT = 6
_RETURN_DELAY_SECONDS = 1.9
"""Maximum time after the store's return until live targets have written their entries again."""


class TargetViewWalk(Walk):
    """Three nodes, targets that start, leave, end and expire, and all kinds of faults."""

    loop: VirtualLoop
    fleet: TargetFleet | None = None
    """The fleet of the previous walk, which is closed when the next one starts."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        if TargetViewWalk.fleet is not None:
            TargetViewWalk.fleet.close()
        self.fleet = TargetViewWalk.fleet = TargetFleet(loop=self.loop, rng=rng)
        self.number = 0
        self.lapsed: set[str] = set()
        """Live targets whose entries expired while the store was down."""
        for _ in range(3):
            self.enter()
        for name in NAMES:
            self.fleet.start(name)
        self.fleet.wait(SETTLED_SECONDS)

    def moves(self) -> list[Callable[[], None]]:
        usual = [self.wait] * 10 + [self.enter] * 2 + [self.change] * 5 + [self.end] * 3
        faults = [self.toggle_store, self.cut_off, self.isolate] * 2
        rare = [self.mute, self.part, self.restart_node, self.forget, self.settle]
        return usual + faults + rare

    # --- targets ----------------------------------------------------------------------

    def enter(self) -> None:
        if len(self.fleet.store.entries) < _MAX_TARGET_COUNT and not self.fleet.store.down:
            self.number += 1
            self.fleet.store.enter(f"t{self.number}")

    def change(self) -> None:
        """Rewrite an entry, sometimes as that of a leaving target."""
        store = self.fleet.store
        if store.entries and not store.down:
            name = self.rng.choice(sorted(store.entries))
            store.enter(name, leaving=store.entries[name].leaving or self.rng.random() < 0.3)

    def end(self) -> None:
        store = self.fleet.store
        if store.entries:
            store.end(self.rng.choice(sorted(store.entries)))

    # --- faults -----------------------------------------------------------------------

    def toggle_store(self) -> None:
        """Take the store down or bring it back; expired targets write their entries again after
        that."""
        store = self.fleet.store
        store.down = not store.down
        if store.down:
            for name in [n for n in store.entries if self.rng.random() < 0.3]:
                self.lapsed.add(name)
                store.end(name)
            return
        for name in sorted(self.lapsed):
            self.fleet.loop.call_later(
                self.rng.uniform(0, _RETURN_DELAY_SECONDS), self._return_target, name
            )

    def cut_off(self) -> None:
        node = self._node()
        node.cut_off = not node.cut_off

    def isolate(self) -> None:
        """Cut all links of a node for a while; the link to the store may return before the
        others."""
        node = self._node()
        pairs = {frozenset((node.name, name)) for name in NAMES if name != node.name}
        node.cut_off = True
        self.fleet.partitions |= pairs
        self.fleet.wait(self.rng.uniform(0.5, 3.0))
        self.end()
        self.fleet.wait(self.rng.uniform(0.0, 1.0))
        node.cut_off = False
        self.fleet.wait(self.rng.uniform(0.0, 1.5))
        self.fleet.partitions -= pairs

    def mute(self) -> None:
        node = self._node()
        node.mute = not node.mute

    def part(self) -> None:
        self.fleet.partitions ^= {frozenset(self.rng.sample(NAMES, k=2))}

    def restart_node(self) -> None:
        """Stop a node, and start it again after a while."""
        name = self.rng.choice(NAMES)
        self.fleet.stop(name)
        self.fleet.wait(self.rng.choice((0.1, 1.0, 3.0)))
        self.fleet.start(name)

    def forget(self) -> None:
        self.fleet.store.forget()

    # --- time -------------------------------------------------------------------------

    def wait(self) -> None:
        self.fleet.wait(self.rng.choice((0.1, 0.4, 0.8)))

    def settle(self) -> None:
        """End all faults; after the grace periods each node lists the same targets as the store."""
        if self.fleet.store.down:
            self.toggle_store()
        self.fleet.partitions.clear()
        for node in self.fleet.nodes.values():
            node.cut_off = node.mute = False
        self.fleet.wait(SETTLED_SECONDS)
        stored = set(self.fleet.store.entries)
        for name, node in self.fleet.nodes.items():
            assert node.lists == stored, f"{name} lists {node.lists}, the store {stored}"

    def check(self) -> None:
        now = self.fleet.loop.time()
        for name, node in self.fleet.nodes.items():
            for target, read_end in node.read_ends.items():
                if self.fleet.store.rows[target] == read_end.row and target in node.sends_to:
                    late = now - read_end.at
                    assert late <= DRAIN_SECONDS, (
                        f"{name} sends to {target}, ended {late:.1f} s ago"
                    )

    def _node(self):
        return self.fleet.nodes[self.rng.choice(NAMES)]

    def _return_target(self, name: str) -> None:
        if not self.fleet.store.down and name in self.lapsed:
            self.lapsed.remove(name)
            self.fleet.store.enter(name)


def _apply_all(registry: TargetRegistry, entries, leaving, lapsed, *, lost: bool) -> None:
    """Faulty replacement of `apply_copy`: adopt all entries of the copy, even those that a read had
    ended here."""
    registry._instances = {entry.name: entry for entry in entries}
    registry._lapsed = dict(lapsed)
    registry._leaving |= {*leaving}
    registry._changed()


class TargetViewWalkTest(unittest.TestCase):
    def setUp(self) -> None:
        loop = TargetViewWalk.loop = VirtualLoop()
        self.addCleanup(loop.close)
        self.addCleanup(self._end)
        self.enterContext(capture_logs())

    def test_each_node_lists_what_the_store_lists_once_respites_are_over(self) -> None:
        explore(TargetViewWalk, examples=EXAMPLES)

    def test_copies_that_do_not_say_what_is_held_are_found(self) -> None:
        with (
            mock.patch.object(TargetRegistry, "lapsed", return_value={}),
            self.assertRaisesRegex(AssertionError, "lists .* the store|sends to"),
        ):
            explore(TargetViewWalk, examples=EXAMPLES)

    def test_taking_an_end_back_that_was_read_is_found(self) -> None:
        with (
            mock.patch.object(TargetRegistry, "apply_copy", _apply_all),
            self.assertRaisesRegex(AssertionError, "sends to"),
        ):
            explore(TargetViewWalk, examples=EXAMPLES)

    def _end(self) -> None:
        if TargetViewWalk.fleet is not None:
            TargetViewWalk.fleet.close()
            TargetViewWalk.fleet = None
