"""Count what a serving node does, and serve the figures as text."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ..web.messages import Headers
from ..web.server import Request, Responder

__all__ = ["Metrics", "MetricsDoor"]

_BUCKETS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0)
"""Seconds; fine around the users' aims of 0.15 to 0.54 s."""
_TEXT = Headers([(b"Content-Type", b"text/plain; version=0.0.4")])
_JSON = Headers([(b"Content-Type", b"application/json")])


class Metrics:
    """All counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = self._counter("answers", "answers of targets passed on", "status")
        self.refusals = self._counter("refusals", "answers of the node's own", "reason")
        self.left = self._counter("left", "requests whose caller left")
        self.cut = self._counter("cut", "answers broken off")
        self.sends = self._counter("sends", "requests sent to targets")
        self.retries = self._counter("retries", "sends that failed, by reason", "reason")
        self.tokens = self._counter("prompt_tokens", "tokens of shared parts", "way")
        self.orders = self._counter("orders", "orders of weights", "outcome")
        self.freed = self._counter("freed_parts", "kept parts that were freed")
        self.first_event = self._histogram("first_event", "seconds to a stream's first event")
        self.whole = self._histogram("whole", "seconds to an answer's end")
        self.estimate_error = self._histogram(
            "estimate_error", "seconds that a first event came later than estimated"
        )
        self.catalog = self._gauge("catalog_version", "version of the catalog in force")
        self.targets = self._gauge("targets", "targets that are known")
        self.nodes = self._gauge("nodes", "live nodes, this one included")
        self.platform_calls = self._gauge("platform_calls", "calls to the platform since the start")
        self.targets_age = self._gauge("targets_age_seconds", "age of the targets' own reading")

    def text(self) -> bytes:
        """Return all figures in the text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, label: str = "") -> Counter:
        labels = (label,) if label else ()
        return Counter(f"fielddrift_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"fielddrift_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"fielddrift_{name}_seconds", text, buckets=_BUCKETS, registry=self.registry
        )


class MetricsDoor:
    """Answer whoever asks for the figures, or for what the node believes."""

    def __init__(self, *, metrics: Metrics, beliefs: Callable[[], bytes]) -> None:
        self._pages: dict[bytes, tuple[Headers, Callable[[], bytes]]] = {
            b"/metrics": (_TEXT, metrics.text),
            b"/beliefs": (_JSON, beliefs),
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one question."""
        page = self._pages.get(request.head.target.partition(b"?")[0])
        if page is None:
            responder.send(404, Headers(), b"expected /metrics or /beliefs")
            return
        headers, text = page
        responder.send(200, headers, text())
