"""State of one try, connection or request on the platform does not decide over the next one.

It was kept in an object that outlives it: a cutter of events, a kept connection, a
caller's connection, a feed, a line, a count.  Each test tells what a caller or an
operator saw.  `test_left_behind.py` has such places of the node's own interface.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fielddrift_core.engine_memory import EngineMemory
from fielddrift_core.prompt import Part
from fielddrift_core.prompt_queue import PromptQueue, WaitingPrompt
from fielddrift_core.stream import EventFramer
from fielddrift_node.serving.ports import TargetChanges
from fielddrift_node.web.client import Client, Timeouts, _Connection
from fielddrift_node.web.messages import Headers
from fielddrift_standins import worker as standin
from fielddrift_standins.deployment import route
from fielddrift_standins.worker import Worker
from structlog.testing import capture_logs

from .platform_fleet import HOST, FleetCase, ask, eventually, free_port, prompt, request
from .target_views import TargetFleet, ViewNode

_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_BODY = b"the whole answer"
_GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_BODY) + _BODY
_EVENTS = 5
_BUFFER = 256 * 1024
"""Bytes of an answer that wait for a slow reader, as the client has it."""


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _end(count: int) -> bytes:
    return b'event: end\nid: %d\ndata: {"count": %d}\n\n' % (count + 1, count)


# --- faults of engines that only these tests need ------------------------------


async def _repeat_named(exchange: Any) -> None:
    """Send the event that the request names once more, then go on behind it."""
    worker = exchange.worker
    worker.begin(exchange.request)
    after = int(exchange.request.head.headers.text(b"last-event-id") or 0)
    fields = Headers([*worker.head(exchange.request_id), (b"Content-Type", b"text/event-stream")])
    exchange.responder.start(200, fields, None)
    for number in range(max(1, after), worker.events + 1):
        exchange.responder.write(_event(number))
    exchange.responder.end()


async def _cut_plain(exchange: Any) -> None:
    """Break off an answer that is no stream, and has a length."""
    worker = exchange.worker
    worker.begin(exchange.request)
    exchange.responder.start(200, worker.head(exchange.request_id), 100)
    exchange.responder.write(b"half of the answer")
    await asyncio.sleep(0.05)
    exchange.responder.cut()


async def _late_without_id(exchange: Any) -> None:
    """Send an event with an id and one without, and break off."""
    worker = exchange.worker
    worker.begin(exchange.request)
    fields = Headers([*worker.head(exchange.request_id), (b"Content-Type", b"text/event-stream")])
    exchange.responder.start(200, fields, None)
    exchange.responder.write(_event(1))
    await asyncio.sleep(0.02)
    exchange.responder.write(b"data: token 2\n\n")
    await asyncio.sleep(0.02)
    exchange.responder.cut()


_FAULTS: dict[str, Callable[[Any], Any]] = {
    "repeat-named": _repeat_named,
    "cut-plain": _cut_plain,
    "late-without-id": _late_without_id,
}


class EnginesCase(FleetCase):
    """Two engines that fail by one list, whichever of them a request reaches."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        faults = mock.patch.dict(standin.FAULTS, _FAULTS)
        faults.start()
        self.addCleanup(faults.stop)
        more = {"allow-resume": True, "max-attempts": 3}
        self.fleet.routes.append(route("long", "engines", "streaming", **more))
        self.tolerate_pauses(2.0)
        self.faults: list[str] = []
        self.workers = [Worker(name=f"e{n}", events=_EVENTS) for n in range(1, 3)]
        for worker in self.workers:
            worker.faults = self.faults
            await self.fleet.worker(worker, "engines")
        self.node = await self.fleet.node()
        await eventually(lambda: len(self.node.node.views.registry) == len(self.workers))

    def _runs(self) -> list[Any]:
        return [ran for worker in self.workers for ran in worker.ran]


# --- the platform's path -------------------------------------------------------


class CallersOwnResumeTest(EnginesCase):
    """A caller takes an answer up again, after its own connection broke."""

    async def test_a_caller_that_has_every_event_gets_the_end(self) -> None:
        """Only the end was lost: the engine has nothing more to send, and is right."""
        answer = await ask(self.node, "/long/x", Last_Event_Id=f"{_EVENTS}", **prompt())
        self.assertEqual((answer.status, answer.body), (200, b""))
        self.assertEqual(len(self._runs()), 1)

    async def test_an_engine_that_did_right_is_not_taken_for_failing(self) -> None:
        await ask(self.node, "/long/x", Last_Event_Id=f"{_EVENTS}", **prompt())
        views = self.node.node.views
        now = asyncio.get_running_loop().time()
        self.assertEqual([views.health.share(w.name, now) for w in self.workers], [0.0, 0.0])

    async def test_an_event_that_the_caller_named_does_not_come_again(self) -> None:
        self.faults[:] = ["repeat-named"]
        answer = await ask(self.node, "/long/x", Last_Event_Id="2", **prompt())
        self.assertEqual(answer.body, b"".join(_event(n) for n in range(3, _EVENTS + 1)))


class BrokenAnswersTest(EnginesCase):
    async def test_an_event_without_an_id_behind_others_does_not_come_again(self) -> None:
        """The next run begins behind the last id, and gives what followed it once more."""
        self.faults[:] = ["late-without-id"]
        answer = await ask(self.node, "/long/x", **prompt())
        self.assertEqual(answer.body.count(b"data: token 2\n"), 1, answer.body)

    async def test_an_answer_with_a_length_that_breaks_off_is_the_engines_failure(self) -> None:
        self.faults[:] = ["cut-plain"]
        with capture_logs() as lines:
            await ask(self.node, "/verdict/x", **prompt())
        events = [line["event"] for line in lines if line.get("request") == "r1"]
        self.assertNotIn("request failed", events)
        (name,) = [worker.name for worker in self.workers if worker.ran]
        share = self.node.node.views.health.share(name, asyncio.get_running_loop().time())
        self.assertGreater(share, 0.0)

    async def test_a_save_that_a_refused_send_was_to_make_goes_to_the_next(self) -> None:
        """An engine that turned the prompt away saves nothing of it, and holds nothing."""
        await eventually(lambda: all(v.is_known for v in self.node.node.views.store_index.views))
        self.faults[:] = ["shed"]
        await ask(self.node, "/long/x", **prompt())
        (ran,) = self._runs()
        self.assertIn(self.fleet.kv_address, ran.headers.get("x-kv-save", ""))

    async def test_an_engine_that_turned_a_prompt_away_is_not_taken_to_hold_it(self) -> None:
        self.faults[:] = ["shed"]
        await ask(self.node, "/long/x", **prompt())
        (ran,) = [worker.name for worker in self.workers if worker.ran]
        (shed,) = [worker.name for worker in self.workers if worker.name != ran]
        self.assertEqual(self.node.node.views.memory.parts(shed, "m.1."), frozenset())


class SameIdTest(EnginesCase):
    async def test_two_requests_of_one_id_are_counted_apart(self) -> None:
        """Callers choose ids: the end of one took the other's load away."""
        self.fleet.enter("e2", "engines", state="draining")
        views = self.node.node.views
        await eventually(lambda: [i.name for i in views.registry.serving("engines")] == ["e1"])
        self.workers[0].pause_seconds = 0.1
        asked = []
        for number in (1, 2):
            asked.append(asyncio.ensure_future(ask(self.node, "/long/x", **prompt())))
            await eventually(lambda number=number: len(self._runs()) == number)
            await asyncio.sleep(0.2)
        await asked[0]
        self.assertFalse(asked[1].done())
        (burden,) = views.workload.own().values()
        self.assertEqual(burden.running, 1)
        await asked[1]


class RefusedSendTest(unittest.TestCase):
    def test_what_another_prompt_brought_is_not_taken_back(self) -> None:
        """One prompt was turned away; the other, sent meanwhile, runs and holds the part."""
        memory, part = EngineMemory(), Part("aa", 100)
        first, _ = (memory.sent("e1", "m.1.", [part], 40_000) for _ in range(2))
        memory.undo_send("e1", "m.1.", ["aa"], send=first)
        self.assertEqual(memory.parts("e1", "m.1."), {"aa"})


class JoinedEventsTest(unittest.TestCase):
    """Events joined of the bytes of two are counted: docs/METRICS.md says to alert on it."""

    def test_an_event_joined_inside_its_id_is_counted(self) -> None:
        """A run broke off behind 6 bytes of its event; the next run's event came behind them."""
        cutter = EventFramer()
        cutter.feed(b"id: 39" + b"id: 39\ndata: token 39\n\n")
        self.assertEqual(cutter.odd, 1)

    def test_an_event_joined_inside_its_data_is_counted(self) -> None:
        cutter = EventFramer()
        cutter.feed(b"id: 1\ndata: tok" + _event(1))
        self.assertEqual(cutter.odd, 1)

    def test_an_event_without_an_id_does_not_hide_a_joined_one(self) -> None:
        cutter = EventFramer()
        cutter.feed(b"data: x\n\n" + _event(1)[:-1] + _event(2))
        self.assertEqual(cutter.odd, 1)


class LineTest(unittest.TestCase):
    def test_a_prompt_that_leaves_takes_no_other_one_along(self) -> None:
        """Two callers chose one id, or one sent again while its first connection hung."""
        line = PromptQueue()
        first, second = WaitingPrompt("r1", 1, 5.0, 100), WaitingPrompt("r1", 1, 6.0, 100)
        line.add(first)
        line.add(second)
        self.assertIs(line.head(), first)
        line.remove(first)
        self.assertIs(line.head(), second)


# --- connections ----------------------------------------------------------------


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.asked = 0
        port = free_port()
        self.address = f"{HOST}:{port}"
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.client = Client()

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the first request with a little more than is buffered, others shortly."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.asked += 1
                if self.asked > 1:
                    writer.write(_GOOD)
                    continue
                size = _BUFFER + 1000
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                writer.write(b"x" * _BUFFER)
                await writer.drain()
                await asyncio.sleep(0.1)
                writer.write(b"x" * 1000)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def test_a_slow_reader_of_one_answer_does_not_hold_up_the_next(self) -> None:
        """The connection is at rest when the answer is whole, but is read no further."""
        slow = await self.client.begin(self.address, _REQUEST, connect_seconds=2.0)
        await eventually(lambda: slow.complete)
        reply = await self.client.call(self.address, _REQUEST, timeouts=Timeouts(2.0, 1.0))
        self.assertEqual(reply.body, _BODY)

    async def test_a_connect_that_is_given_up_is_counted_once(self) -> None:
        """A count that is too low lets a target get more connections than it takes."""
        held = await self.client.begin(self.address, _REQUEST, connect_seconds=2.0)
        begun: asyncio.Task[Any] | None = None
        made = _Connection.connection_made

        def given_up(connection: _Connection, transport: asyncio.BaseTransport) -> None:
            """Leave in the moment in which the connection comes up."""
            made(connection, transport)
            assert begun is not None
            begun.cancel()

        with mock.patch.object(_Connection, "connection_made", given_up):
            begun = asyncio.ensure_future(
                self.client.begin(self.address, _REQUEST, connect_seconds=2.0)
            )
            await asyncio.gather(begun, return_exceptions=True)
            await asyncio.sleep(0.05)
        self.assertTrue(begun.cancelled())
        self.assertEqual(self.client._open_counts, {self.address: 1})
        held.cancel()


class CallersConnectionTest(EnginesCase):
    async def test_a_request_behind_does_not_write_into_the_answer_before_it(self) -> None:
        """ "100 Continue" for the second request went out between the first one's chunks."""
        for worker in self.workers:
            worker.pause_seconds = 0.1
        host, _, port = self.node.settings.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request("/long/x", Connection="", **prompt()))
        got = await reader.readuntil(_event(2))
        writer.write(request("/long/x", request_id="r2", Expect="100-continue", **prompt()))
        got += await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        self.assertNotIn(b"100 Continue", got)


# --- feeds and rows ----------------------------------------------------------------


class ReadingBeforeAPauseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_reading_from_before_a_pause_is_not_the_one_after_it(self) -> None:
        """`read_now` asks for a reading at once; the end of the one under way cleared that."""
        node = ViewNode(name="node-1", boot=1, fleet=mock.Mock(spec=TargetFleet))
        calls: list[asyncio.Future[TargetChanges]] = []

        async def news(after: int | None) -> TargetChanges:
            calls.append(asyncio.get_running_loop().create_future())
            return await calls[-1]

        node.feed._platform = SimpleNamespace(target_changes=news)  # type: ignore[assignment]
        running = asyncio.ensure_future(node.feed.run())
        self.addCleanup(running.cancel)
        await eventually(lambda: len(calls) == 1)
        node.feed.read_now()
        calls[0].set_result(TargetChanges((), (), 1, whole=True))
        await asyncio.sleep(0.05)
        self.assertEqual(len(calls), 2)
