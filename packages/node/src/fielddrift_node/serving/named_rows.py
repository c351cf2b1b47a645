"""Persist in the platform's table when weights were named, to survive a restart of all nodes.

There is one row per model, with times on the platform's steady clock. Every clock error makes a
recorded time earlier, so that no node uses older weights for longer than allowed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypedDict

import msgspec
import structlog
from fielddrift_core.eras import version_of
from fielddrift_core.outside_values import Count, Finite
from fielddrift_core.rollout import StoreClock, times_to_save

from .ports import Platform, RowWrite, SavedRow
from .row_table import RowTable
from .views import Views

__all__ = ["NamedRows"]

TABLE = "namings"
_MIN_UNSAVED_AGE_SECONDS = 2.5
"""Minimum age assumed for a version that a node finds at its start without a saved time. It was
named while no node ran or just before all nodes ended. After a power loss the nodes restart within
this time."""
_MAX_WRITE_ATTEMPTS = 3
"""Attempts to write a row when writes of other nodes conflict."""

_log = structlog.get_logger()


class _NamedRow(TypedDict):
    """When each version was named, in seconds on the platform's clock; fields may be added."""

    times: dict[Count, Finite]


class _Saved(NamedTuple):
    times: Mapping[int, float]
    version: int


_ABSENT = _Saved({}, 0)


class NamedRows:
    """Load the times at which weights were named, and save the time of each new version once.

    `is_reader` returns whether this node itself reads the operators' rows from the platform.
    """

    def __init__(
        self, *, platform: Platform, views: Views, is_reader: Callable[[], bool], rng: random.Random
    ) -> None:
        self._table = RowTable(platform=platform, name=TABLE, what="rows of named weights", rng=rng)
        self._views = views
        self._is_reader = is_reader
        self._saved: dict[str, _Saved] = {}
        self._rows_read = asyncio.Event()

    def schedule_save(self) -> None:
        """Schedule a save after the operators' rows were read and may have changed."""
        if self._views.catalog is not None:
            self._rows_read.set()

    def mark_store_restored(self) -> None:
        """Handle a store restored from a backup: rows written since that backup must be saved
        again."""
        self._table.forget_clock()
        self._saved = {}
        self.schedule_save()

    async def run(self) -> None:
        """Load the rows once, then save new times, until cancelled."""
        await self.load()
        while True:
            await self._rows_read.wait()
            self._rows_read.clear()
            if not await self._table.attempt(self._save_read_versions):
                self._rows_read.set()

    async def load(self) -> None:
        """Load the rows once, if weights were named before this node started.

        Meanwhile the node serves requests, with the time of its own first reading.
        """
        await self._rows_read.wait()
        found = dict(self._views.named)
        while found and self._table.clock is None:
            await self._table.attempt(self._read)
        self._apply_minimum_age(found)

    def _apply_minimum_age(self, found: Mapping[str, int]) -> None:
        """Assume a minimum age for versions that were found at the start without a saved time."""
        now = asyncio.get_running_loop().time()
        for model, version in found.items():
            if version not in self._saved.get(model, _ABSENT).times:
                self._views.named_times.heard(model, version, now - _MIN_UNSAVED_AGE_SECONDS)

    async def _save_read_versions(self) -> None:
        """Save at once the versions that this node read from the platform itself.

        Nodes that restart before the save do not know how old a version is.
        """
        if self._is_reader():
            for model in self._views.named:
                saved = self._saved.get(model, _ABSENT).times
                if not self._views.named_times.newest(model).keys() <= saved.keys():
                    await self.save(model)

    async def save(self, model: str) -> None:
        """Save the times of the versions of `model` unless saved; raise `RemoteCallError`."""
        for _ in range(_MAX_WRITE_ATTEMPTS):
            clock = await self._recent_clock()
            saved = self._saved.get(model, _ABSENT)
            own = self._views.named_times.newest(model)
            times = times_to_save(own, saved=saved.times, clock=clock)
            if times is None or await self._write(model, times, saved.version):
                return
            # Another node has written the row; read it again to see which times are missing.
            self._table.forget_clock()
        _log.warning("namings not saved", model=model, tries=_MAX_WRITE_ATTEMPTS)

    async def _recent_clock(self) -> StoreClock:
        clock = self._table.recent_clock()
        if clock is None:
            await self._read()
            clock = self._table.clock
            assert clock is not None
        return clock

    async def _write(self, model: str, times: dict[int, float], expect: int) -> bool:
        value = msgspec.json.encode(_NamedRow(times=times))
        outcome = await self._table.write([RowWrite(model, value, expect)])
        if not outcome.done:
            return False
        self._saved[model] = _Saved(times, outcome.version)
        _log.info(
            "namings saved", model=model, versions=sorted(times), row=version_of(outcome.version)
        )
        return True

    async def _read(self) -> None:
        rows = await self._table.read()
        clock = self._table.clock
        assert clock is not None
        # Forget removed rows: a write that expects the version of a removed row never succeeds.
        self._saved = {}
        for row in rows:
            self._load_row(row, clock)

    def _load_row(self, row: SavedRow, clock: StoreClock) -> None:
        value = self._table.decode(row, _NamedRow)
        times = {} if value is None else value["times"]
        self._saved[row.key] = _Saved(times, row.version)
        self._views.named_times.restore(row.key, times, clock)
        ages = {str(version): round(clock.clock - at, 3) for version, at in times.items()}
        _log.info("namings read", model=row.key, seconds=ages, row=version_of(row.version))
