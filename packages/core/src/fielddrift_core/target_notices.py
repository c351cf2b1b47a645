"""Keep what targets say of themselves in their answers: limits, and pauses that they ask for.

A limit is one for all nodes together, so nodes tell each other of it; a pause is asked of
one node.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

__all__ = ["LimitWord", "TargetLimits", "TargetNotice", "TargetPauses"]

_UNLISTED_SECONDS = 60.0
"""How long the limit of a target without an entry is remembered: an entry may lapse and return."""
_ENDED_SECONDS = 20.0
"""How long it is told that a target names no limit any more."""
_RENEWED_SECONDS = 0.5
"""By how much another node's word must be newer to renew the same limit: heartbeats that pass
a word to and fro would renew it for ever by the time that they take."""


_MOST_RATE = 1e6
"""Requests a second of the highest limit that is told: more than any target serves."""
_RATE_DIGITS = 3
"""Decimal places of a limit, as heartbeats tell it."""


class TargetNotice(NamedTuple):
    """What a target says of itself in an answer.

    `leaving`: it ends soon and wants nothing new.  `limit`: the requests a second that it
    takes from all nodes together, None where it names none.  `pause`: the seconds for which
    it wants nothing from the node that it answers.
    """

    leaving: bool = False
    limit: float | None = None
    pause: float = 0.0


class LimitWord(NamedTuple):
    """What a target said of its limit `age` seconds ago; `rate` None once it names none."""

    target: str
    rate: float | None
    age: float


class _Limit(NamedTuple):
    rate: float | None
    at: float


class TargetLimits:
    """The limits that targets name, and this node's own last sends there.  Not safe for threads."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        """By target, the one that was heard of last at the end."""
        self._sent_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._limits)

    def rate(self, target: str) -> float | None:
        """Return the requests a second that a target takes, None for any number."""
        known = self._limits.get(target)
        return None if known is None else known.rate

    def named(self, target: str, rate: float, now: float) -> bool:
        """Take a limit that a target named to this node; True when it is another one."""
        rate = round(min(rate, _MOST_RATE), _RATE_DIGITS)
        changed = self.rate(target) != rate
        self._set(target, _Limit(rate, now))
        return changed

    def unnamed(self, target: str, *, sent_at: float, now: float) -> bool:
        """Take that a target named none to a request of `sent_at`; True when that ends one.

        An answer to a request that was sent before the limit was heard of may be older than it.
        """
        known = self._limits.get(target)
        if known is None or known.rate is None or sent_at <= known.at:
            return False
        self._set(target, _Limit(None, now))
        return True

    def told(self, word: LimitWord, now: float) -> bool:
        """Take another node's word; True when it changes the limit."""
        known = self._limits.get(word.target)
        at = now - word.age
        if known is None:
            if word.rate is None:
                return False
        elif at <= known.at + (_RENEWED_SECONDS if word.rate == known.rate else 0.0):
            return False
        changed = self.rate(word.target) != word.rate
        self._set(word.target, _Limit(word.rate, at))
        return changed

    def words(self, now: float, most: int) -> list[LimitWord]:
        """Return what to tell other nodes: the newest words, `most` at most."""
        newest = list(self._limits.items())[-most:]
        return [LimitWord(name, limit.rate, now - limit.at) for name, limit in newest]

    def wait(self, target: str, spacing: float, now: float) -> float:
        """Return the seconds until this node may send, if its sends are `spacing` seconds apart.

        Without end where `spacing` is: this node sends nothing.
        """
        sent_at = self._sent_at.get(target, -math.inf)
        return spacing if math.isinf(spacing) else max(0.0, sent_at + spacing - now)

    def sent(self, target: str, now: float) -> None:
        """Take that a request is about to be sent."""
        if self._limits and target in self._limits:
            self._sent_at[target] = now

    def settle(self, listed: Collection[str], now: float) -> int:
        """Forget what is over, or of targets long not `listed`; return how many are limited."""
        for name, limit in list(self._limits.items()):
            age = now - limit.at
            if age > (_ENDED_SECONDS if limit.rate is None else _UNLISTED_SECONDS) and (
                limit.rate is None or name not in listed
            ):
                del self._limits[name]
                self._sent_at.pop(name, None)
        return sum(limit.rate is not None for limit in self._limits.values())

    def _set(self, target: str, limit: _Limit) -> None:
        self._limits.pop(target, None)
        self._limits[target] = limit


class TargetPauses:
    """Until when targets want nothing from this node.  Not safe for threads."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._until)

    def asked(self, target: str, seconds: float, now: float) -> bool:
        """Take that a target asks for a pause; True when it asked for none that lasts."""
        paused = self.left(target, now) > 0
        # Each refusal holds: a shorter one that follows takes nothing back.
        self._until[target] = max(now + seconds, self._until.get(target, now))
        return not paused

    def left(self, target: str, now: float) -> float:
        """Return for how many seconds a target still wants nothing, 0 when it takes requests."""
        if not self._until:
            return 0.0
        return max(0.0, self._until.get(target, now) - now)

    def soonest(self, targets: Iterable[str], now: float) -> float:
        """Return the seconds until the first of `targets` takes requests, 0 for no target."""
        return min((self.left(target, now) for target in targets), default=0.0)

    def settle(self, now: float) -> int:
        """Forget the pauses that are over; return how many targets want nothing."""
        for name in [n for n, until in self._until.items() if until <= now]:
            del self._until[name]
        return len(self._until)
