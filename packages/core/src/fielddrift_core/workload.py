"""Follow what targets have to do: own sends exactly, other nodes' as they tell them.

A run counts its unread prompt until its first event, and a place until its
end.  What other nodes told fades out when they fall silent.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["TOLD_SECONDS", "Burden", "Lateness", "PeakRate", "TargetHealth", "Workload"]

TOLD_SECONDS = 1.5
"""Age at which another node's word on its sends no longer counts: five of its heartbeats."""

_FAILURE_WEIGHT = 0.25
"""Weight of the newest answer in a target's share of failures: about eight answers count."""
_FAILURE_FADE_SECONDS = 4.0
"""Time in which a share of failures halves while nothing is sent there."""


class Burden(NamedTuple):
    """Runs at a target, the prompt tokens that it has yet to read for them, and
    the tokens that they need of its memory."""

    running: int = 0
    unread: int = 0
    memory: int = 0


class _Run(NamedTuple):
    unread: int
    memory: int


class Workload:
    """Burdens by target.  Not safe for threads."""

    def __init__(self) -> None:
        self._own: dict[str, dict[str, _Run]] = {}
        self._told: dict[str, tuple[float, Mapping[str, Burden]]] = {}

    def begin(self, target: str, run: str, unread: int, memory: int = 0) -> None:
        """Count a run that was sent to `target`."""
        self._own.setdefault(target, {})[run] = _Run(unread, memory)

    def read(self, target: str, run: str) -> None:
        """Note that the prompt of `run` is read."""
        runs = self._own.get(target)
        if runs is not None and run in runs:
            runs[run] = runs[run]._replace(unread=0)

    def end(self, target: str, run: str) -> None:
        """Forget a run."""
        runs = self._own.get(target)
        if runs is not None:
            runs.pop(run, None)
            if not runs:
                del self._own[target]

    def own(self) -> dict[str, Burden]:
        """Return this node's own burdens, for the other nodes."""
        return {target: _sum(runs) for target, runs in self._own.items()}

    def told(self, node: str, burdens: Mapping[str, Burden], now: float) -> None:
        """Take what another node says of its own sends."""
        self._told[node] = (now, burdens)

    def at(self, target: str, now: float) -> Burden:
        """Return everything known to be at `target`."""
        burden = _sum(self._own.get(target, {}))
        for heard, burdens in self._told.values():
            if now - heard <= TOLD_SECONDS and target in burdens:
                other = burdens[target]
                burden = Burden(
                    burden.running + other.running,
                    burden.unread + other.unread,
                    burden.memory + other.memory,
                )
        return burden


def _sum(runs: Mapping[str, _Run]) -> Burden:
    return Burden(
        len(runs), sum(r.unread for r in runs.values()), sum(r.memory for r in runs.values())
    )


_LATE_WEIGHT = 0.4
"""Weight of the newest fetch in a store's lateness: two or three tell of a slow link."""
_LATE_FADE_SECONDS = 2.0
"""Time in which a lateness halves: a link is tried again some seconds after it was slow."""


class _Late(NamedTuple):
    seconds: float
    at: float

    def faded(self, now: float) -> float:
        return float(self.seconds * 0.5 ** ((now - self.at) / _LATE_FADE_SECONDS))


_IN_TIME = _Late(0.0, 0.0)


class Lateness:
    """By how many seconds fetches from a store came later than estimated, of late.

    What all stores have in common is the engines' doing, not the links'.  Only what
    this node saw itself is told on, or it would be renewed at each hop and never fade.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Late] = {}
        self._told: dict[str, _Late] = {}

    def came(self, store: str, seconds: float, now: float) -> None:
        """Count a fetch that took `seconds` longer than estimated."""
        late = self._seen.get(store, _IN_TIME).faded(now)
        self._seen[store] = _Late(late + _LATE_WEIGHT * (max(0.0, seconds) - late), now)

    def told(self, lateness: Mapping[str, float], now: float) -> None:
        """Take what another node saw, where it is worse."""
        for store, seconds in lateness.items():
            if seconds > self._told.get(store, _IN_TIME).faded(now):
                self._told[store] = _Late(seconds, now)

    def known(self, now: float) -> dict[str, float]:
        """Return the lateness of each store that this node saw itself, in seconds."""
        return {store: late.faded(now) for store, late in self._seen.items()}

    def of(self, store: str, now: float) -> float:
        """Return by how much `store` is later than the quickest of the others."""
        stores = self._seen.keys() | self._told.keys()
        others = [self._worst(other, now) for other in stores if other != store]
        common = min(others) if others else 0.0
        return max(0.0, self._worst(store, now) - common)

    def _worst(self, store: str, now: float) -> float:
        return max(late.get(store, _IN_TIME).faded(now) for late in (self._seen, self._told))


class TargetHealth:
    """Judge targets by their answers; a share of failures from 0 to 1 each."""

    def __init__(self) -> None:
        self._shares: dict[str, tuple[float, float]] = {}

    def worked(self, target: str, now: float) -> None:
        """Count an answer."""
        if target in self._shares:
            self._add(target, 0.0, now)

    def failed(self, target: str, now: float) -> None:
        """Count a failure."""
        self._add(target, 1.0, now)

    def share(self, target: str, now: float) -> float:
        """Return the share of recent sends to `target` that failed."""
        if target not in self._shares:
            return 0.0
        share, at = self._shares[target]
        return share * 0.5 ** ((now - at) / _FAILURE_FADE_SECONDS)

    def _add(self, target: str, value: float, now: float) -> None:
        share = self.share(target, now)
        self._shares[target] = (share + _FAILURE_WEIGHT * (value - share), now)


_PEAK_SECONDS = 10
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
        for second in [s for s in self._counts if s < int(now) - _PEAK_SECONDS]:
            del self._counts[second]
        return float(max(self._counts.values(), default=0))
