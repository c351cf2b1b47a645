"""Persist in the platform's table which requests are held back, to survive a restart of all nodes.

Each row holds the crashes of one request. The first node writes the rows for all nodes; every node
reads them once when it starts. Times in the rows are on the platform's steady clock.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypedDict

import msgspec
import structlog
from fielddrift_core.crashes import Crash
from fielddrift_core.outside_values import Finite
from fielddrift_core.rollout import StoreClock

from .ports import Platform, RowWrite, SavedRow
from .row_table import RowTable
from .views import Views

__all__ = ["CrashRows"]

TABLE = "crashes"
_POLL_SECONDS = 0.25
"""Polling interval for changes to save. A power loss within this time loses the change."""
_MAX_WRITE_COUNT = 40
"""Rows per call; the platform accepts 100 entries per call."""
_MAX_BACKOFF_SECONDS = 6.0
"""Maximum backoff in an outage of the store. Nothing waits for these rows."""

_log = structlog.get_logger()


class _SavedCrash(NamedTuple):
    target: str
    at: Finite
    ran: Finite


class _CrashRow(TypedDict):
    """The crashes of one request; fields may be added."""

    crashes: list[_SavedCrash]


class CrashRows:
    """Load the requests that are held back, and save changes while this node is `first`."""

    def __init__(
        self, *, platform: Platform, views: Views, first: Callable[[], bool], rng: random.Random
    ) -> None:
        self._table = RowTable(
            platform=platform,
            name=TABLE,
            what="rows of crashes",
            rng=rng,
            max_backoff_seconds=_MAX_BACKOFF_SECONDS,
        )
        self._history = views.crashes
        self._first = first
        self._saved: dict[str, int] = {}
        """Number of crashes in each row, by request."""
        self._saved_valid = False
        """Whether `_saved` matches the rows, which is so while no other node writes them."""
        self._store_restored = False

    def mark_store_restored(self) -> None:
        """Handle a store restored from a backup: rows written since that backup must be saved
        again."""
        self._store_restored = True

    async def run(self) -> None:
        """Load the rows, then save changes, until cancelled."""
        await self._table.retry(self._read)
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            if not self._first():
                self._saved_valid = self._store_restored = False
            elif self._store_restored:
                self._store_restored = False
                await self._table.retry(self._read)
            elif self._changes():
                await self._table.retry(self._save)

    def _changes(self) -> list[str]:
        """Return the requests whose rows are out of date; rows to remove come last."""
        held = self._history.suspects
        outdated = [n for n in held if self._saved.get(n) != len(self._history.crashes_of(n))]
        return [*outdated, *(name for name in self._saved if name not in held)]

    async def _save(self) -> None:
        if not self._saved_valid or self._table.recent_clock() is None:
            # Another node may have been the first one in the meantime and written rows.
            await self._read()
        changes = self._changes()[:_MAX_WRITE_COUNT]
        clock = self._table.clock
        if not changes or clock is None:
            return
        held = self._history.suspects
        crashes = {name: self._history.crashes_of(name) if name in held else () for name in changes}
        writes = [RowWrite(name, self._encode(crashes[name], clock)) for name in changes]
        await self._table.write(writes)
        for name, found in crashes.items():
            if found:
                self._saved[name] = len(found)
            else:
                self._saved.pop(name, None)
        removed = [name for name, found in crashes.items() if not found]
        saved = [name for name in changes if name not in removed]
        _log.info("crashes saved", saved=saved, removed=removed)

    def _encode(self, crashes: Sequence[Crash], clock: StoreClock) -> bytes | None:
        """Return the encoded row, None if the row is to be removed."""
        if not crashes:
            return None
        saved = [
            _SavedCrash(crash.target, clock.clock + crash.at - clock.heard, crash.ran)
            for crash in crashes
        ]
        return msgspec.json.encode(_CrashRow(crashes=saved))

    async def _read(self) -> None:
        rows = await self._table.read()
        clock = self._table.clock
        assert clock is not None
        self._saved = {}
        for row in rows:
            self._load_row(row, clock)
        self._saved_valid = True
        if rows:
            _log.info("crashes read", requests=sorted(self._saved))

    def _load_row(self, row: SavedRow, clock: StoreClock) -> None:
        value = self._table.decode(row, _CrashRow)
        crashes = [] if value is None else value["crashes"]
        self._saved[row.key] = len(crashes)
        for target, at, ran in crashes:
            self._history.record_crash(Crash(row.key, target, clock.heard + at - clock.clock, ran))
