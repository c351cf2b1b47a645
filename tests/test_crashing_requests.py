"""A request that ends the targets that run it is held back once it has ended three.

A request of one caller, with one path and one body, came back again and again under new
ids, at any node, and ended each engine that began to run it: nine and eleven of them in
two spells of some fifteen seconds, each back after some seconds and ended again.  Requests that
stood beside were cut or failed.  All that a node knew of a request ended with its answer, so
each try was sent to a sound target like a new one.  The lines that settled it are those of
`send failed`, of stand-ins: one `fingerprint`, another request id with each try of the caller,
another target with each send.

    send failed fingerprint=0bcec8a28cda7e1d request=f1 target=plain-5 reason=reset after_ms=31
    send failed fingerprint=0bcec8a28cda7e1d request=f1 target=plain-1 reason=reset after_ms=27
    send failed fingerprint=0bcec8a28cda7e1d request=f2 target=plain-3 reason=reset after_ms=30
    send failed fingerprint=0bcec8a28cda7e1d request=f2 target=plain-4 reason=reset after_ms=34

Six targets, three nodes, asked ten times a second for six seconds: 10 to 12 runs later than
one second after the third crash, where three may be.
"""

from __future__ import annotations

from .crashing_fleet import ALLOWED, FATAL, CrashingCase, chat
from .platform_fleet import ask

_SECONDS = 6.0


class TestHeldBack(CrashingCase):
    """Whatever its kind, and wherever it comes in."""

    async def _hold(self, service: str, path: str, **headers: str) -> None:
        await self.targets(service, 6)
        nodes = await self.nodes(3)
        answers = await self.insist(nodes, path, seconds=_SECONDS, **headers)
        self.assertLessEqual(len(self.late_runs()), ALLOWED)
        last = answers[-1]
        self.assertEqual(last.status, 503)
        self.assertGreater(float(last.headers["retry-after"]), 1.0)

    async def test_a_request_that_may_be_repeated(self) -> None:
        await self._hold("plain", "/safe/x")

    async def test_a_request_that_may_run_once(self) -> None:
        await self._hold("plain", "/unsafe/x")

    async def test_a_prompt(self) -> None:
        await self._hold("engines", "/chat/x", **chat())

    async def test_a_prompt_that_may_run_once(self) -> None:
        await self._hold("engines", "/verdict/x", **chat())

    async def test_a_prompt_that_its_caller_takes_up_again(self) -> None:
        await self._hold("engines", "/chat/x", **chat(), Last_Event_Id="1")

    async def test_at_one_node_alone(self) -> None:
        await self.targets("plain", 6)
        nodes = await self.nodes(1)
        await self.insist(nodes, "/safe/x", seconds=_SECONDS)
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
