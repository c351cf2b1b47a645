"""The process behind a connection is found out in whatever order entries and processes come.

Failures: a report of an earlier process, or an invalid start time, marked the process that the
entry tells of as replaced.  It got no requests until it started again.  A target that once refused
the question was not asked any more, so that the process after it was taken for it.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any
from unittest import mock

from fielddrift_core.target_registry import Instance
from fielddrift_node.web.messages import Headers, Reply, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer
from fielddrift_platform.targets import PlatformTargets
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .platform_fleet import ask, prompt
from .test_targets_restarted_in_place import RestartCase

_SERVED = 200


def _refuse_reports(worker: Worker, *, count: int = 1_000_000) -> None:
    """Let a worker answer 503 to its next reports, as a full one does to requests."""
    handle = worker._handle
    left = count

    async def refuse(request: Any, responder: Any) -> None:
        nonlocal left
        if request.head.target != b"/report" or left == 0:
            await handle(request, responder)
            return
        left -= 1
        responder.send(503, Headers([(b"X-Not-Executed", b"1")]), b"")

    worker._server._handler = refuse


async def _part_and_restart(exchange: Any) -> None:
    """Send two events of a stream, end, and let the worker start again in place at once."""
    worker, responder = exchange.worker, exchange.responder
    worker.begin(exchange.request)
    await worker.stream(exchange.request, responder, exchange.request_id, 2)
    responder.end()
    # What was written has left before the connection is closed.
    await asyncio.sleep(0)
    worker.crash()


class TestAnswers(RestartCase):
    def _judge(self, body: bytes) -> ProcessAnswer:
        targets = PlatformTargets(client=mock.Mock())
        check = targets.process_check(Instance("t#5", "s", "h:1", "a"))
        return check.judge(Reply(ResponseHead(200, Headers(), len(body), True), body))

    async def test_only_a_later_start_is_that_of_a_process_which_replaced_the_expected_one(
        self,
    ) -> None:
        self.assertIs(self._judge(b'{"born": 6}'), ProcessAnswer.OTHER)
        self.assertIs(self._judge(b'{"born": 5.0}'), ProcessAnswer.EXPECTED)
        self.assertIs(self._judge(b'{"born": 4}'), ProcessAnswer.FORMER)

    async def test_an_invalid_start_tells_nothing(self) -> None:
        for born in (-1, 5.5, "5", None, [], 1e300):
            answer = self._judge(json.dumps({"born": born}).encode())
            expected = {1e300: ProcessAnswer.OTHER, None: ProcessAnswer.UNIDENTIFIED}
            known = born is None or born == 1e300
            self.assertIs(answer, expected[born] if known else ProcessAnswer.REFUSED, born)


class TestEntryBeforeProcess(RestartCase):
    async def test_a_process_whose_entry_came_before_it_serves(self) -> None:
        await self.start(nodes=2, engines=1, versions=("v1",))
        engine = self.engines[0]
        assert engine.started is not None
        born = engine.started
        engine.started = born + 1
        self.fleet.enter(engine.name, "engines")
        await self.known()
        engine.started = born
        for number, node in enumerate(self.nodes):
            answer = await ask(node, "/chat/1", request_id=f"r{number}", **prompt())
            self.assertNotEqual(answer.status, _SERVED)
        self.assertEqual(engine.arrivals, [])
        again = await self.restart(engine, "v2")
        self.assertEqual(again.started, born + 1)
        for number, node in enumerate(self.nodes):
            answer = await ask(node, "/chat/1", request_id=f"s{number}", **prompt())
            self.assertEqual(answer.status, _SERVED)


class TestRefusedQuestions(RestartCase):
    async def test_a_target_that_refused_the_question_once_is_asked_again(self) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        _refuse_reports(self.engines[0], count=1)
        self.assertEqual(await self._status("r1"), _SERVED)
        again = await self.restart(self.engines[0], "v2")
        self.assertNotEqual(await self._status("r2"), _SERVED)
        self.assertEqual(again.arrivals, [])

    async def test_a_process_that_refuses_the_question_is_not_taken_for_the_one_before(
        self,
    ) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        self.assertEqual(await self._status("r1"), _SERVED)
        again = await self.restart(self.engines[0], "v2")
        _refuse_reports(again)
        self.assertNotEqual(await self._status("r2"), _SERVED)
        self.assertEqual(again.arrivals, [])

    async def test_a_target_that_always_refuses_the_question_serves(self) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        _refuse_reports(self.engines[0])
        for number in range(3):
            self.assertEqual(await self._status(f"r{number}"), _SERVED)

    async def test_a_target_that_refuses_the_question_later_serves_on_kept_connections(
        self,
    ) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        self.assertEqual(await self._status("r1"), _SERVED)
        _refuse_reports(self.engines[0])
        self.assertEqual(await self._status("r2"), _SERVED)

    async def _status(self, request_id: str) -> int:
        return (await ask(self.nodes[0], "/chat/1", request_id=request_id, **prompt())).status


class TestEnds(RestartCase):
    async def test_a_part_is_not_whole_because_the_next_process_refuses_the_question(self) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        faults = mock.patch.dict(standin.FAULTS, {"part-and-restart": _part_and_restart})
        faults.start()
        self.addCleanup(faults.stop)
        engine = self.engines[0]
        await ask(self.nodes[0], "/verdict/1", request_id="r1", **prompt())
        restarts: list[asyncio.Task[None]] = []
        engine.unframed, engine.faults = True, ["part-and-restart"]
        engine.crashed = lambda e: restarts.append(asyncio.ensure_future(self._listen(e)))
        answer = await ask(self.nodes[0], "/verdict/1", request_id="r2", **prompt())
        self.assertEqual(answer.body.count(b"\n\n"), 2)
        self.assertNotEqual(answer.headers.get("whole"), "yes")
        await asyncio.gather(*restarts)
        self.assertTrue(restarts)

    async def test_a_whole_response_of_a_target_that_refuses_the_question_is_passed_on(
        self,
    ) -> None:
        await self.start(nodes=1, engines=1, versions=("v1",))
        engine = self.engines[0]
        engine.events = 2
        asks = [
            ask(self.nodes[0], "/verdict/1", request_id=f"r{number}", **prompt())
            for number in range(2)
        ]
        answers = await asyncio.gather(*asks)
        self.assertEqual({answer.headers.get("whole") for answer in answers}, {"yes"})
        _refuse_reports(engine)
        engine.unframed = True
        answer = await ask(self.nodes[0], "/verdict/1", request_id="r2", **prompt())
        self.assertEqual(answer.headers.get("whole"), "yes")

    async def _listen(self, engine: Worker) -> None:
        again = engine.restarted(software="v1")
        _refuse_reports(again)
        host, _, port = self.fleet.addresses[engine.name].rpartition(":")
        self.fleet.workers[again.name] = again
        await again.start(host, int(port))
