"""A list of targets that a returning caller's node lacks is read, whatever has failed before."""

from __future__ import annotations

import asyncio
from unittest import mock
from unittest.mock import AsyncMock

from fielddrift_node.serving.ports import RemoteCallError

from .platform_fleet import eventually
from .test_nodes_out_of_step import OutOfStepCase, unread

_WAIT_SECONDS = 0.8
_SILENCE_SECONDS = 2.0
"""After this time without heartbeats a node counts as dead."""


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
        await asyncio.sleep(_SILENCE_SECONDS)
        for _ in range(3):
            self.assertTrue(await copier.read_since(loop.time(), seconds=_WAIT_SECONDS))


class TestCutOffBeginner(OutOfStepCase):
    async def test_streams_that_a_node_began_while_cut_off_are_not_joined(self) -> None:
        """Failure: the other nodes told that they know no origin, and that was enough, though none
        had heard of the node that began the stream since the version joined."""
        await self.start(nodes=4, engines=2, versions=("v1",))
        cut, *others = self.nodes
        behind = others[-1]
        with mock.patch.object(cut.node._gossip, "_send_to"):
            await eventually(
                lambda: all(
                    cut.settings.name
                    not in {
                        n.name
                        for n in node.node._neighbours.alive(asyncio.get_running_loop().time())
                    }
                    for node in others
                )
            )
            with unread(behind):
                await self.join(cut, *others[:-1])
                callers = await self.open_at(cut, 12)
                await self.return_to(behind, callers)
        self.assert_one_version(callers)
