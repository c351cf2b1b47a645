"""A target that turns a node away and asks for a pause gets nothing from that node meanwhile."""

from __future__ import annotations

import asyncio
import itertools

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, prompt

_PAUSE_SECONDS = 2.0
_ASKS = 60


class PausingFleet(FleetCase):
    """One node before a target that turns everything away and one that serves."""

    async def start(self, service: str, events: int = 0, *, alone: bool = False) -> None:
        self.pausing = await self.fleet.worker(Worker(name="pausing", events=events), service)
        if not alone:
            serving = Worker(name="serving", events=events, work_seconds=0.3)
            self.serving = await self.fleet.worker(serving, service)
        self.node = await self.fleet.node()
        self.pausing.pause = _PAUSE_SECONDS
        self.ids = itertools.count()

    async def press(self, path: str) -> list[int]:
        """Ask often for three quarters of the pause; return the statuses."""
        asks = []
        for _ in range(_ASKS):
            asks.append(asyncio.ensure_future(self.ask(path)))
            await asyncio.sleep(0.75 * _PAUSE_SECONDS / _ASKS)
        return [answer.status for answer in await asyncio.gather(*asks)]

    async def ask(self, path: str, **headers: str):
        extra = prompt(**headers) if path.startswith(("/chat", "/verdict")) else {}
        return await ask(self.node, path, request_id=f"r{next(self.ids)}", **extra)


class TestPauses(PausingFleet):
    async def check_one_request(self, path: str) -> None:
        await self.ask(path)
        while not self.pausing.arrivals:
            await self.ask(path)
        statuses = await self.press(path)
        self.assertEqual(len(self.pausing.arrivals), 1)
        self.assertEqual(set(statuses), {200})

    async def test_an_engine_gets_no_request_while_it_asked_for_none(self) -> None:
        await self.start("engines", events=2)
        await self.check_one_request("/chat/1")

    async def test_a_service_that_is_alone_gets_no_request_either(self) -> None:
        await self.start("plain", alone=True)
        first = await self.ask("/unsafe/1")
        self.assertEqual(first.status, 503)
        statuses = await self.press("/unsafe/1")
        self.assertEqual(len(self.pausing.arrivals), 1)
        self.assertEqual(set(statuses), {503})
