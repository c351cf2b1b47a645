"""Share out what a cold target may be sent among the nodes that send, without asking them.

Load pattern: targets come back empty and slow while callers are many, and every node finds
them idle at the same moment.  A cold target bears a bounded number of requests a second,
from all nodes together, and falls over far above it.

A few nodes of its data centre own a target while it is cold, chosen by rendezvous among
those that were active of late, heard or not: so nodes that cannot hear each other choose
the same owners, and one that hears nobody takes no more than its part.  Each owner counts
its own sends within any second.  The parts leave room for one owner more, whom the others
do not know of yet.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from functools import lru_cache
from typing import NamedTuple

from .names import rank
from .recent_nodes import RecentNodes

__all__ = ["ColdSends", "OwnShare", "Share", "share_of"]

_WINDOW_SECONDS = 1.05
"""A second, and by how much less two sends may be apart on their way than here."""
_MOST_OWNERS = 9
"""Owners of a target at most: each needs work of its own to use its part."""
_HANDOVER_SECONDS = 1.5
"""How long a former list of nodes still binds: some still send by it until they have heard
what changed, and what they sent counts for a second more."""
_REMEMBERED_SHARES = 512
"""Shares that are remembered: some targets' that are cold at once, by sets of nodes."""


class Share(NamedTuple):
    """Who may send to a cold target, and how often each within any second."""

    owners: frozenset[str]
    sends: int


@lru_cache(maxsize=_REMEMBERED_SHARES)
def share_of(target: str, nodes: frozenset[str], bound: float) -> Share:
    """Return who of `nodes` may send to `target`, of which at most `bound` sends a second.

    As many owners as make the most use of it, with room left for one owner more.
    """
    most = min(len(nodes), _MOST_OWNERS)
    parts = [(count * int(bound / (count + 1)), count) for count in range(1, most + 1)]
    total, count = max(parts, default=(0, 0))
    if not total:
        return Share(frozenset(), 0)
    ranked = rank(target, [(name, 1.0) for name in sorted(nodes)])
    return Share(frozenset(ranked[:count]), total // count)


class OwnShare:
    """How much of what a cold target bears this node may send, while the list of nodes changes.

    A list binds for some time after the next one: a part that grew at once would add to what
    former owners still send.
    """

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._recent = RecentNodes(hold=_HANDOVER_SECONDS)

    def sends(self, target: str, nodes: frozenset[str], bound: float, now: float) -> int:
        """Return how often the node may send to `target` within any second.

        `nodes` are those that were active of late.
        """
        lists = self._recent.valid_lists(nodes, now)
        return min(self._share(target, each, bound) for each in lists)

    def _share(self, target: str, nodes: frozenset[str], bound: float) -> int:
        share = share_of(target, nodes, bound)
        return share.sends if self._node in share.owners else 0


class ColdSends:
    """Which targets are cold, and this node's own sends to them.  Not safe for threads."""

    def __init__(self) -> None:
        self._told: dict[str, float] = {}
        """Until when targets are cold by what they wrote themselves."""
        self._presumed: dict[str, float] = {}
        """Until when targets are taken for cold whatever they wrote before."""
        self._sends: dict[str, deque[float]] = {}

    def told(self, target: str, seconds: float, now: float) -> None:
        """Take that `target` says to stay cold for `seconds` more; 0 for one that is not."""
        if seconds > 0:
            self._told[target] = now + seconds
        else:
            self._told.pop(target, None)

    def presume(self, target: str, seconds: float, now: float) -> None:
        """Take a target for cold for `seconds`: it may be, before it has told."""
        self._presumed[target] = now + seconds

    def is_cold(self, target: str, now: float) -> bool:
        """Return whether a target is cold, as far as is known."""
        if not self._told and not self._presumed:
            return False
        return now < max(self._told.get(target, now), self._presumed.get(target, now))

    def has_room(self, target: str, sends: int, now: float) -> bool:
        """Return whether this node may send now, with `sends` within any second."""
        recent = self._recent(target, now)
        return len(recent) < sends

    def sent(self, target: str, now: float) -> None:
        """Count a send to a target."""
        self._recent(target, now).append(now)

    def settle(self, listed: Collection[str], now: float) -> int:
        """Forget targets that are not `listed` or not cold any more; return how many are cold."""
        for known in (self._told, self._presumed):
            for name in [n for n, until in known.items() if n not in listed or until <= now]:
                del known[name]
        for name in [n for n in self._sends if n not in self._told and n not in self._presumed]:
            if not self._recent(name, now):
                del self._sends[name]
        return len(self._told.keys() | self._presumed.keys())

    def _recent(self, target: str, now: float) -> deque[float]:
        recent = self._sends.setdefault(target, deque())
        while recent and now - recent[0] >= _WINDOW_SECONDS:
            recent.popleft()
        return recent
