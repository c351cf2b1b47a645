"""Settle a request that got no answer: its state, and its claim."""

from __future__ import annotations

from fielddrift_core.errors import Ran, Refusal

from .exchange import Exchange

__all__ = ["TryFailed", "settle_refused"]


class TryFailed(Exception):
    """One try that gave no answer; `sure` when it surely did not run."""

    def __init__(self, detail: str, reason: str, *, sure: bool) -> None:
        super().__init__(detail)
        self.reason = reason
        self.sure = sure


def settle_refused(exchange: Exchange, refusal: Refusal) -> None:
    """Note how a refused request ended; free its key if it surely did not run."""
    services = exchange.services
    state = "not-run" if refusal.ran is Ran.NO else "unknown"
    services.requests.note(exchange.request_id, exchange.customer.name, state)
    if exchange.claim is None:
        return
    if refusal.ran is Ran.NO:
        services.claims.not_run(exchange.claim)
    else:
        services.claims.unknown(exchange.claim)
