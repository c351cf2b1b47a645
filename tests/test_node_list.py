"""The list of nodes: rows of removed nodes are deleted, and rows of live nodes are restored.

Rows were written at each start and never deleted.  Each host that was replaced under a new
name left its row for ever, and every node that started read all rows, added their nodes and
sent each of them a heartbeat every five seconds from then on.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from unittest import mock

import msgspec
from fielddrift_core import neighbours as neighbours_module
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.silent_rows import SilentRows
from fielddrift_node.serving import membership as membership_module
from fielddrift_node.serving.membership import Membership
from fielddrift_node.serving.ports import RowWrite, SavedRow, WriteOutcome
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, eventually
from .test_neighbours import heartbeat, neighbour

QUICK_CHECKS = {"_CHECK_SECONDS": 0.1, "_CHECK_SECONDS_PER_NODE": 0.01}
QUICK_SILENCE = {"_SILENT_SECONDS": 0.5, "_SILENT_HEARTBEAT_SECONDS": 0.1, "_MAX_UNANSWERED": 5}
CHECK_COUNT = 5


def encoded(node: Neighbour) -> bytes:
    return msgspec.json.encode([node])


class SilentRowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows = SilentRows()

    def _run_checks(
        self, times: int, versions: dict[str, int], heard: Sequence[str] = ("me",)
    ) -> None:
        for _ in range(times):
            self.rows.check(versions, heard)

    def test_a_row_is_abandoned_after_many_checks_without_its_node(self) -> None:
        self._run_checks(CHECK_COUNT - 1, {"old": 7, "live": 8}, ["live"])
        self.assertEqual(self.rows.abandoned(), {})
        self._run_checks(1, {"old": 7, "live": 8}, ["live"])
        self.assertEqual(self.rows.abandoned(), {"old": 7})

    def test_a_restart_or_a_heartbeat_resets_the_count(self) -> None:
        self._run_checks(CHECK_COUNT - 1, {"started": 7, "heard": 8})
        self._run_checks(1, {"started": 9, "heard": 8}, ["heard"])
        self._run_checks(CHECK_COUNT - 1, {"started": 9, "heard": 8})
        self.assertEqual(self.rows.abandoned(), {"started": 9})

    def test_a_node_without_any_live_neighbour_resets_all_counts(self) -> None:
        self._run_checks(2 * CHECK_COUNT, {"n1": 1, "n2": 2}, [])
        self.assertEqual(self.rows.abandoned(), {})


class Table:
    """The table of nodes; `after_read` runs between a read and the write after it."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, SavedRow] = {}
        self.calls = 0
        self.version = 0
        self.after_read: Callable[[], None] = lambda: None

    def put(self, key: str, value: bytes) -> None:
        self.version += 1
        self.rows_by_key[key] = SavedRow(key, value, self.version)

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        self.calls += 1
        found = list(self.rows_by_key.values())
        self.after_read()
        return found, 0.0

    async def write(self, table: str, writes: Sequence[RowWrite]) -> WriteOutcome:
        self.calls += 1
        for write in writes:
            held = self.rows_by_key.get(write.key)
            if write.expect is not None and write.expect != (held.version if held else 0):
                return WriteOutcome(False, self.version, 0.0)
        for write in writes:
            if write.value is None:
                del self.rows_by_key[write.key]
            else:
                self.put(write.key, write.value)
        return WriteOutcome(True, self.version, 0.0)


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """The checks of one node, without a network."""

    async def asyncSetUp(self) -> None:
        self.table = Table()
        self.view = Neighbours(me=neighbour("me"))
        self.view.update_self(serving=True, load=0.0)
        self.membership = Membership(
            settings=SimpleNamespace(seeds=(), host="h", gossip_port=1),  # type: ignore[arg-type]
            platform=self.table,  # type: ignore[arg-type]
            neighbours=self.view,
            gossip=SimpleNamespace(),  # type: ignore[arg-type]
            rng=random.Random(1),
        )
        self.table.put("old", encoded(neighbour("old")))
        await self.membership._join()

    async def _run_checks(self, times: int = 1) -> None:
        for _ in range(times):
            now = asyncio.get_running_loop().time()
            self.view.receive(heartbeat(neighbour("n1")), now)
            await self.membership._check()

    async def test_a_check_without_findings_is_one_call(self) -> None:
        self.table.put("n1", encoded(neighbour("n1")))
        before = self.table.calls
        await self._run_checks(3)
        self.assertEqual(self.table.calls, before + 3)

    async def test_a_node_that_starts_while_its_row_is_deleted_stays_listed(self) -> None:
        await self._run_checks(CHECK_COUNT - 1)
        started = encoded(neighbour("old", boot=2))
        self.table.after_read = lambda: self.table.put("old", started)
        await self._run_checks()
        self.assertEqual(self.table.rows_by_key["old"].value, started)
        self.table.after_read = lambda: None
        await self._run_checks(CHECK_COUNT - 2)
        self.assertIn("old", self.table.rows_by_key)
        await self._run_checks(2)
        self.assertNotIn("old", self.table.rows_by_key)

    async def test_live_nodes_without_rows_are_listed_again(self) -> None:
        self.table.rows_by_key.clear()
        await self._run_checks()
        self.assertEqual(set(self.table.rows_by_key), {"me", "n1"})
        self.assertEqual(self.table.rows_by_key["n1"].value, encoded(neighbour("n1")))

    async def test_only_the_coordinator_deletes_rows(self) -> None:
        self.view.receive(
            heartbeat(neighbour("a0"))._replace(period=60.0), asyncio.get_running_loop().time()
        )
        await self._run_checks(3 * CHECK_COUNT)
        self.assertIn("old", self.table.rows_by_key)


class FleetTest(FleetCase):
    """Complete nodes, with short intervals between checks."""

    async def asyncSetUp(self) -> None:
        for module, figures in (
            (membership_module, QUICK_CHECKS),
            (neighbours_module, QUICK_SILENCE),
        ):
            patched = mock.patch.multiple(module, **figures)
            patched.start()
            self.addCleanup(patched.stop)
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="p-1"), "plain")

    def _knows(self, node: RunningNode, name: str) -> bool:
        return node.node._neighbours.node(name) is not None

    async def test_a_replaced_host_leaves_no_row_and_no_neighbour(self) -> None:
        old = neighbour("old")._replace(gossip=f"{HOST}:{free_port()}")
        self.fleet.store.put("members", "old", [old])
        nodes = [await self.fleet.node(name) for name in ("node-1", "node-2")]
        self.assertTrue(all(self._knows(node, "old") for node in nodes))
        await eventually(lambda: self.fleet.store.get("members", "old") is None)
        await eventually(lambda: not any(self._knows(node, "old") for node in nodes))
        for name in ("node-1", "node-2"):
            self.assertIsNotNone(self.fleet.store.get("members", name))

    async def test_a_node_that_was_partitioned_for_long_returns(self) -> None:
        address = f"{HOST}:{free_port()}"
        way = await self.fleet.store.door(HOST, int(address.rpartition(":")[2]))
        self.addCleanup(way.close)
        nodes = [await self.fleet.node(name) for name in ("node-1", "node-2")]
        lost = await self.fleet.node("node-3", store=address)
        loop = asyncio.get_running_loop()
        for node in (*nodes, lost):
            await eventually(lambda n=node: len(n.node._neighbours.active(loop.time())) == 3)
        # Its last heartbeat states a short period, so that its silence is detected soon.
        lost.node._gossip.send_to_all()
        way.turned_away = True
        gossip = lost.node._gossip
        with (
            mock.patch.object(gossip, "_send_to", lambda address, data: None),
            mock.patch.object(gossip, "datagram_received", lambda data, addr: None),
        ):
            await eventually(lambda: self.fleet.store.get("members", "node-3") is None)
            await eventually(lambda: not any(self._knows(node, "node-3") for node in nodes))
            await eventually(lambda: not self._knows(lost, "node-1"))
        way.turned_away = False
        await eventually(lambda: self.fleet.store.get("members", "node-3") is not None)
        for node in (*nodes, lost):
            await eventually(lambda n=node: len(n.node._neighbours.alive(loop.time())) == 2)


if __name__ == "__main__":
    unittest.main()
