"""Call a plain service, again only where that is surely allowed."""

from __future__ import annotations

import time
from http import HTTPStatus

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import Target
from fielddrift_core.retries import backoff
from result import Err, Ok, Result

from ..exchange import Answer, Exchange
from ..http_client import Call, Reply
from ..settle import TryFailed, begin, settle_refused
from ..targets import pause_seconds, proved_not_started
from .admit import allows, no_target

__all__ = ["call_service"]

_TRIES = 3


def call_service(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the service's answer; every refusal says whether the call ran."""
    runtime = exchange.runtime
    if refusal := begin(exchange):
        return Err(refusal)
    outcome = _try_all(exchange)
    if isinstance(outcome, Refusal):
        settle_refused(exchange, outcome)
        return Err(outcome)
    content_type = outcome.headers.get("content-type", "application/octet-stream")
    if exchange.claim:
        runtime.claims.ran(
            exchange.claim, status=outcome.status, content_type=content_type, body=outcome.body
        )
    runtime.requests.note(exchange.request_id, exchange.customer.name, "ran")
    runtime.metrics.add("answers.whole")
    exchange.answer = Answer(outcome.status, content_type, outcome.body)
    return Ok(exchange)


def _try_all(exchange: Exchange) -> Reply | Refusal:
    runtime = exchange.runtime
    sure = True
    last = ""
    for attempt in range(1, _TRIES + 1):
        target = _choose(exchange)
        if target is None:
            return no_target(exchange, Ran.NO if sure else Ran.UNKNOWN)
        # A try of it, here or at another node, may have ended its third target meanwhile.
        if held := exchange.held_back(sending=True, sure=sure):
            return held
        try:
            return _try_one(exchange, target)
        except TryFailed as failure:
            last = str(failure)
            sure = sure and failure.sure
            exchange.failed.add(target.name)
            wait = backoff(attempt, rng=runtime.rng, left=exchange.left)
            allowed = failure.sure or exchange.repeatable
            if not allowed or wait is None or not runtime.board.may_retry(target.name):
                return _failed(str(failure), sure)
            runtime.metrics.add(f"retried.{failure.reason}")
            time.sleep(wait)
    return _failed(f"{_TRIES} tries failed; the last: {last}", sure)


def _choose(exchange: Exchange) -> Target | None:
    views = exchange.runtime.board.views(
        [target for target in exchange.targets if allows(exchange, target)], {}
    )
    if not views:
        return None
    least = min(view.sent for view in views)
    return exchange.runtime.rng.choice([v.target for v in views if v.sent == least])


def _try_one(exchange: Exchange, target: Target) -> Reply:
    runtime = exchange.runtime
    runtime.board.sent(target.name, exchange.request_id, 0)
    exchange.begin_send(target)
    try:
        reply = runtime.targets.call(target, _call(exchange, target))
    except ExternalSystemError as error:
        runtime.board.failed(target.name)
        exchange.broke_off(target, error)
        reason = "connect" if error.not_executed else "cut-before-head"
        raise TryFailed(str(error), reason, sure=error.not_executed) from None
    finally:
        runtime.board.ended(target.name, exchange.request_id)
    runtime.heard_headers(target.name, reply.headers)
    runtime.board.worked(target.name)
    if proved_not_started(reply):
        runtime.board.asked_for_pause(target.name, pause_seconds(reply))
        raise TryFailed(f"target {target.name}: did not start it", "not-started", sure=True)
    if reply.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        exchange.answered()
    return reply


def _call(exchange: Exchange, target: Target) -> Call:
    ask = exchange.call
    assert ask is not None
    url = f"http://{target.address}/call/{ask.path}"
    headers = {
        "X-Customer": exchange.customer.name,
        "X-Request-Id": exchange.request_id,
        "Content-Type": ask.content_type or "application/octet-stream",
    }
    if exchange.key:
        headers["Idempotency-Key"] = exchange.key
    return Call(
        ask.method,
        f"{url}?{ask.query}" if ask.query else url,
        ask.body if ask.body or ask.method in ("POST", "PUT") else None,
        headers,
        timeout=max(0.001, exchange.left),
    )


def _failed(detail: str, sure: bool) -> Refusal:
    return Refusal(ErrorKind.TARGET_FAILED, detail, Ran.NO if sure else Ran.UNKNOWN, 0.5)
