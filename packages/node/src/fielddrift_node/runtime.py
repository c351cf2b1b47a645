"""Shared state and services of one node, for the filters that handle its requests."""

from __future__ import annotations

import random
import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from fielddrift_core.admission import Admission
from fielddrift_core.links import Link
from fielddrift_core.model import StoreHost
from fielddrift_core.routing import Policy

from . import clock
from .board import Board
from .claims import ClaimManager
from .configuration import ConfigSync
from .crash_desk import CrashDesk
from .exporter import Exporter
from .metrics import Metrics
from .settings import Settings
from .sightings import Sighting
from .stores import Stores
from .targets import TargetClient
from .tickets import Tickets
from .watch import Watch

__all__ = ["Links", "RequestLog", "RequestSlots", "Runtime"]

_MAX_REQUESTS = 10_000


class RequestLog:
    """Keep the states of this node's latest requests by request id.  Thread-safe."""

    def __init__(self) -> None:
        self._states: OrderedDict[str, tuple[str, str]] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, request_id: str, customer: str, state: str) -> None:
        """Record the state of a request: running, ran, not-run or unknown."""
        with self._lock:
            self._states[request_id] = (customer, state)
            self._states.move_to_end(request_id)
            while len(self._states) > _MAX_REQUESTS:
                self._states.popitem(last=False)

    def state(self, request_id: str, customer: str) -> str:
        """Return the state of a request; unknown if it is not kept or is another customer's."""
        with self._lock:
            owner, state = self._states.get(request_id, ("", "unknown"))
        return state if owner == customer else "unknown"

    def running(self) -> int:
        """Return the number of running requests."""
        with self._lock:
            return sum(state == "running" for _, state in self._states.values())


class Links:
    """Keep one `Link` per store host.  Thread-safe."""

    def __init__(self, *, clock: Callable[[], float] = clock.now) -> None:
        self._clock = clock
        self._links: dict[str, Link] = {}
        self._lock = threading.Lock()

    def import_seconds(self, store: StoreHost, size: int) -> float:
        """Return the estimated seconds that an import of `size` bytes takes if it starts now."""
        with self._lock:
            return self._link(store).import_seconds(size, self._clock())

    def begin_import(self, store: StoreHost, run: int, size: int) -> None:
        """Record the start of an import of `size` bytes for a run."""
        with self._lock:
            self._link(store).begin_import(run, size, self._clock())

    def end_import(self, store: StoreHost, run: int, seconds: float | None) -> None:
        """Record the end of a run's import after `seconds`, or None if it failed."""
        with self._lock:
            self._link(store).end_import(run, self._clock(), seconds)

    def begin_export(self, store: StoreHost, size: int) -> bool:
        """Record the start of an export; return False if imports leave no capacity for it."""
        with self._lock:
            link = self._link(store)
            if not link.may_export(self._clock()):
                return False
            link.begin_export(size)
            return True

    def end_export(self, store: StoreHost, size: int) -> None:
        """Record the end of an export."""
        with self._lock:
            self._link(store).end_export(size)

    def _link(self, store: StoreHost) -> Link:
        return self._links.setdefault(store.name, Link(rate=store.link_rate))


class RequestSlots:
    """Limit the requests in progress, so that none queues for a thread without being counted.

    Thread-safe.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._taken = 0
        self._lock = threading.Lock()

    @property
    def taken(self) -> int:
        """Return the number of slots in use."""
        return self._taken

    def acquire(self) -> bool:
        """Acquire a slot; return False if all are in use."""
        with self._lock:
            if self._taken >= self._limit:
                return False
            self._taken += 1
            return True

    def release(self) -> None:
        """Release a slot."""
        with self._lock:
            self._taken -= 1


class Runtime(NamedTuple):
    """Everything that a request may use; the daemon creates it once."""

    settings: Settings
    metrics: Metrics
    config: ConfigSync
    watch: Watch
    board: Board
    targets: TargetClient
    stores: Stores
    links: Links
    claims: ClaimManager
    crashes: CrashDesk
    admission: Admission
    admission_lock: threading.Lock
    requests: RequestLog
    policy: Policy
    rng: random.Random
    pool: ThreadPoolExecutor
    exporter: Exporter
    request_slots: RequestSlots
    tickets: Tickets
    send_sighting: Callable[[str, Sighting], None]
    leaving: Callable[[str], bool]
    handle_target_headers: Callable[[str, Mapping[str, str]], None]
