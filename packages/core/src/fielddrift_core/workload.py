"""Follow what targets have to do: own sends exactly, other nodes' as they tell them.

A run counts its unread prompt until its first event, and a place until its
end.  What other nodes told fades out when they fall silent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["REPORT_TTL_SECONDS", "Burden", "Lateness", "PeakRate", "TargetHealth", "Workload"]

REPORT_TTL_SECONDS = 1.5
"""Age at which another node's word on its sends no longer counts: five of its heartbeats."""

_FAILURE_WEIGHT = 0.25
"""Weight of the newest answer in a target's share of failures: about eight answers count."""
_FAILURE_HALF_LIFE_SECONDS = 4.0
"""Time in which a share of failures halves while nothing is sent there."""


class Burden(NamedTuple):
    """Runs at a target, the prompt tokens that it has yet to read for them, and
    the tokens that they need of its memory."""

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
    """Burdens by target.  Not safe for threads.

    Totals are kept as runs begin and end and as nodes tell of theirs: a choice that
    weighs all targets must not add up all nodes for each of them.
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[str, Burden]] = {}
        self._own: dict[str, Burden] = {}
        self._reports: dict[str, _NodeReport] = {}
        """What each node told last, the oldest first."""
        self._others: dict[str, Burden] = {}

    def begin(self, target: str, run: str, unread: int, memory: int = 0) -> None:
        """Count a run that was sent to `target`."""
        self._set(target, run, Burden(1, unread, memory))

    def read(self, target: str, run: str) -> None:
        """Note that the prompt of `run` is read."""
        known = self._runs.get(target, {}).get(run)
        if known is not None:
            self._set(target, run, known._replace(unread=0))

    def end(self, target: str, run: str) -> None:
        """Forget a run."""
        runs = self._runs.get(target, {})
        if run in runs:
            _add(self._own, target, _IDLE - runs.pop(run))
            if not runs:
                del self._runs[target]

    def own(self) -> dict[str, Burden]:
        """Return this node's own burdens, for the other nodes."""
        return dict(self._own)

    def update_node(self, node: str, burdens: Mapping[str, Burden], now: float) -> bool:
        """Take what another node says of its own sends; True when some target has less to do."""
        before = self._forget(node)
        for target, burden in burdens.items():
            _add(self._others, target, burden)
        self._reports[node] = _NodeReport(now, burdens)
        return any(
            burdens.get(target, _IDLE).memory < burden.memory for target, burden in before.items()
        )

    def total(self, nodes: Iterable[str], now: float) -> dict[str, Burden]:
        """Return the burdens of this node and of `nodes` in one."""
        self._expire(now)
        totals = dict(self._own)
        for node in nodes:
            told = self._reports.get(node)
            for target, burden in told.burdens.items() if told is not None else ():
                _add(totals, target, burden)
        return totals

    def burden_of(self, target: str, now: float) -> Burden:
        """Return everything known to be at `target`."""
        self._expire(now)
        return self._own.get(target, _IDLE) + self._others.get(target, _IDLE)

    def _set(self, target: str, run: str, burden: Burden) -> None:
        runs = self._runs.setdefault(target, {})
        _add(self._own, target, burden - runs.get(run, _IDLE))
        runs[run] = burden

    def _forget(self, node: str) -> Mapping[str, Burden]:
        told = self._reports.pop(node, None)
        if told is None:
            return {}
        for target, burden in told.burdens.items():
            _add(self._others, target, _IDLE - burden)
        return told.burdens

    def _expire(self, now: float) -> None:
        """Forget the nodes that fell silent: only the oldest words are looked at."""
        while self._reports:
            node, told = next(iter(self._reports.items()))
            if now - told.received_at <= REPORT_TTL_SECONDS:
                return
            self._forget(node)


def _add(totals: dict[str, Burden], target: str, burden: Burden) -> None:
    total = totals.get(target, _IDLE) + burden
    if total == _IDLE:
        totals.pop(target, None)
    else:
        totals[target] = total


_LATENESS_WEIGHT = 0.4
"""Weight of the newest fetch in a store's lateness: two or three tell of a slow link."""
_LATENESS_HALF_LIFE_SECONDS = 2.0
"""Time in which a lateness halves: a link is tried again some seconds after it was slow."""


class _DecayingLateness(NamedTuple):
    seconds: float
    at: float

    def decayed(self, now: float) -> float:
        return float(self.seconds * 0.5 ** ((now - self.at) / _LATENESS_HALF_LIFE_SECONDS))


_NO_LATENESS = _DecayingLateness(0.0, 0.0)


class Lateness:
    """By how many seconds fetches from a store came later than estimated, of late.

    What all stores have in common is the engines' doing, not the links'.  Only what
    this node saw itself is told on, or it would be renewed at each hop and never fade.
    """

    def __init__(self) -> None:
        self._own: dict[str, _DecayingLateness] = {}
        self._reported: dict[str, _DecayingLateness] = {}

    def observe(self, store: str, seconds: float, now: float) -> None:
        """Count a fetch that took `seconds` longer than estimated."""
        late = self._own.get(store, _NO_LATENESS).decayed(now)
        self._own[store] = _DecayingLateness(
            late + _LATENESS_WEIGHT * (max(0.0, seconds) - late), now
        )

    def merge_reported(self, lateness: Mapping[str, float], now: float) -> None:
        """Take what another node saw, where it is worse."""
        for store, seconds in lateness.items():
            if seconds > self._reported.get(store, _NO_LATENESS).decayed(now):
                self._reported[store] = _DecayingLateness(seconds, now)

    def own(self, now: float) -> dict[str, float]:
        """Return the lateness of each store that this node saw itself, in seconds."""
        return {store: late.decayed(now) for store, late in self._own.items()}

    def for_store(self, store: str, now: float) -> float:
        """Return by how much `store` is later than the quickest of the others."""
        return self.by_store(now).get(store, 0.0)

    def by_store(self, now: float) -> dict[str, float]:
        """Return by how much each store is later than the quickest of the others, in seconds."""
        worst = {
            store: self._highest(store, now) for store in self._own.keys() | self._reported.keys()
        }
        if len(worst) < 2:
            return worst
        quickest, second = sorted(worst.values())[:2]
        # The quickest store itself is compared with the second; it is never later.
        return {
            store: max(0.0, late - (quickest if late > quickest else second))
            for store, late in worst.items()
        }

    def _highest(self, store: str, now: float) -> float:
        return max(
            late.get(store, _NO_LATENESS).decayed(now) for late in (self._own, self._reported)
        )


class TargetHealth:
    """Judge targets by their answers; a share of failures from 0 to 1 each."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def succeeded(self, target: str, now: float) -> None:
        """Count an answer."""
        if target in self._rates:
            self._add(target, 0.0, now)

    def failed(self, target: str, now: float) -> None:
        """Count a failure."""
        self._add(target, 1.0, now)

    def share(self, target: str, now: float) -> float:
        """Return the share of recent sends to `target` that failed."""
        if target not in self._rates:
            return 0.0
        share, at = self._rates[target]
        return share * 0.5 ** ((now - at) / _FAILURE_HALF_LIFE_SECONDS)

    def _add(self, target: str, value: float, now: float) -> None:
        share = self.share(target, now)
        self._rates[target] = (share + _FAILURE_WEIGHT * (value - share), now)


_PEAK_WINDOW_SECONDS = 10
"""How long a peak counts: longer than the waves of the users' traffic."""


class PeakRate:
    """Events a second, as of the busiest second of late."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}

    def add(self, now: float) -> None:
        """Count an event."""
        second = int(now)
        self._counts[second] = self._counts.get(second, 0) + 1

    def value(self, now: float) -> float:
        """Return the most events in any whole or running second that still counts."""
        for second in [s for s in self._counts if s < int(now) - _PEAK_WINDOW_SECONDS]:
            del self._counts[second]
        return float(max(self._counts.values(), default=0))
