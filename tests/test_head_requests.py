"""An answer to HEAD ends with its head, whatever length it tells.

Failure: the client waited for a body that never comes, until the request was given up.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from fielddrift_node.web.client import Client
from fielddrift_node.web.errors import ExchangeError
from fielddrift_standins import worker as standin
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


async def _head_and_crash(exchange: Any) -> None:
    """Send the head of a response without a length, and end the process."""
    worker = exchange.worker
    worker.begin(exchange.request)
    exchange.responder.start(200, worker.head(exchange.request_id), None, chunked=False)
    exchange.responder.end()
    # The node closes the connection behind the head, which ends this task.
    asyncio.get_running_loop().call_later(0.01, worker.crash)


class TestHeadWithoutLength(FleetCase):
    async def test_a_head_is_whole_without_its_target(self) -> None:
        """Failure: the node asked whether the target lives on, as if the close of the connection
        ended the response, and the caller got 502."""
        self.tolerate_pauses(2.0)
        faults = mock.patch.dict(standin.FAULTS, {"head-and-crash": _head_and_crash})
        faults.start()
        self.addCleanup(faults.stop)
        target = Worker(name="p1")
        target.faults = ["head-and-crash"]
        await self.fleet.worker(target, "plain")
        node = await self.fleet.node()
        answer = await ask(node, "/unsafe/x", method="HEAD", body=b"")
        self.assertEqual(answer.status, 200)
