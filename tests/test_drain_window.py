"""A stopping node accepts late requests only if they complete before it stops."""

from __future__ import annotations

import asyncio
from unittest import mock

from fielddrift_core import drain_window
from fielddrift_core.drain_window import DrainWindow
from fielddrift_standins.worker import Worker

from .platform_fleet import BOUNDS, FleetCase, ask, prompt

LATE = 0.1
"""Seconds after the signal from which requests are late, reduced for a short test."""


class TestLeaving(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patch = mock.patch.object(drain_window, "_ACCEPT_ALL_SECONDS", LATE)
        patch.start()
        self.addCleanup(patch.stop)
        self.engine = await self.fleet.worker(Worker(name="e1", events=3), "engines")
        self.plain = await self.fleet.worker(Worker(name="w1"), "plain")
        self.node = await self.fleet.node()

    async def test_a_late_stream_that_may_be_cut_is_refused_at_once(self) -> None:
        self.engine.events, self.engine.pause_seconds = 60, 0.1
        self.node.stopping.set()
        await asyncio.sleep(2 * LATE)
        answer = await ask(self.node, "/chat/x", **prompt(X_Token_Usage="350,60"))
        self.assertEqual(answer.status, 503)
        self.assertLess(float(answer.headers["retry-after"]), BOUNDS.grace)
        self.assertEqual(self.engine.ran, [])

    async def test_a_late_stream_is_refused_although_its_tokens_usually_take_less(self) -> None:
        """Failure: an engine slower than estimated was still at work when the node closed."""
        self.engine.events, self.engine.pause_seconds = 3, 0.8
        self.node.stopping.set()
        await asyncio.sleep(2 * LATE)
        answer = await ask(self.node, "/chat/x", **prompt(X_Token_Usage="350,1"))
        self.assertEqual((answer.status, self.engine.ran), (503, []))
        self.assertLess(float(answer.headers["retry-after"]), BOUNDS.grace)

    async def test_a_late_stream_that_certainly_completes_is_served(self) -> None:
        # Long enough that a pause of this process, which runs all sides, fails no request.
        node = await self.fleet.node("node-2", bounds=BOUNDS._replace(grace=4.0))
        node.stopping.set()
        await asyncio.sleep(2 * LATE)
        answer = await ask(node, "/chat/x", deadline_ms=1500, **prompt(X_Token_Usage="350,1"))
        self.assertEqual((answer.status, answer.headers.get("whole")), (200, "yes"))

    async def test_a_late_plain_request_is_accepted_according_to_its_deadline(self) -> None:
        # Long enough that a pause of this process, which runs all sides, fails no request.
        node = await self.fleet.node("node-2", bounds=BOUNDS._replace(grace=4.0))
        node.stopping.set()
        await asyncio.sleep(2 * LATE)
        self.assertEqual((await ask(node, "/unsafe/x", deadline_ms=1500)).status, 200)
        refused = await ask(node, "/unsafe/x", request_id="r2", deadline_ms=3000)
        self.assertEqual((refused.status, len(self.plain.ran)), (503, 1))


class LeavingTest(FleetCase):
    async def test_early_requests_are_accepted_whatever_their_duration(self) -> None:
        stop = DrainWindow(started_at=100.0, closes_at=107.1)
        self.assertTrue(stop.accepts(102.4, 30.0))
        self.assertFalse(stop.accepts(103.4, 13.0))
        self.assertTrue(stop.accepts(103.4, 1.2))
