"""No prompt begins on weights that were outdated for longer than may be.

What happened: prompts began on weights that were outdated for longer than may
be.  A node counted from when it or a living neighbour had heard of the newer
version.  Where all nodes began anew in the middle of a rollout (a loss of
power) nobody remembered, and each sent to older weights for its whole time
again.  It shows in `weights named`: `known_seconds` near 0 on every node, for a
version that was named before they began.

A prompt that was sent in time waited at its engine: one for 2.4 s, which the
margin of 3 s covered.  Nothing bounded the wait but the route's patience, and for
work that may run only once nothing but the deadline: `outdated_ms` and `first_ms`
of `request answered` then add up to more than the time for older weights.
"""

from __future__ import annotations

import asyncio
from unittest import mock

from fielddrift_core.rollout import SAVED_ERROR_SECONDS, StoreClock, VersionAge
from fielddrift_standins.worker import Worker

from .platform_fleet import BOUNDS, FleetCase, RunningNode, ask, eventually, prompt

_NEVER_DONE = 1000
_SHORT = BOUNDS._replace(weights=2.0)
_HEARD_BEFORE_SECONDS = 0.4
"""How much earlier another node heard of a version than the one that saves it: less than
`SAVED_ERROR_SECONDS`, for which the row is not written anew."""
_DEADLINE_MS = 6000
"""Longer than any request may wait to begin on older weights."""


class TestAllNodesAnew(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("e1", "e2"):
            worker = await self.fleet.worker(Worker(name=name, events=3), "engines")
            # Loads are ordered and never come about: the rollout stays in its middle.
            worker.unanswered_orders = _NEVER_DONE
        self.clocks: list[StoreClock] = []
        """All readings of the platform's clock by which namings were dated."""

        def read(clock: float, sent: float, heard: float) -> StoreClock:
            self.clocks.append(StoreClock(clock, sent, heard))
            return self.clocks[-1]

        readings = mock.patch("fielddrift_node.serving.named_rows.StoreClock", read)
        readings.start()
        self.addCleanup(readings.stop)

    async def _nodes(self) -> list[RunningNode]:
        return [await self.fleet.node(f"node-{n}") for n in (1, 2)]

    async def _named(self, nodes: list[RunningNode]) -> None:
        """Name version 2; return when all nodes know it and a row of the platform says when."""
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: all(n.node.views.first_superseding("m", 1) for n in nodes))
        await eventually(lambda: bool(self.fleet.workers["e1"].orders))
        await eventually(lambda: self.fleet.store.get("namings", "m") is not None)

    async def _count_from(self, heard_at: float, named_at: float) -> None:
        """Start nodes anew, and see that each counts from `heard_at` at the latest."""
        for node in await self._nodes():
            views = node.node.views
            await eventually(lambda views=views: views.named == {"m": 2})
            await eventually(lambda views=views: views.first_superseding("m", 1).at <= heard_at)
            # Nor does it count from much before the naming: calls to the store are all the error.
            calls = sum(clock.heard - clock.sent for clock in self.clocks)
            self.assertGreater(views.first_superseding("m", 1).at, named_at - calls)

    async def test_they_count_from_the_naming_not_from_their_start(self) -> None:
        # Only one node has heard of it: what it knows is exactly what was saved.
        before = await self.fleet.node("node-1")
        named_at = asyncio.get_running_loop().time()
        await self._named([before])
        heard_at = before.node.views.first_superseding("m", 1).at
        await before.stop()
        await self._count_from(heard_at, named_at)

    async def test_they_count_from_whoever_heard_of_it_first(self) -> None:
        # The node that saved it may have heard of it later, by `SAVED_ERROR_SECONDS` at most.
        before = await self._nodes()
        named_at = asyncio.get_running_loop().time()
        await self._named(before)
        now = asyncio.get_running_loop().time()
        heard_at = (
            min(n.node.views.first_superseding("m", 1).at for n in before) - _HEARD_BEFORE_SECONDS
        )
        before[1].node.views.record_version_ages((VersionAge("m", 2, now - heard_at),), now)
        for node in before:
            await node.stop()
        calls = sum(clock.heard - clock.sent for clock in self.clocks)
        await self._count_from(heard_at + SAVED_ERROR_SECONDS + calls, named_at)


class TestWaiting(FleetCase):
    """Engine e1 has older weights, never loads, and lets what comes wait."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for route in self.fleet.routes:
            # In time for long, so that silence alone does not move a run.
            route["target-latency-ms"] = _DEADLINE_MS
            route["timeout-ms"] = _DEADLINE_MS
        self.fleet.configure()
        self.old = await self.fleet.worker(Worker(name="e1", events=3), "engines")
        self.old.unanswered_orders = _NEVER_DONE
        self.node = await self.fleet.node(bounds=_SHORT)

    async def _name(self) -> None:
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.node.node.views.named == {"m": 2})

    async def _left(self) -> float:
        """Return for how long the weights were outdated when e1 was left."""
        await eventually(lambda: bool(self.old.left))
        now = asyncio.get_running_loop().time()
        return self.node.node.views.outdated_seconds("m", 1, now)

    async def test_what_may_be_repeated_begins_elsewhere(self) -> None:
        await self._name()
        self.old.faults = ["queue"]
        asked = asyncio.ensure_future(
            ask(self.node, "/chat/x", deadline_ms=_DEADLINE_MS, **prompt())
        )
        await eventually(lambda: not self.old.faults)
        new = await self.fleet.worker(Worker(name="e2", events=3, version=2), "engines")
        self.assertLess(await self._left(), _SHORT.weights)
        answer = await asked
        self.assertEqual((answer.status, answer.headers.get("whole")), (200, "yes"))
        self.assertEqual([ran.request_id for ran in new.ran], ["r1"])
        self.assertEqual(self.old.ran, [])

    async def test_what_may_run_once_only_is_called_off_and_promises_nothing(self) -> None:
        await self._name()
        self.old.faults = ["queue"]
        asked = asyncio.ensure_future(
            ask(self.node, "/verdict/x", deadline_ms=_DEADLINE_MS, **prompt())
        )
        await eventually(lambda: not self.old.faults)
        await self.fleet.worker(Worker(name="e2", events=3, version=2), "engines")
        self.assertLess(await self._left(), _SHORT.weights)
        self.assertEqual((await asked).status, 502)
        self.assertEqual(self.fleet.workers["e2"].ran, [])

    async def test_weights_named_while_a_prompt_waits_count_too(self) -> None:
        self.old.faults = ["queue"]
        asked = asyncio.ensure_future(
            ask(self.node, "/verdict/x", deadline_ms=_DEADLINE_MS, **prompt())
        )
        await eventually(lambda: not self.old.faults)
        await self._name()
        self.assertLess(await self._left(), _SHORT.weights)
        self.assertEqual((await asked).status, 502)
