"""A send without progress and its replacement: which of them goes on, and how both end."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fielddrift_core.stalls import MAX_OVERLAP_SECONDS, prefers_replacement
from fielddrift_node.serving.generation import Generation
from fielddrift_node.serving.takeover import Takeover
from fielddrift_standins.worker import Worker

from .platform_fleet import Answer, FleetCase, RunningNode, ask, eventually, prompt, request

_TIMEOUT_MS = 8000
_TWO_ENGINES_SECONDS = 0.4
"""Time for which work at two engines is allowed."""


class TestPreference(unittest.TestCase):
    def test_the_latest_sign_of_life_decides_and_else_the_shorter_silence(self) -> None:
        for replacement, current, expected in (
            (None, None, True),
            (None, 9.0, True),
            (11.0, 9.0, True),
            (11.0, 12.0, True),
            (9.0, 11.0, False),
            (None, 11.0, False),
        ):
            with self.subTest(replacement=replacement, current=current):
                found = prefers_replacement(
                    written_at=10.0, replacement_heard_at=replacement, current_heard_at=current
                )
                self.assertIs(found, expected)


class TestTakeover(FleetCase):
    async def start(self, service: str, workers: list[Worker]) -> RunningNode:
        """Start workers, and a node whose routes have a long time-out."""
        for each in self.fleet.routes:
            each["timeout-ms"] = _TIMEOUT_MS
        self.fleet.configure()
        self.workers = workers
        for worker in workers:
            await self.fleet.worker(worker, service)
        self.node = await self.fleet.node()
        return self.node

    def engines(self, count: int = 2, **options: float) -> list[Worker]:
        return [
            Worker(name=f"e{n}", events=12, **options)  # type: ignore[arg-type]
            for n in range(count)
        ]

    def ask(self, path: str) -> asyncio.Task[Answer]:
        extra = prompt() if path.startswith("/chat") else {}
        return asyncio.ensure_future(ask(self.node, path, deadline_ms=_TIMEOUT_MS, **extra))

    async def first_and_other(self) -> tuple[Worker, Worker]:
        """Return the worker that has begun to run a request, and another one."""
        await eventually(lambda: any(worker.ran for worker in self.workers))
        first = next(worker for worker in self.workers if worker.ran)
        return first, next(worker for worker in self.workers if worker is not first)

    # An idle engine sends nothing before its first event, and was taken for silent.

    async def test_a_prompt_goes_on_at_an_idle_engine_if_its_own_one_hangs(self) -> None:
        await self.start("engines", self.engines(pause_seconds=0.1, work_seconds=0.5))
        asking = self.ask("/chat/1")
        first, _ = await self.first_and_other()
        first.fall_silent(60.0)
        answer = await asking
        self.assertEqual((answer.status, answer.body.count(b"\n\n")), (200, 12))

    async def test_a_stream_goes_on_at_an_idle_engine_if_its_own_one_hangs(self) -> None:
        await self.start("engines", self.engines(pause_seconds=0.1))
        asking = self.ask("/chat/1")
        first, other = await self.first_and_other()
        other.work_seconds = 0.5
        await asyncio.sleep(0.25)
        first.fall_silent(60.0)
        answer = await asking
        self.assertEqual((answer.headers.get("whole"), answer.body.count(b"\n\n")), ("yes", 12))

    async def test_two_engines_run_a_prompt_for_a_short_time_only(self) -> None:
        await self.start("engines", self.engines(pause_seconds=0.1))
        asking = self.ask("/chat/1")
        first, other = await self.first_and_other()
        other.work_seconds = 2 * MAX_OVERLAP_SECONDS
        first.fall_silent(60.0)
        await eventually(lambda: other.ran)
        began = asyncio.get_running_loop().time()
        await eventually(lambda: first.left)
        seconds = asyncio.get_running_loop().time() - began
        self.assertLess(seconds, _TWO_ENGINES_SECONDS)
        self.assertEqual((await asking).status, 200)

    # An error of the replacement ended the send before it, which still worked.

    async def test_an_error_of_a_plain_replacement_is_not_passed_on(self) -> None:
        workers = [Worker(name=f"p{n}", work_seconds=0.8) for n in range(2)]
        await self.start("plain", workers)
        asking = self.ask("/safe/1")
        _, other = await self.first_and_other()
        other.faults = ["error"]
        self.assertEqual((await asking).status, 200)

    async def test_an_error_of_a_prompt_s_replacement_is_not_passed_on(self) -> None:
        await self.start("engines", self.engines(work_seconds=1.6))
        asking = self.ask("/chat/1")
        _, other = await self.first_and_other()
        other.faults = ["error"]
        self.assertEqual((await asking).status, 200)

    async def test_both_sends_end_when_the_caller_leaves(self) -> None:
        workers = [Worker(name=f"p{n}", work_seconds=5.0) for n in range(2)]
        node = await self.start("plain", workers)
        host, _, port = node.settings.entry.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request("/safe/1", deadline_ms=_TIMEOUT_MS))
        await eventually(lambda: all(worker.ran for worker in workers))
        writer.close()
        await eventually(lambda: all(worker.left for worker in workers), 0.5)
        views = node.node.views
        running = [views.workload.own_of(worker.name).running for worker in workers]
        self.assertEqual((running, views.movable_sends), ([0, 0], {}))

    async def test_a_run_is_ended_if_its_caller_leaves_as_its_first_event_arrives(self) -> None:
        """Failure: a task that is done cannot be cancelled, and its run was left open."""
        node = await self.start("engines", self.engines(1, pause_seconds=0.3))
        handlers: list[asyncio.Task[None] | None] = []
        result, record = Takeover.result, Generation._record_reported_weights

        async def result_of(takeover, first):
            handlers.append(asyncio.current_task())
            return await result(takeover, first)

        def cancel_handler(generation, *arguments):
            record(generation, *arguments)
            handlers[0].cancel()

        with (
            mock.patch.object(Takeover, "result", result_of),
            mock.patch.object(Generation, "_record_reported_weights", cancel_handler),
        ):
            asking = self.ask("/chat/1")
            await eventually(lambda: handlers and handlers[0].done())
        asking.cancel()
        (engine,) = self.workers
        await eventually(lambda: engine.left, 1.0)
        self.assertEqual(node.node.views.workload.own_of(engine.name).running, 0)
