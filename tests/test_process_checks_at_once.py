"""Checks of one process that wait at the same time, and end differently.

Failure: an engine told one connection when it started, and ended while another one was asked.  The
process that took its place had no report yet, which counted as one of the engine: from then on its
processes could not be told apart, and no stream was checked.
"""

from __future__ import annotations

from fielddrift_node.serving.target_paths import ProcessNeed
from fielddrift_node.web.messages import Headers, Reply, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, eventually

_STARTED_MS = 1_790_000_000_000
_EXPECTED = Reply(ResponseHead(200, Headers(), None, True), b'{"born": %d}' % _STARTED_MS)
_NO_REPORT = Reply(ResponseHead(404, Headers(), None, True), b"")
_REFUSED = Reply(ResponseHead(503, Headers(), None, True), b"")


class TestChecksAtOnce(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        worker = Worker(name="t", events=3)
        worker.started = _STARTED_MS
        await self.fleet.worker(worker, "engines")
        node = await self.fleet.node()
        self.paths = node.node._paths
        registry = node.node.views.registry
        await eventually(lambda: len(registry) == 1)
        (self.instance,) = registry.all()

    async def test_no_report_after_one_that_told_the_start_is_of_another_process(self) -> None:
        first, second = (self.paths.process_check(self.instance) for _ in range(2))
        self.assertIs(first.judge(_EXPECTED), ProcessAnswer.EXPECTED)
        self.assertIs(second.judge(_NO_REPORT), ProcessAnswer.UNKNOWN)
        self.assertIsNotNone(self.paths._check_for_send(self.instance, ProcessNeed.IF_IDENTIFIED))

    async def test_a_refusal_after_one_that_told_the_start_may_be_of_another_process(self) -> None:
        first, second = (self.paths.process_check(self.instance) for _ in range(2))
        self.assertIs(first.judge(_EXPECTED), ProcessAnswer.EXPECTED)
        self.assertIs(second.judge(_REFUSED), ProcessAnswer.UNKNOWN)

    async def test_a_target_that_never_told_its_start_is_not_checked(self) -> None:
        check = self.paths.process_check(self.instance)
        self.assertIs(check.judge(_NO_REPORT), ProcessAnswer.UNIDENTIFIED)
        self.assertIsNone(self.paths._check_for_send(self.instance, ProcessNeed.IF_IDENTIFIED))
