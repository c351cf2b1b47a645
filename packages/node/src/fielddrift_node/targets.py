"""Speak to model engines and plain services over HTTP."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import Target
from fielddrift_core.routing import Load

from . import clock
from .http_client import Call, Head, HttpClient, Reply, Stream

__all__ = [
    "EngineHead",
    "LoadReport",
    "Order",
    "RunOrder",
    "TargetClient",
    "pause_seconds",
    "proved_not_started",
    "read_head",
]

_JSON = {"Content-Type": "application/json"}
_POLL_SECONDS = 1.0
_ORDER_SECONDS = 15.0


class RunOrder(NamedTuple):
    """A run as an engine is asked for it."""

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
    """What an engine says at the head of its answer."""

    version: str
    customer: str
    memory: int
    imported: int
    recomputed: int
    import_seconds: float
    root: str
    load: LoadReport


class LoadReport(msgspec.Struct):
    """A target's word on its load, with its cache events when polled."""

    running: int
    queued: int
    backlog: int
    leaving: bool = False
    epoch: int = 0
    versions: list[str] = []
    events: list[tuple[int, str]] = []
    sequence: int = 0

    def load(self) -> Load:
        """Return the load as routing takes it, heard now."""
        return Load(self.running, self.queued, self.backlog, clock.now())


class Order(NamedTuple):
    """The wanted state of an engine, under a duty's fence."""

    fence: int
    model: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    work: str

    def holds(self, state: Mapping[str, Any]) -> bool:
        """Return whether a target's `state`, as read back, is the wanted one."""
        return (
            set(state["versions"]) >= set(self.versions)
            and set(state["wanted"]) == set(self.versions)
            and set(state["adapters"]) == set(self.adapters)
            and (state["model"], state["work"]) == (self.model, self.work)
        )


def proved_not_started(reply: Head | Reply) -> bool:
    """Return whether a target's answer proves that the request did not start.

    Only the target's explicit word counts; a status alone proves nothing.
    """
    return reply.status >= 400 and reply.headers.get("x-started") == "no"


def pause_seconds(reply: Head | Reply) -> float:
    """Return for how long a target that did not start a request wants none, 0 for no time named."""
    try:
        seconds = float(reply.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return seconds if proved_not_started(reply) and 0 < seconds < math.inf else 0.0


class TargetClient:
    """Call targets; raise `ExternalSystemError`."""

    def __init__(self, *, http: HttpClient) -> None:
        self._http = http

    def run(self, target: Target, order: RunOrder, *, timeout: float) -> Stream:
        """Start a run; the stream's head comes with the first token."""
        body = msgspec.json.encode(order._asdict())
        url = f"http://{target.address}/v1/runs"
        return self._http.stream(Call("POST", url, body, _JSON, timeout=timeout))

    def cancel(self, target: Target, run: str) -> None:
        """Ask an engine to end a run; nobody waits for the answer."""
        self._http.stream(Call("DELETE", f"http://{target.address}/v1/runs/{run}"))

    def call(self, target: Target, call: Call) -> Reply:
        """Make a service call on a connection that libcurl will not retry on."""
        return self._http.request(call._replace(fresh=True))

    def load(self, target: Target, *, after: int) -> LoadReport:
        """Poll a target's load, and its cache events after `after`."""
        url = f"http://{target.address}/load?after={after}"
        return self._json(Call("GET", url, timeout=_POLL_SECONDS), LoadReport)

    def order(self, target: Target, order: Order) -> bool:
        """Give a target its wanted state; False when the fence is old."""
        body = msgspec.json.encode(order._asdict())
        call = Call("POST", f"http://{target.address}/orders", body, _JSON, timeout=_ORDER_SECONDS)
        reply = self._http.request(call)
        if reply.status == 409:
            return False
        _check(reply, call)
        return True

    def state(self, target: Target) -> dict[str, Any]:
        """Read back what a target was ordered and has."""
        return self._json(Call("GET", f"http://{target.address}/orders"), dict[str, Any])

    def export(self, target: Target, order: Mapping[str, Any], *, timeout: float) -> list[Any]:
        """Have an engine write a run's blocks to a store host; return the parts."""
        body = msgspec.json.encode(order)
        url = f"http://{target.address}/kv/export"
        reply = self._json(Call("POST", url, body, _JSON, timeout=timeout), dict[str, list[Any]])
        parts: list[Any] = reply["parts"]
        return parts

    def _json(self, call: Call, kind: Any) -> Any:
        reply = self._http.request(call)
        _check(reply, call)
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError as error:
            raise ExternalSystemError(f"{call.url}: {error}") from None


def read_head(head: Head) -> EngineHead:
    """Return an engine's head; raise `ExternalSystemError` when it is not one."""
    try:
        fields = dict(pair.split("=") for pair in head.headers["x-context"].split())
        load = msgspec.json.decode(head.headers["x-load"], type=LoadReport)
        return EngineHead(
            version=head.headers["x-version"],
            customer=head.headers["x-customer"],
            memory=int(fields["memory"]),
            imported=int(fields["imported"]),
            recomputed=int(fields["recomputed"]),
            import_seconds=float(fields.get("import_seconds", 0.0)),
            root=head.headers.get("x-root", ""),
            load=load,
        )
    except (KeyError, ValueError) as error:
        raise ExternalSystemError(f"head of an engine's answer: {error!r}") from None


def _check(reply: Reply, call: Call) -> None:
    if reply.status not in range(200, 300):
        raise ExternalSystemError(f"{call.method} {call.url}: status {reply.status}, expected 2xx")
