"""The state of one request while the filters process it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import cached_property
from typing import NamedTuple

from fielddrift_core.errors import Refusal
from fielddrift_core.fingerprint import fingerprint
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.lost_runs import LostRun
from fielddrift_core.model import Configuration, Customer, Deployment, Target
from fielddrift_core.routing import Choice, RequestNeeds
from result import Result
from werkzeug.wrappers import Request

from . import clock
from .claims import Claim
from .runtime import Runtime
from .stores import Found

__all__ = ["Answer", "CompletionRequest", "Exchange", "Filter", "ServiceRequest", "run_filters"]


class CompletionRequest(NamedTuple):
    """A validated request for a completion."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    priority: int


class ServiceRequest(NamedTuple):
    """A validated service call."""

    service: str
    method: str
    path: str
    query: str
    body: bytes
    content_type: str


class Answer(NamedTuple):
    """The response to the caller; `body` is an iterable if it is streamed."""

    status: int
    content_type: str
    body: bytes | Iterable[bytes]
    headers: Mapping[str, str] = {}


class Exchange:
    """One request and its state; each filter sets the fields that later filters need."""

    def __init__(
        self, *, runtime: Runtime, request: Request, request_id: str, path: Mapping[str, str]
    ) -> None:
        self.runtime = runtime
        self.request = request
        self.request_id = request_id
        self.path = path
        self.began_at = clock.now()
        self.deadline = 0.0
        self.key = ""
        self.repeatable = True
        self.configuration = Configuration()
        self.customer = Customer("", (), "")
        self.completion: CompletionRequest | None = None
        self.call: ServiceRequest | None = None
        self.deployment = Deployment("", "")
        self.targets: tuple[Target, ...] = ()
        self.digests: list[str] = []
        self.found: Found | None = None
        self.need: RequestNeeds | None = None
        self.choice: Choice | None = None
        self.claim: Claim | None = None
        self.failed: set[str] = set()
        self.life = ""
        """Process instance of the target of the last send, as far as it is known."""
        self.sent_at = 0.0
        """Time of the last send, from `clock.now`."""
        self.answer: Answer | None = None

    @property
    def left(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - clock.now()

    def held_back(self, *, sending: bool = False, sure: bool = True) -> Refusal | None:
        """Return the refusal if this request is held back, else None (see `CrashDesk.check`)."""
        crashes = self.runtime.crashes
        # Skips the fingerprint, which is slow for a long prompt, if there are no crash records.
        if crashes.is_empty:
            return None
        return crashes.check(self.fingerprint, sending=sending, sure=sure)

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint that all attempts at the same request share.

        It covers the customer and all fields of the request, but not the idempotency key:
        a retry under another key has the same fingerprint.
        """
        fields = self.call or self.completion or ()
        encoded = (field if isinstance(field, bytes) else repr(field).encode() for field in fields)
        return fingerprint((self.customer.name.encode(), *encoded))

    def begin_send(self, target: Target) -> None:
        """Record the process instance of the target and the time, just before a send."""
        self.life = self.runtime.crashes.life(target.name, self.runtime.board.epoch(target.name))
        self.sent_at = clock.now()

    def record_send_failure(self, target: Target, error: ExternalSystemError) -> None:
        """Report the failure of the last send to the crash records."""
        crashes = self.runtime.crashes
        if error.broken and not target.draining and not self.runtime.leaving(target.name):
            now = clock.now()
            ran = now - self.sent_at
            run = LostRun(self.request_id, self.fingerprint, self.life, now, ran)
            crashes.record_lost_run(run, target)
        if error.refused:
            crashes.refused(self.life)

    def answered(self) -> None:
        """Report to the crash records that the target answered the last send in full."""
        if not self.runtime.crashes.is_empty:
            self.runtime.crashes.answered(self.fingerprint, self.life, self.sent_at)


Filter = Callable[[Exchange], Result[Exchange, Refusal]]


def run_filters(exchange: Exchange, filters: tuple[Filter, ...]) -> Result[Exchange, Refusal]:
    """Apply `filters` in order until one refuses the request or sets the answer.

    Return the result of the last filter applied.
    """
    outcome: Result[Exchange, Refusal]
    for step in filters:
        outcome = step(exchange)
        if outcome.is_err():
            return outcome
        if exchange.answer is not None:
            return outcome
    return outcome
