"""The limits on callers' connections follow the configuration, on open connections too."""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.web.limits_in_force import LimitsInForce
from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import BOUNDS, Answer, FleetCase, ask, eventually, get, parse, request

_SHORT_SECONDS = 1.5
_LONG_SECONDS = 5.0
_CHANGE_SECONDS = 1.0
_OVERLAP_SECONDS = 2 * _CHANGE_SECONDS


class KeptConnection:
    """A connection to a node that is kept open between requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> KeptConnection:
        """Connect to an address."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._writer.write(data)

    async def answer(self) -> Answer | None:
        """Return the next response, None if the connection was closed without one."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = parse(head).headers.get("content-length", "0")
            return parse(head + await self._reader.readexactly(int(length)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def ask(self, **extra: object) -> Answer | None:
        """Send a request and return its response, None if there was none."""
        self.write(request("/safe/x", Connection="", **extra))  # type: ignore[arg-type]
        return await self.answer()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class TestOpenConnections(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="w1"), "plain")

    async def start(self, idle_seconds: float) -> KeptConnection:
        """Start a node under an idle time and return a connection that has served a request."""
        self.limit(idle_seconds)
        self.node = await self.fleet.node(bounds=BOUNDS._replace(change=_CHANGE_SECONDS))
        connection = await KeptConnection.open(self.node.settings.entry)
        self.addCleanup(connection.close)
        answer = await connection.ask()
        assert answer is not None
        self.assertEqual(answer.status, 200)
        return connection

    def limit(self, idle_seconds: float, **others: int) -> None:
        """Write a configuration with an idle time, and with `others` of its limits."""
        self.fleet.limits |= {"idle-timeout-ms": round(idle_seconds * 1000)}
        self.fleet.limits |= {name.replace("_", "-"): value for name, value in others.items()}
        self.fleet.configure()

    async def apply(self, idle_seconds: float, **others: int) -> None:
        """Write a configuration and wait until the node has it."""
        self.limit(idle_seconds, **others)
        await eventually(self._has_newest)

    def _has_newest(self) -> bool:
        catalog = self.node.node.views.catalog
        return catalog is not None and catalog.version == self.fleet.version

    async def test_a_connection_is_not_closed_by_an_idle_time_that_was_lengthened(self) -> None:
        connection = await self.start(_SHORT_SECONDS)
        await self.apply(_LONG_SECONDS)
        await asyncio.sleep(_SHORT_SECONDS + 0.5)
        answer = await connection.ask()
        self.assertIsNotNone(answer, "closed without an answer")

    async def test_a_body_under_way_is_not_closed_by_an_idle_time_that_was_lengthened(self) -> None:
        connection = await self.start(_SHORT_SECONDS)
        whole = request("/safe/x", Connection="", body=b"ask")
        connection.write(whole[:-1])
        await self.apply(_LONG_SECONDS)
        await asyncio.sleep(_SHORT_SECONDS + 0.5)
        connection.write(whole[-1:])
        answer = await connection.answer()
        self.assertIsNotNone(answer, "closed without an answer")

    async def test_sizes_that_were_raised_hold_on_an_open_connection(self) -> None:
        connection = await self.start(_LONG_SECONDS)
        await self.apply(_LONG_SECONDS, max_header_bytes=3 * 4096, max_body_bytes=2 * 65536)
        answer = await connection.ask(body=b"x" * 100_000, X_Long="y" * 8000)
        assert answer is not None
        self.assertEqual(answer.status, 200, answer.body)

    async def test_a_caller_may_go_by_the_former_idle_time_until_the_shorter_one_is_known(
        self,
    ) -> None:
        connection = await self.start(_SHORT_SECONDS)
        await asyncio.sleep(0.4 * _SHORT_SECONDS)
        await self.apply(0.3)
        self.assertIsNotNone(await connection.ask())
        await asyncio.sleep(0.8 * _SHORT_SECONDS)
        self.assertIsNotNone(await connection.ask(), "closed without an answer")

    async def test_a_connection_that_rested_before_is_kept_for_the_former_idle_time(self) -> None:
        connection = await self.start(_LONG_SECONDS)
        await self.apply(0.3)
        await asyncio.sleep(_OVERLAP_SECONDS + 0.8)
        self.assertIsNotNone(await connection.ask(), "closed without an answer")

    async def test_a_shorter_idle_time_holds_once_all_know_it(self) -> None:
        await self.start(_LONG_SECONDS)
        await self.apply(0.3)
        await asyncio.sleep(_OVERLAP_SECONDS)
        connection = await KeptConnection.open(self.node.settings.entry)
        self.addCleanup(connection.close)
        self.assertIsNotNone(await connection.ask())
        async with asyncio.timeout(1.0):
            self.assertIsNone(await connection.answer())

    async def test_sizes_that_were_lowered_hold_once_all_know_them(self) -> None:
        connection = await self.start(_LONG_SECONDS)
        await self.apply(_LONG_SECONDS, max_body_bytes=1000)
        former = await connection.ask(body=b"x" * 2000)
        await asyncio.sleep(_OVERLAP_SECONDS)
        later = await connection.ask(body=b"x" * 2000)
        assert former is not None and later is not None
        self.assertEqual((former.status, later.status), (200, 413))


class TestAnnouncedIdleTime(FleetCase):
    async def test_a_response_announces_less_than_the_time_until_the_close(self) -> None:
        await self.fleet.worker(Worker(name="w1"), "plain")
        for idle_ms, announced in ((15000, "timeout=14"), (1500, "timeout=1"), (1200, None)):
            self.fleet.limits |= {"idle-timeout-ms": idle_ms}
            self.fleet.configure()
            node = await self.fleet.node()
            connection = await KeptConnection.open(node.settings.entry)
            self.addCleanup(connection.close)
            answer = await connection.ask()
            assert answer is not None
            self.assertEqual(answer.headers.get("keep-alive"), announced, idle_ms)
            expected = None if announced is None else "keep-alive"
            self.assertEqual(answer.headers.get("connection"), expected, idle_ms)
            await node.stop()
            self.fleet.nodes.remove(node)

    async def test_a_last_response_and_other_servers_announce_nothing(self) -> None:
        await self.fleet.worker(Worker(name="w1"), "plain")
        node = await self.fleet.node()
        connection = await KeptConnection.open(node.settings.entry)
        self.addCleanup(connection.close)
        connection.write(request("/safe/x"))
        answers = [await connection.answer()]
        for address in (node.settings.ready, node.settings.metrics, node.settings.peer):
            answers.append(await get(address, "/readyz"))
        for answer in answers:
            assert answer is not None
            self.assertEqual(answer.headers["connection"], "close")
            self.assertNotIn("keep-alive", answer.headers)


class TestAnnouncementAndClose(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.limits = Limits(idle_seconds=1.5)
        self.ending = asyncio.Event()
        self.server = Server(
            handler=self._handle, limits=lambda: self.limits, announces_idle_time=True
        )
        self.addCleanup(self.server.close)
        self.address = f"{HOST}:{free_port()}"
        await self.server.start(HOST, int(self.address.rpartition(":")[2]))

    async def _handle(self, request: Request, responder: Responder) -> None:
        responder.start(200, Headers(), 1)
        await self.ending.wait()
        responder.write(b"x")
        responder.end()

    async def test_an_announced_time_is_held_though_a_shorter_one_follows(self) -> None:
        connection = await KeptConnection.open(self.address)
        self.addCleanup(connection.close)
        connection.write(request("/", Connection=""))
        answer = asyncio.ensure_future(connection.answer())
        await eventually(lambda: self.server.busy)
        await asyncio.sleep(0.05)
        self.limits = Limits(idle_seconds=0.2)
        self.ending.set()
        first = await answer
        assert first is not None
        self.assertEqual(first.headers.get("keep-alive"), "timeout=1")
        await asyncio.sleep(1.0)
        self.assertIsNotNone(await connection.ask(), "closed without an answer")


class TestRequestsInProgress(FleetCase):
    async def test_a_shorter_time_of_its_route_does_not_end_a_request_in_progress(self) -> None:
        worker = await self.fleet.worker(Worker(name="w1", work_seconds=1.0), "plain")
        node = await self.fleet.node()
        asking = asyncio.ensure_future(ask(node, "/unsafe/x"))
        await eventually(lambda: bool(worker.ran))
        for route in self.fleet.routes:
            route["timeout-ms"] = 300
        self.fleet.configure()
        views = node.node.views
        await eventually(lambda: views.catalog and views.catalog.version == self.fleet.version)
        self.assertEqual((await asking).status, 200)
        self.assertEqual((await ask(node, "/unsafe/x", request_id="r2")).status, 504)


class TestLimitsInForce(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = LimitsInForce(overlap_seconds=2.0)

    def test_the_defaults_end_with_the_first_configuration(self) -> None:
        self.assertEqual(self.limits.at(0.0), Limits())
        first = Limits(idle_seconds=1.0, body_bytes=10)
        self.limits.replace(first, 1.0)
        self.assertEqual(self.limits.at(1.0), first)

    def test_each_limit_is_the_largest_of_the_last_configurations(self) -> None:
        self.limits.replace(Limits(idle_seconds=1.0, body_bytes=30), 0.0)
        self.limits.replace(Limits(idle_seconds=5.0, body_bytes=20), 1.0)
        self.limits.replace(Limits(idle_seconds=2.0, body_bytes=10), 2.0)
        for now, expected in ((2.0, (5.0, 30)), (3.0, (5.0, 20)), (4.0, (2.0, 10))):
            found = self.limits.at(now)
            self.assertEqual((found.idle_seconds, found.body_bytes), expected, now)

    def test_a_configuration_with_the_same_limits_prolongs_nothing(self) -> None:
        self.limits.replace(Limits(idle_seconds=5.0), 0.0)
        self.limits.replace(Limits(idle_seconds=2.0), 1.0)
        self.limits.replace(Limits(idle_seconds=2.0), 2.0)
        self.assertEqual(self.limits.at(3.0).idle_seconds, 2.0)
