"""A stream that ends with its connection is complete only if its target lives on.

Failure: an engine that ended between two events closed the connection of its answer, which had
neither a length nor chunks, and callers got a part of the stream as the whole.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_node.web.errors import ExchangeError
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .cut_network import Cut, CutNetwork
from .platform_fleet import Answer, FleetCase, RunningNode, ask, eventually, prompt
from .test_software_versions import _alive

_EVENTS = 5
_PAUSE_SECONDS = 0.05
_LONG = 30
"""Events of streams that last long enough for something to happen meanwhile."""


async def _end_and_crash(exchange: Any) -> None:
    """Send two events, end the answer as if it were complete, and end the process."""
    worker = exchange.worker
    worker.begin(exchange.request)
    await worker.stream(exchange.request, exchange.responder, exchange.request_id, 2)
    exchange.responder.end()
    worker.crash()


async def _stream_for_long(exchange: Any) -> None:
    """Send twice as many events as others do."""
    worker = exchange.worker
    worker.begin(exchange.request)
    last = 2 * worker.events
    await worker.stream(exchange.request, exchange.responder, exchange.request_id, last)
    exchange.responder.end()


async def _answer_half_and_crash(exchange: Any) -> None:
    """Send a part of an answer, end it as if it were complete, and end the process."""
    worker, responder = exchange.worker, exchange.responder
    worker.begin(exchange.request)
    responder.start(200, worker.head(exchange.request_id), None, chunked=False)
    responder.write(b"answer of")
    responder.end()
    worker.crash()


async def _answer_unframed(exchange: Any) -> None:
    """Send a whole answer that ends with its connection."""
    worker, responder = exchange.worker, exchange.responder
    worker.begin(exchange.request)
    responder.start(200, worker.head(exchange.request_id), None, chunked=False)
    responder.write(f"answer of {worker.name}".encode())
    responder.end()


class TestUnframedPlainAnswers(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        more = {"half-and-crash": _answer_half_and_crash, "unframed": _answer_unframed}
        faults = mock.patch.dict(standin.FAULTS, more)
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.workers = [
            await self.fleet.worker(Worker(name=f"p{number}"), "plain") for number in range(3)
        ]
        self.node = await self.fleet.node()

    async def test_an_answer_that_ends_with_its_target_is_asked_for_again(self) -> None:
        self.workers[0].faults = ["half-and-crash"]
        names = [worker.name for worker in self.workers]
        whole = {f"answer of {name}".encode() for name in names}
        for number in range(12):
            answer = await ask(self.node, "/safe/x", request_id=f"r{number}")
            self.assertEqual(answer.status, 200)
            self.assertIn(answer.body, whole)
        self.assertTrue(self.workers[0].closed)

    async def test_one_that_may_not_run_again_is_not_passed_on_as_whole(self) -> None:
        for worker in self.workers:
            worker.faults = ["half-and-crash"]
        answer = await ask(self.node, "/unsafe/x", request_id="r1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(worker.closed for worker in self.workers), 1)

    async def test_a_whole_answer_is_passed_on(self) -> None:
        for worker in self.workers:
            worker.faults = ["unframed"] * 4
        for number in range(6):
            answer = await ask(self.node, "/unsafe/x", request_id=f"r{number}")
            self.assertEqual((answer.status, answer.body[:9]), (200, b"answer of"))


class TestUnframedAnswers(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        faults = mock.patch.dict(standin.FAULTS, {"end-and-crash": _end_and_crash})
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.workers = []
        for number in range(2):
            worker = Worker(name=f"e{number}", events=_EVENTS)
            worker.unframed = True
            self.workers.append(await self.fleet.worker(worker, "engines"))
        self.node = await self.fleet.node()

    async def _ask(self, path: str) -> Answer:
        return await ask(self.node, path, **prompt())

    async def test_a_whole_stream_is_passed_on_as_whole(self) -> None:
        answer = await self._ask("/chat/x")
        self.assertEqual(answer.body.count(b"\n\n"), _EVENTS)
        self.assertEqual(answer.headers.get("whole"), "yes")

    async def test_a_stream_that_ends_with_its_target_goes_on_at_another_one(self) -> None:
        for worker in self.workers:
            worker.faults = ["end-and-crash"]
        # The route allows two sends: the first one ends with its target, the other goes on.
        self.workers[1].faults = []
        for number in range(6):
            answer = await ask(self.node, "/chat/x", request_id=f"r{number}", **prompt())
            self.assertEqual(answer.body.count(b"\n\n"), _EVENTS)
            self.assertEqual(answer.headers.get("whole"), "yes")
        self.assertTrue(self.workers[0].closed)

    async def test_a_stream_that_cannot_go_on_is_not_passed_on_as_whole(self) -> None:
        for worker in self.workers:
            worker.faults = ["end-and-crash"]
        answer = await self._ask("/verdict/x")
        self.assertEqual(answer.body.count(b"\n\n"), 2)
        self.assertIsNone(answer.headers.get("whole"))


class _FleetOfThree(FleetCase):
    """Three nodes, of which the first may be cut off, and engines whose streams end with their
    connections."""

    async def start(self, engines: int = 3) -> None:
        self.tolerate_pauses(2.0)
        faults = mock.patch.dict(standin.FAULTS, {"long": _stream_for_long})
        faults.start()
        self.addCleanup(faults.stop)
        for route in self.fleet.routes:
            route |= {"timeout-ms": 8000, "target-latency-ms": 1000}
        self.fleet.configure()
        self.engines = []
        for number in range(engines):
            engine = Worker(name=f"e{number}", events=_LONG, pause_seconds=_PAUSE_SECONDS)
            engine.unframed = True
            self.engines.append(await self.fleet.worker(engine, "engines"))
        self.network = CutNetwork(is_target=lambda a: a in self.fleet.addresses.values())
        self.addCleanup(self.network.close)
        self.nodes = [await self.fleet.node("n0", network=self.network)]
        for name in ("n1", "n2"):
            self.nodes.append(await self.fleet.node(name))
        for node in self.nodes:
            await eventually(lambda n=node: len(n.node.views.registry) == engines)
            await eventually(lambda n=node: _alive(n) == len(self.nodes) - 1)

    def ask_many(self, count: int, *, nodes: list[RunningNode]) -> list[asyncio.Task[Answer]]:
        """Begin streams, in turn on a route that may be resumed and on one that may not."""
        return [
            asyncio.ensure_future(
                ask(
                    nodes[number % len(nodes)],
                    "/verdict/x" if number // len(nodes) % 2 else "/chat/x",
                    request_id=f"r{number}",
                    deadline_ms=8000,
                    **prompt(X_Prompt_Prefix=f"p{number}:300,q{number}:50"),
                )
            )
            for number in range(count)
        ]

    async def check(self, streams: list[asyncio.Task[Answer]], *, cut: bool = True) -> None:
        """Check that each answer that looks whole is; and that some do not, if `cut`."""
        answers = await asyncio.gather(*streams)
        looks_whole = [a for a in answers if a.headers.get("whole") == "yes" and a.status == 200]
        self.assertEqual({a.body.count(b"\n\n") for a in looks_whole}, {_LONG})
        self.assertEqual(len(looks_whole) < len(answers), cut)


class TestLeavingEngine(_FleetOfThree):
    async def test_streams_of_an_engine_that_is_not_listed_any_more_do_not_end_as_whole(
        self,
    ) -> None:
        """Failure: other nodes carry no tunnel to an engine whose entry has gone, and their refusal
        passed for a sign of life."""
        await self.start()
        # The connections of the first node end at a relay, which lives on.
        streams = self.ask_many(18, nodes=self.nodes[1:])
        await eventually(lambda: len(self.engines[0].ran) >= 3)
        self.fleet.store.drop("servers", "e0")
        for node in self.nodes:
            await eventually(lambda n=node: n.node.views.registry.get("e0") is None)
        self.engines[0].crash()
        await self.check(streams)

    async def test_streams_that_an_engine_finishes_without_listening_are_whole(self) -> None:
        """Failure if each engine that accepts no connections counts as ended."""
        await self.start(engines=1)
        streams = self.ask_many(6, nodes=self.nodes[1:2])
        await eventually(lambda: len(self.engines[0].ran) == 6)
        self.engines[0].faults = ["long"]
        longer = self.ask_many(1, nodes=self.nodes[1:2])
        await eventually(lambda: len(self.engines[0].ran) == 7)
        self.fleet.store.drop("servers", "e0")
        await eventually(lambda: self.nodes[1].node.views.registry.get("e0") is None)
        self.engines[0]._server.stop_accepting()
        await self.check(streams, cut=False)
        longer[0].cancel()


class TestKilledCarrier(_FleetOfThree):
    async def test_streams_do_not_end_as_whole_with_the_node_that_carries_them(self) -> None:
        """Failure: the end of a tunnel, closed in order by a kernel, passed for that of a stream,
        since its engine lived on."""
        await self.start()
        self.network.cut(Cut.REFUSED)
        await asyncio.sleep(1.0)
        streams = self.ask_many(12, nodes=self.nodes[:1])
        await eventually(lambda: sum(len(engine.ran) for engine in self.engines) >= 10)
        await asyncio.sleep(0.3)
        carrier = max(self.nodes[1:], key=lambda node: node.node._tunnels.count)
        self.assertGreater(carrier.node._tunnels.count, 0)
        tunnels = carrier.node._tunnels
        tunnels.stop_accepting()
        for side in list(tunnels._carried):
            side.finish()
        # The rest of the node goes once the connections have been closed in order.
        await eventually(lambda: tunnels.count == 0)
        carrier.kill()
        await self.check(streams)


class TestUnknownEnd(_FleetOfThree):
    async def test_a_stream_whose_end_cannot_be_confirmed_is_not_whole(self) -> None:
        """Failure: not to know whether an engine has ended counted as that it lives on."""
        await self.start()
        node = self.nodes[1]
        streams = self.ask_many(4, nodes=[node])
        await eventually(lambda: sum(len(engine.ran) for engine in self.engines) == 4)
        error = ExchangeError("no answer", sent=False, reason="connect", connect_timed_out=True)
        with mock.patch.object(node.node._paths, "ask", side_effect=error):
            answers = await asyncio.gather(*streams)
        for answer in answers:
            self.assertNotEqual(answer.headers.get("whole"), "yes")
