"""A request is not given up because its target is silent while nothing else can serve it."""

from __future__ import annotations

import asyncio
from collections import Counter

from fielddrift_standins.worker import Worker

from .platform_fleet import BOUNDS, Answer, FleetCase, RunningNode, ask, eventually, prompt

_EVENTS = 26
_SILENT_SECONDS = 1.3
_SPACING_SECONDS = 0.01
_TIMEOUT_MS = 8000
"""Of the routes and the callers: no request ends by its deadline."""
_TIGHT_BUDGET = BOUNDS._replace(retry_slack=2.0)
"""Allows few repeated sends, as for one of many nodes."""


class SilentTargets(FleetCase):
    """Nodes and targets, some of which send nothing for a while and then go on."""

    async def start(self, *, engines: int = 3, plain: int = 0, nodes: int = 1) -> None:
        for route in self.fleet.routes:
            route["timeout-ms"] = _TIMEOUT_MS
        self.fleet.configure()
        self.engines = [
            await self.fleet.worker(
                Worker(name=f"e{number}", events=_EVENTS, pause_seconds=0.05), "engines"
            )
            for number in range(engines)
        ]
        self.plain = [
            await self.fleet.worker(Worker(name=f"p{number}", work_seconds=0.05), "plain")
            for number in range(plain)
        ]
        self.nodes: list[RunningNode] = [
            await self.fleet.node(f"node-{number}", bounds=_TIGHT_BUDGET) for number in range(nodes)
        ]
        self.asks: list[asyncio.Task[Answer]] = []

    async def send(self, path: str, count: int) -> None:
        """Send requests to the nodes in turn."""
        for number in range(len(self.asks), len(self.asks) + count):
            extra = prompt() if path.startswith(("/chat", "/verdict")) else {}
            node = self.nodes[number % len(self.nodes)]
            asking = ask(node, path, request_id=f"r{number}", deadline_ms=_TIMEOUT_MS, **extra)
            self.asks.append(asyncio.ensure_future(asking))
            await asyncio.sleep(_SPACING_SECONDS)

    async def ends(self) -> Counter[str]:
        """Wait for all responses; return how many were whole, and what became of the others."""
        answers = await asyncio.gather(*self.asks)
        return Counter(self._end(answer) for answer in answers)

    def _end(self, answer: Answer) -> str:
        if answer.status != 200:
            return f"status {answer.status}"
        if answer.headers.get("transfer-encoding") == "chunked":
            events = answer.body.count(b"\n\n")
            return "whole" if answer.headers.get("whole") and events == _EVENTS else "cut"
        return "whole"

    def failure_rates(self) -> dict[str, float]:
        """Return the failure rates that the first node has recorded, by engine."""
        views, now = self.nodes[0].node.views, asyncio.get_running_loop().time()
        return {engine.name: views.health.share(engine.name, now) for engine in self.engines}

    async def begun(self, count: int) -> None:
        """Wait until `count` runs have begun at the engines."""
        await eventually(lambda: sum(len(engine.ran) for engine in self.engines) >= count)
        await asyncio.sleep(0.1)


class TestStreams(SilentTargets):
    async def test_streams_are_not_cut_while_all_their_engines_are_silent(self) -> None:
        await self.start()
        await self.send("/chat/1", 30)
        await self.begun(30)
        for engine in self.engines:
            engine.fall_silent(_SILENT_SECONDS)
        self.assertEqual(await self.ends(), {"whole": 30})

    async def test_streams_are_not_cut_while_one_of_their_engines_is_silent(self) -> None:
        await self.start(nodes=3)
        await self.send("/chat/1", 60)
        await self.begun(60)
        self.engines[0].fall_silent(_SILENT_SECONDS)
        self.assertEqual(await self.ends(), {"whole": 60})

    async def test_streams_that_run_once_outlive_a_silence(self) -> None:
        await self.start()
        await self.send("/verdict/1", 30)
        await self.begun(30)
        for engine in self.engines:
            engine.fall_silent(_SILENT_SECONDS)
        self.assertEqual(await self.ends(), {"whole": 30})

    async def test_prompts_are_not_refused_while_all_engines_are_silent(self) -> None:
        await self.start()
        for engine in self.engines:
            engine.fall_silent(_SILENT_SECONDS)
        await self.send("/chat/1", 30)
        self.assertEqual(await self.ends(), {"whole": 30})

    async def test_a_silence_of_all_engines_is_no_failure_of_those_given_up_first(self) -> None:
        """Failure: prompts given up there counted, and later ones filled the other engines."""
        await self.start()
        for engine in self.engines:
            engine.fall_silent(_SILENT_SECONDS)
        await self.send("/chat/1", 12)
        self.assertEqual(await self.ends(), {"whole": 12})
        self.assertEqual(self.failure_rates(), dict.fromkeys(("e0", "e1", "e2"), 0.0))


class TestPlainRequests(SilentTargets):
    async def test_plain_requests_are_not_refused_while_all_targets_are_silent(self) -> None:
        await self.start(engines=0, plain=3)
        await self.send("/safe/1", 6)
        for target in self.plain:
            target.fall_silent(_SILENT_SECONDS)
        await self.send("/safe/1", 6)
        self.assertEqual(await self.ends(), {"whole": 12})
