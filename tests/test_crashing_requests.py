"""A request that crashes the targets running it is held back after its third crash.

Failure: a caller sent the same request, with one path and one body, again and again under new ids
and to any node. It crashed each engine that started to run it: nine and eleven engines in two
periods of about 15 s, as each was back after some seconds and crashed again. Other requests on
these engines were cut or failed. A node discarded what it knew of a request together with the
response, so it sent each attempt to a healthy target like a new request. The log lines `send
failed`, here of stand-ins, show one `fingerprint`, a new request id for each attempt of the
caller and another target for each send:

    send failed fingerprint=0bcec8a28cda7e1d request=f1 target=plain-5 reason=reset after_ms=31
    send failed fingerprint=0bcec8a28cda7e1d request=f1 target=plain-1 reason=reset after_ms=27
    send failed fingerprint=0bcec8a28cda7e1d request=f2 target=plain-3 reason=reset after_ms=30
    send failed fingerprint=0bcec8a28cda7e1d request=f2 target=plain-4 reason=reset after_ms=34

With six targets, three nodes and ten requests per second for 6 s, 10 to 12 runs started later
than 1 s after the third crash; three are allowed.
"""

from __future__ import annotations

from .crashing_fleet import ALLOWED, FATAL, CrashingCase, chat
from .platform_fleet import ask

_REPEAT_SECONDS = 6.0


class TestHeldBack(CrashingCase):
    """The request is held back whatever its kind, and at every node."""

    async def _check_held_back(self, service: str, path: str, **headers: str) -> None:
        await self.targets(service, 6)
        nodes = await self.nodes(3)
        answers = await self.insist(nodes, path, seconds=_REPEAT_SECONDS, **headers)
        self.assertLessEqual(len(self.late_runs()), ALLOWED)
        last = answers[-1]
        self.assertEqual(last.status, 503)
        self.assertGreater(float(last.headers["retry-after"]), 1.0)

    async def test_a_request_that_may_be_repeated(self) -> None:
        await self._check_held_back("plain", "/safe/x")

    async def test_a_request_that_may_run_once(self) -> None:
        await self._check_held_back("plain", "/unsafe/x")

    async def test_a_prompt(self) -> None:
        await self._check_held_back("engines", "/chat/x", **chat())

    async def test_a_prompt_that_may_run_once(self) -> None:
        await self._check_held_back("engines", "/verdict/x", **chat())

    async def test_a_prompt_that_its_caller_takes_up_again(self) -> None:
        await self._check_held_back("engines", "/chat/x", **chat(), Last_Event_Id="1")

    async def test_at_one_node_alone(self) -> None:
        await self.targets("plain", 6)
        nodes = await self.nodes(1)
        await self.insist(nodes, "/safe/x", seconds=_REPEAT_SECONDS)
        self.assertLessEqual(len(self.late_runs()), ALLOWED)

    async def test_a_node_begun_anew_learns_it(self) -> None:
        await self.targets("plain", 6)
        nodes = await self.nodes(2)
        await self.insist(nodes, "/safe/x", seconds=3.0)
        late = await self.fleet.node("node-late")
        await self.insist([late], "/safe/x", seconds=2.0)
        self.assertLessEqual(len(self.late_runs()), ALLOWED)

    async def test_it_outlives_all_nodes(self) -> None:
        await self.targets("plain", 6)
        (node,) = await self.nodes(1)
        await self.insist([node], "/safe/x", seconds=3.0)
        await node.stop()
        again = await self.fleet.node("node-again")
        await self.insist([again], "/safe/x", seconds=2.0)
        self.assertLessEqual(len(self.late_runs()), ALLOWED)

    async def test_others_of_the_same_caller_and_path_are_served(self) -> None:
        await self.targets("plain", 6)
        nodes = await self.nodes(1)
        await self.insist(nodes, "/safe/x", seconds=3.0)
        self.assertEqual((await ask(nodes[0], "/safe/x", body=FATAL)).status, 503)
        for number in range(5):
            body = b"another body %d" % number
            answer = await ask(nodes[0], "/safe/x", request_id=f"o{number}", body=body)
            self.assertEqual(answer.status, 200)
