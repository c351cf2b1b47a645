"""Track the work at targets: exactly for own sends, as reported for those of other nodes.

A run counts with its tokens to prefill until its first event, and as running until its end.
Reports of other nodes expire when no new ones arrive.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .outside_values import Number, Whole

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

    running: Whole = 0
    unread: Whole = 0
    memory: Number = 0

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
        """The last report of each node, the oldest first; empty reports are left out."""
        self._others: dict[str, Burden] = {}
        self._next_expiry = float("-inf")
        """Time until which no report expires; a choice asks for the burdens of many targets."""

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
            _change(self._own, target, runs.pop(run), _IDLE)
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
        report = self._reports.pop(node, None)
        before: Mapping[str, Burden] = {} if report is None else report.burdens
        if not before and not burdens:
            return False
        freed = False
        for target, burden in burdens.items():
            known = before.get(target, _IDLE)
            if burden != known:
                _change(self._others, target, known, burden)
                freed = freed or burden.memory < known.memory
        for target, known in before.items():
            if target not in burdens:
                _change(self._others, target, known, _IDLE)
                freed = freed or known.memory > 0
        if burdens:
            self._reports[node] = _NodeReport(now, burdens)
        return freed

    def progressed(self, node: str, burdens: Mapping[str, Burden]) -> list[str]:
        """Return the targets of which `node` expects less in `burdens` than in its last report.

        Prompts of the node have been read there, or runs have ended.
        """
        report = self._reports.get(node)
        return [
            target
            for target, before in (report.burdens.items() if report is not None else ())
            if (current := burdens.get(target, _IDLE)).unread < before.unread
            or current.running < before.running
        ]

    def total(self, nodes: Iterable[str], now: float) -> dict[str, Burden]:
        """Return the summed burdens of this node and of `nodes`, by target."""
        self._expire(now)
        totals = dict(self._own)
        for node in nodes:
            report = self._reports.get(node)
            for target, burden in report.burdens.items() if report is not None else ():
                _change(totals, target, _IDLE, burden)
        return totals

    def burden_of(self, target: str, now: float) -> Burden:
        """Return the total burden of `target`, of all nodes."""
        self._expire(now)
        own, others = self._own.get(target), self._others.get(target)
        if own is None or others is None:
            return own or others or _IDLE
        return own + others

    def oldest_report_seconds(self, now: float) -> float:
        """Return the age in seconds of the oldest report of another node, 0 without any."""
        self._expire(now)
        oldest = next(iter(self._reports.values()), None)
        return 0.0 if oldest is None else now - oldest.received_at

    def _set(self, target: str, run: str, burden: Burden) -> None:
        runs = self._runs.setdefault(target, {})
        _change(self._own, target, runs.get(run, _IDLE), burden)
        runs[run] = burden

    def _expire(self, now: float) -> None:
        """Remove expired reports; only the oldest ones are checked."""
        if now <= self._next_expiry:
            return
        while self._reports:
            node, report = next(iter(self._reports.items()))
            if now - report.received_at <= REPORT_TTL_SECONDS:
                self._next_expiry = report.received_at + REPORT_TTL_SECONDS
                return
            del self._reports[node]
            for target, burden in report.burdens.items():
                _change(self._others, target, burden, _IDLE)


def _change(totals: dict[str, Burden], target: str, before: Burden, after: Burden) -> None:
    """Replace the summand `before` of the total of `target` by `after`."""
    # Computed from integers, as this runs for each target of each heartbeat.
    running, unread, memory = totals.get(target, _IDLE)
    running += after[0] - before[0]
    unread += after[1] - before[1]
    memory += after[2] - before[2]
    if running or unread or memory:
        totals[target] = Burden(running, unread, memory)
    else:
        totals.pop(target, None)


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
        reported = self._reported
        for store, seconds in lateness.items():
            known = reported.get(store, _NO_LATENESS)
            # A lateness only decays, so it need not be computed where the report exceeds it.
            if seconds > known.seconds or (seconds > 0 and seconds > known.decayed(now)):
                reported[store] = _DecayingLateness(seconds, now)

    def own(self, now: float) -> dict[str, float]:
        """Return the lateness of each store that this node itself observed, in seconds."""
        return {
            store: seconds * 0.5 ** ((now - at) / _LATENESS_HALF_LIFE_SECONDS)
            for store, (seconds, at) in self._own.items()
        }

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

    def forget(self, target: str) -> None:
        """Remove what is known of a target: its failures had another cause."""
        self._rates.pop(target, None)

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
