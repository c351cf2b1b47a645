"""Targets that say that they are brittle are not brought to fall over."""

from __future__ import annotations

import asyncio

from fielddrift_standins.brittle import BrittleWorker

from .platform_fleet import FleetCase, RunningNode, ask, prompt

_TOLERANCE = 3
"""The rejections in a second that a target bears."""
_ROOM = 4
_PROMPT_TOKENS = 360
_WARNING_SECONDS = 3.0
"""Time between the first notice and the loss of places to wait."""
_BURST_SECONDS = 4.0
_NODES = 6
_TARGETS = 3


class TestBrittle(FleetCase):
    """Six nodes and three targets get twice the requests that there is room for."""

    async def start(self, service: str, *, room: int, seconds: float, nodes: int = _NODES) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.path = "/chat/1" if service == "engines" else "/safe/1"
        for each in self.fleet.routes:
            each["target-latency-ms"] = 500
        self.fleet.configure()
        self.workers = []
        for number in range(_TARGETS):
            worker = BrittleWorker(
                name=f"w{number}",
                room=room,
                events=4 if service == "engines" else 0,
                work_seconds=seconds,
            )
            self.workers.append(worker)
            await self.fleet.worker(worker, service)
        self.nodes: list[RunningNode] = []
        for number in range(nodes):
            self.nodes.append(await self.fleet.node(f"n{number}", data_centre="abc"[number % 3]))
        self.number = 0
        await asyncio.sleep(1.5)

    async def ask(self) -> int:
        self.number += 1
        extra = prompt() if self.path.startswith("/chat") else {}
        node = self.nodes[self.number % len(self.nodes)]
        answer = await ask(node, self.path, request_id=f"r{self.number}", **extra)
        return answer.status

    async def send(self, rate: float, seconds: float) -> list[int]:
        asks = []
        for _ in range(int(rate * seconds)):
            asks.append(asyncio.ensure_future(self.ask()))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*asks)

    async def press(self, capacity: float, *, waiting: int) -> float:
        """Let the targets become brittle, and send twice their capacity.

        Check how often they fall; return the part of the capacity that was served.
        """
        for worker in self.workers:
            worker.brittle = _TOLERANCE
        await self.send(capacity / 4, _WARNING_SECONDS)
        for worker in self.workers:
            worker.waiting = waiting
        statuses = await self.send(2 * capacity, _BURST_SECONDS)
        falls = sum(len(worker.falls) for worker in self.workers)
        self.assertLessEqual(falls, 2 + len(self.workers) // 10)
        return statuses.count(200) / (capacity * _BURST_SECONDS)

    async def test_plain_targets_are_not_brought_to_fall(self) -> None:
        await self.start("plain", room=_ROOM, seconds=0.2)
        served = await self.press(_TARGETS * _ROOM / 0.2, waiting=0)
        self.assertGreaterEqual(served, 0.5)

    async def test_engines_are_not_brought_to_fall(self) -> None:
        self.fleet.memory = _ROOM * _PROMPT_TOKENS
        await self.start("engines", room=_ROOM * _PROMPT_TOKENS, seconds=0.3)
        served = await self.press(_TARGETS * _ROOM / 0.3, waiting=0)
        self.assertGreaterEqual(served, 0.5)

    async def test_a_single_node_does_not_bring_them_to_fall(self) -> None:
        await self.start("plain", room=_ROOM, seconds=0.2, nodes=1)
        served = await self.press(_TARGETS * _ROOM / 0.2, waiting=0)
        self.assertGreaterEqual(served, 0.5)

    async def test_a_target_with_a_limit_beside_it_is_still_used(self) -> None:
        await self.start("plain", room=_ROOM, seconds=0.05)
        for worker in self.workers:
            worker.limit = 4.0
        served = await self.press(_TARGETS * 4.0, waiting=0)
        self.assertGreaterEqual(served, 0.5)
