"""A target that answers twice, the second time late, gives no caller an answer of another request.

The second copies come while the connection is idle, while it waits for another answer, or after
the request was taken over by another send.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_node.web.messages import Headers
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, prompt

_EVENTS = 4
_LATE_SECONDS = (0.0, 0.001, 0.02)
"""Times from an answer to its second copy: with it, at once, and while another one is due."""
_WORK_SECONDS = 0.01
_MIN_REQUESTS = 8
_MAX_REQUESTS = 80
"""The node draws the target that gets a request first: that none of so many begins at the slow
one is no matter of chance."""


def _copy(exchange: Any, status: bytes, fields: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = b"".join(b"%s: %s\r\n" % field for field in fields)
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, lines, len(body), body)


def _twice(late_seconds: float) -> Any:
    """Return a fault: answer in full, and once more after `late_seconds`."""

    async def answer(exchange: Any) -> None:
        worker, responder = exchange.worker, exchange.responder
        worker.begin(exchange.request)
        await asyncio.sleep(worker.work_seconds)
        fields = worker.head(exchange.request_id)
        body = f"answer of {worker.name}".encode()
        if worker.events:
            fields = Headers([*fields, (b"Content-Type", b"text/event-stream")])
            body = b"".join(worker.event(n, exchange.request_id) for n in range(1, 3))
        late = _copy(exchange, b"200 OK", fields, body)
        if worker.events:
            await worker.stream(exchange.request, responder, exchange.request_id, worker.events)
            responder.end()
        else:
            responder.send(200, fields, body)
        asyncio.get_running_loop().call_later(late_seconds, responder.write_raw, late)

    return answer


_FAULTS = {f"twice-{late}": _twice(late) for late in _LATE_SECONDS}


def _run_by(worker: Worker) -> set[str]:
    """Return the ids of the requests that a target began."""
    return {each.request_id for each in worker.ran}


class TestSecondAnswers(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        faults = mock.patch.dict(standin.FAULTS, _FAULTS)
        faults.start()
        self.addCleanup(faults.stop)

    async def start(self, service: str, events: int = 0) -> list[Worker]:
        """Start a node and two targets that answer most requests twice."""
        workers = []
        for number in range(2):
            worker = Worker(name=f"w{number}", events=events, work_seconds=_WORK_SECONDS)
            worker.signed = True
            worker.faults = [f"twice-{late}" for late in _LATE_SECONDS] * 20
            workers.append(await self.fleet.worker(worker, service))
        self.node = await self.fleet.node()
        return workers

    async def test_answers_of_taken_over_requests_are_their_callers_own(self) -> None:
        self.tolerate_slow_connects(2.0)
        slow, other = await self.start("plain")
        for number in range(_MAX_REQUESTS):
            if number >= _MIN_REQUESTS and _run_by(slow) & _run_by(other):
                break
            # The first send of every other request is taken over while its target works.
            slow.work_seconds = 0.8 if number % 2 else _WORK_SECONDS
            answer = await ask(self.node, "/safe/x", request_id=f"r{number}")
            self.assertEqual((answer.status, answer.body[:9]), (200, b"answer of"))
            self.assertEqual(answer.headers["x-response-seal"].partition(".")[2], f"r{number}")
            await asyncio.sleep(_LATE_SECONDS[-1])
        self.assertTrue(_run_by(slow) & _run_by(other), "no request was taken over")

    async def test_plain_answers_are_their_callers_own(self) -> None:
        self.tolerate_pauses(2.0)
        await self.start("plain")
        for number in range(12):
            ids = [f"r{number}-{each}" for each in range(3)]
            asks = [ask(self.node, "/safe/x", request_id=each) for each in ids]
            for request_id, answer in zip(ids, await asyncio.gather(*asks), strict=True):
                self.assertEqual((answer.status, answer.body[:9]), (200, b"answer of"))
                self.assertEqual(answer.headers["x-response-seal"].partition(".")[2], request_id)

    async def test_streams_are_their_callers_own(self) -> None:
        self.tolerate_pauses(2.0)
        await self.start("engines", _EVENTS)
        for number in range(12):
            request_id = f"r{number}"
            after = "2" if number % 2 else ""
            answer = await ask(
                self.node, "/chat/x", request_id=request_id, **prompt(Last_Event_Id=after)
            )
            self.assertEqual((answer.status, answer.headers.get("whole")), (200, "yes"))
            first = 3 if after else 1
            lines = answer.body.decode().split("\n\n")[:-1]
            self.assertEqual(
                [line.split("\n")[0] for line in lines],
                [f"id: {n}" for n in range(first, _EVENTS + 1)],
            )
            self.assertTrue(all(f" of {request_id} " in line for line in lines), lines)
