"""Engines end up with the newest weights, and serve, whatever orders they carry out late.

Failure: an order given without a report expected no number of orders.  Carried out seconds later,
it brought its engine back to older weights.  No node believed that: a version once observed was
held against the engine's entry for ever, so that the newer weights were not ordered again, and all
requests there were rejected.
"""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_core.observed_weights import ENTRY_LAG_SECONDS, ObservedWeights
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually, prompt

_LATE_SECONDS = 1.5
_CALM_SECONDS = 1.0
_FOUND_SECONDS = 2.5
"""Time in which nodes that send to an engine find out that it has older weights."""


class _EnginesCase(FleetCase):
    async def start(self, *, nodes: int = 2, engines: int = 1) -> None:
        self.engines = [
            await self.fleet.worker(Worker(name=f"e{number}", events=2), "engines")
            for number in range(engines)
        ]
        for number in range(nodes):
            await self.fleet.node(f"node-{number}")
        for node in self.fleet.nodes:
            registry = node.node.views.registry
            await eventually(lambda r=registry: len(r.serving("engines")) == engines)
        self.requests = 0

    def name(self, version: int) -> None:
        self.fleet.store.put("op", "version/m", {"model": "m", "version": version})

    async def loaded(self, version: int) -> None:
        """Wait until all engines have a version, and write their entries."""
        for engine in self.engines:
            await eventually(lambda e=engine: e.version == version)
            self.fleet.enter(engine.name, "engines")

    async def rolled_out(self, version: int) -> None:
        """Wait until all nodes believe that the engines have a version, and none orders it."""
        for node in self.fleet.nodes:
            views, runner = node.node.views, node.node._rollout_runner
            for engine in self.engines:
                await eventually(lambda v=views, e=engine: v.weights_of(e.name, "m") == version)
            await eventually(lambda r=runner: not r._tasks)

    async def is_served(self, node: RunningNode) -> bool:
        self.requests += 1
        answer = await ask(node, "/chat/1", request_id=f"r{self.requests}", **prompt())
        return answer.status == 200


class TestOrders(_EnginesCase):
    async def test_an_order_that_is_carried_out_late_brings_no_older_weights(self) -> None:
        await self.start()
        engine = self.engines[0]
        engine.unanswered_reports = 1
        engine.late_orders = [_LATE_SECONDS]
        self.name(2)
        await eventually(lambda: engine.version == 2 or not engine.late_orders)
        self.name(3)
        await eventually(lambda: engine.version == 3)
        await asyncio.sleep(_LATE_SECONDS + _CALM_SECONDS)
        self.assertEqual(engine.version, 3, engine.orders)

    async def test_every_order_expects_the_number_that_its_engine_has_taken(self) -> None:
        await self.start(engines=3)
        for engine in self.engines:
            engine.unanswered_reports = 2
        for version in (2, 3):
            self.name(version)
            for engine in self.engines:
                await eventually(lambda e=engine, v=version: e.version == v)
        for engine in self.engines:
            expected = [order.get("expected") for order in engine.orders]
            self.assertEqual(expected, list(range(len(expected))))


class TestOlderWeights(_EnginesCase):
    """An engine is back at older weights without an order, as after a restart."""

    async def test_an_engine_that_went_back_is_ordered_again(self) -> None:
        await self.start()
        self.name(2)
        await self.loaded(2)
        self.name(3)
        await self.loaded(3)
        await self.rolled_out(3)
        self.engines[0].version = 2
        self.fleet.enter("e0", "engines")
        await eventually(lambda: self.engines[0].version == 3)

    async def test_so_is_one_whose_entry_had_not_shown_the_newer_ones(self) -> None:
        await self.start()
        self.name(2)
        await self.loaded(2)
        self.name(3)
        await eventually(lambda: self.engines[0].version == 3)
        await self.rolled_out(3)
        self.engines[0].version = 2
        await eventually(lambda: self.engines[0].version == 3, ENTRY_LAG_SECONDS + 5.0)

    async def test_its_requests_are_served_soon(self) -> None:
        """Failure: they were rejected for as long as the engine lived."""
        await self.start()
        self.name(2)
        await self.loaded(2)
        await self.rolled_out(2)
        self.engines[0].load_seconds = 0.01
        self.engines[0].version = 1
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.6)
        at = loop.time()
        for node in self.fleet.nodes:
            await eventually(lambda n=node: self.is_served(n))
        self.assertLess(loop.time() - at, _FOUND_SECONDS)
        self.assertEqual(self.engines[0].version, 2)


class TestObservedWeights(unittest.TestCase):
    """Two nodes that tell each other what they observed."""

    def setUp(self) -> None:
        self.nodes = [ObservedWeights(), ObservedWeights()]

    def _exchange(self, now: float) -> None:
        for one, other in (self.nodes, self.nodes[::-1]):
            for instance, model, version in one.newest(16):
                other.hear(instance, model, version, now)

    def _refute(self, node: ObservedWeights, listed: int, now: float) -> None:
        node.refute_by_entries(lambda *_: listed, read_at=now - 0.4, now=now)

    def _versions(self) -> list[int | None]:
        return [node.version("e", "m", None) for node in self.nodes]

    def test_a_refuted_version_does_not_come_back_from_another_node(self) -> None:
        self.nodes[0].observe("e", "m", 3, 0.0)
        for step in range(1, 300):
            now = step * 0.15
            self._exchange(now)
            self._refute(self.nodes[step % 2], 2, now)
        self.assertEqual(self._versions(), [None, None])

    def test_a_version_that_its_entry_will_show_is_kept(self) -> None:
        self.nodes[0].observe("e", "m", 3, 0.0)
        self._exchange(0.1)
        self._refute(self.nodes[0], 2, ENTRY_LAG_SECONDS - 0.1)
        self.assertEqual(self._versions(), [3, 3])
        self._refute(self.nodes[0], 3, 60.0)
        self.assertEqual(self._versions(), [3, 3])

    def test_a_report_counts_only_if_it_was_requested_later(self) -> None:
        node = self.nodes[0]
        node.observe("e", "m", 3, 10.0)
        self.assertFalse(node.report("e", "m", 2, listed=2, requested_at=10.2, now=10.3))
        self.assertEqual(node.version("e", "m", None), 3)
        self.assertTrue(node.report("e", "m", 2, listed=2, requested_at=11.0, now=11.1))
        self.assertEqual(node.version("e", "m", None), 2)
        self.assertFalse(node.hear("e", "m", 3, 11.2))

    def test_an_engine_that_has_loaded_them_again_is_believed_at_once(self) -> None:
        node = self.nodes[0]
        node.observe("e", "m", 3, 10.0)
        node.report("e", "m", 2, listed=2, requested_at=11.0, now=11.1)
        node.observe("e", "m", 3, 12.0)
        self.assertEqual(node.version("e", "m", None), 3)
        self._exchange(12.1)
        self.assertEqual(self._versions(), [3, 3])

    def test_a_report_counts_against_an_entry_that_lags_behind(self) -> None:
        node = self.nodes[0]
        self.assertTrue(node.report("e", "m", 2, listed=3, requested_at=10.0, now=10.1))
        self.assertEqual(node.version("e", "m", 3), 2)
        self._refute(node, 3, 10.1 + ENTRY_LAG_SECONDS)
        self.assertEqual(node.version("e", "m", 3), 2)
        self._refute(node, 3, 10.6 + ENTRY_LAG_SECONDS)
        self.assertEqual(node.version("e", "m", 3), 3)
