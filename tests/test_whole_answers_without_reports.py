"""A whole response without a length arrives also from a target that refuses reports.

Failure: an engine that had told its start and then refused reports had its whole streams cut.
"""

from __future__ import annotations

from .platform_fleet import FleetCase, ask, prompt
from .test_process_check_failures import _STARTED_MS, _Reporter


class TestWholeResponses(FleetCase):
    async def test_streams_of_an_engine_that_refuses_reports_are_whole(self) -> None:
        self.tolerate_pauses(2.0)
        worker = _Reporter(name="t", events=3, work_seconds=0.05)
        worker.started, worker.unframed = _STARTED_MS, True
        await self.fleet.worker(worker, "engines")
        node = await self.fleet.node()
        await ask(node, "/verdict/1", request_id="r0", **prompt())
        worker.refused_reports = 10_000
        for number in range(1, 4):
            answer = await ask(node, "/verdict/1", request_id=f"r{number}", **prompt())
            self.assertEqual((answer.status, answer.headers.get("whole")), (200, "yes"))
