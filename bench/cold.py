"""`python -m bench.cold`: ways to share out what cold targets may be sent, in virtual time.

Each node sends all that its way allows.  After some seconds a part of the nodes is cut off,
each alone, for longer than heartbeats are missed; the worst second counts the cut too.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

from fielddrift_core.cold_targets import ColdShare, ColdTargets, share_of
from fielddrift_core.names import rank
from tabulate import tabulate

__all__ = ["Figures", "measure"]

_BOUND = 21.5
"""Requests within any second, as a users' sheet has it."""
_STEP_SECONDS = 0.1
_CUT_FROM, _END = 4.0, 10.0
_DATA_CENTRES = {9: 3, 71: 3, 400: 6}
_ACTIVE_PART = 6
"""One in so many nodes is active, three of a data centre at least."""
_CUT_PART = 6
_HANDOVER_SECONDS = 1.5

_Way = Callable[[str, str, frozenset[str], frozenset[str], float], int]
WAYS: dict[str, Callable[[], _Way]] = {}
"""By name: what makes a way, which says how many sends a second `node` has at `target`,
given whom it `hears`, who was active of `late`, and `now`."""


def _way(name: str) -> Callable[[Callable[[], _Way]], Callable[[], _Way]]:
    def register(make: Callable[[], _Way]) -> Callable[[], _Way]:
        WAYS[name] = make
        return make

    return register


@_way("equal parts")
def _equal() -> _Way:
    return lambda node, target, hears, late, now: int(_BOUND / len(hears))


@_way("one owner")
def _one() -> _Way:
    owned: dict[tuple[str, str], float] = {}

    def sends(
        node: str, target: str, hears: frozenset[str], late: frozenset[str], now: float
    ) -> int:
        if rank(target, [(name, 1.0) for name in sorted(hears)])[0] != node:
            owned.pop((node, target), None)
            return 0
        since = owned.setdefault((node, target), now)
        return int(_BOUND) if now - since >= _HANDOVER_SECONDS else 0

    return sends


@_way("few owners")
def _few() -> _Way:
    shares: dict[str, ColdShare] = {}

    def sends(
        node: str, target: str, hears: frozenset[str], late: frozenset[str], now: float
    ) -> int:
        share = shares.setdefault(node, ColdShare(node=node))
        return share.sends(target, late, _BOUND, now)

    return sends


class Figures(NamedTuple):
    """Most requests at any target within a second, the part of the bound that was used
    before the cut, and the microseconds of a node's decision."""

    worst: int
    used: float
    microseconds: float


def measure(way: str, *, nodes: int, targets: int) -> Figures:
    """Return what comes of a way before `targets` cold targets of one data centre."""
    active = max(3, nodes // _DATA_CENTRES[nodes] // _ACTIVE_PART)
    names = frozenset(f"n{number}" for number in range(active))
    cut = frozenset(sorted(names)[: max(1, active // _CUT_PART)])
    decide, sent = WAYS[way](), {name: ColdTargets() for name in names}
    arrivals: dict[str, list[float]] = {f"t{number}": [] for number in range(targets)}
    decisions, spent, now = 0, 0.0, 0.0
    while now < _END:
        now += _STEP_SECONDS
        for node, target in itertools.product(sorted(names), arrivals):
            alone = now >= _CUT_FROM
            hears = (
                frozenset({node}) if alone and node in cut else names - (cut if alone else set())
            )
            began = time.perf_counter()
            most = decide(node, target, hears, names, now)
            allowed = sent[node].may_send(target, most, now)
            spent += time.perf_counter() - began
            decisions += 1
            while allowed:
                sent[node].sent(target, now)
                arrivals[target].append(now)
                allowed = sent[node].may_send(target, most, now)
    worst = max(_worst(times) for times in arrivals.values())
    calm = [at for times in arrivals.values() for at in times if 2.0 <= at < _CUT_FROM]
    used = len(calm) / (_CUT_FROM - 2.0) / _BOUND / targets
    return Figures(worst, used, spent / decisions * 1e6)


def _worst(times: list[float]) -> int:
    return max((sum(a <= b < a + 1.0 for b in times) for a in times), default=0)


def main() -> None:
    """Print the figures of all ways."""
    share_of.cache_clear()
    rows = [
        [way, nodes, targets, *measure(way, nodes=nodes, targets=targets)]
        for way, nodes, targets in itertools.product(WAYS, _DATA_CENTRES, (1, 20, 60))
    ]
    headers = ["way", "nodes", "cold targets", f"worst second ({_BOUND})", "used", "us a decision"]
    print(tabulate(rows, headers=headers, floatfmt=".2f"))


if __name__ == "__main__":
    main()
