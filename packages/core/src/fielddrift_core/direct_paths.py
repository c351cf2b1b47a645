"""Track which targets this node can connect to directly.

A failed connection has two explanations: the target is gone, or the path from this node to it is
interrupted while other nodes still use theirs.  The first concerns all nodes, the second this one
alone.

Time is an argument everywhere, in seconds on a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection

__all__ = ["DirectPaths"]

_MIN_UNCONNECTED_COUNT = 2
"""Targets that must fail before the node counts as disconnected: one may have ended by itself."""


class DirectPaths:
    """The outcomes of this node's direct connections to targets.  Not thread-safe."""

    def __init__(self) -> None:
        self._connected_at: dict[str, float] = {}
        self._failed_since: dict[str, float] = {}
        """By target, when the first of the failures began that no connection has ended."""

    @property
    def unconnected(self) -> int:
        """Return the number of targets whose last direct connection failed."""
        return len(self._failed_since)

    def disconnected_since(self) -> float | None:
        """Return since when no direct connection to any target came up, None if one has.

        At least two targets must have failed since then.
        """
        latest = max(self._connected_at.values(), default=-math.inf)
        failed = [since for since in self._failed_since.values() if since > latest]
        return min(failed) if len(failed) >= _MIN_UNCONNECTED_COUNT else None

    def connected(self, target: str, now: float) -> None:
        """Record that a direct connection to `target` came up."""
        self._connected_at[target] = now
        self._failed_since.pop(target, None)

    def failed(self, target: str, now: float) -> None:
        """Record that a direct connection to `target` failed."""
        self._failed_since.setdefault(target, now)

    def expire(self, listed: Collection[str]) -> None:
        """Remove what is known of targets that are not `listed`."""
        for known in (self._connected_at, self._failed_since):
            for target in [name for name in known if name not in listed]:
                del known[target]
