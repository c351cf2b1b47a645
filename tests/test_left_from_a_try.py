"""State of one attempt, connection or request on the platform does not affect the next one.

Failure: the state was held in an object that outlives the attempt, such as an event framer, a
pooled connection, a caller's connection, a feed, a queue or a counter.  Each test checks what
a caller or an operator sees.  `test_left_behind.py` covers such state of the node's own
interface.
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
from fielddrift_node.web.client import Client, Timeouts
from fielddrift_node.web.connection import Connection
from fielddrift_node.web.messages import Headers
from fielddrift_standins import worker as standin
from fielddrift_standins.deployment import route
from fielddrift_standins.worker import Worker
from structlog.testing import capture_logs

from .platform_fleet import HOST, FleetCase, ask, eventually, free_port, prompt, request
from .target_views import TargetFleet, ViewNode

_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_BODY = b"the whole answer"
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_BODY) + _BODY
_EVENTS = 5
_BUFFER_BYTES = 256 * 1024
"""The number of bytes of a response that the client buffers for a slow reader."""


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _end(count: int) -> bytes:
    return b'event: end\nid: %d\ndata: {"count": %d}\n\n' % (count + 1, count)


# --- faults of engines that only these tests use -------------------------------


async def _repeat_named(exchange: Any) -> None:
    """Repeat the event that the request names as its last, then send those after it."""
    worker = exchange.worker
    worker.begin(exchange.request)
    after = int(exchange.request.head.headers.text(b"last-event-id") or 0)
    fields = Headers([*worker.head(exchange.request_id), (b"Content-Type", b"text/event-stream")])
    exchange.responder.start(200, fields, None)
    for number in range(max(1, after), worker.events + 1):
        exchange.responder.write(_event(number))
    exchange.responder.end()


async def _cut_plain(exchange: Any) -> None:
    """Cut a response that has a length and is not a stream."""
    worker = exchange.worker
    worker.begin(exchange.request)
    exchange.responder.start(200, worker.head(exchange.request_id), 100)
    exchange.responder.write(b"half of the answer")
    await asyncio.sleep(0.05)
    exchange.responder.cut()


async def _late_without_id(exchange: Any) -> None:
    """Send an event with an id and one without, then cut the response."""
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
    """Two engines that share a list of faults, so that either fails the next request."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        faults = mock.patch.dict(standin.FAULTS, _FAULTS)
        faults.start()
        self.addCleanup(faults.stop)
        options = {"allow-resume": True, "max-attempts": 3}
        self.fleet.routes.append(route("long", "engines", "streaming", **options))
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


# --- requests on the platform --------------------------------------------------


class CallerResumeTest(EnginesCase):
    """A caller resumes a response after its own connection was lost."""

    async def test_a_caller_that_has_every_event_gets_the_end(self) -> None:
        """Only the end was lost, so the engine correctly sends no more events."""
        answer = await ask(self.node, "/long/x", Last_Event_Id=f"{_EVENTS}", **prompt())
        self.assertEqual((answer.status, answer.body), (200, b""))
        self.assertEqual(len(self._runs()), 1)

    async def test_an_engine_that_responds_correctly_is_not_counted_as_failing(self) -> None:
        await ask(self.node, "/long/x", Last_Event_Id=f"{_EVENTS}", **prompt())
        views = self.node.node.views
        now = asyncio.get_running_loop().time()
        self.assertEqual([views.health.share(w.name, now) for w in self.workers], [0.0, 0.0])

    async def test_an_event_that_the_caller_named_is_not_sent_again(self) -> None:
        self.faults[:] = ["repeat-named"]
        answer = await ask(self.node, "/long/x", Last_Event_Id="2", **prompt())
        self.assertEqual(answer.body, b"".join(_event(n) for n in range(3, _EVENTS + 1)))


class CutResponsesTest(EnginesCase):
    async def test_an_event_without_an_id_after_others_is_not_sent_again(self) -> None:
        """The next run begins after the last id, and repeats the event that followed it."""
        self.faults[:] = ["late-without-id"]
        answer = await ask(self.node, "/long/x", **prompt())
        self.assertEqual(answer.body.count(b"data: token 2\n"), 1, answer.body)

    async def test_a_cut_response_with_a_length_is_a_failure_of_the_engine(self) -> None:
        self.faults[:] = ["cut-plain"]
        with capture_logs() as lines:
            await ask(self.node, "/verdict/x", **prompt())
        events = [line["event"] for line in lines if line.get("request") == "r1"]
        self.assertNotIn("request failed", events)
        (name,) = [worker.name for worker in self.workers if worker.ran]
        share = self.node.node.views.health.share(name, asyncio.get_running_loop().time())
        self.assertGreater(share, 0.0)

    async def test_the_save_of_a_refused_send_is_assigned_to_the_next_send(self) -> None:
        """An engine that refused the prompt neither saves nor holds it."""
        await eventually(self.node.may_save)
        self.faults[:] = ["shed"]
        await ask(self.node, "/long/x", **prompt())
        (ran,) = self._runs()
        self.assertIn(self.fleet.kv_address, ran.headers.get("x-kv-save", ""))

    async def test_an_engine_that_refused_a_prompt_is_not_assumed_to_hold_it(self) -> None:
        self.faults[:] = ["shed"]
        await ask(self.node, "/long/x", **prompt())
        (ran,) = [worker.name for worker in self.workers if worker.ran]
        (refusing,) = [worker.name for worker in self.workers if worker.name != ran]
        self.assertEqual(self.node.node.views.memory.parts(refusing, "m.1."), frozenset())


class SameIdTest(EnginesCase):
    async def test_two_requests_with_the_same_id_are_counted_separately(self) -> None:
        """Callers choose ids.  The end of one request also removed the other's load."""
        self.fleet.enter("e2", "engines", state="draining")
        views = self.node.node.views
        await eventually(lambda: [i.name for i in views.registry.serving("engines")] == ["e1"])
        self.workers[0].pause_seconds = 0.1
        requests = []
        for number in (1, 2):
            requests.append(asyncio.ensure_future(ask(self.node, "/long/x", **prompt())))
            await eventually(lambda number=number: len(self._runs()) == number)
            await asyncio.sleep(0.2)
        await requests[0]
        self.assertFalse(requests[1].done())
        (burden,) = views.workload.own().values()
        self.assertEqual(burden.running, 1)
        await requests[1]


class RefusedSendTest(unittest.TestCase):
    def test_a_part_that_another_prompt_sent_is_not_removed(self) -> None:
        """One prompt is refused; the other, sent meanwhile, runs, and its engine holds the part."""
        memory, part = EngineMemory(), Part("aa", 100)
        first, _ = (memory.sent("e1", "m.1.", [part], 40_000) for _ in range(2))
        memory.undo_send("e1", "m.1.", ["aa"], send=first)
        self.assertEqual(memory.parts("e1", "m.1."), {"aa"})


class JoinedEventsTest(unittest.TestCase):
    """Events joined from the bytes of two are counted; docs/METRICS.md says to alert on them."""

    def test_an_event_joined_inside_its_id_is_counted(self) -> None:
        """A run is cut after 6 bytes of an event, and the next run's event follows them."""
        framer = EventFramer()
        framer.feed(b"id: 39" + b"id: 39\ndata: token 39\n\n")
        self.assertEqual(framer.odd, 1)

    def test_an_event_joined_inside_its_data_is_counted(self) -> None:
        framer = EventFramer()
        framer.feed(b"id: 1\ndata: tok" + _event(1))
        self.assertEqual(framer.odd, 1)

    def test_an_event_without_an_id_does_not_hide_a_joined_one(self) -> None:
        framer = EventFramer()
        framer.feed(b"data: x\n\n" + _event(1)[:-1] + _event(2))
        self.assertEqual(framer.odd, 1)


class PromptQueueTest(unittest.TestCase):
    def test_removing_a_prompt_keeps_another_with_the_same_id(self) -> None:
        """Two callers may choose the same id, or one may retry while its first connection hangs."""
        queue = PromptQueue()
        first, second = WaitingPrompt("r1", 1, 5.0, 100), WaitingPrompt("r1", 1, 6.0, 100)
        queue.add(first)
        queue.add(second)
        self.assertIs(queue.head(), first)
        queue.remove(first)
        self.assertIs(queue.head(), second)


# --- connections ----------------------------------------------------------------


class PooledConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.request_count = 0
        port = free_port()
        self.address = f"{HOST}:{port}"
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.client = Client()

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the first request with slightly more than is buffered, to others briefly."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.request_count += 1
                if self.request_count > 1:
                    writer.write(_RESPONSE)
                    continue
                size = _BUFFER_BYTES + 1000
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                writer.write(b"x" * _BUFFER_BYTES)
                await writer.drain()
                await asyncio.sleep(0.1)
                writer.write(b"x" * 1000)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def test_a_slow_reader_of_one_response_does_not_delay_the_next(self) -> None:
        """The connection is idle once the response is complete, but reading from it is paused."""
        slow = await self.client.begin(self.address, _REQUEST, connect_seconds=2.0)
        await eventually(lambda: slow.complete)
        reply = await self.client.call(self.address, _REQUEST, timeouts=Timeouts(2.0, 1.0))
        self.assertEqual(reply.body, _BODY)

    async def test_a_cancelled_connect_is_counted_once(self) -> None:
        """A count that is too low gives a target more connections than it accepts."""
        held = await self.client.begin(self.address, _REQUEST, connect_seconds=2.0)
        connecting: asyncio.Task[Any] | None = None
        connection_made = Connection.connection_made

        def cancel_on_connect(connection: Connection, transport: asyncio.BaseTransport) -> None:
            """Cancel the request at the moment in which its connection is established."""
            connection_made(connection, transport)
            assert connecting is not None
            connecting.cancel()

        with mock.patch.object(Connection, "connection_made", cancel_on_connect):
            connecting = asyncio.ensure_future(
                self.client.begin(self.address, _REQUEST, connect_seconds=2.0)
            )
            await asyncio.gather(connecting, return_exceptions=True)
            await asyncio.sleep(0.05)
        self.assertTrue(connecting.cancelled())
        self.assertEqual(self.client._open_counts, {self.address: 1})
        held.cancel()


class CallerConnectionTest(EnginesCase):
    async def test_a_pipelined_request_does_not_write_into_the_response_before_it(self) -> None:
        """ "100 Continue" for the second request was sent between chunks of the first response."""
        for worker in self.workers:
            worker.pause_seconds = 0.1
        host, _, port = self.node.settings.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request("/long/x", Connection="", **prompt()))
        received = await reader.readuntil(_event(2))
        writer.write(request("/long/x", request_id="r2", Expect="100-continue", **prompt()))
        received += await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        self.assertNotIn(b"100 Continue", received)


# --- feeds and rows ----------------------------------------------------------------


class ReadBeforePauseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_read_from_before_a_pause_does_not_replace_the_one_after_it(self) -> None:
        """`read_now` requests an immediate read; the end of the read in flight cleared that."""
        node = ViewNode(name="node-1", boot=1, fleet=mock.Mock(spec=TargetFleet))
        calls: list[asyncio.Future[TargetChanges]] = []

        async def target_changes(after: int | None) -> TargetChanges:
            calls.append(asyncio.get_running_loop().create_future())
            return await calls[-1]

        node.feed._platform = SimpleNamespace(target_changes=target_changes)  # type: ignore[assignment]
        running = asyncio.ensure_future(node.feed.run())
        self.addCleanup(running.cancel)
        await eventually(lambda: len(calls) == 1)
        node.feed.read_now()
        calls[0].set_result(TargetChanges((), (), 1, whole=True))
        await asyncio.sleep(0.05)
        self.assertEqual(len(calls), 2)
