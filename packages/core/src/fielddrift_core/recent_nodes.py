"""Track which lists of nodes are still valid while nodes join and leave."""

from __future__ import annotations

from collections import deque

__all__ = ["RecentNodes"]


class RecentNodes:
    """The current list of nodes, and former lists for `hold` seconds after their replacement.

    Shares that are derived from a list of nodes must fit every list that some node may still
    use.
    """

    def __init__(self, *, hold: float) -> None:
        self._hold = hold
        self._nodes: frozenset[str] | None = None
        self._former: deque[tuple[float, frozenset[str]]] = deque()
        """Former lists, each with the time until which it is valid."""

    def valid_lists(self, nodes: frozenset[str], now: float) -> set[frozenset[str]]:
        """Set the current list to `nodes`, and return all lists that are valid."""
        if self._nodes is not None and nodes != self._nodes:
            self._former.append((now + self._hold, self._nodes))
        self._nodes = nodes
        while self._former and self._former[0][0] <= now:
            self._former.popleft()
        return {nodes, *(former for _, former in self._former)}
