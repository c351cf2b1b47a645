"""Hold a request on its way: what is asked, under which catalog, what became of it."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypedDict

from fielddrift_core.catalog import Catalog, CatalogCustomer, Route, Service
from fielddrift_core.errors import Refusal
from fielddrift_core.fingerprint import fingerprint
from fielddrift_core.retries import WindowBudget
from fielddrift_core.stream import EventFramer
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

from ..web.client import Client
from .metrics import Metrics
from .notices import NoticeHandler
from .ports import CallerDialect, ParsedRequest, TargetDialect
from .settings import NodeSettings
from .views import Views

__all__ = ["Call", "RelayProgress", "Refused", "ServingContext", "Trace", "short_id"]

_MOST_ID_CHARACTERS = 40
"""What a log line has of an event's id: a target may send any, a line must stay short."""

_keys = itertools.count(1)
"""Keys of the requests of this process, see `Trace.key`."""


def short_id(event_id: str) -> str:
    """Return an event's id as log lines have it, cut at 40 characters."""
    return event_id[:_MOST_ID_CHARACTERS]


class Refused(Exception):
    """A request that ends with an answer of the node's own."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class RelayProgress(TypedDict, total=False):
    """What a log line tells of a streaming answer, from all of its runs together."""

    events: int
    """Events handed on."""
    odd: int
    """Those of them that have not just one numbered id and one line of data."""
    last: str
    """The id of the last of them, cut at 40 characters; empty for none."""
    partial_bytes: int
    """Bytes of an event that has begun and not ended."""
    runs: int
    """Runs that gave something to hand on."""


class Trace:
    """What happened to a request, for its log line."""

    def __init__(self) -> None:
        self.key = str(next(_keys))
        """Tells the request apart at this node: callers choose ids, and may choose one for two."""
        self.status = 0
        self.targets: list[str] = []
        self.reasons: list[str] = []
        self.unproved = 0
        """Sends that left, and of which no target proved that they did not run."""
        self.parts: list[str] = []
        """Each shared part of the prompt, and whether it is fetched, saved or read."""
        self.weights: int | None = None
        self.outdated_seconds = 0.0
        """For how long these weights had not been the newest at the last send."""
        self.outdated_by: int | None = None
        """The first newer version, None when there was none."""
        self.estimate = 0.0
        self.held = 0.0
        """Seconds for which the prompt waited at this node for room at an engine."""
        self.ahead = Burden()
        """What was known to be at the engine when it was chosen."""
        self.first_event: float | None = None
        self.sent_at = 0.0
        """Loop time of the last send."""
        self.framed = False
        """Whether the end of the answer was marked, not told by the end of its connection."""
        self.connection = ""
        """`kept` or `new`, as the last send's was; empty where none came up."""
        self.runs = 0
        self.framer: EventFramer | None = None
        """What cuts the answer of the last send into events, None for a plain request."""
        self.events_before = 0
        """Events that were handed on before the last send."""
        self.odd_before = 0
        """Those of them that are odd, see `EventCutter.odd`."""

    @property
    def broke_mid_event(self) -> bool:
        """Return whether bytes of an event that has not ended came of the last send."""
        return self.framer is not None and self.framer.partial

    def begin_event_stream(self, *, after: str) -> EventFramer:
        """Return what cuts the answer of the next send into events, behind the id `after`."""
        if self.framer is not None:
            self.events_before += self.framer.events
            self.odd_before += self.framer.odd
        self.framer = EventFramer(after=after)
        return self.framer

    def relay_progress(self) -> RelayProgress:
        """Return what has been handed on so far, nothing for a plain request."""
        framer = self.framer
        if framer is None:
            return {}
        return {
            "events": self.events_before + framer.events,
            "odd": self.odd_before + framer.odd,
            "last": short_id(framer.last),
            "partial_bytes": framer.partial_bytes,
            "runs": self.runs,
        }


class Call(NamedTuple):
    """A request that was judged: what it asks, under which catalog, until when."""

    parsed: ParsedRequest
    catalog: Catalog
    route: Route
    service: Service
    customer: CatalogCustomer | None
    arrived_at: float
    deadline: float
    trace: Trace
    waited_seconds: float = 0.0
    """Seconds for which the caller waited before this request, as far as that is known."""

    @property
    def late(self) -> bool:
        """Return whether an answer cannot be in time any more."""
        return self.waited_seconds >= self.route.latency_goal

    @property
    def priority(self) -> int:
        """Return how urgent the request is, 0 first: the customer's rank before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def customer_name(self) -> str:
        """Return the customer's name, empty without one."""
        return "" if self.customer is None else self.customer.name

    @property
    def fingerprint(self) -> str:
        """Return what all tries of the same request have in common: caller, place and body.

        A prompt that comes without a body is told by its parts.
        """
        head, body = self.parsed.request.head, self.parsed.request.body
        prompt = self.parsed.prompt
        if not body and prompt is not None:
            body = repr((prompt.model, prompt.parts)).encode()
        customer = self.customer_name or self.parsed.key
        return fingerprint(
            (customer.encode(), self.parsed.host.encode(), head.method, head.target, body)
        )


class CrashCheck(Protocol):
    """What requests ask, and tell, of those that end their targets."""

    def check(self, call: Call) -> None:
        """Raise `Refused` for a request that is held back."""

    def record_send(self, call: Call) -> None:
        """Take that a request is about to be sent; raise `Refused` for one that is held back."""

    def failed(self, call: Call, instance: Instance, reason: str, sent_at: float) -> None:
        """Take a send that failed once it had left."""

    def refused(self, instance: Instance) -> None:
        """Take that a connection to a target was refused."""

    def answered(self, call: Call, target: str, sent_at: float) -> None:
        """Take that a target answered a request whole."""


class SendCheck(Protocol):
    """What requests ask of targets that bear, or want, few of them."""

    def allows(self, service: Service, instance: Instance, now: float) -> bool:
        """Return whether this node may send to `instance` now."""

    def sent(self, instance: Instance, now: float) -> None:
        """Take that a request is about to be sent."""

    def shortest_wait(self, instances: Iterable[Instance], now: float) -> float | None:
        """Return the seconds until one of `instances` may be sent to, None where none is known."""


class ServingContext(NamedTuple):
    """What the ways of a request share."""

    settings: NodeSettings
    views: Views
    client: Client
    callers: CallerDialect
    targets: TargetDialect
    budgets: dict[str, WindowBudget]
    rng: random.Random
    metrics: Metrics
    on_load_change: Callable[[], None]
    """Tells the nodes nearby soon what this one sends."""
    crashes: CrashCheck
    """Refuses requests that end their targets, and learns which do."""
    gate: SendCheck
    """Keeps what targets are sent within what they bear, and want."""
    notices: NoticeHandler
    """Takes what targets say of themselves."""

    def budget(self, service: str) -> WindowBudget:
        """Return the budget of repeated sends to `service`."""
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = WindowBudget(
                ratio=bounds.retry_ratio, slack=bounds.retry_slack, window=bounds.retry_window
            )
        return self.budgets[service]
