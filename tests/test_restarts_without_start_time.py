"""A target that tells no start time, and starts again in place, is used as it is then.

Failure: what its former process had told, its weights or its drain, was told of the next one for
as long as the target was listed.
"""

from __future__ import annotations

from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually, prompt


class TestRestartsInPlace(FleetCase):
    async def start(self) -> None:
        self.worker = await self.fleet.worker(Worker(name="t", events=3), "engines")
        self.node = await self.fleet.node()
        self.requests = 0

    async def is_served(self) -> bool:
        self.requests += 1
        answer = await ask(self.node, "/chat/1", request_id=f"r{self.requests}", **prompt())
        return answer.status == 200

    async def restart(self) -> None:
        again = await self.fleet.restart(self.worker, software="v1")
        again.version = 1
        self.fleet.enter("t", "engines")

    async def test_an_engine_of_older_weights_than_its_former_process_is_used(self) -> None:
        await self.start()
        self.assertTrue(await self.is_served())
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.worker.version == 2)
        await eventually(lambda: self.node.node.views.weights_of("t", "m") == 2)
        self.assertTrue(await self.is_served())
        await self.restart()
        await eventually(self.is_served)

    async def test_an_engine_whose_former_process_drained_is_used(self) -> None:
        await self.start()
        self.assertTrue(await self.is_served())
        self.fleet.enter("t", "engines", "draining")
        await eventually(lambda: "t" in self.node.node.views.registry.leaving())
        await self.restart()
        await eventually(self.is_served)
