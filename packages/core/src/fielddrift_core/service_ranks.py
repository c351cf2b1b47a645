"""Rank the requests for one service by priority and, within it, by latency goal.

Load pattern: customers' priorities replace those of the routes, so that short prompts due in
half a second and long ones due in several share one rank.  The long ones take five times the
memory and wait three times as long, so they fill the queues and the memory: the wait of a short
prompt is estimated behind all of them, and it is refused although it would go first.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .catalog import Catalog

__all__ = ["ServiceRanks"]

_MIN_GOAL_RATIO = 1.8
"""Ratio of latency goals from which requests of one priority have different ranks: about twice, as
operators add the time on the network to each.  Requests with closer goals can wait for each
other, in the order in which they are due."""


class ServiceRanks:
    """The ranks of the requests for one service, 0 or the lowest priority for the most urgent.

    If all latency goals are close to each other, the ranks are the priorities.
    """

    def __init__(self, *, priorities: Sequence[int] = (), goals: Iterable[float] = ()) -> None:
        self._priorities = sorted(set(priorities))
        self._band_starts = _band_starts(goals)

    @classmethod
    def of(cls, catalog: Catalog, service: str) -> ServiceRanks:
        """Return the ranks for `service`, by the routes of `catalog` that lead to it."""
        goals = {
            route.latency_goal
            for routes in catalog.routes.values()
            for route in routes
            if any(share.service == service for share in route.shares)
        }
        if len(_band_starts(goals)) < 2:
            return cls(priorities=catalog.priorities)
        return cls(priorities=sorted(_used_priorities(catalog)), goals=goals)

    @property
    def ranks(self) -> Sequence[int]:
        """Return all ranks, the most urgent first."""
        if not self.by_goal:
            return self._priorities
        return range(len(self._priorities) * len(self._band_starts))

    @property
    def by_goal(self) -> bool:
        """Return whether requests of one priority have different ranks."""
        return len(self._band_starts) > 1

    def rank(self, priority: int, latency_goal: float) -> int:
        """Return the rank of a request; `latency_goal` is in seconds."""
        bands = len(self._band_starts)
        if not self.by_goal or priority not in self._priorities:
            return priority
        band = sum(start <= latency_goal for start in self._band_starts) - 1
        return self._priorities.index(priority) * bands + max(0, band)


def _used_priorities(catalog: Catalog) -> set[int]:
    """Return the priorities that requests can have.

    Those of the routes do not count if they are all replaced by those of the customers.
    """
    customers = {customer.priority for customer in catalog.customers.values()}
    anonymous = any(route.anonymous for routes in catalog.routes.values() for route in routes)
    if not customers or None in customers or anonymous:
        return set(catalog.priorities)
    return {priority for priority in customers if priority is not None}


def _band_starts(goals: Iterable[float]) -> list[float]:
    """Return the lowest goal of each band, in ascending order."""
    starts: list[float] = []
    for goal in sorted(goals):
        if not starts or goal >= _MIN_GOAL_RATIO * starts[-1]:
            starts.append(goal)
    return starts
