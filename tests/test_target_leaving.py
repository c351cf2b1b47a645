"""A target that says that it leaves gets nothing more, whichever of its answers says so."""

from __future__ import annotations

import asyncio
import itertools

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually, prompt

_ON_ITS_WAY_SECONDS = 0.3
"""Time after a node has heard that a target leaves in which what it sent before may come."""


class LeavingFleet(FleetCase):
    """Two nodes before a target that leaves and one that stays."""

    async def start(self, service: str, events: int = 0) -> None:
        self.leaver = await self.fleet.worker(Worker(name="leaver", events=events), service)
        self.stayer = await self.fleet.worker(Worker(name="stayer", events=events), service)
        self.nodes = [await self.fleet.node(f"node-{number}") for number in (1, 2)]
        self.ids = itertools.count()

    async def press(self, path: str, number: int) -> list[int]:
        answers = []
        for count in range(number):
            extra = prompt() if path.startswith(("/chat", "/verdict")) else {}
            node = self.nodes[count % 2]
            answers.append(await ask(node, path, request_id=f"r{next(self.ids)}", **extra))
        return [answer.status for answer in answers]

    async def check_left(self, path: str) -> None:
        before = len(self.leaver.arrivals)
        statuses = await self.press(path, 20)
        self.assertEqual(len(self.leaver.arrivals), before)
        self.assertEqual(set(statuses), {200})


class TestLeaving(LeavingFleet):
    async def reach(self, path: str) -> None:
        """Ask until the leaver has answered once, which says that it leaves."""
        self.leaver.leaving = True
        before = len(self.leaver.arrivals)
        while len(self.leaver.arrivals) == before:
            await self.press(path, 1)
        await asyncio.sleep(_ON_ITS_WAY_SECONDS)

    async def test_a_service_that_leaves_gets_nothing_more(self) -> None:
        await self.start("plain")
        await self.reach("/safe/1")
        await self.check_left("/safe/1")
        await self.check_left("/unsafe/1")

    async def test_it_is_known_while_the_store_is_away_and_when_it_is_back(self) -> None:
        await self.start("plain")
        self.fleet.store.down = True
        await self.reach("/safe/1")
        await self.check_left("/safe/1")
        self.fleet.store.drop("servers", "leaver")
        self.fleet.store.down = False
        views = [node.node.views for node in self.nodes]
        now = asyncio.get_running_loop().time()
        await eventually(lambda: all(each.targets_at > now + 0.5 for each in views))
        self.fleet.enter("leaver", "plain")
        now = asyncio.get_running_loop().time()
        await eventually(lambda: all(each.targets_at > now + 0.5 for each in views))
        await self.check_left("/safe/1")
