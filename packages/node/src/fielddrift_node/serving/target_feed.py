"""Keep the view of the targets' entries up to date."""

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
from .target_listing import Listing

__all__ = ["TargetFeed"]

_log = structlog.get_logger()


class _CopyMark(NamedTuple):
    """Whose list was copied; a node counts its serial anew in each of its lives."""

    name: str
    boot: int
    serial: int


def _mark(node: Neighbour, reading: ReadState) -> _CopyMark:
    return _CopyMark(node.name, node.boot, reading.serial)


class TargetFeed(Feed):
    """Follow the targets' entries: by reading now and then, or by the reader's heartbeats."""

    def __init__(
        self,
        *,
        tools: FeedTools,
        on_change: Callable[[], None],
        returned: Callable[[], None],
    ) -> None:
        super().__init__(what="target entries", tools=tools, on_change=on_change)
        self._returned = returned
        self._copied: _CopyMark | None = None
        self._lost_at: float | None = None
        """When the store last gave no answer, None once the list is known as of later:
        entries may have lapsed unseen since."""
        self._wake = asyncio.Event()

    def heard(self, node: Neighbour, reading: ReadState) -> None:
        """Take how far `node` has read; look at once where it is the reader."""
        self.returned()
        copied = self._copied
        if copied is not None and copied.name == node.name and copied != _mark(node, reading):
            self._wake.set()

    def again(self) -> None:
        """Read at once."""
        self._wake.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            # Cleared before the turn: what wakes it during a reading, such as the end of
            # a pause of this process, asks for another reading after it.
            self._wake.clear()
            try:
                seconds = await self._turn()
            except HistoryTruncated as gone:
                _log.info("history gone", what="target entries", after=self._after)
                self._after = None
                if gone.store_restored:
                    now = asyncio.get_running_loop().time()
                    self._views.registry.store_restored(now)
                    self._lost_at = now
                continue
            except RemoteCallError as error:
                self._lost_at = asyncio.get_running_loop().time()
                self._give_up("nobody", away=True)
                await self._back_off(error)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._wake.wait()

    async def _turn(self) -> float:
        """Bring the list up to date; return the seconds until the next turn."""
        chosen = self.reader()
        # After a pause it reads for itself first, and relies on others only if that fails.
        relies = not self._views.stale.is_set() or self._backoff.failing
        if chosen is not None and relies and await self._rely_on(chosen):
            return self._reader_check_seconds()
        await self._read()
        return read_interval_seconds(self._max_staleness_seconds)

    async def _rely_on(self, chosen: Neighbour) -> bool:
        """Follow what another node lists; return whether it could be asked."""
        now = asyncio.get_running_loop().time()
        reading = self._reading_of(chosen, now)
        if self._lost_at is not None and now - reading.age > self._lost_at:
            # The other's reading tells of the store's return as well as one of its own.
            self._views.registry.store_returned(now - reading.age)
            self._lost_at = None
        if (
            reading.targets >= self._views.targets_row
            and _mark(chosen, reading) != self._copied
            and not await self._copy(chosen)
        ):
            return False
        self._give_up(chosen.name)
        if not self.is_local(chosen):
            # Who relies on this node judges what it has by the age that it came with.
            self._views.targets_read_at = max(self._views.targets_read_at, now - reading.age)
        return True

    def _give_up(self, told_by: str, *, away: bool = False) -> None:
        """Give up entries whose respite is over, as a reading does."""
        now = asyncio.get_running_loop().time()
        before = Listing.of(self._views.registry, now)
        if before.lapsed:
            self._views.registry.tick(now, away=away)
            self._log_changes(before, told_by)

    async def _copy(self, chosen: Neighbour) -> bool:
        asked_at = asyncio.get_running_loop().time()
        try:
            copy = await self._peers.targets(chosen)
        except RemoteCallError as error:
            _log.info("reader not reached", reader=chosen.name, error=str(error))
            return False
        if copy.row < self._views.targets_row:
            return False
        before = Listing.of(self._views.registry, asyncio.get_running_loop().time())
        # Counted from the question: no respite grows longer by being handed on.
        lapsed = {name: asked_at + seconds for name, seconds in copy.lapsed.items()}
        # An entry that the store has lost is held, until its target has written it again.
        row = self._views.targets_row
        store_restored = row > 0 and era_of(copy.row) > era_of(row)
        lost = store_restored or self._lost_at is not None
        lost = lost or self._views.registry.in_grace_period(asked_at)
        self._note_cold(copy.entries, asked_at)
        self._views.registry.apply_copy(copy.entries, copy.leaving, lapsed, lost=lost)
        self._views.targets_row = copy.row
        self._after = copy.row
        self._copied = _CopyMark(chosen.name, chosen.boot, copy.serial)
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
        news = await self._platform.target_changes(self._after)
        now = asyncio.get_running_loop().time()
        registry = self._views.registry
        if self._lost_at is not None:
            registry.store_returned(now)
            self._returned()
        self._lost_at = None
        self._backoff.succeeded()
        serial, before = registry.serial, Listing.of(registry, now)
        self._note_cold(news.entries, now)
        if news.whole:
            registry.replaced(news.entries, now)
        else:
            for entry in news.entries:
                registry.heard(entry, now)
            for name in news.ended:
                registry.entry_ended(name, now)
        for name in news.unreadable:
            registry.drop(name)
        registry.tick(now)
        self._after = news.version
        self._views.targets_row = max(self._views.targets_row, news.version)
        self._log_changes(before, "platform")
        self._views.targets_read_at = now
        self._copied = None
        if registry.serial != serial:
            self._on_change()

    def _note_cold(self, entries: Iterable[Instance], now: float) -> None:
        """Note which of `entries`, as far as they are new, tell of targets that are cold."""
        for entry in entries:
            if self._views.registry.get(entry.name) != entry:
                self._views.cold.report(entry.name, entry.cold_seconds, now)

    def _log_changes(self, before: Listing, told_by: str) -> None:
        after = Listing.of(self._views.registry, asyncio.get_running_loop().time())
        for change in after.changes_since(before):
            _log.info(
                change.event,
                row=version_of(self._views.targets_row),
                told_by=told_by,
                **change.fields,
            )
