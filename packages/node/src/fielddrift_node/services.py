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

from .board import Board
from .claims import ClaimDesk
from .configuration import ConfigSync
from .exporter import Exporter
from .metrics import Metrics
from .settings import Settings
from .stores import Stores
from .targets import TargetClient
from .watch import Watch

__all__ = ["Links", "Places", "RequestLog", "Services"]

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
    """Keep one `Link` per store host, each this node's part of it."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._lock = threading.Lock()
        self._nodes = 1

    def share_among(self, nodes: int) -> None:
        """Set among how many nodes the links are shared."""
        self._nodes = max(1, nodes)

    def import_seconds(self, store: StoreHost, size: int) -> float:
        """Return how long an import would take from now."""
        with self._lock:
            return self._link(store).import_seconds(size)

    def begin_import(self, store: StoreHost, size: int) -> None:
        """Count an import as under way."""
        with self._lock:
            self._link(store).begin(size)

    def end_import(self, store: StoreHost, size: int) -> None:
        """Count an import as ended."""
        with self._lock:
            self._link(store).end(size)

    def begin_export(self, store: StoreHost, size: int) -> bool:
        """Count an export as under way; False when imports leave no room."""
        with self._lock:
            link = self._link(store)
            if not link.may_export(size):
                return False
            link.begin(size, export=True)
            return True

    def end_export(self, store: StoreHost, size: int) -> None:
        """Count an export as ended."""
        with self._lock:
            self._link(store).end(size, export=True)

    def _link(self, store: StoreHost) -> Link:
        part = store.link_rate / self._nodes
        link = self._links.setdefault(store.name, Link(rate=part))
        link.rate = part
        return link


class Places:
    """Bound the requests in progress, so that none waits for a thread unseen."""

    def __init__(self, *, limit: int) -> None:
        self._free = threading.Semaphore(limit)

    def take(self) -> bool:
        """Take a place; False when all are taken."""
        return self._free.acquire(blocking=False)

    def give_back(self) -> None:
        """Give a place back."""
        self._free.release()


class Services(NamedTuple):
    """Everything that a request may use; built once by the daemon."""

    settings: Settings
    metrics: Metrics
    config: ConfigSync
    watch: Watch
    board: Board
    targets: TargetClient
    stores: Stores
    links: Links
    claims: ClaimDesk
    admission: Admission
    admission_lock: threading.Lock
    requests: RequestLog
    policy: Policy
    rng: random.Random
    pool: ThreadPoolExecutor
    exporter: Exporter
    places: Places
    leaving: Callable[[str], bool]
    heard_headers: Callable[[str, Mapping[str, str]], None]
