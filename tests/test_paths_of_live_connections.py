"""Open connections tell that a target lives only if its end would have come over them.

Failure: a node whose direct path was silent asked through the tunnel that had carried a part of a
response, was told that the target refuses connections, and took its silent direct connections, on
which no end can arrive, for a sign that the target lives.  The part counted as the whole response.
"""

from __future__ import annotations

import asyncio
from unittest import mock

from fielddrift_standins import worker as standin

from .cut_network import Cut
from .platform_fleet import ask, eventually, prompt
from .test_unframed_answers import _EVENTS, _end_and_crash, _FleetOfThree


class TestSilentDirectPath(_FleetOfThree):
    async def test_a_part_is_not_whole_because_silent_connections_are_open(self) -> None:
        await self.start(engines=2)
        faults = mock.patch.dict(standin.FAULTS, {"end-and-crash": _end_and_crash})
        faults.start()
        self.addCleanup(faults.stop)
        node = self.nodes[0]
        for engine in self.engines:
            # Connections are kept behind such responses.
            engine.unframed, engine.events, engine.pause_seconds = False, 2, 0.1
        await asyncio.gather(
            *(ask(node, "/verdict/x", request_id=f"w{n}", **prompt()) for n in range(12))
        )
        addresses = [self.fleet.addresses[engine.name] for engine in self.engines]
        self.assertTrue(any(node.client.live_connections(address) for address in addresses))
        self.network.cut(Cut.SILENT)
        await eventually(self._all_interrupted)
        for engine in self.engines:
            engine.unframed, engine.events, engine.faults = True, _EVENTS, ["end-and-crash"]
        for number in range(2):
            answer = await ask(node, "/verdict/x", request_id=f"r{number}", **prompt())
            events = answer.body.count(b"\n\n")
            self.assertNotEqual((answer.headers.get("whole"), events), ("yes", 2))
        self.assertTrue(any(engine.closed for engine in self.engines))

    async def _all_interrupted(self) -> bool:
        """Send a request, which finds an interrupted path; return whether both are known."""
        request_id = f"c{asyncio.get_running_loop().time()}"
        await ask(self.nodes[0], "/verdict/x", request_id=request_id, deadline_ms=1000, **prompt())
        paths = self.nodes[0].node.views.direct_paths
        return all(paths.is_interrupted(engine.name) for engine in self.engines)
