"""An answer that was cut never looks complete to its caller."""

from __future__ import annotations

import asyncio
import signal
import sys
import unittest

from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server
from fielddrift_standins.fleet import HOST, free_port

from .platform_fleet import WAIT_SECONDS

_PART = b"the first part, "
_LARGE = b"x" * 8_000_000
"""More than the buffers of a loopback connection take."""
_STREAM = b"GET /stream HTTP/1.0\r\nHost: x\r\n\r\n"


async def answer(request: Request, responder: Responder) -> None:
    """Send a part, then do what the path says."""
    if request.head.target == b"/kept":
        responder.send(200, Headers(), _LARGE)
        return
    responder.start(200, Headers(), None)
    responder.write(_PART)
    if request.head.target == b"/cut":
        await asyncio.sleep(0.05)
        responder.cut()
    elif request.head.target == b"/fail":
        await asyncio.sleep(0.05)
        raise ValueError("a fault of the handler")
    elif request.head.target == b"/whole":
        responder.write(_LARGE)
        responder.end()
    else:
        await asyncio.sleep(WAIT_SECONDS)


class TestAnswersThatEndWithTheirConnections(unittest.IsolatedAsyncioTestCase):
    """Failure: the connection of an answer to HTTP/1.0 was closed in order when it was cut, which
    is how such an answer ends."""

    async def asyncSetUp(self) -> None:
        self.server = Server(handler=answer, limits=Limits)
        self.port = free_port()
        await self.server.start(HOST, self.port)

    async def asyncTearDown(self) -> None:
        self.server.stop_accepting()
        self.server.close()

    async def begin(self, request: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request and read the first part of its answer."""
        reader, writer = await asyncio.open_connection(HOST, self.port, limit=2 * len(_LARGE))
        self.addCleanup(writer.close)
        writer.write(request)
        async with asyncio.timeout(WAIT_SECONDS):
            await reader.readuntil(_PART)
        return reader, writer

    async def check_reset(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(WAIT_SECONDS):
                await reader.read()

    async def test_one_that_its_handler_cuts_is_reset(self) -> None:
        reader, _ = await self.begin(b"GET /cut HTTP/1.0\r\nHost: x\r\n\r\n")
        await self.check_reset(reader)

    async def test_one_whose_handler_fails_is_reset(self) -> None:
        reader, _ = await self.begin(b"GET /fail HTTP/1.0\r\nHost: x\r\n\r\n")
        await self.check_reset(reader)

    async def test_one_whose_server_closes_is_reset(self) -> None:
        reader, _ = await self.begin(_STREAM)
        self.server.close()
        await self.check_reset(reader)

    async def test_one_whose_caller_sends_no_more_is_reset(self) -> None:
        reader, writer = await self.begin(_STREAM)
        writer.write_eof()
        await self.check_reset(reader)

    async def test_one_behind_a_kept_answer_is_reset(self) -> None:
        kept = b"GET /kept HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
        reader, _ = await self.begin(kept + _STREAM)
        self.server.close()
        await self.check_reset(reader)

    async def test_a_whole_one_ends_in_order(self) -> None:
        reader, _ = await self.begin(b"GET /whole HTTP/1.0\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.2)
        async with asyncio.timeout(WAIT_SECONDS):
            self.assertEqual(await reader.read(), _LARGE)

    async def test_one_whose_process_is_killed_is_reset(self) -> None:
        self.port = free_port()
        arguments = [sys.executable, "-m", "tests.test_cut_answers", str(self.port)]
        process = await asyncio.create_subprocess_exec(*arguments, stdout=asyncio.subprocess.PIPE)
        try:
            assert process.stdout is not None
            await process.stdout.readline()
            reader, _ = await self.begin(_STREAM)
        finally:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        await self.check_reset(reader)


async def _serve(port: int) -> None:
    await Server(handler=answer, limits=Limits).start(HOST, port)
    print("ready", flush=True)
    await asyncio.sleep(WAIT_SECONDS)


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1])))
