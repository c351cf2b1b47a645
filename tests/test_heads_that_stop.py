"""A response that stops before its end, at any byte, is not taken for whole.

Failure: less than the target sent was passed on as its whole response, or a request that ran
counted as one that was never sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading
import time
import unittest
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node import http_client
from fielddrift_node.http_client import HttpClient
from fielddrift_node.web.client import Client, Timeouts
from fielddrift_node.web.errors import RESET_REASON, ExchangeError
from fielddrift_node.web.messages import Framing, Reply, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer, ProcessCheck
from fielddrift_node.web.server import set_reset_on_close
from fielddrift_node.web.tunnel import TunnelServer, TunnelStatus
from fielddrift_standins import worker as standin
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker
from hypothesis import given, settings
from hypothesis import strategies as st

from .platform_fleet import FleetCase, ask, prompt

_REQUEST = b"GET /run HTTP/1.1\r\nHost: x\r\n\r\n"
_CHECK = b"GET /who HTTP/1.1\r\nHost: x\r\n\r\n"
_BODY = b"0123456789abcdef"
_TIMEOUTS = Timeouts(connect=5.0, whole=10.0)
_PAUSE_SECONDS = 0.002
_RESET = struct.pack("ii", 1, 0)
"""The option `SO_LINGER` that makes a close a reset."""
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_LATE = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate"
_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_WHOLE = {
    "length": _HEAD + b"Content-Length: 16\r\n\r\n" + _BODY,
    "empty": _HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": _CHUNKED + b"a\r\n" + _BODY[:10] + b"\r\n6;q=1\r\n" + _BODY[10:] + b"\r\n0\r\n\r\n",
    "trailers": _CHUNKED + b"10\r\n" + _BODY + b"\r\n0\r\nX-End: yes\r\nX-More: no\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nX-Id: own\r\n\r\n",
    "http-1.0": b"HTTP/1.0 200 OK\r\nX-Id: own\r\nContent-Length: 16\r\n\r\n" + _BODY,
}
"""Responses by framing; each tells where it ends."""
_CLOSED = _HEAD + b"\r\n" + _BODY
"""One that only the close of its connection ends."""


class Stop(NamedTuple):
    """What a target sends to one request before it ends the connection, and how it ends it."""

    data: bytes
    resets: bool = False
    pauses: bool = False


class Target:
    """Sends one `Stop` for each request, in order; counts the requests to run something."""

    def __init__(self) -> None:
        self.stops: list[Stop] = []
        self.kept = 0
        """Requests of a connection that are answered whole before one that stops."""
        self.checks_stop = False
        self.runs = 0
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"

    async def start(self) -> asyncio.Server:
        """Listen at the address."""
        return await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                is_check = request.startswith(b"GET /who")
                self.runs += not is_check
                if is_check and not self.checks_stop:
                    writer.write(_WHOLE["length"])
                elif self.kept and not is_check:
                    self.kept -= 1
                    writer.write(_WHOLE["length"])
                else:
                    await self._stop(writer, self.stops.pop(0))
                    return
        writer.close()

    async def _stop(self, writer: asyncio.StreamWriter, stop: Stop) -> None:
        half = len(stop.data) // 2 if stop.pauses else len(stop.data)
        writer.write(stop.data[:half])
        if stop.pauses:
            await asyncio.sleep(_PAUSE_SECONDS)
            writer.write(stop.data[half:])
            await asyncio.sleep(_PAUSE_SECONDS)
        if stop.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.close()


def _accepts(head: ResponseHead) -> bool:
    return head.headers.text(b"x-id") == "own"


def _process() -> ProcessCheck:
    return ProcessCheck("p", _CHECK, lambda head: True, lambda reply: ProcessAnswer.EXPECTED)


class TestClient(unittest.TestCase):
    def setUp(self) -> None:
        runner = asyncio.Runner()
        self.addCleanup(runner.close)
        self.run_loop = runner.run
        self.target = Target()
        self.client = Client()
        self.tunnels = f"{HOST}:{free_port()}"
        self.run_loop(self._start())

    async def _start(self) -> None:
        target = await self.target.start()
        self.addCleanup(target.close)
        server = TunnelServer(
            admit=lambda address: TunnelStatus.OPEN, on_connect=lambda address, status: status
        )
        host, _, port = self.tunnels.rpartition(":")
        await server.start(host, int(port))
        self.addCleanup(server.stop_accepting)

    async def _send(self, through: str = "", process: ProcessCheck | None = None) -> Reply:
        exchange = await self.client.begin(
            self.target.address,
            _REQUEST,
            connect_seconds=5.0,
            accepts=_accepts,
            through=through,
            process=process,
            compares=False,
        )
        try:
            async with asyncio.timeout(10.0):
                return Reply(await exchange.head(), await exchange.body())
        finally:
            exchange.cancel()

    async def _stopped(
        self, stop: Stop, *, kept: bool = False, through: str = "", checked: bool = False
    ) -> Reply | ExchangeError:
        """Return what becomes of a request whose response is `stop`; check that it ran once."""
        target = self.target
        target.stops, target.runs, target.kept = [stop], 0, int(kept)
        process = _process() if checked else None
        if kept:
            await self._send(through, process)
        self.assertEqual(target.runs, int(kept))
        result: Reply | ExchangeError
        try:
            result = await self._send(through, process)
        except ExchangeError as error:
            result = error
        self.client.close()
        self.assertEqual(target.runs, 1 + kept, "sent not at all, or twice")
        return result

    def _check_cut(self, result: Reply | ExchangeError, place: object) -> None:
        assert isinstance(result, ExchangeError), (place, result)
        self.assertEqual((result.sent, result.reason), (True, RESET_REASON), place)

    def test_no_response_is_whole_before_its_last_byte(self) -> None:
        """Every position of each framing, closed and reset."""
        for framing, whole in _WHOLE.items():
            for resets in (False, True):
                for cut in range(len(whole)):
                    result = self.run_loop(self._stopped(Stop(whole[:cut], resets)))
                    self._check_cut(result, (framing, resets, whole[:cut]))
            result = self.run_loop(self._stopped(Stop(whole)))
            assert isinstance(result, Reply), (framing, result)

    def test_a_response_without_a_length_is_known_as_such(self) -> None:
        """Its end in order can't be told from a cut: whoever reads it must be told so."""
        start = len(_CLOSED) - len(_BODY)
        for cut in range(len(_CLOSED)):
            reset = self.run_loop(self._stopped(Stop(_CLOSED[:cut], True)))
            self._check_cut(reset, cut)
            result = self.run_loop(self._stopped(Stop(_CLOSED[:cut])))
            if cut < start:
                self._check_cut(result, cut)
            else:
                assert isinstance(result, Reply)
                self.assertIs(result.head.framing, Framing.CLOSE)
                self.assertEqual(result.body, _CLOSED[start:cut])

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        framing=st.sampled_from(sorted(_WHOLE)),
        before=st.lists(st.sampled_from((_INTERIM, _LATE)), max_size=3),
        part=st.floats(0.0, 1.0, exclude_max=True),
        resets=st.booleans(),
        pauses=st.booleans(),
        kept=st.booleans(),
        tunnelled=st.booleans(),
        checked=st.booleans(),
    )
    def test_nor_behind_other_heads_on_any_connection(
        self,
        framing: str,
        before: list[bytes],
        part: float,
        resets: bool,
        pauses: bool,
        kept: bool,
        tunnelled: bool,
        checked: bool,
    ) -> None:
        """Behind interim heads and late answers, on a reused connection, through a tunnel."""
        whole = b"".join(before) + _WHOLE[framing]
        stop = Stop(whole[: int(part * len(whole))], resets, pauses)
        through = self.tunnels if tunnelled else ""
        sent = self._stopped(stop, kept=kept, through=through, checked=checked)
        self._check_cut(self.run_loop(sent), (stop, kept, tunnelled, checked))

    def test_a_process_check_that_stops_sends_no_request(self) -> None:
        async def checked(stop: Stop) -> ExchangeError:
            self.target.stops, self.target.runs = [stop], 0
            with self.assertRaises(ExchangeError) as raised:
                await self._send(process=_process())
            return raised.exception

        self.target.checks_stop = True
        whole = _WHOLE["chunks"]
        for cut in range(len(whole)):
            for resets in (False, True):
                error = self.run_loop(checked(Stop(whole[:cut], resets)))
                self.assertEqual((error.sent, error.reason), (False, RESET_REASON), cut)
                self.assertEqual(self.target.runs, 0)

    def test_a_call_that_stops_is_sent_once(self) -> None:
        async def called(stop: Stop) -> ExchangeError:
            self.target.stops, self.target.runs = [stop], 0
            with self.assertRaises(ExchangeError) as raised:
                await self.client.call(self.target.address, _REQUEST, timeouts=_TIMEOUTS)
            return raised.exception

        whole = _WHOLE["trailers"]
        for cut in range(len(whole)):
            error = self.run_loop(called(Stop(whole[:cut])))
            self.assertEqual((error.sent, error.reason), (True, RESET_REASON), cut)
            self.assertEqual(self.target.runs, 1)


class TestHttpClient(unittest.TestCase):
    """The same for the calls of the own interface."""

    def setUp(self) -> None:
        self.http = HttpClient()
        self.addCleanup(self.http.close)
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.url = f"http://{HOST}:{self.listener.getsockname()[1]}/"
        self.stop = Stop(b"")
        self.runs = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65536)
                self.runs += 1
                connection.sendall(self.stop.data)
                if self.stop.pauses:
                    time.sleep(_PAUSE_SECONDS)
                if self.stop.resets:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)

    def _stopped(self, stop: Stop, method: str = "POST") -> http_client.Reply | ExternalSystemError:
        self.stop, self.runs = stop, 0
        call = http_client.Call(method, self.url, timeout=10.0, connect_timeout=5.0, fresh=True)
        result: http_client.Reply | ExternalSystemError
        try:
            result = self.http.request(call)
        except ExternalSystemError as error:
            result = error
        self.assertEqual(self.runs, 1, "sent not at all, or twice")
        return result

    def _check_cut(self, result: http_client.Reply | ExternalSystemError, place: object) -> None:
        assert isinstance(result, ExternalSystemError), (place, result)
        self.assertEqual((result.not_executed, result.broken), (False, True), place)

    def _cuts(self) -> Iterator[tuple[str, bytes]]:
        for framing, whole in _WHOLE.items():
            for before in (b"", _INTERIM):
                data = before + whole
                yield from ((framing, data[:cut]) for cut in range(len(data)))

    def test_no_response_is_whole_before_its_last_byte(self) -> None:
        for framing, data in self._cuts():
            for resets in (False, True):
                stop = Stop(data, resets, pauses=resets)
                self._check_cut(self._stopped(stop), (framing, resets, data))

    def test_a_response_without_a_length_is_known_as_such(self) -> None:
        start = len(_CLOSED) - len(_BODY)
        for cut in range(len(_CLOSED)):
            result = self._stopped(Stop(_CLOSED[:cut]))
            if cut < start:
                self._check_cut(result, _CLOSED[:cut])
            else:
                assert isinstance(result, http_client.Reply)
                self.assertFalse(result.delimited)


class TestNodes(FleetCase):
    """Requests that may run once only, at two targets whose responses stop inside their heads."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.cut, self.resets = 0, False

        async def stop(exchange: Any) -> None:
            worker, responder = exchange.worker, exchange.responder
            worker.begin(exchange.request)
            fields = [*worker.head(exchange.request_id), (b"Content-Length", b"0")]
            lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in fields)]
            head = b"\r\n".join([*lines, b"", b""])
            self.size = len(head)
            responder.write_raw(head[: self.cut])
            if self.resets:
                set_reset_on_close(responder._connection._transport, True)
            responder.cut()

        faults = mock.patch.dict(standin.FAULTS, {"stop": stop})
        faults.start()
        self.addCleanup(faults.stop)

    async def _check_cuts(self, service: str, path: str, **fields: str) -> None:
        """Cut the head at every byte, closed in order and reset."""
        workers = [await self.fleet.worker(Worker(name=name), service) for name in ("t", "u")]
        node = await self.fleet.node()
        self.size = 1
        while self.cut < self.size:
            for self.resets in (False, True):
                for worker in workers:
                    worker.faults = ["stop"]
                name = f"r{self.cut}-{self.resets}"
                answer = await ask(node, path, request_id=name, body=name.encode(), **fields)
                place = (path, self.cut, self.resets, answer)
                self.assertEqual(answer.status, 502, place)
                self.assertNotIn("x-not-executed", answer.headers, place)
                runs = [run for worker in workers for run in worker.ran if run.request_id == name]
                self.assertEqual(len(runs), 1, place)
            self.cut += 1
        self.assertGreater(self.size, 100)

    async def test_an_unsafe_request_runs_once_and_is_not_called_unrun(self) -> None:
        await self._check_cuts("plain", "/unsafe/1")

    async def test_nor_is_a_stream_that_may_be_sent_once(self) -> None:
        await self._check_cuts("engines", "/verdict/1", **prompt())
