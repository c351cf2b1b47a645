"""Since when weights are outdated is remembered beyond the life of every node.

What happened: prompts began on weights that were outdated for longer than may
be.  A node counted from when it or a living neighbour had heard of the newer
version.  Where all nodes began anew in the middle of a rollout (a loss of
power) nobody remembered, and each sent to older weights for its whole time
again.  It shows in `weights named`: `known_seconds` near 0 on every node, for a
version that was named before they began.
"""

from __future__ import annotations

import asyncio

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, eventually

_NEVER_DONE = 1000


class TestAllNodesAnew(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("e1", "e2"):
            worker = await self.fleet.worker(Worker(name=name, events=3), "engines")
            # Loads are ordered and never come about: the rollout stays in its middle.
            worker.unanswered_orders = _NEVER_DONE

    async def _nodes(self) -> list[RunningNode]:
        return [await self.fleet.node(f"node-{n}") for n in (1, 2)]

    async def test_they_count_from_the_naming_not_from_their_start(self) -> None:
        before = await self._nodes()
        named_at = asyncio.get_running_loop().time()
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: all(n.node.views.outdating("m", 1) for n in before))
        await eventually(lambda: bool(self.fleet.workers["e1"].orders))
        heard_at = min(n.node.views.outdating("m", 1).at for n in before)
        for node in before:
            await node.stop()
        after = await self._nodes()
        for node in after:
            views = node.node.views
            await eventually(lambda views=views: views.named == {"m": 2})
            await eventually(lambda views=views: views.outdating("m", 1).at <= heard_at)
            # Nor is time lost: what the calls to the store took is all the error.
            self.assertGreater(views.outdating("m", 1).at, named_at - 1.0)
