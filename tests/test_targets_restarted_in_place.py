"""What an entry tells of a target's process is not told of the one that started after it.

Failure: a target started again under its id and at its address as another software version.  Until
its new entry was read, streams of the old version went on there, and new ones counted as the old
version's.
"""

from __future__ import annotations

import asyncio

from fielddrift_standins.worker import Worker

from .platform_fleet import RunningNode, ask, eventually, prompt
from .test_software_versions import MixedCase, _Caller

_STARTED_MS = 1_790_000_000_000
_SERVED = 200
_RESTART_INTERVAL_SECONDS = 0.2
_ENTRY_SECONDS = 0.6
"""How long after its start a process writes its entry."""


class RestartCase(MixedCase):
    """Engines whose entries and reports tell when they started."""

    async def add_engine(self, name: str, software: str) -> Worker:
        engine = await super().add_engine(name, software)
        engine.started = _STARTED_MS
        self.fleet.enter(name, "engines")
        return engine

    async def known(self) -> None:
        await super().known()
        for node in self.nodes:
            registry = node.node.views.registry
            names = {f"{engine.name}#{engine.started}" for engine in self.engines}
            await eventually(lambda r=registry, n=names: {i.name for i in r.all()} == n)

    async def restart(self, engine: Worker, software: str) -> Worker:
        """Start an engine again in place; its entry stays as it was."""
        again = await self.fleet.restart(engine, software=software)
        self.engines[self.engines.index(engine)] = again
        self._ended.append(engine)
        return again

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self._ended: list[Worker] = []

    def software(self, callers: list[_Caller]) -> list[set[str]]:
        engines = [*self.engines, *self._ended]
        versions = {engine.label: engine.software for engine in engines}
        return [{versions[target] for target in caller.targets} for caller in callers]


class TestSoftware(RestartCase):
    async def test_cut_streams_do_not_go_on_at_a_process_of_another_version(self) -> None:
        await self.start(engines=4, versions=("v1",))
        callers = await self.open_streams(18, own_parts=True)
        for engine in self.engines[:2]:
            await self.restart(engine, "v2")
        await self.end_streams(callers)
        self.assert_whole(callers)

    async def test_a_returning_caller_does_not_go_on_at_a_process_of_another_version(self) -> None:
        await self.start(engines=3, versions=("v1",))
        callers = await self.open_streams(12, own_parts=True)
        for caller in callers:
            caller.leave()
        for engine in self.engines[:2]:
            await self.restart(engine, "v2")
        for number, caller in enumerate(callers):
            caller.send(self.nodes[(number + 1) % len(self.nodes)])
        await self.end_streams(callers)
        self.assert_whole(callers)

    async def test_a_stream_that_a_new_process_began_is_of_its_version(self) -> None:
        await self.start(engines=3, versions=("v1",))
        await self.restart(self.engines[0], "v2")
        callers = await self.open_streams(12, own_parts=True)
        self.fleet.enter(self.engines[0].name, "engines")
        await asyncio.sleep(0.1)
        self.engines[1].crash()
        await self.end_streams(callers)
        self.assert_unmixed(callers)

    async def test_streams_go_on_while_engines_start_again_in_a_row(self) -> None:
        await self.start(engines=6, versions=("v1",))
        callers = await self.open_streams(18, own_parts=True)
        entries = []
        for engine in self.engines[:4]:
            again = await self.restart(engine, "v2")
            entries.append(asyncio.ensure_future(self._enter(again)))
            await asyncio.sleep(_RESTART_INTERVAL_SECONDS)
        newer = [_Caller(f"n{number}") for number in range(6)]
        for number, caller in enumerate(newer):
            parts = f"r{number}:300,s{number}:50"
            caller.send(self.nodes[number % len(self.nodes)], X_Prompt_Prefix=parts)
        await asyncio.gather(*entries)
        await self.end_streams(callers + newer)
        self.assert_unmixed(callers + newer)
        self.assertTrue(all(caller.in_order for caller in callers + newer))
        self.assertTrue(all(caller.whole for caller in newer if caller.events))
        # A stream may lose each of its attempts to a restart.
        self.assertGreater(sum(caller.whole for caller in callers), len(callers) // 2)

    async def _enter(self, engine: Worker) -> None:
        await asyncio.sleep(_ENTRY_SECONDS)
        self.fleet.enter(engine.name, "engines")

    async def test_a_process_serves_once_its_entry_is_read(self) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        node = self.nodes[0]
        await self._serves(node, "r1")
        again = await self.restart(self.engines[0], "v2")
        answer = await ask(node, "/chat/1", request_id="r2", **prompt())
        self.assertNotEqual(answer.status, _SERVED)
        self.assertEqual(again.arrivals, [])
        self.fleet.enter(again.name, "engines")
        await self.known()
        await self._serves(node, "r3")

    async def _serves(self, node: RunningNode, request_id: str) -> None:
        answer = await ask(node, "/chat/1", request_id=request_id, **prompt())
        self.assertEqual(answer.status, _SERVED)


class TestOrders(RestartCase):
    async def test_a_process_is_ordered_to_load_weights_once_its_entry_is_read(self) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        again = await self.restart(self.engines[0], "v1")
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: "/report" in {path for _, path in again.calls})
        await asyncio.sleep(_ENTRY_SECONDS)
        self.assertEqual([path for _, path in again.calls if path == "/order"], [])
        self.fleet.enter(again.name, "engines")
        await eventually(lambda: again.version == 2)
        self.assertEqual([order["expected"] for order in again.orders], [0])
