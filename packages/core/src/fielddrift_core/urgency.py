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


class _Route:
    def __init__(self) -> None:
        self.remaining_seconds: deque[float] = deque(maxlen=_SAMPLE_COUNT)
        self.usual_seconds = 0.0
        self.since = _UPDATE_INTERVAL_COUNT


class CallerWaits:
    """Estimates how long callers have already waited, from the times they have left."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def waited(self, route: str, remaining: float) -> float:
        """Return the seconds that a caller has already waited.

        `remaining` is the number of seconds for which it will still wait.
        """
        known = self._routes.setdefault(route, _Route())
        known.remaining_seconds.append(remaining)
        known.since += 1
        if known.since >= _UPDATE_INTERVAL_COUNT:
            known.since = 0
            ordered = sorted(known.remaining_seconds)
            known.usual_seconds = ordered[int(_USUAL_QUANTILE * (len(ordered) - 1))]
        return max(0.0, known.usual_seconds - remaining)


def urgency(rank: int, *, late: bool, ranks: Sequence[int]) -> int:
    """Return the urgency of a prompt of `rank` for engines, 0 for the most urgent.

    Late prompts come after the others of their rank and before all of the next rank.  If
    `ranks` has too many entries for two levels each, the urgency is the rank itself.
    """
    if 2 * len(ranks) > LOWEST_URGENCY + 1 or rank not in ranks:
        return min(LOWEST_URGENCY, max(0, rank))
    return 2 * ranks.index(rank) + late
