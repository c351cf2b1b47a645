"""What a node knows and tells just after it starts, and while it stands by."""

from __future__ import annotations

import json

from fielddrift_node.serving.node import _EARLY_ENTRY_CACHE_SECONDS, _ENTRY_CACHE_SECONDS
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually, get, prompt

QUESTION = "/resolve?name=fleet.example&region=r&zone=a"


class TestEarlyAnswers(FleetCase):
    async def test_an_entry_answer_just_after_a_start_is_kept_for_a_moment_only(self) -> None:
        await self.fleet.worker(Worker(name="w1"), "plain")
        node = await self.fleet.node()

        async def keep() -> float:
            answer = await get(node.settings.directory, QUESTION)
            return json.loads(answer.body)["ttl-s"] if answer.status == 200 else 0.0

        self.assertEqual(await keep(), _EARLY_ENTRY_CACHE_SECONDS)

        async def kept_for_long() -> bool:
            return await keep() == _ENTRY_CACHE_SECONDS

        await eventually(kept_for_long)


class TestStandingBy(FleetCase):
    async def test_a_prompt_that_comes_to_a_node_standing_by_makes_it_follow_the_stores(
        self,
    ) -> None:
        await self.fleet.worker(Worker(name="e1", events=2), "engines")
        nodes = [await self.fleet.node(f"node-{n}") for n in range(4)]

        def follows(node: RunningNode) -> bool:
            return all(view.is_known for view in node.node.views.store_index.views)

        # Three are active, and know what is kept; one stands by, and does not.
        await eventually(lambda: sum(follows(node) for node in nodes) == 3)
        (standby,) = (node for node in nodes if not follows(node))
        answer = await ask(standby, "/chat/x", **prompt())
        self.assertEqual(answer.status, 200)
        await eventually(lambda: follows(standby))
