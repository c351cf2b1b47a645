"""The saved naming times of weights: read once, written once per version, never too late."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import msgspec
from fielddrift_core.catalog import Catalog
from fielddrift_core.rollout import NamingTimes, StoreClock, times_to_save
from fielddrift_node.serving.named_rows import TABLE, NamedRows
from fielddrift_node.serving.ports import (
    NamedWeights,
    RemoteCallError,
    RowWrite,
    SavedRow,
    WriteOutcome,
)
from fielddrift_node.serving.views import Views
from hypothesis import given, settings
from hypothesis import strategies as st

from .virtual_time import in_virtual_time

_CLOCK_AHEAD_SECONDS = 5000.0
"""Seconds by which the table's clock is ahead of the nodes' clocks."""
_CALL = st.floats(0, 0.7)


class Table:
    """The table `namings`, whose clock runs with the event loop's; `down` fails every call."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, SavedRow] = {}
        self.calls: list[str] = []
        self.down = False
        self.answers_to_lose = 0
        self._version = 0

    def put(self, key: str, value: bytes) -> None:
        self._version += 1
        self.rows_by_key[key] = SavedRow(key, value, self._version)

    def times(self, model: str) -> dict[int, float]:
        kept: dict[int, float] = msgspec.json.decode(
            self.rows_by_key[model].value, type=dict[str, dict[int, float]]
        )["times"]
        return kept

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        self._record_call(table, "read")
        return list(self.rows_by_key.values()), _platform_now()

    async def write(self, table: str, writes: list[RowWrite]) -> WriteOutcome:
        self._record_call(table, "write")
        (write,) = writes
        held = self.rows_by_key.get(write.key, SavedRow(write.key, b"", 0))
        if held.version != write.expect:
            return WriteOutcome(False, self._version, _platform_now())
        assert write.value is not None
        self.put(write.key, write.value)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise RemoteCallError("answer lost")
        return WriteOutcome(True, self._version, _platform_now())

    def _record_call(self, table: str, what: str) -> None:
        assert table == TABLE, table
        self.calls.append(what)
        if self.down:
            raise RemoteCallError("refused", not_executed=True)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _platform_now() -> float:
    return _now() + _CLOCK_AHEAD_SECONDS


def _catalog() -> Catalog:
    return mock.Mock(spec=Catalog, version=1, stores=[])


class Node:
    """The views of a node and its saved rows."""

    def __init__(self, table: Table, *, reads: bool = False) -> None:
        self.views = Views()
        self.rows = NamedRows(
            platform=table,  # type: ignore[arg-type]
            views=self.views,
            is_reader=lambda: reads,
            rng=random.Random(1),
        )

    def receive(self, version: int, seconds_ago: float = 0.0) -> None:
        self.views.update_weights(NamedWeights("m", version), _now() - seconds_ago)

    def start_loading(self) -> asyncio.Task[None]:
        """Start loading, as a node does after its operators' rows were read."""
        self.views.update_catalog(_catalog())
        self.rows.schedule_save()
        return asyncio.ensure_future(self.rows.load())

    def outdated(self, weights: int) -> float:
        return self.views.outdated_seconds("m", weights, _now())


@mock.patch("fielddrift_node.serving.named_rows._log", mock.Mock())
class TestNamedRows(unittest.TestCase):
    def setUp(self) -> None:
        self.table = Table()

    @in_virtual_time
    async def test_a_node_that_begins_anew_counts_from_what_was_saved(self) -> None:
        first, second = Node(self.table), Node(self.table)
        first.receive(2, seconds_ago=5.0)
        await first.rows.save("m")
        second.receive(2)
        await second.start_loading()
        self.assertGreaterEqual(second.outdated(1), 5.0)
        self.assertLess(second.outdated(1), 5.01)

    @in_virtual_time
    async def test_a_version_is_written_once_and_a_start_reads_once(self) -> None:
        first, second = Node(self.table), Node(self.table)
        first.receive(2)
        for _ in range(5):
            await first.rows.save("m")
        self.assertEqual(self.table.calls, ["read", "write"])
        first.receive(3)
        for _ in range(5):
            await first.rows.save("m")
        self.assertEqual(self.table.calls, ["read", "write", "write"])
        second.receive(3)
        await second.start_loading()
        await second.rows.save("m")
        self.assertEqual(self.table.calls, ["read", "write", "write", "read"])

    @in_virtual_time
    async def test_a_reader_saves_a_version_as_soon_as_it_knows_it(self) -> None:
        # Failure: nodes that were all killed three times within 3 s used old weights for 6.3 to 6.6
        # s after a new version was named; 6 s are allowed. The version was saved only when a node
        # started the rollout, but each node lived 0.3 to 0.9 s, so `namings read` at each start
        # lacked the version.
        for node in (Node(self.table, reads=False), Node(self.table, reads=True)):
            node.receive(2)
            node.views.update_catalog(_catalog())
            node.rows.schedule_save()
            running = asyncio.ensure_future(node.rows.run())
            for _ in range(20):
                await asyncio.sleep(0)
            running.cancel()
        self.assertEqual(sorted(self.table.times("m")), [2])
        self.assertEqual(self.table.calls, ["read", "read", "write"])

    @in_virtual_time
    async def test_a_version_that_nobody_saved_counts_as_named_before_the_start(self) -> None:
        # The version was named while no node ran. Counted from the start, prompts would go to old
        # weights for longer, by the time that the nodes were down.
        node = Node(self.table)
        node.receive(2)
        await node.start_loading()
        self.assertGreaterEqual(node.outdated(1), 2.5)
        self.assertLess(node.outdated(1), 2.51)

    @in_virtual_time
    async def test_a_saving_that_fails_is_repeated(self) -> None:
        node = Node(self.table, reads=True)
        node.views.update_catalog(_catalog())
        running = asyncio.ensure_future(node.rows.run())
        # Nothing was named before the start, so nothing is being loaded here.
        node.rows.schedule_save()
        for _ in range(5):
            await asyncio.sleep(0)
        self.table.down = True
        node.receive(2)
        node.rows.schedule_save()
        async with asyncio.timeout(10.0):
            while not self.table.calls:
                await asyncio.sleep(0.01)
            self.table.down = False
            while "write" not in self.table.calls:
                await asyncio.sleep(0.01)
        running.cancel()
        self.assertEqual(sorted(self.table.times("m")), [2])

    @in_virtual_time
    async def test_nothing_is_read_where_nothing_was_named(self) -> None:
        await Node(self.table).start_loading()
        self.assertEqual(self.table.calls, [])

    @in_virtual_time
    async def test_of_two_writers_the_earliest_times_and_all_versions_stand(self) -> None:
        one, two = Node(self.table), Node(self.table)
        one.receive(2, seconds_ago=4.0)
        two.receive(2, seconds_ago=1.0)
        two.receive(3, seconds_ago=1.0)
        for node in (one, two):
            # Both have read before either writes.
            await node.rows._read()
        await two.rows.save("m")
        await one.rows.save("m")
        await two.rows.save("m")
        times = self.table.times("m")
        self.assertEqual(sorted(times), [2, 3])
        self.assertGreaterEqual(_platform_now() - times[2], 4.0)
        self.assertLess(_platform_now() - times[3], 1.01)

    @in_virtual_time
    async def test_a_write_whose_answer_is_lost_is_found_done(self) -> None:
        node = Node(self.table)
        node.receive(2, seconds_ago=3.0)
        self.table.answers_to_lose = 1
        with self.assertRaises(RemoteCallError):
            await node.rows.save("m")
        kept = self.table.rows_by_key["m"]
        await node.rows.save("m")
        self.assertEqual(self.table.rows_by_key["m"], kept)

    @in_virtual_time
    async def test_a_table_out_of_reach_at_the_start_is_read_later(self) -> None:
        first, second = Node(self.table), Node(self.table)
        first.receive(2, seconds_ago=5.0)
        await first.rows.save("m")
        self.table.down = True
        second.receive(2)
        reading = second.start_loading()
        while self.table.calls.count("read") < 3:
            await asyncio.sleep(0)
            await asyncio.sleep(0.01)
        self.assertLess(second.outdated(1), 5.0)
        self.table.down = False
        await reading
        self.assertGreaterEqual(second.outdated(1), 5.0)

    @in_virtual_time
    async def test_a_row_that_is_not_understood_is_replaced(self) -> None:
        for value in (b"", b"[]", b'{"other": 1}', b'{"times": {"x": 1}}'):
            with self.subTest(value=value):
                self.table.put("m", value)
                node = Node(self.table)
                node.receive(2)
                await node.start_loading()
                await node.rows.save("m")
                self.assertEqual(list(self.table.times("m")), [2])

    @in_virtual_time
    async def test_a_row_with_more_fields_than_known_is_understood(self) -> None:
        self.table.put("m", b'{"times": {"2": %d}, "more": [1]}' % int(_platform_now() - 7.0))
        node = Node(self.table)
        node.receive(2)
        await node.start_loading()
        self.assertGreaterEqual(node.outdated(1), 7.0)

    @in_virtual_time
    async def test_a_row_does_not_grow_with_the_versions(self) -> None:
        node = Node(self.table)
        for version in range(2, 30):
            node.receive(version)
            await node.rows.save("m")
        self.assertEqual(sorted(self.table.times("m")), [26, 27, 28, 29])


class TestSavedTimes(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.floats(0, 100), _CALL, _CALL, _CALL, _CALL, st.floats(0, 30), st.floats(-50, 50))
    def test_no_call_however_slow_makes_a_naming_later(
        self,
        named: float,
        out: float,
        back: float,
        later_out: float,
        later_back: float,
        later: float,
        skew: float,
    ) -> None:
        # The platform's clock shows the true time; the second node's clock is skewed.
        clock = StoreClock(named + out, named, named + out + back)
        saved = times_to_save({2: named}, saved={}, clock=clock)
        assert saved is not None
        self.assertLessEqual(saved[2], named + 1e-6)
        asked = named + later
        other = StoreClock(asked + later_out, asked + skew, asked + skew + later_out + later_back)
        times = NamingTimes()
        times.restore("m", saved, other)
        at = times.named_at("m", 2)
        assert at is not None
        self.assertLessEqual(at - skew, named + 1e-6)
        self.assertGreaterEqual(at - skew, named - back - later_out - 1e-6)

    def test_nothing_is_saved_that_stands_there_already(self) -> None:
        clock = StoreClock(100.0, 10.0, 10.2)
        saved = times_to_save({2: 9.0, 3: 10.0}, saved={}, clock=clock)
        assert saved is not None
        self.assertIsNone(times_to_save({2: 9.0, 3: 10.0}, saved=saved, clock=clock))
        self.assertIsNone(times_to_save({2: 8.8, 3: 10.0}, saved=saved, clock=clock))
        self.assertIsNotNone(times_to_save({2: 8.0, 3: 10.0}, saved=saved, clock=clock))
        self.assertIsNone(times_to_save({}, saved=saved, clock=clock))

    def test_a_slow_reading_does_not_move_what_is_saved(self) -> None:
        saved = {2: 100.0}
        clock = StoreClock(105.0, 10.0, 11.4)
        times = NamingTimes()
        times.restore("m", saved, clock)
        self.assertIsNone(times_to_save(times.newest("m"), saved=saved, clock=clock))
