"""Gather what the filters of one node work with."""

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

__all__ = ["Links", "Places", "RequestLog", "Runtime"]

_MOST_REQUESTS = 10_000


class RequestLog:
    """Remember the state of this node's latest requests, by their ids."""

    def __init__(self) -> None:
        self._states: OrderedDict[str, tuple[str, str]] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, request_id: str, customer: str, state: str) -> None:
        """Note a request's state: running, ran, not-run or unknown."""
        with self._lock:
            self._states[request_id] = (customer, state)
            self._states.move_to_end(request_id)
            while len(self._states) > _MOST_REQUESTS:
                self._states.popitem(last=False)

    def state(self, request_id: str, customer: str) -> str:
        """Return a request's state, unknown when it is another customer's."""
        with self._lock:
            owner, state = self._states.get(request_id, ("", "unknown"))
        return state if owner == customer else "unknown"

    def running(self) -> int:
        """Return how many requests are running."""
        with self._lock:
            return sum(state == "running" for _, state in self._states.values())


class Links:
    """Keep one `Link` per store host.  Safe for threads."""

    def __init__(self, *, clock: Callable[[], float] = clock.now) -> None:
        self._clock = clock
        self._links: dict[str, Link] = {}
        self._lock = threading.Lock()

    def import_seconds(self, store: StoreHost, size: int) -> float:
        """Return how long an import would take from now."""
        with self._lock:
            return self._link(store).import_seconds(size, self._clock())

    def begin_import(self, store: StoreHost, run: int, size: int) -> None:
        """Count the import of a run as under way."""
        with self._lock:
            self._link(store).begin_import(run, size, self._clock())

    def end_import(self, store: StoreHost, run: int, seconds: float | None) -> None:
        """Count the import of a run as ended after `seconds`, None when it failed."""
        with self._lock:
            self._link(store).end_import(run, self._clock(), seconds)

    def begin_export(self, store: StoreHost, size: int) -> bool:
        """Count an export as under way; False when imports leave no room."""
        with self._lock:
            link = self._link(store)
            if not link.may_export(self._clock()):
                return False
            link.begin_export(size)
            return True

    def end_export(self, store: StoreHost, size: int) -> None:
        """Count an export as ended."""
        with self._lock:
            self._link(store).end_export(size)

    def _link(self, store: StoreHost) -> Link:
        return self._links.setdefault(store.name, Link(rate=store.link_rate))


class Places:
    """Bound the requests in progress, so that none waits for a thread unseen."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._taken = 0
        self._lock = threading.Lock()

    @property
    def taken(self) -> int:
        """Return how many places are taken."""
        return self._taken

    def take(self) -> bool:
        """Take a place; False when all are taken."""
        with self._lock:
            if self._taken >= self._limit:
                return False
            self._taken += 1
            return True

    def give_back(self) -> None:
        """Give a place back."""
        with self._lock:
            self._taken -= 1


class Runtime(NamedTuple):
    """Everything that a request may use; built once by the daemon."""

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
    places: Places
    tickets: Tickets
    tell: Callable[[str, Sighting], None]
    leaving: Callable[[str], bool]
    heard_headers: Callable[[str, Mapping[str, str]], None]
