"""A response that ends with its connection is judged by the process that sent it, by no other.

Failure: a target ended inside a response without a length, and another process began to listen at
its address before the node asked.  The node took that one for the target, and the part for the
whole response.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import Any
from unittest import mock

from fielddrift_core.target_registry import Instance
from fielddrift_node.web.messages import Headers, Reply, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer
from fielddrift_platform.targets import PlatformTargets
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .cut_network import Cut
from .platform_fleet import FleetCase, ask, eventually, prompt
from .test_unframed_answers import _answer_unframed, _FleetOfThree

_EVENTS = 5
_PART = b"answer of"


async def _part_and_restart(exchange: Any) -> None:
    """Send a part of a response, end, and let another process listen at the address at once."""
    worker, responder = exchange.worker, exchange.responder
    worker.begin(exchange.request)
    if worker.events:
        await worker.stream(exchange.request, responder, exchange.request_id, 2)
    else:
        responder.start(200, worker.head(exchange.request_id), None, chunked=False)
        responder.write(_PART)
    responder.end()
    # What was written has left before the connection is closed.
    await asyncio.sleep(0)
    worker.crash()


class _RestartingTargets(FleetCase):
    """Targets of one service that start again at their addresses as soon as they have ended."""

    async def start(self, service: str, *, events: int = 0) -> None:
        faults = mock.patch.dict(standin.FAULTS, {"part-and-restart": _part_and_restart})
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.workers = []
        self.restarts: list[asyncio.Task[None]] = []
        for number in range(2):
            worker = Worker(name=f"t{number}", events=events)
            worker.unframed = True
            worker.crashed = self._restart
            worker.faults = ["part-and-restart"]
            self.workers.append(await self.fleet.worker(worker, service))
        self.node = await self.fleet.node()

    def _restart(self, worker: Worker) -> None:
        async def restart() -> None:
            again = worker.successor()
            host, _, port = self.fleet.addresses[worker.name].rpartition(":")
            self.fleet.workers[again.name] = again
            await again.start(host, int(port))

        self.restarts.append(asyncio.ensure_future(restart()))

    async def check_restarted(self) -> None:
        await asyncio.gather(*self.restarts)
        self.assertTrue(self.restarts)


class TestPlainResponses(_RestartingTargets):
    async def test_a_part_is_not_whole_because_another_process_listens(self) -> None:
        await self.start("plain")
        for number in range(2):
            answer = await ask(self.node, "/unsafe/x", request_id=f"r{number}")
            self.assertNotEqual(answer.body, _PART)
            self.assertEqual(answer.status, 502)
        await self.check_restarted()

    async def test_a_part_is_asked_for_again_where_that_is_allowed(self) -> None:
        await self.start("plain")
        self.workers[1].faults = []
        for number in range(6):
            answer = await ask(self.node, "/safe/x", request_id=f"r{number}")
            self.assertNotEqual(answer.body, _PART)
        await self.check_restarted()


class TestStreams(_RestartingTargets):
    async def test_a_stream_goes_on_elsewhere_though_another_process_listens(self) -> None:
        await self.start("engines", events=_EVENTS)
        self.workers[1].faults = []
        for number in range(6):
            answer = await ask(self.node, "/chat/x", request_id=f"r{number}", **prompt())
            if answer.headers.get("whole") == "yes":
                self.assertEqual(answer.body.count(b"\n\n"), _EVENTS)
        await self.check_restarted()

    async def test_a_stream_that_may_not_go_on_does_not_end_as_whole(self) -> None:
        await self.start("engines", events=_EVENTS)
        answer = await ask(self.node, "/verdict/x", **prompt())
        self.assertEqual(answer.body.count(b"\n\n"), 2)
        self.assertNotEqual(answer.headers.get("whole"), "yes")
        await self.check_restarted()


class TestRestartedCarrier(_FleetOfThree):
    async def test_streams_do_not_end_as_whole_with_a_carrier_that_is_back_at_once(self) -> None:
        """Failure: the node that carried a stream was killed and started again before it was asked
        whether it lives, and the end of the tunnel passed for that of the stream."""
        await self.start()
        self.network.cut(Cut.REFUSED)
        await asyncio.sleep(1.0)
        streams = self.ask_many(12, nodes=self.nodes[:1])
        await eventually(lambda: sum(len(engine.ran) for engine in self.engines) >= 10)
        await asyncio.sleep(0.3)
        for carrier in self.nodes[1:]:
            tunnels = carrier.node._tunnels
            # The new process listens at the same address, and reaches the targets as well.
            tunnels._process = secrets.token_hex(8)
            for side in list(tunnels._carried):
                side.finish()
        await self.check(streams)


class TestIdentity(FleetCase):
    def _answer(self, status: int, body: bytes = b"", **fields: str) -> ProcessAnswer:
        headers = Headers(
            (name.replace("_", "-").encode(), text.encode()) for name, text in fields.items()
        )
        head = ResponseHead(status, headers, len(body), True)
        instance = Instance("t#5", "s", "h:1", "a")
        targets = PlatformTargets(client=mock.Mock())
        return targets.process_check(instance).judge(Reply(head, body))

    async def test_a_process_is_known_by_the_id_that_it_tells(self) -> None:
        unidentified, other = ProcessAnswer.UNIDENTIFIED, ProcessAnswer.OTHER
        self.assertIs(self._answer(200, X_Instance_Id="t"), ProcessAnswer.REFUSED)
        self.assertIs(self._answer(503, X_Instance_Id="t"), ProcessAnswer.REFUSED)
        self.assertIs(self._answer(200, X_Instance_Id="u"), other)
        self.assertIs(self._answer(421), other)
        self.assertIs(self._answer(421, X_Instance_Id="t"), ProcessAnswer.UNKNOWN)
        self.assertIs(self._answer(200, b"{}"), unidentified)
        # A target without reports, and a full one.
        self.assertIs(self._answer(404), unidentified)
        self.assertIs(self._answer(503), ProcessAnswer.REFUSED)
        self.assertIs(self._answer(200, b'{"born": 5}'), ProcessAnswer.EXPECTED)
        self.assertIs(self._answer(200, b'{"born": 6}'), other)

    async def test_a_late_answer_to_a_request_does_not_tell_who_is_there(self) -> None:
        late = self._answer(200, X_Instance_Id="t", X_Request_Id="r")
        self.assertIs(late, ProcessAnswer.UNKNOWN)


class _FullTarget(Worker):
    """A target without free slots: it refuses questions, or lets them wait, as it does requests."""

    seconds = 0.0

    async def _handle(self, request: Any, responder: Any) -> None:
        if request.head.target in (b"/healthz", b"/report"):
            await asyncio.sleep(self.seconds)
            responder.send(503, Headers([(b"X-Not-Executed", b"1")]), b"")
            return
        await super()._handle(request, responder)


class TestFullTarget(FleetCase):
    async def check(self, *, seconds: float) -> None:
        target = _FullTarget(name="t0")
        target.seconds = seconds
        await self.fleet.worker(target, "plain")
        node = await self.fleet.node()
        requests = {"/unsafe/a": "unframed", "/unsafe/b": "unframed"}
        faults = mock.patch.dict(standin.FAULTS, {"unframed": _answer_unframed})
        faults.start()
        self.addCleanup(faults.stop)
        target.faults = list(requests.values())
        answers = await asyncio.gather(*(ask(node, path, request_id=path) for path in requests))
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_a_whole_response_of_a_target_that_refuses_questions_is_passed_on(self) -> None:
        await self.check(seconds=0.0)
