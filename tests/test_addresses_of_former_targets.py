"""A target whose address another target still holds is used once that one has ended.

Failure: the answer of a former target at the address of a new one, whose entry came before its
process, counted as the end of the new one, which then got no requests at the node for its whole
life.
"""

from __future__ import annotations

from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually, prompt

_STARTED_MS = 1_790_000_000_000


class TestFormerTargets(FleetCase):
    async def start(self, service: str, started: int | None, *, events: int = 0) -> RunningNode:
        """Start a node and a target, at whose address the entry names another target."""
        port = free_port()
        self.former = Worker(name="former", events=events)
        await self.former.start(HOST, port)
        self.target = Worker(name="target", events=events)
        self.target.started = started
        self.fleet.workers |= {"former": self.former, "target": self.target}
        self.fleet.addresses["target"] = f"{HOST}:{port}"
        self.fleet._centres["target"] = "a"
        self.fleet.enter("target", service)
        node = await self.fleet.node()
        self.requests = 0
        return node

    async def check(self, node: RunningNode, path: str, **headers: str) -> None:
        async def is_served() -> bool:
            self.requests += 1
            answer = await ask(node, path, request_id=f"r{self.requests}", **headers)
            return answer.status == 200

        self.assertFalse(await is_served())
        host, _, port = self.fleet.addresses["target"].rpartition(":")
        self.former.crash()
        await self.target.start(host, int(port))
        await eventually(is_served)

    async def test_an_engine(self) -> None:
        node = await self.start("engines", _STARTED_MS, events=3)
        await self.check(node, "/chat/1", **prompt())

    async def test_an_engine_for_answers_that_nothing_continues(self) -> None:
        node = await self.start("engines", _STARTED_MS, events=3)
        await self.check(node, "/verdict/1", **prompt())

    async def test_an_engine_whose_entry_tells_no_start(self) -> None:
        node = await self.start("engines", None, events=3)
        await self.check(node, "/chat/1", **prompt())

    async def test_a_plain_target(self) -> None:
        node = await self.start("plain", _STARTED_MS)
        await self.check(node, "/safe/1")
