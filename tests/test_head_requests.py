"""An answer to HEAD ends with its head, whatever length it tells.

Failure: the client waited for a body that never comes, until the request was given up.
"""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.web.client import Client, ExchangeError
from fielddrift_standins.fleet import HOST
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask

_SECONDS = 2.0


class TestHeadThroughANode(FleetCase):
    async def test_a_head_request_is_answered(self) -> None:
        self.tolerate_pauses(2.0)
        await self.fleet.worker(Worker(name="p1"), "plain")
        node = await self.fleet.node()
        async with asyncio.timeout(_SECONDS):
            answer = await ask(node, "/safe/x", method="HEAD", body=b"")
        self.assertEqual((answer.status, answer.body), (200, b""))


class TestUpgrade(unittest.IsolatedAsyncioTestCase):
    async def test_a_switch_of_protocols_is_a_garbled_answer(self) -> None:
        """Failure: the parser's error was not caught, and the event loop reported it as fatal."""

        async def switch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
            writer.write(head)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(switch, HOST, 0)
        self.addCleanup(server.close)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        client = Client()
        exchange = await client.begin(
            address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", connect_seconds=_SECONDS
        )
        with self.assertRaises(ExchangeError) as caught:
            async with asyncio.timeout(_SECONDS):
                await exchange.head()
        self.assertEqual(caught.exception.reason, "garbled")
