"""Choose a target for a completion, and admit the request by estimate and fair share."""

from __future__ import annotations

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.model import Target
from fielddrift_core.routing import Choice, sample_targets
from result import Err, Ok, Result

from .. import clock
from ..exchange import Exchange
from ..tickets import TICKET_HEADER

__all__ = ["admit", "choose_target", "is_available", "no_target_refusal"]

_MIN_RETRY_AFTER_SECONDS = 0.5


def is_available(exchange: Exchange, target: Target) -> bool:
    """Return whether the request may be sent to a target of its pinned configuration now.

    A target that leaves gets no request as soon as one source reports it: the
    operators, the host list, a peer or the target itself.
    """
    runtime = exchange.runtime
    if target.draining or target.name in exchange.failed or runtime.leaving(target.name):
        return False
    return runtime.board.takes(target, exchange.deployment.version)


def choose_target(exchange: Exchange) -> Choice | None:
    """Return the target and the source of the context for the next attempt, or None.

    It is None if no target is available.
    """
    assert exchange.need is not None
    runtime = exchange.runtime
    warm = runtime.board.warm(exchange.digests)
    configured = exchange.configuration.targets
    sampled = sample_targets(
        exchange.targets,
        warm=[configured[name] for name in warm if name in configured],
        allowed=lambda target: is_available(exchange, target),
        sample=runtime.policy.sample,
        rng=runtime.rng,
    )
    views = runtime.board.views(sampled, warm)
    return runtime.policy.choose(exchange.need, views, runtime.rng)


def admit(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Choose a target; refuse what would miss the deadline or exceed the customer's share."""
    assert exchange.need is not None
    runtime = exchange.runtime
    choice = choose_target(exchange)
    if choice is None:
        return Err(no_target_refusal(exchange))
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
            is_retry=runtime.tickets.is_valid(
                exchange.request.headers.get(TICKET_HEADER, ""), exchange.customer.name
            ),
        )
    exchange.choice = choice
    return Err(refusal) if refusal else Ok(exchange)


def no_target_refusal(exchange: Exchange, ran: Ran = Ran.NO) -> Refusal:
    """Return the refusal of a request for which no target is available now.

    The caller may retry once the first of the paused targets is over its pause.
    """
    what = exchange.deployment.model or (exchange.call.service if exchange.call else "")
    version = f" version {exchange.deployment.version}" if exchange.deployment.version else ""
    detail = f"{what}{version}: none of {len(exchange.targets)} targets can take it now"
    paused = exchange.runtime.board.min_pause_seconds(exchange.targets)
    return Refusal(ErrorKind.NO_TARGET, detail, ran, max(_MIN_RETRY_AFTER_SECONDS, paused))
