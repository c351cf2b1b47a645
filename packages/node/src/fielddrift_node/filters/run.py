"""Run a completion on an engine, and retry or resume it on another one."""

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
from ..relay import Relay, RunInterruptedError, buffered_answer
from ..settle import AttemptFailed, settle_refused, start_request
from ..started import Started
from ..targets import (
    EngineHead,
    RunOrder,
    pause_seconds,
    proved_not_started,
    read_head,
    retry_reason,
)
from ..underway import RunInFlight
from .admit import choose_target, is_available, no_target_refusal

__all__ = ["run_completion"]

_MAX_ATTEMPTS = 3
_FIRST_TOKEN_TIMEOUT_FACTOR = 4.0
_MIN_FIRST_TOKEN_TIMEOUT_SECONDS = 2.0
# An import that exceeds its timeout is abandoned, and the context is recomputed.
_IMPORT_TIMEOUT_FACTOR = 3.0
_IMPORT_TIMEOUT_BASE_SECONDS = 0.2


class _StartResult(NamedTuple):
    started: Started | None
    refusal: Refusal | None = None


def run_completion(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the answer: a relayed stream, or the whole text."""
    assert exchange.completion is not None
    if refusal := start_request(exchange):
        return Err(refusal)
    start_result = _start_with_retries(exchange, resume_at=1)
    if start_result.started is None:
        assert start_result.refusal is not None
        settle_refused(exchange, start_result.refusal)
        return Err(start_result.refusal)
    relay = Relay(exchange=exchange, started=start_result.started, resume=_resume)
    if exchange.completion.stream:
        exchange.answer = Answer(200, "text/event-stream", relay, relay.headers)
        return Ok(exchange)
    try:
        exchange.answer = buffered_answer(exchange, relay)
    except RunInterruptedError as broken:
        return Err(broken.refusal)
    return Ok(exchange)


def _resume(exchange: Exchange, resume_at: int) -> Started | None:
    """Restart the run at event `resume_at` on another target.

    Return None if the request may not be repeated or no target can start it.
    """
    if not exchange.repeatable:
        return None
    started = _start_with_retries(exchange, resume_at=resume_at).started
    if started is not None:
        exchange.runtime.metrics.add("retried.resume")
    return started


def _start_with_retries(exchange: Exchange, *, resume_at: int) -> _StartResult:
    runtime = exchange.runtime
    not_executed = True
    last = ""
    for attempt in range(1, _MAX_ATTEMPTS + 1):
        choice = exchange.choice or choose_target(exchange)
        exchange.choice = None
        if choice is None:
            return _StartResult(
                None, no_target_refusal(exchange, Ran.NO if not_executed else Ran.UNKNOWN)
            )
        # Since the first check another attempt, here or at another node, may have crashed the
        # third target.
        if held := exchange.held_back(sending=True, sure=not_executed):
            return _StartResult(None, held)
        try:
            return _StartResult(_start_once(exchange, choice, f"{attempt}", resume_at))
        except AttemptFailed as failure:
            last = str(failure)
            get().info(
                "send failed",
                request=exchange.request_id,
                target=choice.target.name,
                reason=failure.reason,
                detail=last,
                not_run=failure.not_executed,
                after=resume_at - 1,
            )
            not_executed = not_executed and failure.not_executed
            exchange.failed.add(choice.target.name)
            wait = backoff(attempt, rng=runtime.rng, left=exchange.left)
            allowed = failure.not_executed or exchange.repeatable
            if not allowed or wait is None or not runtime.board.may_retry(choice.target.name):
                return _StartResult(None, _failure_refusal(exchange, str(failure), not_executed))
            runtime.metrics.add(f"retried.{failure.reason}")
            time.sleep(wait)
    return _StartResult(
        None,
        _failure_refusal(exchange, f"{_MAX_ATTEMPTS} tries failed; the last: {last}", not_executed),
    )


def _start_once(exchange: Exchange, choice: Choice, attempt: str, resume_at: int) -> Started:
    runtime = exchange.runtime
    order = _build_order(exchange, choice, attempt, resume_at)
    assert exchange.need is not None
    computed = int(exchange.need.tokens * choice.recomputed)
    runtime.board.sent(choice.target.name, order.run, computed)
    exchange.begin_send(choice.target)
    stream = runtime.targets.run(choice.target, order, timeout=_run_timeout(exchange))
    in_flight = RunInFlight.begin(exchange, choice, order)
    try:
        head = _await_head(exchange, choice, order, stream)
    except AttemptFailed as failure:
        stream.close()
        runtime.board.ended(choice.target.name, order.run)
        in_flight.failed()
        if not failure.not_executed:
            runtime.targets.cancel(choice.target, order.run)
        raise
    in_flight.started(head)
    return Started(choice, order, stream, head)


def _await_head(exchange: Exchange, choice: Choice, order: RunOrder, stream: Stream) -> EngineHead:
    """Return the head of the answer, after checking that it matches the order.

    Raise `AttemptFailed` if it does not arrive in time or does not match.
    """
    runtime = exchange.runtime
    name = choice.target.name
    try:
        head = stream.head.result(timeout=max(0.001, _first_token_timeout(exchange, choice)))
    except FutureTimeout:
        runtime.board.failed(name)
        raise AttemptFailed(
            f"target {name}: no first token", "cut-before-head", not_executed=False
        ) from None
    except ExternalSystemError as error:
        runtime.board.failed(name)
        exchange.record_send_failure(choice.target, error)
        raise AttemptFailed(
            str(error), retry_reason(error), not_executed=error.not_executed
        ) from None
    runtime.handle_target_headers(name, head.headers)
    if proved_not_started(head):
        runtime.board.succeeded(name)
        runtime.board.record_pause(name, pause_seconds(head))
        raise AttemptFailed(f"target {name}: did not start it", "not-started", not_executed=True)
    if head.status != 200:
        runtime.board.failed(name)
        raise AttemptFailed(
            f"target {name}: status {head.status}", "wrong-head", not_executed=False
        )
    return _check_head(exchange, choice, order, stream)


def _first_token_timeout(exchange: Exchange, choice: Choice) -> float:
    """Return the seconds to wait for the first token before trying another target.

    It is the time left to the deadline if there is no other target or the run may
    not be repeated, since a shorter wait would gain nothing.
    """
    other_targets = (t for t in exchange.targets if t.name != choice.target.name)
    if not exchange.repeatable or not any(
        is_available(exchange, target) for target in other_targets
    ):
        return exchange.left
    return min(
        exchange.left,
        max(_MIN_FIRST_TOKEN_TIMEOUT_SECONDS, _FIRST_TOKEN_TIMEOUT_FACTOR * choice.ttft),
    )


def _check_head(exchange: Exchange, choice: Choice, order: RunOrder, stream: Stream) -> EngineHead:
    name = choice.target.name
    try:
        head = read_head(stream.head.result())
    except ExternalSystemError as error:
        # The circuit breaker counts a probe as in flight until its outcome is recorded.
        exchange.runtime.board.failed(name)
        raise AttemptFailed(f"target {name}: {error}", "wrong-head", not_executed=False) from None
    if (head.version, head.customer) != (order.version, order.customer):
        exchange.runtime.board.failed(name)
        detail = f"target {name}: ran version {head.version!r} for {head.customer!r}"
        raise AttemptFailed(detail, "wrong-head", not_executed=False)
    exchange.runtime.board.succeeded(name)
    return head


def _build_order(exchange: Exchange, choice: Choice, attempt: str, resume_at: int) -> RunOrder:
    completion = exchange.completion
    assert completion is not None and exchange.need is not None
    context = None
    if choice.source is Source.IMPORT and exchange.found is not None:
        manifest, store = exchange.found
        context = {
            "store": store.address,
            "blocks": manifest.blocks,
            "parts": manifest.parts,
            "seconds": _IMPORT_TIMEOUT_BASE_SECONDS
            + _IMPORT_TIMEOUT_FACTOR * exchange.need.kept.seconds,
        }
    return RunOrder(
        run=f"{exchange.request_id}.{resume_at}.{attempt}",
        customer=exchange.customer.name,
        model=completion.model,
        version=exchange.deployment.version,
        salt=exchange.customer.salt,
        prompt=completion.prompt,
        max_tokens=completion.max_tokens,
        priority=completion.priority,
        resume_at=resume_at,
        context=context,
    )


def _run_timeout(exchange: Exchange) -> float:
    # The deadline applies to the first token; a run may take much longer.
    return exchange.left + 600.0


def _failure_refusal(exchange: Exchange, detail: str, not_executed: bool) -> Refusal:
    kind = ErrorKind.DEADLINE if exchange.left <= 0 else ErrorKind.TARGET_FAILED
    return Refusal(kind, detail, Ran.NO if not_executed else Ran.UNKNOWN, 0.5)
