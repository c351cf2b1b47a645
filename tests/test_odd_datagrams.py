"""Datagrams and copies between nodes with values out of range: only these are left out."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

import msgspec
from fielddrift_core.crash_attribution import Crash
from fielddrift_core.crashes import CrashUpdate
from fielddrift_core.heartbeat import Heartbeat, Neighbour, StorePosition
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.readers import ReadState
from fielddrift_core.rollout import VersionAge
from fielddrift_core.stream_origins import StreamOrigin
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden
from fielddrift_node.serving.duty import DutyLease
from fielddrift_node.serving.gossip import Gossip
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.membership import _decode_nodes
from fielddrift_node.serving.ports import RemoteCallError, SavedRow
from fielddrift_node.serving.sharing import PeerClient, TargetCopy
from fielddrift_node.serving.views import Views
from fielddrift_node.web.client import Reply
from fielddrift_node.web.messages import Headers, ResponseHead

INF, NAN = float("inf"), float("nan")
NODE = Neighbour("n2", 5, "a", "10.0.0.2:1", "10.0.0.2:2", "10.0.0.2:3")
GOOD = Heartbeat(NODE, True, False, 1, {"m": 1}, {"t": Burden(1, 2, 3)})
ODD_NODES = (
    NODE._replace(gossip="10.0.0.2"),
    NODE._replace(gossip="10.0.0.2:port"),
    NODE._replace(gossip="10.0.0.2:99999"),
    NODE._replace(gossip=f"{'e' * 64}.example:2"),
    NODE._replace(peer="\u0435:1"),
    NODE._replace(capacity=NAN),
    NODE._replace(capacity=INF),
    NODE._replace(boot=2**64 - 1),
)
ODD_HEARTBEATS = (
    *(GOOD._replace(node=node) for node in ODD_NODES),
    GOOD._replace(period=NAN),
    GOOD._replace(period=INF),
    GOOD._replace(period=-1.0),
    GOOD._replace(load=NAN),
    GOOD._replace(catalog=2**63),
    GOOD._replace(named={"m": 2**63}),
    GOOD._replace(burdens={"t": Burden(2**60, 0, 0)}),
    GOOD._replace(reading=ReadState(1, 1, 1, NAN)),
    GOOD._replace(named_ages=(VersionAge("m", 1, INF),)),
    GOOD._replace(kept={"s": StorePosition(1, 1, NAN)}),
    GOOD._replace(moves={"s": INF}),
    GOOD._replace(loading={"e": NAN}),
    GOOD._replace(lateness={"s": NAN}),
)


def encoded(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


class TestDatagrams(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        me = Neighbour("n1", 1, "a", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3")
        self.neighbours = Neighbours(me=me)
        self.views = Views()
        self.translator = HeartbeatTranslator(views=self.views, neighbours=self.neighbours)
        self.crashes, self.origins = mock.Mock(), mock.Mock()
        self.gossip = Gossip(
            neighbours=self.neighbours,
            heartbeat=lambda relation: self.translator.heartbeat(relation, leaving=False),
            heard=self.translator.heard,
            crashes=self.crashes,
            origins=self.origins,
        )
        self.gossip._transport = self.sent = mock.Mock()

    def _receive(self, data: bytes) -> None:
        self.gossip.datagram_received(data, ("10.0.0.2", 2))

    async def test_a_heartbeat_out_of_range_is_left_out_and_the_next_one_is_heard(self) -> None:
        """Failure: `ValueError` in the loop that sends heartbeats, or NaN among the views."""
        for odd in ODD_HEARTBEATS:
            with self.subTest(odd=str(odd)[:300]):
                self._receive(encoded(odd))
                self.assertIsNone(self.neighbours.node("n2"))
        self.gossip.send_to_all()
        self._receive(encoded(GOOD))
        self.assertEqual(self.neighbours.node("n2"), NODE)
        self.gossip.send_to_all()
        self.assertTrue(self.sent.sendto.called)

    async def test_datagrams_that_nest_deeply_are_left_out(self) -> None:
        """Guards against an uncaught `RecursionError`, as other decoders raised it."""
        for marker in (b"", b"\xc1", b"\xc0"):
            self._receive(marker + b"\x91" * 60_000 + b"\x90")
            self._receive(marker + b"\x92\xa1x" + b"\x91" * 60_000)
        self.assertFalse(self.crashes.heard.called or self.origins.heard.called)

    async def test_crashes_and_origins_out_of_range_are_left_out(self) -> None:
        """Failure: a crash at no time, or a stream that may be resumed for ever."""
        for at, ran in ((NAN, 1.0), (1.0, INF)):
            self._receive(b"\xc1" + encoded(CrashUpdate("a", (Crash("f", "t", at, ran),))))
        self._receive(b"\xc1" + encoded(CrashUpdate("a", (), (("f", NAN),))))
        for until in (NAN, INF):
            self._receive(b"\xc0" + encoded([StreamOrigin("k", "s", "v", until)]))
        self.assertFalse(self.crashes.heard.called or self.origins.heard.called)
        self._receive(b"\xc1" + encoded(CrashUpdate("a", (Crash("f", "t", 1.0, 1.0),))))
        self._receive(b"\xc0" + encoded([StreamOrigin("k", "s", "v", 1.0)]))
        self.assertTrue(self.crashes.heard.called and self.origins.heard.called)

    async def test_the_sum_of_loads_fits_into_a_message(self) -> None:
        """Failure: the totals for other data centres could not be encoded."""
        for number in range(5):
            node = NODE._replace(name=f"n{number + 2}", gossip=f"10.0.0.{number + 2}:2")
            burdens = {"t": Burden(1, 2, 2**62), "u": Burden(1, 2, 3)}
            self._receive(encoded(GOOD._replace(node=node, burdens=burdens)))
        total = self.views.workload.total([f"n{number + 2}" for number in range(5)], 0.0)
        self.assertEqual(total, {"u": Burden(5, 10, 15)})
        encoded(total)

    async def test_a_seed_that_is_no_address_keeps_no_other_from_being_asked(self) -> None:
        """Failure: `ValueError` as the node joins, which ended it."""
        self.gossip.send_to_addresses(["x:y", f"{'e' * 64}.a:1", "10.0.0.9:2"])
        self.assertEqual([call.args[1] for call in self.sent.sendto.mock_calls], [("10.0.0.9", 2)])


class TestRows(unittest.TestCase):
    def test_the_nodes_beside_an_odd_row_are_listed(self) -> None:
        """Failure: a node whose heartbeat address is none was listed, and sent to."""
        rows = [SavedRow("n", msgspec.json.encode([node]), 1) for node in (*ODD_NODES, NODE)]
        rows += [SavedRow("x", b"[" * 65_000 + b"]" * 65_000, 1), SavedRow("y", b"", 1)]
        # Infinity is null in JSON.
        self.assertEqual(_decode_nodes(rows), [NODE])

    def test_a_duty_s_row_that_cannot_be_decoded_is_not_taken_over(self) -> None:
        """Failure: `DecodeError` in a loop that expects `RemoteCallError`."""
        for value in (b"", b"[7]", b'["h", 1e300]', b"[" * 65_000 + b"]" * 65_000):
            platform = mock.Mock(era=0)
            platform.rows = mock.AsyncMock(return_value=([SavedRow("d", value, 1)], 5.0))
            duty = DutyLease(platform=platform, name="d", holder="n1", takeover_seconds=1.0)
            with self.assertRaises(RemoteCallError):
                asyncio.run(duty.acquire())


class TestCopies(unittest.TestCase):
    def _copy(self, body: bytes) -> TargetCopy:
        reply = Reply(ResponseHead(200, Headers(), len(body), True), body)
        client: Any = mock.Mock(call=mock.AsyncMock(return_value=reply))
        return asyncio.run(PeerClient(client=client).targets(NODE))

    def test_an_entry_without_a_usable_address_is_not_copied(self) -> None:
        """Failure: requests failed at a node that copied from one of the previous release."""
        good = Instance("e", "s", "10.0.0.1:1", "a")
        odd = good._replace(name="x", address=f"{'e' * 64}.example:1")
        self.assertEqual(self._copy(encoded(TargetCopy((odd, good), (), 1, 1))).entries, (good,))

    def test_a_copy_that_nests_deeply_ends_that_call_alone(self) -> None:
        """Guards against an uncaught `RecursionError`, as other decoders raised it."""
        with self.assertRaises(RemoteCallError):
            self._copy(b"\x95" + b"\x91" * 60_000 + b"\x90")
