"""Assign duties to nodes by leases in the platform's table.

Leases only avoid duplicate work; they do not guarantee mutual exclusion.  A holder
measures its lease on its own monotonic clock, from before the renewal was sent.
A contender takes a lease over after it has seen the row unchanged for the whole
lease duration on its own clock.  Clocks of different nodes are never compared.
Each new grant increments the fencing token (`fence`), which all orders contain.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LEASE_SECONDS", "RENEW_INTERVAL_SECONDS", "Lease", "LeaseRow"]

LEASE_SECONDS = 6.0
RENEW_INTERVAL_SECONDS = 2.0


class LeaseRow(NamedTuple):
    """A lease as it is stored in the table; each renewal increments `renewals`."""

    duty: str
    holder: str
    fence: int
    renewals: int


class Lease:
    """The lease of one duty as seen by one node.

    `next_row` returns the row to write, conditional on the row that was read; call
    `confirm` when the write is known to have taken effect.
    """

    def __init__(self, *, duty: str, holder: str, duration: float = LEASE_SECONDS) -> None:
        self._duty = duty
        self._holder = holder
        self._duration = duration
        self._seen: LeaseRow | None = None
        self._seen_at = 0.0
        self._expires_at = float("-inf")
        self._fence = 0

    @property
    def duty(self) -> str:
        """Return the duty's name."""
        return self._duty

    @property
    def fence(self) -> int:
        """Return the fencing token of the last confirmed lease."""
        return self._fence

    def held(self, now: float) -> bool:
        """Return whether this node certainly holds the lease at `now`."""
        return now < self._expires_at

    def next_row(self, row: LeaseRow | None, now: float) -> LeaseRow | None:
        """Return the row that is to replace `row`, None while another node may hold the lease."""
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
        # A lease that expired gets a new token, so that orders sent before are refused.
        fence = row.fence if self.held(now) else row.fence + 1
        return LeaseRow(self._duty, self._holder, fence, row.renewals + 1)

    def confirm(self, row: LeaseRow, sent_at: float) -> None:
        """Start the lease of `row` at `sent_at`, a time before the write of `row` was sent."""
        self._fence = row.fence
        self._expires_at = sent_at + self._duration

    def release(self) -> LeaseRow:
        """Give up the lease; return the row that makes it available to other nodes at once."""
        self._expires_at = float("-inf")
        return LeaseRow(self._duty, "", self._fence, 0)
