"""Call a plain service, and repeat the call only where that is safe."""

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
from ..settle import AttemptFailed, settle_refused, start_request
from ..targets import pause_seconds, proved_not_started, retry_reason
from .admit import is_available, no_target_refusal

__all__ = ["call_service"]

_MAX_ATTEMPTS = 3


def call_service(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the service's answer, or return a refusal that states whether the call ran."""
    runtime = exchange.runtime
    if refusal := start_request(exchange):
        return Err(refusal)
    outcome = _call_with_retries(exchange)
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


def _call_with_retries(exchange: Exchange) -> Reply | Refusal:
    runtime = exchange.runtime
    not_executed = True
    last = ""
    for attempt in range(1, _MAX_ATTEMPTS + 1):
        target = _choose_target(exchange)
        if target is None:
            return no_target_refusal(exchange, Ran.NO if not_executed else Ran.UNKNOWN)
        # Since the first check another attempt, here or at another node, may have crashed the
        # third target.
        if held := exchange.held_back(sending=True, sure=not_executed):
            return held
        try:
            return _send_once(exchange, target)
        except AttemptFailed as failure:
            last = str(failure)
            not_executed = not_executed and failure.not_executed
            exchange.failed.add(target.name)
            wait = backoff(attempt, rng=runtime.rng, left=exchange.left)
            allowed = failure.not_executed or exchange.repeatable
            if not allowed or wait is None or not runtime.board.may_retry(target.name):
                return _failure_refusal(str(failure), not_executed)
            runtime.metrics.add(f"retried.{failure.reason}")
            time.sleep(wait)
    return _failure_refusal(f"{_MAX_ATTEMPTS} tries failed; the last: {last}", not_executed)


def _choose_target(exchange: Exchange) -> Target | None:
    views = exchange.runtime.board.views(
        [target for target in exchange.targets if is_available(exchange, target)], {}
    )
    if not views:
        return None
    min_sent = min(view.sent for view in views)
    return exchange.runtime.rng.choice([v.target for v in views if v.sent == min_sent])


def _send_once(exchange: Exchange, target: Target) -> Reply:
    runtime = exchange.runtime
    runtime.board.sent(target.name, exchange.request_id, 0)
    exchange.begin_send(target)
    try:
        reply = runtime.targets.call(target, _build_call(exchange, target))
    except ExternalSystemError as error:
        runtime.board.failed(target.name)
        exchange.record_send_failure(target, error)
        raise AttemptFailed(
            str(error), retry_reason(error), not_executed=error.not_executed
        ) from None
    finally:
        runtime.board.ended(target.name, exchange.request_id)
    runtime.handle_target_headers(target.name, reply.headers)
    runtime.board.succeeded(target.name)
    if proved_not_started(reply):
        runtime.board.record_pause(target.name, pause_seconds(reply))
        raise AttemptFailed(
            f"target {target.name}: did not start it", "not-started", not_executed=True
        )
    if reply.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        exchange.answered()
    return reply


def _build_call(exchange: Exchange, target: Target) -> Call:
    service_call = exchange.call
    assert service_call is not None
    url = f"http://{target.address}/call/{service_call.path}"
    headers = {
        "X-Customer": exchange.customer.name,
        "X-Request-Id": exchange.request_id,
        "Content-Type": service_call.content_type or "application/octet-stream",
    }
    if exchange.key:
        headers["Idempotency-Key"] = exchange.key
    return Call(
        service_call.method,
        f"{url}?{service_call.query}" if service_call.query else url,
        service_call.body if service_call.body or service_call.method in ("POST", "PUT") else None,
        headers,
        timeout=max(0.001, exchange.left),
    )


def _failure_refusal(detail: str, not_executed: bool) -> Refusal:
    return Refusal(ErrorKind.TARGET_FAILED, detail, Ran.NO if not_executed else Ran.UNKNOWN, 0.5)
