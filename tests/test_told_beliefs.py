"""What nodes tell each other ends in time, however often it is told on."""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Relation
from fielddrift_core.workload import Lateness
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.views import Views

from .virtual_time import VirtualLoop

NODES = 7
_HEARTBEAT_SECONDS = 0.15
_TRAVEL_SECONDS = 0.03
"""From one node's putting a heartbeat together to another's taking it: a busy event loop's lag."""
_NEAR = Relation(near=True, self_active=True, peer_active=True)


class ToldNode:
    """A node that tells the others what it believes."""

    def __init__(self, name: str) -> None:
        self.views = Views()
        neighbours = Neighbours(me=Neighbour(name, 1, "a", f"{name}:1", f"{name}:2", f"{name}:3"))
        self.translator = HeartbeatTranslator(views=self.views, neighbours=neighbours)

    def heartbeat(self) -> Heartbeat:
        return self.translator.heartbeat(_NEAR, leaving=False)


class TestToldOn(unittest.TestCase):
    """What a node was told it tells on, as if it knew it itself, to who told it too.

    Symptom: an engine counts as loading for seconds after its load, and a store as late
    for longer than its links are.  Sequence: A tells B that something holds for 1 s more;
    B counts that from when it hears it, and tells A, who takes the later end; each hop
    adds the time under way.  Cause: what is told has neither a source nor the age that it
    had, so whoever heard it last renews it for the others.
    """

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.nodes = [ToldNode(f"n{number}") for number in range(NODES)]

    def _run(self, seconds: float) -> None:
        async def tell(node: ToldNode, offset: float) -> None:
            await asyncio.sleep(offset)
            while True:
                heartbeat = node.heartbeat()
                for other in self.nodes:
                    if other is not node:
                        self.loop.call_later(_TRAVEL_SECONDS, other.translator.heard, heartbeat)
                await asyncio.sleep(_HEARTBEAT_SECONDS)

        async def run() -> None:
            steps = [n * _HEARTBEAT_SECONDS / NODES for n in range(NODES)]
            tasks = [asyncio.ensure_future(tell(*it)) for it in zip(self.nodes, steps, strict=True)]
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()

        self.loop.run_until_complete(run())

    def test_an_engine_that_loads_for_a_second_is_believed_for_a_second(self) -> None:
        self.nodes[0].views.loading.record_own("engine", self.loop.time() + 1.0)
        self._run(1.3)
        now = self.loop.time()
        left = [round(node.views.loading.seconds("engine", now), 2) for node in self.nodes]
        self.assertLessEqual(max(left), 0.0, left)

    def test_a_lateness_halves_in_two_seconds_though_all_tell_of_it(self) -> None:
        alone = Lateness()
        for lateness in (alone, self.nodes[0].views.lateness):
            lateness.observe("store", 2.0, self.loop.time())
        self._run(4.0)
        now = self.loop.time()
        found = max(node.views.lateness.for_store("store", now) for node in self.nodes)
        self.assertLessEqual(found, 1.2 * alone.for_store("store", now))
