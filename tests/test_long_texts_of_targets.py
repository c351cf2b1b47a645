"""A text of a target that is too long for a datagram does not cut nodes off from each other."""

from __future__ import annotations

import asyncio
import json
from unittest import mock

from fielddrift_standins.worker import Worker

from .platform_fleet import eventually
from .test_software_versions import MixedCase, _alive

_LONG_TEXT = "v" * 70_000
"""More than a UDP datagram holds."""
_SILENCE_SECONDS = 3.0
"""After this time without heartbeats a node counts as dead."""


class TestLongTexts(MixedCase):
    async def test_a_report_with_a_long_model_name_does_not_end_a_node_s_heartbeats(self) -> None:
        """Failure: no heartbeat was sent any more, and the other nodes took the node for dead."""
        report = Worker._report

        def with_long_name(worker: Worker) -> bytes:
            answer = json.loads(report(worker))
            answer["models"].append({"name": _LONG_TEXT, "version": 1})
            return json.dumps(answer).encode()

        with mock.patch.object(Worker, "_report", with_long_name):
            await self.start(nodes=2, engines=2, versions=("v1",))
            self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
            await eventually(lambda: all(engine.version == 2 for engine in self.engines))
        await asyncio.sleep(_SILENCE_SECONDS)
        self.assertEqual([_alive(node) for node in self.nodes], [1, 1])

    async def test_origins_are_sent_beside_an_entry_with_a_long_version(self) -> None:
        """Failure: origins in the same datagram were lost, and other nodes knew none of them."""
        await self.start(nodes=2, engines=4, versions=("v1", "v2"))
        await self.add_engine("odd", _LONG_TEXT)
        await asyncio.sleep(_SILENCE_SECONDS)
        callers = await self.open_streams(10, self.nodes[0], own_parts=True)
        first, second = (node.node.views.origins for node in self.nodes)
        self.assertGreater(len(first), 0)
        now = asyncio.get_running_loop().time()
        begun = {origin.key for origin in first.all(now)}
        known = {origin.key for origin in second.all(now)}
        for caller in callers:
            caller.leave()
        self.assertEqual(begun - known, set())
