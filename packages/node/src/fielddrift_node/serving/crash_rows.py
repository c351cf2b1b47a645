"""Persist in the platform's table which requests are held back, to survive a restart of all nodes.

Each row holds the crashes of one request. The first node writes the rows for all nodes; every node
reads them once when it starts. Times in the rows are on the platform's steady clock.
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

from .feeds import Backoff
from .ports import Platform, RemoteCallError, RowWrite, SavedRow
from .views import Views

__all__ = ["CrashRows"]

TABLE = "crashes"
_POLL_SECONDS = 0.25
"""Polling interval for changes to save. A power loss within this time loses the change."""
_MAX_CLOCK_AGE_SECONDS = 60.0
"""Maximum age of a reading of the platform's clock from which the current time is extrapolated."""
_MAX_WRITE_COUNT = 40
"""Rows per call; the platform accepts 100 entries per call."""
_MAX_BACKOFF_SECONDS = 6.0
"""Maximum backoff in an outage of the store. Nothing waits for these rows."""

_log = structlog.get_logger()


class _SavedCrash(NamedTuple):
    target: str
    at: float
    ran: float


class _CrashRow(TypedDict):
    """The crashes of one request; fields may be added."""

    crashes: list[_SavedCrash]


class CrashRows:
    """Load the requests that are held back, and save changes while this node is `first`."""

    def __init__(
        self, *, platform: Platform, views: Views, first: Callable[[], bool], rng: random.Random
    ) -> None:
        self._platform = platform
        self._history = views.crashes
        self._first = first
        self._saved: dict[str, int] = {}
        """Number of crashes in each row, by request."""
        self._clock: StoreClock | None = None
        self._saved_valid = False
        """Whether `_saved` matches the rows, which is so while no other node writes them."""
        self._store_restored = False
        self._backoff = Backoff(what="rows of crashes", rng=rng)

    def mark_store_restored(self) -> None:
        """Handle a store restored from a backup: rows written since that backup must be saved
        again."""
        self._store_restored = True

    async def run(self) -> None:
        """Load the rows, then save changes, until cancelled."""
        await self._retry(self._read)
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            if not self._first():
                self._saved_valid = self._store_restored = False
            elif self._store_restored:
                self._store_restored = False
                await self._retry(self._read)
            elif self._changes():
                await self._retry(self._save)

    async def _retry(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await work()
                self._backoff.succeeded()
                return
            except RemoteCallError as error:
                await self._backoff.failed(error, max_seconds=_MAX_BACKOFF_SECONDS)

    def _changes(self) -> list[str]:
        """Return the requests whose rows are out of date; rows to remove come last."""
        held = self._history.suspects
        outdated = [n for n in held if self._saved.get(n) != len(self._history.crashes_of(n))]
        return [*outdated, *(name for name in self._saved if name not in held)]

    async def _save(self) -> None:
        if not self._saved_valid or self._clock_age() > _MAX_CLOCK_AGE_SECONDS:
            # Another node may have been the first one in the meantime and written rows.
            await self._read()
        changes = self._changes()[:_MAX_WRITE_COUNT]
        if not changes or self._clock is None:
            return
        held = self._history.suspects
        crashes = {name: self._history.crashes_of(name) if name in held else () for name in changes}
        writes = [RowWrite(name, self._encode(crashes[name])) for name in changes]
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

    def _encode(self, crashes: Sequence[Crash]) -> bytes | None:
        """Return the encoded row, None if the row is to be removed."""
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
        rows, platform_time = await self._platform.rows(TABLE)
        self._clock = clock = StoreClock(platform_time, sent, loop.time())
        self._saved = {}
        for row in rows:
            self._load_row(row, clock)
        self._saved_valid = True
        if rows:
            _log.info("crashes read", requests=sorted(self._saved))

    def _load_row(self, row: SavedRow, clock: StoreClock) -> None:
        try:
            crashes = msgspec.json.decode(row.value, type=_CrashRow)["crashes"]
        except msgspec.DecodeError as error:
            _log.error("row of crashes cannot be decoded", row=row.key, error=str(error))
            crashes = []
        self._saved[row.key] = len(crashes)
        for target, at, ran in crashes:
            self._history.record_crash(Crash(row.key, target, clock.heard + at - clock.clock, ran))
