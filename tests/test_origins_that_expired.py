"""A stream whose origin was kept no longer is not taken for one of the former version."""

from __future__ import annotations

import asyncio

from .platform_fleet import eventually
from .test_nodes_out_of_step import OutOfStepCase
from .test_software_versions import _DEADLINE_MS

_SHORT_DEADLINE_MS = 2000
_LATE_SECONDS = 3.5
"""More than the short deadline and the time for which origins are kept after it."""


class TestExpiredOrigins(OutOfStepCase):
    async def test_a_caller_that_returns_late_is_not_joined_to_the_former_version(self) -> None:
        """Failure: a node that had stood still cut its streams after their callers' deadlines; the
        callers returned, and as no node knew the origins any more, the version that had served
        before all others was presumed."""
        await self.start(nodes=2, engines=2, versions=("v1",))
        versions = self.nodes[0].node.views.software_versions
        await eventually(lambda: versions.is_recorded("engines", "v1"))
        # It finds at its start that the former version has served.
        node = await self.add_node("node-2")
        await self.join(*self.nodes)
        callers = await self.open_streams(12, node, own_parts=True, deadline_ms=_SHORT_DEADLINE_MS)
        self.assertTrue(any(found == {"v1.1"} for found in self.software(callers)))
        for caller in callers:
            caller.leave()
        await asyncio.sleep(_LATE_SECONDS)
        for caller in callers:
            caller.deadline_ms = _DEADLINE_MS
            caller.send(node)
        await self.end_streams(callers)
        self.assert_one_version(callers)
