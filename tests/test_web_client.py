"""The client's side of HTTP/1.1, against targets that answer wrongly."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import unittest

from fielddrift_node.web.client import Client, ExchangeError, Timeouts

from .platform_fleet import HOST, free_port

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
BODY = b"the whole answer"
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
CHUNK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED = CHUNK_HEAD + b"4\r\nthe \r\nc\r\nwhole answer\r\n0\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + BODY
TIMEOUTS = Timeouts(connect=2.0, whole=2.0)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers: list[bytes] = []
        self.reset = False
        self.accepted = 0
        port = free_port()
        self.address = f"{HOST}:{port}"
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.client = Client()

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                answer = self.answers.pop(0)
                writer.write(answer)
                if b"Content-Length" in answer or b"0\r\n\r\n" in answer:
                    continue
                await writer.drain()
                if self.reset:
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                break
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass
        finally:
            writer.close()

    async def _call(self, answer: bytes) -> bytes:
        self.answers = [answer]
        reply = await self.client.call(self.address, REQUEST, timeouts=TIMEOUTS)
        return reply.body

    async def test_every_framing_gives_the_whole_body(self) -> None:
        for answer in (GOOD, CHUNKED, UNFRAMED):
            self.assertEqual(await self._call(answer), BODY)

    async def test_a_body_without_length_that_is_reset_is_not_whole(self) -> None:
        self.reset = True
        with self.assertRaises(ExchangeError) as caught:
            await self._call(UNFRAMED)
        self.assertTrue(caught.exception.sent)

    async def test_a_short_body_and_a_cut_chunk_are_not_whole(self) -> None:
        for answer in (
            b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n" + BODY,
            CHUNKED[: -len(b"0\r\n\r\n")],
        ):
            with self.assertRaises(ExchangeError):
                await self._call(answer)

    async def test_a_connection_with_surplus_bytes_is_not_used_again(self) -> None:
        self.assertEqual(await self._call(GOOD + GOOD), BODY)
        await asyncio.sleep(0)
        self.assertEqual(await self._call(GOOD), BODY)
        self.assertEqual(self.accepted, 2)

    async def test_a_kept_connection_is_used_again(self) -> None:
        for _ in range(3):
            self.assertEqual(await self._call(GOOD), BODY)
        self.assertEqual(self.accepted, 1)

    async def test_no_connection_means_that_nothing_was_sent(self) -> None:
        with self.assertRaises(ExchangeError) as caught:
            await self.client.call(f"{HOST}:{free_port()}", REQUEST, timeouts=TIMEOUTS)
        self.assertFalse(caught.exception.sent)

    async def test_a_target_has_no_more_connections_than_it_may(self) -> None:
        self.answers = []
        first = await self.client.begin(self.address, REQUEST, connect_seconds=2.0, most_open=1)
        with self.assertRaises(ExchangeError) as caught:
            await self.client.begin(self.address, REQUEST, connect_seconds=2.0, most_open=1)
        self.assertFalse(caught.exception.sent)
        first.cancel()

    async def test_any_spoilt_answer_ends_the_call(self) -> None:
        rng = random.Random(3)
        short = Timeouts(connect=2.0, whole=0.3)
        for _ in range(120):
            data = bytearray(rng.choice((GOOD, CHUNKED, UNFRAMED)))
            for _ in range(rng.randint(1, 3)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            self.answers = [bytes(data)]
            try:
                await self.client.call(self.address, REQUEST, timeouts=short, most_idle=0.0)
            except ExchangeError as error:
                self.assertTrue(error.sent)
