"""Run the duties that one node performs for all: reconciling targets and store hosts.

Every duty is safe when two nodes perform it at once: orders carry the fencing
token of the lease and state the wanted end state, and a prefix is freed under
the id of the attempt that wrote it.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from fielddrift_core.holding import WEEK_SECONDS, StoredPrefix, plan_tiers
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import Configuration, Deployment, StoreHost, Target, TargetRole

from . import clock
from .leasing import Leases
from .log import get
from .metrics import Metrics
from .stores import StoreClient, Stores
from .targets import Order, TargetClient

__all__ = ["Duties", "StoreReconciler", "TargetReconciler", "duty_names"]

DELETE_DELAY_SECONDS = 3.0
"""Time between removing a manifest and deleting its parts, for readers that had found it."""
PREVIOUS_VERSION_SECONDS = 8.0
"""Time for which the previous version stays loaded after a version change."""
ORPHAN_PART_SECONDS = 60.0
"""Time from when a part is first seen without a manifest until it is deleted."""
STORE_INTERVAL_SECONDS = 10.0
"""Minimum interval between two rounds on one store host; each lists all of its prefixes."""
_ORDERS_PREFIX = "orders/"
_HOLDING_PREFIX = "holding/"


def duty_names(configuration: Configuration) -> list[str]:
    """Return the names of all duties of a configuration: one per deployment and per store host."""
    return [
        *(_ORDERS_PREFIX + model for model in configuration.deployments),
        *(_HOLDING_PREFIX + store for store in configuration.stores),
    ]


class TargetReconciler:
    """Bring the engines of a deployment into their wanted state."""

    def __init__(
        self, *, targets: TargetClient, pool: ThreadPoolExecutor, metrics: Metrics
    ) -> None:
        self._targets = targets
        self._pool = pool
        self._metrics = metrics
        self._version_since: dict[str, tuple[str, float]] = {}
        self._busy: dict[str, Future[None]] = {}

    def reconcile(self, deployment: Deployment, engines: tuple[Target, ...], fence: int) -> None:
        """Start sending an order to each engine whose state differs from the wanted one.

        The state of each engine is read in every round: a target that does not
        check fencing tokens may have applied an outdated order of another node.
        Engines are handled in parallel, so that one that loads slowly delays
        no other.
        """
        versions = self._wanted(deployment)
        for engine in engines:
            order = Order(fence, deployment.model, versions, deployment.adapters, engine.work)
            busy = self._busy.get(engine.name)
            if busy is None or busy.done():
                self._busy[engine.name] = self._pool.submit(self._try_engine, engine, order)

    def _try_engine(self, engine: Target, order: Order) -> None:
        try:
            self._reconcile_engine(engine, order)
        except ExternalSystemError as error:
            get().info("order not confirmed", target=engine.name, error=str(error))

    def _wanted(self, deployment: Deployment) -> tuple[str, ...]:
        """Return the versions to order: for `PREVIOUS_VERSION_SECONDS` after a change also the
        previous one."""
        now = clock.now()
        version, since = self._version_since.get(deployment.model, ("", now))
        if version != deployment.version:
            since = now
            self._version_since[deployment.model] = (deployment.version, since)
        if deployment.previous and now - since < PREVIOUS_VERSION_SECONDS:
            return (*deployment.wanted, deployment.previous)
        return deployment.wanted

    def _reconcile_engine(self, engine: Target, order: Order) -> None:
        if order.holds(self._targets.state(engine)):
            return
        self._metrics.add("duties.orders")
        if not self._targets.order(engine, order):
            self._metrics.add("duties.fenced")


class StoreReconciler:
    """Keep a store host within its capacity and evict the prefixes that are worth the least.

    Eviction removes the manifest first, waits `DELETE_DELAY_SECONDS` for readers
    that had found it, and only then deletes the parts.
    """

    def __init__(self, *, stores: Stores, metrics: Metrics) -> None:
        self._stores = stores
        self._metrics = metrics
        self._pending_deletes: list[tuple[float, StoreHost, str]] = []
        self._orphan_since: dict[tuple[str, str], float] = {}

    def reconcile(
        self, store: StoreHost, configuration: Configuration, week_second: float, now: float
    ) -> None:
        """Run one round on a store host.

        `week_second` is the time since the start of the week, `now` that of `clock.now`,
        both in seconds.  Raises `ExternalSystemError` when a call to the host fails.
        """
        client = self._stores.client(store)
        held = client.held()
        wanted = plan_tiers(
            held,
            rules=configuration.holds,
            memory=store.memory,
            disk=store.disk,
            week_second=week_second,
        )
        for entry in wanted.demote:
            self._set_tier(client, entry, "disk")
        for entry in wanted.promote:
            self._set_tier(client, entry, "memory")
        for entry in wanted.free:
            self._evict(client, store, entry, now)
        self._delete_parts(now)
        self._delete_orphans(client, store, held, now)

    def _set_tier(self, client: StoreClient, entry: StoredPrefix, tier: str) -> None:
        client.set_tier(entry.path, tier)
        self._metrics.add("holding.moved")

    def _evict(
        self, client: StoreClient, store: StoreHost, entry: StoredPrefix, now: float
    ) -> None:
        if client.remove(entry.path, entry.attempt):
            self._metrics.add("holding.freed")
            self._pending_deletes.append((now + DELETE_DELAY_SECONDS, store, entry.attempt))

    def _delete_parts(self, now: float) -> None:
        due = [entry for entry in self._pending_deletes if entry[0] <= now]
        self._pending_deletes = [entry for entry in self._pending_deletes if entry[0] > now]
        for _, store, attempt in due:
            client = self._stores.client(store)
            for part in client.parts():
                if part.startswith(attempt + "/"):
                    client.delete_part(part)

    def _delete_orphans(
        self, client: StoreClient, store: StoreHost, held: list[StoredPrefix], now: float
    ) -> None:
        """Delete parts whose manifest was never written or whose eviction was interrupted."""
        known = {entry.attempt for entry in held}
        parts = client.parts()
        for part in parts:
            key = (store.name, part)
            if part.split("/")[0] in known:
                self._orphan_since.pop(key, None)
            elif now - self._orphan_since.setdefault(key, now) >= ORPHAN_PART_SECONDS:
                client.delete_part(part)
                del self._orphan_since[key]
                self._metrics.add("holding.swept")


class Duties:
    """Run the duties whose leases this node holds."""

    def __init__(
        self,
        *,
        leases: Leases,
        target_reconciler: TargetReconciler,
        store_reconciler: StoreReconciler,
        week_start: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._leases = leases
        self._target_reconciler = target_reconciler
        self._store_reconciler = store_reconciler
        self._week_start = week_start
        self._wall_clock = wall_clock
        self._reconciled_at: dict[str, float] = {}

    def turn(self, configuration: Configuration) -> None:
        """Run one round of all duties whose leases are held."""
        for model, deployment in configuration.deployments.items():
            fence = self._leases.fence(_ORDERS_PREFIX + model)
            if fence is not None:
                engines = configuration.serving(TargetRole.ENGINE, model)
                self._target_reconciler.reconcile(deployment, engines, fence)
        for name, store in configuration.stores.items():
            if self._leases.fence(_HOLDING_PREFIX + name) is not None and self._due(name):
                self._reconcile_store(store, configuration)

    def _due(self, store: str) -> bool:
        """Return whether a store host is due for a round, and if so, start its next interval.

        The rounds are spaced out because the list of prefixes on a host is long.
        """
        now = clock.now()
        if now - self._reconciled_at.get(store, float("-inf")) < STORE_INTERVAL_SECONDS:
            return False
        self._reconciled_at[store] = now
        return True

    def _reconcile_store(self, store: StoreHost, configuration: Configuration) -> None:
        week_second = (self._wall_clock() - self._week_start) % WEEK_SECONDS
        try:
            self._store_reconciler.reconcile(store, configuration, week_second, clock.now())
        except ExternalSystemError as error:
            get().info("store host round failed", store=store.name, error=str(error))
