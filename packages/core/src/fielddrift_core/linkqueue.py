"""Estimate how long a store host's link is taken, from the moves that were ordered.

Nobody reports a link's queue.  Moves run one after the other, so each adds
the time that it needs; what was added passes with time by itself.  Own moves
are known at once, those of other nodes by their heartbeats.
"""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["LinkQueue"]

_TOLD_SECONDS = 2.0
"""Age at which another node's word is forgotten: moves that wait longer aren't begun."""


class LinkQueue:
    """Seconds until each link is free.  Not safe for threads."""

    def __init__(self) -> None:
        self._free_at: dict[str, float] = {}
        self._told: dict[str, tuple[float, Mapping[str, float]]] = {}

    def add(self, store: str, seconds: float, now: float) -> None:
        """Count a move of this node that takes the link for `seconds`."""
        self._free_at[store] = max(now, self._free_at.get(store, now)) + seconds

    def own(self, now: float) -> dict[str, float]:
        """Return the seconds of this node's moves that are left, by store."""
        return {s: at - now for s, at in self._free_at.items() if at > now}

    def told(self, node: str, waits: Mapping[str, float], now: float) -> None:
        """Take what another node says of its own moves."""
        self._told[node] = (now, waits)

    def wait(self, store: str, now: float) -> float:
        """Return the seconds until the link of `store` is free."""
        left = max(0.0, self._free_at.get(store, now) - now)
        for heard, waits in self._told.values():
            age = now - heard
            if age <= _TOLD_SECONDS:
                left += max(0.0, waits.get(store, 0.0) - age)
        return left
