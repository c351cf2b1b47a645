"""A host that has lost its power answers nothing, and refuses nothing either."""

from __future__ import annotations

import socket

from .platform_fleet import RunningNode, eventually
from .test_nodes_out_of_step import OutOfStepCase
from .test_software_versions import _alive


class TestPowerLoss(OutOfStepCase):
    def _lose_power(self, node: RunningNode) -> None:
        """End a node; connections to it come up no more, and are not refused."""
        node.kill()
        host, _, port = node.settings.peer.rpartition(":")
        silent = socket.socket()
        self.addCleanup(silent.close)
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind((host, int(port)))
        silent.listen()

    async def test_its_callers_go_on_elsewhere_where_one_version_serves(self) -> None:
        """A failure that was not observed: each caller is refused for as long as the host is
        remembered, as it may know a version that the others lack, though these have read their
        lists since."""
        await self.start(nodes=3, engines=4, versions=("v1",))
        ended, *others = self.nodes
        callers = await self.open_streams(6, ended, own_parts=True)
        self._lose_power(ended)
        for node in others:
            await eventually(lambda node=node: _alive(node) == 1)
        await self.return_to(others[0], callers)
        self.assertEqual([caller.status for caller in callers], [200] * len(callers))
        self.assert_whole(callers)
