"""A fleet whose targets crash when they run one request, and callers that send it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable

from fielddrift_standins.worker import Ran, Worker

from .platform_fleet import Answer, FleetCase, RunningNode, ask, eventually, prompt

FATAL = b"the body that ends whoever runs it"
ALLOWED = 3
"""Runs that may start after the request has crashed three targets."""
SETTLED_SECONDS = 1.0
"""Time after the third crash in which all nodes must know of it, a third of the promised time."""


class CrashingCase(FleetCase):
    """Tests of nodes whose targets crash when they run one request."""

    async def targets(
        self, service: str, count: int, *, entry_seconds: float = 2.0, back_seconds: float = 1.0
    ) -> list[Worker]:
        """Start `count` targets of `service` that return after a crash."""
        events = 3 if service == "engines" else 0
        found = []
        for number in range(count):
            worker = Worker(name=f"{service}-{number}", events=events, work_seconds=0.01)
            worker.fatal = frozenset({FATAL})
            self.fleet.revive(
                worker, service, entry_seconds=entry_seconds, back_seconds=back_seconds
            )
            found.append(await self.fleet.worker(worker, service))
        return found

    async def nodes(self, count: int) -> list[RunningNode]:
        """Start nodes that know each other and all targets."""
        known = len(self.fleet.workers)
        nodes = [await self.fleet.node(f"node-{number}") for number in range(count)]
        for node in nodes:
            await eventually(lambda node=node: len(node.node.views.registry) == known)
            await eventually(lambda node=node: _alive(node) == count - 1)
        return nodes

    async def insist(
        self,
        nodes: Iterable[RunningNode],
        path: str,
        *,
        seconds: float,
        pause: float = 0.1,
        body: bytes = FATAL,
        **headers: str,
    ) -> list[Answer]:
        """Send requests for `path` to the nodes in turn for `seconds`; return the answers."""
        turns = itertools.cycle(nodes)
        until = asyncio.get_running_loop().time() + seconds
        answers = []
        while asyncio.get_running_loop().time() < until:
            number = next(_numbers)
            answers.append(
                await ask(next(turns), path, request_id=f"f{number}", body=body, **headers)
            )
            await asyncio.sleep(pause)
        return answers

    def runs(self, body: bytes = FATAL) -> list[Ran]:
        """Return all runs of `body`, in order."""
        found = [ran for w in self.fleet.workers.values() for ran in w.ran if ran.body == body]
        return sorted(found, key=lambda ran: ran.at)

    def late_runs(self, body: bytes = FATAL) -> list[Ran]:
        """Return the runs that started when all nodes had to know of the third crash."""
        self.assertGreaterEqual(len(self.fleet.crashes), 3, "the request ended fewer than three")
        known = sorted(self.fleet.crashes)[2][0] + SETTLED_SECONDS
        return [ran for ran in self.runs(body) if ran.at > known]


def _alive(node: RunningNode) -> int:
    return len(node.node._neighbours.alive(asyncio.get_running_loop().time()))


def chat() -> dict[str, str]:
    """Return the headers of a prompt."""
    return prompt()


_numbers = itertools.count(1)
