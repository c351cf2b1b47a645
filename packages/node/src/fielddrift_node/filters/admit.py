"""Decide whether the request is taken, by estimate and fair share."""

from __future__ import annotations

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.model import Target
from fielddrift_core.routing import Choice, sample_targets
from result import Err, Ok, Result

from .. import clock
from ..exchange import Exchange
from ..tickets import TICKET_HEADER

__all__ = ["admit", "allows", "choose", "no_target"]

_RETRY_AFTER = 0.5


def allows(exchange: Exchange, target: Target) -> bool:
    """Return whether a pinned target may get this request now.

    The first sign of leaving counts, whoever gave it: the operators, the host
    list, a peer or the target itself.
    """
    runtime = exchange.runtime
    if target.draining or target.name in exchange.failed or runtime.leaving(target.name):
        return False
    return runtime.board.takes(target, exchange.deployment.version)


def choose(exchange: Exchange) -> Choice | None:
    """Return the target and source for the next try, or None."""
    assert exchange.need is not None
    runtime = exchange.runtime
    warm = runtime.board.warm(exchange.digests)
    known = exchange.configuration.targets
    drawn = sample_targets(
        exchange.targets,
        warm=[known[name] for name in warm if name in known],
        allowed=lambda target: allows(exchange, target),
        sample=runtime.policy.sample,
        rng=runtime.rng,
    )
    views = runtime.board.views(drawn, warm)
    return runtime.policy.choose(exchange.need, views, runtime.rng)


def admit(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Refuse at once what the deadline or the customer's share forbids."""
    assert exchange.need is not None
    runtime = exchange.runtime
    choice = choose(exchange)
    if choice is None:
        return Err(no_target(exchange))
    with runtime.admission_lock:
        refusal = runtime.admission.check(
            customer=exchange.customer.name,
            share=exchange.customer.share,
            tokens=exchange.need.tokens,
            ttft=choice.ttft,
            wait=choice.wait,
            ttft_limit=exchange.left,
            capacity_rate=choice.target.prefill_rate * len(exchange.targets),
            now=clock.now(),
            is_retry=runtime.tickets.counts(
                exchange.request.headers.get(TICKET_HEADER, ""), exchange.customer.name
            ),
        )
    exchange.choice = choice
    return Err(refusal) if refusal else Ok(exchange)


def no_target(exchange: Exchange, ran: Ran = Ran.NO) -> Refusal:
    """Return the refusal for a request that no target can take now."""
    what = exchange.deployment.model or (exchange.call.service if exchange.call else "")
    version = f" version {exchange.deployment.version}" if exchange.deployment.version else ""
    detail = f"{what}{version}: none of {len(exchange.targets)} targets can take it now"
    paused = exchange.runtime.board.soonest(exchange.targets)
    return Refusal(ErrorKind.NO_TARGET, detail, ran, max(_RETRY_AFTER, paused))
