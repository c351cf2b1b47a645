"""Do what one node does for all: order targets into their wanted state, tend store hosts.

Every duty is safe when two nodes do it at once: orders carry the lease's
fence and state the wanted end; what is freed is named with its attempt.
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

__all__ = ["Duties", "StoreTender", "TargetTender", "duty_names"]

GRACE_SECONDS = 3.0
PREVIOUS_SECONDS = 8.0
ORPHAN_SECONDS = 60.0
STORE_SECONDS = 10.0
_ORDERS = "orders/"
_HOLDING = "holding/"


def duty_names(configuration: Configuration) -> list[str]:
    """Return the names of all duties that a configuration asks for."""
    return [
        *(_ORDERS + model for model in configuration.deployments),
        *(_HOLDING + store for store in configuration.stores),
    ]


class TargetTender:
    """Bring the engines of a deployment into their wanted state."""

    def __init__(
        self, *, targets: TargetClient, pool: ThreadPoolExecutor, metrics: Metrics
    ) -> None:
        self._targets = targets
        self._pool = pool
        self._metrics = metrics
        self._in_force: dict[str, tuple[str, float]] = {}
        self._busy: dict[str, Future[None]] = {}

    def tend(self, deployment: Deployment, engines: tuple[Target, ...], fence: int) -> None:
        """Order what differs from the wanted state, and read it back.

        A target that checks no orders may have been given an old one by
        another node: its state is read each time, not assumed.  No engine
        waits for another that is slow to load.
        """
        versions = self._wanted(deployment)
        for engine in engines:
            order = Order(fence, deployment.model, versions, deployment.adapters, engine.work)
            busy = self._busy.get(engine.name)
            if busy is None or busy.done():
                self._busy[engine.name] = self._pool.submit(self._try_one, engine, order)

    def _try_one(self, engine: Target, order: Order) -> None:
        try:
            self._tend_one(engine, order)
        except ExternalSystemError as error:
            get().info("order not confirmed", target=engine.name, error=str(error))

    def _wanted(self, deployment: Deployment) -> tuple[str, ...]:
        """Return the versions to order; the previous one stays for a while after a swap."""
        now = clock.now()
        version, since = self._in_force.get(deployment.model, ("", now))
        if version != deployment.version:
            since = now
            self._in_force[deployment.model] = (deployment.version, since)
        if deployment.previous and now - since < PREVIOUS_SECONDS:
            return (*deployment.wanted, deployment.previous)
        return deployment.wanted

    def _tend_one(self, engine: Target, order: Order) -> None:
        if order.holds(self._targets.state(engine)):
            return
        self._metrics.add("duties.orders")
        if not self._targets.order(engine, order):
            self._metrics.add("duties.fenced")


class StoreTender:
    """Keep a store host within its room, and free what is no longer worth it.

    Freeing takes the manifest away first, waits until readers that had found
    it are done, and only then deletes the parts.
    """

    def __init__(self, *, stores: Stores, metrics: Metrics) -> None:
        self._stores = stores
        self._metrics = metrics
        self._freed: list[tuple[float, StoreHost, str]] = []
        self._orphans: dict[tuple[str, str], float] = {}

    def tend(
        self, store: StoreHost, configuration: Configuration, week_second: float, now: float
    ) -> None:
        """Do one round on a store host; raise `ExternalSystemError`."""
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
            self._move(client, entry, "disk")
        for entry in wanted.promote:
            self._move(client, entry, "memory")
        for entry in wanted.free:
            self._free(client, store, entry, now)
        self._delete_freed(now)
        self._sweep(client, store, held, now)

    def _move(self, client: StoreClient, entry: StoredPrefix, tier: str) -> None:
        client.set_tier(entry.path, tier)
        self._metrics.add("holding.moved")

    def _free(self, client: StoreClient, store: StoreHost, entry: StoredPrefix, now: float) -> None:
        if client.remove(entry.path, entry.attempt):
            self._metrics.add("holding.freed")
            self._freed.append((now + GRACE_SECONDS, store, entry.attempt))

    def _delete_freed(self, now: float) -> None:
        due = [entry for entry in self._freed if entry[0] <= now]
        self._freed = [entry for entry in self._freed if entry[0] > now]
        for _, store, attempt in due:
            client = self._stores.client(store)
            for part in client.parts():
                if part.startswith(attempt + "/"):
                    client.delete_part(part)

    def _sweep(
        self, client: StoreClient, store: StoreHost, held: list[StoredPrefix], now: float
    ) -> None:
        """Delete parts whose manifest never came, or whose freeing was cut short."""
        known = {entry.attempt for entry in held}
        parts = client.parts()
        for part in parts:
            key = (store.name, part)
            if part.split("/")[0] in known:
                self._orphans.pop(key, None)
            elif now - self._orphans.setdefault(key, now) >= ORPHAN_SECONDS:
                client.delete_part(part)
                del self._orphans[key]
                self._metrics.add("holding.swept")


class Duties:
    """Run the duties whose leases this node holds."""

    def __init__(
        self,
        *,
        leases: Leases,
        target_tender: TargetTender,
        store_tender: StoreTender,
        week_start: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._leases = leases
        self._target_tender = target_tender
        self._store_tender = store_tender
        self._week_start = week_start
        self._wall_clock = wall_clock
        self._tended_at: dict[str, float] = {}

    def turn(self, configuration: Configuration) -> None:
        """Do one round of all duties held."""
        for model, deployment in configuration.deployments.items():
            fence = self._leases.fence(_ORDERS + model)
            if fence is not None:
                engines = configuration.serving(TargetRole.ENGINE, model)
                self._target_tender.tend(deployment, engines, fence)
        for name, store in configuration.stores.items():
            if self._leases.fence(_HOLDING + name) is not None and self._due(name):
                self._tend_store(store, configuration)

    def _due(self, store: str) -> bool:
        """Return whether it is time to list a store host again: its list is long."""
        now = clock.now()
        if now - self._tended_at.get(store, float("-inf")) < STORE_SECONDS:
            return False
        self._tended_at[store] = now
        return True

    def _tend_store(self, store: StoreHost, configuration: Configuration) -> None:
        week_second = (self._wall_clock() - self._week_start) % WEEK_SECONDS
        try:
            self._store_tender.tend(store, configuration, week_second, clock.now())
        except ExternalSystemError as error:
            get().info("store host not tended", store=store.name, error=str(error))
