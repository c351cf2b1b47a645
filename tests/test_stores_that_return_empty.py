"""No part is fetched from a store while another node's prompt is saving it there again.

Failure: after a store had restarted, empty, the node that follows it let engines save parts again,
while a node that copies its view still had the list of the former process.  For some 0.3 s it named
the store for these parts, and engines fetched them while they were being written.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import NamedTuple

from fielddrift_core.catalog import StoreTraits
from fielddrift_core.prompt import Part
from fielddrift_core.store_index import (
    VIEW_LEASE_SECONDS,
    StoreConfirmation,
    StoreIndex,
    StoreView,
)
from fielddrift_standins.worker import Ran, Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually, prompt
from .test_nodes_out_of_step import unheard

_SALT = "m.1."
_PARTS = ("aa", "bb")
_STORE = StoreTraits("store:1", "a", 1_000_000, 3.6e9, 0.0, True, 12)
_LEASE_MS = round(VIEW_LEASE_SECONDS * 1000)
_PROMPT_SECONDS = 0.05
_WATCH_SECONDS = 2 * VIEW_LEASE_SECONDS


class _Transfer(NamedTuple):
    """A part that an engine is to fetch or save, and until when; times are on the loop's clock."""

    part: str
    begin: float
    end: float


class _TwoNodesCase(FleetCase):
    """Two nodes of one data centre; the first one in the order follows the store."""

    async def start(self) -> None:
        self.worker = await self.fleet.worker(Worker(name="e", events=1), "engines")
        for number in range(2):
            await self.fleet.node(f"node-{number}")
        for part, tokens in zip(_PARTS, (100, 200), strict=True):
            self.fleet.kv.keep(_SALT, part, tokens)
        for node in self.fleet.nodes:
            await eventually(lambda node=node: self._names_store(node))
            await eventually(node.may_save)
        self.follower, self.copier = sorted(self.fleet.nodes, key=lambda n: not self._follows(n))
        self.assertFalse(self._follows(self.copier))
        self._count = 0

    def _follows(self, node: RunningNode) -> bool:
        return bool(node.node.views.store_index.confirmations(own=True))

    def _names_store(self, node: RunningNode) -> bool:
        views = node.node.views
        clock = views.to_engine_clock(asyncio.get_running_loop().time())
        return bool(views.store_index.sources(_SALT, Part("bb", 200), clock))

    async def ask(self, node: RunningNode, *, parts: str = "") -> Ran:
        """Send a prompt to a node and return how the engine ran it."""
        self._count += 1
        headers = prompt(**({"X_Prompt_Prefix": parts} if parts else {}))
        answer = await ask(node, "/chat/1", request_id=f"r{self._count}", **headers)
        self.assertEqual(answer.status, 200)
        return self.worker.ran[-1]

    def transfers(self, ran: Ran, header: str) -> list[_Transfer]:
        """Return the parts that an engine was to fetch, or to save, with the store."""
        listed = ran.headers.get(header, "").split(",")
        until = float(ran.headers.get("x-kv-until", "inf")) / 1000
        ids = [part.partition(":")[0] for part in ran.headers["x-prompt-prefix"].split(",")]
        return [
            _Transfer(part, ran.at, until)
            for part, store in zip(ids, listed, strict=False)
            if store == self.fleet.kv_address
        ]


class TestRestart(_TwoNodesCase):
    async def test_nothing_is_fetched_by_a_view_of_the_former_process_once_parts_are_saved(
        self,
    ) -> None:
        await self.start()
        self.assertTrue(self.transfers(await self.ask(self.copier), "x-kv-fetch"))
        with unheard(self.copier):
            self.fleet.kv.restart()
            await self._watch(_WATCH_SECONDS)

    async def test_nor_where_the_copying_node_hears_the_follower(self) -> None:
        await self.start()
        self.fleet.kv.restart()
        await self._watch(_WATCH_SECONDS)

    async def test_a_node_that_hears_of_the_next_process_drops_its_view(self) -> None:
        """Failure: it named the store for parts that are lost until it had copied the new list."""
        await self.start()
        peers = self.copier.node._store_tracker._peers
        copied = asyncio.Event()

        async def kept(*_: object) -> list[object]:
            copied.set()
            return []

        original, peers.kept = peers.kept, kept  # type: ignore[method-assign]
        self.addCleanup(setattr, peers, "kept", original)
        self.fleet.kv.restart()
        await asyncio.wait_for(copied.wait(), 2.0)
        self.assertEqual(self.transfers(await self.ask(self.copier), "x-kv-fetch"), [])

    async def _watch(self, seconds: float) -> None:
        """Send prompts to both nodes, and check that no fetch may go on beside a save."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        saves, fetches = [], []
        while loop.time() < until:
            for node in (self.follower, self.copier):
                ran = await self.ask(node)
                saves += self.transfers(ran, "x-kv-save")
                fetches += self.transfers(ran, "x-kv-fetch")
            await asyncio.sleep(_PROMPT_SECONDS)
        begun = {
            part: min((s.begin for s in saves if s.part == part), default=0) for part in _PARTS
        }
        self.assertTrue(all(begun.values()), f"not saved again: {begun}")
        mixed = [fetch for fetch in fetches if fetch.end > begun[fetch.part]]
        self.assertEqual(mixed, [], f"saved from {begun}")


class TestSteadyState(_TwoNodesCase):
    async def test_an_idle_store_stays_in_use(self) -> None:
        """Failure if a lease ends between two answers of a store that has nothing to tell."""
        await self.start()
        loop = asyncio.get_running_loop()
        until = loop.time() + _WATCH_SECONDS
        while loop.time() < until:
            for node in (self.follower, self.copier):
                self.assertTrue(self.transfers(await self.ask(node), "x-kv-fetch"))
            await asyncio.sleep(_PROMPT_SECONDS)


class TestLease(unittest.TestCase):
    def setUp(self) -> None:
        self.index = StoreIndex()
        self.index.configure([_STORE])
        self.view = self.index.views[0]

    def _listed(self, life: int, clock: int) -> StoreView:
        self.view.listed(life, 0, [("s", "aa", 100)])
        self.view.confirm(StoreConfirmation(life, clock, clock))
        return self.view

    def test_a_fetch_ends_with_the_lease(self) -> None:
        self._listed(1, 1000)
        part = Part("aa", 100)
        self.assertEqual(self.index.fetch_until([_STORE.address]), 1000 + _LEASE_MS)
        self.assertEqual(self.index.sources("s", part, 1000), [_STORE])
        self.assertEqual(self.index.sources("s", part, 1000 + _LEASE_MS), [])
        self.assertEqual(self.index.sources("s", part, None), [])
        self.assertIsNone(self.index.fetch_until([_STORE.address, "other:1"]))

    def test_saves_begin_when_leases_on_the_former_process_have_ended(self) -> None:
        self._listed(1, 1000)
        self.view.confirm(StoreConfirmation(1, 5000, 5000))
        former = self.index.fetch_until([_STORE.address])
        assert former is not None
        self._listed(2, 5001)
        self.assertFalse(self.view.may_save(former))
        self.assertTrue(self.view.may_save(5001 + _LEASE_MS))
        self.assertFalse(self.view.may_save(None))

    def test_an_older_answer_of_the_process_ends_the_wait_sooner(self) -> None:
        """As a node that has just started hears of it from another one."""
        self._listed(1, 9000)
        self.view.confirm(StoreConfirmation(1, 1000, 8000))
        self.assertTrue(self.view.may_save(9000))
        self.assertEqual(self.view.fetch_until, 9000 + _LEASE_MS)

    def test_a_late_list_of_a_former_process_is_ignored(self) -> None:
        """Failure: parts were saved at once by the view of a process that had ended long before."""
        self._listed(1, 1000)
        self.view.confirm(StoreConfirmation(2, 2000, 2000))
        self.view.listed(1, 0, [("s", "aa", 100)])
        self.assertFalse(self.view.is_known)
        self._listed(2, 2100)
        self.view.listed(1, 0, [("s", "aa", 100)])
        self.assertEqual(self.view.life, 2)

    def test_a_late_message_about_a_former_process_changes_nothing(self) -> None:
        self._listed(1, 1000)
        self._listed(2, 2000)
        self.assertFalse(self.view.confirm(StoreConfirmation(1, 1000, 1900)))
        self.assertEqual((self.view.life, self.view.fetch_until), (2, 2000 + _LEASE_MS))
        self.assertTrue(self.view.confirm(StoreConfirmation(3, 3000, 3000)))
        self.assertFalse(self.view.is_known)
