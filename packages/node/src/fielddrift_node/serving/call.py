"""Hold the state of a request in progress, and what the request handlers share."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import NamedTuple, Protocol, TypedDict

from fielddrift_core.catalog import AnswerFormat, Catalog, CatalogCustomer, Route, Service
from fielddrift_core.errors import Refusal
from fielddrift_core.fingerprint import fingerprint
from fielddrift_core.prompt_queue import late_rank
from fielddrift_core.retries import WindowBudget
from fielddrift_core.service_ranks import ServiceRanks
from fielddrift_core.stream import EventFramer
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

from .metrics import Metrics
from .notices import NoticeHandler
from .ports import CallerDialect, ParsedRequest, TargetDialect
from .settings import NodeSettings
from .target_paths import TargetPaths
from .views import Views

__all__ = [
    "Call",
    "Refused",
    "RelayProgress",
    "Send",
    "ServingContext",
    "TargetState",
    "Trace",
    "short_id",
]

_MAX_ID_CHARACTERS = 40
"""Maximum length of an event id in a log line: a target may send ids of any length."""

_request_keys = itertools.count(1)
"""Source of request keys, unique within this process; see `Trace.key`."""


def short_id(event_id: str) -> str:
    """Return an event id as shown in log lines, truncated to 40 characters."""
    return event_id[:_MAX_ID_CHARACTERS]


class Refused(Exception):
    """Raised when the node itself refuses a request; `refusal` is the response to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class RelayProgress(TypedDict, total=False):
    """Log fields of the relayed part of an event stream, summed over its runs."""

    events: int
    """Relayed events."""
    odd: int
    """Relayed events that do not consist of one numbered id and one line of data."""
    last: str
    """The id of the last relayed event, truncated to 40 characters; empty for none."""
    partial_bytes: int
    """Received bytes of an incomplete event."""
    runs: int
    """Runs that produced output."""


class TargetState(StrEnum):
    """Whether a target lives on after a response that ended with its connection.

    Only `LIVES` shows that the response is complete.
    """

    LIVES = "lives"
    ENDED = "ended"
    """The target has ended, or the node that carried the connection has."""
    UNKNOWN = "unknown"


class Send:
    """One send of a request to a target.  Times are loop times."""

    def __init__(self, *, instance: Instance, at: float) -> None:
        self.instance = instance
        self.at = at
        """When the target was chosen."""
        self.written_at: float | None = None
        """When the request was written to a connection, None as long as there is none."""
        self.is_budgeted = False
        """Whether it was taken from the budget for repeated sends."""
        self.connection = ""
        """`kept` or `new`: a reused or a new connection; empty for none."""
        self.through = ""
        """Address of the node that carries the connection, empty for none."""
        self.carrier_process = ""
        """The id of the process of that node, empty if it is not known."""
        self.is_process_unknown = False
        """Whether another process than the target's entry tells of may run a stream."""
        self.framed = False
        """Whether the response had an explicit end, not only the end of its connection."""
        self.is_confirmed = False
        """Whether the target is known to live on after a response without one."""
        self.generated = False
        """Whether the response was generated for the whole prompt, not only its empty rest."""
        self.framer: EventFramer | None = None
        """Splits the response into events; None for a plain request."""
        self.parts: list[str] = []
        """Each shared part of the prompt, and whether it is fetched, saved or computed."""
        self.weights: int | None = None
        self.outdated_seconds = 0.0
        """Seconds for which these weights had been outdated."""
        self.outdated_by: int | None = None
        """The first newer version, None if there was none."""
        self.estimate = 0.0
        self.ahead = Burden()
        """The known load of the engine when it was chosen."""

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.instance.name

    @property
    def broke_mid_event(self) -> bool:
        """Return whether the response so far ends with an incomplete event."""
        return self.framer is not None and self.framer.partial


class Trace:
    """Records what happened to a request, mostly for its log lines."""

    def __init__(self) -> None:
        self.key = str(next(_request_keys))
        """Identifies the request at this node: two callers may choose the same request id."""
        self.status = 0
        self.sends: list[Send] = []
        self.reasons: list[str] = []
        self.unproved = 0
        """Sends that may have run: the target has not proved that they did not."""
        self.held = 0.0
        """Seconds for which the prompt waited at this node for an engine with room."""
        self.first_event: float | None = None
        self.relayed: list[Send] = []
        """Sends whose events were relayed, in order."""
        self.delivered: Send | None = None
        """The send whose response is passed on, None before there is one."""
        self.software = ""
        """The software version that began the stream; empty while any target may run it."""

    @property
    def targets(self) -> list[str]:
        """Return the names of the targets that the request was sent to."""
        return [send.target for send in self.sends]

    @property
    def runs(self) -> int:
        """Return how many runs produced output for the caller."""
        return len(self.relayed)

    def begin_relay(self, send: Send) -> None:
        """Record that the events of `send` are passed on from now on."""
        self.delivered = send
        self.relayed.append(send)

    def relay_progress(self, send: Send | None = None) -> RelayProgress:
        """Return what has been relayed so far; empty for a plain request.

        The last id and the incomplete event are those of `send`, by default of the last one.
        """
        if send is None:
            send = self.delivered or (self.sends[-1] if self.sends else None)
        if send is None or send.framer is None:
            return {}
        framers = [each.framer for each in self.relayed if each.framer is not None]
        return {
            "events": sum(framer.events for framer in framers),
            "odd": sum(framer.odd for framer in framers),
            "last": short_id(send.framer.last),
            "partial_bytes": send.framer.partial_bytes,
            "runs": self.runs,
        }


class Call(NamedTuple):
    """An accepted request with its catalog, route, service, customer and deadline.

    `arrived_at` and `deadline` are loop times.
    """

    parsed: ParsedRequest
    catalog: Catalog
    route: Route
    service: Service
    customer: CatalogCustomer | None
    arrived_at: float
    deadline: float
    trace: Trace
    waited_seconds: float = 0.0
    """Estimated seconds for which the caller had waited before it sent this request."""
    returned: bool = False
    """Whether the caller surely sent the request before."""
    ranks: ServiceRanks = ServiceRanks()
    """The ranks of the requests for the service."""

    @property
    def is_resumable_stream(self) -> bool:
        """Return whether the response is a stream that may be resumed at another target."""
        return self.route.resumable and self.route.answer_format is AnswerFormat.EVENTS

    @property
    def late(self) -> bool:
        """Return whether a response can no longer be in time."""
        return self.waited_seconds >= self.route.latency_goal

    @property
    def yields(self) -> bool:
        """Return whether the request comes after all that can still be answered in time."""
        return self.returned and self.late

    @property
    def priority(self) -> int:
        """Return the priority, 0 for the most urgent: the customer's if set, else the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def rank(self) -> int:
        """Return the rank among the requests for the service, the lowest for the most urgent."""
        return self.ranks.rank(self.priority, self.route.latency_goal)

    @property
    def queue_rank(self) -> int:
        """Return the rank among the prompts that wait for the service."""
        return late_rank(self.rank) if self.yields else self.rank

    @property
    def customer_name(self) -> str:
        """Return the customer's name, empty for none."""
        return "" if self.customer is None else self.customer.name

    @property
    def fingerprint(self) -> str:
        """Return a hash of caller, HTTP host name, method, path and body, the same for each retry.

        A prompt without a body is identified by its model and parts.
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
    """Detects requests that crash their targets, and holds them back."""

    def check(self, call: Call) -> None:
        """Raise `Refused` for a request that is held back."""

    def record_send(self, call: Call) -> None:
        """Record that a request is about to be sent; raise `Refused` if it is held back."""

    def failed(self, call: Call, instance: Instance, reason: str, sent_at: float) -> None:
        """Record a send that failed after it had left this node."""

    def refused(self, instance: Instance) -> None:
        """Record that a target refused a connection."""

    async def confirm_end(self, send: Send) -> TargetState:
        """Return the state of a target after a response that ended with its connection."""

    def confirm_later(self, call: Call, send: Send) -> None:
        """Record a complete response that ended with its connection, if its target lives on."""

    def answered(self, call: Call, send: Send) -> None:
        """Record that a target sent a complete response."""


class StreamCheck(Protocol):
    """Decides where streams may be resumed: only at the software version that began them."""

    async def resolve(self, call: Call) -> Call:
        """Return `call` with the service of the stream that its caller resumes, if it does.

        Raise `Refused` if the stream cannot be resumed.
        """

    def allows(self, call: Call, instance: Instance) -> bool:
        """Return whether `instance` may run the request."""

    def is_restricted(self, call: Call) -> bool:
        """Return whether some targets of the service may not run the request."""

    def begun(self, call: Call, send: Send) -> None:
        """Record that a send's target generates a stream, before its events are relayed."""


class SendCheck(Protocol):
    """Limits what is sent to targets that are cold, limited, paused, brittle or unresponsive."""

    def allows(
        self,
        service: Service,
        instance: Instance,
        now: float,
        *,
        repeatable: bool = False,
        tried: Collection[str] = (),
    ) -> bool:
        """Return whether this node may send to `instance` now.

        `repeatable` says whether the request may be sent again after it may have run; `tried` are
        the targets that it was sent to before.
        """

    def has_room(
        self, service: Service, instance: Instance, now: float, *, tokens: int = 0
    ) -> bool:
        """Return whether this node may use more of the room of `instance`.

        `tokens` is the memory that a prompt needs, 0 for a plain request.
        """

    def sent(self, instance: Instance, now: float) -> None:
        """Record that a request is about to be sent."""

    def shortest_wait(self, instances: Iterable[Instance], now: float) -> float | None:
        """Return the seconds until one of `instances` may be sent to, None if that is unknown."""


class RejectionCheck(Protocol):
    """Finds out which weights engines have that reject requests for others."""

    def rejected(self, instance: Instance, model: str, version: int | None) -> None:
        """Record that an engine rejected a request for `version` of a model."""


class ServingContext(NamedTuple):
    """What the request handlers of a node share."""

    settings: NodeSettings
    views: Views
    paths: TargetPaths
    callers: CallerDialect
    targets: TargetDialect
    budgets: dict[str, WindowBudget]
    rng: random.Random
    metrics: Metrics
    on_load_change: Callable[[], None]
    """Schedules an update of this node's load to the nearby nodes."""
    crashes: CrashCheck
    """Detects and refuses requests that crash their targets."""
    gate: SendCheck
    """Limits what is sent to cold, limited, paused, brittle and unresponsive targets."""
    streams: StreamCheck
    """Decides where streams may be resumed."""
    notices: NoticeHandler
    """Handles what targets report about themselves."""
    weights_check: RejectionCheck
    """Finds out which weights engines have that reject requests for others."""

    def budget(self, service: str) -> WindowBudget:
        """Return the retry budget of `service`; create it if needed."""
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = WindowBudget(
                ratio=bounds.retry_ratio, slack=bounds.retry_slack, window=bounds.retry_window
            )
        return self.budgets[service]
