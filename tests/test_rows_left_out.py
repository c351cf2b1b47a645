"""A row that cannot be decoded is not taken for one that is not there."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from typing import Any
from unittest import mock

from fielddrift_core.stream_origins import ServiceVersions
from fielddrift_node.serving.origin_rows import OriginRows
from fielddrift_node.serving.version_rows import VersionRows
from fielddrift_platform.store import PlatformStore
from fielddrift_standins.rowstore import RowStore
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, eventually
from .test_lists_with_odd_elements import client

ODD_ROWS: tuple[dict[str, object], ...] = (
    {"key": "engines", "ver": 2**44, "value": "e30="},
    {"key": "engines", "ver": 3, "value": None},
)


def store(*rows: object) -> PlatformStore:
    answer = {"rows": rows, "ver": 9, "now-ms": 5000.0}
    return PlatformStore(address="10.0.0.9:1", client=client(json.dumps(answer)))


class TestOwnRows(unittest.IsolatedAsyncioTestCase):
    async def test_an_origin_in_a_row_left_out_is_not_denied(self) -> None:
        """Failure: the platform counted as not to know it, so that the stream could be joined."""
        for odd in ODD_ROWS:
            with self.subTest(odd=str(odd)):
                rows = OriginRows(
                    platform=store(odd),
                    views=mock.Mock(),
                    neighbours=mock.Mock(),
                    instance="node-1",
                    rng=random.Random(1),
                )
                self.assertFalse((await rows.find("ab")).is_given)

    async def test_the_versions_in_a_row_left_out_are_unknown(self) -> None:
        """Failure: no version counted as to have served, and any target might resume a stream."""
        for odd in ODD_ROWS:
            with self.subTest(odd=str(odd)):
                versions = ServiceVersions()
                rows = VersionRows(
                    platform=store(odd),
                    peers=mock.Mock(alive=mock.Mock(return_value=[])),
                    neighbours=mock.Mock(alive=mock.Mock(return_value=[])),
                    views=mock.Mock(software_versions=versions, targets_row=0),
                    rng=random.Random(1),
                )
                task = asyncio.ensure_future(rows.run())
                await asyncio.sleep(0.2)
                task.cancel()
                now = asyncio.get_running_loop().time()
                self.assertFalse(versions.knows_history("engines", now))


class TestNews(FleetCase):
    """A row of a feed's answer that cannot be decoded once is read again."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="w1"), "plain")
        self.node = await self.fleet.node()

    def _garble_once(self, wanted: str) -> None:
        """Let the next answer with a row under the key `wanted` have a version out of range."""
        row, left = RowStore._row, [wanted]

        def garbled(keeper: RowStore, table: str, key: str) -> dict[str, Any]:
            found = row(keeper, table, key)
            if key in left and (found.get("value") or key == "w1"):
                left.remove(key)
                found["ver"] = 2**44
            return found

        patch = mock.patch.object(RowStore, "_row", garbled)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_a_target_that_joins_is_known(self) -> None:
        """Failure: no request reached it until its entry changed again."""
        registry = self.node.node.views.registry
        self._garble_once("w2")
        await self.fleet.worker(Worker(name="w2"), "plain")
        await eventually(lambda: len(registry.serving("plain")) == 2)

    async def test_a_target_that_has_ended_is_not_kept(self) -> None:
        """Failure: it stayed a target for as long as the node ran."""
        registry = self.node.node.views.registry
        await self.fleet.worker(Worker(name="w2"), "plain")
        await eventually(lambda: len(registry.serving("plain")) == 2)
        self._garble_once("w1")
        self.fleet.store.drop("servers", "w1")
        await eventually(lambda: len(registry.serving("plain")) == 1)

    async def test_a_new_configuration_applies(self) -> None:
        """Failure: the node went on with the former one, and told others that it had read it."""
        self._garble_once("config")
        self.fleet.configure()
        await eventually(lambda: self.node.node.views.catalog.version == self.fleet.version)
