"""A request is sent only on a connection that leads to the process which was asked for.

Failure: behind a server that closes its connections after each report, a request went out on a
connection that nobody had checked, and to another process if that had just started.
"""

from __future__ import annotations

import asyncio
import itertools
import unittest

from fielddrift_node.web.client import Client
from fielddrift_node.web.errors import UNIDENTIFIED_REASON, ExchangeError
from fielddrift_node.web.process_check import ProcessAnswer, ProcessCheck

from .platform_fleet import HOST, eventually, free_port

_REPORT = b"GET /report HTTP/1.1\r\nHost: x\r\n\r\n"
_REQUEST = b"GET /work HTTP/1.1\r\nHost: x\r\n\r\n"


def _check(process: str) -> ProcessCheck:
    def judge(reply) -> ProcessAnswer:
        named = reply.body.decode()
        return ProcessAnswer.EXPECTED if named == process else ProcessAnswer.OTHER

    return ProcessCheck(process, _REPORT, lambda head: True, judge)


class _Server:
    """A server that names the process that accepted each connection."""

    def __init__(self) -> None:
        self.process = "a"
        self.reports = 0
        self.closes = False
        """Whether it closes the connection behind each report."""
        self.replaced_after = 0
        """Reports after which another process takes its place, 0 for never."""
        self.is_silent = False
        self.limit = 100
        """Connections that it accepts; those beyond are reset."""
        self.open = 0
        self.served: list[str] = []
        """The process that got each request."""
        self.address = ""

    async def start(self) -> None:
        port = free_port()
        self.address = f"{HOST}:{port}"
        self._server = await asyncio.start_server(self._serve, HOST, port)

    def close(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        process = self.process
        self.open += 1
        try:
            if self.open > self.limit:
                writer.transport.abort()
                return
            while data := await reader.readuntil(b"\r\n\r\n"):
                is_report = data.startswith(b"GET /report")
                if not is_report:
                    self.served.append(process)
                elif self.is_silent:
                    continue
                else:
                    self.reports += 1
                    if self.reports == self.replaced_after:
                        self.process = "b"
                closing = b"Connection: close\r\n" if is_report and self.closes else b""
                head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n%b\r\n" % closing
                writer.write(head + process.encode())
                if closing:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()


class TestCheckedConnections(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = _Server()
        await self.server.start()
        self.client = Client()
        self.numbers = itertools.count()

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()

    async def _send(self, *, process: str = "a", max_connections: int | None = None) -> bytes:
        exchange = await self.client.begin(
            self.server.address,
            _REQUEST,
            connect_seconds=1.0,
            max_connections=max_connections,
            process=_check(process),
            request_id=str(next(self.numbers)),
        )
        return await exchange.body()

    async def _all_closed(self) -> None:
        self.client.close()
        await eventually(lambda: self.client._open_counts == {} and not self.client._established)
        await eventually(lambda: self.server.open == 0)

    async def test_a_server_that_closes_behind_reports_is_used(self) -> None:
        self.server.closes = True
        for _ in range(3):
            await self._send()
        self.assertEqual(self.server.served, ["a"] * 3)
        await self._all_closed()

    async def test_a_process_that_starts_behind_a_report_gets_no_request_of_the_one_before(
        self,
    ) -> None:
        for reports in (1, 2, 3):
            with self.subTest(reports=reports):
                self.server.closes, self.server.process = True, "a"
                self.server.reports, self.server.replaced_after = 0, reports
                try:
                    await self._send()
                except ExchangeError as error:
                    self.assertFalse(error.sent)
                self.assertNotIn("b", self.server.served)
                await self._all_closed()

    async def test_a_kept_connection_of_another_kind_of_send_is_checked(self) -> None:
        await self.client.connect(self.server.address, seconds=1.0)
        await eventually(lambda: self.server.open == 1)
        self.server.process = "b"
        await self._send()
        self.assertEqual((self.server.served, self.server.reports), (["a"], 1))
        await self._send()
        self.assertEqual(self.server.reports, 1)

    async def test_a_connection_to_the_process_before_is_closed(self) -> None:
        await self._send()
        self.server.process = "b"
        await self._send(process="b")
        self.assertEqual(self.server.served, ["a", "b"])
        await eventually(lambda: self.server.open == 1)

    async def test_a_send_that_is_cancelled_during_its_check_leaves_no_connection(self) -> None:
        self.server.is_silent = True
        for _ in range(3):
            task = asyncio.ensure_future(self._send(max_connections=1))
            await eventually(lambda: self.server.open == 1)
            await asyncio.sleep(0.02)
            task.cancel()
            await asyncio.wait([task])
            await eventually(lambda: self.server.open == 0)
        self.server.is_silent = False
        await self._send(max_connections=1)
        self.assertEqual(self.server.served, ["a"])
        await self._all_closed()

    async def test_a_silent_server_has_not_got_the_request(self) -> None:
        self.server.is_silent = True
        with self.assertRaises(ExchangeError) as caught:
            await self._send()
        self.assertEqual((caught.exception.sent, caught.exception.connect_timed_out), (False, True))
        await self._all_closed()

    async def test_a_server_without_room_has_not_got_the_request(self) -> None:
        self.server.limit = 0
        with self.assertRaises(ExchangeError) as caught:
            await self._send()
        self.assertFalse(caught.exception.sent)
        await self._all_closed()

    async def test_refused_checks_leave_no_connection(self) -> None:
        check = ProcessCheck("a", _REPORT, lambda head: True, lambda reply: ProcessAnswer.REFUSED)
        for _ in range(3):
            with self.assertRaises(ExchangeError) as caught:
                await self.client.begin(
                    self.server.address,
                    _REQUEST,
                    connect_seconds=1.0,
                    max_connections=1,
                    process=check,
                )
            self.assertEqual(caught.exception.reason, UNIDENTIFIED_REASON)
            # The end of a closed connection is noticed one turn of the loop later.
            await eventually(lambda: self.client._open_counts == {})
        await self._all_closed()

    async def test_checks_keep_to_the_number_of_connections(self) -> None:
        self.server.closes = True
        for _ in range(3):
            await self._send(max_connections=2)
        self.assertEqual(self.server.served, ["a"] * 3)
        await self._all_closed()
