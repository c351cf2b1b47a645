"""Tell requests that can still be in time from those that are late whatever happens.

A caller that comes back says how long it still waits.  Beside what callers of
its route usually say, that tells for how long it has waited already.  After an
outage most requests are such, and they should not make the others late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

__all__ = ["CallerWaits", "urgency"]

LOWEST_URGENCY = 9
"""Engines know the urgencies from 0 to this one; 0 comes first."""
_SAMPLE_COUNT = 200
"""Requests of a route that tell how long its callers wait: some seconds' worth."""
_USUAL_QUANTILE = 0.9
"""Of these, the part that wait at most the usual time: most callers come for the first
time, and a few may wait for longer than all others."""
_UPDATE_INTERVAL_COUNT = 16
"""Requests after which the usual time is worked out anew: that costs a sort."""


class _Route:
    def __init__(self) -> None:
        self.remaining_seconds: deque[float] = deque(maxlen=_SAMPLE_COUNT)
        self.usual_seconds = 0.0
        self.since = _UPDATE_INTERVAL_COUNT


class CallerWaits:
    """How long callers of each route have waited already, in seconds."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def waited(self, route: str, remaining: float) -> float:
        """Return for how long a caller has waited that waits `patience` from now."""
        known = self._routes.setdefault(route, _Route())
        known.remaining_seconds.append(remaining)
        known.since += 1
        if known.since >= _UPDATE_INTERVAL_COUNT:
            known.since = 0
            ordered = sorted(known.remaining_seconds)
            known.usual_seconds = ordered[int(_USUAL_QUANTILE * (len(ordered) - 1))]
        return max(0.0, known.usual_seconds - remaining)


def urgency(rank: int, *, late: bool, ranks: Sequence[int]) -> int:
    """Return how urgent engines should take a prompt of `rank`, 0 first.

    Late ones come after the others of their rank, and before all of the next
    rank.  Where `ranks` are too many for two steps each, they keep their own.
    """
    if 2 * len(ranks) > LOWEST_URGENCY + 1 or rank not in ranks:
        return min(LOWEST_URGENCY, max(0, rank))
    return 2 * ranks.index(rank) + late
