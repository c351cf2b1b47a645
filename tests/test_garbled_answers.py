"""An answer that is not the target's own, or not as it sent it, is not passed on as a success."""

from __future__ import annotations

from typing import Any
from unittest import mock

from fielddrift_node.web.messages import Headers
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, prompt

_EVENTS = 3


def _fields(exchange: Any, *more: tuple[bytes, bytes], seal: bool = True) -> Headers:
    """Return the fields of an answer and `more`; without `seal` those that the seal is not in."""
    kept = [f for f in exchange.worker.head(exchange.request_id) if seal or b"Seal" not in f[0]]
    return Headers([*kept, *more])


def _send(exchange: Any, fields: Headers, status: int = 200) -> None:
    exchange.worker.begin(exchange.request)
    exchange.responder.send(status, fields, b"garbled")


async def _unsealed(exchange: Any) -> None:
    _send(exchange, _fields(exchange, seal=False))


async def _encoded(exchange: Any) -> None:
    _send(exchange, _fields(exchange, (b"Content-Encoding", b"gzip")))


async def _coded_transfer(exchange: Any) -> None:
    """Answer with a body in chunks that has another transfer coding below."""
    exchange.worker.begin(exchange.request)
    lines = [b"%s: %s\r\n" % f for f in exchange.worker.head(exchange.request_id)]
    head = b"HTTP/1.1 200 OK\r\n" + b"".join(lines)
    exchange.responder.write_raw(
        head + b"Transfer-Encoding: gzip, chunked\r\n\r\n7\r\ngarbled\r\n0\r\n\r\n"
    )


async def _unsealed_refusal(exchange: Any) -> None:
    _send(exchange, _fields(exchange, seal=False), status=404)


_FAULTS = {
    "unsealed": _unsealed,
    "encoded": _encoded,
    "coded-transfer": _coded_transfer,
    "unsealed-refusal": _unsealed_refusal,
}


class _Garbled(FleetCase):
    """Two targets of each service, the first of which answers as a fault says."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        faults = mock.patch.dict(standin.FAULTS, _FAULTS)
        faults.start()
        self.addCleanup(faults.stop)
        self.tolerate_pauses(2.0)
        self.plain = [await self.fleet.worker(Worker(name=f"p{n}"), "plain") for n in range(2)]
        self.engines = [
            await self.fleet.worker(Worker(name=f"e{n}", events=_EVENTS), "engines")
            for n in range(2)
        ]
        self.node = await self.fleet.node()

    async def check_not_passed_on(self, fault: str) -> None:
        self.plain[0].faults = [fault] * 4
        self.engines[0].faults = [fault] * 4
        for number in range(4):
            answer = await ask(self.node, "/safe/x", request_id=f"s{number}")
            self.assertEqual((answer.status, answer.body), (200, b"answer of p1"))
            answer = await ask(self.node, "/chat/x", request_id=f"c{number}", **prompt())
            self.assertEqual((answer.status, answer.body.count(b"\n\n")), (200, _EVENTS))
        self.assertTrue(self.plain[0].ran)
        self.assertTrue(self.engines[0].ran)
        for worker in self.plain:
            worker.faults = [fault]
        sends = sum(len(worker.ran) for worker in self.plain)
        # It may have run, and this route forbids a second run.
        self.assertEqual((await ask(self.node, "/unsafe/x", request_id="u")).status, 502)
        self.assertEqual(sum(len(worker.ran) for worker in self.plain), sends + 1)


class TestCodedTransfers(_Garbled):
    async def test_a_body_with_another_transfer_coding_than_chunks_is_not_passed_on(self) -> None:
        """Failure: the field was dropped, and the coded bytes came as the body itself."""
        await self.check_not_passed_on("coded-transfer")


class TestUnsealedAnswers(_Garbled):
    async def test_a_success_without_a_seal_is_not_passed_on(self) -> None:
        await self.check_not_passed_on("unsealed")

    async def test_another_answer_needs_no_seal(self) -> None:
        for worker in self.plain:
            worker.faults = ["unsealed-refusal"]
        self.assertEqual((await ask(self.node, "/safe/x")).status, 404)


class TestEncodedAnswers(_Garbled):
    async def test_a_body_with_an_encoding_is_not_passed_on(self) -> None:
        await self.check_not_passed_on("encoded")
