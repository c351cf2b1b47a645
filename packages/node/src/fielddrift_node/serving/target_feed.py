"""Follow the target entries in the platform's store and keep the target registry up to date."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog
from fielddrift_core.eras import era_of, version_of
from fielddrift_core.neighbours import Neighbour
from fielddrift_core.readers import ReadState, read_interval_seconds
from fielddrift_core.target_registry import Instance

from .feeds import Feed, FeedTools
from .ports import HistoryTruncated, RemoteCallError
from .target_listing import RegistrySnapshot

__all__ = ["TargetFeed"]

_MIN_WANTED_INTERVAL_SECONDS = 0.3
"""Interval between reads that requests wait for: one answers for all that came before it.  Where
many nodes end at once, all others may read."""
_WANTED_POLL_SECONDS = 0.01
_RETRY_SECONDS = 1.0
"""Interval between reads that requests wait for, while the platform does not answer this node."""

_log = structlog.get_logger()


class _CopyVersion(NamedTuple):
    """The version of a list copied from a node, whose serial restarts with each process."""

    name: str
    boot: int
    serial: int


def _version_of(node: Neighbour, reading: ReadState) -> _CopyVersion:
    return _CopyVersion(node.name, node.boot, reading.serial)


class TargetFeed(Feed):
    """Follows the target entries by reading them periodically or by copying them from a reader.

    `on_list` is called as soon as a list was applied, before anything else can use it.
    """

    def __init__(
        self,
        *,
        tools: FeedTools,
        on_change: Callable[[], None],
        on_list: Callable[[], None],
        returned: Callable[[], None],
    ) -> None:
        super().__init__(what="target entries", tools=tools, on_change=on_change)
        self._on_list = on_list
        self._returned = returned
        self._copied_version: _CopyVersion | None = None
        self._outage_at: float | None = None
        """When the store last failed to answer; None once a list read or copied is newer. Entries
        may have expired in the meantime without being read."""
        self._wake = asyncio.Event()
        self._read_wanted_at = float("-inf")
        """Requests wait for a read by this node itself that begins at this time or later."""
        self._tried_again_at = float("-inf")

    def heard(self, node: Neighbour, reading: ReadState) -> None:
        """Handle the read state in a heartbeat; update at once if `node` is the source."""
        self.returned()
        copied = self._copied_version
        if copied is not None and copied.name == node.name and copied != _version_of(node, reading):
            self._wake.set()

    def read_now(self) -> None:
        """Read at once."""
        self._wake.set()

    async def read_since(self, moment: float, *, seconds: float) -> bool:
        """Wait until this node has read the entries from the platform, after the time `moment`.

        Return False if that took more than `seconds`.
        """
        loop = asyncio.get_running_loop()
        views = self._views
        until = loop.time() + seconds
        while views.targets_asked_at < moment and loop.time() < until:
            if loop.time() - views.targets_asked_at >= _MIN_WANTED_INTERVAL_SECONDS:
                self._read_wanted_at = max(self._read_wanted_at, moment)
                self._wake.set()
            await asyncio.sleep(_WANTED_POLL_SECONDS)
        return views.targets_asked_at >= moment

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        while True:
            # Cleared before the update, so that an event during the update, such as the end of a
            # pause of this process, causes another one.
            self._wake.clear()
            try:
                seconds = await self._update()
            except HistoryTruncated as gone:
                _log.info("history gone", what="target entries", after=self._after)
                self._after = None
                if gone.store_restored:
                    now = asyncio.get_running_loop().time()
                    self._views.registry.store_restored(now)
                    self._outage_at = now
                continue
            except RemoteCallError as error:
                self._outage_at = asyncio.get_running_loop().time()
                self._drop_expired("nobody", away=True)
                await self._back_off(error)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._wake.wait()

    async def _update(self) -> float:
        """Update the list and return the seconds until the next update."""
        chosen = self.reader()
        # After a pause, or where a request waits for it, this node first reads itself, and uses
        # other nodes only if that fails.
        is_wanted = self._read_wanted_at > self._views.targets_asked_at
        reads_itself = self._views.stale.is_set() or is_wanted
        if chosen is not None and is_wanted and self._backoff.failing and await self._tries_again():
            return read_interval_seconds(self._max_staleness_seconds)
        may_copy = not reads_itself or self._backoff.failing
        if chosen is not None and may_copy and await self._follow_source(chosen):
            return self._reader_check_seconds()
        await self._read()
        return read_interval_seconds(self._max_staleness_seconds)

    async def _tries_again(self) -> bool:
        """Read although the last read has failed, and other nodes can be copied; return whether
        the read succeeded."""
        now = asyncio.get_running_loop().time()
        if now - self._tried_again_at < _RETRY_SECONDS:
            return False
        self._tried_again_at = now
        try:
            await self._read()
        except RemoteCallError as error:
            _log.info("platform not reached again", what="target entries", error=str(error))
            return False
        return True

    async def _follow_source(self, chosen: Neighbour) -> bool:
        """Copy the list from another node if it is newer; return whether that node could be
        asked."""
        now = asyncio.get_running_loop().time()
        reading = self._reading_of(chosen, now)
        if self._outage_at is not None and now - reading.age > self._outage_at:
            # A later read by the source proves, like one by this node, that the store is back.
            self._views.registry.store_returned(now - reading.age)
            self._outage_at = None
        if (
            reading.targets >= self._views.targets_row
            and _version_of(chosen, reading) != self._copied_version
            and not await self._copy_from(chosen)
        ):
            return False
        self._drop_expired(chosen.name)
        if reading.targets >= self._views.targets_row:
            current_at = max(self._views.targets_current_at, now - reading.age)
            self._views.targets_current_at = current_at
        if not self.is_local(chosen):
            # Nodes that copy from this one judge its list by the age it had at its source.
            self._views.targets_read_at = max(self._views.targets_read_at, now - reading.age)
        return True

    def _drop_expired(self, told_by: str, *, away: bool = False) -> None:
        """Drop entries whose grace period has ended, as a read from the platform does."""
        now = asyncio.get_running_loop().time()
        before = RegistrySnapshot.of(self._views.registry, now)
        if before.lapsed:
            self._views.registry.tick(now, away=away)
            self._log_changes(before, told_by)

    async def _copy_from(self, chosen: Neighbour) -> bool:
        requested_at = asyncio.get_running_loop().time()
        try:
            copy = await self._peers.targets(chosen)
        except RemoteCallError as error:
            _log.info("reader not reached", reader=chosen.name, error=str(error))
            return False
        if copy.row < self._views.targets_row:
            return False
        before = RegistrySnapshot.of(self._views.registry, asyncio.get_running_loop().time())
        # Counted from the request, so that copying does not extend any grace period.
        lapsed = {name: requested_at + seconds for name, seconds in copy.lapsed.items()}
        # An entry that the store has lost is held until its target has written it again.
        row = self._views.targets_row
        store_restored = row > 0 and era_of(copy.row) > era_of(row)
        lost = store_restored or self._outage_at is not None
        lost = lost or self._views.registry.in_grace_period(requested_at)
        self._record_cold(copy.entries, requested_at)
        self._views.registry.apply_copy(copy.entries, copy.leaving, lapsed, lost=lost)
        self._on_list()
        self._views.targets_row = copy.row
        self._after = copy.row
        self._copied_version = _CopyVersion(chosen.name, chosen.boot, copy.serial)
        _log.info(
            "targets copied",
            told_by=chosen.name,
            row=version_of(copy.row),
            entries=len(copy.entries),
            lapsed=len(copy.lapsed),
        )
        self._log_changes(before, chosen.name)
        return True

    async def _read(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        changes = await self._platform.target_changes(self._after)
        now = asyncio.get_running_loop().time()
        registry = self._views.registry
        if self._outage_at is not None:
            registry.store_returned(now)
            self._returned()
        self._outage_at = None
        self._backoff.succeeded()
        serial, before = registry.serial, RegistrySnapshot.of(registry, now)
        self._record_cold(changes.entries, now)
        if changes.whole:
            registry.replaced(changes.entries, now)
        else:
            for entry in changes.entries:
                registry.heard(entry, now)
            for name in changes.ended:
                registry.entry_ended(name, now)
        for name in changes.unreadable:
            registry.drop(name)
        registry.tick(now)
        self._on_list()
        self._after = changes.version
        self._views.targets_row = max(self._views.targets_row, changes.version)
        self._log_changes(before, "platform")
        self._views.targets_read_at = now
        self._views.targets_asked_at = asked_at
        self._views.targets_current_at = max(self._views.targets_current_at, asked_at)
        self._copied_version = None
        if registry.serial != serial:
            self._on_change()

    def _record_cold(self, entries: Iterable[Instance], now: float) -> None:
        """Record which of the new or changed `entries` report cold targets."""
        for entry in entries:
            if self._views.registry.get(entry.name) != entry:
                self._views.cold.report(entry.name, entry.cold_seconds, now)

    def _log_changes(self, before: RegistrySnapshot, told_by: str) -> None:
        after = RegistrySnapshot.of(self._views.registry, asyncio.get_running_loop().time())
        for change in after.changes_since(before):
            _log.info(
                change.event,
                row=version_of(self._views.targets_row),
                told_by=told_by,
                **change.fields,
            )
