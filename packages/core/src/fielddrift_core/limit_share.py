"""Divide a target's rate limit among the nodes that may send to it, without coordination.

Load pattern: an overloaded target states the few requests per second that it accepts from all
nodes together.  If each node applied the whole limit, the target would receive it once per
node.

A few nodes of the target's data centre own it, chosen by rendezvous hashing among the recently
active ones, as for cold targets.  Each owner spaces its sends evenly, so that the overloaded
target receives no bursts.  If two lists of nodes differ by one node, their owners differ by at
most one, so both sets of owners together send less than one and a half times the limit.
"""

from __future__ import annotations

import math
from functools import lru_cache

from .names import rank
from .recent_nodes import RecentNodes

__all__ = ["LimitShare", "owners_of"]

_MIN_OWNERS = 3
"""With three owners, one additional owner sends a third of the limit more."""
_MIN_RATE = 0.2
"""Requests per second that a target is sent whatever limit it states: without responses the
nodes would not notice that it states no limit any more."""
_HANDOVER_SECONDS = 4.5
"""How long a former list stays valid: the sends of former owners count against the limit."""
_RANK_CACHE_SIZE = 512
"""Cached rankings of nodes: those of some targets limited at the same time, by set of nodes."""


def owners_of(target: str, rate: float, nodes: frozenset[str]) -> frozenset[str]:
    """Return which of `nodes` may send to `target`, which accepts `rate` requests per second.

    A higher rate has more owners, because each node has only so many requests to send.
    """
    count = max(_MIN_OWNERS, math.ceil(rate))
    return frozenset(_ranked(target, nodes)[:count])


@lru_cache(maxsize=_RANK_CACHE_SIZE)
def _ranked(target: str, nodes: frozenset[str]) -> tuple[str, ...]:
    return tuple(rank(target, [(name, 1.0) for name in sorted(nodes)]))


class LimitShare:
    """The interval between this node's sends to a limited target, while nodes join and leave."""

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._recent = RecentNodes(hold=_HANDOVER_SECONDS)

    def send_interval(self, target: str, rate: float, nodes: frozenset[str], now: float) -> float:
        """Return the seconds between the node's sends to `target`, infinite if not an owner.

        `nodes` are the recently active ones, `rate` is the limit for all nodes together.
        """
        lists = self._recent.valid_lists(nodes, now)
        return max(self._interval(target, max(rate, _MIN_RATE), each) for each in lists)

    def _interval(self, target: str, rate: float, nodes: frozenset[str]) -> float:
        owners = owners_of(target, rate, nodes)
        return len(owners) / rate if self._node in owners else math.inf
