"""Process checks that get no answer lose no answers, and let no stream go on at another process.

Failures: a refused or missing report passed for that of the expected process, an unchecked kept
connection carried a request, and a target found to be replaced counted as one that leaves, so that
the requests that had ended it were not held back.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_core.target_registry import Instance
from fielddrift_node.web.client import Client
from fielddrift_node.web.errors import ExchangeError
from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Request, Responder
from fielddrift_platform.targets import PlatformTargets
from fielddrift_standins import worker as standin
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from . import test_software_versions
from .platform_fleet import FleetCase, ask, eventually, prompt
from .test_ends_judged_by_another_process import _part_and_restart
from .test_software_versions import _Caller
from .test_targets_restarted_in_place import RestartCase

_REQUEST = b"POST /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n"
_STARTED_MS = 1_790_000_000_000


class TestKeptConnections(FleetCase):
    """Two kept connections that nobody checked, of a process that ends as it is asked."""

    async def test_a_request_is_not_sent_to_a_process_that_nobody_asked(self) -> None:
        port = free_port()
        address = f"{HOST}:{port}"
        born, received, opened = 1, [], []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            is_former = len(opened) <= 2
            try:
                while head := await reader.readuntil(b"\r\n\r\n"):
                    received.append((2 if not is_former else born, head))
                    if is_former:
                        writer.transport.abort()
                        return
                    body = b'{"born": 2}'
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + body)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, HOST, port)
        client = Client()
        try:
            # As `TargetPaths` opens them when it checks a path.
            for _ in range(2):
                await client.connect(address, seconds=1.0)
            await eventually(lambda: len(opened) == 2)
            process = PlatformTargets(client=client).process_check(
                Instance("t#1", "s", address, "a", software="v1")
            )
            with self.assertRaises(ExchangeError):
                await client.begin(address, _REQUEST, connect_seconds=1.0, process=process)
            await asyncio.sleep(0.05)
            self.assertEqual([h for b, h in received if b == 2 and b"POST" in h], [])
        finally:
            client.close()
            server.close()


class _Reporter(Worker):
    """A worker whose reports are refused a few times, come late, or never."""

    refused_reports = 0
    report_seconds = 0.0

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.head.target.decode().startswith("/report"):
            await asyncio.sleep(self.report_seconds)
            if self.refused_reports > 0:
                self.refused_reports -= 1
                responder.send(503, Headers([(b"X-Not-Executed", b"1")]), b"")
                return
        await super()._handle(request, responder)


class ReportCase(RestartCase):
    """Engines that may refuse to report; callers whose requests have different bodies."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for module in (standin, test_software_versions):
            patched = mock.patch.object(module, "Worker", _Reporter)
            patched.start()
            self.addCleanup(patched.stop)

    async def open_streams(self, count: int, *_: Any, **__: Any) -> list[_Caller]:
        callers = [_Caller(f"c{number}") for number in range(count)]
        for number, caller in enumerate(callers):
            fields: dict[str, Any] = {
                "body": f"ask {number}".encode(),
                "X_Prompt_Prefix": f"p{number}:300,q{number}:50",
            }
            caller.send(self.nodes[number % len(self.nodes)], **fields)
            await asyncio.sleep(0.01)
        for caller in callers:
            await caller.has_events(3)
        return callers


class TestRefusedReports(ReportCase):
    async def test_refused_reports_of_a_new_process_do_not_join_two_versions(self) -> None:
        await self.start(engines=4, versions=("v1",))
        callers = await self.open_streams(18)
        for engine in list(self.engines):
            again: Any = await self.restart(engine, "v2")
            # It is still starting, or has no room, as each node asks for the first time.
            again.refused_reports = 3
        await self.end_streams(callers)
        self.assert_unmixed(callers)

    async def test_reports_refused_before_a_restart_do_not_join_two_versions(self) -> None:
        await self.start(nodes=1, engines=4, versions=("v1",))
        engine: Any
        for engine in self.engines:
            engine.refused_reports = 1000
        callers = await self.open_streams(18)
        for engine in self.engines:
            engine.refused_reports = 0
        for engine in list(self.engines):
            await self.restart(engine, "v2")
        await self.end_streams(callers)
        self.assert_unmixed(callers)


class _RestartsInPlace(ReportCase):
    """Engines that end inside each answer, and start again at once under their ids."""

    _EVENTS = 3

    async def start_engines(self, *, count: int, unframed: bool, refused_reports: int) -> None:
        faults = mock.patch.dict(standin.FAULTS, {"part-and-restart": _part_and_restart})
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.crashes = 0
        self.restarts: list[asyncio.Task[None]] = []
        self._refused_reports = refused_reports
        for number in range(count):
            worker = _Reporter(name=f"t{number}", events=self._EVENTS)
            worker.started = _STARTED_MS
            self._prepare(worker, unframed)
            await self.fleet.worker(worker, "engines")
        self.node = await self.fleet.node()

    def _prepare(self, worker: Worker, unframed: bool) -> None:
        worker.unframed = unframed
        worker.crashed = self._restart
        worker.faults = ["part-and-restart"]

    def _restart(self, worker: Worker) -> None:
        async def restart() -> None:
            again: Any = worker.restarted(software="v1")
            self._prepare(again, worker.unframed)
            again.refused_reports = self._refused_reports
            host, _, port = self.fleet.addresses[worker.name].rpartition(":")
            self.fleet.workers[worker.name] = again
            await again.start(host, int(port))
            await asyncio.sleep(0.2)
            self.fleet.enter(worker.name, "engines")

        self.crashes += 1
        self.restarts.append(asyncio.ensure_future(restart()))


class TestEndsOfStreams(_RestartsInPlace):
    async def test_a_new_process_without_a_report_does_not_confirm_an_end(self) -> None:
        await self.start_engines(count=2, unframed=True, refused_reports=20)
        for number in range(4):
            answer = await ask(self.node, "/chat/1", request_id=f"r{number}", **prompt())
            events = answer.body.count(b"\n\n")
            self.assertTrue(
                answer.status != 200 or answer.headers.get("whole") != "yes" or events == 3,
                f"{events} events as a whole stream",
            )
            await asyncio.sleep(0.4)
        await asyncio.gather(*self.restarts)


class TestCrashes(FleetCase):
    """A request ends each engine that runs it, and another process listens there at once."""

    async def test_an_end_without_a_length_counts_against_the_request_behind_it(self) -> None:
        faults = mock.patch.dict(standin.FAULTS, {"part-and-restart": _part_and_restart})
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.restarts: list[asyncio.Task[None]] = []
        for number in range(2):
            worker = Worker(name=f"t{number}", events=3)
            worker.unframed = True
            worker.crashed = self._restart
            worker.faults = ["part-and-restart"]
            await self.fleet.worker(worker, "engines")
        node = await self.fleet.node()
        await ask(node, "/chat/1", request_id="r1", **prompt())
        await asyncio.gather(*self.restarts)
        await asyncio.sleep(0.5)
        self.assertTrue(self.restarts)
        self.assertFalse(node.node.views.crashes.is_empty, "no crash is known")

    def _restart(self, worker: Worker) -> None:
        async def restart() -> None:
            again = worker.successor()
            host, _, port = self.fleet.addresses[worker.name].rpartition(":")
            self.fleet.workers[again.name] = again
            await again.start(host, int(port))
            await asyncio.sleep(1.0)
            self.fleet.store.drop("servers", worker.name)

        self.restarts.append(asyncio.ensure_future(restart()))


class TestManyRestarts(ReportCase):
    async def test_streams_go_on_where_two_engines_of_eight_have_not_started_again(self) -> None:
        await self.start(engines=8, versions=("v1",))
        callers = await self.open_streams(18)
        for engine in self.engines[:6]:
            await self.restart(engine, "v2")
        await self.end_streams(callers)
        self.assert_whole(callers)

    async def test_a_request_is_served_where_one_engine_of_eight_is_as_its_entry_tells(
        self,
    ) -> None:
        await self.start(nodes=1, engines=8, versions=("v1",))
        for engine in self.engines[:7]:
            await self.restart(engine, "v1")
        answer = await ask(self.nodes[0], "/chat/1", request_id="r1", **prompt())
        self.assertEqual(answer.status, 200, answer)

    async def test_streams_without_a_process_of_their_version_end_at_once(self) -> None:
        await self.start(nodes=1, engines=2, versions=("v1", "v1.1"))
        callers = await self.open_streams(9)
        moved = [c for c in callers if "e0" in c.targets]
        self.assertTrue(moved)
        await self.restart(self.engines[0], "v1.1")
        at = asyncio.get_running_loop().time()
        await self.end_streams(moved)
        self.assertLess(asyncio.get_running_loop().time() - at, 0.5)
        await self.end_streams(callers)
        self.assert_unmixed(callers)


class TestSlowReports(FleetCase):
    async def _target(self, service: str, report_seconds: float, events: int = 0) -> _Reporter:
        worker = _Reporter(name="w", events=events)
        worker.started = _STARTED_MS
        worker.report_seconds = report_seconds
        await self.fleet.worker(worker, service)
        return worker

    async def test_the_deadline_that_a_target_gets_is_what_is_left(self) -> None:
        self.tolerate_pauses(3.0)
        worker = await self._target("plain", 0.8)
        node = await self.fleet.node()
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await ask(node, "/unsafe/1", request_id="r1", deadline_ms=2500)
        self.assertEqual(answer.status, 200)
        (ran,) = worker.ran
        end = ran.at + int(ran.headers["x-deadline-ms"]) / 1000
        self.assertLess(end - (sent_at + 2.5), 0.5)

    async def test_a_plain_target_that_never_reports_serves(self) -> None:
        worker = await self._target("plain", 30.0)
        node = await self.fleet.node()
        answers = []
        for number in range(3):
            answers.append(await ask(node, "/safe/1", request_id=f"r{number}", deadline_ms=3000))
        self.assertEqual([a.status for a in answers], [200] * 3, len(worker.arrivals))

    async def test_an_engine_with_slow_reports_serves(self) -> None:
        worker = await self._target("engines", 1.2, events=3)
        node = await self.fleet.node()
        answers = []
        for number in range(3):
            each = await ask(node, "/chat/1", request_id=f"r{number}", deadline_ms=3000, **prompt())
            answers.append(each)
        self.assertEqual([a.status for a in answers], [200] * 3, len(worker.arrivals))
