"""A stream on a route with several services goes on at the service that began it.

Failure: only the node that had begun such a stream knew its service, so that its caller was refused
everywhere once that node had ended.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_node.serving import origin_rows
from fielddrift_standins.worker import Worker

from .platform_fleet import RunningNode, eventually
from .test_software_versions import _EVENTS, _PAUSE_SECONDS, MixedCase, _Caller

_OTHER = "engines-2"


class TestSplitRoute(MixedCase):
    async def start_split(self) -> None:
        """Start three nodes, and two services that share the route."""
        put = self.fleet.store.put

        def add_service(table: str, key: str, value: Any) -> int:
            if (table, key) == ("op", "config"):
                engines = next(s for s in value["services"] if s["name"] == "engines")
                value = {**value, "services": [*value["services"], {**engines, "name": _OTHER}]}
            if table == "servers" and value["service"] == _OTHER:
                value = {**value, "models": [{"name": "m", "version": 1}]}
            return put(table, key, value)

        patch = mock.patch.object(self.fleet.store, "put", add_service)
        patch.start()
        self.addCleanup(patch.stop)
        chat = next(r for r in self.fleet.routes if r["name"] == "chat")
        split = [{"service": name, "weight": 1} for name in ("engines", _OTHER)]
        chat["traffic-split"] = split
        await self.start(engines=2, versions=("v1",))
        for number in range(2):
            engine = Worker(
                name=f"o{number}", events=_EVENTS, pause_seconds=_PAUSE_SECONDS, software="v1"
            )
            engine.signed = True
            await self.fleet.worker(engine, _OTHER)
        for node in self.nodes:
            registry = node.node.views.registry
            await eventually(lambda r=registry: len(r.serving(_OTHER)) == 2)

    def services(self, callers: list[_Caller]) -> list[set[str]]:
        """Return the first letters of the names of the targets that served each caller."""
        return [{name[0] for name in caller.targets} for caller in callers]

    async def return_to(self, callers: list[_Caller], nodes: list[RunningNode]) -> None:
        """Let the callers return to the nodes in turn, and check that all streams go on."""
        began = self.services(callers)
        self.assertEqual({letter for letters in began for letter in letters}, {"e", "o"})
        for number, caller in enumerate(callers):
            caller.send(nodes[number % len(nodes)])
        await self.end_streams(callers)
        self.assertEqual(self.services(callers), began)
        self.assertEqual({(len(c.events), c.whole) for c in callers}, {(_EVENTS, True)})

    async def test_streams_go_on_at_other_nodes(self) -> None:
        await self.start_split()
        callers = await self.open_streams(12, self.nodes[0], own_parts=True)
        for caller in callers:
            caller.leave()
        await asyncio.sleep(0.1)
        await self.return_to(callers, self.nodes[1:])

    async def test_streams_go_on_after_all_nodes_have_ended(self) -> None:
        await self.start_split()
        callers = await self.open_streams(12, own_parts=True)
        await asyncio.sleep(2 * origin_rows._FLUSH_SECONDS)
        for node in self.nodes:
            node.kill()
        nodes = [await self.fleet.node(f"again-{number}") for number in range(3)]
        for node in nodes:
            registry = node.node.views.registry
            await eventually(lambda r=registry: len(r.serving(_OTHER)) == 2)
        await self.return_to(callers, nodes)
