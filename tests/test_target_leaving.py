"""A target that reports in any of its answers that it is leaving receives no more requests."""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_core.neighbours import Neighbour, Neighbours, Relation
from fielddrift_core.target_registry import Instance, TargetRegistry
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.views import Views

from .platform_fleet import TwoTargets, eventually

_ON_ITS_WAY_SECONDS = 0.3
"""Time after a node has received the report during which requests sent before may still arrive."""


class TestRegistry(unittest.TestCase):
    """A report that a target leaves is valid until its instance ends, whatever its entry does."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.entry = Instance("t", "s", "10.0.0.1:80", "a")
        self.registry.heard(self.entry, 0.0)
        self.registry.left("t")

    def serving(self) -> list[str]:
        return [instance.name for instance in self.registry.serving("s")]

    def test_an_entry_that_lapses_and_returns_does_not_make_it_ready(self) -> None:
        self.registry.store_returned(10.0)
        self.registry.entry_ended("t", 10.5)
        self.registry.tick(20.0)
        self.registry.heard(self.entry, 21.0)
        self.assertEqual(self.serving(), [])

    def test_a_complete_list_does_not_make_it_ready(self) -> None:
        self.registry.replaced([], 1.0)
        self.registry.replaced([self.entry], 2.0)
        self.assertEqual(self.serving(), [])

    def test_a_copy_from_a_node_without_the_report_does_not_make_it_ready(self) -> None:
        self.registry.apply_copy([], [])
        self.registry.apply_copy([self.entry], [])
        self.assertEqual(self.serving(), [])

    def test_a_report_before_its_entry_is_known_counts(self) -> None:
        late = Instance("u", "s", "10.0.0.2:80", "a")
        self.registry.left("u")
        self.registry.heard(late, 1.0)
        self.assertEqual(self.serving(), [])


class TestHeartbeats(unittest.IsolatedAsyncioTestCase):
    async def test_any_number_of_leaving_targets_is_sent(self) -> None:
        """All targets of a data centre may leave at once."""
        sender, receiver = Views(), Views()
        names = {f"t{number}" for number in range(100)}
        for views in (sender, receiver):
            for name in names:
                views.registry.heard(Instance(name, "s", "10.0.0.1:80", "a"), 0.0)
        for name in names:
            sender.registry.left(name)
        translators = [
            HeartbeatTranslator(
                views=views,
                neighbours=Neighbours(me=Neighbour(name, 1, "a", "h:1", "h:2", "h:3")),
            )
            for name, views in (("n1", sender), ("n2", receiver))
        ]
        for _ in range(20):
            heartbeat = translators[0].heartbeat(Relation(True, True, True), leaving=False)
            self.assertLessEqual(len(heartbeat.left), 16)
            translators[1].heard(heartbeat)
        self.assertEqual(receiver.registry.leaving(), names)


class TestLeaving(TwoTargets):
    """The targets receive requests from two nodes in turn."""

    async def left(self, service: str) -> None:
        """Let the target report to one node that it is leaving."""
        if not hasattr(self, "speaker"):
            await self.start(service, nodes=2)
        self.speaker.leaving = True
        await self.send_until_received()
        await asyncio.sleep(_ON_ITS_WAY_SECONDS)

    async def check_left(self, path: str = "") -> None:
        before = len(self.speaker.arrivals)
        statuses = await self.send_many(20, 0.4, path)
        self.assertEqual(len(self.speaker.arrivals), before)
        self.assertEqual(set(statuses), {200})

    async def test_a_service_that_leaves_gets_nothing_more(self) -> None:
        await self.left("plain")
        await self.check_left()
        await self.check_left("/unsafe/1")

    async def test_an_engine_that_leaves_gets_nothing_more(self) -> None:
        await self.left("engines")
        await self.check_left()

    async def test_a_refusal_tells_it_too(self) -> None:
        await self.start("plain", nodes=2)
        self.speaker.faults = ["shed"]
        await self.left("plain")
        await self.check_left()

    async def test_a_failure_tells_it_too(self) -> None:
        await self.start("engines", nodes=2)
        self.speaker.faults = ["error"]
        await self.left("engines")
        await self.check_left()

    async def test_a_run_that_breaks_off_is_not_resumed_there(self) -> None:
        await self.left("engines")
        self.other.faults = ["cut-event"]
        before = len(self.speaker.arrivals)
        self.assertNotIn("whole", (await self.ask()).headers)
        self.assertEqual(len(self.speaker.arrivals), before)

    async def test_it_is_known_while_the_store_is_away_and_when_it_is_back(self) -> None:
        await self.start("plain", nodes=2)
        self.fleet.store.down = True
        await self.left("plain")
        await self.check_left()
        self.fleet.store.drop("servers", "speaker")
        self.fleet.store.down = False
        registries = [node.node.views.registry for node in self.nodes]
        await eventually(lambda: all(each.get("speaker") is None for each in registries))
        self.fleet.enter("speaker", "plain")
        await eventually(lambda: all(each.get("speaker") is not None for each in registries))
        await self.check_left()

    async def test_a_report_tells_it_too(self) -> None:
        """The state in a report may change before the target's entry does."""
        await self.start("engines", nodes=2)
        self.speaker.state = "draining"
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        registries = [node.node.views.registry for node in self.nodes]
        await eventually(lambda: all("speaker" in each.leaving() for each in registries))
        views = [node.node.views for node in self.nodes]
        await eventually(lambda: all(each.weights_of("other", "m") == 2 for each in views))
        await self.check_left()

    async def test_a_target_that_leaves_is_ordered_nothing_more(self) -> None:
        await self.left("engines")
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.other.version == 2)
        await asyncio.sleep(0.5)
        self.assertEqual(self.speaker.orders, [])
