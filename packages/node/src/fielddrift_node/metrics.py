"""Count what happens, towards statsd and for operators who ask.

`METRICS` lists every name that the node may send; a test holds it against the
code and the docs.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Mapping

import statsd
from fielddrift_core.errors import Kind, Refusal

__all__ = ["METRICS", "Metrics", "RETRY_REASONS"]

RETRY_REASONS = ("connect", "not-started", "cut-before-head", "wrong-head", "resume")

METRICS: Mapping[str, str] = {
    "requests.completions": "completions taken in",
    "requests.services": "service calls taken in",
    "answers.whole": "answers given whole",
    "requests.open": "gauge: requests in progress now",
    "streams.reordered": "streams whose events had to be put right",
    "ttft": "timer: milliseconds from a request's arrival to its first token",
    "locate": "timer: milliseconds to look up kept context",
    "blocks.memory": "prompt blocks found in a target's memory",
    "blocks.imported": "prompt blocks imported from a store host",
    "blocks.recomputed": "prompt blocks computed",
    "link.imported": "bytes imported over links",
    "link.exported": "bytes exported over links",
    "exports.done": "prefixes kept",
    "exports.failed": "exports that did not end in a manifest",
    "exports.skipped": "exports not tried: not worth it, or the link was busy",
    "claims.written": "claims written",
    "claims.commits": "transactions that carried claims",
    "claims.taken_over": "claims taken over from a claimant that never sent",
    "table.reads": "rows read from the platform's table",
    "table.writes": "rows written to the platform's table",
    "table.failures": "calls to the platform's table that failed",
    "config.revision": "gauge: revision in force here",
    "config.applied": "changes that came in force here",
    "pauses": "times this process found itself to have been paused",
    "peers.sent": "bytes of messages sent to peers",
    "peers.received": "bytes of messages received from peers",
    "peers.failed": "calls to peers that failed",
    "sightings.bytes": "bytes of sightings sent to the nodes of a model",
    "sightings.dropped": "sightings that were not one of ours",
    "duties.held": "gauge: leases held",
    "duties.orders": "orders sent to targets",
    "duties.fenced": "orders refused for an old fence",
    "holding.freed": "prefixes freed",
    "holding.moved": "prefixes moved between memory and disk",
    "holding.swept": "parts without a manifest removed",
    **{f"refused.{kind.value}": f"refusals of the kind {kind.value}" for kind in Kind},
    **{f"retried.{reason}": f"requests tried again: {reason}" for reason in RETRY_REASONS},
}


class Metrics:
    """Send counters, timers and gauges; keep the counters' totals."""

    def __init__(self, *, address: str) -> None:
        self._client = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix="fielddrift")
        self._totals: Counter[str] = Counter()
        self._lock = threading.Lock()

    @property
    def totals(self) -> dict[str, float]:
        """Return all counters and gauges since the start."""
        with self._lock:
            return dict(self._totals)

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self._check(name)
        with self._lock:
            self._totals[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._check(name)
        with self._lock:
            self._totals[name] = value  # type: ignore[assignment]
        if self._client:
            self._client.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Send a duration to the timer `name`."""
        self._check(name)
        if self._client:
            self._client.timing(name, seconds * 1000)

    def refused(self, refusal: Refusal) -> None:
        """Count a refusal under its reason."""
        self.add(refusal.counter)

    def _check(self, name: str) -> None:
        if name not in METRICS:
            raise ValueError(f"metric: {name!r}, expected one of METRICS")
