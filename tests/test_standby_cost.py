"""What a standby node does without being asked must not grow with the fleet.

Guards against scans of all nodes or engines that are repeated for each heartbeat, for each
engine, or without any change.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import unittest
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple
from unittest import mock

import msgspec
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_core.readers import ReadState
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.datagrams import DatagramSocket
from fielddrift_node.serving.feeds import FeedTools
from fielddrift_node.serving.gossip import Gossip
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.operator_feed import OperatorFeed
from fielddrift_node.serving.ports import NamedWeights
from fielddrift_node.serving.rollout_runner import RolloutRunner
from fielddrift_node.serving.target_feed import TargetFeed
from fielddrift_node.serving.views import Views

from bench.choice import MODEL, Fleet, catalog_of

from .virtual_time import in_virtual_time

_DATA_CENTRES = "abc"
_SECONDS = 10.0
_HEARTBEAT_SECONDS = 0.5
_MAX_SCANS_PER_SECOND = 30


class _CountingDict(dict[str, Any]):
    """A dict that counts how often all of it is looked through."""

    scans = 0

    def __iter__(self) -> Iterator[str]:
        self.scans += 1
        return super().__iter__()

    def values(self) -> Any:
        self.scans += 1
        return super().values()

    def items(self) -> Any:
        self.scans += 1
        return super().items()


class _Counts(NamedTuple):
    """Scans of nodes and of engines, and heartbeats received."""

    nodes: int
    engines: int
    heartbeats: int


def _node(number: int) -> Neighbour:
    address = f"node-{number}:1"
    data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
    return Neighbour(f"node-{number:03}", 1, data_centre, address, address, address)


class _Standby:
    """The control loops of a standby node that knows `nodes` other nodes."""

    def __init__(self, nodes: int) -> None:
        now = asyncio.get_running_loop().time()
        others = [_node(number) for number in range(nodes)]
        self.neighbours = Neighbours(me=_node(0)._replace(name="me", capacity=0.001))
        for attribute in ("_states", "_nearby", "_remote"):
            setattr(self.neighbours, attribute, _CountingDict())
        self.views = Views()
        self.views.update_catalog(catalog_of(Fleet(nodes, 0, 0)))
        self.views.update_weights(NamedWeights(MODEL, 1), now)
        self.views.registry.replaced(
            [
                Instance(f"e{n}", "engines", f"e:{n}", "a", versions={MODEL: 1})
                for n in range(nodes)
            ],
            now,
        )
        translator = HeartbeatTranslator(views=self.views, neighbours=self.neighbours)
        tools = FeedTools(mock.Mock(), mock.Mock(), self.neighbours, self.views, random.Random(1))
        operators = OperatorFeed(tools=tools, on_change=mock.Mock())
        targets = TargetFeed(
            tools=tools, on_change=mock.Mock(), on_list=mock.Mock(), returned=mock.Mock()
        )

        def heard(heartbeat: Heartbeat) -> None:
            translator.heard(heartbeat)
            operators.heard(heartbeat)
            targets.heard(heartbeat.node, heartbeat.reading)

        self.gossip = Gossip(
            neighbours=self.neighbours,
            heartbeat=lambda relation: translator.heartbeat(relation, leaving=False),
            heard=heard,
        )
        rollouts = RolloutRunner(
            views=self.views,
            neighbours=self.neighbours,
            targets=mock.Mock(),
            notices=mock.Mock(),
            duty=mock.Mock(held=lambda: False),
            named_rows=mock.Mock(),
            weights_seconds=10.0,
            metrics=mock.Mock(),
            announce=mock.Mock(),
            verify_path=lambda instance: None,
        )
        self.loops = [self.gossip.run, rollouts.run, operators.run, self._tick]
        local = [node for node in others if node.data_centre == "a"]
        self.relays = [node for node in others if node.data_centre != "a"][:2]
        self.senders = [*local, *self.relays]
        for node in others:
            self.neighbours.add(node)

    def hear(self, nodes: Iterable[Neighbour]) -> int:
        """Receive a heartbeat from each of `nodes`; return their number."""
        count = 0
        for node in nodes:
            reading = ReadState(1, 1, 1, 0.1)
            heartbeat = Heartbeat(
                node, True, False, 1, {MODEL: 1}, {}, reading=reading, active=node in self.relays
            )
            data = msgspec.msgpack.encode(heartbeat._replace(period=_HEARTBEAT_SECONDS))
            self.gossip.datagram_received(data, ("elsewhere", 1))
            count += 1
        return count

    def scans(self) -> int:
        """Return how often all nodes were looked through."""
        states: Mapping[str, Any] = vars(self.neighbours)
        return sum(states[name].scans for name in ("_states", "_nearby", "_remote"))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = asyncio.get_running_loop().time()
            self.neighbours.update_self(serving=True, load=0.0)
            self.neighbours.sharing(now)
            self.neighbours.is_active(now)
            self.neighbours.is_coordinator(now)


async def _counts(nodes: int) -> _Counts:
    """Return what a standby node that knows `nodes` others does in some seconds."""
    node = _Standby(nodes)
    node.hear(node.senders)
    registry = node.views.registry
    heartbeats = 0
    with contextlib.ExitStack() as stack:
        engines = [
            stack.enter_context(mock.patch.object(registry, name, wraps=getattr(registry, name)))
            for name in ("all", "serving", "idle")
        ]
        tasks = [asyncio.ensure_future(loop()) for loop in node.loops]
        # The first turns of the loops see the change from nothing to the fleet.
        await asyncio.sleep(_HEARTBEAT_SECONDS)
        heartbeats += node.hear(node.senders)
        before, engines_before = node.scans(), sum(mocked.call_count for mocked in engines)
        for _ in range(round(_SECONDS / _HEARTBEAT_SECONDS)):
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            heartbeats += node.hear(node.senders)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        scans = node.scans() - before
        engine_scans = sum(mocked.call_count for mocked in engines) - engines_before
    assert not node.neighbours.is_active(asyncio.get_running_loop().time())
    return _Counts(scans, engine_scans, heartbeats)


class TestStandbyNode(unittest.TestCase):
    """A standby node of 300 nodes looks through all nodes no more often than one of 30."""

    @in_virtual_time
    async def test_scans_do_not_grow_with_the_fleet(self) -> None:
        small, large = await _counts(30), await _counts(300)
        self.assertGreater(large.heartbeats, 5 * small.heartbeats)
        self.assertLessEqual(large.nodes, small.nodes + 1, (small, large))
        self.assertLessEqual(large.nodes, _MAX_SCANS_PER_SECOND * _SECONDS, large)

    @in_virtual_time
    async def test_engines_are_not_scanned_while_nothing_changes(self) -> None:
        self.assertEqual((await _counts(300)).engines, 0)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.received.append(data)
        if data == b"bad":
            raise ValueError(data)


class TestDatagramSocket(unittest.IsolatedAsyncioTestCase):
    """Datagrams that are received several at a time are complete and in order.

    Guards against a reception that ends after a fault, or does not return to receiving at once.
    """

    async def asyncSetUp(self) -> None:
        self.receiver = _Receiver()
        self.socket = await DatagramSocket.bind("127.0.0.1", 0, protocol=self.receiver)
        self.addCleanup(self.socket.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)
        self.address = self.socket.get_extra_info("sockname")
        self.faults: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, what: self.faults.append(what))

    def _send(self, *data: bytes) -> None:
        for each in data:
            self.sender.sendto(each, self.address)

    async def _wait_for(self, *data: bytes) -> None:
        async with asyncio.timeout(5.0):
            while self.receiver.received != list(data):
                await asyncio.sleep(0.01)

    async def test_datagrams_wait_for_the_interval_and_then_arrive_together(self) -> None:
        self.socket.receive_every(0.3)
        self._send(b"a", b"b", b"c")
        await asyncio.sleep(0.05)
        self.assertEqual(self.receiver.received, [])
        await self._wait_for(b"a", b"b", b"c")

    async def test_a_fault_in_one_datagram_ends_neither_kind_of_reception(self) -> None:
        self.socket.receive_every(0.02)
        self._send(b"bad", b"a")
        await self._wait_for(b"bad", b"a")
        self.socket.receive_every(0.0)
        self._send(b"bad", b"b")
        await self._wait_for(b"bad", b"a", b"bad", b"b")
        self.assertEqual(len(self.faults), 2)

    async def test_a_fault_does_not_delay_the_rest_of_a_batch(self) -> None:
        # Each fault ended its batch: a sender of faulty datagrams made the others late, and lost
        # them once the receive buffer was full.
        self.socket.receive_every(0.3)
        data = (*[b"bad"] * 20, b"a")
        self._send(*data)
        async with asyncio.timeout(1.5):
            await self._wait_for(*data)
        self.assertEqual(len(self.faults), 20)

    async def test_it_returns_to_receiving_at_once(self) -> None:
        self.socket.receive_every(60.0)
        self._send(b"a")
        self.socket.receive_every(0.0)
        await self._wait_for(b"a")


if __name__ == "__main__":
    unittest.main()
