"""Persist in the platform's table which software versions serve, to survive a restart of all nodes.

There is one row per service.  It is written when a version appears and after its last target has
ended.  No stream begins at a version before its row is written, so that a node which starts knows
every version that may have begun a stream.  Times in the rows are on the platform's clock.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import NamedTuple, TypedDict

import msgspec
import structlog
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.rollout import StoreClock
from fielddrift_core.stream_origins import SavedVersion, VersionSpan

from .ports import Platform, RemoteCallError, RowWrite
from .row_table import RowTable
from .sharing import PeerClient
from .views import Views

__all__ = ["VersionRows"]

TABLE = "software"
_POLL_SECONDS = 0.1
"""Polling interval for changes to save."""
_READ_DELAY_SECONDS = 0.1
"""How long a new version is left to the coordinator to save, before this one reads the rows."""
_WRITE_DELAY_SECONDS = 1.0
"""How long it is left to the coordinator, which may not reach the platform."""
_START_DELAY_SECONDS = 1.5
"""How long after its start a node saves no new version beside a saved one.  Nodes that start
together all find the row as it was when the last of their predecessors ended."""
_MAX_GATE_SECONDS = 3.0
"""How long streams are kept from a version that cannot be saved."""
_MAX_READ_PERIOD_SECONDS = 0.8
_COPY_ATTEMPTS = 3
"""Nodes that are asked for their versions while the platform gives no answer."""
_MAX_WRITE_COUNT = 40
"""Rows per call; the platform accepts 100 entries per call."""

_log = structlog.get_logger()


class _VersionRow(TypedDict):
    """The versions of one service; fields may be added."""

    versions: dict[str, SavedVersion]


class _Saved(NamedTuple):
    versions: Mapping[str, SavedVersion]
    row: int


_ABSENT = _Saved({}, 0)


class VersionRows:
    """Load the versions that served lately, and save those that appear or end.

    The coordinator writes for all nodes, and others do where it fails to.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        peers: PeerClient,
        neighbours: Neighbours,
        views: Views,
        rng: random.Random,
    ) -> None:
        self._table = RowTable(
            platform=platform, name=TABLE, what="rows of software versions", rng=rng
        )
        self._views = views
        self._versions = views.software_versions
        self._versions.expect_history()
        self._peers = peers
        self._neighbours = neighbours
        self._rng = rng
        self._saved: dict[str, _Saved] = {}
        self._unsaved_since: dict[tuple[str, str], float] = {}
        """Since when a serving version has not been saved, by service and version."""
        self._checked = (-1, -1)
        """The registry's serial and the recorded changes of which `_unsaved_since` is true."""
        self._read_period = _READ_DELAY_SECONDS
        self._read_at = float("-inf")

    def mark_store_restored(self) -> None:
        """Handle a store restored from a backup: rows written since must be saved again."""
        self._table.forget_clock()

    @property
    def has_unsaved(self) -> bool:
        """Return whether a version that serves is not saved."""
        state = (self._views.registry.serial, self._versions.changes)
        if state != self._checked:
            self._checked = state
            self._update_unsaved(asyncio.get_running_loop().time())
        return bool(self._unsaved_since)

    def is_gated(self, service: str, version: str) -> bool:
        """Return whether no stream may begin at `version` yet, as it is not saved.

        Where no version that serves is saved, streams may begin at any.
        """
        if not self.has_unsaved or not self._versions.is_history_known:
            return False
        since = self._unsaved_since.get((service, version))
        if since is None:
            return False
        waited = asyncio.get_running_loop().time() - since
        return waited < _MAX_GATE_SECONDS and self._has_saved_version(service)

    async def run(self) -> None:
        """Load the rows, then save changes, until cancelled."""
        while self._table.clock is None:
            await self._table.attempt(self._read)
            if not self._versions.is_history_known:
                await self._copy_history()
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            now = asyncio.get_running_loop().time()
            if not self._views.targets_row:
                continue
            if self._table.clock is None:
                await self._table.attempt(self._read)
            elif self.has_unsaved and self._changes():
                waited = now - min(self._unsaved_since.values())
                is_overdue = waited > _WRITE_DELAY_SECONDS * self._rng.uniform(1.0, 1.5)
                if is_overdue or self._neighbours.is_coordinator(now):
                    await self._table.attempt(self._save)
                elif waited > _READ_DELAY_SECONDS and now - self._read_at > self._read_period:
                    self._read_period = min(2 * self._read_period, _MAX_READ_PERIOD_SECONDS)
                    await self._table.attempt(self._read)
            else:
                self._read_period = _READ_DELAY_SECONDS
                if self._neighbours.is_coordinator(now) and self._changes():
                    await self._table.attempt(self._save)

    def _update_unsaved(self, now: float) -> None:
        """Record which serving versions are not saved."""
        unsaved = {
            (service, version)
            for service, versions in self._serving().items()
            for version in versions
            if not self._versions.is_recorded(service, version)
        }
        self._unsaved_since = {key: self._unsaved_since.get(key, now) for key in unsaved}

    def _serving(self) -> Mapping[str, frozenset[str]]:
        """Return the versions of the targets that are listed, by service."""
        return self._views.registry.software()

    def _has_saved_version(self, service: str) -> bool:
        """Return whether a version of `service` that serves is saved."""
        serving = self._serving().get(service, ())
        return any(self._versions.is_recorded(service, name) for name in serving)

    async def _copy_history(self) -> None:
        """Copy the versions that served from another node, as the platform gives no answer."""
        loop = asyncio.get_running_loop()
        for node in self._neighbours.alive(loop.time())[:_COPY_ATTEMPTS]:
            try:
                ages = await self._peers.software_versions(node)
            except RemoteCallError as error:
                _log.info("software versions not copied", node=node.name, error=str(error))
                continue
            now = loop.time()
            spans = {
                service: {
                    name: VersionSpan(now - age.first, now - age.last)
                    for name, age in versions.items()
                }
                for service, versions in ages.items()
            }
            self._versions.copy_history(spans, now)
            _log.info("software versions copied", node=node.name)
            return

    def _changes(self) -> dict[str, Mapping[str, SavedVersion]]:
        """Return what the rows should hold, by service, where it differs from what they do."""
        clock, now = self._table.clock, asyncio.get_running_loop().time()
        assert clock is not None
        serving = self._serving()
        changes: dict[str, Mapping[str, SavedVersion]] = {}
        has_just_started = now - self._versions.history_read_at < _START_DELAY_SECONDS
        for service in {*serving, *self._saved}:
            if has_just_started and self._has_saved_version(service):
                continue
            before = self._saved.get(service, _ABSENT).versions
            after = _updated(
                before,
                serving=serving.get(service, frozenset()),
                spans=self._versions.spans().get(service, {}),
                clock=clock,
                now=now,
                retention_seconds=self._versions.retention_seconds,
            )
            if after != before:
                changes[service] = after
        return changes

    async def _save(self) -> None:
        if self._table.recent_clock() is None:
            await self._read()
        changes = dict(list(self._changes().items())[:_MAX_WRITE_COUNT])
        if not changes:
            return
        writes = [
            RowWrite(
                service,
                msgspec.json.encode(_VersionRow(versions=dict(versions))) if versions else None,
                self._saved.get(service, _ABSENT).row,
            )
            for service, versions in changes.items()
        ]
        outcome = await self._table.write(writes)
        if not outcome.done:
            # Another node has written a row.
            await self._read()
            return
        for service, versions in changes.items():
            self._versions.set_recorded(service, versions)
            if versions:
                self._saved[service] = _Saved(versions, outcome.version)
            else:
                self._saved.pop(service, None)
        _log.info(
            "software versions saved",
            versions={name: sorted(versions) for name, versions in changes.items()},
            serving={name: sorted(self._serving().get(name, ())) for name in changes},
        )

    async def _read(self) -> None:
        rows = await self._table.read()
        clock = self._table.clock
        assert clock is not None
        now = self._read_at = clock.heard
        is_start = not self._versions.is_history_known
        self._saved = {}
        unreadable = []
        for row in rows:
            value = self._table.decode(row, _VersionRow)
            if value is None:
                unreadable.append(row.key)
            self._saved[row.key] = _Saved({} if value is None else value["versions"], row.version)
        found = {service: saved.versions for service, saved in self._saved.items()}
        self._versions.restore(found, clock, now, unreadable=unreadable)
        if is_start:
            names = {service: sorted(versions) for service, versions in found.items()}
            _log.info("software versions read", versions=names)


def _updated(
    before: Mapping[str, SavedVersion],
    *,
    serving: frozenset[str],
    spans: Mapping[str, VersionSpan],
    clock: StoreClock,
    now: float,
    retention_seconds: float,
) -> Mapping[str, SavedVersion]:
    """Return the versions that the row of a service should hold, instead of `before`."""

    def on_platform(moment: float) -> float:
        return round(clock.clock + moment - clock.heard, 3)

    after: dict[str, SavedVersion] = {}
    for name in sorted({*before, *serving}):
        saved, span = before.get(name), spans.get(name, VersionSpan(now, now))
        first = saved.first if saved is not None else on_platform(span.first)
        if name in serving:
            after[name] = SavedVersion(first, None)
            continue
        assert saved is not None
        last = saved.last
        if last is None:
            last = on_platform(span.last)
        if on_platform(now) - last <= retention_seconds:
            after[name] = SavedVersion(first, last)
    return after
