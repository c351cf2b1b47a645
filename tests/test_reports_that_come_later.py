"""An engine that has no report yet tells the start of its process later.

Failure: a report that was missing once, as of an engine that is still starting, counted as that of
an engine which never tells its start.  Its streams were not checked any more and went on at the
process of another version that took its place.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Request, Responder
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from . import test_software_versions
from .test_targets_restarted_in_place import RestartCase

_STARTED_SECONDS = 2.5
"""Time after which each engine has a report."""


class _StartingWorker(Worker):
    """A worker that has no report at first."""

    missing_reports = 0

    async def _handle(self, request: Request, responder: Responder) -> None:
        if self.missing_reports > 0 and request.head.target == b"/report":
            self.missing_reports -= 1
            responder.send(404, Headers(), b"")
            return
        await super()._handle(request, responder)


class TestReportsThatComeLater(RestartCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for module in (standin, test_software_versions):
            self.enterContext(_patched(module))

    async def test_streams_of_engines_without_a_report_at_first_are_not_joined(self) -> None:
        await self.start(nodes=1, engines=4, versions=("v1",))
        engine: Any
        for engine in self.engines:
            engine.missing_reports = 10
        earlier = await self.open_streams(18, own_parts=True)
        for engine in self.engines:
            engine.missing_reports = 0
        await self.end_streams(earlier)
        await asyncio.sleep(_STARTED_SECONDS)
        callers = await self.open_streams(18, own_parts=True)
        for engine in list(self.engines):
            await self.restart(engine, "v2")
        await self.end_streams(callers)
        self.assert_whole(earlier)
        self.assert_unmixed(callers)


def _patched(module: Any) -> Any:
    return mock.patch.object(module, "Worker", _StartingWorker)
