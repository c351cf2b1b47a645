"""Tunnels between nodes carry connections to targets, and everything that becomes of them."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from collections.abc import Callable
from unittest import mock

from fielddrift_node.web.client import Client
from fielddrift_node.web.errors import CONNECT_REASON, TUNNEL_REASON, ExchangeError
from fielddrift_node.web.tunnel import TunnelError, TunnelHandshake, TunnelServer, TunnelStatus
from fielddrift_standins.fleet import HOST, free_port

from .platform_fleet import WAIT_SECONDS, eventually

_SLOW_SECONDS = 5.0
_ARRIVAL_SECONDS = 0.1
"""Longer than bytes take from the target to the node."""
_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_BIG = b"x" * 30_000_000
"""More than the buffers of two connections hold."""


class _Target(asyncio.Protocol):
    """A target that answers as it is told, and records its connections."""

    def __init__(self, *, answer: Callable[[asyncio.Transport], None]) -> None:
        self._answer = answer
        self.lost = asyncio.Event()
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        if b"\r\n\r\n" in self.received:
            self._answer(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()


def _answer_whole(transport: asyncio.Transport) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def _answer_until_close(transport: asyncio.Transport) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + _BIG)
    transport.close()


def _answer_part(transport: asyncio.Transport) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\n\r\nthe first part")


def _answer_part_and_reset(transport: asyncio.Transport) -> None:
    _answer_part(transport)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    asyncio.get_running_loop().call_later(0.05, transport.abort)


class TestTunnels(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # No test here is about slow connections, and a busy machine has them.
        connects = mock.patch("fielddrift_node.web.tunnel._CONNECT_SECONDS", _SLOW_SECONDS)
        connects.start()
        self.addCleanup(connects.stop)
        self.statuses: list[TunnelStatus] = []
        self.targets: list[_Target] = []
        self.address = f"{HOST}:{free_port()}"
        self.carrier = f"{HOST}:{free_port()}"
        self.known = {self.address}
        self.server = TunnelServer(admit=self.admit, on_connect=self.record)
        await self.server.start(HOST, int(self.carrier.rpartition(":")[2]))
        self.client = Client()
        self.listener: asyncio.Server | None = None

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.stop_accepting()
        self.server.close()
        if self.listener is not None:
            self.listener.close()

    def admit(self, address: str) -> TunnelStatus:
        return TunnelStatus.OPEN if address in self.known else TunnelStatus.FORBIDDEN

    def record(self, address: str, status: TunnelStatus) -> TunnelStatus:
        self.statuses.append(status)
        return status

    async def listen(self, answer: Callable[[asyncio.Transport], None]) -> None:
        def make() -> _Target:
            self.targets.append(_Target(answer=answer))
            return self.targets[-1]

        port = int(self.address.rpartition(":")[2])
        self.listener = await asyncio.get_running_loop().create_server(make, HOST, port)

    async def begin(self, address: str = ""):
        return await self.client.begin(
            address or self.address, _REQUEST, connect_seconds=_SLOW_SECONDS, through=self.carrier
        )

    async def failure(self, address: str = "") -> ExchangeError:
        with self.assertRaises(ExchangeError) as caught:
            await self.begin(address)
        self.assertFalse(caught.exception.sent)
        return caught.exception

    async def test_a_request_and_its_answer_pass_and_the_tunnel_is_used_again(self) -> None:
        await self.listen(_answer_whole)
        for kept in (False, True):
            exchange = await self.begin()
            self.assertEqual((await exchange.head()).status, 200)
            self.assertEqual(await exchange.body(), b"ok")
            self.assertEqual((exchange.kept, exchange.through), (kept, self.carrier))
        self.assertEqual(len(self.targets), 1)

    async def test_a_direct_connection_is_not_taken_for_a_tunnel(self) -> None:
        await self.listen(_answer_whole)
        await self.client.connect(self.address, seconds=1.0)
        exchange = await self.begin()
        self.assertFalse(exchange.kept)

    async def test_an_answer_that_ends_with_its_connection_is_whole(self) -> None:
        await self.listen(_answer_until_close)
        exchange = await self.begin()
        self.assertEqual(await exchange.body(), _BIG)

    async def test_an_answer_that_was_reset_never_passes_for_whole(self) -> None:
        await self.listen(_answer_part_and_reset)
        exchange = await self.begin()
        with self.assertRaises(ExchangeError):
            await exchange.body()

    async def test_a_target_learns_at_once_that_the_caller_has_left(self) -> None:
        await self.listen(lambda transport: None)
        exchange = await self.begin()
        await eventually(lambda: self.targets and b"\r\n\r\n" in self.targets[0].received)
        exchange.cancel()
        async with asyncio.timeout(0.3):
            await self.targets[0].lost.wait()
        await eventually(lambda: self.server.count == 0)

    async def test_a_slow_reader_holds_the_target_up(self) -> None:
        await self.listen(_answer_until_close)
        exchange = await self.begin()
        exchange.pause()
        await asyncio.sleep(0.3)
        self.assertGreater(self.targets[0].transport.get_write_buffer_size(), len(_BIG) // 2)
        exchange.cancel()
        await eventually(self.targets[0].lost.is_set, WAIT_SECONDS)

    async def test_a_refused_connection_is_told_as_the_target_s(self) -> None:
        error = await self.failure()
        self.assertEqual((error.reason, error.refused), (CONNECT_REASON, True))
        self.assertEqual(self.statuses, [TunnelStatus.REFUSED])

    async def test_an_address_of_no_target_is_not_connected_to(self) -> None:
        error = await self.failure(f"{HOST}:{free_port()}")
        self.assertEqual((error.reason, error.refused), (TUNNEL_REASON, False))
        self.assertEqual(self.statuses, [])

    async def test_a_node_that_is_gone_says_nothing_of_the_target(self) -> None:
        self.server.stop_accepting()
        error = await self.failure()
        self.assertEqual((error.reason, error.refused), (TUNNEL_REASON, False))

    async def test_a_request_for_a_tunnel_that_never_ends_is_reset(self) -> None:
        host, _, port = self.carrier.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"CONNECT " + b"x" * 2000)
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 1.0)
        writer.close()

    async def test_a_surplus_answer_before_the_first_request_closes_the_tunnel(self) -> None:
        # Failure: these bytes were dropped, and the tunnel was used although they belong to none.
        await self.listen(_answer_whole)
        handshake = await self._handshake()
        await eventually(lambda: self.targets)
        self.targets[0].transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        await asyncio.sleep(_ARRIVAL_SECONDS)
        with self.assertRaises(TunnelError):
            await handshake.opened()
        await eventually(lambda: self.server.count == 0)

    async def test_a_tunnel_that_ends_before_its_first_request_is_not_open(self) -> None:
        await self.listen(_answer_whole)
        handshake = await self._handshake()
        await eventually(lambda: self.targets)
        self.targets[0].transport.close()
        await asyncio.sleep(_ARRIVAL_SECONDS)
        with self.assertRaises(TunnelError):
            await handshake.opened()

    async def test_an_answer_without_a_length_is_not_whole_if_its_carrier_stops(self) -> None:
        await self.listen(_answer_part)
        exchange = await self.begin()
        self.assertEqual(await exchange.read(), b"the first part")
        self.server.stop_accepting()
        self.server.close()
        with self.assertRaises(ExchangeError):
            await exchange.read()

    async def test_an_answer_is_whole_if_its_target_only_ends_sending(self) -> None:
        await self.listen(_answer_part)
        exchange = await self.begin()
        self.assertEqual(await exchange.read(), b"the first part")
        self.targets[0].transport.write_eof()
        self.assertEqual(await exchange.read(), b"")
        await eventually(lambda: self.server.count == 0)

    async def _handshake(self) -> TunnelHandshake:
        """Return a handshake whose tunnel is open but is not taken over yet."""
        port = int(self.carrier.rpartition(":")[2])
        _, handshake = await asyncio.get_running_loop().create_connection(
            lambda: TunnelHandshake(address=self.address), HOST, port
        )
        await eventually(lambda: self.statuses)
        await asyncio.sleep(_ARRIVAL_SECONDS)
        return handshake
