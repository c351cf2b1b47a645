"""A target that turns a node away and asks for a pause gets nothing from that node meanwhile."""

from __future__ import annotations

import asyncio
import itertools

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually, prompt

_PAUSE_SECONDS = 2.0
_LONG_PAUSE_SECONDS = 6.0
_ASKS = 60


class PausingFleet(FleetCase):
    """One node before a target that turns everything away and one that serves."""

    async def start(self, service: str, events: int = 0, *, alone: bool = False) -> None:
        self.pausing = await self.fleet.worker(Worker(name="pausing", events=events), service)
        if not alone:
            serving = Worker(name="serving", events=events, work_seconds=0.1)
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

    async def test_an_engine_that_is_alone_has_callers_come_back_when_it_takes_them(self) -> None:
        await self.start("engines", events=2, alone=True)
        self.assertEqual((await self.ask("/chat/1")).status, 503)
        began = asyncio.get_running_loop().time()
        answer = await self.ask("/chat/1")
        self.assertEqual(answer.status, 503)
        # It surely cannot be served: it is refused at once.
        self.assertLess(asyncio.get_running_loop().time() - began, 0.1)
        self.assertGreater(float(answer.headers["retry-after"]), 0.5)
        self.assertEqual(len(self.pausing.arrivals), 1)

    async def test_a_service_that_is_alone_has_callers_come_back_when_it_takes_them(self) -> None:
        await self.start("plain", alone=True)
        await self.ask("/unsafe/1")
        answer = await self.ask("/unsafe/1")
        self.assertGreater(float(answer.headers["retry-after"]), 0.9 * _PAUSE_SECONDS)
        await asyncio.sleep(_PAUSE_SECONDS)
        self.pausing.pause = 0.0
        self.assertEqual((await self.ask("/unsafe/1")).status, 200)

    async def test_what_one_engine_asks_for_keeps_no_caller_from_the_others(self) -> None:
        """Work for one send only is refused, and its caller comes back to another engine."""
        await self.start("engines", events=2)
        answer = await self.ask("/verdict/1")
        while answer.status == 200:
            answer = await self.ask("/verdict/1")
        self.assertEqual(answer.status, 503)
        self.assertLess(float(answer.headers["retry-after"]), 0.5)

    async def test_a_run_that_breaks_off_is_not_resumed_there(self) -> None:
        await self.start("engines", events=4)
        while not self.pausing.arrivals:
            await self.ask("/chat/1")
        self.serving.faults = ["cut-event"]
        answer = await self.ask("/chat/1")
        self.assertNotIn("whole", answer.headers)
        self.assertEqual(len(self.pausing.arrivals), 1)

    async def test_orders_wait_for_the_end_of_the_pause(self) -> None:
        await self.start("engines", events=2)
        # Longer than the duty of giving orders takes to begin.
        self.pausing.pause = _LONG_PAUSE_SECONDS
        while not self.pausing.arrivals:
            await self.ask("/chat/1")
        asked_at, _ = self.pausing.arrivals[0]
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.serving.version == 2)
        self.pausing.pause = 0.0
        await eventually(lambda: self.pausing.version == 2)
        self.assertGreater(self.pausing.calls[0][0] - asked_at, 0.9 * _LONG_PAUSE_SECONDS)

    async def test_a_store_host_gets_no_call_while_it_asked_for_none(self) -> None:
        await self.start("engines", events=2)
        kv = self.fleet.kv
        await self.press("/chat/1")
        kv.pause = _PAUSE_SECONDS
        before = len(kv.calls)
        await eventually(lambda: len(kv.calls) > before)
        turned_away = kv.calls[-1]
        await self.press("/chat/1")
        during = [at for at in kv.calls if turned_away < at < turned_away + 0.9 * _PAUSE_SECONDS]
        self.assertEqual(during, [])
        kv.pause = 0.0
        await eventually(lambda: kv.calls[-1] > turned_away + _PAUSE_SECONDS)

    async def test_an_order_that_is_turned_away_asks_for_a_pause_too(self) -> None:
        await self.start("engines", events=2)
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        pauses = self.node.node.views.pauses
        loop = asyncio.get_running_loop()
        await eventually(lambda: pauses.left("pausing", loop.time()) > 0)
        await self.press("/chat/1")
        self.assertEqual(self.pausing.arrivals, [])
