"""No prompt starts on weights that have been outdated for longer than allowed.

Failure: each node counted from when it, or a node alive at that time, received the newer version.
After all nodes restarted during a rollout (a power loss) no node had that time, and each used older
weights for the whole allowed time again. The log showed it in `weights named`: `known_seconds` near
0 on every node, for a version that was named before the nodes started.

Second failure: a prompt that was sent in time waited at its engine, one for 2.4 s, which the margin
of 3 s covered. Only the route's patience limited this wait, and only the deadline for work that may
run once. `outdated_ms` and `first_ms` of `request answered` then add up to more than the allowed
time.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from fielddrift_core.rollout import SAVED_ERROR_SECONDS, StoreClock, VersionAge
from fielddrift_node.serving import named_rows
from fielddrift_node.serving.row_table import RowTable
from fielddrift_standins.worker import Worker

from .platform_fleet import BOUNDS, FleetCase, RunningNode, ask, eventually, prompt

_UNANSWERED_ORDER_COUNT = 1000
_SHORT_BOUNDS = BOUNDS._replace(weights=2.0)
_RECEIVED_BEFORE_SECONDS = 0.4
"""How much earlier another node received a version than the node that saves it. It is less than
`SAVED_ERROR_SECONDS`, so the row is not written again."""
_DEADLINE_MS = 6000
"""Longer than any request may wait to start on older weights."""


class TestAllNodesAnew(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("e1", "e2"):
            worker = await self.fleet.worker(Worker(name=name, events=3), "engines")
            # Loads are ordered but never happen, so the rollout remains incomplete.
            worker.unanswered_orders = _UNANSWERED_ORDER_COUNT
        self.clocks: list[StoreClock] = []
        """All readings of the platform's clock that were used to date namings."""

        for name in ("read", "write"):
            patch = mock.patch.object(RowTable, name, self._recording(getattr(RowTable, name)))
            patch.start()
            self.addCleanup(patch.stop)

    def _recording(self, method: Any) -> Any:
        """Return `method` of a table, which records the readings of the clock by namings."""

        async def call(table: RowTable, *args: Any) -> Any:
            result = await method(table, *args)
            if table._name == named_rows.TABLE and table.clock is not None:
                self.clocks.append(table.clock)
            return result

        return call

    async def _start_nodes(self) -> list[RunningNode]:
        return [await self.fleet.node(f"node-{n}") for n in (1, 2)]

    async def _name_version(self, nodes: list[RunningNode]) -> None:
        """Name version 2; wait until all nodes know it and a row of the platform has its time."""
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: all(n.node.views.first_superseding("m", 1) for n in nodes))
        await eventually(lambda: bool(self.fleet.workers["e1"].orders))
        await eventually(lambda: self.fleet.store.get("namings", "m") is not None)

    async def _check_counted_from(self, heard_at: float, named_at: float) -> None:
        """Restart the nodes, and check that each counts from `heard_at` at the latest."""
        for node in await self._start_nodes():
            views = node.node.views
            await eventually(lambda views=views: views.named == {"m": 2})
            await eventually(lambda views=views: views.first_superseding("m", 1).at <= heard_at)
            # They must not count from much before the naming either: the only error is the time of
            # store calls.
            calls = sum(clock.heard - clock.sent for clock in self.clocks)
            self.assertGreater(views.first_superseding("m", 1).at, named_at - calls)

    async def test_they_count_from_the_naming_not_from_their_start(self) -> None:
        # Only one node has received it, so what it knows is exactly what was saved.
        before = await self.fleet.node("node-1")
        named_at = asyncio.get_running_loop().time()
        await self._name_version([before])
        heard_at = before.node.views.first_superseding("m", 1).at
        await before.stop()
        await self._check_counted_from(heard_at, named_at)

    async def test_they_count_from_whoever_heard_of_it_first(self) -> None:
        # The node that saved it may have received it later, by at most `SAVED_ERROR_SECONDS`.
        before = await self._start_nodes()
        named_at = asyncio.get_running_loop().time()
        await self._name_version(before)
        now = asyncio.get_running_loop().time()
        heard_at = (
            min(n.node.views.first_superseding("m", 1).at for n in before)
            - _RECEIVED_BEFORE_SECONDS
        )
        before[1].node.views.record_version_ages((VersionAge("m", 2, now - heard_at),), now)
        for node in before:
            await node.stop()
        calls = sum(clock.heard - clock.sent for clock in self.clocks)
        await self._check_counted_from(heard_at + SAVED_ERROR_SECONDS + calls, named_at)


class TestWaiting(FleetCase):
    """Engine e1 has older weights, never loads new ones, and keeps requests waiting."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for route in self.fleet.routes:
            # The latency goal is long, so that a lack of events alone does not move a run.
            route["target-latency-ms"] = _DEADLINE_MS
            route["timeout-ms"] = _DEADLINE_MS
        self.fleet.configure()
        self.old = await self.fleet.worker(Worker(name="e1", events=3), "engines")
        self.old.unanswered_orders = _UNANSWERED_ORDER_COUNT
        self.node = await self.fleet.node(bounds=_SHORT_BOUNDS)

    async def _name(self) -> None:
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.node.node.views.named == {"m": 2})

    async def _outdated_seconds_at_move(self) -> float:
        """Return for how long the weights had been outdated when the request left e1."""
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
        self.assertLess(await self._outdated_seconds_at_move(), _SHORT_BOUNDS.weights)
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
        self.assertLess(await self._outdated_seconds_at_move(), _SHORT_BOUNDS.weights)
        self.assertEqual((await asked).status, 502)
        self.assertEqual(self.fleet.workers["e2"].ran, [])

    async def test_weights_named_while_a_prompt_waits_count_too(self) -> None:
        self.old.faults = ["queue"]
        asked = asyncio.ensure_future(
            ask(self.node, "/verdict/x", deadline_ms=_DEADLINE_MS, **prompt())
        )
        await eventually(lambda: not self.old.faults)
        await self._name()
        self.assertLess(await self._outdated_seconds_at_move(), _SHORT_BOUNDS.weights)
        self.assertEqual((await asked).status, 502)
