"""Start a run on an engine, again elsewhere while nothing was relayed."""

from __future__ import annotations

import time
from concurrent.futures import TimeoutError as FutureTimeout
from typing import NamedTuple

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.retries import backoff
from fielddrift_core.routing import Choice, Source
from result import Err, Ok, Result

from ..exchange import Answer, Exchange
from ..http_client import Stream
from ..log import get
from ..relay import Broken, Relay, whole_answer
from ..settle import TryFailed, begin, settle_refused
from ..started import Started
from ..targets import EngineHead, RunOrder, pause_seconds, proved_not_started, read_head
from ..underway import UnderWay
from .admit import allows, choose, no_target

__all__ = ["run_completion"]

_TRIES = 3
_PATIENCE_FACTOR = 4.0
_PATIENCE_FLOOR = 2.0
# An import that takes much longer than estimated is given up and recomputed.
_IMPORT_FACTOR = 3.0
_IMPORT_FLOOR = 0.2


class _Tried(NamedTuple):
    started: Started | None
    refusal: Refusal | None = None


def run_completion(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the answer: a stream being relayed, or the whole text."""
    assert exchange.completion is not None
    if refusal := begin(exchange):
        return Err(refusal)
    tried = _start(exchange, resume_at=1)
    if tried.started is None:
        assert tried.refusal is not None
        settle_refused(exchange, tried.refusal)
        return Err(tried.refusal)
    relay = Relay(exchange=exchange, started=tried.started, resume=_resume)
    if exchange.completion.stream:
        exchange.answer = Answer(200, "text/event-stream", relay, relay.headers)
        return Ok(exchange)
    try:
        exchange.answer = whole_answer(exchange, relay)
    except Broken as broken:
        return Err(broken.refusal)
    return Ok(exchange)


def _resume(exchange: Exchange, resume_at: int) -> Started | None:
    """Start the run again at its next event, on another target; None when it cannot be."""
    if not exchange.repeatable:
        return None
    started = _start(exchange, resume_at=resume_at).started
    if started is not None:
        exchange.runtime.metrics.add("retried.resume")
    return started


def _start(exchange: Exchange, *, resume_at: int) -> _Tried:
    runtime = exchange.runtime
    sure = True
    last = ""
    for attempt in range(1, _TRIES + 1):
        choice = exchange.choice or choose(exchange)
        exchange.choice = None
        if choice is None:
            return _Tried(None, no_target(exchange, Ran.NO if sure else Ran.UNKNOWN))
        # A try of it, here or at another node, may have ended its third target meanwhile.
        if held := exchange.held_back(sending=True, sure=sure):
            return _Tried(None, held)
        try:
            return _Tried(_try_one(exchange, choice, f"{attempt}", resume_at))
        except TryFailed as failure:
            last = str(failure)
            get().info(
                "send failed",
                request=exchange.request_id,
                target=choice.target.name,
                reason=failure.reason,
                detail=last,
                not_run=failure.sure,
                after=resume_at - 1,
            )
            sure = sure and failure.sure
            exchange.failed.add(choice.target.name)
            wait = backoff(attempt, rng=runtime.rng, left=exchange.left)
            allowed = failure.sure or exchange.repeatable
            if not allowed or wait is None or not runtime.board.may_retry(choice.target.name):
                return _Tried(None, _refusal(exchange, str(failure), sure))
            runtime.metrics.add(f"retried.{failure.reason}")
            time.sleep(wait)
    return _Tried(None, _refusal(exchange, f"{_TRIES} tries failed; the last: {last}", sure))


def _try_one(exchange: Exchange, choice: Choice, attempt: str, resume_at: int) -> Started:
    runtime = exchange.runtime
    order = _order(exchange, choice, attempt, resume_at)
    assert exchange.need is not None
    computed = int(exchange.need.tokens * choice.recomputed)
    runtime.board.sent(choice.target.name, order.run, computed)
    exchange.begin_send(choice.target)
    stream = runtime.targets.run(choice.target, order, timeout=_run_seconds(exchange))
    under_way = UnderWay.begin(exchange, choice, order)
    try:
        head = _await_head(exchange, choice, order, stream)
    except TryFailed as failure:
        stream.close()
        runtime.board.ended(choice.target.name, order.run)
        under_way.failed()
        if not failure.sure:
            runtime.targets.cancel(choice.target, order.run)
        raise
    under_way.started(head)
    return Started(choice, order, stream, head)


def _await_head(exchange: Exchange, choice: Choice, order: RunOrder, stream: Stream) -> EngineHead:
    """Return the head once it came and matches the order."""
    runtime = exchange.runtime
    name = choice.target.name
    try:
        head = stream.head.result(timeout=max(0.001, _patience(exchange, choice)))
    except FutureTimeout:
        runtime.board.failed(name)
        raise TryFailed(f"target {name}: no first token", "cut-before-head", sure=False) from None
    except ExternalSystemError as error:
        runtime.board.failed(name)
        exchange.broke_off(choice.target, error)
        reason = "connect" if error.not_executed else "cut-before-head"
        raise TryFailed(str(error), reason, sure=error.not_executed) from None
    runtime.heard_headers(name, head.headers)
    if proved_not_started(head):
        runtime.board.worked(name)
        runtime.board.asked_for_pause(name, pause_seconds(head))
        raise TryFailed(f"target {name}: did not start it", "not-started", sure=True)
    if head.status != 200:
        runtime.board.failed(name)
        raise TryFailed(f"target {name}: status {head.status}", "wrong-head", sure=False)
    return _check_head(exchange, choice, order, stream)


def _patience(exchange: Exchange, choice: Choice) -> float:
    """Return the seconds to wait for a first token before another target is tried.

    Where there is no other, or the run may not be repeated, giving up early
    would gain nothing.
    """
    others = (t for t in exchange.targets if t.name != choice.target.name)
    if not exchange.repeatable or not any(allows(exchange, target) for target in others):
        return exchange.left
    return min(exchange.left, max(_PATIENCE_FLOOR, _PATIENCE_FACTOR * choice.ttft))


def _check_head(exchange: Exchange, choice: Choice, order: RunOrder, stream: Stream) -> EngineHead:
    name = choice.target.name
    try:
        head = read_head(stream.head.result())
    except ExternalSystemError as error:
        # The breaker takes a probe for under way until it hears how it ended.
        exchange.runtime.board.failed(name)
        raise TryFailed(f"target {name}: {error}", "wrong-head", sure=False) from None
    if (head.version, head.customer) != (order.version, order.customer):
        exchange.runtime.board.failed(name)
        detail = f"target {name}: ran version {head.version!r} for {head.customer!r}"
        raise TryFailed(detail, "wrong-head", sure=False)
    exchange.runtime.board.worked(name)
    return head


def _order(exchange: Exchange, choice: Choice, attempt: str, resume_at: int) -> RunOrder:
    ask = exchange.completion
    assert ask is not None and exchange.need is not None
    context = None
    if choice.source is Source.IMPORT and exchange.found is not None:
        manifest, store = exchange.found
        context = {
            "store": store.address,
            "blocks": manifest.blocks,
            "parts": manifest.parts,
            "seconds": _IMPORT_FLOOR + _IMPORT_FACTOR * exchange.need.kept.seconds,
        }
    return RunOrder(
        run=f"{exchange.request_id}.{resume_at}.{attempt}",
        customer=exchange.customer.name,
        model=ask.model,
        version=exchange.deployment.version,
        salt=exchange.customer.salt,
        prompt=ask.prompt,
        max_tokens=ask.max_tokens,
        priority=ask.priority,
        resume_at=resume_at,
        context=context,
    )


def _run_seconds(exchange: Exchange) -> float:
    # The deadline is for the first token; a run may go on for much longer.
    return exchange.left + 600.0


def _refusal(exchange: Exchange, detail: str, sure: bool) -> Refusal:
    kind = ErrorKind.DEADLINE if exchange.left <= 0 else ErrorKind.TARGET_FAILED
    return Refusal(kind, detail, Ran.NO if sure else Ran.UNKNOWN, 0.5)
