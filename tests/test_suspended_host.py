"""A host that was suspended for seconds does not treat its former state as current.

Python's monotonic clock does not count the time of a suspension. A node that resumed assumed that
its lease was held, that entries were current and that a request's time was left, and detected
nothing.
"""

from __future__ import annotations

import ast
import asyncio
import time
import unittest
from pathlib import Path
from unittest import mock

from fielddrift_core.rollout import LEASE_SECONDS
from fielddrift_node import clock
from fielddrift_node.clock import SuspendAwareLoop
from fielddrift_node.serving.duty import DutyLease
from fielddrift_node.serving.ports import WriteOutcome
from fielddrift_node.watch import Watch
from fielddrift_standins.deployment import route
from fielddrift_standins.worker import Worker
from structlog.testing import capture_logs

from .platform_fleet import FleetCase, ask, eventually

_SUSPENDED_SECONDS = 8.0
_SOURCES = Path(__file__).parents[1] / "packages" / "node" / "src" / "fielddrift_node"


class Suspension:
    """The host's clock, which runs on and jumps when the host was suspended."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        """Return the time including all suspensions."""
        return time.monotonic() + self.seconds


class ClockTest(unittest.TestCase):
    def test_no_duration_is_measured_beside_the_one_clock(self) -> None:
        for file in _SOURCES.rglob("*.py"):
            if file.name == "clock.py":
                continue
            for node in ast.walk(ast.parse(file.read_text())):
                if isinstance(node, ast.Attribute) and node.attr in ("monotonic", "perf_counter"):
                    self.fail(f"{file}:{node.lineno}: time.{node.attr}, expected clock.now")

    def test_it_counts_at_least_what_the_steady_clock_counts(self) -> None:
        self.assertGreaterEqual(clock.now() + 0.01, time.monotonic())

    def test_timers_that_came_due_fire_at_the_first_turn(self) -> None:
        host = Suspension()
        loop = SuspendAwareLoop()
        self.addCleanup(loop.close)
        with mock.patch.object(clock, "now", host.now):

            async def sleep() -> float:
                began = time.monotonic()
                loop.call_later(0.05, setattr, host, "seconds", _SUSPENDED_SECONDS)
                await asyncio.sleep(_SUSPENDED_SECONDS)
                return time.monotonic() - began

            self.assertLess(loop.run_until_complete(sleep()), 1.0)


class PausedFleetCase(FleetCase):
    """A fleet in an event loop that uses a host's clock."""

    def setUp(self) -> None:
        self.host = Suspension()
        self.enterContext(mock.patch.object(clock, "now", self.host.now))
        runner = asyncio.Runner(loop_factory=SuspendAwareLoop, debug=True)
        # The test case runs each whole test in its runner.
        self.enterContext(mock.patch.object(self, "_setupAsyncioRunner", lambda: None))
        self._asyncioRunner = runner


class NodeTest(PausedFleetCase):
    async def test_a_node_notices_it_in_one_line_and_reads_before_it_refuses(self) -> None:
        await self.fleet.worker(Worker(name="w0"), "plain")
        node = await self.fleet.node()
        with capture_logs() as lines:
            self.fleet.routes.append(route("new", "plain", "safe"))
            self.fleet.configure()
            self.host.seconds += _SUSPENDED_SECONDS
            # Before any tick, as the request is the first event after the suspension.
            answer = await ask(node, "/new/x", deadline_ms=60000)
            await eventually(lambda: not node.node.views.stale.is_set())
        self.assertEqual(answer.status, 200, answer.body)
        paused = [line for line in lines if line["event"] == "this process was paused"]
        self.assertEqual(len(paused), 1)
        self.assertGreater(paused[0]["seconds"], _SUSPENDED_SECONDS - 1.0)

    async def test_a_request_that_waited_through_it_has_no_time_left(self) -> None:
        worker = await self.fleet.worker(Worker(name="w0", work_seconds=0.5), "plain")
        node = await self.fleet.node()
        asked = asyncio.ensure_future(ask(node, "/unsafe/x"))
        await eventually(lambda: bool(worker.ran))
        self.host.seconds += _SUSPENDED_SECONDS
        self.assertEqual((await asked).status, 504)


class LeaseTest(unittest.TestCase):
    def test_a_lease_is_over_that_ran_out_meanwhile(self) -> None:
        host = Suspension()
        table = mock.Mock(era=0, calls=0)
        table.rows = mock.AsyncMock(return_value=([], 100.0))
        table.write = mock.AsyncMock(return_value=WriteOutcome(True, 1, 100.0))
        loop = SuspendAwareLoop()
        self.addCleanup(loop.close)
        with mock.patch.object(clock, "now", host.now):

            async def held() -> list[bool]:
                duty = DutyLease(name="weights", holder="n", platform=table, takeover_seconds=3.0)
                await duty.acquire()
                found = [duty.held()]
                host.seconds += LEASE_SECONDS
                return [*found, duty.held()]

            self.assertEqual(loop.run_until_complete(held()), [True, False])

    def test_the_own_interface_notices_it_too(self) -> None:
        host = Suspension()
        watch = Watch(refresh=lambda: True, clock=host.now)
        self.assertFalse(watch.tick())
        host.seconds += _SUSPENDED_SECONDS
        self.assertTrue(watch.tick())
