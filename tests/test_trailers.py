"""Trailers of a chunked request are not taken for headers.

Failure: a field behind the body was added to those of the head, after the head had been checked.
"""

from __future__ import annotations

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, parse, request, send_raw


class TestTrailers(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.worker = await self.fleet.worker(Worker(name="w"), "plain")
        self.node = await self.fleet.node()

    async def ask(self, trailers: bytes) -> int:
        """Send a chunked request with `trailers`; return the status."""
        head = request("/safe/x", body=b"").replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        data = head + b"3\r\nask\r\n0\r\n" + trailers + b"\r\n"
        return parse(await send_raw(self.node.settings.entry, data)).status

    async def test_a_trailer_does_not_reach_the_target(self) -> None:
        self.assertEqual(await self.ask(b"X-Late: yes\r\nX-Instance-Id: other\r\n"), 200)
        received = {name.lower() for name in self.worker.ran[-1].headers}
        self.assertNotIn("x-late", received)

    async def test_trailers_count_towards_the_size_of_the_header(self) -> None:
        self.assertEqual(await self.ask(b"X-Late: " + b"y" * 5000 + b"\r\n"), 431)
