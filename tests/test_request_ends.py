"""Each request that was read whole ends exactly once, by a known cause."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Mapping, Sequence
from typing import Any
from unittest import mock

from fielddrift_core.request_ends import END_RULES, EndCause, end_cause, end_event
from fielddrift_node.serving.metrics import Counter, Metrics
from fielddrift_node.serving.request_ends import RequestEnds
from fielddrift_node.web.host_memory import HostMemory
from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server, _Connection
from fielddrift_platform import main
from fielddrift_platform.callers import PlatformCallers
from fielddrift_standins.worker import Worker
from structlog.testing import capture_logs

from .platform_fleet import HOST, FleetCase, ask, eventually, free_port, get, parse, prompt, request

LARGE = b"x" * 8_000_000
"""More than the buffers of a loopback connection take."""


class TestCauses(unittest.TestCase):
    def test_every_cause_has_a_rule_and_only_whole_answers_need_no_line(self) -> None:
        self.assertEqual(set(END_RULES), set(EndCause))
        unlogged = {c for c in EndCause if not end_event(c, begun=True)}
        self.assertEqual(unlogged, {EndCause.ANSWERED, EndCause.REFUSED})

    def test_a_request_left_only_where_its_caller_did(self) -> None:
        left = {c for c in EndCause if end_event(c, begun=False) == "request left"}
        self.assertEqual(left, {EndCause.CALLER_CLOSED, EndCause.CALLER_RESET})

    def test_a_response_that_was_sent_is_an_answer_however_its_connection_closed(self) -> None:
        for cause in EndCause:
            end = end_cause(sent=True, refused=False, closed_by=cause)
            self.assertIs(end, EndCause.ANSWERED)
        self.assertIs(end_cause(sent=False, refused=True, closed_by=None), EndCause.FAULT)


def ends(metrics: Metrics) -> dict[str, int]:
    """Return the ended requests by cause."""
    return {s.labels["cause"]: int(s.value) for s in metrics.ended.family().samples}


def total(metric: Counter) -> int:
    """Return the sum of a counter over its labels."""
    return int(sum(s.value for s in metric.family().samples))


def events(lines: Sequence[Mapping[str, Any]], request_id: str = "r1") -> list[str]:
    """Return the events of the lines about a request."""
    return [line["event"] for line in lines if line.get("request") == request_id]


class _Caller:
    """A caller's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.received = b""
        """What `rest` returned."""

    @classmethod
    async def connect(cls, address: str) -> _Caller:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def rest(self) -> bytes:
        """Return what arrives until the connection is closed."""
        try:
            async with asyncio.timeout(10.0):
                self.received = await self.reader.read()
                return self.received
        except ConnectionResetError:
            return b"(reset)"
        finally:
            self.writer.close()

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


def plain(path: str, *, close: bool = False, request_id: str = "r1") -> bytes:
    """Return a request without a body."""
    last = "Connection: close\r\n" if close else ""
    return f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n{last}\r\n".encode()


class TestServer(unittest.IsolatedAsyncioTestCase):
    """A server whose handler does what the path says."""

    async def asyncSetUp(self) -> None:
        self.metrics = Metrics()
        self.memory = HostMemory(limit_bytes=48_000_000)
        self.address = f"{HOST}:{free_port()}"
        self.go_on = asyncio.Event()
        self.handled: list[str] = []
        self.server = Server(
            handler=self._answer,
            limits=Limits,
            memory=self.memory,
            observer=RequestEnds(
                metrics=self.metrics, request_id=lambda head: head.headers.text(b"x-request-id")
            ),
        )
        await self.server.start(HOST, int(self.address.split(":")[1]))
        logs = capture_logs()
        self.lines = logs.__enter__()
        self.addCleanup(logs.__exit__, None, None, None)

    async def asyncTearDown(self) -> None:
        self.server.stop_accepting()
        self.server.close()
        await asyncio.sleep(0.05)
        self.assertEqual(total(self.metrics.accepted), total(self.metrics.ended))

    async def _answer(self, request: Request, responder: Responder) -> None:
        path = request.head.target.decode()
        self.handled.append(path)
        if path == "/late":
            await self.go_on.wait()
        if path == "/large":
            responder.send(200, Headers(), LARGE)
            return
        if path == "/stream":
            responder.start(200, Headers(), None)
            responder.write(b"first")
            await self.go_on.wait()
            responder.end()
            return
        if path == "/fault":
            raise ValueError("a fault of the handler")
        responder.send(200, Headers(), path.encode())
        if path == "/fault-after":
            raise ValueError("a fault of the handler")

    async def _ended(self, **causes: int) -> None:
        """Wait until requests have ended, by these causes and by no other."""
        expected = {cause.replace("_", "-"): number for cause, number in causes.items()}
        await eventually(lambda: sum(ends(self.metrics).values()) >= sum(expected.values()))
        self.assertEqual(ends(self.metrics), expected)
        self.assertEqual(total(self.metrics.accepted), sum(expected.values()))
        self.assertEqual(self.server.open_requests, 0)

    def _line(self, event: str) -> dict[str, Any]:
        (line,) = [line for line in self.lines if line["event"] == event]
        return dict(line)

    async def test_a_whole_answer_ends_its_request_without_a_line(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/x", close=True))
        self.assertTrue((await caller.rest()).endswith(b"/x"))
        await self._ended(answered=1)
        self.assertEqual(self.lines, [])

    async def test_requests_in_progress_are_those_accepted_and_not_ended(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/late") + plain("/x") + plain("/y", close=True))
        await eventually(lambda: self.server.open_requests == 3)
        self.assertEqual((total(self.metrics.accepted), ends(self.metrics)), (3, {}))
        self.go_on.set()
        await caller.rest()
        await self._ended(answered=3)

    async def test_a_caller_that_closes_ends_its_requests_also_those_in_the_queue(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/late", request_id="r1") + plain("/x", request_id="r2"))
        await eventually(lambda: self.server.open_requests == 2)
        caller.writer.close()
        await self._ended(caller_closed=2)
        lines = [line for line in self.lines if line["event"] == "request left"]
        self.assertEqual({(line["request"], line["handled"]) for line in lines},
                         {("r1", True), ("r2", False)})  # fmt: skip
        self.assertEqual({(line["by"], line["written"]) for line in lines}, {("caller", 0)})

    async def test_a_caller_that_closes_its_sending_side_has_left(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/stream"))
        await caller.reader.readuntil(b"first")
        caller.writer.write_eof()
        await self._ended(caller_closed=1)
        self.assertGreater(self._line("request left")["written"], len(b"first"))

    async def test_a_request_whose_handler_never_started_ends_too(self) -> None:
        """A task that is cancelled before its first step runs no `finally`."""
        caller = await _Caller.connect(self.address)
        await eventually(lambda: len(self.server._connections) == 1)
        (connection,) = self.server._connections
        connection.data_received(plain("/x"))
        connection.connection_lost(None)
        await self._ended(caller_closed=1)
        self.assertEqual(self.handled, [])
        caller.reset()

    async def test_a_caller_that_resets_its_connection_is_told_apart(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/large"))
        await caller.reader.readexactly(1000)
        self.assertEqual(self.server.open_requests, 1)
        caller.reset()
        await self._ended(caller_reset=1)
        self.assertEqual(self._line("request left")["cause"], "caller-reset")

    async def test_a_caller_that_resets_within_a_last_response_has_left(self) -> None:
        """The node counted it as closed by itself, since it had announced the close."""
        caller = await _Caller.connect(self.address)
        caller.send(plain("/large", close=True))
        await caller.reader.readexactly(1000)
        caller.reset()
        await self._ended(caller_reset=1)

    async def test_a_whole_response_that_is_not_sent_yet_keeps_a_server_busy(self) -> None:
        """A stopping node saw no work left, and aborted it."""
        caller = await _Caller.connect(self.address)
        caller.send(plain("/large"))
        await caller.reader.readexactly(1000)
        self.server.announce_close()
        self.server.stop_accepting()
        self.assertEqual(self.server.busy, 1)
        data = await caller.reader.readexactly(len(LARGE) - 2000)
        self.assertEqual(len(data), len(LARGE) - 2000)
        await self._ended(answered=1)
        self.assertEqual(self.server.busy, 0)
        caller.reset()

    async def test_a_request_that_crosses_a_close_costs_no_response(self) -> None:
        """It was not read, and the kernel reset the connection with the rest of the response."""
        self.server.announce_close()
        caller = await _Caller.connect(self.address)
        caller.send(plain("/large"))
        await caller.reader.readexactly(1000)
        caller.send(plain("/x"))
        await asyncio.sleep(0.05)
        self.assertTrue((await caller.rest()).endswith(LARGE[-100:]))
        await self._ended(answered=1)
        self.assertEqual(self.handled, ["/large"])
        await eventually(lambda: total(self.metrics.unread) == 1)

    async def test_an_invalid_request_with_a_long_body_gets_its_error(self) -> None:
        """The unread body reset the connection, and the error with it."""
        caller = await _Caller.connect(self.address)
        caller.send(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" + LARGE)
        await asyncio.sleep(0.1)
        self.assertIn(b"HTTP/1.1 413 ", await caller.rest())
        await eventually(lambda: total(self.metrics.unread) == 1)
        await self._ended()

    async def test_an_answer_has_ended_only_once_the_kernel_has_it_all(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/large"))
        await caller.reader.readexactly(1000)
        await asyncio.sleep(0.05)
        self.assertEqual((self.server.open_requests, ends(self.metrics)), (1, {}))
        await caller.reader.readuntil(LARGE[-1000:])
        await caller.reader.readexactly(len(LARGE) // 2)
        caller.send(plain("/x", close=True))
        self.assertTrue((await caller.rest()).endswith(b"/x"))
        await self._ended(answered=2)

    async def test_a_connection_that_memory_closes_is_no_caller_that_left(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/stream") + plain("/x"))
        await caller.reader.readuntil(b"first")
        (connection,) = self.server._connections
        assert connection._held is not None
        connection._held.abort()
        await self._ended(memory=2)
        cut, dropped = self._line("answer cut"), self._line("request dropped")
        self.assertEqual((cut["cause"], cut["by"], cut["handled"]), ("memory", "node", True))
        self.assertEqual((dropped["cause"], dropped["handled"]), ("memory", False))

    async def test_a_stop_that_cuts_is_no_caller_that_left(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/stream"))
        await caller.reader.readuntil(b"first")
        self.server.close()
        await self._ended(stop=1)
        self.assertEqual(self._line("answer cut")["cause"], "stop")

    async def test_requests_that_are_not_read_whole_are_counted_apart(self) -> None:
        half = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
        caller = await _Caller.connect(self.address)
        caller.send(half)
        await eventually(lambda: self.server.busy == 1)
        caller.writer.close()
        await eventually(lambda: total(self.metrics.unread) == 1)
        await self._ended()

    async def test_a_handler_that_fails_before_its_answer_gives_an_error(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/fault") + plain("/x", close=True))
        data = await caller.rest()
        self.assertIn(b"HTTP/1.1 500 ", data)
        self.assertTrue(data.endswith(b"/x"), data)
        await self._ended(refused=1, answered=1)
        self.assertEqual([line["event"] for line in self.lines], ["handler failed"])

    async def test_a_handler_that_fails_behind_its_answer_closes_nothing(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/fault-after") + plain("/x", close=True))
        self.assertTrue((await caller.rest()).endswith(b"/x"))
        await self._ended(answered=2)
        self.assertEqual([line["event"] for line in self.lines], ["handler failed"])

    async def test_pipelined_requests_are_all_answered_by_a_server_that_leaves(self) -> None:
        """The first response announced the close, and the others were dropped."""
        self.server.announce_close()
        caller = await _Caller.connect(self.address)
        caller.send(plain("/x") + plain("/y") + plain("/z"))
        data = await caller.rest()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3, data)
        self.assertEqual(data.count(b"Connection: close"), 1)
        self.assertLess(data.index(b"/y"), data.index(b"Connection: close"))
        await self._ended(answered=3)

    async def test_a_half_read_request_is_answered_by_a_server_that_leaves(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/late") + plain("/x")[:10])
        await eventually(lambda: self.handled == ["/late"])
        self.server.announce_close()
        self.go_on.set()
        await caller.reader.readuntil(b"/late")
        caller.send(plain("/x")[10:])
        self.assertTrue((await caller.rest()).endswith(b"/x"))
        await self._ended(answered=2)

    async def test_requests_before_an_invalid_one_are_answered(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/late") + plain("/x") + b"POST /y HTTP/1.1\r\nContent-Length: z\r\n\r\n")
        await eventually(lambda: self.handled == ["/late"])
        self.go_on.set()
        data = await caller.rest()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2, data)
        self.assertLess(data.index(b"/x"), data.index(b"HTTP/1.1 400"))
        await self._ended(answered=2)
        self.assertEqual(total(self.metrics.unread), 1)

    async def test_a_connection_whose_response_promised_to_keep_it_is_kept(self) -> None:
        """A request that crossed the close was lost."""
        caller = await _Caller.connect(self.address)
        caller.send(plain("/stream"))
        await caller.reader.readuntil(b"first")
        self.server.announce_close()
        self.go_on.set()
        await caller.reader.readuntil(b"0\r\n\r\n")
        await asyncio.sleep(0.02)
        caller.send(plain("/x"))
        data = await caller.rest()
        self.assertTrue(data.endswith(b"/x"), data)
        self.assertIn(b"Connection: close", data)
        await self._ended(answered=2)

    async def test_a_request_on_a_connection_that_has_just_opened_is_read(self) -> None:
        """A stop that fell between its opening and its first read closed the connection."""

        def open_and_stop(connection: _Connection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            self.server.announce_close()
            self.server.stop_accepting()

        connection_made = _Connection.connection_made
        with mock.patch.object(_Connection, "connection_made", open_and_stop):
            caller = await _Caller.connect(self.address)
            caller.send(plain("/x"))
            self.assertTrue((await caller.rest()).endswith(b"/x"))
        await self._ended(answered=1)

    async def test_idle_connections_are_closed_by_a_stop(self) -> None:
        caller = await _Caller.connect(self.address)
        caller.send(plain("/x"))
        await caller.reader.readuntil(b"/x")
        self.server.stop_accepting()
        self.assertEqual(await caller.rest(), b"")
        await self._ended(answered=1)

    async def test_a_request_behind_an_announced_close_is_not_handled(self) -> None:
        """RFC 9112, section 9.6: its caller was told that no answer follows."""
        caller = await _Caller.connect(self.address)
        self.server.announce_close()
        caller.send(plain("/stream"))
        await caller.reader.readuntil(b"first")
        caller.send(plain("/x", request_id="r2"))
        await eventually(lambda: total(self.metrics.accepted) == 2)
        self.go_on.set()
        data = await caller.rest()
        self.assertTrue(data.endswith(b"0\r\n\r\n"), data)
        await self._ended(answered=1, last_response=1)
        self.assertEqual(self.handled, ["/stream"])
        line = self._line("request dropped")
        self.assertEqual((line["request"], line["cause"]), ("r2", "last-response"))


class TestNode(FleetCase):
    """A node whose targets fail, and whose callers or deadlines end requests."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.tolerate_pauses(2.0)
        self.engine = await self.fleet.worker(Worker(name="e1", events=5), "engines")
        self.worker = await self.fleet.worker(Worker(name="w1"), "plain")
        self.node = await self.fleet.node()
        await eventually(lambda: len(self.node.node.views.registry) == 2)
        self.metrics = self.node.node._metrics

    async def _ended(self, **causes: int) -> None:
        expected = {cause.replace("_", "-"): number for cause, number in causes.items()}
        await eventually(lambda: sum(ends(self.metrics).values()) >= sum(expected.values()))
        self.assertEqual(ends(self.metrics), expected)
        self.assertEqual(total(self.metrics.accepted), sum(expected.values()))

    async def test_answers_and_refusals(self) -> None:
        self.assertEqual((await ask(self.node, "/safe/x")).status, 200)
        self.assertEqual((await ask(self.node, "/nowhere")).status, 404)
        self.assertEqual((await ask(self.node, "/safe/x", request_id="")).status, 400)
        await self._ended(answered=1, refused=2)
        text = (await get(self.node.settings.metrics, "/metrics")).body.decode().splitlines()
        self.assertIn("fielddrift_accepted_requests_total 3.0", text)
        self.assertIn('fielddrift_ended_requests_total{cause="refused"} 2.0', text)

    async def test_a_target_that_breaks_off(self) -> None:
        self.engine.faults = ["cut-event"]
        with capture_logs() as lines:
            await ask(self.node, "/verdict/x", **prompt())
            await self._ended(target=1)
        (line,) = [line for line in lines if line["event"] == "answer cut"]
        self.assertEqual((line["cause"], line["by"], line["events"]), ("target", "target", 2))
        self.assertGreater(line["written"], 0)

    async def test_a_deadline_before_and_within_the_answer(self) -> None:
        self.worker.faults = ["hang"]
        self.assertEqual((await ask(self.node, "/unsafe/x", deadline_ms=300)).status, 504)
        await self._ended(refused=1)
        self.engine.pause_seconds = 0.3
        await ask(self.node, "/verdict/x", deadline_ms=700, **prompt())
        await self._ended(refused=1, deadline=1)

    async def test_a_caller_that_leaves(self) -> None:
        self.worker.faults = ["hang"]
        caller = await _Caller.connect(self.node.settings.entry)
        with capture_logs() as lines:
            caller.send(request("/safe/x", request_id="gone"))
            await eventually(lambda: bool(self.worker.ran))
            caller.writer.close()
            await self._ended(caller_closed=1)
        (line,) = [line for line in lines if line["event"] == "request left"]
        self.assertEqual((line["request"], line["targets"]), ("gone", ["w1"]))
        self.assertGreater(line["age_ms"], -1)

    async def test_the_end_of_the_grace_period_answers_what_has_no_answer_yet(self) -> None:
        """They were cut without an answer, whether they had run or not."""
        self.worker.faults = ["hang"] * 10
        callers = []
        for number in range(8):
            caller = await _Caller.connect(self.node.settings.entry)
            caller.send(request("/unsafe/x", request_id=f"r{number}"))
            callers.append(caller)
        queued = await _Caller.connect(self.node.settings.entry)
        keep = request("/unsafe/x").replace(b"Connection: close\r\n", b"")
        queued.send(keep + keep)
        await eventually(lambda: total(self.metrics.accepted) == 10)
        await eventually(lambda: len(self.worker.ran) > 1)
        await asyncio.gather(self.node.stop(), *(caller.rest() for caller in callers))
        self.assertEqual(ends(self.metrics), {"refused": 10})
        answers = [parse(caller.received) for caller in callers]
        ran = {
            number for number in range(8) if f"r{number}" in {r.request_id for r in self.worker.ran}
        }
        for number, answer in enumerate(answers):
            self.assertEqual(answer.status, 502 if number in ran else 503, number)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
        data = await queued.rest()
        self.assertEqual(data.count(b"Retry-After"), 2, data)
        # The second one waited on its connection, and was sent to no target.
        self.assertEqual(parse(data[data.rindex(b"HTTP/1.1 ") :]).status, 503)

    async def _ask_until_closed(self, number: int) -> tuple[int, int]:
        """Send requests on one kept connection until it is closed; return how many were sent.

        The second number is that of the whole answers.
        """
        keep = request("/safe/x", request_id=f"r{number}").replace(b"Connection: close\r\n", b"")
        caller = await _Caller.connect(self.node.settings.entry)
        sent = answered = 0
        try:
            while True:
                caller.send(keep)
                sent += 1
                head = await caller.reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                await caller.reader.readexactly(length)
                answered += 1
                if b"Connection: close" in head:
                    break
                await asyncio.sleep(0.01 * (number % 5))
        except (asyncio.IncompleteReadError, ConnectionResetError):
            pass
        caller.reset()
        return sent, answered

    async def test_a_stop_loses_no_request_of_callers_that_keep_their_connections(self) -> None:
        callers = [asyncio.ensure_future(self._ask_until_closed(n)) for n in range(40)]
        await eventually(lambda: total(self.metrics.accepted) > 80)
        with capture_logs() as lines:
            await self.node.stop()
        counts = await asyncio.gather(*callers)
        self.assertLessEqual(set(ends(self.metrics)), {"answered", "refused"}, lines)
        answered = sum(whole for _, whole in counts)
        self.assertEqual(total(self.metrics.accepted), sum(ends(self.metrics).values()))
        self.assertEqual(answered, total(self.metrics.accepted))

    async def test_a_fault_of_the_stop_cuts_no_request(self) -> None:
        """The process ended at once, with all requests in progress."""
        self.worker.work_seconds = 0.2
        caller = await _Caller.connect(self.node.settings.entry)
        caller.send(request("/unsafe/x"))
        await eventually(lambda: bool(self.worker.ran))
        fault = mock.patch.object(
            self.node.node._rollout_runner, "stop", side_effect=ValueError("a fault")
        )
        with fault, capture_logs() as lines:
            await self.node.stop()
        self.assertEqual(parse(await caller.rest()).status, 200)
        self.assertEqual(ends(self.metrics), {"answered": 1})
        self.assertEqual([e["event"] for e in lines if e["log_level"] == "error"], ["stop failed"])

    async def test_the_end_of_the_grace_period_cuts_streams_under_way(self) -> None:
        self.engine.pause_seconds = 1.0
        caller = await _Caller.connect(self.node.settings.entry)
        caller.send(request("/chat/x", **prompt()))
        await caller.reader.readuntil(b"token 1")
        with capture_logs() as lines:
            await self.node.stop()
        self.assertEqual(ends(self.metrics), {"stop": 1})
        self.assertEqual(events(lines), ["answer cut"])
        caller.reset()

    async def test_a_fault_before_a_request_is_routed_is_answered(self) -> None:
        """It closed the connection without an answer and without a line."""
        views = self.node.node.views
        for place, name in ((views, "detect_pause"), (views.load, "add")):
            with mock.patch.object(place, name, side_effect=ValueError("a fault")):
                answer = await ask(self.node, "/safe/x")
            self.assertEqual(answer.status, 503, name)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
        fault = mock.patch.object(PlatformCallers, "read", side_effect=ValueError("a fault"))
        with fault, capture_logs() as lines:
            self.assertEqual((await ask(self.node, "/safe/x")).status, 503)
        self.assertEqual(events(lines), ["request failed", "request refused"])
        self.assertEqual(self.worker.ran, [])
        await self._ended(refused=3)

    async def test_a_fault_behind_a_send_promises_nothing(self) -> None:
        with mock.patch.object(
            PlatformCallers, "answer_headers", side_effect=ValueError("a fault")
        ):
            answer = await ask(self.node, "/unsafe/x")
        self.assertEqual((answer.status, len(self.worker.ran)), (500, 1))
        await self._ended(refused=1)

    async def test_a_fault_behind_a_whole_answer_closes_nothing(self) -> None:
        """Counting and logging an answer failed, and its connection was aborted."""
        caller = await _Caller.connect(self.node.settings.entry)
        keep = request("/safe/x").replace(b"Connection: close\r\n", b"")
        for place, name in (
            (self.node.node._crashes, "answered"),
            (self.metrics.whole, "observe"),
        ):
            fault = mock.patch.object(place, name, side_effect=ValueError("a fault"))
            with fault, capture_logs() as lines:
                caller.send(keep)
                await caller.reader.readuntil(b"answer of w1")
                await asyncio.sleep(0.02)
            self.assertEqual(events(lines), ["request not recorded"], name)
        keep = request("/chat/x", **prompt()).replace(b"Connection: close\r\n", b"")
        with mock.patch.object(self.metrics.odd_events, "inc", side_effect=ValueError("a fault")):
            caller.send(keep)
            await caller.reader.readuntil(b"0\r\n\r\n")
        caller.send(request("/safe/x"))
        self.assertTrue((await caller.rest()).endswith(b"answer of w1"))
        await self._ended(answered=4)


class TestLoop(unittest.IsolatedAsyncioTestCase):
    async def test_an_exception_that_nobody_awaits_gets_a_line(self) -> None:
        """It went to standard error, beside the log."""

        async def run(stopping: asyncio.Event) -> None:
            def fail() -> None:
                raise ValueError("a fault")

            asyncio.get_running_loop().call_soon(fail)
            await asyncio.sleep(0.01)

        self.addCleanup(asyncio.get_running_loop().set_exception_handler, None)
        with (
            mock.patch.object(main, "ServingNode") as node,
            mock.patch.object(main, "PlatformStore"),
            capture_logs() as lines,
        ):
            node.return_value.run = run
            await main._run(mock.Mock(), "")
        (line,) = lines
        self.assertEqual(
            (line["event"], line["error"]), ("unhandled error", "ValueError('a fault')")
        )
