"""A caller gets the events of one complete run or a cut response, however its runs fail.

A random walk over all ways in which an engine's run can end, in sequence, with callers that
disconnect and deadlines that pass in between, on one node whose connections and views are
shared by all requests.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from fielddrift_node.web.messages import Headers
from fielddrift_standins import worker as standin
from fielddrift_standins.deployment import route
from fielddrift_standins.worker import Worker

from .platform_fleet import BOUNDS, FleetCase, eventually, parse, prompt, request, send_raw

_EVENTS = 5
_ALL_EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, _EVENTS + 1)]
_REQUESTS = 60
_FAULTS = (
    "cut-event", "cut-first", "silent-first", "cut-end", "lost", "error", "shed", "garbage",
    "hang", "repeat", "repeat-and-cut", "ends-at-once",
)  # fmt: skip


async def _repeat_and_cut(exchange: standin._Exchange) -> None:
    """Send the run from its first event on, ignoring the requested event id, and cut it off."""
    worker = exchange.worker
    worker.begin(exchange.request)
    fields = Headers([*worker.head(exchange.request_id), (b"Content-Type", b"text/event-stream")])
    exchange.responder.start(200, fields, None)
    for event in _ALL_EVENTS[:4]:
        exchange.responder.write(event[:7])
        await asyncio.sleep(0.005)
        exchange.responder.write(event[7:])
    exchange.responder.write(_ALL_EVENTS[4][:9])
    await asyncio.sleep(0.02)
    exchange.responder.cut()


async def _ends_at_once(exchange: standin._Exchange) -> None:
    """Cut the response off after its head, before any event."""
    worker = exchange.worker
    worker.begin(exchange.request)
    fields = Headers([*worker.head(exchange.request_id), (b"Content-Type", b"text/event-stream")])
    exchange.responder.start(200, fields, None)
    await asyncio.sleep(0.02)
    exchange.responder.cut()


class AnyBreakTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        own = {"repeat-and-cut": _repeat_and_cut, "ends-at-once": _ends_at_once}
        faults = mock.patch.dict(standin.FAULTS, own)
        faults.start()
        self.addCleanup(faults.stop)
        more = {"allow-resume": True, "max-attempts": 4}
        self.fleet.routes.append(route("long", "engines", "streaming", **more))
        self.fleet.configure()
        self.faults: list[str] = []
        self.workers = [Worker(name=f"e{n}", events=_EVENTS) for n in range(1, 5)]
        for worker in self.workers:
            worker.faults = self.faults
            await self.fleet.worker(worker, "engines")
        self.node = await self.fleet.node(bounds=BOUNDS._replace(retry_slack=10_000.0))
        await eventually(lambda: len(self.node.node.views.registry) == len(self.workers))

    async def _disconnect_after(self, raw: bytes, seconds: float) -> None:
        host, _, port = self.node.settings.entry.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        await asyncio.sleep(seconds)
        writer.close()

    async def test_a_caller_gets_what_a_run_makes_or_a_cut_answer(self) -> None:
        rng = random.Random(34)
        whole = 0
        for number in range(_REQUESTS):
            self.faults[:] = rng.choices(_FAULTS, k=rng.randint(1, 3))
            faults = list(self.faults)
            raw = request("/long/x", request_id=f"r{number}", **prompt())
            if rng.random() < 0.2:
                await self._disconnect_after(raw, rng.uniform(0.0, 0.1))
                continue
            if rng.random() < 0.2:
                raw = request("/long/x", request_id=f"r{number}", deadline_ms=60, **prompt())
            data = await send_raw(self.node.settings.entry, raw)
            answer = parse(data) if data.startswith(b"HTTP") else None
            if answer is None or answer.status != 200:
                continue
            events = answer.body.split(b"\n\n")[:-1]
            self.assertEqual(answer.body, b"".join(_ALL_EVENTS[: len(events)]), faults)
            if answer.headers.get("whole"):
                self.assertEqual(len(events), _EVENTS, faults)
                whole += 1
        self.assertGreater(whole, _REQUESTS // 4)
        self.faults.clear()
        views = self.node.node.views
        await eventually(lambda: views.workload.own() == {})
        self.assertEqual(len(views.service_queues.of("engines").queue), 0)


if __name__ == "__main__":
    unittest.main()
