"""Read and write the nodes' own rows in one table of the platform, and follow its clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

import msgspec
import structlog
from fielddrift_core.outside_values import decoded
from fielddrift_core.rollout import StoreClock

from .feeds import Backoff
from .ports import Platform, RemoteCallError, RowWrite, SavedRow, WriteOutcome

__all__ = ["RowTable"]

_MAX_CLOCK_AGE_SECONDS = 60.0
"""Maximum age of a reading of the platform's clock from which the current time is extrapolated. The
steady clocks of two hosts drift apart by about 50 ppm: 3 ms in this time, 4 s in a day."""
_MAX_BACKOFF_SECONDS = 1.0

_log = structlog.get_logger()
_T = TypeVar("_T")


class RowTable:
    """The rows in the table `name`; `what` names them in log lines.

    `max_backoff_seconds` bounds the time between attempts while the platform gives no answer.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        name: str,
        what: str,
        rng: random.Random,
        max_backoff_seconds: float = _MAX_BACKOFF_SECONDS,
    ) -> None:
        self._platform = platform
        self._name = name
        self._what = what
        self._max_backoff_seconds = max_backoff_seconds
        self._backoff = Backoff(what=what, rng=rng)
        self._clock: StoreClock | None = None

    @property
    def clock(self) -> StoreClock | None:
        """Return the last reading of the platform's clock, None before the first."""
        return self._clock

    def recent_clock(self) -> StoreClock | None:
        """Return the last reading if the current time can be extrapolated from it, else None."""
        now = asyncio.get_running_loop().time()
        clock = self._clock
        return clock if clock is not None and now - clock.heard <= _MAX_CLOCK_AGE_SECONDS else None

    def forget_clock(self) -> None:
        """Forget the reading of the clock, so that the rows are read before the next write."""
        self._clock = None

    async def read(self) -> list[SavedRow]:
        """Return all rows; raise `RemoteCallError`."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        rows, platform_time = await self._platform.rows(self._name)
        self._clock = StoreClock(platform_time, sent, loop.time())
        return rows

    async def write(self, writes: Sequence[RowWrite]) -> WriteOutcome:
        """Write rows atomically and return the outcome; raise `RemoteCallError`."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        outcome = await self._platform.write(self._name, writes)
        if outcome.done:
            self._clock = StoreClock(outcome.clock, sent, loop.time())
        return outcome

    def decode(self, row: SavedRow, kind: type[_T]) -> _T | None:
        """Return the decoded value of `row`, None if it cannot be decoded."""
        try:
            return decoded(msgspec.json.Decoder(kind), row.value)
        except msgspec.DecodeError as error:
            _log.error("row cannot be decoded", what=self._what, row=row.key, error=str(error))
            return None

    async def attempt(self, work: Callable[[], Coroutine[Any, Any, None]]) -> bool:
        """Run `work` once and return whether it succeeded; otherwise wait before returning."""
        try:
            await work()
        except RemoteCallError as error:
            await self._backoff.failed(error, max_seconds=self._max_backoff_seconds)
            return False
        self._backoff.succeeded()
        return True

    async def retry(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run `work` until it succeeds."""
        while not await self.attempt(work):
            pass
