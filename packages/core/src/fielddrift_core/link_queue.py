"""Estimate how long a store host's link is busy, from the transfers that were ordered.

The queue of a link is not reported.  Transfers run one after the other, so each adds the
time that it needs, and the total decreases as time passes.  Own transfers are known at
once, those of other nodes from their heartbeats.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = ["LinkQueue"]

_REPORT_TTL_SECONDS = 2.0
"""Age at which another node's report expires: transfers that would wait longer are not begun."""


class _ReportedTransfers(NamedTuple):
    received_at: float
    until: float

    def left(self, now: float) -> float:
        return max(0.0, self.until - now) if now - self.received_at <= _REPORT_TTL_SECONDS else 0.0


class LinkQueue:
    """Seconds until the link of each store is free.  Not thread-safe."""

    def __init__(self) -> None:
        self._free_at: dict[str, float] = {}
        self._reported: dict[str, dict[str, _ReportedTransfers]] = {}
        """Reported transfers by store, then by node; nodes without any have no entry."""
        self._stores: dict[str, Collection[str]] = {}
        """The stores in the last report of each node, unless that was empty."""

    def add(self, store: str, seconds: float, now: float) -> None:
        """Add a transfer of this node that takes the link for `seconds`."""
        self._free_at[store] = max(now, self._free_at.get(store, now)) + seconds

    def own(self, now: float) -> dict[str, float]:
        """Return the remaining seconds of this node's transfers, by store."""
        return {s: at - now for s, at in self._free_at.items() if at > now}

    def total(self, nodes: Collection[str], now: float) -> dict[str, float]:
        """Return the remaining seconds of the transfers of this node and of `nodes`, by store."""
        totals = self.own(now)
        for store, transfers in self._reported.items():
            left = sum(transfer.left(now) for node, transfer in transfers.items() if node in nodes)
            if left > 0:
                totals[store] = totals.get(store, 0.0) + left
        return totals

    def update_node(self, node: str, waits: Mapping[str, float], now: float) -> None:
        """Replace the report of `node`: `waits` is the seconds of its transfers, by store."""
        for store in self._stores.pop(node, ()):
            if store not in waits:
                self._reported[store].pop(node, None)
        if not waits:
            return
        self._stores[node] = waits.keys()
        for store, seconds in waits.items():
            self._reported.setdefault(store, {})[node] = _ReportedTransfers(now, now + seconds)

    def wait(self, store: str, now: float) -> float:
        """Return the seconds until the link of `store` is free."""
        left = max(0.0, self._free_at.get(store, now) - now)
        reported = self._reported.get(store, {})
        for node in [node for node, transfers in reported.items() if transfers.left(now) <= 0]:
            del reported[node]
        return left + sum(transfers.left(now) for transfers in reported.values())
