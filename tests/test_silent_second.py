"""A sound target that is silent for a second and goes on costs no request."""

from __future__ import annotations

import asyncio
from collections import Counter

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually, prompt

_SILENT_SECONDS = 1.1
_RATE = 20.0
_TARGETS = 4
_PROMPT_TOKENS = 360
_RETURN_SECONDS = 1.5
"""Time within which a target that has gone on is used again."""


class TestSilentSecond(FleetCase):
    """Three nodes and four targets, one of which at a time is silent."""

    async def start(self, service: str, paths: tuple[str, ...]) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.paths = paths
        self.workers = []
        for number in range(_TARGETS):
            worker = Worker(
                name=f"w{number}",
                events=6 if service == "engines" else 0,
                work_seconds=0.02,
                pause_seconds=0.02 if service == "engines" else 0.0,
            )
            self.workers.append(await self.fleet.worker(worker, service))
        self.nodes = [await self.fleet.node(f"n{number}") for number in range(3)]
        self.number = 0
        await asyncio.sleep(1.0)

    async def ask(self, statuses: dict[str, int]) -> None:
        self.number += 1
        request_id = f"r{self.number}"
        path = self.paths[self.number % len(self.paths)]
        extra = prompt() if path.startswith(("/chat", "/verdict")) else {}
        node = self.nodes[self.number % len(self.nodes)]
        answer = await ask(node, path, request_id=request_id, **extra)
        whole = path.startswith(("/safe", "/unsafe")) or answer.headers.get("whole") == "yes"
        statuses[request_id] = answer.status if whole else 0

    async def send(self, rate: float, seconds: float) -> dict[str, int]:
        """Send requests at a steady rate; return the statuses by request, 0 for a part."""
        statuses: dict[str, int] = {}
        asks = []
        for _ in range(int(rate * seconds)):
            asks.append(asyncio.ensure_future(self.ask(statuses)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*asks)
        return statuses

    async def check(self, once: str, *, needs_all: float) -> None:
        """Let two targets fall silent, one after the other, and check what became of requests.

        `once` is the path of the requests that may run only once.  At `needs_all` requests per
        second the other targets are full, and the one that has gone on must be used again.
        """
        statuses = await self.send(_RATE, 1.0)
        for worker in self.workers[:2]:
            worker.fall_silent(_SILENT_SECONDS)
            statuses |= await self.send(_RATE, _SILENT_SECONDS)
            before = len(worker.ran)
            sending = asyncio.ensure_future(self.send(needs_all, _RETURN_SECONDS))
            await eventually(lambda w=worker, n=before: len(w.ran) > n, _RETURN_SECONDS)
            await sending
        self.assertEqual(set(statuses.values()), {200})
        ran = Counter(
            run.request_id
            for worker in self.workers
            for run in worker.ran
            if run.target.startswith(once)
        )
        self.assertEqual(set(ran.values()), {1})
        for node in self.nodes:
            self.assertFalse(node.node.views.direct_paths)

    async def test_plain_requests_are_all_answered(self) -> None:
        await self.start("plain", ("/safe/1", "/unsafe/1"))
        await self.check("/unsafe", needs_all=3 * _RATE)

    async def test_prompts_are_all_answered(self) -> None:
        self.fleet.memory = 2 * _PROMPT_TOKENS
        self.fleet.configure()
        await self.start("engines", ("/chat/1", "/verdict/1"))
        await self.check("/verdict", needs_all=3 * _RATE)
