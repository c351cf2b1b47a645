"""What a node holds for slow readers must stay under the memory limit of its host."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import unittest
from unittest import mock

from fielddrift_core import memory_budget
from fielddrift_core.memory_budget import MAX_CONNECTION_BYTES, ConnectionBytes, MemoryBudget
from fielddrift_node.web import host_memory
from fielddrift_node.web.client import Client
from fielddrift_node.web.host_memory import HostMemory
from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server
from fielddrift_platform.settings import load

from .platform_fleet import HOST, eventually, free_port, get, parse, send_raw
from .test_platform_adapter import SETTINGS

LIMIT = 152_000_000
BODY = 30_000
PIECE = 16 * 1024
READER_COUNT = 400


class _Load:
    """400 callers that take little of long responses, beside one that takes all at once."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.slow = [self._open(budget) for _ in range(READER_COUNT)]
        self.quick = self._open(budget)
        self.quick_paused = 0

    def _open(self, budget: MemoryBudget) -> ConnectionBytes:
        record = budget.open(0.0)
        if budget.may_take_body(BODY):
            record.reserve_body(BODY, 0.0)
            record.body_complete()
        return record

    def run(self, rounds: int) -> int:
        """Read pieces for all, within the bounds of each buffer; return the most held."""
        most = 0
        for now in range(rounds):
            for record in self.slow:
                piece = PIECE if record.may_read else 0
                if record.unsent < MAX_CONNECTION_BYTES:
                    record.written(piece, unsent=record.unsent + piece, now=now)
                elif record.held - BODY - record.unsent < MAX_CONNECTION_BYTES:
                    record.add_read(piece)
                most = max(most, self.budget.held)
            self.quick_paused += not self.quick.may_read
            self.quick.add_read(500)
            self.quick.release_read(500)
        return most


class TestAccount(unittest.TestCase):
    def test_400_slow_readers_stay_under_the_limit_of_a_small_host(self) -> None:
        former = _Load(MemoryBudget()).run(40)
        self.assertGreater(former, LIMIT, "bounds for each buffer alone do not hold this load")
        load = _Load(MemoryBudget(limit_bytes=LIMIT))
        self.assertLess(load.run(40), load.budget.hard)
        self.assertLess(load.budget.hard, LIMIT / 4)
        self.assertEqual(load.quick_paused, 0, "a caller that takes all at once waits for no one")

    def _filled(self, count: int) -> tuple[MemoryBudget, list[ConnectionBytes]]:
        """Return a budget beyond its bound for closing, filled evenly by `count` readers."""
        budget = MemoryBudget(limit_bytes=LIMIT)
        records = [budget.open(0.0) for _ in range(count)]
        for record in records:
            size = budget.hard * 9 // 10 // count
            record.written(size, unsent=size, now=0.0)
        return budget, records

    def test_those_that_hold_most_for_longest_are_closed_and_finished_ones_last(self) -> None:
        budget, records = self._filled(20)
        records[0].end_response(0)
        records[1].written(10**6, unsent=records[1].unsent + 10**6, now=0.0)
        records[2].sample(unsent=records[2].unsent - 1, in_kernel=0, now=1.5)
        self.assertEqual(budget.to_close(3.9), [], "not before they are stalled")
        closed = budget.to_close(5.0)
        self.assertIs(closed[0], records[1])
        self.assertNotIn(records[0], closed)
        self.assertNotIn(records[2], closed)
        for record in closed:
            record.close()
        self.assertFalse(budget.past_close)
        self.assertEqual(budget.to_close(5.0), [], "no more than needed")

    def test_a_reader_that_progresses_is_kept_however_slow(self) -> None:
        budget, records = self._filled(2)
        for now in range(2, 60, 2):
            for record in records:
                record.sample(unsent=record.unsent - 1, in_kernel=0, now=now)
            self.assertEqual(budget.to_close(now + 1.9), [])

    def test_a_connection_that_waits_for_a_target_is_kept(self) -> None:
        budget = MemoryBudget(limit_bytes=LIMIT)
        waiting, sending = budget.open(0.0), budget.open(0.0)
        for record in (waiting, sending):
            record.reserve_body(budget.hard // 2, 0.0)
        waiting.body_complete()
        self.assertFalse(budget.may_take_body(1))
        self.assertTrue(budget.may_take_body(0), "a request without a body takes nothing")
        self.assertEqual(budget.to_close(5.0), [sending])

    def test_nothing_is_left_in_the_account_by_a_connection_that_ended(self) -> None:
        budget = MemoryBudget(limit_bytes=LIMIT)
        record = budget.open(0.0)
        record.reserve_body(100, 0.0)
        record.add_read(50)
        record.collect(30)
        record.written(70, unsent=70, now=0.0)
        record.end_response(100)
        self.assertEqual((record.held, budget.held), (70, 70))
        record.close()
        record.release_read(50)
        self.assertEqual(budget.held, 0)

    def test_the_limit_is_read_from_the_platform_s_settings(self) -> None:
        for text, limit in ((SETTINGS, 0), (SETTINGS + "[limits]\nmemory-mb = 152\n", LIMIT)):
            with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
                file.write(text)
                file.flush()
                self.assertEqual(load(file.name).node.memory_limit, limit)


class _Transport(mock.Mock):
    """The write buffer of a caller's connection; no socket."""

    unsent = 0

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def get_extra_info(self, name: str) -> None:
        return None


class TestProgress(unittest.IsolatedAsyncioTestCase):
    """A reader that takes its response slowly but steadily must not count as stalled."""

    def setUp(self) -> None:
        self.transport = _Transport()
        self.memory = HostMemory(limit_bytes=LIMIT)

    async def test_bytes_in_the_kernel_do_not_count_as_taken(self) -> None:
        held = self.memory.open(self.transport)
        now, in_kernel = asyncio.get_running_loop().time(), 40_000
        with mock.patch.object(host_memory, "_unacknowledged_bytes", lambda _: in_kernel):
            self.transport.unsent = 20_000
            held.write(b"x" * 60_000)
            self.transport.unsent = 0
            held.sample(now)
            self.transport.unsent = 100_000
            held.write(b"x" * 100_000)
            held.sample(now)
            for _ in range(10):
                now, in_kernel = now + 2.0, in_kernel - 1000
                held.sample(now)
                self.assertEqual(held.record.stalled_seconds(now + 1.9), 0.0)


ANSWER = b"x" * 1_500_000
SLOW_COUNT = 24


class TestServer(unittest.IsolatedAsyncioTestCase):
    """Slow readers of long responses beside quick callers, over loopback."""

    async def asyncSetUp(self) -> None:
        self.closed = self.refused = self.most = self.taken = 0
        self.posted = asyncio.Event()
        self.memory = HostMemory(
            limit_bytes=48_000_000, on_closed=self._on_closed, on_refused=self._on_refused
        )
        self.hard = self.memory.budget.hard
        self.client = Client()
        self.target, self.address = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        self.servers = [
            Server(handler=self._answer, limits=Limits),
            Server(handler=self._relay, limits=Limits, memory=self.memory),
        ]
        for server, address in zip(self.servers, (self.target, self.address), strict=True):
            await server.start(HOST, int(address.split(":")[1]))
        self.watch = asyncio.ensure_future(self._watch())

    async def asyncTearDown(self) -> None:
        self.watch.cancel()
        for server in self.servers:
            server.stop_accepting()
            server.close()
        self.client.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.memory.budget.held, 0)

    def _on_closed(self) -> None:
        self.closed += 1

    def _on_refused(self) -> None:
        self.refused += 1

    async def _watch(self) -> None:
        while True:
            self.most = max(self.most, self.memory.budget.held)
            await asyncio.sleep(0.002)

    async def _answer(self, request: Request, responder: Responder) -> None:
        size = int(request.head.target[1:])
        responder.start(200, Headers(), None)
        for start in range(0, size, PIECE):
            responder.write(ANSWER[start : min(start + PIECE, size)])
            await responder.drain()
            await asyncio.sleep(0.001)
        responder.end()

    async def _relay(self, request: Request, responder: Responder) -> None:
        if request.body:
            await self.posted.wait()
        data = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % request.head.target
        exchange = await self.client.begin(self.target, data, connect_seconds=2.0)
        try:
            responder.start((await exchange.head()).status, Headers(), None)
            while data := await exchange.read():
                responder.write(data)
                await responder.drain()
            responder.end()
        finally:
            exchange.cancel()

    async def _slow(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        host, port = self.address.split(":")
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        writer.write(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % len(ANSWER))
        return reader, writer

    async def test_bytes_after_the_last_request_do_not_release_its_body(self) -> None:
        host, port = self.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(_post(100_000))
        await eventually(lambda: self.memory.budget.held == 100_000, 2.0)
        writer.write(b"GET / HTTP/1.1\r\n")
        await asyncio.sleep(0.05)
        self.assertEqual(self.memory.budget.held, 100_000, "the body is still held")
        self.posted.set()
        await eventually(lambda: not self.memory.budget.held, 2.0)
        writer.close()

    async def _read_steadily(self, reader: asyncio.StreamReader) -> None:
        while data := await reader.read(4096):
            self.taken += len(data)
            await asyncio.sleep(0.02)
        self.fail("a reader that takes its response slowly but steadily was cut off")

    async def test_slow_readers_leave_room_for_others(self) -> None:
        readers = [await self._slow() for _ in range(SLOW_COUNT)]
        steady = asyncio.ensure_future(self._read_steadily(readers[0][0]))
        for _ in range(4):
            answer = await get(self.address, "/200000")
            self.assertEqual((answer.headers.get("whole"), len(answer.body)), ("yes", 200_000))
            await asyncio.sleep(0.1)
        self.assertGreater(self.most, self.hard // 2, "the load that this test is about")
        self.assertEqual((self.closed, self.refused), (0, 0))

        refusal = parse(await asyncio.wait_for(send_raw(self.address, _post(4_000_000)), 1.0))
        self.assertEqual((refusal.status, self.refused), (503, 1))
        self.assertEqual(refusal.headers["retry-after"], "0.250")

        with mock.patch.object(memory_budget, "_STALL_SECONDS", 0.5):
            waiting = asyncio.ensure_future(send_raw(self.address, _post(800_000)))
            await eventually(lambda: self.closed, 2.0)
        self.assertLess(self.closed, SLOW_COUNT - 1, "no more than needed")
        self.posted.set()
        self.assertEqual(parse(await waiting).status, 200)
        self.assertLess(self.most, self.hard)
        self.assertFalse(steady.done())
        self.assertGreater(self.taken, 4 * 4096)
        steady.cancel()
        for _, writer in readers:
            writer.close()


def _post(size: int) -> bytes:
    head = b"POST /5 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    return head % size + b"y" * size
