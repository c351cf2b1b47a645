"""A node that started again under its name does not know what its former process knew.

Failure: a node that lived on while the others started again took streams of a second software
version, which only their former processes knew, for the first one's.
"""

from __future__ import annotations

from unittest import mock

from fielddrift_core import stream_origins
from fielddrift_node.serving import origin_rows

from .platform_fleet import eventually
from .test_software_versions import _alive
from .test_versions_after_restart import RestartCase


class TestRestartedNodes(RestartCase):
    async def test_streams_of_former_processes_join_no_former_version_at_the_last_node(
        self,
    ) -> None:
        await self.start(nodes=6, engines=2, versions=("v1",))
        await self.saved()
        flush = mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0)
        new = mock.patch.object(stream_origins, "_NEW_VERSION_SECONDS", 20.0)
        with flush, new:
            for number in range(4):
                await self.add_engine(f"late-{number}", "v1.1")
            await self.known()
            await self.saved()
            last, *others = self.nodes
            callers = await self.open_streams(20, *others, own_parts=True)
            self.assertTrue(self.begun_by(callers, "v1.1"))
            for node in others:
                node.kill()
            # Fewer seconds than a node needs to be silent for the others.
            self.nodes = [last, *[await self.fleet.node(n.settings.name) for n in others]]
            await eventually(lambda: _alive(last) == len(others))
            await self.come_back(callers, [last])
        self.assert_unmixed(callers)
