"""Operator feed: copies from any node with newer rows, and reads that must not be cancelled."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_core.readers import ReadState
from fielddrift_node.serving.feeds import FeedTools
from fielddrift_node.serving.operator_feed import OperatorFeed
from fielddrift_node.serving.ports import NamedWeights, OperatorChanges, RemoteCallError
from fielddrift_node.serving.sharing import OperatorCopy, PeerClient, PeerHandler
from fielddrift_node.serving.views import Views
from fielddrift_node.web.client import Client
from fielddrift_node.web.server import Limits, Server
from fielddrift_standins.relay import Relay

from .platform_fleet import HOST, free_port
from .virtual_time import VirtualLoop

MAX_REQUEST_COUNT = 10
"""Copies requested before the test gives up."""
SLOW_ANSWER_TURN_COUNT = 40
"""Event loop turns that a slow store takes to answer."""


def neighbour(name: str) -> Neighbour:
    return Neighbour(name, 1, "a", f"{name}:80", f"{name}:81", f"{name}:82")


class HungPeers:
    """Neighbours of which those in `hung` answer no requests, while all keep reporting newer
    rows."""

    def __init__(self, *, hung: set[str], rows: dict[str, int]) -> None:
        self._hung = hung
        self._rows = rows
        self.asked: list[str] = []
        self.while_hung: Callable[[], None] = lambda: None

    async def operators(self, node: Neighbour) -> OperatorCopy:
        """Answer for `node`, or fail after the timeout; heartbeats arrive in the meantime."""
        self.asked.append(node.name)
        await asyncio.sleep(0)
        if len(self.asked) > MAX_REQUEST_COUNT:
            await asyncio.sleep(3600)
        if node.name in self._hung:
            self.while_hung()
            raise RemoteCallError(f"node {node.name}: no answer")
        return OperatorCopy(None, {"m": self._rows[node.name]}, self._rows[node.name])


class CutOffPlatform:
    """A store that never answers."""

    calls = 0

    async def operator_changes(self, after: int | None, wait: float) -> Awaitable[None]:
        """Never answer."""
        return await asyncio.sleep(3600)


class TestCopies(unittest.IsolatedAsyncioTestCase):
    """Several neighbours report newer rows, and one of them does not answer.

    Failure: `node not reached` was logged for the same node over and over, while another node had
    the new catalog. Both reported it by heartbeats, the hanging one last, and both again while the
    copy from it failed after 0.5 s. Only the node of the last heartbeat was remembered, so the
    other one was never asked. Shown by the order of requests: hung, hung, hung ...
    """

    async def asyncSetUp(self) -> None:
        self.views = Views()
        self.peers = HungPeers(hung={"hung"}, rows={"good": 7, "better": 8, "hung": 7})
        neighbours = Neighbours(me=neighbour("me"))
        tools = FeedTools(
            platform=CutOffPlatform(),  # type: ignore[arg-type]
            peers=self.peers,  # type: ignore[arg-type]
            neighbours=neighbours,
            views=self.views,
            rng=random.Random(1),
        )
        self.feed = OperatorFeed(tools=tools, on_change=lambda: None)
        self.peers.while_hung = lambda: self._report("good", "hung")
        self.task = asyncio.ensure_future(self.feed.run())
        await asyncio.sleep(0)

    async def asyncTearDown(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def _report(self, *names: str) -> None:
        for name in names:
            row = 8 if name == "better" else 7
            self.feed.heard(Heartbeat(neighbour(name), True, False, 0, {"m": row}, {}))

    async def _settle(self) -> None:
        for _ in range(4 * MAX_REQUEST_COUNT):
            await asyncio.sleep(0)

    async def test_a_node_that_hangs_hides_no_other_that_is_ahead(self) -> None:
        self._report("good", "hung")
        await self._settle()
        self.assertEqual(self.views.named, {"m": 7}, self.peers.asked)

    async def test_whoever_tells_of_more_meanwhile_is_asked_next(self) -> None:
        self._report("good")
        await asyncio.sleep(0)
        self._report("good", "better")
        await self._settle()
        self.assertEqual(self.views.named, {"m": 8})

    async def test_a_copy_that_is_no_longer_newer_is_not_asked_for(self) -> None:
        self._report("better", "good")
        await self._settle()
        self.assertEqual(self.views.named, {"m": 8})
        asked = len(self.peers.asked)
        self._report("good")
        await self._settle()
        self.assertEqual(len(self.peers.asked), asked)


class TestSilentPaths(unittest.IsolatedAsyncioTestCase):
    """Connections between nodes hang together without a reset; new connections work.

    Failure: copies from the first and the next neighbour time out after 0.5 s each, and so for
    every neighbour with a pooled connection, as a timeout closed only the connection of one
    neighbour. Calculated, not observed in a day: if the reader finds a catalog 1.9 s after the
    connections hang, twice 0.5 s and 0.15 s for a heartbeat make 3.05 s, but the catalog must be in
    force after 3 s.
    """

    async def asyncSetUp(self) -> None:
        views = Views()
        views.named["m"] = 7
        self.server = Server(handler=PeerHandler(views=views).handle, limits=Limits)
        address = f"{HOST}:{free_port()}"
        await self.server.start(HOST, int(address.split(":")[1]))
        self.relays = [Relay(address=address) for _ in range(2)]
        self.nodes = []
        for number, relay in enumerate(self.relays):
            peer = f"{HOST}:{free_port()}"
            await relay.start(HOST, int(peer.split(":")[1]))
            self.nodes.append(neighbour(f"n{number}")._replace(peer=peer))
        self.client = Client()
        self.peers = PeerClient(client=self.client)

    async def asyncTearDown(self) -> None:
        self.client.close()
        for relay in self.relays:
            relay.close()
        self.server.close()

    async def test_after_one_silent_neighbour_the_next_is_asked_over_a_new_connection(self) -> None:
        for node in self.nodes:
            await self.peers.operators(node)
        self.assertEqual([relay.silence() for relay in self.relays], [1, 1])
        with self.assertRaises(RemoteCallError):
            await self.peers.operators(self.nodes[0])
        for node in reversed(self.nodes):
            self.assertEqual((await self.peers.operators(node)).named, {"m": 7})


class SlowPlatform:
    """A store that answers a plain read after some event loop turns, and a long poll never."""

    calls = 0

    def __init__(self) -> None:
        self.ended = 0

    async def operator_changes(self, after: int | None, wait: float) -> OperatorChanges:
        """Answer slowly."""
        if wait:
            await asyncio.sleep(3600)
        for _ in range(SLOW_ANSWER_TURN_COUNT):
            await asyncio.sleep(0)
        self.ended += 1
        return OperatorChanges(None, (NamedWeights("m", self.ended),), self.ended)


class TestHurry(unittest.IsolatedAsyncioTestCase):
    """The store is slow, and reads of the targets succeed only now and then.

    Failure: the operators' rows grew old while the target entries were fresh. Each time a read of
    the targets succeeded after a failed one, it restarted the read of the operators' rows. A
    restart cancelled any call, also the plain read in progress, so under repeated restarts no read
    ended.
    """

    async def asyncSetUp(self) -> None:
        self.platform = SlowPlatform()
        tools = FeedTools(
            platform=self.platform,  # type: ignore[arg-type]
            peers=HungPeers(hung=set(), rows={}),  # type: ignore[arg-type]
            neighbours=Neighbours(me=neighbour("me")),
            views=Views(),
            rng=random.Random(1),
        )
        self.views = tools.views
        self.feed = OperatorFeed(tools=tools, on_change=lambda: None)
        self.task = asyncio.ensure_future(self.feed.run())
        await self._turns(2)

    async def asyncTearDown(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def _turns(self, count: int) -> None:
        for _ in range(count):
            await asyncio.sleep(0)

    async def test_a_plain_reading_is_not_called_off_to_hurry_it(self) -> None:
        for _ in range(10):
            self.feed.restart_poll()
            await self._turns(SLOW_ANSWER_TURN_COUNT // 2)
        self.assertGreater(self.platform.ended, 0)

    async def test_a_long_poll_is_called_off_for_a_plain_reading(self) -> None:
        await self._turns(4 * SLOW_ANSWER_TURN_COUNT)
        self.assertEqual(self.platform.ended, 1)
        self.feed.restart_poll()
        await self._turns(4 * SLOW_ANSWER_TURN_COUNT)
        self.assertEqual(self.platform.ended, 2)

    async def test_after_a_pause_a_plain_reading_from_before_does_not_count(self) -> None:
        await self._turns(SLOW_ANSWER_TURN_COUNT - 4)
        self.views.stale.set()
        self.feed.read_now()
        await self._turns(SLOW_ANSWER_TURN_COUNT - 4)
        self.assertEqual((self.platform.ended, self.views.stale.is_set()), (0, True))
        await self._turns(2 * SLOW_ANSWER_TURN_COUNT)
        self.assertFalse(self.views.stale.is_set())


class TestLateReader(unittest.TestCase):
    """A reader that sends heartbeats but reads slowly must not withhold rows of other data centres.

    Failure: while the reader's connection to the store was slow, its age became visible only after
    a full long poll and its timeout. Nodes that used it as their source took no newer rows from
    other data centres for about 2.5 s, but a change must be in force after 2 s. The reader was
    judged only by what it reported.
    """

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.views = Views()
        self.peers = HungPeers(hung=set(), rows={"far": 7})
        neighbours = Neighbours(me=neighbour("me"))
        # A larger host is the reader for this node, and reports that it is up to date.
        reader = neighbour("reader")._replace(capacity=100.0)
        heartbeat = Heartbeat(
            reader, True, False, 0, {}, {}, reading=ReadState(1, 1, 1, 0.0), period=9.0
        )
        neighbours.receive(heartbeat, self.loop.time())
        neighbours.update_self(serving=True, load=0.0)
        tools = FeedTools(
            platform=CutOffPlatform(),  # type: ignore[arg-type]
            peers=self.peers,  # type: ignore[arg-type]
            neighbours=neighbours,
            views=self.views,
            rng=random.Random(1),
        )
        self.feed = OperatorFeed(tools=tools, on_change=lambda: None)

    async def _report_for(self, seconds: float) -> None:
        task = asyncio.ensure_future(self.feed.run())
        far = neighbour("far")._replace(data_centre="b")
        end = self.loop.time() + seconds
        while self.loop.time() <= end:
            self.feed.heard(Heartbeat(far, True, False, 0, {"m": 7}, {}))
            await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def test_what_the_reader_has_not_after_a_while_is_asked_for_elsewhere(self) -> None:
        self.loop.run_until_complete(self._report_for(0.9))
        self.assertEqual(self.views.named, {"m": 7})

    def test_the_reader_is_given_time_first(self) -> None:
        self.loop.run_until_complete(self._report_for(0.3))
        self.assertEqual(self.peers.asked, [])
