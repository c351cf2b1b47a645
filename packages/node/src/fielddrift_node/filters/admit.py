"""Decide whether the request is taken, by estimate and fair share."""

from __future__ import annotations

import time

from fielddrift_core.errors import Kind, Ran, Refusal
from fielddrift_core.model import Target
from fielddrift_core.routing import Choice, cheapest
from result import Err, Ok, Result

from ..exchange import Exchange

__all__ = ["admit", "choose", "no_target", "usable"]

_RETRY_AFTER = 0.5


def usable(exchange: Exchange) -> list[Target]:
    """Return the pinned targets that may get new work now.

    The first sign of leaving counts, whoever gave it: the operators, the host
    list, a peer or the target itself.
    """
    leaving = exchange.services.leaving
    return [
        target
        for target in exchange.targets
        if not target.draining and target.name not in exchange.failed and not leaving(target.name)
    ]


def choose(exchange: Exchange) -> Choice | None:
    """Return the target and source for the next try, or None."""
    assert exchange.need is not None
    services = exchange.services
    views = services.board.views(
        usable(exchange), version=exchange.deployment.version, digests=exchange.digests
    )
    return services.policy(exchange.need, views, services.rng)


def admit(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Refuse at once what the deadline or the customer's share forbids."""
    assert exchange.need is not None
    services = exchange.services
    targets = usable(exchange)
    views = services.board.views(
        targets, version=exchange.deployment.version, digests=exchange.digests
    )
    best = cheapest(exchange.need, views)
    if best is None:
        return Err(no_target(exchange))
    with services.admission_lock:
        refusal = services.admission.check(
            customer=exchange.customer.name,
            share=exchange.customer.share,
            tokens=exchange.need.tokens,
            ttft=best.ttft,
            wait=best.wait,
            patience=exchange.left,
            room_rate=sum(target.prefill_rate for target in targets),
            now=time.monotonic(),
        )
    return Err(refusal) if refusal else Ok(exchange)


def no_target(exchange: Exchange, ran: Ran = Ran.NO) -> Refusal:
    """Return the refusal for a request that no target can take now."""
    what = exchange.deployment.model or (exchange.call.service if exchange.call else "")
    version = f" version {exchange.deployment.version}" if exchange.deployment.version else ""
    detail = f"{what}{version}: none of {len(exchange.targets)} targets can take it now"
    return Refusal(Kind.NO_TARGET, detail, ran, _RETRY_AFTER)
