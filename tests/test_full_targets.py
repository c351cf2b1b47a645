"""A target that takes no more connections than it has still finishes its responses whole.

Failure: a target that was asked whether it lives reset the connection, as those do that have as
many as they accept.  Its whole response counted as cut, although another connection to it was open:
the caller got 502, or the request ran twice.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually
from .test_unframed_answers import _answer_unframed


class _TargetWithoutRoom(Worker):
    """A target that has all the connections that it accepts, and resets those beyond them."""

    async def _handle(self, request: Any, responder: Any) -> None:
        if request.head.target == b"/report":
            responder.cut()
            return
        await super()._handle(request, responder)


class TestTargetWithoutRoom(FleetCase):
    async def test_a_whole_response_of_a_target_that_resets_questions_is_passed_on(self) -> None:
        self.tolerate_pauses(4.0)
        target = _TargetWithoutRoom(name="t0")
        await self.fleet.worker(target, "plain")
        node = await self.fleet.node()
        faults = mock.patch.dict(standin.FAULTS, {"unframed": _answer_unframed})
        faults.start()
        self.addCleanup(faults.stop)
        target.faults = ["queue", "unframed"]
        waiting = asyncio.ensure_future(ask(node, "/unsafe/a", request_id="a"))
        await eventually(lambda: len(target.arrivals) == 1)
        answer = await ask(node, "/unsafe/b", request_id="b")
        waiting.cancel()
        self.assertEqual((answer.status, answer.body), (200, b"answer of t0"))
