"""The duty of new weights: nodes on clocks of their own, killed, with calls slow or lost."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple
from unittest import mock

from fielddrift_core.rollout import LEASE_SECONDS
from fielddrift_node.serving.duty import DutyLease
from fielddrift_node.serving.ports import RemoteCallError, RowWrite, SavedRow, WriteOutcome

from .machines import Walk, explore

TURN = 3.0
"""Seconds that orders of two holders must lie apart."""
NODES = 3
EXAMPLES = 20
"""Of twenty walks each."""
_MOST_CALL_SECONDS = 0.4
"""One way of a call to the store, on a slow day."""


class Order(NamedTuple):
    """An order as it reached an engine."""

    at: float
    holder: str
    fence: int


class SlowTable:
    """The store's table: calls take time each way, get lost, or are carried out late."""

    calls = 0
    era = 0

    def __init__(self, walk: DutyWalk) -> None:
        self.readings = 0
        self._walk = walk
        self._row = SavedRow("weights", b"", 0)
        self._version = 0
        self._late: list[RowWrite] = []

    async def rows(self, table: str) -> tuple[list[SavedRow], float]:
        """Return the row and the store's clock."""
        self.readings += 1
        self._travel()
        found = [self._row] if self._row.version else []
        clock = self._walk.now
        self._travel()
        return found, clock

    async def write(self, table: str, writes: list[RowWrite]) -> WriteOutcome:
        """Write under the condition, unless the call or its answer is lost."""
        rng = self._walk.rng
        self._travel()
        if rng.random() < 0.1:
            raise RemoteCallError("lost on its way")
        if rng.random() < 0.1:
            self._late.append(writes[0])
            raise RemoteCallError("carried out later")
        done = self._apply(writes[0])
        version = self._version
        self._travel()
        if rng.random() < 0.1:
            raise RemoteCallError("answer lost")
        return WriteOutcome(done, version, self._walk.now)

    def carry_out(self) -> None:
        """Carry out a write whose caller heard nothing, if its condition still holds."""
        if self._late:
            self._apply(self._late.pop(0))

    def _apply(self, write: RowWrite) -> bool:
        if write.expect != self._row.version:
            return False
        self._version += 1
        assert write.value is not None
        self._row = SavedRow(write.key, write.value, self._version)
        return True

    def _travel(self) -> None:
        self._walk.now += self._walk.rng.uniform(0, _MOST_CALL_SECONDS)


class DutyWalk(Walk):
    """Three nodes want the duty all the time; each orders while it holds it."""

    turn = TURN

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.now = 1000.0
        self.skew = [rng.uniform(-500, 500) for _ in range(NODES)]
        self.table = SlowTable(self)
        self.duties = [self._duty(n) for n in range(NODES)]
        self.orders: list[Order] = []

    def moves(self) -> list[Callable[[], None]]:
        return (
            [self.take] * 6 + [self.order] * 4 + [self.wait, self.kill, self.late, self.give_back]
        )

    def take(self) -> None:
        number = self.rng.randrange(NODES)
        self._drive(number, lambda duty: duty.acquire())

    def order(self) -> None:
        number = self.rng.randrange(NODES)
        duty = self.duties[number]
        if self._at(number, duty.held):
            self.orders.append(Order(self.now, duty.holder, duty.fence))

    def give_back(self) -> None:
        number = self.rng.randrange(NODES)
        self._drive(number, lambda duty: duty.release())

    def kill(self) -> None:
        number = self.rng.randrange(NODES)
        self.duties[number] = self._duty(number)

    def late(self) -> None:
        self.table.carry_out()

    def wait(self) -> None:
        self.now += self.rng.uniform(0.1, 1.5 * (LEASE_SECONDS + TURN))

    def check(self) -> None:
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            if before.holder != after.holder:
                gap = after.at - before.at
                assert gap >= TURN, f"{before} and {after} lie {gap:.2f} s apart"
                assert after.fence > before.fence, f"{after} after {before}"

    def ask(self, number: int) -> bool:
        """Let node `number` try to take the duty; return whether it holds it then."""
        self._drive(number, lambda duty: duty.acquire())
        held: bool = self._at(number, self.duties[number].held)
        return held

    def _duty(self, number: int) -> DutyLease:
        holder = f"n{number}"
        return DutyLease(
            name="weights",
            holder=holder,
            platform=self.table,  # type: ignore[arg-type]
            takeover_seconds=self.turn,
        )

    def _at(self, number: int, ask: Callable[[], Any]) -> Any:
        """Return what `ask` answers on the clock of node `number`."""
        loop = mock.Mock()
        loop.time = lambda: self.now + self.skew[number]
        with mock.patch("asyncio.get_running_loop", return_value=loop):
            return ask()

    def _drive(self, number: int, call: Callable[[DutyLease], Coroutine[Any, Any, Any]]) -> None:
        """Run a call of a node to its end; the table never really waits."""

        def run() -> None:
            try:
                call(self.duties[number]).send(None)
            except (StopIteration, RemoteCallError):
                return
            raise AssertionError("the call waits for something")

        self._at(number, run)


class _HastyWalk(DutyWalk):
    turn = 0.0


@mock.patch("fielddrift_node.serving.duty._log", mock.Mock())
class DutyWalkTest(unittest.TestCase):
    def test_orders_of_two_holders_lie_a_turn_apart_and_fences_rise(self) -> None:
        explore(DutyWalk, examples=EXAMPLES)

    def test_without_the_turn_the_walk_finds_it(self) -> None:
        with self.assertRaises(AssertionError):
            explore(_HastyWalk, examples=EXAMPLES)


class _SureRandom(random.Random):
    """Calls that take no time and are never lost."""

    def random(self) -> float:
        return 1.0

    def uniform(self, a: float, b: float) -> float:
        return 0.0


@mock.patch("fielddrift_node.serving.duty._log", mock.Mock())
class WaitingTest(unittest.TestCase):
    """A node that waits for another's duty asks the store for it seldom, and takes it in time.

    What happened: the second in line read the row ten times a second from when it
    stood in until the rollout was over or a dead holder's turn was: 46 readings
    for one holder that died, as many for each node in line.
    """

    def setUp(self) -> None:
        self.walk = DutyWalk(_SureRandom())

    def _until_taken(self, number: int) -> float:
        began = self.walk.now
        while not self.walk.ask(number):
            self.walk.now += 0.1
            self.assertLess(self.walk.now, began + 2 * (LEASE_SECONDS + TURN))
        return self.walk.now - began

    def test_after_a_holder_s_death_it_is_taken_as_soon_as_the_turn_is_over(self) -> None:
        self.walk.ask(0)
        self.assertAlmostEqual(self._until_taken(1), LEASE_SECONDS + TURN + 0.3, delta=0.11)
        self.assertLessEqual(self.walk.table.readings, 1 + 3)

    def test_after_it_was_given_back_as_well(self) -> None:
        self.walk.ask(0)
        self.assertFalse(self.walk.ask(1))
        self.walk.now += 0.2
        self.walk._drive(0, lambda duty: duty.release())
        self.assertAlmostEqual(self._until_taken(1), TURN + 0.3, delta=0.11)
        self.assertLessEqual(self.walk.table.readings, 1 + 3)

    def test_beside_a_holder_that_lives_it_is_asked_for_once_a_turn(self) -> None:
        for _ in range(100):
            self.walk.ask(0)
            self.assertFalse(self.walk.ask(1))
            self.walk.now += 0.1
        self.assertLessEqual(self.walk.table.readings, 1 + 4)
