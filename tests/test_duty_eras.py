"""Random walks over the lease of the weights duty while the store is restored from older copies.

A restored store may have lost the row of a holder whose lease still runs, or have an older row in
its place, and it reuses versions. Failure: judged by the row alone, a second node acquired the
lease while the first still gave orders, and fencing tokens were issued twice.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from unittest import mock

from fielddrift_core.eras import combine, era_of, version_of
from fielddrift_core.rollout import LEASE_SECONDS
from fielddrift_node.serving.duty import DutyLease
from fielddrift_node.serving.ports import RemoteCallError, RowWrite, SavedRow, WriteOutcome

from .machines import explore
from .test_duty_walk import EXAMPLES, NODES, TAKEOVER_SECONDS, DutyWalk, SlowTable


class _Table(SlowTable):
    """The table of a store that is restored from copies and then reuses versions."""

    def __init__(self, walk: DutyWalk) -> None:
        super().__init__(walk)
        self.store_era = 1
        self._copy = (self._row, self._version)

    def copy(self) -> None:
        """Keep a copy for a later restore."""
        self._copy = (self._row, self._version)

    def restore_copy(self) -> None:
        """Restore the copy."""
        self._row, self._version = self._copy
        self.store_era += 1


class _View:
    """The store as seen by one node: versions combined with eras, as the adapter returns them."""

    def __init__(self, table: _Table) -> None:
        self._table = table
        self.era = 0
        self.calls = self.unreadable = 0

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        found, clock = await self._table.rows(table)
        self.era = self._table.store_era
        return [r._replace(version=combine(self.era, r.version)) for r in found], clock

    async def write(self, table: str, writes: list[RowWrite]) -> WriteOutcome:
        (write,) = writes
        assert write.expect is not None
        if write.expect and era_of(write.expect) != self.era:
            return WriteOutcome(False, 0, 0.0)
        before = self.era
        plain = write._replace(expect=version_of(write.expect))
        outcome = await self._table.write(table, [plain])
        self.era = self._table.store_era
        if write.expect and self.era != before:
            raise RemoteCallError("a write under a condition met a new era")
        return outcome._replace(version=combine(self.era, outcome.version))


class DutyEraWalk(DutyWalk):
    """Three nodes compete for the lease while the store keeps copies and restores them."""

    uses_era_since = True

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.table: _Table = _Table(self)
        self.views = [_View(self.table) for _ in range(NODES)]
        self.first_seen: list[tuple[int, float]] = [(1, self.now)] * NODES
        self.duties = [self._duty(n) for n in range(NODES)]

    def moves(self) -> list[Callable[[], None]]:
        return [*super().moves(), self.copy, self.restore_copy]

    def copy(self) -> None:
        self.table.copy()

    def restore_copy(self) -> None:
        self.table.restore_copy()

    def kill(self) -> None:
        number = self.rng.randrange(NODES)
        self.views[number] = _View(self.table)
        self.first_seen[number] = (self.table.store_era, self.now)
        self.duties[number] = self._duty(number)

    def _era_since(self, number: int) -> float:
        era, since = self.first_seen[number]
        view = self.views[number]
        if view.era > era:
            self.first_seen[number] = (view.era, since := self.now)
        return since + self.skew[number]

    def _duty(self, number: int) -> DutyLease:
        if not hasattr(self, "views"):
            return super()._duty(number)
        since = (
            (lambda: self._era_since(number)) if self.uses_era_since else (lambda: float("-inf"))
        )
        return DutyLease(
            name="weights",
            holder=f"n{number}",
            platform=self.views[number],  # type: ignore[arg-type]
            takeover_seconds=self.takeover_seconds,
            era_since=since,
        )


class _RowsOnlyWalk(DutyEraWalk):
    uses_era_since = False


@mock.patch("fielddrift_node.serving.duty._log", mock.Mock())
class DutyEraTest(unittest.TestCase):
    def test_orders_of_two_holders_lie_a_turn_apart_and_fences_rise(self) -> None:
        explore(DutyEraWalk, examples=2 * EXAMPLES)

    def test_by_the_rows_alone_the_walk_finds_two_holders(self) -> None:
        with self.assertRaises(AssertionError):
            explore(_RowsOnlyWalk, examples=2 * EXAMPLES)

    def test_the_duty_is_taken_again_soon_after_a_return(self) -> None:
        walk = DutyEraWalk(_NoFaultsRandom())
        walk.try_acquire(0)
        walk.restore_copy()
        began = walk.now
        while not walk.try_acquire(1):
            walk.now += 0.1
            self.assertLess(walk.now, began + 2 * (LEASE_SECONDS + TAKEOVER_SECONDS))


class _NoFaultsRandom(random.Random):
    """Calls take no time and are never lost."""

    def random(self) -> float:
        return 1.0

    def uniform(self, a: float, b: float) -> float:
        return 0.0
