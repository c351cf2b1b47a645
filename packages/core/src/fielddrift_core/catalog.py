"""Hold one version of the operators' settings, for requests with prompts in parts.

A `Catalog` is immutable: each version replaces the one before, and a request is
handled under the version that was in force when it was admitted.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "AnswerFormat",
    "Catalog",
    "CatalogCustomer",
    "EngineTraits",
    "RepeatPolicy",
    "Route",
    "Service",
    "Share",
    "StoreTraits",
]


class RepeatPolicy(StrEnum):
    """How often a request may be run."""

    FREELY = "freely"
    ONCE = "once"


class AnswerFormat(StrEnum):
    """The format of an answer: one body, or a stream of events."""

    WHOLE = "whole"
    EVENTS = "events"


class Share(NamedTuple):
    """The share of a route's requests, in proportion to `weight`, that goes to `service`."""

    service: str
    weight: int


class Route(NamedTuple):
    """The settings for requests with one HTTP host name and path prefix; times in seconds.

    `attempts` is the most targets that one request may be sent to.  `priority`
    orders classes of requests, 0 is the most urgent.  A `resumable` stream may be
    resumed at its next event on another target.  `latency_goal` is the time in which
    the answer should begin, `gap_goal` the longest gap between events that counts as
    in time.
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
        """Return whether a request that may already have run may be sent again."""
        return self.repeat_policy is RepeatPolicy.FREELY


class EngineTraits(NamedTuple):
    """The properties of the engines of a service.

    `slots` is the number of requests in a batch, `memory` the size of the KV cache
    in tokens, `token_bytes` the KV cache bytes per token, `link_rate` in bytes per
    second, `max_event_calls` the most event calls that may be open at once.
    """

    slots: int
    memory: int
    token_bytes: int
    link_rate: float
    models: tuple[str, ...]
    max_event_calls: int


class StoreTraits(NamedTuple):
    """The properties of a store host.

    `capacity` is in tokens, `link_rate` in bytes per second, `first_byte_delay` the
    seconds before the first byte of each transfer.  A `managed` store frees nothing
    by itself.  `max_event_calls` is the most event calls that may be open at once.
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

    `connections` is the most connections that a target accepts, from all callers together.
    A target is cold for `cold_seconds` after its start, and then handles at most `cold_rate`
    requests per second.
    """

    name: str
    connections: int = 0
    health_path: str = ""
    engine: EngineTraits | None = None
    store: StoreTraits | None = None
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


class CatalogCustomer(NamedTuple):
    """A customer; an `isolated` one shares no cached context."""

    name: str
    isolated: bool = False
    priority: int | None = None


class Catalog(NamedTuple):
    """All settings of the operators at one version; sizes in bytes, times in seconds.

    `needs_key` tells that requests need a customer's key, but on anonymous routes.  The operators
    decide that, not the number of keys: with none left, no request has a valid one.  None means
    that it is not known, as in the copy of a node whose release does not tell it.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    customers: Mapping[str, CatalogCustomer]
    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float
    needs_key: bool | None = None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, None without a match."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def customer(self, key: str) -> CatalogCustomer | None:
        """Return the customer with the API key `key`, None when there is none."""
        return self.customers.get(key)

    @property
    def priorities(self) -> list[int]:
        """Return the priorities of all routes and customers, the most urgent first."""
        routes = {route.priority for entries in self.routes.values() for route in entries}
        customers = {c.priority for c in self.customers.values() if c.priority is not None}
        return sorted(routes | customers)

    @property
    def longest_timeout(self) -> float:
        """Return the longest timeout of a route in seconds, 0 without routes."""
        timeouts = (route.timeout for entries in self.routes.values() for route in entries)
        return max(timeouts, default=0.0)

    @property
    def split_services(self) -> frozenset[str]:
        """Return the services that share a route of resumable streams with others."""
        routes = (route for entries in self.routes.values() for route in entries)
        split = (r.shares for r in routes if r.resumable and len(r.shares) > 1)
        return frozenset(share.service for shares in split for share in shares)

    @property
    def engines(self) -> list[Service]:
        """Return the services whose targets are engines."""
        return [s for s in self.services.values() if s.engine is not None]

    @property
    def stores(self) -> list[Service]:
        """Return the store hosts."""
        return [s for s in self.services.values() if s.store is not None]
