"""Track the work at targets: exactly for own sends, as reported for those of other nodes.

A run counts with its tokens to prefill until its first event, and as running until its end.
Reports of other nodes expire when no new ones arrive.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["REPORT_TTL_SECONDS", "Burden", "Lateness", "PeakRate", "TargetHealth", "Workload"]

REPORT_TTL_SECONDS = 1.5
"""Age at which another node's report of its sends expires: five of its heartbeats."""

_FAILURE_WEIGHT = 0.25
"""Weight of the newest response in a target's failure rate: about eight responses count."""
_FAILURE_HALF_LIFE_SECONDS = 4.0
"""Time in which a failure rate halves while nothing is sent to the target."""


class Burden(NamedTuple):
    """The load that runs put on a target.

    `running` counts the runs, `unread` the prompt tokens that are yet to be prefilled, and
    `memory` the tokens that the runs need of the target's memory.
    """

    running: int = 0
    unread: int = 0
    memory: int = 0

    def __add__(self, other: object) -> Burden:
        if not isinstance(other, Burden):
            return NotImplemented
        return Burden(
            self.running + other.running, self.unread + other.unread, self.memory + other.memory
        )

    def __sub__(self, other: Burden) -> Burden:
        return Burden(
            self.running - other.running, self.unread - other.unread, self.memory - other.memory
        )


_IDLE = Burden()


class _NodeReport(NamedTuple):
    received_at: float
    burdens: Mapping[str, Burden]


class Workload:
    """Burdens by target.  Not thread-safe.

    Totals are updated as runs begin and end and as reports arrive, since a choice among all
    targets must not add up the reports of all nodes for each target.
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[str, Burden]] = {}
        self._own: dict[str, Burden] = {}
        self._reports: dict[str, _NodeReport] = {}
        """The last report of each node, the oldest first."""
        self._others: dict[str, Burden] = {}

    def begin(self, target: str, run: str, unread: int, memory: int = 0) -> None:
        """Count a run that was sent to `target`."""
        self._set(target, run, Burden(1, unread, memory))

    def read(self, target: str, run: str) -> None:
        """Record that the prompt of `run` has been prefilled."""
        known = self._runs.get(target, {}).get(run)
        if known is not None:
            self._set(target, run, known._replace(unread=0))

    def end(self, target: str, run: str) -> None:
        """Remove a run; one that is not known is ignored."""
        runs = self._runs.get(target, {})
        if run in runs:
            _add(self._own, target, _IDLE - runs.pop(run))
            if not runs:
                del self._runs[target]

    def own(self) -> dict[str, Burden]:
        """Return the burdens of this node's own sends, by target."""
        return dict(self._own)

    def own_of(self, target: str) -> Burden:
        """Return the burden of this node's own sends to `target`."""
        return self._own.get(target, _IDLE)

    def update_node(self, node: str, burdens: Mapping[str, Burden], now: float) -> bool:
        """Replace the report of `node`; return whether it needs less memory of some target."""
        before = self._forget(node)
        for target, burden in burdens.items():
            _add(self._others, target, burden)
        self._reports[node] = _NodeReport(now, burdens)
        return any(
            burdens.get(target, _IDLE).memory < burden.memory for target, burden in before.items()
        )

    def total(self, nodes: Iterable[str], now: float) -> dict[str, Burden]:
        """Return the summed burdens of this node and of `nodes`, by target."""
        self._expire(now)
        totals = dict(self._own)
        for node in nodes:
            report = self._reports.get(node)
            for target, burden in report.burdens.items() if report is not None else ():
                _add(totals, target, burden)
        return totals

    def burden_of(self, target: str, now: float) -> Burden:
        """Return the total burden of `target`, of all nodes."""
        self._expire(now)
        return self._own.get(target, _IDLE) + self._others.get(target, _IDLE)

    def oldest_report_seconds(self, now: float) -> float:
        """Return the age in seconds of the oldest report of another node, 0 without any."""
        self._expire(now)
        oldest = next(iter(self._reports.values()), None)
        return 0.0 if oldest is None else now - oldest.received_at

    def _set(self, target: str, run: str, burden: Burden) -> None:
        runs = self._runs.setdefault(target, {})
        _add(self._own, target, burden - runs.get(run, _IDLE))
        runs[run] = burden

    def _forget(self, node: str) -> Mapping[str, Burden]:
        report = self._reports.pop(node, None)
        if report is None:
            return {}
        for target, burden in report.burdens.items():
            _add(self._others, target, _IDLE - burden)
        return report.burdens

    def _expire(self, now: float) -> None:
        """Remove expired reports; only the oldest ones are checked."""
        while self._reports:
            node, report = next(iter(self._reports.items()))
            if now - report.received_at <= REPORT_TTL_SECONDS:
                return
            self._forget(node)


def _add(totals: dict[str, Burden], target: str, burden: Burden) -> None:
    total = totals.get(target, _IDLE) + burden
    if total == _IDLE:
        totals.pop(target, None)
    else:
        totals[target] = total


_LATENESS_WEIGHT = 0.4
"""Weight of the newest fetch in a store's lateness: two or three fetches show a slow link."""
_LATENESS_HALF_LIFE_SECONDS = 2.0
"""Time in which a lateness halves: a slow link is tried again after some seconds."""


class _DecayingLateness(NamedTuple):
    seconds: float
    at: float

    def decayed(self, now: float) -> float:
        return float(self.seconds * 0.5 ** ((now - self.at) / _LATENESS_HALF_LIFE_SECONDS))


_NO_LATENESS = _DecayingLateness(0.0, 0.0)


class Lateness:
    """By how many seconds recent fetches from each store exceeded their estimates.

    Lateness that all stores have in common is caused by the engines, not by the links, and
    is subtracted.  A node reports only what it observed itself: forwarding the reports of
    others would renew them at each hop, and they would never decay.
    """

    def __init__(self) -> None:
        self._own: dict[str, _DecayingLateness] = {}
        self._reported: dict[str, _DecayingLateness] = {}

    def observe(self, store: str, seconds: float, now: float) -> None:
        """Record a fetch that took `seconds` longer than estimated."""
        late = self._own.get(store, _NO_LATENESS).decayed(now)
        self._own[store] = _DecayingLateness(
            late + _LATENESS_WEIGHT * (max(0.0, seconds) - late), now
        )

    def merge_reported(self, lateness: Mapping[str, float], now: float) -> None:
        """Merge another node's report, in seconds by store; the higher value counts."""
        for store, seconds in lateness.items():
            if seconds > self._reported.get(store, _NO_LATENESS).decayed(now):
                self._reported[store] = _DecayingLateness(seconds, now)

    def own(self, now: float) -> dict[str, float]:
        """Return the lateness of each store that this node itself observed, in seconds."""
        return {store: late.decayed(now) for store, late in self._own.items()}

    def for_store(self, store: str, now: float) -> float:
        """Return by how many seconds `store` is later than the fastest of the others."""
        return self.by_store(now).get(store, 0.0)

    def by_store(self, now: float) -> dict[str, float]:
        """Return by how many seconds each store is later than the fastest of the others."""
        highest = {
            store: self._highest(store, now) for store in self._own.keys() | self._reported.keys()
        }
        if len(highest) < 2:
            return highest
        fastest, second = sorted(highest.values())[:2]
        # The fastest store itself is compared with the second, so its lateness is 0.
        return {
            store: max(0.0, late - (fastest if late > fastest else second))
            for store, late in highest.items()
        }

    def _highest(self, store: str, now: float) -> float:
        return max(
            late.get(store, _NO_LATENESS).decayed(now) for late in (self._own, self._reported)
        )


class TargetHealth:
    """Recent failure rate of each target, from 0 to 1."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def succeeded(self, target: str, now: float) -> None:
        """Record a successful response."""
        if target in self._rates:
            self._add(target, 0.0, now)

    def failed(self, target: str, now: float) -> None:
        """Record a failure."""
        self._add(target, 1.0, now)

    def share(self, target: str, now: float) -> float:
        """Return the recent failure rate of `target`, from 0 to 1."""
        if target not in self._rates:
            return 0.0
        share, at = self._rates[target]
        return share * 0.5 ** ((now - at) / _FAILURE_HALF_LIFE_SECONDS)

    def _add(self, target: str, value: float, now: float) -> None:
        share = self.share(target, now)
        self._rates[target] = (share + _FAILURE_WEIGHT * (value - share), now)


_PEAK_WINDOW_SECONDS = 10
"""How long a peak counts; longer than the interval between periodic bursts of traffic."""


class PeakRate:
    """Events per second in the busiest second of the last ten."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}

    def add(self, now: float) -> None:
        """Count an event."""
        second = int(now)
        self._counts[second] = self._counts.get(second, 0) + 1

    def value(self, now: float) -> float:
        """Return the most events in any second of the window, the current one included."""
        for second in [s for s in self._counts if s < int(now) - _PEAK_WINDOW_SECONDS]:
            del self._counts[second]
        return float(max(self._counts.values(), default=0))
