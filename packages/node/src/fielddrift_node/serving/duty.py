"""Hold the lease of a duty in the platform's table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import structlog
from fielddrift_core.eras import version_of
from fielddrift_core.rollout import (
    LEASE_SECONDS,
    DutyRow,
    StoreClock,
    earliest_takeover,
    may_take_over,
    next_check,
)

from .ports import Platform, RemoteCallError, RowWrite

__all__ = ["Duty"]

TABLE = "duties"
_RENEW_PART = 0.5
"""Part of the lease after which it is renewed."""
_ORDER_MARGIN = 0.15
"""Seconds before its end at which a lease is no longer used: an order takes some ms."""

_log = structlog.get_logger()


class Duty:
    """One duty, from the view of one node; `holder` names the machine."""

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        platform: Platform,
        turn: float,
        era_since: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._name = name
        self._holder = holder
        self._platform = platform
        self._turn = turn
        self._era_since = era_since
        """Tells when this node first met the era that the store is in."""
        self._era = 0
        """The era in which the lease was granted."""
        self._row_version = 0
        self._clock: StoreClock | None = None
        self._until = float("-inf")
        self._renew_at = float("-inf")
        self._fence = 0
        self._look_at = float("-inf")

    @property
    def fence(self) -> int:
        """Return the fence of the last grant; later grants have higher ones."""
        return self._fence

    @property
    def holder(self) -> str:
        """Return the name under which this machine holds duties."""
        return self._holder

    def held(self) -> bool:
        """Return whether orders may be given now."""
        # A store that went back knows nothing of the lease, and may grant it to another.
        same_era = self._era == self._platform.era
        return same_era and asyncio.get_running_loop().time() < self._until - _ORDER_MARGIN

    async def take(self) -> bool:
        """Take or renew the lease; raise `RemoteCallError`."""
        loop = asyncio.get_running_loop()
        if self.held() and loop.time() < self._renew_at:
            return True
        if loop.time() < self._look_at:
            return False
        if not self.held() or self._clock is None:
            row = await self._read()
            assert self._clock is not None
            now = loop.time()
            clock = self._clock
            if (row is None or row.era != self._platform.era) and self._platform.era:
                # What was granted before the return stands in no row.
                first = earliest_takeover(self._era_since(), turn=self._turn)
                if now < first:
                    self._look_at = first
                    return False
            if not may_take_over(row, holder=self._holder, clock=clock, now=now, turn=self._turn):
                assert row is not None
                # Readings until then would find the same, and take calls from all nodes.
                self._look_at = next_check(row, clock=clock, turn=self._turn)
                return False
        return await self._write()

    async def give_back(self) -> None:
        """Let a successor begin a turn from now, not from the lease's end."""
        if not self.held() or self._clock is None:
            return
        now = asyncio.get_running_loop().time()
        until = self._clock.clock + (now - self._clock.sent)
        row = DutyRow(self._holder, until, self._platform.era)
        self._until = float("-inf")
        await self._put(row)
        _log.info("duty given back", duty=self._name, fence=self._fence)

    async def _read(self) -> DutyRow | None:
        loop = asyncio.get_running_loop()
        sent = loop.time()
        rows, clock = await self._platform.rows(TABLE)
        self._clock = StoreClock(clock, sent, loop.time())
        for saved in rows:
            if saved.key == self._name:
                self._row_version = saved.version
                return msgspec.json.decode(saved.value, type=DutyRow)
        self._row_version = 0
        return None

    async def _write(self) -> bool:
        assert self._clock is not None
        loop = asyncio.get_running_loop()
        sent = loop.time()
        until = self._clock.earliest(sent) + LEASE_SECONDS
        was_held = self.held()
        try:
            done = await self._put(DutyRow(self._holder, until, self._platform.era))
        except RemoteCallError:
            # The write may have been done; the row tells at the next reading.
            self._until = float("-inf")
            raise
        if not done:
            self._until = float("-inf")
            return False
        self._era = self._platform.era
        self._until = self._clock.local(until)
        self._renew_at = sent + LEASE_SECONDS * _RENEW_PART
        if not was_held:
            _log.info("duty taken", duty=self._name, fence=self._fence)
        return True

    async def _put(self, row: DutyRow) -> bool:
        write = RowWrite(self._name, msgspec.json.encode(row), self._row_version)
        outcome = await self._platform.write(TABLE, [write])
        if not outcome.done:
            _log.info("duty lost", duty=self._name, row=version_of(self._row_version))
            return False
        self._row_version = outcome.version
        self._fence = outcome.version
        return True
