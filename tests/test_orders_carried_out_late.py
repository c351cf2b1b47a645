"""Engines end up with the newest weights, whatever orders they carry out late.

Failure: an order given without a report expected no number of orders.  Carried out seconds later,
it brought its engine back to older weights.
"""

from __future__ import annotations

import asyncio

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, eventually

_LATE_SECONDS = 1.5
_CALM_SECONDS = 1.0


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

    def name(self, version: int) -> None:
        self.fleet.store.put("op", "version/m", {"model": "m", "version": version})


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
