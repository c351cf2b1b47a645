"""Targets of an evacuated data centre get no requests from any node until the evacuation ends."""

from __future__ import annotations

import asyncio
import unittest
from typing import NamedTuple
from unittest import mock

import msgspec
from fielddrift_core.catalog import CatalogCustomer, EngineTraits, Route, StoreTraits
from fielddrift_core.eras import combine
from fielddrift_core.evacuations import EvacuationChanges, Evacuations, EvacuationState
from fielddrift_core.target_registry import Instance, TargetRegistry
from fielddrift_node.serving.feeds import Feed
from fielddrift_node.serving.sharing import OperatorCopy, PeerClient
from fielddrift_node.web.client import Client, Timeouts
from fielddrift_standins.worker import Worker

from .platform_fleet import HOST, FleetCase, RunningNode, ask, eventually, free_port, get, prompt

LOST_SECONDS = 30.0
_ASKED = 12
"""Requests of each kind: enough to reach each of two targets."""


def changes(*begun: str, ended: tuple[str, ...] = (), whole: bool = False) -> EvacuationChanges:
    return EvacuationChanges(frozenset(begun), frozenset(ended), whole)


class TestEvacuations(unittest.TestCase):
    """The state alone: the one from the later read is valid, also for ended evacuations."""

    def test_starts_and_ends_are_applied(self) -> None:
        known = Evacuations()
        known.read(changes("a", "b"), 10, 0.0)
        known.read(changes("c", ended=("a",)), 12, 1.0)
        self.assertEqual(known.current(1.0), {"b", "c"})
        self.assertEqual(known.row, 12)

    def test_a_complete_read_ends_evacuations_that_it_lacks(self) -> None:
        known = Evacuations()
        known.read(changes("a"), 10, 0.0)
        known.read(changes("b", whole=True), 12, 1.0)
        self.assertEqual(known.current(1.0), {"b"})

    def test_reads_without_a_change_keep_the_row(self) -> None:
        known = Evacuations()
        known.read(changes("a"), 10, 0.0)
        known.read(changes(), 20, 0.0)
        known.read(changes("a", whole=True), 30, 0.0)
        self.assertEqual(known.row, 10)

    def test_an_outdated_copy_is_not_applied_and_not_requested_again(self) -> None:
        known = Evacuations()
        known.read(changes("a"), 10, 0.0)
        known.read(changes(ended=("a",)), 14, 0.0)
        known.merge(EvacuationState(("a",), 15), read=16, known=20, now=0.0)
        self.assertEqual(known.current(0.0), frozenset())
        self.assertEqual(known.row, 15)

    def test_a_later_copy_is_applied_completely(self) -> None:
        known = Evacuations()
        known.read(changes("a"), 10, 0.0)
        known.merge(EvacuationState(("b",), 18), read=20, known=12, now=0.0)
        self.assertEqual(known.current(0.0), {"b"})

    def test_an_evacuation_that_ends_between_two_reads_has_no_effect(self) -> None:
        known = Evacuations()
        known.read(changes(ended=("a",)), 12, 0.0)
        self.assertEqual(known.current(0.0), frozenset())

    def test_evacuations_that_a_restored_store_lacks_are_held_for_a_while(self) -> None:
        known = Evacuations()
        known.read(changes("a", "b"), combine(1, 50), 0.0)
        known.read(changes("b", whole=True), combine(2, 40), 5.0)
        self.assertEqual(known.current(5.0), {"a", "b"})
        self.assertEqual(known.current(5.0 + LOST_SECONDS), {"b"})

    def test_a_copy_of_a_held_evacuation_is_held_until_the_same_time(self) -> None:
        reader, other = Evacuations(), Evacuations()
        reader.read(changes("a"), combine(1, 50), 0.0)
        reader.read(changes(whole=True), combine(2, 40), 5.0)
        other.merge(reader.state(25.0), read=combine(2, 41), known=0, now=25.0)
        self.assertEqual(other.current(26.0), {"a"})
        self.assertEqual(other.current(5.0 + LOST_SECONDS), frozenset())

    def test_an_evacuation_that_is_ended_in_the_new_era_is_not_held(self) -> None:
        known = Evacuations()
        known.read(changes("a"), combine(1, 50), 0.0)
        known.read(changes(whole=True), combine(2, 40), 5.0)
        known.read(changes("a"), combine(2, 44), 6.0)
        known.read(changes(ended=("a",)), combine(2, 45), 7.0)
        self.assertEqual(known.current(7.0), frozenset())


class TestRegistry(unittest.TestCase):
    def test_targets_of_evacuated_data_centres_stay_listed_without_requests(self) -> None:
        registry = TargetRegistry()
        for name, centre in (("x", "a"), ("y", "b")):
            registry.heard(Instance(name, "s", f"{name}:1", centre), 0.0)
        registry.set_evacuated(frozenset({"a", "nowhere"}))
        self.assertEqual([i.name for i in registry.serving("s")], ["y"])
        self.assertEqual(len(registry), 2)
        registry.heard(Instance("z", "s", "z:1", "a"), 0.0)
        self.assertEqual([i.name for i in registry.serving("s")], ["y"])
        registry.set_evacuated(frozenset())
        self.assertEqual(len(registry.serving("s")), 3)


class EvacuatedFleet(FleetCase):
    """Two data centres with an engine and a plain target each."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.workers = {}
        for centre in ("a", "b"):
            plain, engine = Worker(name=f"p-{centre}"), Worker(name=f"e-{centre}", events=2)
            self.workers[centre] = [plain, engine]
            await self.fleet.worker(plain, "plain", data_centre=centre)
            await self.fleet.worker(engine, "engines", data_centre=centre)

    def ran(self, centre: str) -> int:
        return sum(len(worker.ran) for worker in self.workers[centre])

    async def ask_often(self, node: RunningNode) -> set[int]:
        statuses = set()
        for number in range(_ASKED):
            plain = await ask(node, "/safe/1", method="GET", body=b"", request_id=f"p{number}")
            chat = await ask(node, "/chat/1", request_id=f"c{number}", **prompt())
            statuses |= {plain.status, chat.status}
        return statuses

    async def known(self, node: RunningNode, *centres: str) -> None:
        await eventually(lambda: node.node.views.registry.evacuated == set(centres))


class TestEvacuatedFleet(EvacuatedFleet):
    async def test_nothing_is_sent_there_until_it_is_taken_back(self) -> None:
        nodes = [await self.fleet.node(f"node-{n}", data_centre=c) for n, c in ((1, "a"), (2, "b"))]
        self.fleet.evacuate("a")
        for node in nodes:
            await self.known(node, "a")
            before = self.ran("a")
            self.assertEqual(await self.ask_often(node), {200})
            self.assertEqual(self.ran("a"), before)
        self.fleet.take_back("a")
        for node in nodes:
            await self.known(node)
        await self.ask_often(nodes[0])
        self.assertGreater(self.ran("a"), 0)

    async def test_all_data_centres_evacuated_refuse_at_once_and_truly(self) -> None:
        node = await self.fleet.node()
        for centre in ("a", "b"):
            self.fleet.evacuate(centre)
        await self.known(node, "a", "b")
        self.assertEqual(await self.ask_often(node), {503})
        self.assertEqual(self.ran("a") + self.ran("b"), 0)

    async def test_a_row_that_cannot_be_read_and_one_of_nowhere_are_in_force(self) -> None:
        node = await self.fleet.node()
        self.fleet.store._set("op", "evacuate/a", b"\xff not JSON")
        self.fleet.evacuate("nowhere")
        await self.known(node, "a", "nowhere")
        self.assertEqual(await self.ask_often(node), {200})
        self.assertEqual(self.ran("a"), 0)

    async def test_taken_back_at_once_and_evacuated_again(self) -> None:
        node = await self.fleet.node()
        for _ in range(3):
            self.fleet.evacuate("b")
            self.fleet.take_back("b")
        self.fleet.evacuate("b")
        await self.known(node, "b")
        self.fleet.take_back("b")
        await self.known(node)

    async def test_a_node_that_starts_meanwhile_knows_before_it_serves(self) -> None:
        self.fleet.evacuate("a")
        await self.fleet.node()
        late = await self.fleet.node("node-2")
        self.assertEqual(late.node.views.registry.evacuated, {"a"})

    async def test_a_node_that_has_lost_the_store_learns_from_the_others(self) -> None:
        address = f"{HOST}:{free_port()}"
        host, _, port = address.rpartition(":")
        door = await self.fleet.store.door(host, int(port))
        other = await self.fleet.node("node-1", store=address)
        reader = await self.fleet.node("node-2")
        door.turned_away = True
        self.fleet.evacuate("a")
        await self.known(reader, "a")
        await self.known(other, "a")
        self.assertIsNone(other.node._operators._behind_since)
        self.fleet.take_back("a")
        await self.known(other)
        door.close()

    async def test_who_copied_from_the_release_before_still_reads_what_it_passed_over(self) -> None:
        node = await self.fleet.node()
        feed = node.node._operators
        with mock.patch.object(Feed, "reader", return_value=None):
            before = feed._after
            feed._apply_copy(OperatorCopy(None, {}, (before or 0) + 1000), "former")
            self.assertEqual(feed._after, before)
            self.fleet.evacuate("a")
            await self.known(node, "a")

    async def test_a_prompt_that_waits_for_room_goes_elsewhere(self) -> None:
        node = await self.fleet.node()
        views = node.node.views
        now = asyncio.get_running_loop().time()
        for name in ("e-a", "e-b"):
            views.workload.begin(name, "full", 0, 60_000)
        call = asyncio.ensure_future(ask(node, "/chat/1", **prompt()))
        await eventually(lambda: len(views.service_queues.of("engines").queue) == 1)
        views.evacuations.read(changes("a"), 1 << 40, now)
        views.apply_evacuations(now)
        for name in ("e-a", "e-b"):
            views.workload.end(name, "full")
        views.service_queues.wake_all()
        self.assertEqual((await call).status, 200)
        self.assertEqual(self.ran("a"), 0)

    async def test_new_weights_are_loaded_there_too_and_no_request_comes_with_them(self) -> None:
        # Otherwise a data centre that stays evacuated keeps its old weights past their bound.
        node = await self.fleet.node()
        self.fleet.evacuate("a")
        await self.known(node, "a")
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        away, left = self.workers["a"][1], self.workers["b"][1]
        await eventually(lambda: left.version == 2 and away.version == 2)
        await self.ask_often(node)
        self.assertEqual(self.ran("a"), 0)

    async def test_operators_see_it(self) -> None:
        node = await self.fleet.node()
        self.fleet.evacuate("a")
        await self.known(node, "a")
        beliefs = msgspec.json.decode((await get(node.settings.metrics, "/beliefs")).body)
        self.assertEqual(beliefs["evacuated"], ["a"])
        text = await get(node.settings.metrics, "/metrics")
        await eventually(lambda: b"fielddrift_evacuated_data_centres" in text.body)


class _FormerService(NamedTuple):
    """`Service` as the release before has it."""

    name: str
    connections: int = 0
    health_path: str = ""
    engine: EngineTraits | None = None
    store: StoreTraits | None = None


class _FormerCatalog(NamedTuple):
    """`Catalog` as the release before has it."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, _FormerService]
    customers: dict[str, CatalogCustomer]
    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class _FormerCopy(NamedTuple):
    """`OperatorCopy` as the release before has it."""

    catalog: _FormerCatalog
    named: dict[str, int]
    row: int


class TestReleaseBefore(FleetCase):
    """Nodes of the release before ask, and answer, without evacuations."""

    async def test_who_does_not_ask_for_evacuations_gets_the_former_form(self) -> None:
        await self.fleet.worker(Worker(name="w"), "plain")
        node = await self.fleet.node()
        client = Client()
        request = b"GET /views/operators?marks=era HTTP/1.1\r\nHost: x\r\n\r\n"
        reply = await client.call(node.settings.peer, request, timeouts=Timeouts())
        copy = msgspec.msgpack.decode(reply.body, type=_FormerCopy)
        self.assertEqual(set(copy.catalog.services), {"plain", "engines", "kept"})
        now = await PeerClient(client=client).operators(node.node._neighbours.me)
        self.assertEqual(now.evacuations, EvacuationState())
        client.close()

    def test_a_former_copy_says_nothing_of_evacuations(self) -> None:
        former = msgspec.msgpack.encode([None, {"m": 1}, 5])
        self.assertIsNone(msgspec.msgpack.decode(former, type=OperatorCopy).evacuations)


if __name__ == "__main__":
    unittest.main()
