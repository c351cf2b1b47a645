"""Share out duties by leases in the platform's table.

A lease only spares work.  A holder counts its lease from before the renewal
was sent, on its own monotonic clock; a contender takes a lease over after it
has seen the row unchanged for the whole span on its own clock.  No clocks are
compared.  Every grant raises the fence, which all orders carry.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LEASE_SECONDS", "Lease", "LeaseRow", "RENEW_INTERVAL_SECONDS"]

LEASE_SECONDS = 6.0
RENEW_INTERVAL_SECONDS = 2.0


class LeaseRow(NamedTuple):
    """A lease as it is kept in the table; each renewal raises `renewals`."""

    duty: str
    holder: str
    fence: int
    renewals: int


class Lease:
    """Follow one duty's lease from the view of one node.

    Call `next_row` to learn which row to write (conditional on the row read), and
    `confirm` once the write is known to have taken effect.
    """

    def __init__(self, *, duty: str, holder: str, duration: float = LEASE_SECONDS) -> None:
        self._duty = duty
        self._holder = holder
        self._duration = duration
        self._seen: LeaseRow | None = None
        self._seen_at = 0.0
        self._until = float("-inf")
        self._fence = 0

    @property
    def duty(self) -> str:
        """Return the duty's name."""
        return self._duty

    @property
    def fence(self) -> int:
        """Return the fence of the last grant."""
        return self._fence

    def held(self, now: float) -> bool:
        """Return whether the lease is surely this node's at `now`."""
        return now < self._until

    def next_row(self, row: LeaseRow | None, now: float) -> LeaseRow | None:
        """Return the row to write over `row`, or None to wait."""
        if row is None:
            return LeaseRow(self._duty, self._holder, 1, 0)
        if row.holder == self._holder:
            return self._renewal(row, now)
        if row != self._seen:
            self._seen = row
            self._seen_at = now
            return None
        if row.holder and now - self._seen_at < self._duration:
            return None
        return LeaseRow(self._duty, self._holder, row.fence + 1, 0)

    def _renewal(self, row: LeaseRow, now: float) -> LeaseRow:
        # A lapsed lease is taken anew: orders sent before the lapse must lose.
        fence = row.fence if self.held(now) else row.fence + 1
        return LeaseRow(self._duty, self._holder, fence, row.renewals + 1)

    def confirm(self, row: LeaseRow, sent_at: float) -> None:
        """Count the lease from `sent_at`, before the write of `row` was sent."""
        self._fence = row.fence
        self._until = sent_at + self._duration

    def release(self) -> LeaseRow:
        """Stop holding; return the row that frees the lease for others at once."""
        self._until = float("-inf")
        return LeaseRow(self._duty, "", self._fence, 0)
