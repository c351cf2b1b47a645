"""Reported loads and latenesses expire in time, however many nodes report them."""

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
"""Delay from building a heartbeat to processing it at another node, on a busy event loop."""
_NEAR = Relation(near=True, self_active=True, peer_active=True)


class ReportingNode:
    """A node that sends heartbeats built from its views."""

    def __init__(self, name: str) -> None:
        self.views = Views()
        neighbours = Neighbours(me=Neighbour(name, 1, "a", f"{name}:1", f"{name}:2", f"{name}:3"))
        self.translator = HeartbeatTranslator(views=self.views, neighbours=neighbours)

    def heartbeat(self) -> Heartbeat:
        return self.translator.heartbeat(_NEAR, leaving=False)


class TestToldOn(unittest.TestCase):
    """Nodes must not forward reports of others as if they were their own observations.

    Failure: an engine counts as loading for seconds after its load has ended, and a store as
    late for longer than its link is.  Node A reports that a load lasts for 1 s more; B counts
    this from the receipt and reports it back to A, which keeps the later end; each hop adds
    the transit time.  Reports have neither a source nor an age, so that each recipient that
    forwards one renews it for the others.
    """

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.nodes = [ReportingNode(f"n{number}") for number in range(NODES)]

    def _run(self, seconds: float) -> None:
        async def report(node: ReportingNode, offset: float) -> None:
            await asyncio.sleep(offset)
            while True:
                heartbeat = node.heartbeat()
                for other in self.nodes:
                    if other is not node:
                        self.loop.call_later(_TRAVEL_SECONDS, other.translator.heard, heartbeat)
                await asyncio.sleep(_HEARTBEAT_SECONDS)

        async def run() -> None:
            steps = [n * _HEARTBEAT_SECONDS / NODES for n in range(NODES)]
            tasks = [
                asyncio.ensure_future(report(*it)) for it in zip(self.nodes, steps, strict=True)
            ]
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
