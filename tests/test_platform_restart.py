"""Entry responses shortly after a node's start, and prompts at a node on standby."""

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

        async def ttl() -> float:
            answer = await get(node.settings.directory, QUESTION)
            return json.loads(answer.body)["ttl-s"] if answer.status == 200 else 0.0

        self.assertEqual(await ttl(), _EARLY_ENTRY_CACHE_SECONDS)

        async def has_full_ttl() -> bool:
            return await ttl() == _ENTRY_CACHE_SECONDS

        await eventually(has_full_ttl)


class TestStandingBy(FleetCase):
    async def test_a_prompt_that_comes_to_a_node_standing_by_makes_it_follow_the_stores(
        self,
    ) -> None:
        await self.fleet.worker(Worker(name="e1", events=2), "engines")
        nodes = [await self.fleet.node(f"node-{n}") for n in range(4)]

        def follows_stores(node: RunningNode) -> bool:
            return all(view.is_known for view in node.node.views.store_index.views)

        # Three nodes are active and know the stored parts; one is on standby and does not.
        await eventually(lambda: sum(follows_stores(node) for node in nodes) == 3)
        (standby,) = (node for node in nodes if not follows_stores(node))
        answer = await ask(standby, "/chat/x", **prompt())
        self.assertEqual(answer.status, 200)
        await eventually(lambda: follows_stores(standby))
