"""Hold one version of what operators set, for requests whose prompts come as parts.

A `Catalog` is never changed in place: each version is taken whole, and a
request is handled under the one that was in force when it was judged.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Catalog",
    "CatalogCustomer",
    "EngineTraits",
    "RepeatPolicy",
    "Route",
    "Service",
    "Share",
    "StoreTraits",
    "AnswerFormat",
]


class RepeatPolicy(StrEnum):
    """How often the work of a request may be done."""

    FREELY = "freely"
    ONCE = "once"


class AnswerFormat(StrEnum):
    """What an answer looks like: one body, or events as they are made."""

    WHOLE = "whole"
    EVENTS = "events"


class Share(NamedTuple):
    """A part of a route's requests, by `weight`, that goes to `service`."""

    service: str
    weight: int


class Route(NamedTuple):
    """Where requests of one host and path prefix go; times in seconds.

    `attempts` bounds the targets that one request may be sent to.  `priority`
    orders kinds of requests, 0 first.  A `resumable` stream may go on at its
    next event elsewhere.  `gap_goal` is the longest pause between events
    that still counts as in time.
    """

    name: str
    host: str
    prefix: str
    answer_format: AnswerFormat
    repeat_policy: RepeatPolicy
    timeout: float
    latency_goal: float
    priority: int
    shares: tuple[Share, ...]
    attempts: int
    anonymous: bool
    resumable: bool
    gap_goal: float

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.repeat_policy is RepeatPolicy.FREELY


class EngineTraits(NamedTuple):
    """What the engines of a service are like.

    `memory` is in tokens, `token_bytes` the KV bytes of one, `link_rate` in
    bytes a second, `slots` the requests in a batch.
    """

    slots: int
    memory: int
    token_bytes: int
    link_rate: float
    models: tuple[str, ...]
    max_event_calls: int


class StoreTraits(NamedTuple):
    """A store host: `capacity` in tokens, `link_rate` in bytes a second.

    `first_byte_delay` is the seconds each move waits before it starts.  A `managed`
    store frees nothing by itself.  `max_event_calls` bounds its event calls.
    """

    address: str
    data_centre: str
    capacity: int
    link_rate: float
    first_byte_delay: float
    managed: bool
    max_event_calls: int


class Service(NamedTuple):
    """A group of targets, or one store host.

    `connections` bounds the connections a target takes from all callers.  A target that
    has started is cold for `cold_seconds` and bears `cold_rate` requests a second meanwhile.
    """

    name: str
    connections: int = 0
    health_path: str = ""
    engine: EngineTraits | None = None
    store: StoreTraits | None = None
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


class CatalogCustomer(NamedTuple):
    """A customer of the deployment; `isolated` ones share no kept context."""

    name: str
    isolated: bool = False
    priority: int | None = None


class Catalog(NamedTuple):
    """Everything that operators set, at one version; sizes in bytes, times in seconds."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    customers: Mapping[str, CatalogCustomer]
    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def customer(self, key: str) -> CatalogCustomer | None:
        """Return who holds `key`, None when nobody does."""
        return self.customers.get(key)

    @property
    def priorities(self) -> list[int]:
        """Return the ranks that prompts may have, the most urgent first."""
        routes = {route.priority for entries in self.routes.values() for route in entries}
        customers = {c.priority for c in self.customers.values() if c.priority is not None}
        return sorted(routes | customers)

    @property
    def engines(self) -> list[Service]:
        """Return the services whose targets are engines."""
        return [s for s in self.services.values() if s.engine is not None]

    @property
    def stores(self) -> list[Service]:
        """Return the store hosts."""
        return [s for s in self.services.values() if s.store is not None]
