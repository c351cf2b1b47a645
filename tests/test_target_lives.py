"""Targets that restart under the same id, and rows from other writers.

Sequence: an engine reports that it drains, or is known to have new weights, and crashes.  It
restarts under its id, ready, with its former weights.  The state of the earlier instance
(leaving, weights, failures, running requests, accepted orders) was applied to the new one, so
it got no requests, or prompts for weights that it does not have.
"""

from __future__ import annotations

import asyncio
import base64
import json
import unittest
from typing import Any
from unittest import mock

import msgspec
from fielddrift_core.placement import PREFILL_TOKENS_PER_SECOND
from fielddrift_core.target_registry import Instance, TargetRegistry, instance_name, target_id
from fielddrift_node.serving.ports import OutgoingRequest, RemoteCallError
from fielddrift_node.serving.views import Views
from fielddrift_node.web.messages import Headers, Reply, ResponseHead
from fielddrift_platform import store as store_module
from fielddrift_platform.store import PlatformStore
from fielddrift_platform.targets import PlatformTargets
from fielddrift_platform.wire import RowsAnswer, WireRow, decode_instance
from hypothesis import given, settings
from hypothesis import strategies as st

ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 0,
    "models": [{"name": "m", "version": 1}],
    "seq": 4,
    "born": 1_790_000_000_000,
}


def entry(**fields: Any) -> bytes:
    return json.dumps(ENTRY | fields).encode()


class TestNames(unittest.TestCase):
    @given(st.text(alphabet="ab#12²"), st.none() | st.integers(0, 10**15))
    @settings(derandomize=True)
    def test_each_instance_name_contains_the_target_id(self, target: str, born: int | None) -> None:
        self.assertEqual(target_id(instance_name(target, born)), target)

    @given(st.text(alphabet="ab#12"), st.text(alphabet="ab#12"), st.integers(0, 99))
    @settings(derandomize=True)
    def test_no_two_instances_have_the_same_name(self, one: str, other: str, born: int) -> None:
        if one != other:
            self.assertNotEqual(instance_name(one, born), instance_name(other, born))
            self.assertNotEqual(instance_name(one, None), instance_name(other, born))
        self.assertNotEqual(instance_name(one, born), instance_name(one, born + 1))


class TestRegistry(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.views = Views()
        self.views.registry = self.registry

    def _receive(self, born: int, **fields: Any) -> Instance:
        found = decode_instance("e", entry(born=born, **fields))
        self.registry.heard(found, 0.0)
        return found

    def test_a_new_instance_of_a_leaving_target_gets_requests(self) -> None:
        self._receive(1, state="draining")
        self.assertEqual(self.registry.serving("s"), [])
        found = self._receive(2)
        self.assertEqual(self.registry.serving("s"), [found])
        self.assertEqual(self.registry.leaving(), frozenset())
        self.assertEqual(len(self.registry), 1)

    def test_state_of_an_earlier_instance_is_not_applied_to_the_next(self) -> None:
        views = self.views
        first = self._receive(1)
        views.weights.observe(first.name, "m", 7, 0.0)
        views.health.failed(first.name, 0.0)
        views.workload.begin(first.name, "r", int(PREFILL_TOKENS_PER_SECOND))
        views.loading.record_own(first.name, 9.0)
        second = self._receive(2)
        self.assertEqual(views.weights_of(second.name, "m"), 1)
        self.assertEqual(views.health.share(second.name, 0.0), 0.0)
        self.assertEqual(views.workload.burden_of(second.name, 0.0).running, 0)
        self.assertEqual(views.loading.seconds(second.name, 0.0), 0.0)

    def test_the_end_of_an_entry_names_the_target_and_ends_its_instance(self) -> None:
        self._receive(1)
        self.registry.entry_ended("e", 0.0)
        self.assertEqual(len(self.registry), 0)

    def test_a_lapsed_instance_is_not_held_beside_the_next(self) -> None:
        self._receive(1)
        self.registry.store_returned(0.0)
        self.registry.entry_ended("e", 0.1)
        self.assertEqual(len(self.registry.lapsed(0.2)), 1)
        found = self._receive(2)
        self.assertEqual(list(self.registry.all()), [found])
        self.assertEqual(self.registry.lapsed(0.2), {})

    def test_a_target_with_an_invalid_entry_is_not_held_as_lapsed(self) -> None:
        self._receive(1)
        self.registry.store_returned(0.0)
        self.registry.drop("e")
        self.assertEqual((len(self.registry), self.registry.lapsed(0.1)), (0, {}))
        self.assertEqual(self.registry.serving("s"), [])
        found = self._receive(1)
        self.assertEqual(self.registry.serving("s"), [found])

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("heard"), st.integers(1, 3), st.booleans()),
                st.tuples(st.just("gone"), st.just(0), st.booleans()),
                st.tuples(st.just("returned"), st.just(0), st.booleans()),
                st.tuples(st.just("left"), st.integers(1, 3), st.booleans()),
                st.tuples(st.just("copied"), st.integers(1, 3), st.booleans()),
            )
        )
    )
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_at_most_one_instance_of_a_target_is_listed(self, steps: list[Any]) -> None:
        registry, now = TargetRegistry(), 0.0
        for kind, born, flag in steps:
            now += 0.5
            state = "draining" if flag else "ready"
            found = decode_instance("e", entry(born=born, state=state))
            if kind == "heard":
                registry.heard(found, now)
                self.assertEqual(list(registry.all()), [found])
                self.assertLessEqual(registry.leaving(), {found.name})
            elif kind == "gone":
                registry.entry_ended("e", now)
            elif kind == "returned":
                registry.store_returned(now)
            elif kind == "left":
                registry.left(found.name)
            else:
                registry.apply_copy([found], [], lost=flag)
            self.assertLessEqual(len(registry), 1)
            self.assertLessEqual(registry.leaving(), {i.name for i in registry.all()})
            self.assertLessEqual(registry.lapsed(now).keys(), {i.name for i in registry.all()})
            registry.tick(now)


class TestWire(unittest.IsolatedAsyncioTestCase):
    async def _report(self, name: str, answer: dict[str, Any]) -> Any:
        client = mock.Mock()
        head = ResponseHead(200, Headers(), 0, True)
        reply = Reply(head, json.dumps(answer).encode())
        client.call = mock.AsyncMock(return_value=reply)
        target = decode_instance("e", entry())._replace(name=name)
        found = await PlatformTargets(client=client).report(target)
        self.assertIn(b"X-Expect-Instance: e\r\n", client.call.call_args.args[1])
        return found

    async def test_a_report_of_another_life_is_none(self) -> None:
        with self.assertRaisesRegex(RemoteCallError, "started again"):
            await self._report("e#5", {"born": 6, "seq": 0})
        self.assertEqual((await self._report("e#5", {"born": 5, "seq": 3})).orders, 3)
        # Entries that do not tell lives apart have no life to compare.
        self.assertEqual((await self._report("e", {"born": 6, "seq": 3})).orders, 3)

    async def test_a_send_names_the_id_that_the_target_gives_itself(self) -> None:
        found = decode_instance("e", entry())
        self.assertEqual(found.name, "e#1790000000000")
        ask = mock.Mock()
        ask.request.head.headers, ask.request.body = [], b""
        ask.request.head.method, ask.request.head.target = b"GET", b"/"
        data = PlatformTargets(client=mock.Mock()).request(OutgoingRequest(ask, found, 1.0, ""))
        self.assertIn(b"X-Expect-Instance: e\r\n", data)


class TestOtherWriters(unittest.TestCase):
    def test_rows_that_are_no_entries_name_no_target(self) -> None:
        for data in (
            b"",
            b"\xff\xfe",
            b"[" * 100_000,
            b"null",
            entry(state="resting"),
            entry(state=None),
            entry(service=7),
            entry(address=":80"),
            entry(address="10.0.0.1:port"),
            entry(address="10.0.0.1:99999"),
            entry(address="10.0.0.1"),
            entry(slots="many"),
            entry(models={}),
            entry(models=[{"version": 1}]),
            entry(born="now"),
            entry(born=1.5),
            entry(born=-1),
        ):
            with self.subTest(data=data[:60]), self.assertRaises(ValueError):
                decode_instance("e", data)
        self.assertEqual(decode_instance("e", entry(born=5.0)).name, "e#5")

    @given(
        st.binary(max_size=200)
        | st.dictionaries(
            st.sampled_from(list(ENTRY)),
            st.none()
            | st.booleans()
            | st.integers()
            | st.floats()
            | st.text()
            | st.lists(st.none()),
        ).map(lambda fields: json.dumps(ENTRY | fields).encode())
    )
    @settings(max_examples=400, derandomize=True, deadline=None)
    def test_any_bytes_are_an_entry_or_an_error_of_value(self, data: bytes) -> None:
        try:
            found = decode_instance("e", data)
        except ValueError:
            return
        self.assertEqual(found.target, "e")

    def _row(self, key: str, value: str, ver: int, table: str = "servers") -> WireRow:
        return WireRow(key=key, table=table, value=value, ver=ver)

    def _answer(self, *rows: WireRow) -> Reply:
        answer = msgspec.json.encode(RowsAnswer(rows=list(rows), ver=9))
        return Reply(ResponseHead(200, Headers(), len(answer), True), answer)

    def test_a_row_of_another_writer_is_logged_once_a_version_and_the_others_hold(self) -> None:
        client = mock.Mock()
        good = self._row("e", base64.b64encode(entry()).decode(), 3)
        reply = self._answer(good, self._row("x", "=not base64=", 4))
        client.call = mock.AsyncMock(return_value=reply)
        store = PlatformStore(address="10.0.0.9:1", client=client)
        with mock.patch.object(store_module, "_log") as log:
            for _ in range(3):
                news = asyncio.run(store.target_changes(None))
                self.assertEqual([found.target for found in news.entries], ["e"])
                self.assertEqual(news.unreadable, ("x",))
        self.assertEqual((log.error.call_count, store.unreadable), (1, 1))

    def test_an_operators_row_that_is_none_keeps_no_other_away(self) -> None:
        client = mock.Mock()
        weights = base64.b64encode(b'{"model": "m", "version": 4}').decode()
        client.call = mock.AsyncMock(
            return_value=self._answer(
                self._row("config", base64.b64encode(b"{").decode(), 1, "op"),
                self._row("version/m", weights, 2, "op"),
                self._row("version/n", "%", 3, "op"),
            )
        )
        store = PlatformStore(address="10.0.0.9:1", client=client)
        news = asyncio.run(store.operator_changes(None, 0.0))
        self.assertIsNone(news.catalog)
        self.assertEqual([named.version for named in news.weights], [4])


if __name__ == "__main__":
    unittest.main()
