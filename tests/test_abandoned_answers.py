"""Nothing of an answer that was given up comes before or behind its caller's next answer."""

from __future__ import annotations

import asyncio

from fielddrift_standins.worker import Worker

from .platform_fleet import WAIT_SECONDS, Answer, FleetCase, parse, prompt, request

_DEADLINE_MS = 300


class TestAbandonedAnswers(FleetCase):
    """A caller that keeps its connection, and sends the next request behind or after the first."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.tolerate_pauses(2.0)
        self.plain = await self.fleet.worker(Worker(name="p0"), "plain")
        self.engine = Worker(name="e0", events=3)
        await self.fleet.worker(self.engine, "engines")
        self.node = await self.fleet.node()

    async def answers(self, first: bytes, *, pipelined: bool) -> list[Answer]:
        """Return the answers to `first` and to a plain request on the same connection."""
        host, _, port = self.node.settings.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        second = request("/safe/second", request_id="second")
        writer.write(first + second if pipelined else first)
        async with asyncio.timeout(WAIT_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(parse(head).headers["content-length"])
            answers = [parse(head + await reader.readexactly(length))]
            # The answer that was given up comes meanwhile, if it comes.
            self.plain.work_seconds = 0.0
            if not pipelined:
                await asyncio.sleep(0.5)
                writer.write(second)
            return [*answers, parse(await reader.read())]

    def check(self, answers: list[Answer]) -> None:
        self.assertIn(answers[0].status, (502, 503, 504))
        self.assertEqual(
            (answers[1].status, answers[1].body, answers[1].headers["x-response-seal"]),
            (200, b"answer of p0", "p0.second"),
        )

    async def test_one_given_up_at_its_deadline(self) -> None:
        for pipelined in (False, True):
            self.plain.work_seconds = 0.5
            first = request(
                "/unsafe/x", request_id=f"a{pipelined}", deadline_ms=_DEADLINE_MS, Connection=""
            )
            self.check(await self.answers(first, pipelined=pipelined))

    async def test_a_prompt_given_up_at_its_deadline(self) -> None:
        for pipelined in (False, True):
            self.engine.work_seconds = 0.5
            first = request(
                "/chat/x",
                request_id=f"b{pipelined}",
                deadline_ms=_DEADLINE_MS,
                Connection="",
                **prompt(),
            )
            self.check(await self.answers(first, pipelined=pipelined))

    async def test_no_answer_comes_behind_one_that_was_cut(self) -> None:
        self.engine.pause_seconds = 0.2
        first = request(
            "/verdict/x", request_id="c", deadline_ms=_DEADLINE_MS, Connection="", **prompt()
        )
        host, _, port = self.node.settings.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(first + request("/safe/second", request_id="second"))
        async with asyncio.timeout(WAIT_SECONDS):
            received = await reader.read()
        self.assertIn(b"id: 1\n", received)
        self.assertNotIn(b"0\r\n\r\n", received)
        self.assertNotIn(b"p0.second", received)
