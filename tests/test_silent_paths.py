"""A connection whose path has gone silent ends while a response is waited for."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
import unittest

from fielddrift_node.web.client import Client
from fielddrift_node.web.errors import ExchangeError
from fielddrift_standins.fleet import HOST, free_port

from .platform_fleet import eventually

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def lose_packets(sock: socket.socket) -> None:
    """Let the kernel drop every packet that arrives for `sock`, as on a path that is cut."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    filter_ = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_)


class TestSilentPaths(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self.address = f"{HOST}:{free_port()}"
        self.server = await asyncio.start_server(
            self.serve, HOST, int(self.address.rpartition(":")[2])
        )
        self.client = Client()

    async def asyncTearDown(self) -> None:
        self.client.close()
        for writer in self.writers:
            writer.transport.abort()
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        # The acknowledgement must be sent before the path is cut.
        await asyncio.sleep(0.1)
        self.received.set()

    async def begin(self):
        exchange = await self.client.begin(self.address, _REQUEST, connect_seconds=1.0)
        await self.received.wait()
        return exchange, self.writers[-1].get_extra_info("socket")

    async def test_a_wait_for_a_target_behind_a_silent_path_ends(self) -> None:
        # Nothing is left to be acknowledged, so that only probes can find out.  The time-out for
        # acknowledgements also decides when they give up.
        exchange, sock = await self.begin()
        lose_packets(sock._sock)
        loop = asyncio.get_running_loop()
        began = loop.time()
        with self.assertRaises(ExchangeError) as caught:
            async with asyncio.timeout(8.0):
                await exchange.head()
        self.assertTrue(caught.exception.sent)
        self.assertGreater(loop.time() - began, 2.5)
        self.assertLess(loop.time() - began, 6.5)

    async def test_a_path_that_is_silent_for_a_second_costs_nothing(self) -> None:
        exchange, sock = await self.begin()
        lose_packets(sock._sock)
        await asyncio.sleep(1.3)
        sock._sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
        await asyncio.sleep(3.0)
        self.writers[-1].write(_ANSWER)
        async with asyncio.timeout(2.0):
            self.assertEqual(await exchange.body(), b"ok")

    async def test_a_slow_target_is_not_taken_for_a_silent_path(self) -> None:
        exchange, _ = await self.begin()
        await asyncio.sleep(6.0)
        self.writers[-1].write(_ANSWER)
        async with asyncio.timeout(2.0):
            self.assertEqual(await exchange.body(), b"ok")

    async def test_an_idle_connection_on_a_silent_path_is_not_kept(self) -> None:
        await self.client.connect(self.address, seconds=1.0)
        await eventually(lambda: self.server.sockets and self.client.has_idle(self.address))
        # The server has not read anything: the connection is the one that was accepted.
        await asyncio.sleep(0.1)
        lose_packets(self.writers[0].get_extra_info("socket")._sock)
        await eventually(lambda: not self.client.has_idle(self.address), 7.0)
