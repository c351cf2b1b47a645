"""Leases: paused holders, lapsed leases and fences."""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest import mock

from fielddrift_core.leases import LEASE_SECONDS, Lease, LeaseRow
from fielddrift_node.leasing import Leases

from .fakes import FakeTable
from .machines import Walk, explore


class LeaseWalk(Walk):
    """Three nodes on clocks of their own contend; one order may come out late."""

    checks_fence = True

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.now = 0.0
        self.skew = [rng.uniform(0, 1000) for _ in range(3)]
        self.leases = [Lease(duty="d", holder=f"n{n}") for n in range(3)]
        self.row: LeaseRow | None = None
        self.paused_orders: list[LeaseRow] = []
        self.target_fence = 0
        self.accepted: list[tuple[int, str]] = []

    def moves(self) -> list[Any]:
        return [self.turn] * 5 + [self.order] * 3 + [self.pause_with_order, self.wake, self.wait]

    def turn(self) -> None:
        number = self.rng.randrange(3)
        lease, now = self.leases[number], self.now + self.skew[number]
        new_row = lease.next_row(self.row, now)
        if new_row is not None and self.rng.random() < 0.9:
            self.row = new_row
            if self.rng.random() < 0.9:
                lease.confirm(new_row, now)

    def order(self) -> None:
        number = self.rng.randrange(3)
        if self.leases[number].held(self.now + self.skew[number]):
            self._arrive(LeaseRow("d", f"n{number}", self.leases[number].fence, 0))

    def pause_with_order(self) -> None:
        number = self.rng.randrange(3)
        if self.leases[number].held(self.now + self.skew[number]):
            fence = self.leases[number].fence
            self.paused_orders.append(LeaseRow("d", f"n{number}", fence, 0))

    def wake(self) -> None:
        if self.paused_orders:
            self._arrive(self.paused_orders.pop(0))

    def wait(self) -> None:
        self.now += self.rng.uniform(0.5, 1.2 * LEASE_SECONDS)

    def check(self) -> None:
        fences = [fence for fence, _ in self.accepted]
        assert fences == sorted(fences), f"an old order won: {self.accepted}"
        holders = dict(self.accepted)
        assert all(holders[f] == h for f, h in self.accepted), f"two holders: {self.accepted}"
        held = [x for n, x in enumerate(self.leases) if x.held(self.now + self.skew[n])]
        assert len({x.fence for x in held}) == len(held), "two nodes hold one fence"

    def _arrive(self, order: LeaseRow) -> None:
        if self.checks_fence and order.fence < self.target_fence:
            return
        self.target_fence = max(self.target_fence, order.fence)
        self.accepted.append((order.fence, order.holder))


class _UncheckedWalk(LeaseWalk):
    checks_fence = False


class LeaseTest(unittest.TestCase):
    def test_an_old_order_never_wins_at_a_checking_target(self) -> None:
        explore(LeaseWalk)

    def test_without_the_targets_check_an_old_order_wins(self) -> None:
        with self.assertRaisesRegex(Exception, "old order won|two holders"):
            explore(_UncheckedWalk)

    def test_without_raising_the_fence_two_holders_share_one(self) -> None:
        original = Lease.next_row

        def same_fence(lease: Lease, row: LeaseRow | None, now: float) -> LeaseRow | None:
            new_row = original(lease, row, now)
            return new_row._replace(fence=1) if new_row else None

        with (
            mock.patch.object(Lease, "next_row", same_fence),
            self.assertRaisesRegex(Exception, "two"),
        ):
            explore(LeaseWalk)

    def test_validity_counts_from_before_the_renewal_was_sent(self) -> None:
        lease = Lease(duty="d", holder="n")
        row = lease.next_row(None, 100.0)
        assert row is not None
        lease.confirm(row, 100.0)
        self.assertTrue(lease.held(100.0 + LEASE_SECONDS - 0.01))
        self.assertFalse(lease.held(100.0 + LEASE_SECONDS))

    def test_a_lease_given_back_is_taken_at_the_next_look(self) -> None:
        table = FakeTable()
        first, second = (Leases(table=table, holder=name) for name in ("a", "b"))
        first.renew(["d"])
        self.assertEqual(first.held(), ["d"])
        second.renew(["d"])
        first.release_all()
        second.renew(["d"])
        second.renew(["d"])
        self.assertEqual((first.held(), second.held()), ([], ["d"]))
        self.assertEqual(second.fence("d"), 2)
