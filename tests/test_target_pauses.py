"""A target that rejects a request and asks for a pause gets no requests from that node."""

from __future__ import annotations

import asyncio

from .platform_fleet import TwoTargets, eventually

_PAUSE_SECONDS = 2.0
_LONG_PAUSE_SECONDS = 6.0


class TestPauses(TwoTargets):
    """One node; the speaker rejects all requests."""

    async def paused(
        self, service: str, *, alone: bool = False, seconds: float = _PAUSE_SECONDS
    ) -> None:
        """Let the speaker reject one request of the node."""
        await self.start(service, alone=alone)
        if not alone:
            self.other.work_seconds = 0.1
        self.speaker.pause = seconds
        await self.send_until_received()

    async def send_during_pause(self) -> set[int]:
        """Send 60 requests, or on a slow machine those that fit into most of the pause."""
        loop = asyncio.get_running_loop()
        until = loop.time() + 0.75 * _PAUSE_SECONDS
        asks = []
        while len(asks) < 60 and loop.time() < until:
            asks.append(asyncio.ensure_future(self.ask()))
            await asyncio.sleep(0.75 * _PAUSE_SECONDS / 60)
        return {answer.status for answer in await asyncio.gather(*asks)}

    async def test_an_engine_gets_no_request_while_it_asked_for_none(self) -> None:
        # Prompts may be refused for their lateness, and each takes all of the usual latency goal.
        self.tolerate_pauses(1.0)
        await self.paused("engines")
        self.assertEqual(await self.send_during_pause(), {200})
        self.assertEqual(len(self.speaker.arrivals), 1)

    async def test_a_service_that_is_alone_gets_no_request_either(self) -> None:
        await self.paused("plain", alone=True)
        self.assertEqual(await self.send_during_pause(), {503})
        self.assertEqual(len(self.speaker.arrivals), 1)

    async def test_an_engine_that_is_alone_has_callers_come_back_when_it_takes_them(self) -> None:
        await self.paused("engines", alone=True)
        started_at = asyncio.get_running_loop().time()
        answer = await self.ask()
        self.assertEqual(answer.status, 503)
        # No target can serve it, so it is refused at once.
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.1)
        self.assertGreater(float(answer.headers["retry-after"]), 0.5)
        self.assertEqual(len(self.speaker.arrivals), 1)

    async def test_a_service_that_is_alone_has_callers_come_back_when_it_takes_them(self) -> None:
        await self.paused("plain", alone=True)
        answer = await self.ask()
        self.assertGreater(float(answer.headers["retry-after"]), 0.9 * _PAUSE_SECONDS)
        await asyncio.sleep(_PAUSE_SECONDS)
        self.speaker.pause = 0.0
        self.assertEqual((await self.ask()).status, 200)

    async def test_what_one_engine_asks_for_keeps_no_caller_from_the_others(self) -> None:
        """A request that allows one send is refused, and a retry goes to another engine."""
        await self.start("engines")
        self.speaker.pause = _PAUSE_SECONDS
        # The other engine appears to be full, so the first request goes to the speaker.
        self.nodes[0].node.views.workload.begin("other", "busy", 20_000, 30_000)
        answer = await self.ask("/verdict/1")
        self.assertEqual((answer.status, len(self.speaker.arrivals)), (503, 1))
        self.assertLess(float(answer.headers["retry-after"]), 0.5)

    async def test_a_run_that_breaks_off_is_not_resumed_there(self) -> None:
        await self.paused("engines")
        self.other.faults = ["cut-event"]
        self.assertNotIn("whole", (await self.ask()).headers)
        self.assertEqual(len(self.speaker.arrivals), 1)

    async def test_orders_wait_for_the_end_of_the_pause(self) -> None:
        # Longer than it takes until a node has the duty to send orders.
        await self.paused("engines", seconds=_LONG_PAUSE_SECONDS)
        asked_at, _ = self.speaker.arrivals[0]
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.other.version == 2)
        self.speaker.pause = 0.0
        await eventually(lambda: self.speaker.version == 2)
        self.assertGreater(self.speaker.calls[0][0] - asked_at, 0.9 * _LONG_PAUSE_SECONDS)

    async def test_an_order_that_is_turned_away_asks_for_a_pause_too(self) -> None:
        await self.start("engines")
        self.speaker.pause = _PAUSE_SECONDS
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        pauses = self.nodes[0].node.views.pauses
        loop = asyncio.get_running_loop()
        await eventually(lambda: pauses.left("speaker", loop.time()) > 0)
        await self.send_during_pause()
        self.assertEqual(self.speaker.arrivals, [])

    async def test_a_store_host_gets_no_call_while_it_asked_for_none(self) -> None:
        await self.start("engines")
        kv = self.fleet.kv
        await self.send_during_pause()
        kv.pause = _PAUSE_SECONDS
        before = len(kv.calls)
        await eventually(lambda: len(kv.calls) > before)
        rejected_at = kv.calls[-1]
        await self.send_during_pause()
        during = [at for at in kv.calls if rejected_at < at < rejected_at + 0.9 * _PAUSE_SECONDS]
        self.assertEqual(during, [])
        kv.pause = 0.0
        await eventually(lambda: kv.calls[-1] > rejected_at + _PAUSE_SECONDS)
