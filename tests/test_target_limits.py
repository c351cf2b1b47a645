"""A target that names a limit gets no more than that from all nodes together."""

from __future__ import annotations

import asyncio
import itertools

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually, prompt

_WINDOW_SECONDS = 4.0
_TOLD_SECONDS = 0.5
"""Time after a target's first word from which what it gets is counted."""
_ASKS_A_SECOND = 40
_RATE = 1.0
_HIGHER_RATE = 4.0


def most_within_a_window(arrivals: list[float]) -> int:
    return max((sum(a <= at < a + _WINDOW_SECONDS for at in arrivals) for a in arrivals), default=0)


class LimitedFleet(FleetCase):
    """Three nodes before a limited target, and another one where it has company."""

    async def start(self, service: str, events: int, *, alone: bool = False) -> None:
        self.limited = await self.fleet.worker(Worker(name="limited", events=events), service)
        if not alone:
            await self.fleet.worker(Worker(name="other", events=events), service)
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
        self.assertEqual(set(statuses), {200})


class TestLimits(LimitedFleet):
    async def test_a_limited_service_gets_its_limit_from_all_nodes_together(self) -> None:
        await self.start("plain", 0)
        await self.check_limit("/safe/1")

    async def test_a_limited_engine_gets_its_limit_from_all_nodes_together(self) -> None:
        await self.start("engines", 2)
        await self.check_limit("/chat/1")

    async def check_use(self, path: str) -> None:
        loop = asyncio.get_running_loop()
        self.limited.limit = _HIGHER_RATE
        await self.press(self.nodes, path, 0.5)
        named_at = loop.time()
        statuses = await self.press(self.nodes, path, 6.0)
        counted = self.counted(named_at)
        most = most_within_a_window(counted)
        self.assertLessEqual(most, 1.5 * _HIGHER_RATE * _WINDOW_SECONDS + 5)
        self.assertGreaterEqual(len(counted), 0.8 * _HIGHER_RATE * 5.5)
        # Nothing that was sent away has run, and all that was sent was answered.
        self.assertEqual(set(statuses), {200, 503})
        self.assertEqual(
            statuses.count(200), sum(at >= named_at for at, _ in self.limited.arrivals)
        )

    async def test_most_of_a_service_s_limit_is_used(self) -> None:
        await self.start("plain", 0, alone=True)
        await self.check_use("/safe/1")

    async def test_most_of_an_engine_s_limit_is_used(self) -> None:
        await self.start("engines", 2, alone=True)
        await self.check_use("/chat/1")

    async def test_all_nodes_hear_that_a_target_names_no_limit_any_more(self) -> None:
        await self.start("plain", 0)
        self.limited.limit = _RATE
        await self.press(self.nodes, "/safe/1", 1.0)
        limits = [node.node.views.limits for node in self.nodes]
        await eventually(lambda: all(each.rate("limited") == _RATE for each in limits))
        self.limited.limit = None
        await self.press(self.nodes, "/safe/1", 4.0)
        await eventually(lambda: all(each.rate("limited") is None for each in limits))

    async def test_a_node_that_starts_hears_of_limits_before_it_sends(self) -> None:
        await self.start("plain", 0)
        self.limited.limit = _RATE
        await self.press(self.nodes, "/safe/1", 1.0)
        late = await self.fleet.node("node-4")
        await eventually(lambda: late.node.views.limits.rate("limited") == _RATE)

    async def test_a_limit_of_none_at_all_leaves_room_to_ask_again(self) -> None:
        await self.start("plain", 0)
        self.limited.limit = 0.0
        loop = asyncio.get_running_loop()
        await self.press(self.nodes, "/safe/1", 0.5)
        named_at = loop.time()
        await self.press(self.nodes, "/safe/1", 5.0)
        self.assertLessEqual(most_within_a_window(self.counted(named_at)), 5)
