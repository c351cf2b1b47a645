"""Persist in the platform's table which version began each stream, to survive the end of all nodes.

Only streams that began while several software versions served have rows.  A node writes those of
some hundred milliseconds at a time into a segment, which is one row, and begins another segment
when that is full.  Rows are read only where a stream's caller returns and no node knows its origin.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

import msgspec
import structlog
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.rollout import StoreClock
from fielddrift_core.stream_origins import MAX_LIFETIME_SECONDS, StreamOrigin

from .ports import Platform, RemoteCallError, RowWrite, SavedRow
from .row_table import RowTable
from .views import Views

__all__ = ["OriginRows", "SavedOrigin"]

TABLE = "origins"
_FLUSH_SECONDS = 0.3
"""Interval of the writes of one node.  Origins of streams that began within it are lost where all
nodes end."""
_SEGMENT_SIZE = 60
"""Origins per row, some 60 bytes each; each write of a segment repeats those before it."""
_MAX_PENDING_COUNT = 1500
"""Origins that wait for a write, the newest; those of about two minutes at the largest rate."""
_MAX_FLUSH_COUNT = 10
"""Rows per write, new and removed ones together."""
_REUSE_SECONDS = 0.5
"""How long a reading of the rows answers for other streams, too."""
_READ_TIMEOUT_SECONDS = 0.8
_CLEANUP_SECONDS = MAX_LIFETIME_SECONDS + 5.0
"""Interval at which rows of nodes that are gone are looked for, while there may be any."""
_IDLE_SECONDS = 1.0
_MAX_REMOVED_COUNT = 90
"""Rows per call; the platform accepts 100 entries per call."""

_log = structlog.get_logger()


class SavedOrigin(NamedTuple):
    """What the platform knows of a stream: its origin, or none.

    Without `is_given` the rows could not be read, or not all of them: none means nothing then.
    """

    origin: StreamOrigin | None
    is_given: bool


class _Segment(TypedDict):
    """Origins of streams, until when each is needed on the platform's clock, in seconds."""

    origins: list[StreamOrigin]


class _Reading(NamedTuple):
    """Origins by key; `is_complete` tells that all rows were read."""

    origins: Mapping[str, StreamOrigin]
    is_complete: bool


_NOTHING_READ = _Reading({}, is_complete=False)


class _Row(NamedTuple):
    """A row that this node has written, and until when it is needed, as a loop time."""

    key: str
    until: float


class OriginRows:
    """Save the origins of streams, and find those that other nodes saved.

    `instance` is unique to this process: it begins the keys of its rows.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        views: Views,
        neighbours: Neighbours,
        instance: str,
        rng: random.Random,
    ) -> None:
        self._table = RowTable(
            platform=platform, name=TABLE, what="rows of stream origins", rng=rng
        )
        self._versions = views.software_versions
        self._neighbours = neighbours
        self._instance = instance
        self._pending: dict[str, StreamOrigin] = {}
        self._segment: list[StreamOrigin] = []
        self._segment_number = 0
        self._rows: dict[str, _Row] = {}
        """The rows of this process, by key."""
        self._wanted = asyncio.Event()
        self._reading: asyncio.Task[_Reading] | None = None
        self._reading_began = float("-inf")
        self._cleanup_at: float | None = None

    def add(self, origins: Iterable[StreamOrigin]) -> None:
        """Save `origins` with the next write."""
        for origin in origins:
            self._pending.pop(origin.key, None)
            self._pending[origin.key] = origin
        while len(self._pending) > _MAX_PENDING_COUNT:
            del self._pending[next(iter(self._pending))]
        if self._pending:
            self._wanted.set()

    async def find(self, key: str) -> SavedOrigin:
        """Return what the platform knows of the origin of the stream `key`."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self._reading is None or now - self._reading_began > _REUSE_SECONDS:
            self._reading_began = now
            self._reading = asyncio.ensure_future(self._read())
        # Shielded: others may wait for the same reading.
        try:
            async with asyncio.timeout(_READ_TIMEOUT_SECONDS):
                found = await asyncio.shield(self._reading)
        except TimeoutError:
            found = _NOTHING_READ
        return SavedOrigin(found.origins.get(key), is_given=found.is_complete)

    async def run(self) -> None:
        """Write new origins and remove rows that are not needed any more, until cancelled."""
        loop = asyncio.get_running_loop()
        self._cleanup_at = loop.time() + _CLEANUP_SECONDS
        while True:
            try:
                async with asyncio.timeout(_IDLE_SECONDS):
                    await self._wanted.wait()
            except TimeoutError:
                pass
            if await self._table.attempt(self._maintain):
                await asyncio.sleep(_FLUSH_SECONDS)

    async def _maintain(self) -> None:
        loop = asyncio.get_running_loop()
        if self._pending or self._expired(loop.time()):
            await self._flush()
        await self._clean_up(loop.time())

    def _key(self, number: int) -> str:
        """Return the key of the row that holds a segment."""
        return f"{self._instance}/{number}"

    def _expired(self, now: float) -> list[str]:
        return [row.key for row in self._rows.values() if row.until <= now]

    async def _flush(self) -> None:
        """Write pending origins, and remove own rows that have expired, in one call."""
        loop = asyncio.get_running_loop()
        if self._table.recent_clock() is None:
            await self._table.read()
        clock = self._table.clock
        assert clock is not None
        now = loop.time()
        expired = self._expired(now)[:_MAX_FLUSH_COUNT]
        writes = [RowWrite(key, None) for key in expired]
        rows: list[_Row] = []
        pending = [origin for origin in self._pending.values() if origin.until > now]
        segment, number = self._segment, self._segment_number
        if self._key(number) in expired:
            segment, number = [], number + 1
        taken = 0
        while taken < len(pending) and len(writes) < _MAX_FLUSH_COUNT:
            if len(segment) >= _SEGMENT_SIZE:
                segment, number = [], number + 1
            new = pending[taken : taken + _SEGMENT_SIZE - len(segment)]
            segment = [*segment, *new]
            taken += len(new)
            row = _Row(self._key(number), max(origin.until for origin in segment))
            rows.append(row)
            writes.append(RowWrite(row.key, _encode(segment, clock)))
        if not writes:
            self._pending.clear()
            self._wanted.clear()
            return
        try:
            await self._table.write(writes)
        except RemoteCallError:
            # The write may still be carried out, after later ones of the same rows.
            self._segment, self._segment_number = [], number + 1
            raise
        self._segment, self._segment_number = segment, number
        for key in expired:
            del self._rows[key]
        for row in rows:
            self._rows[row.key] = row
        saved = {origin.key: origin for origin in pending[:taken]}
        self._pending = {
            key: origin
            for key, origin in self._pending.items()
            if origin.until > now and saved.get(key) != origin
        }
        if not self._pending:
            self._wanted.clear()
        _log.debug("origins saved", saved=taken, rows=len(rows), removed=len(expired))

    async def _read(self) -> _Reading:
        """Return the origins of all rows."""
        try:
            rows = await self._table.read()
        except RemoteCallError as error:
            _log.info("origins not read", error=str(error))
            return _NOTHING_READ
        clock = self._table.clock
        assert clock is not None
        found: dict[str, StreamOrigin] = {}
        is_complete = True
        for row in rows:
            origins = self._decode(row)
            is_complete = is_complete and origins is not None
            for origin in origins or ():
                until = clock.heard + origin.until - clock.clock
                known = found.get(origin.key)
                if until > clock.heard and (known is None or known.until < until):
                    found[origin.key] = origin._replace(until=until)
        _log.info("origins read", rows=len(rows), origins=len(found), complete=is_complete)
        return _Reading(found, is_complete)

    def _decode(self, row: SavedRow) -> list[StreamOrigin] | None:
        value = self._table.decode(row, _Segment)
        return None if value is None else value["origins"]

    async def _clean_up(self, now: float) -> None:
        """Remove the expired rows of processes that are gone, now and then while there are any."""
        if self._cleanup_at is None and (self._rows or self._versions.is_any_mixed()):
            self._cleanup_at = now + _CLEANUP_SECONDS
        if self._cleanup_at is None or now < self._cleanup_at:
            return
        if not self._neighbours.is_coordinator(now):
            return
        rows = await self._table.read()
        clock = self._table.clock
        assert clock is not None
        expired = [
            row
            for row in rows
            if all(origin.until <= clock.clock for origin in self._decode(row) or ())
        ][:_MAX_REMOVED_COUNT]
        if expired:
            # Their process may be adding to them.
            removals = [RowWrite(row.key, None, row.version) for row in expired]
            outcome = await self._table.write(removals)
            _log.info(
                "rows of stream origins removed",
                count=len(expired),
                rows=len(rows),
                done=outcome.done,
            )
        self._cleanup_at = None if len(expired) == len(rows) else now + _CLEANUP_SECONDS


def _encode(origins: Iterable[StreamOrigin], clock: StoreClock) -> bytes:
    saved = [
        origin._replace(until=round(clock.clock + origin.until - clock.heard, 1))
        for origin in origins
    ]
    return msgspec.json.encode(_Segment(origins=saved))
