"""Record the outcome of a request without an answer: its state, and its claim."""

from __future__ import annotations

from collections.abc import Mapping

from fielddrift_core.errors import ErrorKind, Ran, Refusal

from .exchange import Exchange

__all__ = [
    "ATTEMPT_HEADER",
    "KEY_HEADER",
    "AttemptFailed",
    "qualify_not_run",
    "settle_refused",
    "start_request",
]

KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Fielddrift-Attempt"

_INVALID_REQUEST_KINDS = (ErrorKind.BAD_REQUEST, ErrorKind.TOO_LARGE, ErrorKind.KEY_REUSED)


class AttemptFailed(Exception):
    """An attempt ended without an answer.

    `reason` is a label for metrics; `not_executed` is true only if the target certainly did
    not run the request.
    """

    def __init__(self, detail: str, reason: str, *, not_executed: bool) -> None:
        super().__init__(detail)
        self.reason = reason
        self.not_executed = not_executed


def qualify_not_run(refusal: Refusal, headers: Mapping[str, str]) -> Refusal:
    """Return `refusal`, as "unknown" if an earlier send of a keyed request may have run.

    Until the claim is read, only the caller knows whether the key was sent before;
    `Fielddrift-Attempt: 1` states that it was not.  An invalid request stays "not run", because
    any earlier send of it was refused too.
    """
    if refusal.ran is not Ran.NO or refusal.kind in _INVALID_REQUEST_KINDS:
        return refusal
    if KEY_HEADER not in headers or headers.get(ATTEMPT_HEADER) == "1":
        return refusal
    detail = f"{refusal.detail}; whether an earlier sending with this key ran is not known"
    return refusal._replace(ran=Ran.UNKNOWN, detail=detail)


def start_request(exchange: Exchange) -> Refusal | None:
    """Mark a request as running before its first send, or return the refusal of it.

    The deadline is checked again, because a paused process may resume here long after it.
    """
    runtime = exchange.runtime
    refusal = None
    if exchange.left <= 0:
        refusal = Refusal(ErrorKind.DEADLINE, "the deadline passed before it was sent", Ran.NO, 0.5)
    elif held := exchange.held_back():
        refusal = held
    elif exchange.claim and not runtime.claims.begin_send(exchange.claim):
        refusal = Refusal(ErrorKind.PLATFORM_DOWN, "the claim was given up", Ran.NO, 1.0)
    if refusal is not None:
        settle_refused(exchange, refusal)
        return refusal
    runtime.requests.note(exchange.request_id, exchange.customer.name, "running")
    return None


def settle_refused(exchange: Exchange, refusal: Refusal) -> None:
    """Record the outcome of a refused request; release its key if it certainly did not run."""
    runtime = exchange.runtime
    state = "not-run" if refusal.ran is Ran.NO else "unknown"
    runtime.requests.note(exchange.request_id, exchange.customer.name, state)
    if exchange.claim is None:
        return
    if refusal.ran is Ran.NO:
        runtime.claims.not_run(exchange.claim)
    else:
        runtime.claims.unknown(exchange.claim)
