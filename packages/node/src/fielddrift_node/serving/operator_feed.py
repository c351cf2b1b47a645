"""Follow the operators' rows and keep the views of catalog, named weights and evacuations
current."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import structlog
from fielddrift_core.catalog import Catalog
from fielddrift_core.eras import version_of
from fielddrift_core.evacuations import EVACUATIONS_NAME, EvacuationState
from fielddrift_core.neighbours import Heartbeat, Neighbour
from fielddrift_core.readers import OPERATORS_POLL_SECONDS

from .feeds import Feed, FeedTools
from .ports import HistoryTruncated, NamedWeights, OperatorChanges, RemoteCallError
from .sharing import OperatorCopy

__all__ = ["OperatorFeed"]

_READER_TIMEOUT_SECONDS = 0.6
"""Time for the reader to copy what nodes in other data centres have, before this node asks them
itself. Copying normally takes about 0.1 s, and a change must be in force within 2 s."""
_MAX_AGE_SECONDS = 2 * OPERATORS_POLL_SECONDS
"""Age of a node's own data from which it first reads without waiting. Normally the age stays below
the wait of one long poll."""

_log = structlog.get_logger()


class _Source(NamedTuple):
    """Source of the operators' rows; `seconds` is the time taken by the platform's answer."""

    name: str
    seconds: float | None = None


def _round_seconds(seconds: float | None) -> float | None:
    """Return `seconds` rounded for a log line; None if it is None or infinite."""
    return None if seconds is None or seconds == float("inf") else round(seconds, 3)


class OperatorFeed(Feed):
    """Follows the operators' rows with one long poll, and by copying what other nodes have.

    Any node that has newer rows is asked for them, not only the reader, so that a node that is the
    only one disconnected from the platform does not fall behind.
    """

    def __init__(
        self,
        *,
        tools: FeedTools,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(what="operators' rows", tools=tools, on_change=on_change)
        self._call_task: asyncio.Task[None] | None = None
        self._read_immediately = False
        self._in_long_poll = False
        """Whether the call in progress is a long poll."""
        self._newer_nodes: dict[str, Heartbeat] = {}
        """Heartbeats of the nodes that reported newer rows, by name, in the order to ask them."""
        self._newer_reported = asyncio.Event()
        self._behind_since: float | None = None
        """When this node first received a report of newer rows than it has."""
        self._evacuations_row = 0
        """The version of the operators' rows up to which evacuations are known."""

    def heard(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat: a node that reports newer rows is asked for them.

        Rows of nodes in other data centres are requested by the reader that uses them as its
        source. The other nodes copy them from the reader, which is closer, and ask for themselves
        only if it does not get them in time.
        """
        self.returned()
        if not self._is_newer(heartbeat):
            return
        now = asyncio.get_running_loop().time()
        if self._behind_since is None:
            self._behind_since = now
        is_late = now - self._behind_since > _READER_TIMEOUT_SECONDS
        reader = self.reader()
        is_source = reader is None or reader.name == heartbeat.node.name
        if is_source or is_late or self.is_local(heartbeat.node):
            self._newer_nodes[heartbeat.node.name] = heartbeat
            self._newer_reported.set()

    def restart_poll(self) -> None:
        """Read at once, because a long poll may be lost."""
        self._read_immediately = True
        # Only a long poll is cancelled: repeated calls of this method could otherwise keep a
        # plain read, which ends by itself, from ever completing.
        if self._call_task is not None and self._in_long_poll:
            self._call_task.cancel()

    def read_now(self) -> None:
        """Read at once, cancelling any call, because its answer may date from before a pause."""
        self._read_immediately = True
        if self._call_task is not None:
            self._call_task.cancel()

    async def run(self) -> None:
        """Follow the rows until cancelled."""
        copying = asyncio.ensure_future(self._copy_newer())
        try:
            while True:
                await self._run_turn()
        finally:
            copying.cancel()

    async def _run_turn(self) -> None:
        self._call_task = asyncio.ensure_future(self._read())
        try:
            await self._call_task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
        except HistoryTruncated:
            _log.info("history gone", what="operators' rows", after=self._after)
            self._after = None
        except (RemoteCallError, msgspec.DecodeError) as error:
            await self._back_off(error)

    async def _read(self) -> None:
        reader = self.reader()
        if reader is not None and not self._views.stale.is_set():
            self._adopt_age(reader)
            await asyncio.sleep(self._reader_check_seconds())
            return
        immediately, self._read_immediately = self._read_immediately, False
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        # Other nodes do not use a source with old data, so this node first reads without waiting.
        is_old = started_at - self._views.operators_read_at > _MAX_AGE_SECONDS
        at_once = immediately or is_old or self._after is None or self._backoff.failing
        changes = await self._call_platform(0.0 if at_once else OPERATORS_POLL_SECONDS)
        if changes is None:
            # Read the changes that the poll should have returned, over a new connection.
            self._read_immediately = True
            return
        self._backoff.succeeded()
        self._after = changes.version
        self._views.operators_row = max(self._views.operators_row, changes.version)
        self._views.evacuations.read(changes.evacuations, changes.version, loop.time())
        self._evacuations_row = max(self._evacuations_row, changes.version)
        self._apply(changes.catalog, changes.weights, _Source("platform", loop.time() - started_at))
        self._views.operators_read_at = loop.time()
        self._views.mark_current()

    def _adopt_age(self, reader: Neighbour) -> None:
        """Adopt the age of the rows of a reader in another data centre once this node has them
        too."""
        if self.is_local(reader) or self._behind_since is not None:
            return
        now = asyncio.get_running_loop().time()
        # The reported age excludes the wait of a long poll for these rows.
        read_at = now - self._reading_of(reader, now).age - OPERATORS_POLL_SECONDS
        self._views.operators_read_at = max(self._views.operators_read_at, read_at)

    async def _call_platform(self, wait: float) -> OperatorChanges | None:
        """Return the platform's answer, None for a long poll that timed out without one."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._in_long_poll = wait > 0
        try:
            return await self._platform.operator_changes(self._after, wait)
        except RemoteCallError as error:
            seconds = loop.time() - started_at
            if not wait or error.not_executed:
                raise
            _log.warning("long poll given up", seconds=round(seconds, 3), error=str(error))
            if seconds < wait:
                # The connection was reset. Without a backoff this could repeat in a tight loop.
                raise
            return None
        finally:
            self._in_long_poll = False

    # --- what other nodes know ----------------------------------------------------

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        views = self._views
        known = 0 if views.catalog is None else views.catalog.version
        if heartbeat.catalog > known:
            return True
        for model, version in heartbeat.named.items():
            if version > views.named.get(model, 0):
                return True
        reported = heartbeat.burdens.get(EVACUATIONS_NAME)
        return reported is not None and reported.memory > views.evacuations.row

    async def _copy_newer(self) -> None:
        """Copy rows from nodes that have newer ones, until cancelled."""
        while True:
            await self._newer_reported.wait()
            self._newer_reported.clear()
            while self._newer_nodes:
                # In turn, so that a node that hangs but keeps sending heartbeats does not block the
                # others.
                heartbeat = self._newer_nodes.pop(next(iter(self._newer_nodes)))
                if self._is_newer(heartbeat):
                    await self._copy_from(heartbeat.node)

    async def _copy_from(self, node: Neighbour) -> None:
        try:
            self._apply_copy(await self._peers.operators(node), node.name)
        except RemoteCallError as error:
            # The next heartbeat of this or another node reports the newer rows again.
            _log.info("node not reached", peer=node.name, error=str(error))

    def _apply_copy(self, copy: OperatorCopy, told_by: str) -> None:
        self._views.operators_row = max(self._views.operators_row, copy.row)
        if copy.evacuations is not None:
            self._apply_evacuations(copy.evacuations, copy.row)
            # A node that does not send evacuations may have skipped rows that contain them.
            self._after = max(self._after or 0, copy.row)
        weights = tuple(NamedWeights(model, version) for model, version in copy.named.items())
        self._apply(copy.catalog, weights, _Source(told_by))
        # Even if nothing changed, as the rows may have been reported under a later version.
        self._behind_since = None

    def _apply_evacuations(self, state: EvacuationState, row: int) -> None:
        now = asyncio.get_running_loop().time()
        known = self._evacuations_row
        self._views.evacuations.merge(state, read=row, known=known, now=now)
        self._evacuations_row = max(known, row)

    def _apply(
        self, catalog: Catalog | None, weights: tuple[NamedWeights, ...], origin: _Source
    ) -> None:
        views = self._views
        now = asyncio.get_running_loop().time()
        log_fields = {
            "told_by": origin.name,
            "polled": _round_seconds(origin.seconds),
            "age": _round_seconds(now - views.operators_read_at),
        }
        changed = False
        if catalog is not None and views.update_catalog(catalog):
            assert views.catalog is not None
            _log.info(
                "catalog taken",
                version=views.catalog.version,
                row=version_of(views.operators_row),
                **log_fields,
            )
            changed = True
        for named in weights:
            if views.update_weights(named, now):
                known = views.known_seconds(named.model, named.version, now)
                _log.info(
                    "weights named",
                    model=named.model,
                    version=named.version,
                    known_seconds=round(known, 3),
                    **log_fields,
                )
                changed = True
        evacuations = views.apply_evacuations(now)
        for data_centre in evacuations.begun:
            _log.warning("data centre evacuated", data_centre=data_centre, **log_fields)
            changed = True
        for data_centre in evacuations.ended:
            _log.warning("evacuation over", data_centre=data_centre, **log_fields)
            changed = True
        if changed:
            self._behind_since = None
            self._on_change()
