"""Decide which engines load new weights next, and when this node may order it.

The duty's lease is a row in the platform's table, timed by the platform's
steady clock.  Its holder counts the lease from the latest moment that the
clock may show, a successor waits until the earliest moment has passed it and
a whole turn besides.  The row's version is the fence that orders carry.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

__all__ = [
    "LEASE_SECONDS",
    "DutyRow",
    "EngineWeights",
    "NamedTimes",
    "StoreClock",
    "VersionAge",
    "may_take",
    "next_loads",
]

LEASE_SECONDS = 1.2
"""How long orders may be given after a grant: two renewals' time, so that a
killed holder's duty moves on within seconds."""
_TURN_MARGIN = 0.3
"""Seconds beyond a turn that a successor waits: an order may be some time on its way."""
_LOADING_PART = 3
"""One in so many engines loads at once: the others carry the work meanwhile."""
_LEAST_AT_ONCE = 3
"""Engines that load as quickly together as one alone."""
_MOST_TOLD = 4
"""Versions of a model whose ages are told: the time for older weights is over before
operators name a fifth."""


class DutyRow(NamedTuple):
    """Who holds a duty, and until when on the platform's clock (seconds)."""

    holder: str
    until: float


class StoreClock(NamedTuple):
    """A reading of the platform's clock: asked at `sent`, answered at `heard` (local)."""

    clock: float
    sent: float
    heard: float

    def earliest(self, now: float) -> float:
        """Return the least that the platform's clock can show at `now`."""
        return self.clock + (now - self.heard)

    def local(self, moment: float) -> float:
        """Return the local time at which the platform's clock may first show `moment`."""
        return self.sent + (moment - self.clock)


def may_take(
    row: DutyRow | None, *, holder: str, clock: StoreClock, now: float, turn: float
) -> bool:
    """Return whether `holder` may take the duty over now."""
    if row is None or row.holder == holder:
        return True
    return clock.earliest(now) >= row.until + turn + _TURN_MARGIN


class VersionAge(NamedTuple):
    """For how many seconds a weight version of a model has been known to anyone."""

    model: str
    version: int
    seconds: float


class NamedTimes:
    """When each named weight version became known, here or to whoever told of it.

    Each version counts on its own: weights are outdated from when the first
    newer version was named, however many were named since.
    """

    def __init__(self) -> None:
        self._times: dict[str, dict[int, float]] = {}

    def heard(self, model: str, version: int, at: float) -> None:
        """Take that `version` was known at the time `at`; the earliest time counts."""
        times = self._times.setdefault(model, {})
        times[version] = min(at, times.get(version, at))

    def outdated_at(self, model: str, weights: int) -> float | None:
        """Return since when `weights` are outdated, None when nothing newer was named."""
        newer = [at for version, at in self._times.get(model, {}).items() if version > weights]
        return min(newer, default=None)

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return the ages of the newest versions of each model."""
        return tuple(
            VersionAge(model, version, now - times[version])
            for model, times in self._times.items()
            for version in sorted(times)[-_MOST_TOLD:]
        )


class EngineWeights(NamedTuple):
    """An engine as the rollout sees it; `running` orders the quiet ones first.

    `outdated` is the seconds for which its weights have not been the newest.
    """

    name: str
    data_centre: str
    weights: int
    running: int
    loading: bool
    outdated: float = 0.0


def next_loads(engines: Collection[EngineWeights], *, wanted: int, longest: float) -> list[str]:
    """Return the engines that should begin to load the weights `wanted`.

    About a third loads at once, spread over the data centres, those with the
    oldest weights first and of these the quiet ones.  Engines that have been
    outdated for the `longest` seconds begin at once, however many load.
    """
    behind = [e for e in engines if e.weights < wanted and not e.loading]
    late = [e.name for e in behind if e.outdated > longest]
    behind = [e for e in behind if e.outdated <= longest]
    most = max(_LEAST_AT_ONCE, len(engines) // _LOADING_PART)
    loading: dict[str, int] = {}
    for engine in engines:
        if engine.loading:
            loading[engine.data_centre] = loading.get(engine.data_centre, 0) + 1
    chosen = late
    free = most - sum(loading.values())
    waiting = sorted(behind, key=lambda e: (e.running, e.name))
    while waiting and len(chosen) < free:
        engine = min(waiting, key=lambda e: (e.weights, loading.get(e.data_centre, 0)))
        waiting.remove(engine)
        loading[engine.data_centre] = loading.get(engine.data_centre, 0) + 1
        chosen.append(engine.name)
    return chosen
