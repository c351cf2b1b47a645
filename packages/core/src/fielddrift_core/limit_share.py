"""Share a target's limit out among the nodes that may send to it, without asking them.

Load pattern: a target in need names the few requests a second that it takes from all nodes
together.  Were each node to keep the limit by itself, the target would get it as many times
as there are nodes.

A few nodes of its data centre own the target, chosen by rendezvous among those that were
active of late, as cold targets are.  Each spaces its sends evenly, so that a target in need
gets no bursts.  Of two lists of nodes that differ by one node, the owners differ by one:
what both send together is less than half as much again.
"""

from __future__ import annotations

import math
from functools import lru_cache

from .names import rank
from .recent_nodes import RecentNodes

__all__ = ["LimitShare", "owners_of"]

_LEAST_OWNERS = 3
"""With three, one owner more sends a third as much again."""
_LEAST_RATE = 0.2
"""Requests a second that go to a target whatever limit it names: without any answer, nobody
would learn that it names none any more."""
_HANDOVER_SECONDS = 4.5
"""How long a former list binds: what former owners have sent counts against the limit."""
_REMEMBERED_RANKS = 512
"""Orders of nodes that are remembered: some targets' that are limited at once, by sets of nodes."""


def owners_of(target: str, rate: float, nodes: frozenset[str]) -> frozenset[str]:
    """Return who of `nodes` may send to `target`, which takes `rate` requests a second.

    More owners where the rate is higher: each has only so many requests to send.
    """
    count = max(_LEAST_OWNERS, math.ceil(rate))
    return frozenset(_ranked(target, nodes)[:count])


@lru_cache(maxsize=_REMEMBERED_RANKS)
def _ranked(target: str, nodes: frozenset[str]) -> tuple[str, ...]:
    return tuple(rank(target, [(name, 1.0) for name in sorted(nodes)]))


class LimitShare:
    """How far apart this node's sends to a limited target are, while the list of nodes changes."""

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._recent = RecentNodes(hold=_HANDOVER_SECONDS)

    def spacing(self, target: str, rate: float, nodes: frozenset[str], now: float) -> float:
        """Return the seconds between the node's sends to `target`, without end for no owner.

        `nodes` are those that were active of late, `rate` the limit for all nodes together.
        """
        lists = self._recent.valid_lists(nodes, now)
        return max(self._spacing(target, max(rate, _LEAST_RATE), each) for each in lists)

    def _spacing(self, target: str, rate: float, nodes: frozenset[str]) -> float:
        owners = owners_of(target, rate, nodes)
        return len(owners) / rate if self._node in owners else math.inf
