"""Requests that come before a node's first reading wait for it, for a short time.

Failure: a node accepted connections before it had read anything, and refused what came; a caller
with one more attempt had spent it.
"""

from __future__ import annotations

import asyncio
from unittest import mock

from fielddrift_node.serving import gateway
from fielddrift_platform.store import PlatformStore
from fielddrift_standins.worker import Worker

from .platform_fleet import Answer, FleetCase, RunningNode, ask

_READING_SECONDS = 0.05
_PAUSE_SECONDS = 0.3
"""A pause of this process that a test bears."""


class TestFirstReading(FleetCase):
    async def start(self, reading_seconds: float) -> tuple[RunningNode, Answer]:
        """Start a node whose readings take so long; return the answer to the earliest request."""
        await self.fleet.worker(Worker(name="w"), "plain")
        node = RunningNode(name="n", fleet=self.fleet)
        self.fleet.nodes.append(node)
        changes = PlatformStore.operator_changes

        async def slow(store: PlatformStore, after: int | None, wait: float) -> object:
            await asyncio.sleep(reading_seconds)
            return await changes(store, after, wait)

        with mock.patch.object(PlatformStore, "operator_changes", slow):
            node.task = asyncio.ensure_future(node.node.run(node.stopping))
            while True:
                try:
                    return node, await ask(node, "/safe/x")
                except ConnectionRefusedError:
                    await asyncio.sleep(0.005)

    async def test_a_request_waits_for_the_first_reading(self) -> None:
        _, answer = await self.start(_READING_SECONDS)
        self.assertEqual(answer.status, 200)

    async def test_a_request_waits_no_longer_than_a_short_time(self) -> None:
        began_at = asyncio.get_running_loop().time()
        _, answer = await self.start(3.0)
        waited = asyncio.get_running_loop().time() - began_at
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertLess(waited, gateway._MAX_READY_WAIT_SECONDS + _PAUSE_SECONDS)
