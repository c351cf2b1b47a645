"""A read whose answer equals an earlier one is sent once more; a change has its own connection."""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.web.client import Access, Client, Timeouts
from fielddrift_node.web.messages import Reply
from fielddrift_standins.fleet import HOST, free_port

_READ = b"GET /report HTTP/1.1\r\nHost: e\r\n\r\n"
_CHANGE = b"POST /order HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n"
_TIMEOUTS = Timeouts(connect=2.0, whole=2.0)


class _Server:
    """Answers every call with the same status and body."""

    def __init__(self, status: bytes) -> None:
        self._answer = b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}" % status
        self.calls: list[int] = []
        """The calls that each connection carried, in the order in which the connections came."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection until it ends."""
        number = len(self.calls)
        self.calls.append(0)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.calls[number] += 1
                writer.write(self._answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class TestRepeatedAnswers(unittest.IsolatedAsyncioTestCase):
    async def start(self, status: bytes) -> None:
        self.called = _Server(status)
        port = free_port()
        self.address = f"{HOST}:{port}"
        self.server = await asyncio.start_server(self.called.serve, HOST, port)
        self.client = Client()

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()

    async def _call(self, data: bytes, access: Access) -> Reply:
        return await self.client.call(self.address, data, timeouts=_TIMEOUTS, access=access)

    async def read(self) -> int:
        reply = await self._call(_READ, Access.READ)
        return reply.head.status

    async def test_an_equal_success_is_asked_for_on_a_new_connection(self) -> None:
        await self.start(b"200 OK")
        self.assertEqual([await self.read() for _ in range(2)], [200, 200])
        self.assertEqual(self.called.calls, [2, 1])

    async def test_an_equal_refusal_closes_the_connection_and_is_not_asked_again(self) -> None:
        await self.start(b"503 Service Unavailable")
        self.assertEqual([await self.read() for _ in range(3)], [503] * 3)
        self.assertEqual(self.called.calls, [2, 1])

    async def test_a_change_leaves_the_connections_of_reads_alone(self) -> None:
        """Failure: an order closed all idle connections to its engine."""
        await self.start(b"503 Service Unavailable")
        await self.read()
        await self._call(_CHANGE, Access.CHANGE)
        await self.read()
        self.assertEqual(self.called.calls, [2, 1])

    async def test_an_answer_to_a_call_between_nodes_may_be_equal(self) -> None:
        await self.start(b"200 OK")
        for _ in range(3):
            await self.client.call(self.address, _READ, timeouts=_TIMEOUTS)
        self.assertEqual(self.called.calls, [3])
