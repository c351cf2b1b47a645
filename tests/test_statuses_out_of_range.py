"""An answer whose status is no final status of HTTP reaches no caller, whatever way it takes.

Guards against a status of 000, as of a target in trouble, that callers take for an answer.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.target_registry import Instance
from fielddrift_node.http_client import Call, HttpClient
from fielddrift_node.serving.ports import RemoteCallError, WeightsOrder
from fielddrift_node.targets import TargetClient
from fielddrift_node.web.client import Client
from fielddrift_platform.targets import PlatformTargets
from fielddrift_standins import worker as standin
from fielddrift_standins.worker import Worker

from .cut_network import Cut, CutNetwork
from .platform_fleet import FleetCase, RunningNode, ask, eventually, prompt
from .scripted_target import ScriptedTarget

_STATUSES = ("000", "001", "099", "600", "999")
_BODY = b"an odd answer"
_Form = Callable[[bytes, bytes], bytes]
_FORMS: dict[str, _Form] = {
    "length": lambda status, fields: (
        b"HTTP/1.1 %s Odd\r\n%sContent-Length: %d\r\n\r\n%s" % (status, fields, len(_BODY), _BODY)
    ),
    "chunks": lambda status, fields: (
        b"HTTP/1.1 %s Odd\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
        % (status, fields, len(_BODY), _BODY)
    ),
    "close": lambda status, fields: b"HTTP/1.1 %s Odd\r\n%s\r\n%s" % (status, fields, _BODY),
    "no body": lambda status, fields: (
        b"HTTP/1.1 %s Odd\r\n%sContent-Length: 0\r\n\r\n" % (status, fields)
    ),
    "no reason": lambda status, fields: (
        b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, fields, len(_BODY), _BODY)
    ),
    "behind an interim answer": lambda status, fields: (
        b"HTTP/1.1 103 Early Hints\r\n%s\r\n" % fields + _FORMS["length"](status, fields)
    ),
    "as an interim answer": lambda status, fields: (
        b"HTTP/1.1 %s Odd\r\n%s\r\n" % (status, fields) + _FORMS["length"](b"200", fields)
    ),
}


class _OddTargetsCase(FleetCase):
    async def start(self, *, network: CutNetwork | None = None) -> None:
        """Start two targets of each service that answer as `form` and `status` say."""
        self.form, self.status, self.requests = "length", "000", 0
        fault = mock.patch.dict(standin.FAULTS, {"odd": self._answer})
        fault.start()
        self.addCleanup(fault.stop)
        self.tolerate_pauses(2.0)
        self.workers = [
            await self.fleet.worker(Worker(name=f"{service}{number}", events=events), service)
            for service, events in (("plain", 0), ("engines", 3))
            for number in range(2)
        ]
        self.node = await self.fleet.node(network=network)

    async def _answer(self, exchange: Any) -> None:
        worker = exchange.worker
        worker.begin(exchange.request)
        fields = b"".join(
            b"%s: %s\r\n" % (name, value) for name, value in worker.head(exchange.request_id)
        )
        exchange.responder.write_raw(_FORMS[self.form](self.status.encode(), fields))
        await asyncio.sleep(0.02)
        exchange.responder.cut()

    async def ask(self, node: RunningNode, path: str, *, odd: int, **extra: Any) -> tuple[int, int]:
        """Send a request whose next `odd` answers of each target are odd.

        Return the status that the caller got, and how often the request ran.
        """
        self.requests += 1
        name = f"r{self.requests}"
        for worker in self.workers:
            worker.faults = ["odd"] * odd
            worker.ran.clear()
        headers = prompt() if path.startswith(("/chat", "/verdict")) else {}
        answer = await ask(node, path, request_id=name, **headers, **extra)
        self.assertNotIn(_BODY, answer.body)
        return answer.status, sum(len(worker.ran) for worker in self.workers)


class TestRequests(_OddTargetsCase):
    async def test_no_caller_gets_such_an_answer(self) -> None:
        await self.start()
        for form in _FORMS:
            for status in _STATUSES:
                self.form, self.status = form, status
                for path in ("/safe/1", "/unsafe/1", "/chat/1", "/verdict/1"):
                    with self.subTest(form=form, status=status, path=path):
                        got, ran = await self.ask(self.node, path, odd=9)
                        self.assertEqual(got, 502)
                        # What has run is not said not to have run, and what may run once did.
                        self.assertGreater(ran, 0)
                        if path in ("/unsafe/1", "/verdict/1"):
                            self.assertEqual(ran, 1)

    async def test_nor_as_an_answer_to_head(self) -> None:
        await self.start()
        for form in ("length", "no body", "no reason", "behind an interim answer"):
            for status in _STATUSES:
                self.form, self.status = form, status
                with self.subTest(form=form, status=status):
                    got, _ = await self.ask(self.node, "/safe/1", odd=9, method="HEAD", body=b"")
                    self.assertEqual(got, 502)

    async def test_another_target_answers_what_may_be_repeated(self) -> None:
        await self.start()
        self.workers[0].faults = self.workers[2].faults = ["odd"] * 9
        for path, extra in (("/safe/1", {}), ("/chat/1", prompt())):
            for number in range(4):
                name = f"{path}{number}"
                answer = await ask(self.node, path, request_id=name.replace("/", ""), **extra)
                self.assertEqual(answer.status, 200)

    async def test_nor_through_another_node(self) -> None:
        network = CutNetwork(is_target=lambda address: address in self.fleet.addresses.values())
        await self.start(network=network)
        await self.fleet.node("node-2")
        neighbours, loop = self.node.node._neighbours, asyncio.get_running_loop()
        await eventually(lambda: len(neighbours.alive(loop.time())) == 1)
        network.cut(Cut.REFUSED)
        self.node.client.close()
        # The other node carries the connection.
        self.assertEqual((await self.ask(self.node, "/safe/1", odd=0))[0], 200)
        for status in _STATUSES:
            self.status = status
            with self.subTest(status=status):
                got, ran = await self.ask(self.node, "/unsafe/1", odd=9)
                self.assertEqual((got, ran), (502, 1))


class TestCalls(unittest.IsolatedAsyncioTestCase):
    """Calls for reports and orders, which no caller sees."""

    async def test_reports_and_orders_fail(self) -> None:
        client = Client()
        self.addCleanup(client.close)
        targets = PlatformTargets(client=client)
        for form in _FORMS:
            for status in _STATUSES:
                with self.subTest(form=form, status=status):
                    answer = _FORMS[form](status.encode(), b"")
                    server = ScriptedTarget(script=[[answer], [answer]])
                    try:
                        instance = Instance("e", "s", server.address, "a")
                        with self.assertRaises(RemoteCallError):
                            await targets.report(instance)
                        with self.assertRaises(RemoteCallError) as raised:
                            await targets.order(WeightsOrder(instance, "m", 2, "node", 1, 0))
                        self.assertFalse(raised.exception.not_executed)
                    finally:
                        server.close()


class TestOwnInterface(unittest.TestCase):
    def test_no_caller_gets_such_an_answer(self) -> None:
        http = HttpClient()
        self.addCleanup(http.close)
        targets = TargetClient(http=http)
        for form in _FORMS:
            for status in _STATUSES:
                with self.subTest(form=form, status=status):
                    answer = _FORMS[form](status.encode(), b"X-Request-Id: r\r\n")
                    server = ScriptedTarget(script=[[answer]])
                    target: Any = SimpleNamespace(name="t1", address=server.address)
                    headers = {"X-Request-Id": "r"}
                    call = Call("GET", f"{server.url}call/x", None, headers, timeout=1.0)
                    try:
                        with self.assertRaises(ExternalSystemError) as raised:
                            targets.call(target, call)
                        self.assertFalse(raised.exception.not_executed)
                    finally:
                        server.close()
