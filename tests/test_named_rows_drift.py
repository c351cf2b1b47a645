"""A node that has run for long saves the right naming times."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from fielddrift_node.serving.named_rows import NamedRows
from fielddrift_node.serving.ports import NamedWeights, RowWrite, SavedRow, WriteOutcome
from fielddrift_node.serving.views import Views

from .virtual_time import VirtualLoop

_DAY_SECONDS = 86_400.0
_CLOCK_FASTER = 50e-6
"""Drift by which a host's monotonic clock is faster than the platform's, typical of a crystal."""


class DriftingTable:
    """The table, whose clock is slower than the event loop's."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, SavedRow] = {}
        self._version = 0

    @property
    def clock(self) -> float:
        return asyncio.get_running_loop().time() * (1 - _CLOCK_FASTER)

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        return list(self.rows_by_key.values()), self.clock

    async def write(self, table: str, writes: list[RowWrite]) -> WriteOutcome:
        (write,) = writes
        held = self.rows_by_key.get(write.key)
        if (held.version if held else 0) != write.expect:
            return WriteOutcome(False, self._version, self.clock)
        assert write.value is not None
        self._version += 1
        self.rows_by_key[write.key] = SavedRow(write.key, write.value, self._version)
        return WriteOutcome(True, self._version, self.clock)


def _rows(table: DriftingTable, views: Views) -> NamedRows:
    rng = random.Random(1)
    return NamedRows(platform=table, views=views, is_reader=lambda: False, rng=rng)  # type: ignore[arg-type]


@mock.patch("fielddrift_node.serving.named_rows._log", mock.Mock())
class TestDrift(unittest.TestCase):
    """A node that has run for a day must not save a naming time that lies in the future.

    Failure: the node reads the table's clock when the first version is named and extrapolates from
    that reading. A day later it saves a time for the next version that is some seconds late, and a
    node that starts then uses older weights for that much longer. A saved time must never be late,
    so a clock reading may be used only up to a maximum age.
    """

    def test_a_naming_is_never_saved_as_later_than_it_was(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        loop.run_until_complete(self._saves())

    async def _saves(self) -> None:
        loop = asyncio.get_running_loop()
        table = DriftingTable()
        views = Views()
        rows = _rows(table, views)
        views.update_weights(NamedWeights("m", 2), loop.time())
        await rows.save("m")
        await asyncio.sleep(_DAY_SECONDS)
        views.update_weights(NamedWeights("m", 3), loop.time())
        await rows.save("m")
        await asyncio.sleep(2.0)
        later = Views()
        later.update_weights(NamedWeights("m", 3), loop.time())
        await _rows(table, later).save("m")
        outdated = later.outdated_seconds("m", 2, loop.time())
        self.assertGreaterEqual(outdated, 1.9)
