"""A list of targets that a returning caller's node lacks is read, whatever has failed before."""

from __future__ import annotations

import asyncio
from unittest import mock
from unittest.mock import AsyncMock

from fielddrift_node.serving import origin_rows
from fielddrift_node.serving.ports import RemoteCallError

from .platform_fleet import RunningNode, eventually
from .test_nodes_out_of_step import OutOfStepCase, unread

_WAIT_SECONDS = 0.8
_COPY_SECONDS = 2.0
"""Time in which the node has copied the list from another one again."""


class TestReads(OutOfStepCase):
    async def test_a_node_whose_last_read_failed_reads_again(self) -> None:
        """Failure: a node that copies its list never read it again after one read had failed, so
        that each returning caller waited in vain, and was refused where too few nodes answered."""
        await self.start(nodes=3, engines=2, versions=("v1",))
        loop = asyncio.get_running_loop()
        feeds = [node.node._targets for node in self.nodes]
        copier = next(feed for feed in feeds if feed.reader() is not None)
        lost = AsyncMock(side_effect=RemoteCallError("store: no answer"))
        with mock.patch.object(copier._platform, "target_changes", lost):
            self.assertFalse(await copier.read_since(loop.time(), seconds=_WAIT_SECONDS))
        await asyncio.sleep(_COPY_SECONDS)
        for _ in range(3):
            self.assertTrue(await copier.read_since(loop.time(), seconds=_WAIT_SECONDS))


class TestCutOffBeginner(OutOfStepCase):
    """Failure: the other nodes told that they know no origin, and that was enough, though none had
    heard of the node that began the streams since the version joined."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start(nodes=4, engines=2, versions=("v1",))
        self.cut, *self.others = self.nodes
        lost = mock.patch.object(self.cut.node._gossip, "_send_to")
        lost.start()
        self.addCleanup(lost.stop)
        await eventually(lambda: not any(self._hears_cut(node) for node in self.others))

    def _hears_cut(self, node: RunningNode) -> bool:
        now = asyncio.get_running_loop().time()
        alive = node.node._neighbours.alive(now)
        return any(each.name == self.cut.settings.name for each in alive)

    async def test_they_are_not_joined_by_a_node_that_cannot_read_its_list(self) -> None:
        behind = self.others[-1]
        with unread(behind):
            await self.join(self.cut, *self.others[:-1])
            callers = await self.open_at(self.cut, 12)
            await self.return_to(behind, callers)
        self.assert_one_version(callers)

    async def test_they_are_not_joined_by_a_node_that_reads_its_list_first(self) -> None:
        behind = self.others[-1]
        with unread(behind):
            await self.join(self.cut, *self.others[:-1])
            callers = await self.open_at(self.cut, 12)
        await self.return_to(behind, callers)
        self.assert_one_version(callers)

    async def test_they_are_not_joined_by_a_node_that_knows_both_versions(self) -> None:
        with mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0):
            await self.join(*self.nodes)
            callers = await self.open_at(self.cut, 12)
            await self.return_to(self.others[-1], callers)
        self.assert_one_version(callers)
