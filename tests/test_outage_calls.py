"""In an outage of the store few nodes ask for its return, however many there are.

Load: the store gives no answer for six seconds before a data centre of twelve nodes, of
which two are its relays.  Each node's feed asked about once a second, whatever it was.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

from .target_views import TargetFleet, ViewNode
from .virtual_time import VirtualLoop

_NODES = 12
_OUTAGE_SECONDS = 6.0


class TestOutage(unittest.TestCase):
    def setUp(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        self.fleet = TargetFleet(loop=loop, rng=random.Random(1))
        self.addCleanup(self.fleet.close)
        self.calls: dict[str, int] = {}
        ask = ViewNode.target_changes

        async def count(node: ViewNode, after: int | None) -> object:
            self.calls[node.name] = self.calls.get(node.name, 0) + 1
            return await ask(node, after)

        self.enterContext(mock.patch.object(ViewNode, "target_changes", count))
        self.fleet.store.enter("x")
        for number in range(_NODES):
            self.fleet.start(f"node-{number:02}")
        self.fleet.wait(8.0)
        now = loop.time()
        nodes = self.fleet.nodes
        self.relays = {name for name in nodes if nodes[name].neighbours.is_relay(now)}
        self.calls.clear()

    def _asked(self, *, relays: bool) -> list[int]:
        return [
            self.calls.get(name, 0) for name in self.fleet.nodes if (name in self.relays) is relays
        ]

    def test_all_but_the_relays_ask_less_and_less(self) -> None:
        self.fleet.store.down = True
        self.fleet.wait(_OUTAGE_SECONDS)
        self.assertLessEqual(max(self._asked(relays=False)), 5)
        self.assertGreaterEqual(min(self._asked(relays=True)), 5)

    def test_all_know_what_changed_soon_after_its_return(self) -> None:
        self.fleet.store.down = True
        self.fleet.wait(_OUTAGE_SECONDS)
        self.fleet.store.enter("y")
        self.fleet.store.down = False
        self.fleet.wait(2.0)
        for name, node in self.fleet.nodes.items():
            self.assertEqual(node.lists, {"x", "y"}, name)


if __name__ == "__main__":
    unittest.main()
