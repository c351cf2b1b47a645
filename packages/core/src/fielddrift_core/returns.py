"""Assign times to return to refused callers at the rate at which capacity becomes free for them.

Load pattern: the callers that were refused in a burst return together soon after it, more of them
per second than engines can serve beside the usual callers.  Both are late then, and the burst lasts
longer than its cause.

A service has one line of callers that were told to return.  Each node reports the tokens of its
own, so that every node assigns times behind those of all nodes.  What is free is the capacity that
callers who come for the first time usually leave: their rate during a burst says little about the
time after it.
"""

from __future__ import annotations

import random
import statistics
from collections import deque
from typing import NamedTuple

__all__ = [
    "UsualCapacity",
    "UsualRate",
    "free_rate",
    "latest_delay",
    "reserved_fraction",
    "return_delay",
    "returns_name",
    "usual_rate_name",
]

_MAX_DELAY_FRACTION = 1 / 3
"""Longest delay as a fraction of the time that the caller has left: callers honour no more."""
_MIN_JITTER = 0.7
"""Callers for whom nothing is free in time return between this fraction of the longest delay and
all of it."""
_USUAL_WINDOW_SECONDS = 20
"""Time over which the usual rate is the median: bursts of less than half of it do not count."""
_MIN_CAPACITY_COUNT = 3
"""Seconds after which the usual capacity is known: little is sent in the first one."""
_ASSIGNED_FRACTION = 0.9
"""Fraction of the free capacity that is assigned: the usual rate varies from second to second."""
_RESERVED_FRACTION = 0.75
"""Fraction of the memory that callers usually use which is kept free for them: an engine that is
full of late prompts makes those late that come next."""


def returns_name(service: str) -> str:
    """Return the key under which nodes report the tokens of callers told to return."""
    return f"return:{service}"


def usual_rate_name(service: str) -> str:
    """Return the key under which nodes report their usual rate, in tokens per second."""
    return f"usual:{service}"


class _Second(NamedTuple):
    at: int
    tokens: float


class UsualRate:
    """The median rate of the last seconds.  Not thread-safe.

    All times are in seconds on one clock.
    """

    def __init__(self) -> None:
        self._seconds: deque[_Second] = deque()
        self._rate = 0.0
        self._computed_at = -1

    def add(self, tokens: int, now: float) -> None:
        """Count `tokens` of a request that came for the first time."""
        second = int(now)
        if self._seconds and self._seconds[-1].at == second:
            tokens += int(self._seconds.pop().tokens)
        self._seconds.append(_Second(second, tokens))

    def value(self, now: float) -> float:
        """Return the rate in tokens per second, without the current second."""
        second = int(now)
        if second != self._computed_at:
            self._computed_at = second
            self._rate = self._median(second)
        return self._rate

    def _median(self, second: int) -> float:
        begin = second - _USUAL_WINDOW_SECONDS
        while len(self._seconds) > 1 and self._seconds[0].at < begin:
            self._seconds.popleft()
        if not self._seconds:
            return 0.0
        counts = dict(self._seconds)
        first = max(begin, self._seconds[0].at)
        return statistics.median([counts.get(at, 0.0) for at in range(first, second)] or [0.0])


class UsualCapacity:
    """The median of the capacities of the last seconds, in tokens per second."""

    def __init__(self) -> None:
        self._capacities: deque[float] = deque(maxlen=_USUAL_WINDOW_SECONDS)

    def add(self, capacity: float) -> None:
        """Add the capacity in one second."""
        self._capacities.append(capacity)

    @property
    def value(self) -> float:
        """Return the usual capacity, 0 as long as it is not known."""
        if len(self._capacities) < _MIN_CAPACITY_COUNT:
            return 0.0
        return statistics.median(self._capacities)


def free_rate(capacity: float, usual: float) -> float:
    """Return the rate at which callers may return, in tokens per second; 0 in a lasting overload.

    `capacity` is that of all engines and `usual` the usual rate of all nodes.
    """
    return _ASSIGNED_FRACTION * max(0.0, capacity - usual)


def latest_delay(*, time_left: float, rng: random.Random) -> float:
    """Return after how many seconds a caller should return for whom nothing is free before."""
    return _MAX_DELAY_FRACTION * max(0.0, time_left) * rng.uniform(_MIN_JITTER, 1.0)


def reserved_fraction(capacity: float, usual: float) -> float:
    """Return the fraction of engines' memory that late prompts leave to those that may be in time.

    `capacity` and `usual` are as in `free_rate`.
    """
    return _RESERVED_FRACTION * min(1.0, usual / capacity) if capacity > 0 else 0.0


def return_delay(
    *, backlog: float, tokens: int, rate: float, least: float, time_left: float, rng: random.Random
) -> tuple[float, bool]:
    """Return after how many seconds a caller should return, and whether capacity is free then.

    `backlog` is the tokens of the callers before it and `rate` the free rate.  Nothing is free
    before `least` seconds; `time_left` is for how long the caller waits.
    """
    most = _MAX_DELAY_FRACTION * max(0.0, time_left)
    if rate <= 0 or (begin := max(least, backlog / rate)) >= most:
        return latest_delay(time_left=time_left, rng=rng), False
    return rng.uniform(begin, min(most, begin + tokens / rate)), True
