"""Settle a request that got no answer: its state, and its claim."""

from __future__ import annotations

from collections.abc import Mapping

from fielddrift_core.errors import ErrorKind, Ran, Refusal

from .exchange import Exchange

__all__ = [
    "ATTEMPT_HEADER",
    "KEY_HEADER",
    "TryFailed",
    "begin",
    "settle_refused",
    "truthful",
]

KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Fielddrift-Attempt"

_WRONG_IN_ITSELF = (ErrorKind.BAD_REQUEST, ErrorKind.TOO_LARGE, ErrorKind.KEY_REUSED)


class TryFailed(Exception):
    """One try that gave no answer; `sure` when it surely did not run."""

    def __init__(self, detail: str, reason: str, *, sure: bool) -> None:
        super().__init__(detail)
        self.reason = reason
        self.sure = sure


def truthful(refusal: Refusal, headers: Mapping[str, str]) -> Refusal:
    """Say "not run" of a keyed request only when no earlier sending can have run.

    Before the claim was read, only the caller knows whether the key was sent
    before; `Fielddrift-Attempt: 1` says that it was not.  What the request
    itself is wrong for, any earlier sending was refused for as well.
    """
    if refusal.ran is not Ran.NO or refusal.kind in _WRONG_IN_ITSELF:
        return refusal
    if KEY_HEADER not in headers or headers.get(ATTEMPT_HEADER) == "1":
        return refusal
    detail = f"{refusal.detail}; whether an earlier sending with this key ran is not known"
    return refusal._replace(ran=Ran.UNKNOWN, detail=detail)


def begin(exchange: Exchange) -> Refusal | None:
    """Allow the first send of a request, or refuse it while it surely has not run.

    A process that was paused may come here long after the deadline.
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
    """Note how a refused request ended; free its key if it surely did not run."""
    runtime = exchange.runtime
    state = "not-run" if refusal.ran is Ran.NO else "unknown"
    runtime.requests.note(exchange.request_id, exchange.customer.name, state)
    if exchange.claim is None:
        return
    if refusal.ran is Ran.NO:
        runtime.claims.not_run(exchange.claim)
    else:
        runtime.claims.unknown(exchange.claim)
