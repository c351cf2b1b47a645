"""Keep a serving node's metrics, and serve them in the Prometheus text format.

The values are plain numbers.  The Prometheus client library is imported only when the metrics
are first requested: its import took a quarter of a node's start time, and after a power loss
callers wait for the nodes to start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from ..web.messages import Headers
from ..web.server import Request, Responder

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["Counter", "Gauge", "Histogram", "Metrics", "MetricsHandler"]

_BUCKET_BOUNDS_SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0)
"""Upper bounds of histogram buckets; fine around the usual latency goals, 0.15 to 0.54 s."""
_TEXT_HEADERS = Headers([(b"Content-Type", b"text/plain; version=0.0.4")])
_LIFT_PATH = b"/lift/"
_JSON_HEADERS = Headers([(b"Content-Type", b"application/json")])


class Counter:
    """A monotonic counter, with one sum for each value of `label` if that is set."""

    def __init__(self, *, name: str, text: str, label: str = "") -> None:
        self._name = name
        self._help_text = text
        self._label = label
        self._sums: defaultdict[str, float] = defaultdict(float)
        if not label:
            self._sums[""] = 0.0

    def inc(self, amount: float = 1, *, label_value: str = "") -> None:
        """Add `amount` to the sum for the label value `label_value`."""
        self._sums[label_value] += amount

    def set_sums(self, sums: Mapping[str, float]) -> None:
        """Set the sums by label value, which are counted elsewhere."""
        self._sums.update(sums)

    def family(self) -> Metric:
        """Return the sums as a Prometheus metric family."""
        from prometheus_client.core import CounterMetricFamily

        labels = [self._label] if self._label else []
        family = CounterMetricFamily(self._name, self._help_text, labels=labels)
        for value, amount in sorted(self._sums.items()):
            family.add_metric([value] if labels else [], amount)
        return family


class Gauge:
    """A value that can go up and down."""

    def __init__(self, *, name: str, text: str) -> None:
        self._name = name
        self._help_text = text
        self._value = 0.0

    def set(self, value: float) -> None:
        """Set the current value."""
        self._value = value

    def family(self) -> Metric:
        """Return the value as a Prometheus metric family."""
        from prometheus_client.core import GaugeMetricFamily

        return GaugeMetricFamily(self._name, self._help_text, value=self._value)


class Histogram:
    """A histogram of durations with the buckets of `_BUCKET_BOUNDS_SECONDS`."""

    def __init__(self, *, name: str, text: str) -> None:
        self._name = name
        self._help_text = text
        self._counts = [0] * (len(_BUCKET_BOUNDS_SECONDS) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration in seconds."""
        self._counts[bisect_left(_BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self._sum += seconds

    def family(self) -> Metric:
        """Return the cumulative bucket counts as a Prometheus metric family."""
        from prometheus_client.core import HistogramMetricFamily

        buckets, total = [], 0
        for bound, count in zip(
            [*map(str, _BUCKET_BOUNDS_SECONDS), "+Inf"], self._counts, strict=True
        ):
            total += count
            buckets.append((bound, total))
        return HistogramMetricFamily(
            self._name, self._help_text, buckets=buckets, sum_value=self._sum
        )


class Metrics:
    """All counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self._metrics: list[Counter | Gauge | Histogram] = []
        self.answers = self._counter("answers", "answers of targets passed on", "status")
        self.refusals = self._counter("refusals", "answers of the node's own", "reason")
        self.accepted = self._counter("accepted_requests", "callers' requests that were read whole")
        self.ended = self._counter("ended_requests", "accepted requests that ended", "cause")
        self.open = self._gauge("open_requests", "accepted requests that the server holds")
        self.unread = self._counter(
            "unread_requests", "requests whose reading ended before they were whole", "cause"
        )
        self.left = self._counter("left", "requests whose caller left")
        self.cut = self._counter("cut", "answers broken off")
        self.sends = self._counter("sends", "requests sent to targets")
        self.outdated_sends = self._counter("outdated_sends", "prompts sent to older weights")
        self.retries = self._counter("retries", "sends that failed, by reason", "reason")
        self.confirmed_ends = self._counter(
            "confirmed_ends",
            "responses that ended with their connection, by the state of their target",
            "state",
        )
        self.process_checks = self._counter(
            "process_checks",
            "questions on new connections which process of a target they lead to, by the answer",
            "answer",
        )
        self.replaced_targets = self._counter(
            "replaced_targets", "targets at whose addresses another process was found"
        )
        self.cancelled_sends = self._counter(
            "cancelled_sends",
            "replacements that were not needed, by why they were cancelled",
            "reason",
        )
        self.kept_sends = self._counter(
            "kept_sends", "silent sends that were kept, by what a replacement lacked", "lacks"
        )
        self.unresponsive = self._counter(
            "unresponsive", "targets that stopped responding, by evidence", "evidence"
        )
        self.probes = self._counter("probes", "requests sent to unresponsive targets")
        self.cut_events = self._counter("cut_events", "runs that broke off inside an event")
        self.returned_streams = self._counter(
            "returned_streams",
            "streams that callers resumed, by how their origin was found",
            "origin",
        )
        self.stream_origins = self._gauge(
            "stream_origins", "origins of streams that this node keeps"
        )
        self.odd_events = self._counter(
            "odd_events",
            "events handed on with not just one numbered id and one line of data",
        )
        self.unordered_events = self._counter(
            "unordered_events",
            "events that were left out as repeats, or handed on without an id that increases, "
            "by reason",
            "reason",
        )
        self.crashes = self._counter(
            "crashes", "runs that broke off because their target ended, once a request and target"
        )
        self.held_back = self._gauge(
            "held_back_requests", "requests that are held back because their targets ended"
        )
        self.reserved = self._gauge(
            "reserved_memory", "largest part of engines' memory kept for prompts of higher rank"
        )
        self.tokens = self._counter("prompt_tokens", "tokens of shared parts", "way")
        self.orders = self._counter("orders", "orders of weights", "outcome")
        self.weights_checks = self._counter(
            "weights_checks", "reports of engines that rejected requests for their weights"
        )
        self.freed = self._counter("freed_parts", "kept parts that were freed")
        self.first_event = self._histogram("first_event", "seconds to a stream's first event")
        self.whole = self._histogram("whole", "seconds to an answer's end")
        self.held = self._histogram(
            "held", "seconds that a prompt waited at the node for room at an engine"
        )
        self.estimate = self._histogram(
            "estimate", "seconds from the last send to a first event, as they were estimated"
        )
        self.estimate_error = self._histogram(
            "estimate_error", "seconds that a first event came later than estimated"
        )
        self.loop_delay = self._histogram(
            "loop_delay", "seconds by which the event loop ran a periodic check late"
        )
        self.catalog = self._gauge("catalog_version", "version of the catalog in force")
        self.targets = self._gauge("targets", "targets that are known")
        self.cold_targets = self._gauge("cold_targets", "targets that are taken for cold")
        self.limited_targets = self._gauge(
            "limited_targets", "targets that name a limit for all nodes together"
        )
        self.brittle_services = self._gauge(
            "brittle_services", "services whose targets fail if they reject many requests"
        )
        self.paused_targets = self._gauge(
            "paused_targets", "targets and store hosts that want nothing from this node for a time"
        )
        self.unresponsive_targets = self._gauge(
            "unresponsive_targets", "targets that do not respond"
        )
        self.unconnected_targets = self._gauge(
            "unconnected_targets", "targets whose last direct connection from this node failed"
        )
        self.interrupted_targets = self._gauge(
            "interrupted_targets", "targets that this node reaches only through other nodes"
        )
        self.tunnels = self._counter(
            "tunnels", "connections to targets through other nodes, by outcome", "outcome"
        )
        self.carried_tunnels = self._gauge(
            "carried_tunnels", "connections to targets that this node carries for others"
        )
        self.plain_waiting = self._gauge(
            "plain_waiting", "plain requests that wait at the node for room at a target"
        )
        self.plain_limit = self._gauge(
            "plain_limit", "requests that plain targets may have, as learned, summed over targets"
        )
        self.evacuated = self._gauge(
            "evacuated_data_centres", "data centres whose targets get nothing"
        )
        self.nodes = self._gauge("nodes", "live nodes, this one included")
        self.held_bytes = self._gauge(
            "caller_held_bytes", "bytes of requests and responses held for callers"
        )
        self.memory_given_up = self._counter(
            "memory_given_up", "targets' responses given up because memory was short"
        )
        self.memory_closed = self._counter(
            "memory_closed", "callers' connections closed because memory was short"
        )
        self.bodies_refused = self._counter(
            "bodies_refused", "requests refused before their body was read, for memory"
        )
        self.platform_calls = self._gauge("platform_calls", "calls to the platform since the start")
        self.store_returns = self._counter(
            "store_returns", "returns of the platform's store from an older copy"
        )
        self.store_era = self._gauge("store_era", "era of the platform's store, 0 for none told")
        self.unreadable_rows = self._gauge(
            "unreadable_rows", "versions of the platform's rows that were not understood"
        )
        self.left_out_values = self._counter(
            "left_out_values", "values from outside that were out of range and left out", "place"
        )
        self.operators_age = self._gauge(
            "operators_age_seconds", "age of the operators' own reading"
        )
        self.targets_age = self._gauge("targets_age_seconds", "age of the targets' own reading")

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families; called by the Prometheus registry."""
        for metric in self._metrics:
            yield metric.family()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def _counter(self, name: str, text: str, label: str = "") -> Counter:
        counter = Counter(name=f"fielddrift_{name}", text=text, label=label)
        self._metrics.append(counter)
        return counter

    def _gauge(self, name: str, text: str) -> Gauge:
        gauge = Gauge(name=f"fielddrift_{name}", text=text)
        self._metrics.append(gauge)
        return gauge

    def _histogram(self, name: str, text: str) -> Histogram:
        histogram = Histogram(name=f"fielddrift_{name}_seconds", text=text)
        self._metrics.append(histogram)
        return histogram


class MetricsHandler:
    """Serves the metrics at `/metrics` and the node's view of the cluster at `/beliefs`.

    An operator releases a request that is held back with `POST /lift/FINGERPRINT`; `lift`
    returns whether any crashes were recorded for it.
    """

    def __init__(
        self, *, metrics: Metrics, beliefs: Callable[[], bytes], lift: Callable[[str], bool]
    ) -> None:
        self._lift = lift
        self._endpoints: dict[bytes, tuple[Headers, Callable[[], bytes]]] = {
            b"/metrics": (_TEXT_HEADERS, metrics.text),
            b"/beliefs": (_JSON_HEADERS, beliefs),
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to one request."""
        path = request.head.target.partition(b"?")[0]
        if path.startswith(_LIFT_PATH):
            self._answer_lift(request, path[len(_LIFT_PATH) :], responder)
            return
        endpoint = self._endpoints.get(path)
        if endpoint is None:
            responder.send(404, Headers(), b"expected /metrics, /beliefs or /lift/FINGERPRINT")
            return
        headers, text = endpoint
        responder.send(200, headers, text())

    def _answer_lift(self, request: Request, fingerprint: bytes, responder: Responder) -> None:
        if request.head.method != b"POST":
            responder.send(405, Headers([(b"Allow", b"POST")]), b"expected POST")
            return
        if not self._lift(fingerprint.decode("latin-1")):
            responder.send(404, Headers(), b"no target ended under such a request")
            return
        responder.send(200, _JSON_HEADERS, b"{}")
