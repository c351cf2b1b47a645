"""Decide which engines load new weights next, and when this node may order it.

The duty's lease is a row in the platform's table, timed by the platform's
steady clock.  Its holder counts the lease from the latest moment that the
clock may show, a successor waits until the earliest moment has passed it and
a whole turn besides.  The row's version is the fence that orders carry.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["LEASE_SECONDS", "DutyRow", "EngineWeights", "StoreClock", "may_take", "next_loads"]

LEASE_SECONDS = 1.2
"""How long orders may be given after a grant: two renewals' time, so that a
killed holder's duty moves on within seconds."""
_TURN_MARGIN = 0.3
"""Seconds beyond a turn that a successor waits: an order may be some time on its way."""
_LOADING_PART = 3
"""One in so many engines loads at once: the others carry the work meanwhile."""
_LEAST_AT_ONCE = 3
"""Engines that load as quickly together as one alone."""


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


class EngineWeights(NamedTuple):
    """An engine as the rollout sees it; `running` orders the quiet ones first."""

    name: str
    data_centre: str
    weights: int
    running: int
    loading: bool


def next_loads(engines: Collection[EngineWeights], *, wanted: int, late: bool) -> list[str]:
    """Return the engines that should begin to load the weights `wanted`.

    About a third loads at once, spread over the data centres, the quiet ones
    first.  When it is `late`, all begin.
    """
    behind = [e for e in engines if e.weights < wanted and not e.loading]
    if late:
        return [e.name for e in behind]
    most = max(_LEAST_AT_ONCE, len(engines) // _LOADING_PART)
    loading: dict[str, int] = {}
    for engine in engines:
        if engine.loading:
            loading[engine.data_centre] = loading.get(engine.data_centre, 0) + 1
    chosen: list[str] = []
    free = most - sum(loading.values())
    waiting = sorted(behind, key=lambda e: (e.running, e.name))
    while waiting and len(chosen) < free:
        engine = min(waiting, key=lambda e: loading.get(e.data_centre, 0))
        waiting.remove(engine)
        loading[engine.data_centre] = loading.get(engine.data_centre, 0) + 1
        chosen.append(engine.name)
    return chosen
