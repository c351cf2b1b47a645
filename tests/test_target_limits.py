"""A target that announces a limit gets no more requests than that from all nodes together."""

from __future__ import annotations

import asyncio

from .platform_fleet import TwoTargets, eventually

_WINDOW_SECONDS = 4.0
_NOTICE_SECONDS = 0.5
"""Time after a target's first notice from which its requests are counted."""
_MANY_SLOTS = 500
"""More than there are requests in a test."""
_SETTLE_SECONDS = 1.5
"""Time after which the nodes have discovered each other."""


def max_per_window(arrivals: list[float]) -> int:
    return max((sum(a <= at < a + _WINDOW_SECONDS for at in arrivals) for a in arrivals), default=0)


class TestLimits(TwoTargets):
    """Three nodes, 40 requests per second."""

    async def limited(self, service: str, rate: float, *, alone: bool = False) -> list[int]:
        """Let the speaker announce a limit; return the statuses of the next six seconds."""
        await self.start(service, nodes=3, alone=alone)
        await asyncio.sleep(_SETTLE_SECONDS)
        self.speaker.limit = rate
        await self.send_until_received()
        named_at = asyncio.get_running_loop().time()
        statuses = await self.send_many(240, 6.0)
        times = [at for at, _ in self.speaker.arrivals]
        self.counted = [at for at in times if at >= named_at + _NOTICE_SECONDS]
        # The rule allows 1.5 times the limit, plus 5.
        allowed = 1.5 * rate * _WINDOW_SECONDS + 5
        self.assertLessEqual(max_per_window(self.counted), allowed)
        return statuses

    async def test_a_limited_service_gets_its_limit_from_all_nodes_together(self) -> None:
        # The other target has room for all requests, however slowly this process answers them.
        self.fleet.slots = _MANY_SLOTS
        self.assertEqual(set(await self.limited("plain", 1.0)), {200})

    async def test_a_limited_engine_gets_its_limit_from_all_nodes_together(self) -> None:
        self.assertEqual(set(await self.limited("engines", 1.0)), {200})

    async def check_utilisation(self, service: str) -> None:
        statuses = await self.limited(service, 4.0, alone=True)
        self.assertGreaterEqual(len(self.counted), 0.8 * 4.0 * 5.5)
        # No refused request has run, and every request that was sent got a response.
        self.assertEqual(set(statuses), {200, 503})
        asked = {f"r{number}" for number in range(self.number - 239, self.number + 1)}
        sent = sum(request in asked for _, request in self.speaker.arrivals)
        self.assertEqual(statuses.count(200), sent)

    async def test_most_of_a_service_s_limit_is_used(self) -> None:
        await self.check_utilisation("plain")

    async def test_most_of_an_engine_s_limit_is_used(self) -> None:
        await self.check_utilisation("engines")

    async def test_a_limit_of_none_at_all_leaves_room_to_ask_again(self) -> None:
        await self.limited("plain", 0.0)
        self.assertLessEqual(max_per_window(self.counted), 5)

    async def test_all_nodes_hear_of_a_limit_and_of_its_end_and_one_that_starts_too(self) -> None:
        await self.start("plain", nodes=3)
        await asyncio.sleep(_SETTLE_SECONDS)
        self.speaker.limit = 1.0
        await self.send_until_received()
        self.nodes.append(await self.fleet.node("late"))
        limits = [node.node.views.limits for node in self.nodes]
        await eventually(lambda: all(each.rate("speaker") == 1.0 for each in limits))
        self.speaker.limit = None
        await self.send_many(160, 4.0)
        await eventually(lambda: all(each.rate("speaker") is None for each in limits))
