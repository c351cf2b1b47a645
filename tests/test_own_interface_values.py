"""Own interface: values out of range from targets, hosts and nodes end only what they are in."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any
from unittest import mock

import msgspec
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node import peer_pb2 as pb
from fielddrift_node.daemon import Daemon
from fielddrift_node.http_client import Head, Reply
from fielddrift_node.metrics import Metrics
from fielddrift_node.outside import HttpHostList
from fielddrift_node.peers import member_from_message
from fielddrift_node.sightings import Sightings
from fielddrift_node.targets import pause_seconds, read_head
from fielddrift_standins.fleet import free_port

DEEP = f'{{"x": {"[" * 65_000}{"]" * 65_000}}}'
ODD_NUMBERS = ("\xb2", "9" * 400, "9" * 5000, "-1", "1_0", "nan", "inf", "\u0664")
HOST: dict[str, Any] = {
    "address": "10.0.0.1:1",
    "kind": "engine",
    "data_centre": "a",
    "leaving": False,
    "epoch": 1,
}


class TestTargets(unittest.TestCase):
    def _head(self, **headers: str) -> Head:
        load = '{"running": 1, "queued": 0, "backlog": 0}'
        context = "memory=1 imported=0 recomputed=2 import_seconds=0.5"
        fields = {"x-context": context, "x-load": load, "x-version": "v", "x-customer": "c"}
        return Head(200, fields | {name.replace("_", "-"): text for name, text in headers.items()})

    def test_a_head_out_of_range_ends_that_run_alone(self) -> None:
        """Failure: an uncaught `RecursionError`, or numbers that no message can hold."""
        self.assertEqual(read_head(self._head()).memory, 1)
        for text in ODD_NUMBERS:
            for context in (
                f"memory={text} imported=0 recomputed=2",
                f"memory=1 imported=0 recomputed={text}",
                f"memory=1 imported=0 recomputed=2 import_seconds={text}",
            ):
                with self.subTest(context=context[:40]), self.assertRaises(ExternalSystemError):
                    read_head(self._head(x_context=context))
        for load in (DEEP, '{"running": -1}', f'{{"running": {10**400}}}', "7"):
            with self.subTest(load=load[:40]), self.assertRaises(ExternalSystemError):
                read_head(self._head(x_load=load))

    def test_a_pause_that_is_no_number_is_none(self) -> None:
        """Failure: a target was left alone for ever, or a number of another script counted."""
        for text in (*ODD_NUMBERS, "1e300"):
            with self.subTest(text=text[:20]):
                reply = Head(503, {"x-started": "no", "retry-after": text})
                self.assertEqual(pause_seconds(reply), 0.0)

    def test_an_epoch_that_is_no_number_fails_no_response(self) -> None:
        """Failure: `ValueError` for a digit of another script as a response came."""
        daemon = mock.Mock()
        for text in (*ODD_NUMBERS, "true"):
            with self.subTest(text=text[:20]):
                Daemon._apply_headers(daemon, "t", {"x-leaving": text})
                Daemon._apply_headers(daemon, "t", {"x-load": DEEP})
        self.assertFalse(daemon._cluster.merge_target.called or daemon._apply_report.called)
        Daemon._apply_headers(daemon, "t", {"x-leaving": "3"})
        self.assertTrue(daemon._cluster.merge_target.called)


class TestHosts(unittest.TestCase):
    def _hosts(self, *entries: object) -> list[str]:
        body = json.dumps(
            {"hosts": [list(e.values()) if isinstance(e, dict) else e for e in entries]}
        ).encode()
        http: Any = mock.Mock(request=mock.Mock(return_value=Reply(200, {}, body, True)))
        return [entry.address for entry in HttpHostList(address="p:1", http=http).hosts()]

    def test_the_hosts_beside_an_odd_entry_are_listed(self) -> None:
        """Failure: the list was not followed, as long as the entry stood."""
        for fields in (
            {"address": f"{'e' * 64}.example:1"},
            {"address": "10.0.0.1:99999"},
            {"address": 7},
            {"epoch": 10**400},
            {"epoch": -1},
            {"leaving": "no"},
        ):
            with self.subTest(fields=str(fields)[:40]):
                self.assertEqual(self._hosts(HOST | fields, HOST), ["10.0.0.1:1"])
        self.assertEqual(self._hosts([], HOST, None), ["10.0.0.1:1"])


class TestNodes(unittest.TestCase):
    def test_a_member_without_a_usable_address_is_none(self) -> None:
        """Failure: `ValueError` in the thread that sends sightings, which ended it."""
        for name in ("n", "n:port", "n:99999", f"{'e' * 64}.a:1"):
            for message in (
                pb.Member(name=name, http="10.0.0.1:1", status=1),
                pb.Member(name="10.0.0.1:1", http=name, status=1),
            ):
                with self.subTest(name=name[:20]), self.assertRaises(ValueError):
                    member_from_message(message)

    def test_datagrams_that_nest_deeply_or_have_no_time_are_dropped(self) -> None:
        """Failure: `RecursionError`; or NaN as a time, which is never too old."""
        sightings = Sightings(
            address=f"127.0.0.1:{free_port()}",
            key="k" * 16,
            audience=lambda model: [],
            on_receive=lambda sighting: None,
            metrics=Metrics(address=""),
        )
        self.addCleanup(sightings.close)
        good = msgspec.msgpack.encode([time.time(), []])
        self.assertEqual(sightings.unpack(sightings._digest(good) + good), [])
        deep = b"\x92" + msgspec.msgpack.encode(time.time()) + b"\x91\x92\x00" + b"\x91" * 60_000
        for body in (deep + b"\x90", msgspec.msgpack.encode([float("nan"), []])):
            with self.assertRaises(ValueError):
                sightings.unpack(sightings._digest(body) + body)
