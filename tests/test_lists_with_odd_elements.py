"""One odd row, event, part or model does not lose the answer that it stands in."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest
from collections.abc import Coroutine
from typing import Any
from unittest import mock

from fielddrift_core.catalog import StoreTraits
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.ports import RemoteCallError, StoredPart
from fielddrift_node.web.client import Reply
from fielddrift_node.web.messages import Headers, ResponseHead
from fielddrift_node.web.process_check import ProcessAnswer
from fielddrift_platform.store import PlatformStore
from fielddrift_platform.targets import PlatformTargets
from fielddrift_platform.wire import decode_catalog

from .test_target_lives import entry

DEEP = "[" * 65_000 + "]" * 65_000
TRAITS = StoreTraits("10.0.0.1:1", "a", 1, 1.0, 0.0, True, 1)
INSTANCE = Instance("e#5", "s", "10.0.0.1:1", "a")


def client(body: str) -> mock.Mock:
    """Return a client whose calls are all answered with `body`."""
    data = body.encode()
    reply = Reply(ResponseHead(200, Headers(), len(data), True), data)
    return mock.Mock(call=mock.AsyncMock(return_value=reply))


def run(work: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(work)


class TestRows(unittest.TestCase):
    ODD_ROWS = (
        {"key": 7},
        {"value": "x"},
        {"key": "odd", "ver": 2**44},
        {"key": "odd", "ver": 10**400},
        {"key": "odd", "ver": -1},
        {"key": "odd", "value": "=no base64="},
        {"key": "odd", "value": None},
        [],
        None,
        7,
    )

    def _store(self, *rows: object, **fields: object) -> PlatformStore:
        answer = {"rows": rows, "ver": 9, "now-ms": 5000.0} | fields
        return PlatformStore(address="10.0.0.9:1", client=client(json.dumps(answer)))

    def _row(self, key: str, value: bytes) -> dict[str, object]:
        return {"key": key, "ver": 3, "value": base64.b64encode(value).decode()}

    def test_the_entries_beside_an_odd_row_are_read(self) -> None:
        """Failure: the list of targets was not followed, as long as the row stood."""
        for odd in self.ODD_ROWS:
            with self.subTest(odd=str(odd)[:40]):
                good = [self._row(key, entry()) for key in ("e1", "e2")]
                news = run(self._store(good[0], odd, good[1]).target_changes(None))
                self.assertEqual([each.target for each in news.entries], ["e1", "e2"])

    def test_the_node_s_own_rows_beside_an_odd_one_are_read(self) -> None:
        """Failure: `ValueError`, or the whole table was lost, for one row of another writer."""
        for odd in self.ODD_ROWS:
            with self.subTest(odd=str(odd)[:40]):
                rows, clock = run(self._store(odd, self._row("m", b"{}")).rows("members"))
                self.assertEqual((rows[-1].key, rows[-1].value, clock), ("m", b"{}", 5.0))

    def test_an_entry_or_an_answer_that_nests_deeply_ends_nothing_else(self) -> None:
        """Failure: an uncaught `RecursionError`."""
        good, deep = self._row("e", entry()), self._row("x", f'{{"x": {DEEP}}}'.encode())
        news = run(self._store(deep, good).target_changes(None))
        self.assertEqual(([e.target for e in news.entries], news.unreadable), (["e"], ("x",)))
        store = PlatformStore(address="10.0.0.9:1", client=client(f'{{"rows": [{DEEP}]}}'))
        with self.assertRaises(RemoteCallError):
            run(store.target_changes(None))

    def test_a_page_of_odd_rows_does_not_end_the_list(self) -> None:
        """Failure: targets on the pages after it counted as ended."""
        with self.assertRaises(RemoteCallError):
            run(self._store({"key": 7}, **{"more-pages": True}).target_changes(None))


class TestStoreHosts(unittest.TestCase):
    EVENTS = [[1, "+", "s", "p1", 5, "m"], [2, "+", "s", "p2", 5, "m"]]
    ODD = ([2, "+", "s", "p", 10**400, "m"], [2, "+", "s", "p", -1, "m"], [2], {}, None, "x", 7)

    def _changes(self, events: list[Any], **fields: object) -> Any:
        answer = {"boot-epoch": 1, "next-token": 3, "events": events} | fields
        return run(PlatformTargets(client=client(json.dumps(answer))).store_changes(TRAITS, 0, 0.0))

    def test_an_odd_event_is_a_gap_and_the_others_count(self) -> None:
        """Failure: the store host was not followed; or the event would be lost silently."""
        for odd in self.ODD:
            with self.subTest(odd=str(odd)[:40]):
                found = self._changes([self.EVENTS[0], odd, self.EVENTS[1]])
                self.assertEqual([each.id for each in found.added], ["p1", "p2"])
                self.assertTrue(found.gap)
        self.assertFalse(self._changes(self.EVENTS).gap)

    def test_the_parts_beside_an_odd_one_are_listed(self) -> None:
        """Failure: nothing that the store host holds was used, as long as the part stood."""
        for odd in (["s", "p", 10**400, "m"], ["s", "p", -1, "m"], ["s"], {}, None):
            with self.subTest(odd=str(odd)[:40]):
                held = [["s", "p1", 5, "m"], odd]
                answer = {"boot-epoch": 1, "next-token": 3, "held": held, "partial": [odd]}
                targets = PlatformTargets(client=client(json.dumps(answer)))
                found = run(targets.store_contents(TRAITS))
                self.assertEqual(found.held, (StoredPart("s", "p1", 5),))

    def test_an_answer_with_numbers_out_of_range_ends_that_call_alone(self) -> None:
        """Failure: the numbers were kept, and the messages to other nodes failed by them."""
        for fields in (
            {"next-token": 10**400},
            {"boot-epoch": 2**64},
            {"clock_ms": 1e300},
            {"boot-epoch": None},
        ):
            with self.subTest(fields=str(fields)[:40]), self.assertRaises(RemoteCallError):
                self._changes([], **fields)
        deep = PlatformTargets(client=client(f'{{"x": {DEEP}}}'))
        for call in (
            deep.store_changes(TRAITS, 0, 0.0),
            deep.store_contents(TRAITS),
            deep.report(INSTANCE),
        ):
            with self.assertRaises(RemoteCallError):
                run(call)


class TestReports(unittest.TestCase):
    def _targets(self, **fields: object) -> PlatformTargets:
        return PlatformTargets(client=client(json.dumps({"born": 5} | fields)))

    def test_the_models_beside_an_odd_one_are_known(self) -> None:
        """Failure: the report was lost, and with it all weights of the engine."""
        for odd in ({"name": "n", "version": 10**400}, {"version": 1}, {"name": 7}, [], None):
            with self.subTest(odd=str(odd)[:40]):
                models = [odd, {"name": "m", "version": 4}]
                report = run(self._targets(models=models).report(INSTANCE))
                self.assertEqual(report.versions, {"m": 4})

    def test_a_report_with_numbers_out_of_range_ends_that_call_alone(self) -> None:
        """Failure: a number of 400 digits was kept."""
        for fields in ({"seq": 10**400}, {"running": -1}, {"clock_ms": 1e300}, {"waiting": "1"}):
            with self.subTest(fields=str(fields)[:40]), self.assertRaises(RemoteCallError):
                run(self._targets(**fields).report(INSTANCE))

    def test_a_process_is_known_by_its_start_whatever_else_its_report_contains(self) -> None:
        """Failure: a live process counted as one that refuses reports."""
        check = PlatformTargets(client=mock.Mock()).process_check(INSTANCE)
        for fields in ({"seq": 10**400}, {"models": 7}, {"clock_ms": "now"}):
            data = json.dumps({"born": 5} | fields).encode()
            reply = Reply(ResponseHead(200, Headers(), len(data), True), data)
            self.assertIs(check.judge(reply), ProcessAnswer.EXPECTED)


class TestCatalog(unittest.TestCase):
    def _config(self, address: str) -> bytes:
        kept = {"name": "kept", "kv-store-addr": address, "kv-capacity": 9}
        services = [{"name": "plain"}, kept]
        return json.dumps({"version": 3, "routes": [], "services": services}).encode()

    def test_a_store_host_whose_address_cannot_be_one_is_left_out(self) -> None:
        """Failure: each call to it failed by an uncaught `UnicodeError`."""
        for address, count in (("10.0.0.1:9", 1), (f"{'e' * 64}.example:9", 0), ("x:99999", 0)):
            found = decode_catalog(self._config(address))
            self.assertEqual(len(found.stores), count)
            self.assertEqual(set(found.services), {"plain", "kept"})
