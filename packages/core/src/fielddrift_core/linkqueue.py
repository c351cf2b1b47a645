"""Estimate how long a store host's link is taken, from the moves that were ordered.

Nobody reports a link's queue.  Moves run one after the other, so each adds
the time that it needs; what was added passes with time by itself.  Own moves
are known at once, those of other nodes by their heartbeats.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = ["LinkQueue"]

_REPORT_TTL_SECONDS = 2.0
"""Age at which another node's word is forgotten: moves that wait longer aren't begun."""


class _ReportedTransfers(NamedTuple):
    received_at: float
    until: float

    def left(self, now: float) -> float:
        return max(0.0, self.until - now) if now - self.received_at <= _REPORT_TTL_SECONDS else 0.0


class LinkQueue:
    """Seconds until each link is free.  Not safe for threads."""

    def __init__(self) -> None:
        self._free_at: dict[str, float] = {}
        self._reported: dict[str, dict[str, _ReportedTransfers]] = {}
        """What nodes told of their moves, by store: a node that has none there is not looked at."""

    def add(self, store: str, seconds: float, now: float) -> None:
        """Count a move of this node that takes the link for `seconds`."""
        self._free_at[store] = max(now, self._free_at.get(store, now)) + seconds

    def own(self, now: float) -> dict[str, float]:
        """Return the seconds of this node's moves that are left, by store."""
        return {s: at - now for s, at in self._free_at.items() if at > now}

    def total(self, nodes: Collection[str], now: float) -> dict[str, float]:
        """Return the seconds of moves that are left of this node and of `nodes` in one."""
        totals = self.own(now)
        for store, moves in self._reported.items():
            left = sum(move.left(now) for node, move in moves.items() if node in nodes)
            if left > 0:
                totals[store] = totals.get(store, 0.0) + left
        return totals

    def update_node(self, node: str, waits: Mapping[str, float], now: float) -> None:
        """Take what another node says of its own moves."""
        for store, moves in self._reported.items():
            if store not in waits:
                moves.pop(node, None)
        for store, seconds in waits.items():
            self._reported.setdefault(store, {})[node] = _ReportedTransfers(now, now + seconds)

    def wait(self, store: str, now: float) -> float:
        """Return the seconds until the link of `store` is free."""
        left = max(0.0, self._free_at.get(store, now) - now)
        told = self._reported.get(store, {})
        for node in [node for node, moves in told.items() if moves.left(now) <= 0]:
            del told[node]
        return left + sum(moves.left(now) for moves in told.values())
