"""HTTP client for model engines and plain services."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import count
from typing import Any, NamedTuple

import msgspec
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import Target
from fielddrift_core.outside_values import (
    Count,
    Number,
    ValueOutOfRange,
    decoded,
    number_of,
    whole_number_of,
)
from fielddrift_core.routing import Load

from . import clock
from .http_client import AnswerMismatchError, Call, Head, HttpClient, Reply, Stream

__all__ = [
    "LOAD_REPORT",
    "EngineHead",
    "LoadReport",
    "Order",
    "RunOrder",
    "TargetClient",
    "pause_seconds",
    "proved_not_started",
    "read_head",
    "retry_reason",
]

_JSON = {"Content-Type": "application/json"}
_POLL_TIMEOUT_SECONDS = 1.0
_ORDER_TIMEOUT_SECONDS = 15.0


class RunOrder(NamedTuple):
    """The request for a run, as an engine receives it.

    `run` is its id; the response starts with event number `resume_at`.
    """

    run: str
    customer: str
    model: str
    version: str
    salt: str
    prompt: str
    max_tokens: int
    priority: int = 0
    resume_at: int = 1
    context: Mapping[str, Any] | None = None


class EngineHead(NamedTuple):
    """The head of an engine's response, read from its headers.

    `memory`, `imported` and `recomputed` count the prompt blocks by their source; `root` is the
    engine's name of the cached prefix, by which its evictions refer to it.
    """

    version: str
    customer: str
    memory: int
    imported: int
    recomputed: int
    import_seconds: float
    root: str
    load: LoadReport


class LoadReport(msgspec.Struct):
    """A target's load report; the response to a poll also has its cache events."""

    running: Count
    queued: Count
    backlog: Count
    leaving: bool = False
    epoch: Count = 0
    versions: list[str] = []
    events: list[tuple[Number, str]] = []
    sequence: Number = 0

    def load(self) -> Load:
        """Return the load as used by routing, with the current time as the time of receipt."""
        return Load(self.running, self.queued, self.backlog, clock.now())


LOAD_REPORT = msgspec.json.Decoder(LoadReport)


class Order(NamedTuple):
    """The desired state of an engine, with the fencing token of the duty that orders it."""

    fence: int
    model: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    work: str

    def holds(self, state: Mapping[str, Any]) -> bool:
        """Return whether a target's `state`, as read back, matches the desired one."""
        return (
            set(state["versions"]) >= set(self.versions)
            and set(state["wanted"]) == set(self.versions)
            and set(state["adapters"]) == set(self.adapters)
            and (state["model"], state["work"]) == (self.model, self.work)
        )


def proved_not_started(reply: Head | Reply) -> bool:
    """Return whether a target's response proves that the request did not start.

    Only an explicit header of the target counts; a status code alone proves nothing.
    """
    return reply.status >= 400 and reply.headers.get("x-started") == "no"


def pause_seconds(reply: Head | Reply) -> float:
    """Return the seconds for which a target that did not start a request wants no more of them.

    The result is 0 if the target gives no such time.
    """
    try:
        seconds = number_of("retry-after", reply.headers.get("retry-after", "0"))
    except ValueOutOfRange:
        return 0.0
    return seconds if proved_not_started(reply) else 0.0


def retry_reason(error: ExternalSystemError) -> str:
    """Return the reason, one of `RETRY_REASONS`, of a send that failed before its answer."""
    if isinstance(error, AnswerMismatchError):
        return "wrong-head"
    return "connect" if error.not_executed else "cut-before-head"


class TargetClient:
    """Calls to targets; the methods raise `ExternalSystemError`.

    A target may answer a request twice, the second time late.  Each request therefore has an
    `X-Request-Id`, which the target's answer must repeat if it has one, and a connection of its
    own; only polls share connections, and a late poll does no harm beyond an old load report.
    """

    def __init__(self, *, http: HttpClient) -> None:
        self._http = http
        self._numbers = count(1)
        self._epochs: dict[str, str] = {}
        """The epoch that each target told in its last poll, by its name."""

    def run(self, target: Target, order: RunOrder, *, timeout: float) -> Stream:
        """Start a run; the head of the stream arrives with the first token."""
        body = msgspec.json.encode(order._asdict())
        url = f"http://{target.address}/v1/runs"
        headers = {**_JSON, "X-Request-Id": order.run}
        return self._http.stream(Call("POST", url, body, headers, timeout=timeout, fresh=True))

    def cancel(self, target: Target, run: str) -> None:
        """Ask an engine to cancel a run, without waiting for the response."""
        self._http.stream(Call("DELETE", f"http://{target.address}/v1/runs/{run}", fresh=True))

    def call(self, target: Target, call: Call) -> Reply:
        """Make a service call on a new connection, on which libcurl does not resend it.

        A response that only the end of its connection ended counts as cut if the target does
        not answer any more, or has started again.
        """
        polled = self._epochs.get(target.name, "")
        reply = self._http.request(call._replace(fresh=True))
        if not reply.delimited and not proved_not_started(reply):
            self._confirm_end(target, call, reply.headers.get("x-epoch") or polled)
        return reply

    def _confirm_end(self, target: Target, call: Call, before: str) -> None:
        """Raise `ExternalSystemError` unless the process that answered `call` still answers.

        `before` is its epoch, empty if it is not known.
        """
        cut = f"{call.url}: response without a length, and its target"
        try:
            poll = self._http.request(self._load_call(target, after=0, fresh=True))
        except ExternalSystemError as error:
            # A target that is only slow has not ended.
            broken = error.refused or error.broken
            raise ExternalSystemError(f"{cut} does not answer: {error}", broken=broken) from None
        now = _reported_epoch(poll)
        if before and now and before != now:
            raise ExternalSystemError(
                f"{cut} has started again: epoch {now}, expected {before}", broken=True
            )

    def load(self, target: Target, *, after: int) -> LoadReport:
        """Poll a target's load and its cache events with numbers above `after`."""
        report: LoadReport = self._json(
            self._load_call(target, after=after, fresh=False), LoadReport
        )
        self._epochs[target.name] = str(report.epoch) if report.epoch else ""
        return report

    def _load_call(self, target: Target, *, after: int, fresh: bool) -> Call:
        url = f"http://{target.address}/load?after={after}"
        return self._numbered(Call("GET", url, timeout=_POLL_TIMEOUT_SECONDS), fresh=fresh)

    def order(self, target: Target, order: Order) -> bool:
        """Send a target its desired state; return False if the fencing token is outdated."""
        body = msgspec.json.encode(order._asdict())
        call = Call(
            "POST", f"http://{target.address}/orders", body, _JSON, timeout=_ORDER_TIMEOUT_SECONDS
        )
        reply = self._http.request(self._numbered(call))
        if reply.status == 409:
            return False
        _check(reply, call)
        return True

    def state(self, target: Target) -> dict[str, Any]:
        """Read back the state that a target was ordered to have, and its actual state."""
        call = Call("GET", f"http://{target.address}/orders")
        return self._json(self._numbered(call), dict[str, Any])

    def export(self, target: Target, order: Mapping[str, Any], *, timeout: float) -> list[Any]:
        """Have an engine export a run's blocks to a store host; return the parts written."""
        body = msgspec.json.encode(order)
        url = f"http://{target.address}/kv/export"
        call = self._numbered(Call("POST", url, body, _JSON, timeout=timeout))
        reply = self._json(call, dict[str, list[Any]])
        parts: list[Any] = reply["parts"]
        return parts

    def _numbered(self, call: Call, *, fresh: bool = True) -> Call:
        headers = {**call.headers, "X-Request-Id": f"node.{next(self._numbers)}"}
        return call._replace(headers=headers, fresh=fresh)

    def _json(self, call: Call, kind: Any) -> Any:
        reply = self._http.request(call)
        _check(reply, call)
        try:
            return decoded(msgspec.json.Decoder(kind), reply.body)
        except msgspec.DecodeError as error:
            raise ExternalSystemError(f"{call.url}: {error}") from None


def read_head(head: Head) -> EngineHead:
    """Parse the head of an engine's response; raise `ExternalSystemError` if it is invalid."""
    try:
        fields = dict(pair.split("=") for pair in head.headers["x-context"].split())
        load = decoded(LOAD_REPORT, head.headers["x-load"].encode())
        return EngineHead(
            version=head.headers["x-version"],
            customer=head.headers["x-customer"],
            memory=whole_number_of("memory", fields["memory"]),
            imported=whole_number_of("imported", fields["imported"]),
            recomputed=whole_number_of("recomputed", fields["recomputed"]),
            import_seconds=number_of("import_seconds", fields.get("import_seconds", 0.0)),
            root=head.headers.get("x-root", ""),
            load=load,
        )
    except (KeyError, ValueError) as error:
        raise ExternalSystemError(f"invalid head of an engine's response: {error!r}") from None


def _reported_epoch(poll: Reply) -> str:
    """Return the epoch in a load report, or an empty string if it has none."""
    try:
        epoch = decoded(LOAD_REPORT, poll.body).epoch
    except msgspec.DecodeError:
        return ""
    return str(epoch) if epoch else ""


def _check(reply: Reply, call: Call) -> None:
    if reply.status not in range(200, 300):
        raise ExternalSystemError(f"{call.method} {call.url}: status {reply.status}, expected 2xx")
