"""Follow what store hosts keep, and free what can be of no more use."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Mapping

import structlog
from fielddrift_core.neighbours import Neighbours, StorePosition
from fielddrift_core.prompt import Part
from fielddrift_core.readers import STALE_POSITION_SECONDS, reader, store_sources
from fielddrift_core.store_index import KeptChange, StoreView

from .kept import salt_of
from .metrics import Metrics
from .ports import RemoteCallError, TargetDialect
from .sharing import PeerClient, StoreCopy, StoreCopyRequest
from .views import MAX_FETCH_SECONDS, Views

__all__ = ["StoreTracker"]

_WAIT_SECONDS = 1.0
_PAUSE_SECONDS = 0.25
"""Rest between event calls, and between copies: each carries what happened meanwhile."""
_REST_SECONDS = 0.5
_STANDBY_PAUSE_SECONDS = 1.0
"""Rest between copies of a node that stands by and still takes a prompt now and then."""
_UNREACHED_SECONDS = 2.0
"""How long a node that did not answer is not asked: its link may be full."""
_FIRST_PATIENCE_SECONDS = 0.5
"""How long a node without any view of a store waits for whoever should hear it: prompts
that come meanwhile are read anew."""
_LISTENER_KEY = "stores"
"""What a data centre's listener is chosen for: one node hears all store hosts."""
_FREE_AFTER_SECONDS = MAX_FETCH_SECONDS + 3.0
"""Parts are freed when no engine has had their weights for so long: the last fetch of
them is surely over then."""
_FREED_AT_ONCE = 500
"""Parts named in one call, some 20 KB."""

_log = structlog.get_logger()


def _patience(known: bool) -> float:
    """Return how long a store's view may come from nobody before this node listens itself."""
    return STALE_POSITION_SECONDS if known else _FIRST_PATIENCE_SECONDS


class StoreTracker:
    """Keep the store_index true to the stores."""

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
        self._listener = ""
        self._unreached: dict[str, float] = {}
        """Until when a node that did not answer is not asked again."""
        self._sources: dict[str, str] = {}
        """The node that each store's view is copied from."""
        self._missing: dict[str, float] = {}
        """Since when the listener has told nothing of a store."""
        self._used_at: dict[str, float] = {}
        """When each salt that is held could last be in use."""
        self._wake = asyncio.Event()

    def look(self) -> None:
        """Look at once which stores the catalog names, and who listens to them."""
        self._wake.set()

    async def run(self) -> None:
        """Follow every store of the catalog while prompts come here, until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._wake.clear()
                self._views.store_index.expire(loop.time())
                if self._takes_prompts(loop.time()):
                    self._listen(self._copied_elsewhere(loop.time()))
                    await self._copy(loop.time())
                else:
                    self._stand_by()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._pause(loop.time())):
                        await self._wake.wait()
        finally:
            self._listen_to({})

    def _pause(self, now: float) -> float:
        active = self._neighbours.is_active(now)
        # A node that stands by looks often, but follows seldom.
        following = not active and self._takes_prompts(now)
        return _STANDBY_PAUSE_SECONDS if following else _PAUSE_SECONDS

    def _takes_prompts(self, now: float) -> bool:
        """Return whether prompts come here: because callers are sent, or still.

        Callers keep an answer for some seconds, and just after a start they may be
        sent to a node that then stands by.  What it does not know, it has read anew.
        """
        return self._neighbours.is_active(now) or self._views.prompts.value(now) > 0

    def _stand_by(self) -> None:
        """Follow nothing: a node that takes no requests needs no view."""
        self._listen_to({})
        self._missing.clear()
        for view in self._views.store_index.views:
            view.unknown()
            view.received_at = float("-inf")

    # --- who listens ------------------------------------------------------------

    def _copied_elsewhere(self, now: float) -> set[str]:
        """Return the stores that this node need not listen to; choose whom to ask for each.

        The listener hears all stores, but one that was just chosen does not yet:
        until then any other node that hears a store is as good.
        """
        marks = self._reached(self._neighbours.kept(now), now)
        capacity = self._neighbours.capacity
        known = {view.traits.address: view.is_known for view in self._views.store_index.views}
        if not self._neighbours.is_active(now):
            # Heartbeats tell a node that stands by nothing of stores: it asks an active one.
            self._listener = reader(_LISTENER_KEY, marks, capacity=capacity)
            self._sources = dict.fromkeys(known, self._listener)
            return set(known)
        names = [self._neighbours.me.name, *marks]
        self._listener = reader(_LISTENER_KEY, names, capacity=capacity)
        self._sources = store_sources(known, marks, self._listener)
        if self._listener == self._neighbours.me.name:
            return set()
        for store in self._sources:
            self._missing.pop(store, None)
        # A listener that was just chosen needs a moment to hear a store.
        return {
            store
            for store, view_known in known.items()
            if store in self._sources
            or now - self._missing.setdefault(store, now) <= _patience(view_known)
        }

    def _reached(
        self, marks: Mapping[str, Mapping[str, StorePosition]], now: float
    ) -> dict[str, Mapping[str, StorePosition]]:
        """Leave out the nodes that did not answer lately."""
        return {name: seen for name, seen in marks.items() if now >= self._unreached.get(name, now)}

    def _listen(self, copied: set[str]) -> None:
        views = {view.traits.address: view for view in self._views.store_index.views}
        self._listen_to({store: view for store, view in views.items() if store not in copied})

    def _listen_to(self, wanted: dict[str, StoreView]) -> None:
        for address in [a for a in self._loops if a not in wanted]:
            self._loops.pop(address).cancel()
        for address, view in wanted.items():
            loop = self._loops.get(address)
            if loop is not None and loop.done() and not loop.cancelled():
                # A fault of ours must not leave a store unheard for good.
                _log.error("store loop failed", store=address, error=repr(loop.exception()))
            if loop is None or loop.done():
                self._loops[address] = asyncio.ensure_future(self._follow(view))

    async def _follow(self, view: StoreView) -> None:
        lost = False
        while True:
            try:
                if not view.is_known:
                    await self._list(view)
                await self._hear(view)
                if lost:
                    _log.info("dependency regained", what="store host", store=view.traits.address)
                lost = False
                await asyncio.sleep(_PAUSE_SECONDS)
            except RemoteCallError as error:
                if not lost:
                    address = view.traits.address
                    _log.warning(
                        "dependency lost", what="store host", store=address, error=str(error)
                    )
                lost = True
                view.unknown()
                rest = self._rng.uniform(_REST_SECONDS / 2, _REST_SECONDS)
                await asyncio.sleep(max(rest, self._paused(view, error)))

    def _paused(self, view: StoreView, error: RemoteCallError | None = None) -> float:
        """Return the seconds for which a store wants no call, by what `error` says too."""
        now = asyncio.get_running_loop().time()
        address, pauses = view.traits.address, self._views.pauses
        if error is not None and error.notice.pause > 0:
            pauses.asked(address, error.notice.pause, now)
        return pauses.left(address, now)

    async def _copy(self, now: float) -> None:
        """Have what changed from the nodes that hear the stores."""
        marks = self._neighbours.kept(now)
        asked: dict[str, list[StoreCopyRequest]] = {}
        for view in self._views.store_index.views:
            store = view.traits.address
            source = self._sources.get(store)
            if source is None or store in self._loops:
                continue
            view.received_at = float("-inf")
            mark = marks.get(source, {}).get(store)
            if mark is None or view.is_behind(mark.life, mark.following):
                asked.setdefault(source, []).append(
                    StoreCopyRequest(store, view.life, view.following)
                )
        for source, questions in asked.items():
            await self._copy_from(source, questions)

    async def _copy_from(self, source: str, questions: list[StoreCopyRequest]) -> None:
        node = self._neighbours.node(source)
        if node is None:
            return
        try:
            copies = await self._peers.kept(node, questions)
        except RemoteCallError as error:
            _log.info("reader not reached", reader=node.name, error=str(error))
            self._unreached[source] = asyncio.get_running_loop().time() + _UNREACHED_SECONDS
            return
        for copy in copies:
            self._take(copy)

    def _take(self, copy: StoreCopy) -> None:
        view = self._views.store_index.view(copy.store)
        if view is None or copy.store in self._loops:
            return
        if not view.is_behind(copy.life, copy.following):
            return
        if copy.held is not None:
            view.listed(copy.life, copy.following, copy.held)
        elif not all(view.apply(change) for change in copy.changes):
            view.unknown()
        self._views.record_engine_clock(copy.clock, asyncio.get_running_loop().time())

    # --- one store --------------------------------------------------------------

    async def _list(self, view: StoreView) -> None:
        listed = await self._targets.store_contents(view.traits)
        now = asyncio.get_running_loop().time()
        view.listed(
            listed.life,
            listed.following,
            [(held.salt, held.id, held.tokens) for held in listed.held],
        )
        view.received_at = now
        self._views.record_engine_clock(listed.clock, now)
        _log.info(
            "store listed",
            store=view.traits.address,
            life=listed.life,
            parts=len(listed.held),
            broken=len(listed.broken),
        )

    async def _hear(self, view: StoreView) -> None:
        events = await self._targets.store_changes(view.traits, view.following, _WAIT_SECONDS)
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
            return
        change = KeptChange(
            since=view.following,
            following=events.following,
            added=tuple((held.salt, held.id, held.tokens) for held in events.added),
            dropped=tuple((held.salt, held.id) for held in events.dropped),
        )
        view.apply(change)
        view.received_at = now
        self._views.record_engine_clock(events.clock, now)

    # --- freeing --------------------------------------------------------------

    def note_use(self) -> None:
        """Note which of the salts that stores hold parts of can still be in use."""
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
        old = {salt for salt, at in self._used_at.items() if now - at > _FREE_AFTER_SECONDS}
        for address, keys in views.store_index.keys_under(old).items():
            view = views.store_index.view(address)
            if view is None or view.life is None or self._paused(view):
                continue
            batch = keys[:_FREED_AT_ONCE]
            parts = [(salt, Part(part, 0)) for salt, part in batch]
            try:
                done = await self._targets.free(view.traits, parts, view.life)
            except RemoteCallError as error:
                self._paused(view, error)
                raise
            self._metrics.freed.inc(len(batch) if done else 0)
            _log.info("parts freed", store=address, parts=len(batch), done=done)
            if done:
                for salt, part in batch:
                    view.drop(salt, part)

    def _salts_in_use(self) -> tuple[str, ...] | None:
        """Return the beginnings of salts that engines may use; None while that is not sure."""
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
