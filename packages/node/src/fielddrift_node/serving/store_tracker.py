"""Track which parts the store hosts hold, and free parts that cannot be used any more."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Mapping

import structlog
from fielddrift_core.neighbours import Neighbours, StorePosition
from fielddrift_core.readers import STALE_POSITION_SECONDS, reader, store_sources
from fielddrift_core.store_index import KeptChange, StoreConfirmation, StoreView

from .metrics import Metrics
from .part_transfers import salt_of
from .ports import FreeOrder, RemoteCallError, TargetDialect
from .sharing import PeerClient, StoreCopy, StoreCopyRequest
from .views import MAX_FETCH_SECONDS, Views

__all__ = ["StoreTracker"]

_POLL_WAIT_SECONDS = 0.3
"""How long a store may hold a poll: with each answer it renews the lease on its view."""
_FIRST_POLL_WAIT_SECONDS = 0.2
"""The same for the first poll of a store's process."""
_POLL_INTERVAL_SECONDS = 0.25
"""Interval between polls for events, and between copies; each poll returns all changes since the
last one."""
_RETRY_SECONDS = 0.5
_STANDBY_INTERVAL_SECONDS = 1.0
"""Interval between copies of a standby node that still receives a prompt now and then."""
_UNREACHABLE_SECONDS = 2.0
"""How long a node that did not answer is skipped, as its link may be saturated."""
_FIRST_VIEW_TIMEOUT_SECONDS = 0.5
"""How long a node without any view of a store waits for the follower to report one. Prompts that
arrive in the meantime are computed without stored parts."""
_FOLLOWER_KEY = "stores"
"""Key by which a data centre's follower is chosen, the one node that follows all store hosts."""
_FREE_AFTER_SECONDS = MAX_FETCH_SECONDS + 3.0
"""Parts are freed after no engine has had their weights for this long, when their last fetch has
certainly ended."""
_FREE_TIMEOUT_SECONDS = 1.0
"""How long a call to free parts may be carried out.  Later the engines may use their weights again,
since an engine can go back to older ones."""
_MAX_FREED_COUNT = 500
"""Parts per call, about 20 KB."""

_log = structlog.get_logger()


def _report_timeout(known: bool) -> float:
    """Return how long no node may report a store's view before this node follows the store
    itself."""
    return STALE_POSITION_SECONDS if known else _FIRST_VIEW_TIMEOUT_SECONDS


class StoreTracker:
    """Keeps the store index up to date with the stores."""

    def __init__(
        self,
        *,
        views: Views,
        targets: TargetDialect,
        neighbours: Neighbours,
        peers: PeerClient,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._metrics = metrics
        self._views = views
        self._targets = targets
        self._neighbours = neighbours
        self._peers = peers
        self._rng = rng
        self._loops: dict[str, asyncio.Task[None]] = {}
        self._follower = ""
        self._skip_until: dict[str, float] = {}
        """When a node that did not answer may be asked again."""
        self._sources: dict[str, str] = {}
        """The node that each store's view is copied from."""
        self._missing_since: dict[str, float] = {}
        """Since when the follower has reported nothing about a store."""
        self._used_at: dict[str, float] = {}
        """When each salt that stores hold parts of may last have been in use."""
        self._wake = asyncio.Event()

    def check_now(self) -> None:
        """Check at once which stores the catalog lists and which node follows them."""
        self._wake.set()

    async def run(self) -> None:
        """Track every store of the catalog while this node receives prompts, until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._wake.clear()
                self._views.store_index.expire(loop.time())
                if self._receives_prompts(loop.time()):
                    self._follow_uncopied(self._choose_sources(loop.time()))
                    await self._copy(loop.time())
                else:
                    self._stand_by()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._interval(loop.time())):
                        await self._wake.wait()
        finally:
            self._set_followed({})

    def _interval(self, now: float) -> float:
        active = self._neighbours.is_active(now)
        # A standby node checks often but copies rarely.
        following = not active and self._receives_prompts(now)
        return _STANDBY_INTERVAL_SECONDS if following else _POLL_INTERVAL_SECONDS

    def _receives_prompts(self, now: float) -> bool:
        """Return whether this node receives prompts, either as an active node or still.

        Callers cache an entry answer for some seconds, and just after a start they may be sent to a
        node that then becomes a standby. Parts unknown to that node are computed.
        """
        return self._neighbours.is_active(now) or self._views.prompts.value(now) > 0

    def _stand_by(self) -> None:
        """Follow no store: a node that receives no requests needs no views."""
        self._set_followed({})
        self._missing_since.clear()
        for view in self._views.store_index.views:
            if view.is_known or view.held:
                view.unknown()
            view.received_at = float("-inf")

    # --- choice of sources --------------------------------------------------------

    def _choose_sources(self, now: float) -> set[str]:
        """Return the stores that this node need not follow, and choose a source for each.

        The follower follows all stores, but one that was just chosen has no views yet. Until then
        any other node that follows a store is used as the source.
        """
        marks = self._reachable(self._neighbours.kept(now), now)
        capacity = self._neighbours.capacity
        known = {view.traits.address: view.is_known for view in self._views.store_index.views}
        if not self._neighbours.is_active(now):
            # Standby nodes get no store positions in heartbeats, so they ask an active node.
            self._follower = reader(_FOLLOWER_KEY, marks, capacity=capacity)
            self._sources = dict.fromkeys(known, self._follower)
            return set(known)
        names = [self._neighbours.me.name, *marks]
        self._follower = reader(_FOLLOWER_KEY, names, capacity=capacity)
        self._sources = store_sources(known, marks, self._follower)
        if self._follower == self._neighbours.me.name:
            return set()
        for store in self._sources:
            self._missing_since.pop(store, None)
        # A follower that was just chosen needs some time to read a store.
        return {
            store
            for store, view_known in known.items()
            if store in self._sources
            or now - self._missing_since.setdefault(store, now) <= _report_timeout(view_known)
        }

    def _reachable(
        self, marks: Mapping[str, Mapping[str, StorePosition]], now: float
    ) -> dict[str, Mapping[str, StorePosition]]:
        """Leave out the nodes that recently did not answer."""
        return {
            name: positions
            for name, positions in marks.items()
            if now >= self._skip_until.get(name, now)
        }

    def _follow_uncopied(self, copied: set[str]) -> None:
        views = {view.traits.address: view for view in self._views.store_index.views}
        self._set_followed({store: view for store, view in views.items() if store not in copied})

    def _set_followed(self, wanted: dict[str, StoreView]) -> None:
        for address in [a for a in self._loops if a not in wanted]:
            self._loops.pop(address).cancel()
        for address, view in wanted.items():
            loop = self._loops.get(address)
            if loop is not None and loop.done() and not loop.cancelled():
                # After a bug ends the loop, the store must still be followed, so a new loop is
                # started.
                _log.error("store loop failed", store=address, error=repr(loop.exception()))
            if loop is None or loop.done():
                self._loops[address] = asyncio.ensure_future(self._follow_store(view))

    async def _follow_store(self, view: StoreView) -> None:
        lost = False
        while True:
            try:
                if not view.is_known:
                    await self._read_all(view)
                await self._poll_events(view)
                if lost:
                    _log.info("dependency regained", what="store host", store=view.traits.address)
                lost = False
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            except RemoteCallError as error:
                if not lost:
                    address = view.traits.address
                    _log.warning(
                        "dependency lost", what="store host", store=address, error=str(error)
                    )
                lost = True
                view.unknown()
                delay = self._rng.uniform(_RETRY_SECONDS / 2, _RETRY_SECONDS)
                await asyncio.sleep(max(delay, self._pause_seconds(view, error)))

    def _pause_seconds(self, view: StoreView, error: RemoteCallError | None = None) -> float:
        """Return the seconds for which a store wants no calls, also recording the notice in
        `error`."""
        now = asyncio.get_running_loop().time()
        address, pauses = view.traits.address, self._views.pauses
        if error is not None and error.notice.pause > 0:
            pauses.record(address, error.notice.pause, now)
        return pauses.left(address, now)

    async def _copy(self, now: float) -> None:
        """Copy the changes from the nodes that follow the stores."""
        marks = self._neighbours.kept(now)
        requests_by_source: dict[str, list[StoreCopyRequest]] = {}
        for view in self._views.store_index.views:
            store = view.traits.address
            source = self._sources.get(store)
            if source is None or store in self._loops:
                continue
            view.received_at = float("-inf")
            position = marks.get(source, {}).get(store)
            if position is None or view.is_behind(position.life, position.following):
                requests_by_source.setdefault(source, []).append(
                    StoreCopyRequest(store, view.life, view.following)
                )
        for source, requests in requests_by_source.items():
            await self._copy_from(source, requests)

    async def _copy_from(self, source: str, requests: list[StoreCopyRequest]) -> None:
        node = self._neighbours.node(source)
        if node is None:
            return
        try:
            copies = await self._peers.kept(node, requests)
        except RemoteCallError as error:
            _log.info("reader not reached", reader=node.name, error=str(error))
            self._skip_until[source] = asyncio.get_running_loop().time() + _UNREACHABLE_SECONDS
            return
        for copy in copies:
            self._apply_copy(copy, node.name)

    def _apply_copy(self, copy: StoreCopy, source: str) -> None:
        view = self._views.store_index.view(copy.store)
        if view is None or copy.store in self._loops:
            return
        if not view.is_behind(copy.life, copy.following):
            return
        if copy.held is not None:
            _log.info(
                "store view copied",
                store=copy.store,
                life=copy.life,
                before=view.life,
                parts=len(copy.held),
                told_by=source,
            )
            view.listed(copy.life, copy.following, copy.held)
        elif not all(view.apply(change) for change in copy.changes):
            view.unknown()
        self._views.record_engine_clock(copy.clock, asyncio.get_running_loop().time())

    # --- one store --------------------------------------------------------------

    async def _read_all(self, view: StoreView) -> None:
        listed = await self._targets.store_contents(view.traits)
        now = asyncio.get_running_loop().time()
        view.listed(
            listed.life,
            listed.following,
            [(held.salt, held.id, held.tokens) for held in listed.held],
        )
        view.received_at = now
        _confirm(view, listed.life, listed.clock)
        self._views.record_engine_clock(listed.clock, now)
        _log.info(
            "store listed",
            store=view.traits.address,
            life=listed.life,
            parts=len(listed.held),
            broken=len(listed.broken),
        )

    async def _poll_events(self, view: StoreView) -> None:
        # A list does not tell the engines' clock, without which nothing can be fetched.
        wait = _FIRST_POLL_WAIT_SECONDS if view.confirmation is None else _POLL_WAIT_SECONDS
        events = await self._targets.store_changes(view.traits, view.following, wait)
        now = asyncio.get_running_loop().time()
        if events.life != view.life or events.gap:
            _log.info(
                "store view dropped",
                store=view.traits.address,
                life=events.life,
                before=view.life,
                gap=events.gap,
            )
            view.unknown()
            _confirm(view, events.life, events.clock)
            return
        change = KeptChange(
            since=view.following,
            following=events.following,
            added=tuple((held.salt, held.id, held.tokens) for held in events.added),
            dropped=tuple((held.salt, held.id) for held in events.dropped),
        )
        view.apply(change)
        view.received_at = now
        _confirm(view, events.life, events.clock)
        self._views.record_engine_clock(events.clock, now)

    # --- freeing --------------------------------------------------------------

    def record_use(self) -> None:
        """Record which salts that stores hold parts of may still be in use."""
        now = asyncio.get_running_loop().time()
        held = self._views.store_index.salts()
        used = self._salts_in_use()
        self._used_at = {
            salt: now if used is None or salt.startswith(used) else self._used_at.get(salt, now)
            for salt in held
        }

    async def free_outdated(self) -> None:
        """Free parts of weights that no engine has had for some time."""
        views = self._views
        now = asyncio.get_running_loop().time()
        unused = {salt for salt, at in self._used_at.items() if now - at > _FREE_AFTER_SECONDS}
        for address, keys in views.store_index.keys_under(unused).items():
            view = views.store_index.view(address)
            if view is None or view.life is None or self._pause_seconds(view):
                continue
            until = views.to_engine_clock(now + _FREE_TIMEOUT_SECONDS)
            if until is None:
                continue
            batch = keys[:_MAX_FREED_COUNT]
            order = FreeOrder(address, batch, view.life, until)
            try:
                done = await self._targets.free(order)
            except RemoteCallError as error:
                self._pause_seconds(view, error)
                raise
            self._metrics.freed.inc(len(batch) if done else 0)
            _log.info("parts freed", store=address, parts=len(batch), done=done)
            if done and view.life == order.life:
                for salt, part in batch:
                    view.drop(salt, part)

    def _salts_in_use(self) -> tuple[str, ...] | None:
        """Return the prefixes of the salts that engines may use, or None while they are unknown."""
        views = self._views
        if views.catalog is None or views.stale.is_set():
            return None
        salts = []
        for service in views.catalog.engines:
            assert service.engine is not None
            engines = [engine for engine in views.registry.all() if engine.service == service.name]
            for model in service.engine.models:
                named = views.named.get(model)
                weights = {views.weights_of(engine.name, model) for engine in engines}
                if named is None or None in weights:
                    return None
                salts += [salt_of(model, version) for version in {named, *weights} if version]
        return tuple(salts)


def _confirm(view: StoreView, life: int, clock: int | None) -> None:
    """Record that a store answered at `clock`, in ms on the engines' clock, as process `life`."""
    if clock is not None:
        view.confirm(StoreConfirmation(life, clock, clock))
