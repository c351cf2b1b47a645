"""Second, late answers on connections that are used again by a request with the same id."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_node.web.messages import Headers
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask
from .test_second_answers import _copy

_LATE_SECONDS = 0.1


async def _shed_twice(exchange: Any) -> None:
    """Refuse without a run, and once more, late."""
    fields = Headers([*exchange.worker.head(exchange.request_id), (b"X-Not-Executed", b"1")])
    late = _copy(exchange, b"503 Service Unavailable", fields, b"")
    exchange.responder.send(503, fields, b"")
    asyncio.get_running_loop().call_later(_LATE_SECONDS, exchange.responder.write_raw, late)


async def _twice(exchange: Any) -> None:
    """Answer with the request's body, and once more, late."""
    exchange.worker.begin(exchange.request)
    fields, body = exchange.worker.head(exchange.request_id), exchange.request.body
    late = _copy(exchange, b"200 OK", fields, body)
    exchange.responder.send(200, fields, body)
    asyncio.get_running_loop().call_later(_LATE_SECONDS, exchange.responder.write_raw, late)


class TestSameId(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        more = {"shed-twice": _shed_twice, "twice": _twice}
        faults = mock.patch.dict(standin.FAULTS, more)
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.worker = await self.fleet.worker(Worker(name="w0"), "plain")
        self.node = await self.fleet.node()

    async def test_a_second_refusal_is_not_that_of_the_caller_s_next_attempt(self) -> None:
        """Failure: the second attempt ran, and its caller was told that it had not."""
        self.worker.faults = ["shed-twice"]
        first = await ask(self.node, "/unsafe/x", request_id="r1")
        self.assertEqual(first.status, 503)
        self.worker.work_seconds = 0.4
        again = await ask(self.node, "/unsafe/x", request_id="r1")
        self.assertEqual(len(self.worker.ran), 1)
        self.assertNotEqual(again.status, 503)

    async def test_an_answer_of_another_caller_s_request_with_the_same_id_is_not_passed_on(
        self,
    ) -> None:
        self.worker.faults = ["twice"]
        await ask(self.node, "/safe/x", request_id="r1", body=b"of ana")
        self.worker.work_seconds = 0.4
        second = await ask(self.node, "/safe/y", request_id="r1", body=b"of bob")
        self.assertEqual(second.body, b"answer of w0")
