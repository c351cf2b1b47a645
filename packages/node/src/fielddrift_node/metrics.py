"""Counters, gauges and timers, sent to statsd and shown to operators on request.

`METRICS` lists every name that the node may send; a test compares it with the code and the docs.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Mapping

import statsd
from fielddrift_core.errors import ErrorKind, Refusal

__all__ = ["FLUSH_SECONDS", "METRICS", "RETRY_REASONS", "Metrics"]

FLUSH_SECONDS = 10.0
_TIMER_SAMPLE_RATE = 0.1

RETRY_REASONS = ("connect", "not-started", "cut-before-head", "wrong-head", "resume")

METRICS: Mapping[str, str] = {
    "requests.completions": "completions taken in",
    "requests.services": "service calls taken in",
    "answers.whole": "answers given whole",
    "requests.open": "gauge: requests in progress now",
    "streams.reordered": "streams whose events had to be put right",
    "crashes": "runs that broke off because their target ended, once a request and target",
    "crashes.held_back": "gauge: requests that are held back because their targets ended",
    "streams.cut_events": "runs that broke off inside an event",
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
    "sightings.skipped": "sightings not sent, for their bytes a second were used up",
    "sightings.dropped": "sightings that were not one of ours",
    "duties.held": "gauge: leases held",
    "duties.orders": "orders sent to targets",
    "duties.fenced": "orders refused for an old fence",
    "holding.freed": "prefixes freed",
    "holding.moved": "prefixes moved between memory and disk",
    "holding.swept": "parts without a manifest removed",
    **{f"refused.{kind.value}": f"refusals of the kind {kind.value}" for kind in ErrorKind},
    **{f"retried.{reason}": f"requests tried again: {reason}" for reason in RETRY_REASONS},
}


class Metrics:
    """Totals of counters and gauges, which `flush` sends to statsd.  Thread-safe.

    Counters are sent as sums, because one packet per event would make up most of a node's
    traffic.  Timers are sent for one event in ten.  No data is sent if `address` is empty.
    """

    def __init__(self, *, address: str) -> None:
        self._client = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix="fielddrift")
        self._counters: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def totals(self) -> dict[str, float]:
        """Return the counters since the start and the current gauges, by name."""
        with self._lock:
            return {**self._counters, **self._gauges}

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self._check(name)
        with self._lock:
            self._counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._check(name)
        with self._lock:
            self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Send a duration in seconds to the timer `name`, which is in milliseconds."""
        self._check(name)
        if self._client:
            self._client.timing(name, seconds * 1000, rate=_TIMER_SAMPLE_RATE)

    def refused(self, refusal: Refusal) -> None:
        """Increment the counter of a refusal's kind."""
        self.add(refusal.counter)

    def flush(self) -> None:
        """Send the increases of counters since the last flush, and all gauges."""
        if self._client is None:
            return
        with self._lock:
            increases = self._counters - self._sent
            self._sent = Counter(self._counters)
            gauges = dict(self._gauges)
        with self._client.pipeline() as pipe:
            for name, amount in increases.items():
                pipe.incr(name, amount)
            for name, value in gauges.items():
                pipe.gauge(name, value)

    def close(self) -> None:
        """Flush, and close the connection to statsd."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def _check(self, name: str) -> None:
        if name not in METRICS:
            raise ValueError(f"unknown metric {name!r}, expected one of METRICS")
