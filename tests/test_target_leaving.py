"""A target that says that it leaves gets nothing more, whichever of its answers says so."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from fielddrift_core.neighbours import Neighbour, Neighbours, Standing
from fielddrift_core.target_registry import Instance, TargetRegistry
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.views import Views
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, ask, eventually, prompt

_ON_ITS_WAY_SECONDS = 0.3
"""Time after a node has heard that a target leaves in which what it sent before may come."""


class TestRegistry(unittest.TestCase):
    """What a target said lasts as long as its life, whatever becomes of its entry."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.entry = Instance("t", "s", "10.0.0.1:80", "a")
        self.registry.heard(self.entry, 0.0)
        self.registry.left("t")

    def serving(self) -> list[str]:
        return [instance.name for instance in self.registry.serving("s")]

    def test_an_entry_that_lapses_and_returns_does_not_make_it_ready(self) -> None:
        self.registry.store_returned(10.0)
        self.registry.gone("t", 10.5)
        self.registry.tick(20.0)
        self.registry.heard(self.entry, 21.0)
        self.assertEqual(self.serving(), [])

    def test_a_whole_list_does_not_make_it_ready(self) -> None:
        self.registry.replaced([], 1.0)
        self.registry.replaced([self.entry], 2.0)
        self.assertEqual(self.serving(), [])

    def test_a_copy_of_a_node_that_has_not_heard_does_not_make_it_ready(self) -> None:
        self.registry.copied([], [])
        self.registry.copied([self.entry], [])
        self.assertEqual(self.serving(), [])

    def test_what_is_told_before_its_entry_is_known_counts(self) -> None:
        late = Instance("u", "s", "10.0.0.2:80", "a")
        self.registry.left("u")
        self.registry.heard(late, 1.0)
        self.assertEqual(self.serving(), [])


class TestHeartbeats(unittest.IsolatedAsyncioTestCase):
    async def test_all_that_leave_are_told_of_however_many_they_are(self) -> None:
        """A whole data centre's targets may leave at once."""
        teller, hearer = Views(), Views()
        names = {f"t{number}" for number in range(100)}
        for views in (teller, hearer):
            for name in names:
                views.registry.heard(Instance(name, "s", "10.0.0.1:80", "a"), 0.0)
        for name in names:
            teller.registry.left(name)
        translators = [
            HeartbeatTranslator(
                views=views,
                neighbours=Neighbours(me=Neighbour(name, 1, "a", "h:1", "h:2", "h:3")),
            )
            for name, views in (("n1", teller), ("n2", hearer))
        ]
        for _ in range(20):
            heartbeat = translators[0].heartbeat(Standing(True, True, True), leaving=False)
            self.assertLessEqual(len(heartbeat.left), 16)
            translators[1].heard(heartbeat)
        self.assertEqual(hearer.registry.leaving(), names)


class LeavingFleet(FleetCase):
    """Two nodes before a target that leaves and one that stays."""

    async def start(self, service: str, events: int = 0) -> None:
        self.leaver = await self.fleet.worker(Worker(name="leaver", events=events), service)
        self.stayer = await self.fleet.worker(Worker(name="stayer", events=events), service)
        self.nodes = [await self.fleet.node(f"node-{number}") for number in (1, 2)]
        self.ids = itertools.count()

    async def press(self, path: str, number: int) -> list[int]:
        answers = []
        for count in range(number):
            extra = prompt() if path.startswith(("/chat", "/verdict")) else {}
            node = self.nodes[count % 2]
            answers.append(await ask(node, path, request_id=f"r{next(self.ids)}", **extra))
        return [answer.status for answer in answers]

    async def check_left(self, path: str) -> None:
        before = len(self.leaver.arrivals)
        statuses = await self.press(path, 20)
        self.assertEqual(len(self.leaver.arrivals), before)
        self.assertEqual(set(statuses), {200})


class TestLeaving(LeavingFleet):
    async def reach(self, path: str) -> None:
        """Ask until the leaver has answered once, which says that it leaves."""
        self.leaver.leaving = True
        before = len(self.leaver.arrivals)
        while len(self.leaver.arrivals) == before:
            await self.press(path, 1)
        await asyncio.sleep(_ON_ITS_WAY_SECONDS)

    async def test_a_service_that_leaves_gets_nothing_more(self) -> None:
        await self.start("plain")
        await self.reach("/safe/1")
        await self.check_left("/safe/1")
        await self.check_left("/unsafe/1")

    async def test_an_engine_that_leaves_gets_nothing_more(self) -> None:
        await self.start("engines", events=2)
        await self.reach("/chat/1")
        await self.check_left("/chat/1")

    async def test_a_refusal_tells_it_too(self) -> None:
        await self.start("plain")
        self.leaver.faults = ["shed"]
        await self.reach("/safe/1")
        await self.check_left("/safe/1")

    async def test_a_failure_tells_it_too(self) -> None:
        await self.start("engines", events=2)
        self.leaver.faults = ["error"]
        await self.reach("/chat/1")
        await self.check_left("/chat/1")

    async def test_a_run_that_breaks_off_is_not_resumed_there(self) -> None:
        await self.start("engines", events=4)
        await self.reach("/chat/1")
        self.stayer.faults = ["cut-event"]
        before = len(self.leaver.arrivals)
        answer = await ask(self.nodes[0], "/chat/1", request_id="broken", **prompt())
        self.assertEqual(len(self.leaver.arrivals), before)
        self.assertNotIn("whole", answer.headers)

    async def test_it_is_known_while_the_store_is_away_and_when_it_is_back(self) -> None:
        await self.start("plain")
        self.fleet.store.down = True
        await self.reach("/safe/1")
        await self.check_left("/safe/1")
        self.fleet.store.drop("servers", "leaver")
        self.fleet.store.down = False
        registries = [node.node.views.registry for node in self.nodes]
        await eventually(lambda: all(each.get("leaver") is None for each in registries))
        self.fleet.enter("leaver", "plain")
        await eventually(lambda: all(each.get("leaver") is not None for each in registries))
        await self.check_left("/safe/1")

    async def test_a_report_tells_it_too(self) -> None:
        """The state that a report names may change before the target's entry does."""
        await self.start("engines", events=2)
        self.leaver.state = "draining"
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        views = [node.node.views for node in self.nodes]
        await eventually(lambda: all(each.weights_of("stayer", "m") == 2 for each in views))
        await self.check_left("/chat/1")

    async def test_a_target_that_leaves_is_ordered_nothing_more(self) -> None:
        await self.start("engines", events=2)
        await self.reach("/chat/1")
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.stayer.version == 2)
        await asyncio.sleep(0.5)
        self.assertEqual(self.leaver.orders, [])
