"""Carry one caller's request through the filters."""

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

__all__ = ["Answer", "CompletionAsk", "Exchange", "Filter", "ServiceAsk", "run_filters"]


class CompletionAsk(NamedTuple):
    """A checked request for a completion."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    priority: int


class ServiceAsk(NamedTuple):
    """A checked service call."""

    service: str
    method: str
    path: str
    query: str
    body: bytes
    content_type: str


class Answer(NamedTuple):
    """What the caller gets; `body` may still be on its way."""

    status: int
    content_type: str
    body: bytes | Iterable[bytes]
    headers: Mapping[str, str] = {}


class Exchange:
    """One request on its way; each filter fills in what the next ones need."""

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
        self.completion: CompletionAsk | None = None
        self.call: ServiceAsk | None = None
        self.deployment = Deployment("", "")
        self.targets: tuple[Target, ...] = ()
        self.digests: list[str] = []
        self.found: Found | None = None
        self.need: RequestNeeds | None = None
        self.choice: Choice | None = None
        self.claim: Claim | None = None
        self.failed: set[str] = set()
        self.life = ""
        """The life of the target of the last send, as far as it is known."""
        self.sent_at = 0.0
        """When it went out, on the clock of `clock.now`."""
        self.answer: Answer | None = None

    @property
    def left(self) -> float:
        """Return the seconds left to the deadline."""
        return self.deadline - clock.now()

    def held_back(self, *, sending: bool = False, sure: bool = True) -> Refusal | None:
        """Return the refusal of a request that is held back, as `CrashDesk.check` tells it."""
        crashes = self.runtime.crashes
        # Nearly always nothing is, and a long prompt takes some time to digest.
        if crashes.is_empty:
            return None
        return crashes.check(self.fingerprint, sending=sending, sure=sure)

    @cached_property
    def fingerprint(self) -> str:
        """Return what all tries of the same request have in common: caller, place and body.

        Its key is none of it: who tries again under another key asks the same.
        """
        fields = self.call or self.completion or ()
        asked = (field if isinstance(field, bytes) else repr(field).encode() for field in fields)
        return fingerprint((self.customer.name.encode(), *asked))

    def begin_send(self, target: Target) -> None:
        """Note a send that is about to go out."""
        self.life = self.runtime.crashes.life(target.name, self.runtime.board.epoch(target.name))
        self.sent_at = clock.now()

    def broke_off(self, target: Target, error: ExternalSystemError) -> None:
        """Tell whoever watches for requests that end their targets how the last send failed."""
        crashes = self.runtime.crashes
        if error.broken and not target.draining and not self.runtime.leaving(target.name):
            now = clock.now()
            ran = now - self.sent_at
            run = LostRun(self.request_id, self.fingerprint, self.life, now, ran)
            crashes.record_lost_run(run, target)
        if error.refused:
            crashes.refused(self.life)

    def answered(self) -> None:
        """Tell them that the target of the last send answered whole."""
        if not self.runtime.crashes.is_empty:
            self.runtime.crashes.answered(self.fingerprint, self.life, self.sent_at)


Filter = Callable[[Exchange], Result[Exchange, Refusal]]


def run_filters(exchange: Exchange, filters: tuple[Filter, ...]) -> Result[Exchange, Refusal]:
    """Pass `exchange` through `filters` until one refuses or all are done."""
    outcome: Result[Exchange, Refusal]
    for step in filters:
        outcome = step(exchange)
        if outcome.is_err():
            return outcome
        if exchange.answer is not None:
            return outcome
    return outcome
