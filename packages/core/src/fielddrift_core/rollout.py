"""Decide which engines load new weights next, and when this node may order it.

The duty's lease is a row in the platform's table, timed by the platform's
steady clock.  Its holder counts the lease from the latest moment that the
clock may show, a successor waits until the earliest moment has passed it and
a whole turn besides.  The row's version is the fence that orders carry.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from functools import lru_cache
from typing import NamedTuple

from .names import rank

__all__ = [
    "LEASE_SECONDS",
    "SAVED_ERROR_SECONDS",
    "DutyRow",
    "EngineWeights",
    "Naming",
    "NamingTimes",
    "StoreClock",
    "VersionAge",
    "earliest_takeover",
    "may_take_over",
    "next_check",
    "next_loads",
    "seconds_to_begin",
    "times_to_save",
    "upcoming_loads",
]

LEASE_SECONDS = 1.2
"""How long orders may be given after a grant: two renewals' time, so that a
killed holder's duty moves on within seconds."""
_TAKEOVER_MARGIN_SECONDS = 0.3
"""Seconds beyond a turn that a successor waits: an order may be some time on its way."""
_LOADING_DIVISOR = 3
"""One in so many engines loads at once: the others carry the work meanwhile."""
_MIN_CONCURRENT_LOADS = 3
"""Engines that load as quickly together as one alone."""
_RANK_CACHE_SIZE = 16
"""Rollouts whose order is remembered: some models at a time, each with a few sets of engines."""
_MAX_VERSIONS = 4
"""Versions of a model whose ages are told and saved: the time for older weights is over
before operators name a fifth."""
SAVED_ERROR_SECONDS = 0.5
"""Seconds by which a saved naming may be later than a node knows it to be, beside what the
node's own reading of the platform's clock may be off: other nodes' readings are too."""
_BEGIN_MARGIN_SECONDS = 0.5
"""Seconds before the end of the time for older weights at which a request that waits is
called off: an engine hears of it within some ms, over a link in trouble some hundred."""


class DutyRow(NamedTuple):
    """Who holds a duty, until when on the platform's clock (seconds), written in which era."""

    holder: str
    until: float
    era: int = 0


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


def may_take_over(
    row: DutyRow | None, *, holder: str, clock: StoreClock, now: float, turn: float
) -> bool:
    """Return whether `holder` may take the duty over now."""
    if row is None or row.holder == holder:
        return True
    return clock.earliest(now) >= row.until + turn + _TAKEOVER_MARGIN_SECONDS


def next_check(row: DutyRow, *, clock: StoreClock, turn: float) -> float:
    """Return the local time before which another's `row` cannot be found free.

    Its holder may give the duty back right after the reading, but no sooner.
    """
    soonest = min(row.until, clock.clock) + turn + _TAKEOVER_MARGIN_SECONDS
    return clock.heard + (soonest - clock.clock)


class VersionAge(NamedTuple):
    """For how many seconds a weight version of a model has been known to anyone."""

    model: str
    version: int
    seconds: float


class Naming(NamedTuple):
    """When a weight version was named, as far as anyone knows (seconds)."""

    version: int
    at: float


def seconds_to_begin(outdated: float, *, max_outdated: float) -> float:
    """Return in how many seconds a request must begin on weights `outdated` for so long.

    `bound` is the time for older weights; the newest weights, outdated for 0 s,
    may be begun on at any time.
    """
    return max_outdated - _BEGIN_MARGIN_SECONDS - outdated if outdated > 0 else float("inf")


def earliest_takeover(era_since: float, *, turn: float) -> float:
    """Return the first local time at which a duty may be taken that no row of this era names.

    `era_since` is when the era was first met.  The store may have lost the row of a holder
    whose lease ran then, and who gave its last order just before that ended.
    """
    return era_since + LEASE_SECONDS + turn + _TAKEOVER_MARGIN_SECONDS


class NamingTimes:
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

    def named_at(self, model: str, version: int) -> float | None:
        """Return when `version` became known, None when it is not."""
        return self._times.get(model, {}).get(version)

    def first_newer(self, model: str, weights: int) -> Naming | None:
        """Return the first naming that outdated `weights`, None when nothing newer was named."""
        times = self._times.get(model, {})
        newer = [Naming(version, at) for version, at in times.items() if version > weights]
        return min(newer, key=lambda naming: naming.at, default=None)

    def newest(self, model: str) -> dict[int, float]:
        """Return when the newest versions of `model` became known."""
        return _newest(self._times.get(model, {}))

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return the ages of the newest versions of each model."""
        return tuple(
            VersionAge(model, version, now - at)
            for model in self._times
            for version, at in self.newest(model).items()
        )

    def restore(self, model: str, saved: Mapping[int, float], clock: StoreClock) -> None:
        """Take when versions of `model` were named on the platform's clock."""
        for version, moment in saved.items():
            self.heard(model, version, clock.local(moment))


def times_to_save(
    own: Mapping[int, float], *, saved: Mapping[int, float], clock: StoreClock
) -> dict[int, float] | None:
    """Return when versions were named on the platform's clock, None when `saved` says it.

    `own` are local times.  Of each version the earliest time counts.
    """
    times = dict(saved)
    error = SAVED_ERROR_SECONDS + clock.heard - clock.sent
    for version, at in own.items():
        moment = clock.earliest(at)
        if moment < times.get(version, float("inf")) - error:
            times[version] = moment
    times = _newest(times)
    return None if times == saved else times


def _newest(times: Mapping[int, float]) -> dict[int, float]:
    return {version: times[version] for version in sorted(times)[-_MAX_VERSIONS:]}


class EngineWeights(NamedTuple):
    """An engine as the rollout sees it; `outdated` is the seconds for which its weights
    have not been the newest.
    """

    name: str
    data_centre: str
    weights: int
    loading: bool
    outdated: float = 0.0


def next_loads(
    engines: Collection[EngineWeights], *, wanted: int, max_outdated: float
) -> list[str]:
    """Return the engines that should begin to load the weights `wanted`.

    About a third loads at once, the first in line.  Engines that have been
    outdated for the `longest` seconds begin at once, however many load.
    """
    late = [e.name for e in engines if _needs_load(e, wanted) and e.outdated > max_outdated]
    in_line = [name for name in _load_order(engines, wanted) if name not in late]
    free = _max_concurrent(engines) - sum(engine.loading for engine in engines)
    return late + in_line[: max(0, free - len(late))]


def upcoming_loads(engines: Collection[EngineWeights], *, wanted: int) -> frozenset[str]:
    """Return the engines that load the weights `wanted` after those that load now.

    Every node finds the same ones.  Long answers sent there would hold their
    loads up: an engine ends what it runs before it loads, and takes nothing new
    meanwhile.
    """
    return frozenset(_load_order(engines, wanted)[: _max_concurrent(engines)])


def _max_concurrent(engines: Collection[EngineWeights]) -> int:
    return max(_MIN_CONCURRENT_LOADS, len(engines) // _LOADING_DIVISOR)


def _needs_load(engine: EngineWeights, wanted: int) -> bool:
    return engine.weights < wanted and not engine.loading


def _load_order(engines: Collection[EngineWeights], wanted: int) -> list[str]:
    """Return the engines that are yet to load, in the order in which they should.

    Those with the oldest weights come first, and the data centres take turns.
    """
    queues: dict[str, list[EngineWeights]] = {}
    for engine in engines:
        if _needs_load(engine, wanted):
            queues.setdefault(engine.data_centre, []).append(engine)
    if not queues:
        return []
    places = _rank_positions(wanted, tuple(sorted(engine.name for engine in engines)))
    for queue in queues.values():
        # The first in line stands last, from where it is taken away.
        queue.sort(key=lambda e: (-e.weights, -places[e.name]))
    loading = Counter(engine.data_centre for engine in engines if engine.loading)
    line = []
    while queues:
        heads = [queue[-1] for queue in queues.values()]
        first = min(heads, key=lambda e: (e.weights, loading[e.data_centre], places[e.name]))
        queues[first.data_centre].pop()
        if not queues[first.data_centre]:
            del queues[first.data_centre]
        loading[first.data_centre] += 1
        line.append(first.name)
    return line


@lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank_positions(wanted: int, names: tuple[str, ...]) -> Mapping[str, int]:
    """Return each engine's place by rank; worked out once while a rollout's engines stay."""
    ranked = rank(str(wanted), [(name, 1.0) for name in names])
    return {name: place for place, name in enumerate(ranked)}
