"""Keep in the platform's table which requests are held back, beyond the life of every node.

A row a request, written by the first node for all; each node reads them once at its start.
Times are those of the platform's steady clock.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple, TypedDict

import msgspec
import structlog
from fielddrift_core.crashes import Crash
from fielddrift_core.rollout import StoreClock

from .feeds import Rests
from .ports import OutOfReach, Platform, RowWrite, SavedRow
from .views import Views

__all__ = ["CrashRows"]

TABLE = "crashes"
_LOOK_SECONDS = 0.25
"""How soon what is held back is saved: a loss of power soon after may still forget it."""
_CLOCK_SECONDS = 60.0
"""Age up to which a reading of the platform's clock is counted on from."""
_MOST_WRITES = 40
"""Rows of one call: the platform takes 100 entries a call."""
_LONGEST_REST = 6.0
"""Rests grow to this in an outage of the store: nothing waits for these rows."""

_log = structlog.get_logger()


class _SavedCrash(NamedTuple):
    target: str
    at: float
    ran: float


class _CrashRow(TypedDict):
    """The crashes of one request; fields may be added."""

    crashes: list[_SavedCrash]


class CrashRows:
    """Read at the start which requests are held back, and save it where this node is `first`."""

    def __init__(
        self, *, platform: Platform, views: Views, first: Callable[[], bool], rng: random.Random
    ) -> None:
        self._platform = platform
        self._history = views.crashes
        self._first = first
        self._saved: dict[str, int] = {}
        """How many crashes each row has, by request."""
        self._clock: StoreClock | None = None
        self._current = False
        """Whether the rows are known as this node left them: no other has written since."""
        self._went_back = False
        self._rests = Rests(what="rows of crashes", rng=rng)

    def again(self) -> None:
        """Take that the store went back: what was saved since its copy must be written again."""
        self._went_back = True

    async def run(self) -> None:
        """Read the rows, then save what changes, until cancelled."""
        await self._retried(self._read)
        while True:
            await asyncio.sleep(_LOOK_SECONDS)
            if not self._first():
                self._current = self._went_back = False
            elif self._went_back:
                self._went_back = False
                await self._retried(self._read)
            elif self._changes():
                await self._retried(self._save)

    async def _retried(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await work()
                self._rests.worked()
                return
            except OutOfReach as error:
                await self._rests.failed(error, longest=_LONGEST_REST)

    def _changes(self) -> list[str]:
        """Return the requests whose rows are not as they should be, those to remove last."""
        held = self._history.suspects
        late = [n for n in held if self._saved.get(n) != len(self._history.crashes_of(n))]
        return [*late, *(name for name in self._saved if name not in held)]

    async def _save(self) -> None:
        if not self._current or self._clock_age() > _CLOCK_SECONDS:
            # Another node may have written as the first one before.
            await self._read()
        changes = self._changes()[:_MOST_WRITES]
        if not changes or self._clock is None:
            return
        held = self._history.suspects
        crashes = {name: self._history.crashes_of(name) if name in held else () for name in changes}
        writes = [RowWrite(name, self._encoded(crashes[name])) for name in changes]
        sent = asyncio.get_running_loop().time()
        outcome = await self._platform.write(TABLE, writes)
        self._clock = StoreClock(outcome.clock, sent, asyncio.get_running_loop().time())
        for name, found in crashes.items():
            if found:
                self._saved[name] = len(found)
            else:
                self._saved.pop(name, None)
        removed = [name for name, found in crashes.items() if not found]
        saved = [name for name in changes if name not in removed]
        _log.info("crashes saved", saved=saved, removed=removed)

    def _encoded(self, crashes: Sequence[Crash]) -> bytes | None:
        """Return a row's value, None for a row that goes."""
        if not crashes:
            return None
        clock = self._clock
        assert clock is not None
        saved = [
            _SavedCrash(crash.target, clock.clock + crash.at - clock.heard, crash.ran)
            for crash in crashes
        ]
        return msgspec.json.encode(_CrashRow(crashes=saved))

    def _clock_age(self) -> float:
        if self._clock is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self._clock.heard

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        sent = loop.time()
        rows, moment = await self._platform.rows(TABLE)
        self._clock = clock = StoreClock(moment, sent, loop.time())
        self._saved = {}
        for row in rows:
            self._take(row, clock)
        self._current = True
        if rows:
            _log.info("crashes read", requests=sorted(self._saved))

    def _take(self, row: SavedRow, clock: StoreClock) -> None:
        try:
            crashes = msgspec.json.decode(row.value, type=_CrashRow)["crashes"]
        except msgspec.DecodeError as error:
            _log.error("row of crashes not understood", row=row.key, error=str(error))
            crashes = []
        self._saved[row.key] = len(crashes)
        for target, at, ran in crashes:
            self._history.record_crash(Crash(row.key, target, clock.heard + at - clock.clock, ran))
