"""Hold the lease of a duty that one node at a time may perform, in the platform's table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import structlog
from fielddrift_core.eras import version_of
from fielddrift_core.outside_values import decoded
from fielddrift_core.rollout import (
    LEASE_SECONDS,
    DutyRow,
    StoreClock,
    earliest_takeover,
    may_take_over,
    next_check,
)

from .ports import Platform, RemoteCallError, RowWrite

__all__ = ["DutyLease"]

TABLE = "duties"
_RENEW_FRACTION = 0.5
"""Fraction of the lease after which it is renewed."""
_ORDER_MARGIN_SECONDS = 0.15
"""Time before its end at which a lease is no longer used; sending an order takes some ms."""

_ROW = msgspec.json.Decoder(DutyRow)
_log = structlog.get_logger()


class DutyLease:
    """The lease of one duty as one node sees it; `holder` names the machine.

    A node may acquire the lease of another holder only `takeover_seconds` after that lease has
    ended, because orders of the former holder may still be under way.
    """

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        platform: Platform,
        takeover_seconds: float,
        era_since: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._name = name
        self._holder = holder
        self._platform = platform
        self._takeover_seconds = takeover_seconds
        self._era_since = era_since
        """Returns when this node first saw the store's current era."""
        self._era = 0
        """The era in which the lease was granted."""
        self._row_version = 0
        self._clock: StoreClock | None = None
        self._until = float("-inf")
        self._renew_at = float("-inf")
        self._fence = 0
        self._next_read_at = float("-inf")

    @property
    def fence(self) -> int:
        """Return the fencing token of the last grant; later grants have higher ones."""
        return self._fence

    @property
    def holder(self) -> str:
        """Return the name under which this machine holds leases."""
        return self._holder

    def held(self) -> bool:
        """Return whether this node holds the lease and may give orders now."""
        # A store restored from a backup does not know the lease and may grant it to another node.
        same_era = self._era == self._platform.era
        return same_era and asyncio.get_running_loop().time() < self._until - _ORDER_MARGIN_SECONDS

    async def acquire(self) -> bool:
        """Acquire or renew the lease and return whether it is held; raise `RemoteCallError`."""
        loop = asyncio.get_running_loop()
        if self.held() and loop.time() < self._renew_at:
            return True
        if loop.time() < self._next_read_at:
            return False
        if not self.held() or self._clock is None:
            row = await self._read()
            assert self._clock is not None
            now = loop.time()
            clock = self._clock
            if (row is None or row.era != self._platform.era) and self._platform.era:
                # The row of a lease that was granted before the store was restored is lost.
                earliest = earliest_takeover(
                    self._era_since(), takeover_delay=self._takeover_seconds
                )
                if now < earliest:
                    self._next_read_at = earliest
                    return False
            if not may_take_over(
                row,
                holder=self._holder,
                clock=clock,
                now=now,
                takeover_delay=self._takeover_seconds,
            ):
                assert row is not None
                # Reading earlier gives the same result and costs a call per node.
                self._next_read_at = next_check(
                    row, clock=clock, takeover_delay=self._takeover_seconds
                )
                return False
        return await self._write_lease()

    async def release(self) -> None:
        """Release the lease, so that a successor waits from now instead of from the lease's end."""
        if not self.held() or self._clock is None:
            return
        now = asyncio.get_running_loop().time()
        until = self._clock.clock + (now - self._clock.sent)
        row = DutyRow(self._holder, until, self._platform.era)
        self._until = float("-inf")
        await self._write_row(row)
        _log.info("duty given back", duty=self._name, fence=self._fence)

    async def _read(self) -> DutyRow | None:
        loop = asyncio.get_running_loop()
        sent = loop.time()
        rows, clock = await self._platform.rows(TABLE)
        self._clock = StoreClock(clock, sent, loop.time())
        for saved in rows:
            if saved.key == self._name:
                self._row_version = saved.version
                return self._decode(saved.value)
        self._row_version = 0
        return None

    def _decode(self, value: bytes) -> DutyRow:
        try:
            return decoded(_ROW, value)
        except msgspec.DecodeError as error:
            # A holder of a later release may have written it, so it is not taken over.
            raise RemoteCallError(f"row of duty {self._name}: {error}") from None

    async def _write_lease(self) -> bool:
        assert self._clock is not None
        loop = asyncio.get_running_loop()
        sent = loop.time()
        until = self._clock.earliest(sent) + LEASE_SECONDS
        was_held = self.held()
        try:
            done = await self._write_row(DutyRow(self._holder, until, self._platform.era))
        except RemoteCallError:
            # The write may have been applied; the next reading of the row shows it.
            self._until = float("-inf")
            raise
        if not done:
            self._until = float("-inf")
            return False
        self._era = self._platform.era
        self._until = self._clock.local(until)
        self._renew_at = sent + LEASE_SECONDS * _RENEW_FRACTION
        if not was_held:
            _log.info("duty taken", duty=self._name, fence=self._fence)
        return True

    async def _write_row(self, row: DutyRow) -> bool:
        write = RowWrite(self._name, msgspec.json.encode(row), self._row_version)
        outcome = await self._platform.write(TABLE, [write])
        if not outcome.done:
            _log.info("duty lost", duty=self._name, row=version_of(self._row_version))
            return False
        self._row_version = outcome.version
        self._fence = outcome.version
        return True
