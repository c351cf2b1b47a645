"""A target that names a limit gets no more than that from all nodes together."""

from __future__ import annotations

import asyncio
import itertools

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, prompt

_WINDOW_SECONDS = 4.0
_TOLD_SECONDS = 0.5
"""Time after a target's first word from which what it gets is counted."""
_ASKS_A_SECOND = 40
_RATE = 1.0


def most_within_a_window(arrivals: list[float]) -> int:
    return max((sum(a <= at < a + _WINDOW_SECONDS for at in arrivals) for a in arrivals), default=0)


class LimitedFleet(FleetCase):
    """Three nodes before a limited target and another one."""

    async def start(self, service: str, events: int) -> None:
        self.limited = await self.fleet.worker(Worker(name="limited", events=events), service)
        self.other = await self.fleet.worker(Worker(name="other", events=events), service)
        self.nodes = [await self.fleet.node(f"node-{n}") for n in (1, 2, 3)]
        self.ids = itertools.count()
        await asyncio.sleep(1.5)

    async def press(self, nodes: list[RunningNode], path: str, seconds: float) -> list[int]:
        """Ask the nodes in turn, often; return the statuses of the answers."""
        asks = []
        for number in range(int(seconds * _ASKS_A_SECOND)):
            extra = prompt() if path.startswith("/chat") else {}
            node = nodes[number % len(nodes)]
            asks.append(
                asyncio.ensure_future(ask(node, path, request_id=f"r{next(self.ids)}", **extra))
            )
            await asyncio.sleep(1 / _ASKS_A_SECOND)
        return [answer.status for answer in await asyncio.gather(*asks)]

    def counted(self, named_at: float) -> list[float]:
        return [at for at, _ in self.limited.arrivals if at >= named_at + _TOLD_SECONDS]

    async def check_limit(self, path: str) -> None:
        loop = asyncio.get_running_loop()
        await self.press(self.nodes, path, 0.5)
        self.limited.limit = _RATE
        named_at = loop.time()
        statuses = await self.press(self.nodes, path, 6.0)
        # The rule allows half as much again, and five.
        most = most_within_a_window(self.counted(named_at))
        self.assertLessEqual(most, 1.5 * _RATE * _WINDOW_SECONDS + 5)
        self.assertGreaterEqual(len(self.counted(named_at)), 2)
        self.assertEqual(set(statuses), {200})


class TestLimits(LimitedFleet):
    async def test_a_limited_service_gets_its_limit_from_all_nodes_together(self) -> None:
        await self.start("plain", 0)
        await self.check_limit("/safe/1")

    async def test_a_limited_engine_gets_its_limit_from_all_nodes_together(self) -> None:
        await self.start("engines", 2)
        await self.check_limit("/chat/1")
