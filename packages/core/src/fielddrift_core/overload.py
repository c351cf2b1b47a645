"""Refuse at once a prompt that cannot be answered in time, and say when to come back.

Engines that hold more prompts than their memory takes answer everyone late,
and stay so: what waits is as much as what comes.  Callers that are sent away
at once come back when the backlog is gone, and are in time then.  One that
has come back is taken, however late: to be sent away twice serves nobody.
"""

from __future__ import annotations

import random

__all__ = ["Overload"]

_LATE_PART = 0.95
"""Estimate, in parts of the aim, from which an answer is taken to be late: on
played days half of the first events came within a tenth of their estimate."""
_CAME_BACK_SECONDS = 0.15
"""Seconds less than the longest patience of a route's callers from which a request
is taken to have come back: it waited at least the shortest time to do so."""
_RETURN_ESTIMATES = 1.5
"""Time to come back in estimates: by then most of what waits has been answered."""
_RETURN_PART = 1 / 3
"""Callers wait at most such a part of the time that they have left."""
_SHORTEST_RETURN = 0.2
"""Seconds in which an engine takes up a few prompts."""
_SPREAD = 0.5
"""Times to come back lie between this part of the longest one and all of it, so
that those who are sent away together do not return together."""


class Overload:
    """Judge first tries by their estimates.  Not safe for threads."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._longest: dict[str, float] = {}

    def come_back(
        self, route: str, *, patience: float, estimate: float, aim: float, crowded: bool
    ) -> float | None:
        """Return the seconds after which a caller should return; None to take its request.

        `estimate` is when its answer would begin, `crowded` whether prompts
        already wait at the engine that would take it.
        """
        longest = max(self._longest.get(route, 0.0), patience)
        self._longest[route] = longest
        came_back = patience < longest - _CAME_BACK_SECONDS
        if came_back or not crowded or estimate <= _LATE_PART * aim:
            return None
        most = min(estimate * _RETURN_ESTIMATES, patience * _RETURN_PART)
        return max(_SHORTEST_RETURN, most * self._rng.uniform(_SPREAD, 1.0))
