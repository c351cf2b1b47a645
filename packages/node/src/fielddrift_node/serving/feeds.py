"""Keep the views of what operators and targets wrote up to date.

The data centre's reader has them from the platform, the other nodes from the
reader; who reads is decided by `fielddrift_core.readers` at each turn.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import structlog
from fielddrift_core.catalog import Catalog
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_core.readers import OPERATORS_WAIT_SECONDS, READ_SECONDS, Reading, source

from .ports import HistoryGone, NamedWeights, OperatorNews, OutOfReach, Platform
from .sharing import OperatorCopy, Peers
from .target_listing import Listing
from .views import Views

__all__ = ["FeedTools", "OperatorFeed", "Rests", "TargetFeed"]

READER_KEY = "platform"
"""What the data centre's reader is chosen for."""
_LISTEN_SECONDS = 0.3
"""How soon a node that relies on a reader looks whether it is still there; news in the
reader's heartbeats wakes it at once."""
_FIRST_REST = 0.15
_LONGEST_REST = 1.0

_log = structlog.get_logger()


class _Origin(NamedTuple):
    """Who told of operators' rows; `seconds` for which the platform's answer was waited for."""

    name: str
    seconds: float | None = None


def _rounded(seconds: float | None) -> float | None:
    """Return `seconds` as a log line tells them; None for none and for never."""
    return None if seconds is None or seconds == float("inf") else round(seconds, 3)


class Rests:
    """Rest longer after each failure, with jitter; log the loss and the return."""

    def __init__(self, *, what: str, rng: random.Random) -> None:
        self._what = what
        self._rng = rng
        self._failures = 0

    @property
    def failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failures > 0

    def worked(self) -> None:
        """Note a call that worked."""
        if self._failures:
            _log.info("dependency regained", what=self._what, failures=self._failures)
        self._failures = 0

    async def failed(self, error: Exception) -> None:
        """Note a call that failed, and rest."""
        if not self._failures:
            _log.warning("dependency lost", what=self._what, error=str(error))
        self._failures += 1
        span = min(_LONGEST_REST, _FIRST_REST * 2 ** min(self._failures, 6))
        await asyncio.sleep(self._rng.uniform(span / 2, span))


class FeedTools(NamedTuple):
    """What both feeds work with."""

    platform: Platform
    peers: Peers
    neighbours: Neighbours
    views: Views
    rng: random.Random


class _Feed:
    """What both feeds have: where rows come from, and whom a change concerns."""

    def __init__(
        self,
        *,
        what: str,
        tools: FeedTools,
        changed: Callable[[], None],
    ) -> None:
        self._platform = tools.platform
        self._peers = tools.peers
        self._neighbours = tools.neighbours
        self._views = tools.views
        self._changed = changed
        self._after: int | None = None
        self._rests = Rests(what=what, rng=tools.rng)

    def reader(self) -> Neighbour | None:
        """Return the node that reads for this one, None when it reads for itself."""
        now = asyncio.get_running_loop().time()
        neighbours = self._neighbours
        chosen = source(
            neighbours.me.name,
            READER_KEY,
            neighbours.readings(now),
            active=neighbours.active(now),
            failing=self._rests.failing,
            capacity=neighbours.capacity,
        )
        return neighbours.node(chosen.name) if chosen.name else None


class OperatorFeed(_Feed):
    """Follow the operators' rows: with one long poll, and by what other nodes know.

    Whoever has something newer is asked for it, reader or not, so that a node
    that is cut off from the platform alone does not fall behind.
    """

    def __init__(
        self,
        *,
        tools: FeedTools,
        changed: Callable[[], None],
    ) -> None:
        super().__init__(what="operators' rows", tools=tools, changed=changed)
        self._call: asyncio.Task[None] | None = None
        self._hurry = False
        self._waiting = False
        """Whether the call under way is a long poll."""
        self._ahead: dict[str, Heartbeat] = {}
        """Nodes that told of something newer, by name, the first to be asked first."""
        self._told = asyncio.Event()

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat: a node that knows something newer is asked for it.

        What nodes elsewhere know, only the reader asks for; it is nearer to the others.
        """
        near = heartbeat.node.data_centre == self._neighbours.me.data_centre
        if self._is_newer(heartbeat) and (near or self.reader() is None):
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
        except HistoryGone:
            _log.info("history gone", what="operators' rows", after=self._after)
            self._after = None
        except (OutOfReach, msgspec.DecodeError) as error:
            await self._rests.failed(error)

    async def _turn(self) -> None:
        if self.reader() is not None and not self._views.stale.is_set():
            await asyncio.sleep(_LISTEN_SECONDS)
            return
        hurry, self._hurry = self._hurry, False
        at_once = hurry or self._after is None or self._rests.failing
        loop = asyncio.get_running_loop()
        began = loop.time()
        news = await self._ask(0.0 if at_once else OPERATORS_WAIT_SECONDS)
        if news is None:
            # What it should have told stands there to be read, over a new connection.
            self._hurry = True
            return
        self._rests.worked()
        self._after = news.version
        self._views.operators_row = max(self._views.operators_row, news.version)
        self._take(news.catalog, news.weights, _Origin("platform", loop.time() - began))
        self._views.operators_at = loop.time()
        self._views.current()

    async def _ask(self, wait: float) -> OperatorNews | None:
        """Return what the platform tells, None for a long poll that fell silent."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._waiting = wait > 0
        try:
            return await self._platform.operator_news(self._after, wait)
        except OutOfReach as error:
            seconds = loop.time() - began
            if not wait or error.sure:
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
        return heartbeat.catalog > known or named

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
        except OutOfReach as error:
            # Its next heartbeat, or another node's, says the same again.
            _log.info("node not reached", peer=node.name, error=str(error))

    def _take_copy(self, copy: OperatorCopy, told_by: str) -> None:
        self._views.operators_row = max(self._views.operators_row, copy.row)
        self._after = max(self._after or 0, copy.row)
        weights = tuple(NamedWeights(model, version) for model, version in copy.named.items())
        self._take(copy.catalog, weights, _Origin(told_by))

    def _take(
        self, catalog: Catalog | None, weights: tuple[NamedWeights, ...], origin: _Origin
    ) -> None:
        views = self._views
        now = asyncio.get_running_loop().time()
        sight = {
            "told_by": origin.name,
            "polled": _rounded(origin.seconds),
            "age": _rounded(now - views.operators_at),
        }
        changed = False
        if catalog is not None and views.take_catalog(catalog):
            assert views.catalog is not None
            _log.info(
                "catalog taken",
                version=views.catalog.version,
                row=views.operators_row,
                **sight,
            )
            changed = True
        for named in weights:
            if views.take_weights(named, now):
                known = views.known_seconds(named.model, named.version, now)
                _log.info(
                    "weights named",
                    model=named.model,
                    version=named.version,
                    known_seconds=round(known, 3),
                    **sight,
                )
                changed = True
        if changed:
            self._changed()


class _CopyMark(NamedTuple):
    """Whose list was copied; a node counts its serial anew in each of its lives."""

    name: str
    boot: int
    serial: int


def _mark(node: Neighbour, reading: Reading) -> _CopyMark:
    return _CopyMark(node.name, node.boot, reading.serial)


class TargetFeed(_Feed):
    """Follow the targets' entries: by reading now and then, or by the reader's heartbeats."""

    def __init__(
        self,
        *,
        tools: FeedTools,
        changed: Callable[[], None],
        returned: Callable[[], None],
    ) -> None:
        super().__init__(what="target entries", tools=tools, changed=changed)
        self._returned = returned
        self._copied: _CopyMark | None = None
        self._lost_at: float | None = None
        """When the store last gave no answer, None once the list is known as of later:
        entries may have lapsed unseen since."""
        self._wake = asyncio.Event()

    def heard(self, node: Neighbour, reading: Reading) -> None:
        """Take how far `node` has read; look at once where it is the reader."""
        copied = self._copied
        if copied is not None and copied.name == node.name and copied != _mark(node, reading):
            self._wake.set()

    def again(self) -> None:
        """Read at once."""
        self._wake.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                seconds = await self._turn()
            except HistoryGone:
                _log.info("history gone", what="target entries", after=self._after)
                self._after = None
                continue
            except OutOfReach as error:
                self._lost_at = asyncio.get_running_loop().time()
                await self._rests.failed(error)
                continue
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._wake.wait()

    async def _turn(self) -> float:
        """Bring the list up to date; return the seconds until the next turn."""
        chosen = self.reader()
        if chosen is not None and not self._views.stale.is_set() and await self._rely_on(chosen):
            return _LISTEN_SECONDS
        await self._read()
        return READ_SECONDS

    async def _rely_on(self, chosen: Neighbour) -> bool:
        """Follow what another node lists; return whether it could be asked."""
        now = asyncio.get_running_loop().time()
        reading = self._neighbours.readings(now).get(chosen.name, Reading())
        if reading.targets >= self._views.targets_row:
            if _mark(chosen, reading) != self._copied and not await self._copy(chosen):
                return False
            if self._lost_at is not None and now - reading.age > self._lost_at:
                self._lost_at = None
        self._give_up(chosen.name)
        return True

    def _give_up(self, told_by: str) -> None:
        """Give up entries whose respite is over, as a reading does."""
        now = asyncio.get_running_loop().time()
        before = Listing.of(self._views.registry, now)
        if before.lapsed:
            self._views.registry.tick(now)
            self._log_changes(before, told_by)

    async def _copy(self, chosen: Neighbour) -> bool:
        asked_at = asyncio.get_running_loop().time()
        try:
            copy = await self._peers.targets(chosen)
        except OutOfReach as error:
            _log.info("reader not reached", reader=chosen.name, error=str(error))
            return False
        if copy.row < self._views.targets_row:
            return False
        before = Listing.of(self._views.registry, asyncio.get_running_loop().time())
        # Counted from the question: no respite grows longer by being handed on.
        lapsed = {name: asked_at + seconds for name, seconds in copy.lapsed.items()}
        lost = self._lost_at is not None
        self._views.registry.copied(copy.entries, copy.leaving, lapsed, lost=lost)
        self._views.targets_row = copy.row
        self._after = copy.row
        self._copied = _CopyMark(chosen.name, chosen.boot, copy.serial)
        _log.info(
            "targets copied",
            told_by=chosen.name,
            row=copy.row,
            entries=len(copy.entries),
            lapsed=len(copy.lapsed),
        )
        self._log_changes(before, chosen.name)
        return True

    async def _read(self) -> None:
        news = await self._platform.target_news(self._after)
        now = asyncio.get_running_loop().time()
        registry = self._views.registry
        if self._lost_at is not None:
            registry.store_returned(now)
            self._returned()
        self._lost_at = None
        self._rests.worked()
        serial, before = registry.serial, Listing.of(registry, now)
        if news.whole:
            registry.replaced(news.entries, now)
        else:
            for entry in news.entries:
                registry.heard(entry, now)
            for name in news.ended:
                registry.gone(name, now)
        registry.tick(now)
        self._after = news.version
        self._views.targets_row = max(self._views.targets_row, news.version)
        self._log_changes(before, "platform")
        self._views.targets_at = now
        self._copied = None
        if registry.serial != serial:
            self._changed()

    def _log_changes(self, before: Listing, told_by: str) -> None:
        after = Listing.of(self._views.registry, asyncio.get_running_loop().time())
        for change in after.changes_since(before):
            _log.info(change.event, row=self._views.targets_row, told_by=told_by, **change.fields)
