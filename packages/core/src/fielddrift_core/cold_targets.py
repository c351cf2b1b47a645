"""Divide the sends that a cold target can handle among the nodes, without coordination.

After a restart the caches of a target are empty, so it is slow at first; all nodes find it idle
at the same moment and would overload it.  A cold target can handle a limited number of requests
per second from all nodes together, and fails far above it.

A few nodes of the target's data centre own it while it is cold, chosen by rendezvous hashing
among the recently active nodes, alive or not.  So nodes on two sides of a partition choose the
same owners, and a node that is isolated uses no more than its share.  Each owner counts its
own sends within any second.  The shares leave room for one additional owner that the others do
not know yet.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from functools import lru_cache
from typing import NamedTuple

from .names import rank
from .recent_nodes import RecentNodes

__all__ = ["ColdShare", "ColdTargets", "Share", "share_of"]

_WINDOW_SECONDS = 1.05
"""One second, and a margin: two sends may arrive closer together than they were sent."""
_MAX_OWNERS = 9
"""Maximum owners of a target: each needs requests of its own to use its share."""
_HANDOVER_SECONDS = 1.5
"""How long a former list of nodes stays valid: some nodes still use it until they have received
the change, and their sends count for one more second."""
_SHARE_CACHE_SIZE = 512
"""Cached shares: those of some targets that are cold at the same time, by set of nodes."""


class Share(NamedTuple):
    """The nodes that may send to a cold target, and how often each of them within any second."""

    owners: frozenset[str]
    sends: int


@lru_cache(maxsize=_SHARE_CACHE_SIZE)
def share_of(target: str, nodes: frozenset[str], bound: float) -> Share:
    """Return the share of each owner of `target`, which bears `bound` sends per second.

    The number of owners is the one that uses most of the bound, with room for one more owner.
    """
    most = min(len(nodes), _MAX_OWNERS)
    parts = [(count * int(bound / (count + 1)), count) for count in range(1, most + 1)]
    total, count = max(parts, default=(0, 0))
    if not total:
        return Share(frozenset(), 0)
    ranked = rank(target, [(name, 1.0) for name in sorted(nodes)])
    return Share(frozenset(ranked[:count]), total // count)


class ColdShare:
    """This node's share of the sends to a cold target, while nodes join and leave.

    A list of nodes stays valid for some time after its replacement: a share that grew at once
    would add to the sends of former owners.
    """

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._recent = RecentNodes(hold=_HANDOVER_SECONDS)

    def sends(self, target: str, nodes: frozenset[str], bound: float, now: float) -> int:
        """Return how often the node may send to `target` within any second.

        `nodes` are the recently active ones.
        """
        lists = self._recent.valid_lists(nodes, now)
        return min(self._share(target, each, bound) for each in lists)

    def _share(self, target: str, nodes: frozenset[str], bound: float) -> int:
        share = share_of(target, nodes, bound)
        return share.sends if self._node in share.owners else 0


class ColdTargets:
    """The cold targets, and this node's own recent sends to them.  Not thread-safe."""

    def __init__(self) -> None:
        self._reported: dict[str, float] = {}
        """Until when targets are cold by their own entries."""
        self._assumed: dict[str, float] = {}
        """Until when targets are assumed to be cold, whatever their entries say."""
        self._sends: dict[str, deque[float]] = {}

    def report(self, target: str, seconds: float, now: float) -> None:
        """Record that `target` states to be cold for `seconds` more; 0 for one that is not."""
        if seconds > 0:
            self._reported[target] = now + seconds
        else:
            self._reported.pop(target, None)

    def assume(self, target: str, seconds: float, now: float) -> None:
        """Assume for `seconds` that a target is cold, before its entry can say so."""
        self._assumed[target] = now + seconds

    def is_cold(self, target: str, now: float) -> bool:
        """Return whether a target is reported or assumed to be cold."""
        if not self._reported and not self._assumed:
            return False
        return now < max(self._reported.get(target, now), self._assumed.get(target, now))

    def may_send(self, target: str, sends: int, now: float) -> bool:
        """Return whether this node may send now, with at most `sends` within any second."""
        recent = self._recent(target, now)
        return len(recent) < sends

    def sent(self, target: str, now: float) -> None:
        """Record a send to a target."""
        self._recent(target, now).append(now)

    def expire(self, listed: Collection[str], now: float) -> int:
        """Remove targets that are not `listed` or no longer cold; return how many are cold."""
        for known in (self._reported, self._assumed):
            for name in [n for n, until in known.items() if n not in listed or until <= now]:
                del known[name]
        for name in [n for n in self._sends if n not in self._reported and n not in self._assumed]:
            if not self._recent(name, now):
                del self._sends[name]
        return len(self._reported.keys() | self._assumed.keys())

    def _recent(self, target: str, now: float) -> deque[float]:
        recent = self._sends.setdefault(target, deque())
        while recent and now - recent[0] >= _WINDOW_SECONDS:
            recent.popleft()
        return recent
