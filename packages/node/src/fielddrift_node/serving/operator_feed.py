"""Keep the views of what operators wrote up to date: the catalog and the named weights."""

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

_READER_SECONDS = 0.6
"""How long the reader is given for what nodes elsewhere have: it takes some 0.1 s in good
health, and 2 s after a change it must be in force."""
_OLD_SECONDS = 2 * OPERATORS_POLL_SECONDS
"""Age of a node's own reading from which it first reads without waiting: in good health
it grows up to one wait."""

_log = structlog.get_logger()


class _Origin(NamedTuple):
    """Who told of operators' rows; `seconds` for which the platform's answer was waited for."""

    name: str
    seconds: float | None = None


def _rounded(seconds: float | None) -> float | None:
    """Return `seconds` as a log line tells them; None for none and for never."""
    return None if seconds is None or seconds == float("inf") else round(seconds, 3)


class OperatorFeed(Feed):
    """Follow the operators' rows: with one long poll, and by what other nodes know.

    Whoever has something newer is asked for it, reader or not, so that a node
    that is cut off from the platform alone does not fall behind.
    """

    def __init__(
        self,
        *,
        tools: FeedTools,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(what="operators' rows", tools=tools, on_change=on_change)
        self._call: asyncio.Task[None] | None = None
        self._hurry = False
        self._waiting = False
        """Whether the call under way is a long poll."""
        self._ahead: dict[str, Heartbeat] = {}
        """Nodes that told of something newer, by name, the first to be asked first."""
        self._told = asyncio.Event()
        self._behind_since: float | None = None
        """When this node first heard of something newer than it has."""
        self._evacuations_row = 0
        """The operators' row up to which evacuations are known."""

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat: a node that knows something newer is asked for it.

        What nodes elsewhere know, the reader asks the one for that it relies on; it is nearer
        to the others, which ask for themselves once it should have had it.
        """
        self.returned()
        if not self._is_newer(heartbeat):
            return
        now = asyncio.get_running_loop().time()
        if self._behind_since is None:
            self._behind_since = now
        late = now - self._behind_since > _READER_SECONDS
        reader = self.reader()
        relied_on = reader is None or reader.name == heartbeat.node.name
        if relied_on or late or self.is_local(heartbeat.node):
            self._ahead[heartbeat.node.name] = heartbeat
            self._told.set()

    def hurry(self) -> None:
        """Read at once, for a long poll may be lost."""
        self._hurry = True
        # A plain reading ends by itself: called off at each hint, it might never.
        if self._call is not None and self._waiting:
            self._call.cancel()

    def again(self) -> None:
        """Read at once, leaving any call: its answer may be from before a pause."""
        self._hurry = True
        if self._call is not None:
            self._call.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        spread = asyncio.ensure_future(self._spread())
        try:
            while True:
                await self._read_on()
        finally:
            spread.cancel()

    async def _read_on(self) -> None:
        self._call = asyncio.ensure_future(self._turn())
        try:
            await self._call
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
        except HistoryTruncated:
            _log.info("history gone", what="operators' rows", after=self._after)
            self._after = None
        except (RemoteCallError, msgspec.DecodeError) as error:
            await self._back_off(error)

    async def _turn(self) -> None:
        reader = self.reader()
        if reader is not None and not self._views.stale.is_set():
            self._rely_on(reader)
            await asyncio.sleep(self._reader_check_seconds())
            return
        hurry, self._hurry = self._hurry, False
        loop = asyncio.get_running_loop()
        began = loop.time()
        # Whose own reading is old seems to hang: others rely on it once it has read.
        old = began - self._views.operators_read_at > _OLD_SECONDS
        at_once = hurry or old or self._after is None or self._backoff.failing
        news = await self._ask(0.0 if at_once else OPERATORS_POLL_SECONDS)
        if news is None:
            # What it should have told stands there to be read, over a new connection.
            self._hurry = True
            return
        self._backoff.succeeded()
        self._after = news.version
        self._views.operators_row = max(self._views.operators_row, news.version)
        self._views.evacuations.read(news.evacuations, news.version, loop.time())
        self._evacuations_row = max(self._evacuations_row, news.version)
        self._take(news.catalog, news.weights, _Origin("platform", loop.time() - began))
        self._views.operators_read_at = loop.time()
        self._views.mark_current()

    def _rely_on(self, reader: Neighbour) -> None:
        """Take the age of what a reader in another data centre has, once this node has it too."""
        if self.is_local(reader) or self._behind_since is not None:
            return
        now = asyncio.get_running_loop().time()
        # The age leaves out the wait that is due to a call for these rows.
        read_at = now - self._reading_of(reader, now).age - OPERATORS_POLL_SECONDS
        self._views.operators_read_at = max(self._views.operators_read_at, read_at)

    async def _ask(self, wait: float) -> OperatorChanges | None:
        """Return what the platform tells, None for a long poll that fell silent."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._waiting = wait > 0
        try:
            return await self._platform.operator_changes(self._after, wait)
        except RemoteCallError as error:
            seconds = loop.time() - began
            if not wait or error.not_executed:
                raise
            _log.warning("long poll given up", seconds=round(seconds, 3), error=str(error))
            if seconds < wait:
                # Reset, not silent: without a rest it could be so again and again.
                raise
            return None
        finally:
            self._waiting = False

    # --- what other nodes know ----------------------------------------------------

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        views = self._views
        known = 0 if views.catalog is None else views.catalog.version
        named = any(version > views.named.get(m, 0) for m, version in heartbeat.named.items())
        told = heartbeat.burdens.get(EVACUATIONS_NAME)
        evacuated = told is not None and told.memory > views.evacuations.row
        return heartbeat.catalog > known or named or evacuated

    async def _spread(self) -> None:
        """Copy from nodes that know something newer, until cancelled."""
        while True:
            await self._told.wait()
            self._told.clear()
            while self._ahead:
                # In turn: one that hangs and goes on telling must not hide the others.
                heartbeat = self._ahead.pop(next(iter(self._ahead)))
                if self._is_newer(heartbeat):
                    await self._copy(heartbeat.node)

    async def _copy(self, node: Neighbour) -> None:
        try:
            self._take_copy(await self._peers.operators(node), node.name)
        except RemoteCallError as error:
            # Its next heartbeat, or another node's, says the same again.
            _log.info("node not reached", peer=node.name, error=str(error))

    def _take_copy(self, copy: OperatorCopy, told_by: str) -> None:
        self._views.operators_row = max(self._views.operators_row, copy.row)
        if copy.evacuations is not None:
            self._take_evacuations(copy.evacuations, copy.row)
            # Who does not tell of evacuations may have passed over rows that do.
            self._after = max(self._after or 0, copy.row)
        weights = tuple(NamedWeights(model, version) for model, version in copy.named.items())
        self._take(copy.catalog, weights, _Origin(told_by))
        # Even where nothing changed: it may have been told of under a later row.
        self._behind_since = None

    def _take_evacuations(self, state: EvacuationState, row: int) -> None:
        now = asyncio.get_running_loop().time()
        known = self._evacuations_row
        self._views.evacuations.merge(state, read=row, known=known, now=now)
        self._evacuations_row = max(known, row)

    def _take(
        self, catalog: Catalog | None, weights: tuple[NamedWeights, ...], origin: _Origin
    ) -> None:
        views = self._views
        now = asyncio.get_running_loop().time()
        sight = {
            "told_by": origin.name,
            "polled": _rounded(origin.seconds),
            "age": _rounded(now - views.operators_read_at),
        }
        changed = False
        if catalog is not None and views.update_catalog(catalog):
            assert views.catalog is not None
            _log.info(
                "catalog taken",
                version=views.catalog.version,
                row=version_of(views.operators_row),
                **sight,
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
                    **sight,
                )
                changed = True
        evacuations = views.apply_evacuations(now)
        for data_centre in evacuations.begun:
            _log.warning("data centre evacuated", data_centre=data_centre, **sight)
            changed = True
        for data_centre in evacuations.ended:
            _log.warning("evacuation over", data_centre=data_centre, **sight)
            changed = True
        if changed:
            self._behind_since = None
            self._on_change()
