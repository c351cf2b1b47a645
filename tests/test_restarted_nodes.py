"""A node that started again under its name does not know what its former process knew.

Failure: a node that lived on while the others started again took streams of a second software
version, which only their former processes knew, for the first one's.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fielddrift_core import stream_origins
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_core.responsiveness import SilenceReport
from fielddrift_core.workload import Burden
from fielddrift_node.serving import origin_rows
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.views import Views

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


class TestRunsOfFormerProcesses(unittest.IsolatedAsyncioTestCase):
    async def test_the_end_of_a_node_is_no_progress_at_its_targets(self) -> None:
        """Failure: the runs of a node that was killed and came back counted as answered, so that a
        silent target was found to be silent later."""
        for boot, is_progress in ((1, True), (2, False)):
            with self.subTest(boot=boot):
                views = Views()
                me = Neighbour("me", 1, "a", "x:1", "x:2", "x:3")
                translator = HeartbeatTranslator(views=views, neighbours=Neighbours(me=me))
                node = me._replace(name="other")
                heartbeat = Heartbeat(node, True, False, 1, {}, {"t": Burden(2)})
                translator.heard(heartbeat)
                translator.heard(heartbeat._replace(node=node._replace(boot=boot), burdens={}))
                now = asyncio.get_running_loop().time()
                views.responsiveness.merge("third", SilenceReport("t", 0.3), now, nodes=2)
                self.assertEqual(views.responsiveness.is_unresponsive("t"), not is_progress)
