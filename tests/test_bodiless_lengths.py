"""The length that a head tells of a body that does not follow bounds nothing.

Failure: an answer to HEAD, or one with status 304, failed as too large if the body that a GET would
get is larger than the bound on a body that is collected whole.  The caller got 502.
"""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.web.client import Client
from fielddrift_node.web.exchange import MAX_BODY_BYTES
from fielddrift_standins.fleet import HOST


class TestBodilessLengths(unittest.IsolatedAsyncioTestCase):
    async def body(self, method: bytes, status: bytes) -> bytes:
        """Return the body of a response whose head tells of one above the bound."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            length = MAX_BODY_BYTES + 1
            writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, length))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        self.addCleanup(server.close)
        client = Client()
        self.addCleanup(client.close)
        exchange = await client.begin(
            f"{HOST}:{server.sockets[0].getsockname()[1]}",
            method + b" / HTTP/1.1\r\nHost: x\r\n\r\n",
            connect_seconds=2.0,
        )
        async with asyncio.timeout(2.0):
            return await exchange.body()

    async def test_the_length_of_a_head_without_a_body_is_not_bounded(self) -> None:
        for method, status in ((b"HEAD", b"200 OK"), (b"GET", b"304 Not Modified")):
            with self.subTest(method=method, status=status):
                self.assertEqual(await self.body(method, status), b"")
