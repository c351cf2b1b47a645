"""Distinguish requests that can still be in time from those that will be late in any case.

A caller that retries sends the time it has left.  Compared with what callers of its route
usually send, this shows how long it has already waited.  After an outage most requests are
such retries, and they should not make the others late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

__all__ = ["CallerWaits", "urgency"]

LOWEST_URGENCY = 9
"""Engines accept urgencies from 0, the most urgent, to this one."""
_SAMPLE_COUNT = 200
"""Recent requests of a route from which the usual time is computed: some seconds' worth."""
_USUAL_QUANTILE = 0.9
"""Quantile of their times that counts as usual: most requests are first tries, and a few
callers may allow for more time than all others."""
_UPDATE_INTERVAL_COUNT = 16
"""Requests after which the usual time is computed again; each computation costs a sort."""


_FIRST_QUANTILE = 0.02
"""Quantile of the times of first tries below which a request is none."""
_ALIKE_FRACTION = 0.8
"""Ratio of the least to the usual time of first requests from which callers are alike: most return
after more than a fifth of it."""


class _RecentQuantile:
    """A quantile of recent values, computed from at least `least` of them."""

    def __init__(self, fraction: float, *, least: int, initial: float) -> None:
        self._fraction = fraction
        self._least = least
        self._values: deque[float] = deque(maxlen=_SAMPLE_COUNT)
        self._since_update = 0
        self._value = initial

    @property
    def value(self) -> float:
        """Return the quantile, at first the initial value."""
        return self._value

    def add(self, value: float) -> None:
        """Add a value; it counts after some more at the latest."""
        self._values.append(value)
        self._since_update += 1
        is_due = self._since_update >= _UPDATE_INTERVAL_COUNT
        if is_due or self._least <= len(self._values) < _UPDATE_INTERVAL_COUNT:
            self._since_update = 0
            ordered = sorted(self._values)
            self._value = ordered[int(self._fraction * (len(ordered) - 1))]


class _Route:
    def __init__(self) -> None:
        self.usual = _RecentQuantile(_USUAL_QUANTILE, least=_UPDATE_INTERVAL_COUNT, initial=0.0)
        self.least_first = _RecentQuantile(_FIRST_QUANTILE, least=1, initial=float("-inf"))
        """Of requests that came while no caller was expected to return."""


class CallerWaits:
    """Estimates how long callers have already waited, from the times they have left."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def waited(self, route: str, remaining: float) -> float:
        """Return the seconds that a caller has already waited.

        `remaining` is the number of seconds for which it will still wait.
        """
        usual = self._routes.setdefault(route, _Route()).usual
        usual.add(remaining)
        return max(0.0, usual.value - remaining)

    def is_return(self, route: str, remaining: float, *, expected: bool) -> bool:
        """Return whether a caller with `remaining` seconds left surely came before.

        `expected` says whether any caller may return now.  The least time that first requests come
        with decides.  Where callers differ much in patience, only the impatient ones among those
        that return could be told from first ones, and would come after the others.
        """
        known = self._routes.setdefault(route, _Route())
        least = known.least_first
        if not expected:
            least.add(remaining)
        is_alike = least.value >= _ALIKE_FRACTION * known.usual.value
        return is_alike and remaining < least.value


def urgency(rank: int, *, late: bool, ranks: Sequence[int]) -> int:
    """Return the urgency of a prompt of `rank` for engines, 0 for the most urgent.

    Late prompts come after the others of their rank and before all of the next rank.  If
    `ranks` has too many entries for two levels each, the urgency is the rank itself.
    """
    if 2 * len(ranks) > LOWEST_URGENCY + 1 or rank not in ranks:
        return min(LOWEST_URGENCY, max(0, rank))
    return 2 * ranks.index(rank) + late
