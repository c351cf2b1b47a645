"""Keep in the platform's table when weights were named, beyond the life of every node.

A row a model, timed by the platform's steady clock.  Every error of a reading
makes a naming earlier, so that no node sends to older weights for longer than
it may.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypedDict

import msgspec
import structlog
from fielddrift_core.eras import version_of
from fielddrift_core.rollout import StoreClock, times_to_save

from .feeds import Rests
from .ports import OutOfReach, Platform, RowWrite, SavedRow
from .views import Views

__all__ = ["NamedRows"]

TABLE = "namings"
_CLOCK_SECONDS = 60.0
"""Age up to which a reading of the platform's clock is counted on from: two hosts' steady
clocks drift apart by some 50 ppm, 3 ms in this time and 4 s in a day."""
_UNSAVED_SECONDS = 2.5
"""Least age of a version that a node finds at its start and nobody saved: it was named while
no node lived, or just before they all ended.  After a loss of power they are back in time."""
_MOST_TRIES = 3
"""Writes of one row in a row that another node's write may come before."""

_log = structlog.get_logger()


class _NamedRow(TypedDict):
    """When versions were named, on the platform's clock in seconds; fields may be added."""

    times: dict[int, float]


class _Saved(NamedTuple):
    times: Mapping[int, float]
    version: int


_ABSENT = _Saved({}, 0)


class NamedRows:
    """Read at the start when weights were named, and save it once a version.

    `reads` tells whether this node itself reads what operators write.
    """

    def __init__(
        self, *, platform: Platform, views: Views, reads: Callable[[], bool], rng: random.Random
    ) -> None:
        self._platform = platform
        self._views = views
        self._reads = reads
        self._saved: dict[str, _Saved] = {}
        self._clock: StoreClock | None = None
        self._news = asyncio.Event()
        self._rests = Rests(what="rows of named weights", rng=rng)

    def look(self) -> None:
        """Take that the operators' rows were read, and may have changed."""
        if self._views.catalog is not None:
            self._news.set()

    def again(self) -> None:
        """Take that the store went back: what was saved since its copy must be written again."""
        self._clock = None
        self._saved = {}
        self.look()

    async def run(self) -> None:
        """Read the rows once, then save what is new, until cancelled."""
        await self.restore()
        while True:
            await self._news.wait()
            self._news.clear()
            try:
                await self._save_own()
                self._rests.worked()
            except OutOfReach as error:
                await self._rests.failed(error)
                self._news.set()

    async def restore(self) -> None:
        """Read the rows once, if weights were named before this node began.

        The node serves meanwhile, and counts from its own reading.
        """
        await self._news.wait()
        found = dict(self._views.named)
        while found and self._clock is None:
            try:
                await self._read()
                self._rests.worked()
            except OutOfReach as error:
                await self._rests.failed(error)
        self._age_unsaved(found)

    def _age_unsaved(self, found: Mapping[str, int]) -> None:
        """Take versions that were found at the start, and that nobody saved, for older."""
        now = asyncio.get_running_loop().time()
        for model, version in found.items():
            if version not in self._saved.get(model, _ABSENT).times:
                self._views.named_times.heard(model, version, now - _UNSAVED_SECONDS)

    async def _save_own(self) -> None:
        """Save at once what this node has from the platform itself.

        Nodes that begin anew before it is saved do not know how old a version is.
        """
        if self._reads():
            for model in self._views.named:
                saved = self._saved.get(model, _ABSENT).times
                if not self._views.named_times.newest(model).keys() <= saved.keys():
                    await self.save(model)

    async def save(self, model: str) -> None:
        """Save when versions of `model` were named, unless that is done; raise `OutOfReach`."""
        for _ in range(_MOST_TRIES):
            clock = self._recent_clock() or await self._read()
            saved = self._saved.get(model, _ABSENT)
            own = self._views.named_times.newest(model)
            times = times_to_save(own, saved=saved.times, clock=clock)
            if times is None or await self._write(model, times, saved.version):
                return
            # Another node has written: its row tells what is missing now.
            self._clock = None
        _log.warning("namings not saved", model=model, tries=_MOST_TRIES)

    def _recent_clock(self) -> StoreClock | None:
        now = asyncio.get_running_loop().time()
        clock = self._clock
        return clock if clock is not None and now - clock.heard <= _CLOCK_SECONDS else None

    async def _write(self, model: str, times: dict[int, float], expect: int) -> bool:
        loop = asyncio.get_running_loop()
        value = msgspec.json.encode(_NamedRow(times=times))
        sent = loop.time()
        outcome = await self._platform.write(TABLE, [RowWrite(model, value, expect)])
        if not outcome.done:
            return False
        self._clock = StoreClock(outcome.clock, sent, loop.time())
        self._saved[model] = _Saved(times, outcome.version)
        _log.info(
            "namings saved", model=model, versions=sorted(times), row=version_of(outcome.version)
        )
        return True

    async def _read(self) -> StoreClock:
        loop = asyncio.get_running_loop()
        sent = loop.time()
        rows, moment = await self._platform.rows(TABLE)
        self._clock = clock = StoreClock(moment, sent, loop.time())
        # A row that is gone must be forgotten: a write that expects its version never succeeds.
        self._saved = {}
        for row in rows:
            self._take(row, clock)
        return clock

    def _take(self, row: SavedRow, clock: StoreClock) -> None:
        try:
            times = msgspec.json.decode(row.value, type=_NamedRow)["times"]
        except msgspec.DecodeError as error:
            _log.error("row of named weights not understood", row=row.key, error=str(error))
            times = {}
        self._saved[row.key] = _Saved(times, row.version)
        self._views.named_times.restored(row.key, times, clock)
        ages = {str(version): round(clock.clock - at, 3) for version, at in times.items()}
        _log.info("namings read", model=row.key, seconds=ages, row=version_of(row.version))
