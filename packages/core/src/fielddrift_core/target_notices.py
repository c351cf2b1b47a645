"""Track what targets state about themselves in responses: rate limits and requested pauses.

A limit applies to all nodes together, so nodes send it to each other.  A pause is requested
from a single node.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

__all__ = ["LimitReport", "TargetLimits", "TargetNotice", "TargetPauses"]

_UNLISTED_RETENTION_SECONDS = 60.0
"""How long the limit of a target without an entry is kept: an entry may lapse and return."""
_ENDED_RETENTION_SECONDS = 20.0
"""How long nodes report that a target states no limit any more."""
_MIN_RENEWAL_SECONDS = 0.5
"""By how much another node's report must be newer to renew the same limit.  Otherwise reports
that nodes send back and forth would renew it for ever, because of their transit time."""


_MAX_RATE = 1e6
"""Highest limit that is reported, in requests per second: more than any target serves."""
_RATE_DECIMALS = 3
"""Decimal places of a limit in heartbeats."""


class TargetNotice(NamedTuple):
    """What a target states about itself in a response.

    `leaving`: it stops soon and accepts no new requests.  `limit`: the requests per second that
    it accepts from all nodes together, None where it states none.  `pause`: the seconds for
    which it accepts no requests from the node that receives the response.  `brittle`: it fails
    if it rejects more than that many requests in a second, None if it does not say so.
    """

    leaving: bool = False
    limit: float | None = None
    pause: float = 0.0
    brittle: int | None = None


class LimitReport(NamedTuple):
    """The limit that a target stated `age` seconds ago; `rate` is None if it stated none."""

    target: str
    rate: float | None
    age: float


class _Limit(NamedTuple):
    rate: float | None
    at: float


class TargetLimits:
    """The limits of targets, and this node's own last sends to them.  Not thread-safe."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        """By target, the most recently updated one last."""
        self._sent_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._limits)

    def rate(self, target: str) -> float | None:
        """Return the requests per second that a target accepts, None without a limit."""
        known = self._limits.get(target)
        return None if known is None else known.rate

    def named(self, target: str, rate: float, now: float) -> bool:
        """Record a limit from a response to this node; return whether it has changed."""
        rate = round(min(rate, _MAX_RATE), _RATE_DECIMALS)
        changed = self.rate(target) != rate
        self._set(target, _Limit(rate, now))
        return changed

    def unnamed(self, target: str, *, sent_at: float, now: float) -> bool:
        """Record a response without a limit to a request sent at `sent_at`.

        Return whether that ends a limit.  A response to a request that was sent before the
        limit was received may be older than the limit, and has no effect.
        """
        known = self._limits.get(target)
        if known is None or known.rate is None or sent_at <= known.at:
            return False
        self._set(target, _Limit(None, now))
        return True

    def merge(self, word: LimitReport, now: float) -> bool:
        """Merge another node's report; return whether it changes the limit."""
        known = self._limits.get(word.target)
        at = now - word.age
        if known is None:
            if word.rate is None:
                return False
        elif at <= known.at + (_MIN_RENEWAL_SECONDS if word.rate == known.rate else 0.0):
            return False
        changed = self.rate(word.target) != word.rate
        self._set(word.target, _Limit(word.rate, at))
        return changed

    def words(self, now: float, max_count: int) -> list[LimitReport]:
        """Return the reports for other nodes: the `max_count` newest ones, the newest last."""
        newest = list(self._limits.items())[-max_count:]
        return [LimitReport(name, limit.rate, now - limit.at) for name, limit in newest]

    def wait(self, target: str, interval: float, now: float) -> float:
        """Return the seconds until this node may send, with `interval` seconds between sends.

        The result is infinite if `interval` is: this node must not send.
        """
        sent_at = self._sent_at.get(target, -math.inf)
        return interval if math.isinf(interval) else max(0.0, sent_at + interval - now)

    def sent(self, target: str, now: float) -> None:
        """Record that a request is about to be sent."""
        if self._limits and target in self._limits:
            self._sent_at[target] = now

    def expire(self, listed: Collection[str], now: float) -> int:
        """Remove ended limits, and those of targets that have not been `listed` for long.

        Return the number of limited targets.
        """
        for name, limit in list(self._limits.items()):
            age = now - limit.at
            if age > (
                _ENDED_RETENTION_SECONDS if limit.rate is None else _UNLISTED_RETENTION_SECONDS
            ) and (limit.rate is None or name not in listed):
                del self._limits[name]
                self._sent_at.pop(name, None)
        return sum(limit.rate is not None for limit in self._limits.values())

    def _set(self, target: str, limit: _Limit) -> None:
        self._limits.pop(target, None)
        self._limits[target] = limit


class TargetPauses:
    """Until when targets accept no requests from this node.  Not thread-safe."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._until)

    def record(self, target: str, seconds: float, now: float) -> bool:
        """Record that a target requests a pause; return whether it was not paused before."""
        paused = self.left(target, now) > 0
        # Each request for a pause holds: a shorter one does not replace a longer one.
        self._until[target] = max(now + seconds, self._until.get(target, now))
        return not paused

    def left(self, target: str, now: float) -> float:
        """Return the seconds for which a target is still paused, 0 if it is not."""
        if not self._until:
            return 0.0
        return max(0.0, self._until.get(target, now) - now)

    def min_left(self, targets: Iterable[str], now: float) -> float:
        """Return the seconds until the first of `targets` is not paused, 0 for no target."""
        return min((self.left(target, now) for target in targets), default=0.0)

    def expire(self, now: float) -> int:
        """Remove the pauses that have ended; return the number of paused targets."""
        for name in [n for n, until in self._until.items() if until <= now]:
            del self._until[name]
        return len(self._until)
