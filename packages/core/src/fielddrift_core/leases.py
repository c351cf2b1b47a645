"""Share out duties by leases in the platform's table.

A lease only spares work.  A holder counts its lease from before the renewal
was sent, on its own monotonic clock; a contender takes a lease over after it
has seen the row unchanged for the whole span on its own clock.  No clocks are
compared.  Every grant raises the fence, which all orders carry.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LEASE_SECONDS", "Lease", "LeaseRow", "RENEW_SECONDS"]

LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0


class LeaseRow(NamedTuple):
    """A lease as it is kept in the table; each renewal raises `beat`."""

    duty: str
    holder: str
    fence: int
    beat: int


class Lease:
    """Follow one duty's lease from the view of one node.

    Call `wish` to learn which row to write (conditional on the row read), and
    `granted` once the write is known to have taken effect.
    """

    def __init__(self, *, duty: str, holder: str, span: float = LEASE_SECONDS) -> None:
        self._duty = duty
        self._holder = holder
        self._span = span
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

    def wish(self, row: LeaseRow | None, now: float) -> LeaseRow | None:
        """Return the row to write over `row`, or None to wait."""
        if row is None:
            return LeaseRow(self._duty, self._holder, 1, 0)
        if row.holder == self._holder:
            return self._renewal(row, now)
        if row != self._seen:
            self._seen = row
            self._seen_at = now
            return None
        if row.holder and now - self._seen_at < self._span:
            return None
        return LeaseRow(self._duty, self._holder, row.fence + 1, 0)

    def _renewal(self, row: LeaseRow, now: float) -> LeaseRow:
        # A lapsed lease is taken anew: orders sent before the lapse must lose.
        fence = row.fence if self.held(now) else row.fence + 1
        return LeaseRow(self._duty, self._holder, fence, row.beat + 1)

    def granted(self, row: LeaseRow, sent_at: float) -> None:
        """Count the lease from `sent_at`, before the write of `row` was sent."""
        self._fence = row.fence
        self._until = sent_at + self._span

    def give_back(self) -> LeaseRow:
        """Stop holding; return the row that frees the lease for others at once."""
        self._until = float("-inf")
        return LeaseRow(self._duty, "", self._fence, 0)
