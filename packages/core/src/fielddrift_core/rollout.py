"""Decide which engines load new weights next, and when this node may order it.

The lease of a duty is a row in the platform's table, timed by the platform's steady clock.
The holder measures its lease by the latest time that this clock may show.  A successor
waits until the earliest time that it may show is past the end of the lease, plus a
takeover delay.  The version of the row is the fencing token that orders carry.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from functools import lru_cache
from typing import NamedTuple

from .names import rank
from .outside_values import Finite, Number

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
"""How long the holder may give orders after a grant: the time of two renewals, so that the
duty of a killed holder is taken over within seconds."""
_TAKEOVER_MARGIN_SECONDS = 0.3
"""Added to the takeover delay, since the last order of the previous holder may still be in
transit."""
_LOADING_DIVISOR = 3
"""One in so many engines loads at the same time; the others serve requests meanwhile."""
_MIN_CONCURRENT_LOADS = 3
"""Number of engines that can load concurrently without slowing each other down."""
_RANK_CACHE_SIZE = 16
"""Rollouts whose engine order is cached: some models, each with a few sets of engines."""
_MAX_VERSIONS = 4
"""Number of newest versions of a model whose ages are shared and saved: the time limit for
outdated weights ends before operators name a fifth version."""
SAVED_ERROR_SECONDS = 0.5
"""A saved naming time is corrected only if it is later than the one that a node knows by more
than this, plus the uncertainty of the node's own reading of the platform's clock.  This constant
covers the uncertainty of the other nodes' readings."""
_BEGIN_MARGIN_SECONDS = 0.5
"""Time before the limit for outdated weights at which a waiting request is cancelled: the
cancellation reaches an engine within some ms, or some hundred ms over a faulty link."""


class DutyRow(NamedTuple):
    """The lease of a duty: its holder, its end on the platform's clock in seconds, its era.

    `era` is the store era in which the row was written.
    """

    holder: str
    until: Finite
    era: Number = 0


class StoreClock(NamedTuple):
    """A reading of the platform's clock.

    The request was sent at `sent` and answered at `heard`, both in local time (seconds).
    """

    clock: float
    sent: float
    heard: float

    def earliest(self, now: float) -> float:
        """Return the earliest time that the platform's clock can show at local time `now`."""
        return self.clock + (now - self.heard)

    def local(self, moment: float) -> float:
        """Return the earliest local time at which the platform's clock may show `moment`."""
        return self.sent + (moment - self.clock)


def may_take_over(
    row: DutyRow | None, *, holder: str, clock: StoreClock, now: float, takeover_delay: float
) -> bool:
    """Return whether `holder` may take over the duty now.

    `takeover_delay` is the seconds that must pass between the end of a lease and the first
    order of another holder.
    """
    if row is None or row.holder == holder:
        return True
    return clock.earliest(now) >= row.until + takeover_delay + _TAKEOVER_MARGIN_SECONDS


def next_check(row: DutyRow, *, clock: StoreClock, takeover_delay: float) -> float:
    """Return the local time before which the duty of another holder's `row` cannot be free.

    The holder may release the duty right after the reading, but not earlier.
    """
    soonest = min(row.until, clock.clock) + takeover_delay + _TAKEOVER_MARGIN_SECONDS
    return clock.heard + (soonest - clock.clock)


class VersionAge(NamedTuple):
    """The seconds since a weight version of a model first became known to any node."""

    model: str
    version: Number
    seconds: Finite


class Naming(NamedTuple):
    """A weight version, and the local time in seconds at which it was named."""

    version: int
    at: float


def seconds_to_begin(outdated: float, *, max_outdated: float) -> float:
    """Return the seconds within which a request must begin on weights `outdated` for so long.

    `max_outdated` is the time limit for outdated weights, in seconds.  On the newest weights,
    outdated for 0 s, a request may begin at any time: the result is infinite.
    """
    return max_outdated - _BEGIN_MARGIN_SECONDS - outdated if outdated > 0 else float("inf")


def earliest_takeover(era_since: float, *, takeover_delay: float) -> float:
    """Return the earliest local time at which a duty without a row in this era may be taken.

    `era_since` is when this node first observed the era.  The store may have lost the row of
    a holder whose lease was valid then, and which gave its last order just before the end.
    """
    return era_since + LEASE_SECONDS + takeover_delay + _TAKEOVER_MARGIN_SECONDS


class NamingTimes:
    """When each named weight version first became known to this node or one that reported it.

    Weights are outdated from the time at which the first newer version was named, however
    many versions were named after it.
    """

    def __init__(self) -> None:
        self._times: dict[str, dict[int, float]] = {}

    def heard(self, model: str, version: int, at: float) -> None:
        """Record that `version` was known at local time `at`; the earliest time counts."""
        times = self._times.setdefault(model, {})
        known = times.get(version)
        if known is None or at < known:
            times[version] = at

    def named_at(self, model: str, version: int) -> float | None:
        """Return the local time at which `version` became known, or None if it is unknown."""
        return self._times.get(model, {}).get(version)

    def first_newer(self, model: str, weights: int) -> Naming | None:
        """Return the first naming of a version newer than `weights`, or None if there is none."""
        first: Naming | None = None
        for version, at in self._times.get(model, {}).items():
            if version > weights and (first is None or at < first.at):
                first = Naming(version, at)
        return first

    def newest(self, model: str) -> dict[int, float]:
        """Return the local times at which the newest versions of `model` became known."""
        return _newest(self._times.get(model, {}))

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return the ages of the newest versions of each model."""
        return tuple(
            VersionAge(model, version, now - at)
            for model in self._times
            for version, at in self.newest(model).items()
        )

    def restore(self, model: str, saved: Mapping[int, float], clock: StoreClock) -> None:
        """Record `saved` naming times of `model`, by version, on the platform's clock."""
        for version, moment in saved.items():
            self.heard(model, version, clock.local(moment))


def times_to_save(
    own: Mapping[int, float], *, saved: Mapping[int, float], clock: StoreClock
) -> dict[int, float] | None:
    """Return the naming times to save, by version, or None if `saved` is up to date.

    The result and `saved` are times on the platform's clock, `own` are local times.  The
    earliest time of each version counts.
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
    """The state of an engine in a rollout.

    `outdated` is the number of seconds for which its weights have not been the newest.
    """

    name: str
    data_centre: str
    weights: int
    loading: bool
    outdated: float = 0.0


def next_loads(
    engines: Collection[EngineWeights], *, wanted: int, max_outdated: float
) -> list[str]:
    """Return the names of the engines that should begin to load the weights `wanted`.

    About a third of the engines load at the same time.  Engines that have been outdated for
    more than `max_outdated` seconds begin at once, however many others are loading.
    """
    late = [e.name for e in engines if _needs_load(e, wanted) and e.outdated > max_outdated]
    queued = [name for name in _load_order(engines, wanted) if name not in late]
    free = _max_concurrent(engines) - sum(engine.loading for engine in engines)
    return late + queued[: max(0, free - len(late))]


def upcoming_loads(engines: Collection[EngineWeights], *, wanted: int) -> frozenset[str]:
    """Return the engines that will load the weights `wanted` after the current loads.

    Every node computes the same set.  Long responses should not be sent there: before it
    loads, an engine finishes its runs and accepts no new ones meanwhile.
    """
    return frozenset(_load_order(engines, wanted)[: _max_concurrent(engines)])


def _max_concurrent(engines: Collection[EngineWeights]) -> int:
    return max(_MIN_CONCURRENT_LOADS, len(engines) // _LOADING_DIVISOR)


def _needs_load(engine: EngineWeights, wanted: int) -> bool:
    return engine.weights < wanted and not engine.loading


def _load_order(engines: Collection[EngineWeights], wanted: int) -> list[str]:
    """Return the engines that have yet to load, in the order in which they should.

    Engines with the oldest weights come first; data centres alternate.
    """
    queues: dict[str, list[EngineWeights]] = {}
    for engine in engines:
        if _needs_load(engine, wanted):
            queues.setdefault(engine.data_centre, []).append(engine)
    if not queues:
        return []
    positions = _rank_positions(wanted, tuple(sorted(engine.name for engine in engines)))
    for queue in queues.values():
        # Sorted in reverse, so that the next engine can be popped from the end.
        queue.sort(key=lambda e: (-e.weights, -positions[e.name]))
    loading = Counter(engine.data_centre for engine in engines if engine.loading)
    line = []
    while queues:
        heads = [queue[-1] for queue in queues.values()]
        first = min(heads, key=lambda e: (e.weights, loading[e.data_centre], positions[e.name]))
        queues[first.data_centre].pop()
        if not queues[first.data_centre]:
            del queues[first.data_centre]
        loading[first.data_centre] += 1
        line.append(first.name)
    return line


@lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank_positions(wanted: int, names: tuple[str, ...]) -> Mapping[str, int]:
    """Return each engine's position by rank, cached per set of engines."""
    ranked = rank(str(wanted), [(name, 1.0) for name in names])
    return {name: position for position, name in enumerate(ranked)}
