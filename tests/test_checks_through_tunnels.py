"""A process check that is cut in a tunnel says nothing of the target.

Failure: the node that carried the connection ended inside the check, and no other one was asked for
a tunnel, so that the request failed at a target that could be reached.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_core.neighbours import Neighbour
from fielddrift_node.serving.target_paths import ProcessNeed
from fielddrift_node.web.errors import REPLACED_REASON, UNIDENTIFIED_REASON, ExchangeError
from fielddrift_node.web.exchange import Exchange
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, eventually

_CARRIERS = [Neighbour(name, 1, "a", "", f"127.0.0.1:{n}", "") for n, name in enumerate("bc", 1)]


class TestChecksThroughTunnels(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="t", events=3), "engines")
        node = await self.fleet.node()
        self.paths, views = node.node._paths, node.node.views
        await eventually(lambda: len(views.registry) == 1)
        (self.instance,) = views.registry.all()
        views.direct_paths.reached_elsewhere(self.instance.name, asyncio.get_running_loop().time())
        carriers = mock.patch.object(self.paths, "_carriers", return_value=_CARRIERS)
        carriers.start()
        self.addCleanup(carriers.stop)
        self.client = node.client

    async def begin(self, reason: str) -> tuple[list[str], Exchange | ExchangeError]:
        """Send a request whose first tunnel fails for `reason`; return the tunnels' nodes, and the
        result."""
        asked: list[str] = []

        async def begin(address: str, data: bytes, *, through: str, **_: Any) -> Exchange:
            asked.append(through)
            if len(asked) == 1:
                raise ExchangeError("connection lost", sent=False, reason=reason)
            return Exchange(accepts=lambda head: True, address=address)

        with mock.patch.object(self.client, "begin", begin):
            try:
                found: Exchange | ExchangeError = await self.paths.begin(
                    self.instance, b"", process_need=ProcessNeed.ALWAYS
                )
            except ExchangeError as error:
                found = error
        return asked, found

    async def test_another_node_is_asked_if_the_check_is_cut(self) -> None:
        asked, found = await self.begin("reset")
        self.assertEqual(asked, [carrier.gossip for carrier in _CARRIERS])
        self.assertIsInstance(found, Exchange)

    async def test_what_the_target_itself_has_answered_holds_for_all_tunnels(self) -> None:
        for reason in (REPLACED_REASON, UNIDENTIFIED_REASON):
            with self.subTest(reason):
                asked, found = await self.begin(reason)
                self.assertEqual(asked, [_CARRIERS[0].gossip])
                self.assertIsInstance(found, ExchangeError)
