"""Writes of stream origins that are carried out late take no other origin away.

Failure: rows were written without a condition.  A write without an answer, carried out after the
next one of the same row, left out the origins that had been added since; and a removal of an
expired row took the origins that its process had added after it was read.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Sequence
from unittest import mock

from fielddrift_core.stream_origins import StreamOrigin
from fielddrift_node.serving.origin_rows import OriginRows
from fielddrift_node.serving.ports import RemoteCallError, RowWrite, WriteOutcome
from fielddrift_node.web.client import Client
from fielddrift_platform.store import PlatformStore
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.rowstore import RowStore

_LIFETIME_SECONDS = 30.0


class _LatePlatform(PlatformStore):
    """A store of which writes can be lost, and carried out later."""

    loses = False
    lost: tuple[str, Sequence[RowWrite]] | None = None

    async def write(self, table: str, writes: Sequence[RowWrite]) -> WriteOutcome:
        if self.loses:
            self.loses, self.lost = False, (table, writes)
            raise RemoteCallError("no answer")
        return await super().write(table, writes)

    async def carry_out(self) -> WriteOutcome:
        """Carry the lost write out."""
        assert self.lost is not None
        return await super().write(*self.lost)


class TestLateWrites(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = RowStore()
        address = f"{HOST}:{free_port()}"
        await self.store.start(HOST, int(address.rpartition(":")[2]))
        self.client = Client()
        self.platform = _LatePlatform(address=address, client=self.client)
        self.rows = self._rows("node-1")

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.store.close()

    def _rows(self, name: str) -> OriginRows:
        return OriginRows(
            platform=self.platform,
            views=mock.Mock(),
            neighbours=mock.Mock(is_coordinator=mock.Mock(return_value=True)),
            instance=name,
            rng=random.Random(1),
        )

    def _add(self, key: str, seconds: float = _LIFETIME_SECONDS) -> None:
        until = asyncio.get_running_loop().time() + seconds
        self.rows.add([StreamOrigin(key, "engines", "v1", until)])

    async def _found(self, *keys: str) -> list[bool]:
        rows = self._rows("node-2")
        return [(await rows.find(key)).origin is not None for key in keys]

    async def test_a_late_write_leaves_the_origins_that_were_added_since(self) -> None:
        self._add("a")
        await self.rows._flush()
        self._add("b")
        self.platform.loses = True
        with self.assertRaises(RemoteCallError):
            await self.rows._flush()
        self._add("c")
        await self.rows._flush()
        self.assertEqual(await self._found("a", "b", "c"), [True] * 3)
        await self.platform.carry_out()
        self.assertEqual(await self._found("a", "b", "c"), [True] * 3)

    async def test_a_late_removal_leaves_the_origins_that_were_added_since(self) -> None:
        self._add("a", 0.05)
        await self.rows._flush()
        await asyncio.sleep(0.1)
        other = self._rows("node-2")
        other._cleanup_at = 0.0
        self.platform.loses = True
        with self.assertRaises(RemoteCallError):
            await other._clean_up(asyncio.get_running_loop().time())
        (key,) = self.rows._rows
        # As a process does that has not found its row expired yet.
        self.rows._rows[key] = self.rows._rows[key]._replace(until=float("inf"))
        self._add("b")
        await self.rows._flush()
        self.assertFalse((await self.platform.carry_out()).done)
        self.assertEqual(await self._found("b"), [True])
