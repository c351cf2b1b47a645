"""Calls to the store that are never answered: silent connections, lost answers.

Symptom: nodes take a new catalog up to 9.5 s late, while their view of the targets is
fresh.  Sequence: all open connections to the store fall silent without a reset while
new ones work; the readers' long polls of the operators' rows hang in every data centre
at the same time, so that no heartbeat tells of anything newer; the readings of the
targets go on over new connections, and their age is the only one that anybody judges a
reader by.  Cause: a wait of 8 s with 1.5 s of patience, where a change is to be in force
2 s after it was acknowledged.  Settled by the lines of all three nodes:

    long poll given up  error='store: ...: no answer in 9.5 s' seconds=9.501
    catalog taken       age=9.711 polled=0.008 told_by=platform version=3
"""

from __future__ import annotations

import asyncio

from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.relay import Relay
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, eventually

APPLY_SECONDS = 2.0
"""A change is in force everywhere so long after it was acknowledged."""
CONTACT_SECONDS = 3.0
"""It is in force so long after the last answer was lost, whenever it was acknowledged."""


class TestSilence(FleetCase):
    """Three data centres of one node each: whoever hangs is told nothing by a neighbour."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="w1"), "plain")
        address = f"{HOST}:{free_port()}"
        self.relay = Relay(address=self.fleet.store_address)
        await self.relay.start(HOST, int(address.rpartition(":")[2]))
        self.nodes: list[RunningNode] = []
        for place in ("a", "b", "c"):
            node = await self.fleet.node(f"node-{place}", store=address, data_centre=place)
            self.nodes.append(node)
        await eventually(lambda: all(node.node.views.nodes == 3 for node in self.nodes))

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        self.relay.close()

    async def _in_force_everywhere(self, seconds: float = APPLY_SECONDS) -> None:
        """See the newest catalog in force at all nodes in the time for it."""
        version = self.fleet.version
        await eventually(
            lambda: all(node.node.views.catalog.version == version for node in self.nodes),
            seconds,
        )

    def _only_long_polls(self) -> bool:
        """Return whether each node that reads for itself has a long poll up, and nothing else.

        A reading of the targets under way would fail, and would tell of the silence at once.
        """
        readers = [node for node in self.nodes if node.node._operators.reader() is None]
        polls = ["/rows-feed?wait"] * len(readers)
        return bool(readers) and self.fleet.store.under_way == polls

    async def test_silent_long_polls_keep_no_catalog_away(self) -> None:
        # The targets' readings find nothing wrong where each has a new connection.
        self.fleet.store.keeps = False
        await eventually(self._only_long_polls)
        polls = self.fleet.store.under_way
        self.assertGreaterEqual(self.relay.silence(), len(polls))
        self.assertGreaterEqual(len(polls), 1)
        await asyncio.sleep(1.0)
        self.fleet.configure()
        await self._in_force_everywhere()

    async def test_silent_connections_keep_no_catalog_away(self) -> None:
        # The targets' connections are kept, and fall silent too.
        self.assertGreaterEqual(self.relay.silence(), 3)
        await asyncio.sleep(1.0)
        self.fleet.configure()
        await self._in_force_everywhere()

    async def test_a_catalog_whose_answers_are_lost_is_read_anew(self) -> None:
        await asyncio.sleep(1.0)
        # One node reads for all: each long poll that is up is lost.
        self.fleet.store.lose_news = 1
        self.fleet.configure()
        await self._in_force_everywhere(CONTACT_SECONDS)
        self.assertEqual(self.fleet.store.lose_news, 0)
