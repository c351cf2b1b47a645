"""Know which lists of nodes still bind while nodes come and go."""

from __future__ import annotations

from collections import deque

__all__ = ["RecentNodes"]


class RecentNodes:
    """The newest list of nodes, and former ones for `hold` seconds after they were replaced.

    What is shared out among nodes must fit every list that some of them still go by.
    """

    def __init__(self, *, hold: float) -> None:
        self._hold = hold
        self._nodes: frozenset[str] | None = None
        self._former: deque[tuple[float, frozenset[str]]] = deque()
        """Former lists, and until when each binds."""

    def lists(self, nodes: frozenset[str], now: float) -> set[frozenset[str]]:
        """Return the lists that bind, `nodes` being the newest."""
        if self._nodes is not None and nodes != self._nodes:
            self._former.append((now + self._hold, self._nodes))
        self._nodes = nodes
        while self._former and self._former[0][0] <= now:
            self._former.popleft()
        return {nodes, *(former for _, former in self._former)}
