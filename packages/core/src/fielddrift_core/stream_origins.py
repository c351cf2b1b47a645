"""Record which software version began each stream, and decide where a stream may be resumed.

What targets of different software versions generate must not be joined in one stream, and targets
do not check this.  A caller may resume a stream at any node, so the node that began it sends its
origin to others: the holders, which every node finds by rendezvous hashing of the stream's key.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from .fingerprint import fingerprint
from .outside_values import Finite
from .rollout import StoreClock

__all__ = [
    "MAX_LIFETIME_SECONDS",
    "MIN_LIFETIME_SECONDS",
    "SavedVersion",
    "ServiceVersions",
    "StreamOrigin",
    "StreamOrigins",
    "UnknownOrigin",
    "VersionSpan",
    "presumed_version",
    "rank_holders",
    "stream_key",
]

MAX_LIFETIME_SECONDS = 60.0
"""How long an origin is kept at most; it is needed until the deadline of the stream's caller."""
MIN_LIFETIME_SECONDS = 10.0
"""How long an origin is kept at least, also where its caller's deadline is shorter: callers return
later whose node stood still.  A stream that nobody knows began at no version newer than this."""
_MAX_ORIGINS = 10_000
"""Origins that a node keeps, about 300 bytes each; the oldest are removed first."""
_MIN_RETENTION_SECONDS = 30.0
_RETENTION_TIMEOUTS = 2
"""How many times the longest timeout of a route a version counts after its last target has ended,
as callers of streams that it began may return once more."""
_NEW_VERSION_SECONDS = 3.0
"""How long after a second version has appeared a stream of unknown origin is presumed to be of the
first one: until all nodes know the second version, they send no origins."""
_SCORE_FACTOR = 0x9E3779B97F4A7C15
"""Odd, so that equal scores mean equal names; it spreads each bit over the higher ones."""
_NAME_CACHE_SIZE = 1024


class UnknownOrigin(Exception):
    """Raised when it is unknown which of several versions began a stream."""


class StreamOrigin(NamedTuple):
    """The service and the software version that began a stream.

    `until` is when the stream can no longer be resumed, in seconds on the receiver's clock; in a
    message, the seconds until then.
    """

    key: str
    service: str
    software: str
    until: Finite


def stream_key(customer: str, request_id: str) -> str:
    """Return the key of the stream whose first event the request `request_id` received."""
    return fingerprint((customer.encode(), request_id.encode()))


def rank_holders(key: str, names: Iterable[str]) -> list[str]:
    """Return the names of nodes or data centres in the order in which they should hold `key`."""
    number = int(key, 16)
    return sorted(names, key=lambda name: _score(number, name))


def _score(key: int, name: str) -> int:
    return (key ^ _name_digest(name)) * _SCORE_FACTOR % 2**64


@lru_cache(maxsize=_NAME_CACHE_SIZE)
def _name_digest(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class StreamOrigins:
    """The origins of streams that may be resumed.  Not thread-safe."""

    def __init__(self) -> None:
        self._origins: dict[str, StreamOrigin] = {}
        """The origins by key, in the order of their recording."""

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, origin: StreamOrigin) -> None:
        """Add or replace an origin."""
        self._origins.pop(origin.key, None)
        self._origins[origin.key] = origin
        if len(self._origins) > _MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of the stream `key`, None if it is not known."""
        origin = self._origins.get(key)
        return origin if origin is not None and now < origin.until else None

    def all(self, now: float) -> list[StreamOrigin]:
        """Return the origins of all streams that can still be resumed."""
        return [origin for origin in self._origins.values() if now < origin.until]

    def expire(self, now: float) -> None:
        """Remove the origins of streams that can no longer be resumed."""
        for key in [key for key, origin in self._origins.items() if origin.until <= now]:
            del self._origins[key]


class SavedVersion(NamedTuple):
    """When a software version first and last served, on the platform's clock in seconds.

    `last` is None for a version that had a target when this was written.
    """

    first: Finite
    last: Finite | None


class VersionSpan(NamedTuple):
    """When a software version was first and last seen, as loop times in seconds."""

    first: Finite
    last: Finite


class ServiceVersions:
    """The software versions of each service's targets, now and lately.  Not thread-safe.

    A node that has just started sees only the versions that serve now.  Which ones served before,
    and may have begun streams, it learns from rows on the platform.  Where these are kept, call
    `expect_history` first: until they are read, the history is unknown.
    """

    def __init__(self) -> None:
        self._seen: dict[str, dict[str, VersionSpan]] = {}
        """When each version was first and last seen, by service."""
        self._recorded: dict[str, frozenset[str]] = {}
        """The versions of which the platform's rows say that they serve, by service."""
        self._changes = 0
        self._inherited: dict[str, frozenset[str]] = {}
        """The versions that the rows held when this node started, by service."""
        self._retention_seconds = _MIN_RETENTION_SECONDS
        self._unknown_until: dict[str, float] = {}
        """Until when the history of a service is unknown although the rows were read."""
        self._is_history_known = True
        self._history_read_at = float("-inf")

    @property
    def retention_seconds(self) -> float:
        """Return how long a version counts after its last target has ended."""
        return self._retention_seconds

    def set_longest_timeout(self, seconds: float) -> None:
        """Set the longest timeout of any route, on which the retention depends."""
        wanted = max(_MIN_RETENTION_SECONDS, _RETENTION_TIMEOUTS * seconds)
        self._retention_seconds = min(wanted, MAX_LIFETIME_SECONDS)

    @property
    def is_history_known(self) -> bool:
        """Return whether the versions that served before the start of this node are known."""
        return self._is_history_known

    def knows_history(self, service: str, now: float) -> bool:
        """Return whether the versions of `service` that served before the start are known."""
        return self._is_history_known and now >= self._unknown_until.get(service, now)

    @property
    def history_read_at(self) -> float:
        """Return when the history was read, as a loop time, minus infinity for never."""
        return self._history_read_at

    def expect_history(self) -> None:
        """Take the history for unknown until `restore` is called."""
        self._is_history_known = False

    def restore(
        self,
        saved: Mapping[str, Mapping[str, SavedVersion]],
        clock: StoreClock,
        now: float,
        *,
        unreadable: Iterable[str] = (),
    ) -> None:
        """Add the `saved` versions of all services, read at the time that `clock` tells.

        A version that still served when its row was written may have ended at any time since.
        The history of services whose rows are `unreadable` stays unknown until no stream that
        began before `now` can be resumed.
        """
        for service in unreadable:
            self._unknown_until[service] = now + self._retention_seconds
        self._recorded.clear()
        self._changes += 1
        for service, versions in saved.items():
            known = self._seen.setdefault(service, {})
            for name, (first, last) in versions.items():
                first_seen = clock.local(first)
                last_seen = now if last is None else clock.heard + last - clock.clock
                if now - last_seen > self._retention_seconds:
                    continue
                span = known.get(name, VersionSpan(first_seen, last_seen))
                known[name] = VersionSpan(min(span.first, first_seen), max(span.last, last_seen))
            self.set_recorded(service, versions)
        self._start_history(saved, now)

    def copy_history(self, spans: Mapping[str, Mapping[str, VersionSpan]], now: float) -> None:
        """Take over what another node has seen: its spans with times of this node's loop."""
        for service, versions in spans.items():
            known = self._seen.setdefault(service, {})
            for name, span in versions.items():
                own = known.get(name, span)
                known[name] = VersionSpan(min(own.first, span.first), max(own.last, span.last))
        self._start_history(spans, now)

    def _start_history(self, versions: Mapping[str, Iterable[str]], now: float) -> None:
        if not self._is_history_known:
            self._inherited = {service: frozenset(names) for service, names in versions.items()}
            self._is_history_known, self._history_read_at = True, now

    def set_recorded(self, service: str, saved: Mapping[str, SavedVersion]) -> None:
        """Record what the platform's row of `service` holds."""
        self._changes += 1
        serving = (name for name, version in saved.items() if version.last is None)
        self._recorded[service] = frozenset(serving)

    @property
    def changes(self) -> int:
        """Return how often what is recorded has changed."""
        return self._changes

    def is_recorded(self, service: str, version: str) -> bool:
        """Return whether the platform's row of `service` says that `version` serves."""
        return version in self._recorded.get(service, ())

    def observe(self, service: str, versions: Iterable[str], now: float) -> bool:
        """Record the versions that serve at `now`; return whether they have become several.

        A target whose version is not known, an empty string, does not count.
        """
        known = self._seen.setdefault(service, {})
        before = len(known)
        for version in versions:
            if version:
                first = known[version].first if version in known else now
                known[version] = VersionSpan(first, now)
        for version in [
            v for v, span in known.items() if now - span.last > self._retention_seconds
        ]:
            del known[version]
        return before < 2 <= len(known)

    def is_mixed(self, service: str) -> bool:
        """Return whether several versions serve, or did so lately."""
        return len(self._seen.get(service, ())) > 1

    def mixed_since(self, service: str) -> float:
        """Return from when on streams of several versions may have begun, infinity for never.

        This node may have seen the second version some time after other nodes.
        """
        first_seen = sorted(span.first for span in self._seen.get(service, {}).values())
        return first_seen[1] - _NEW_VERSION_SECONDS if len(first_seen) > 1 else float("inf")

    def is_any_mixed(self) -> bool:
        """Return whether any service is mixed."""
        return any(len(versions) > 1 for versions in self._seen.values())

    def only_version(self, service: str) -> str:
        """Return the version if exactly one serves or did so lately, an empty string otherwise."""
        seen = self._seen.get(service, ())
        return min(seen) if len(seen) == 1 else ""

    def spans(self) -> Mapping[str, Mapping[str, VersionSpan]]:
        """Return the versions that serve, or did so lately, and when each was seen, by service."""
        return self._seen

    def presumed(self, service: str, now: float, *, all_reached: bool) -> str:
        """Return the version at which a stream of unknown origin may be resumed, empty for any.

        `all_reached` tells that no node which may have begun the stream has ended or is out of
        reach since this node started.  Raise `UnknownOrigin` if several versions may have begun
        the stream, or if it is not known which ones served.
        """
        if not self.knows_history(service, now):
            raise UnknownOrigin("the versions that served before this node started")
        seen = self._seen.get(service, {})
        former = self._inherited.get(service, frozenset()) & seen.keys()
        if now - self._history_read_at < MAX_LIFETIME_SECONDS:
            if len(former) > 1:
                # Each of them may have begun streams at nodes that ended before this one started.
                raise UnknownOrigin(", ".join(sorted(seen)))
            is_recent = now - self.mixed_since(service) <= MIN_LIFETIME_SECONDS
            if all_reached and len(former) == 1 and (is_recent or len(seen) == 1):
                # The other versions are newer than this node, so the live nodes know their streams.
                return min(former) if len(seen) > 1 else ""
        return presumed_version({name: span.first for name, span in seen.items()}, now)


def presumed_version(first_seen: Mapping[str, float], now: float) -> str:
    """Return the version at which a stream of unknown origin may be resumed, empty for any.

    `first_seen` maps the versions of the service to when they were first seen.  Raise
    `UnknownOrigin` if several versions may have begun the stream.
    """
    if len(first_seen) < 2:
        return ""
    (first, first_at), (_, second_at) = sorted(first_seen.items(), key=lambda item: item[1])[:2]
    if first_at < second_at and now - second_at <= _NEW_VERSION_SECONDS:
        return first
    raise UnknownOrigin(", ".join(sorted(first_seen)))
