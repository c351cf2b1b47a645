"""No body follows an answer that has none, so that the next answer is read as such.

Failure: the body or the last chunk of an answer to HEAD, or of one with status 204 or 304, came
first where the caller read its next answer.
"""

from __future__ import annotations

import unittest

from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, request, send_raw


async def _answer(request: Request, responder: Responder) -> None:
    """Answer with the status that the path names, streamed or at once."""
    kind, _, status = request.head.target.decode().lstrip("/").partition("/")
    if kind == "stream":
        responder.start(int(status), Headers(), None)
        responder.write(b"some")
        responder.end()
    else:
        responder.send(int(status), Headers(), b"some")


class TestBodilessAnswers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = Server(handler=_answer, limits=Limits)
        self.address = f"{HOST}:{free_port()}"
        await self.server.start(HOST, int(self.address.partition(":")[2]))

    async def asyncTearDown(self) -> None:
        self.server.stop_accepting()
        self.server.close()

    async def heads(self, first: str) -> list[bytes]:
        """Return what arrives for `first` and for a GET behind it, split at the ends of heads."""
        last = "GET /whole/200 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        data = await send_raw(self.address, f"{first} HTTP/1.1\r\nHost: x\r\n\r\n{last}".encode())
        return data.split(b"\r\n\r\n")

    async def test_no_body_follows_such_an_answer(self) -> None:
        for method, path in (
            ("HEAD", "/whole/200"),
            ("HEAD", "/stream/200"),
            ("HEAD", "/whole/503"),
            ("GET", "/whole/204"),
            ("GET", "/stream/204"),
            ("GET", "/whole/304"),
            ("GET", "/stream/304"),
        ):
            with self.subTest(method=method, path=path):
                parts = await self.heads(f"{method} {path}")
                self.assertEqual(len(parts), 3)
                self.assertTrue(parts[1].startswith(b"HTTP/1.1 200 OK"), parts[1])
                self.assertEqual(parts[2], b"some")

    async def test_an_answer_to_head_tells_the_length_that_a_body_would_have(self) -> None:
        first, _, _ = await self.heads("HEAD /whole/200")
        self.assertIn(b"Content-Length: 4", first)

    async def test_status_204_has_no_framing(self) -> None:
        for path in ("/whole/204", "/stream/204"):
            first, _, _ = await self.heads(f"GET {path}")
            self.assertNotIn(b"Content-Length", first)
            self.assertNotIn(b"Transfer-Encoding", first)


class TestRefusedHead(FleetCase):
    async def test_a_refusal_of_head_does_not_come_before_the_next_answer(self) -> None:
        await self.fleet.worker(Worker(name="p1"), "plain")
        await self.fleet.worker(Worker(name="e1", events=2), "engines")
        node = await self.fleet.node()
        first = request("/nowhere", method="HEAD", body=b"", Connection="")
        data = await send_raw(
            node.settings.entry, first + request("/nowhere", request_id="r2", body=b"")
        )
        _, second, *_ = data.split(b"\r\n\r\n")
        self.assertTrue(second.startswith(b"HTTP/1.1 "), second)
