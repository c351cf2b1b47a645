"""Send a request to one target, classify failures, and decide whether to send it again."""

from __future__ import annotations

import asyncio
from enum import StrEnum

import structlog
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.stream import StreamError
from fielddrift_core.target_registry import Instance

from ..web.errors import GARBLED_REASON, MEMORY_REASON, REPLACED_REASON, ExchangeError
from ..web.exchange import Exchange
from ..web.messages import Framing, ResponseHead
from .call import Call, Refused, Send, ServingContext
from .ports import OutgoingRequest, ResponseInfo
from .target_paths import ProcessNeed

__all__ = [
    "CONNECTION_LOST_REASONS",
    "AttemptFailed",
    "Attempts",
    "Shortage",
    "broken_off",
    "send_once",
]

MAX_CONNECT_FAILURES = 4
"""Failed connections to targets after which a request is refused."""
_MIN_CONNECTION_COUNT = 4
"""Minimum share of a node in the connections to a target, for any number of nodes."""
_FIRST_SERVER_ERROR_STATUS = 500
"""The lowest status that counts as a failure of the target."""
_NOT_REPEATABLE_MAX_IDLE_SECONDS = 0.4
"""Maximum idle time of a reused connection for a request that must not be sent twice: the target
may have closed a connection that has been idle for longer."""
_CHUNKED = "chunked"
_MAX_REFUSAL_BYTES = 64 * 1024
"""Bytes read of a response which proves that the request did not run."""

CONNECTION_LOST_REASONS = frozenset({"reset", "cut"})
"""Failure reasons of sends whose connection was lost; a crash of the target may explain them."""

_log = structlog.get_logger()


class AttemptFailed(Exception):
    """Raised when one send produced no response that can be relayed.

    `reached` is False if no byte was sent.  `not_run` means that the request provably did not
    run.  `refused` means that the connection was refused.
    """

    def __init__(
        self,
        detail: str,
        *,
        reason: str,
        reached: bool,
        not_run: bool,
        refused: bool = False,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.reached = reached
        self.not_run = not_run
        self.refused = refused


def broken_off(error: ExchangeError | StreamError | AttemptFailed) -> AttemptFailed:
    """Return the failure of a send whose answer broke off with `error` after its head.

    Reasons that say nothing of the target's process are kept; all others count as a cut
    connection, which may show a crash.
    """
    reason = GARBLED_REASON if isinstance(error, StreamError) else error.reason
    if reason not in (GARBLED_REASON, MEMORY_REASON):
        reason = "cut"
    return AttemptFailed(str(error), reason=reason, reached=True, not_run=False)


class Shortage(StrEnum):
    """What keeps a send without progress from being replaced by another one."""

    REPEATABLE_ROUTE = "repeatable-route"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    TARGET = "target"
    HELD_BACK = "held-back"


class Attempts:
    """Counts the sends of a request against its route's limit and the shared retry budget."""

    def __init__(self, *, call: Call, context: ServingContext) -> None:
        self._call = call
        self._context = context
        self._reached = 0
        self._connect_failures = 0
        self._in_flight = 0
        self._retry_reserved = False
        self.tried: set[str] = set()

    def begin(self, instance: Instance) -> Send:
        """Record a send to a target and return it.

        Raise `Refused` if the budget for repeated sends is exhausted or the request is held back.
        """
        # The request may have crashed targets since it arrived, also at other nodes.
        self._context.crashes.record_send(self._call)
        now = asyncio.get_running_loop().time()
        send = Send(instance=instance, at=now)
        budget = self._context.budget(self._call.service.name)
        if not self.tried:
            budget.record_first(now)
        elif self._reached or self._retry_reserved:
            if not self._retry_reserved and not budget.spend(now, nodes=self._context.views.nodes):
                raise Refused(self._refusal("the budget for repeated sends is exhausted", None))
            send.is_budgeted = True
        self._retry_reserved = False
        self._in_flight += 1
        self._context.gate.sent(instance, now)
        self._context.metrics.sends.inc()
        self.tried.add(instance.name)
        self._call.trace.sends.append(send)
        return send

    def begin_replacement(self, instance: Instance) -> Send | Shortage:
        """Record a send that is to replace one in progress; return why there can be none.

        Everything is checked before the send in progress is given up: if it were cancelled first,
        the request might be refused although its response could still arrive.
        """
        if (shortage := self.replacement_shortage()) is not None:
            return shortage
        budget = self._context.budget(self._call.service.name)
        now = asyncio.get_running_loop().time()
        if not budget.spend(now, nodes=self._context.views.nodes):
            return Shortage.BUDGET
        self._retry_reserved = True
        try:
            return self.begin(instance)
        except Refused:
            self._retry_reserved = False
            budget.refund(now)
            return Shortage.HELD_BACK

    def replacement_shortage(self) -> Shortage | None:
        """Return what rules out a replacement for a send in progress, None if nothing does."""
        if not self._call.route.repeatable:
            return Shortage.REPEATABLE_ROUTE
        if not self.may_retry():
            return Shortage.ATTEMPTS
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            return Shortage.TARGET
        budget = self._context.budget(self._call.service.name)
        now = asyncio.get_running_loop().time()
        if not budget.has_room(now, nodes=self._context.views.nodes):
            return Shortage.BUDGET
        return None

    def failed(self, send: Send, failure: AttemptFailed) -> None:
        """Record a failed send; raise `Refused` unless the request may be sent again."""
        self.record(send, failure)
        self.check(failure)

    def record(self, send: Send, failure: AttemptFailed) -> None:
        """Record a failed send."""
        call = self._call
        call.trace.reasons.append(failure.reason)
        self._context.metrics.retries.inc(label_value=failure.reason)
        if send.broke_mid_event:
            self._context.metrics.cut_events.inc()
        _log.info(
            "send failed",
            request=call.parsed.request_id,
            fingerprint=call.fingerprint,
            target=send.target,
            software=send.instance.software,
            reason=failure.reason,
            detail=str(failure),
            not_run=failure.not_run,
            after_ms=_age_ms(send),
            connection=send.connection,
            through=send.through,
            answer_begun=call.trace.first_event is not None,
            **call.trace.relay_progress(send),
        )
        self._report_failure(send, failure)
        # Does not count as a failed connection: other targets may well be reached.
        connect_failed = failure.reason != REPLACED_REASON
        self._count_end(send, reached=failure.reached, connect_failed=connect_failed)

    def check(self, failure: AttemptFailed) -> None:
        """Raise `Refused` if the request may not be sent again after `failure`."""
        retryable = failure.not_run or self._call.route.repeatable
        if (
            not retryable
            or self._reached >= self._call.route.attempts
            or self._connect_failures >= MAX_CONNECT_FAILURES
        ):
            raise self.exhausted(str(failure))

    def cancelled(self, send: Send, reason: str) -> None:
        """Record a replacement that this node cancelled, since the send before it progressed."""
        call = self._call
        self._context.metrics.cancelled_sends.inc(label_value=reason)
        _log.info(
            "send cancelled",
            request=call.parsed.request_id,
            target=send.target,
            reason=reason,
            after_ms=_age_ms(send),
            connection=send.connection,
            through=send.through,
            written=send.written_at is not None,
        )
        if send.written_at is None:
            # Its target may still be used: nothing is known against it.
            self.tried.discard(send.target)
        self._count_end(send, reached=send.written_at is not None, connect_failed=False)

    def _count_end(self, send: Send, *, reached: bool, connect_failed: bool = True) -> None:
        self._in_flight -= 1
        if reached:
            self._reached += 1
            return
        self._connect_failures += connect_failed
        if send.is_budgeted:
            self._context.budget(self._call.service.name).refund(send.at)

    def _report_failure(self, send: Send, failure: AttemptFailed) -> None:
        """Report the failure to the detection of requests that crash their targets."""
        is_replaced = failure.reason == REPLACED_REASON
        if is_replaced:
            self._context.notices.replaced(send.instance)
        if failure.reached or is_replaced:
            self._context.crashes.failed(self._call, send.instance, failure.reason, send.at)
        elif failure.refused:
            self._context.crashes.refused(send.instance)

    def exhausted(self, detail: str = "no target can take it") -> Refused:
        """Return the refusal of a request that no target can serve or resume.

        Its retry time is when any target accepts requests: a pause that one target asked for
        does not apply to the others.
        """
        now = asyncio.get_running_loop().time()
        serving = self._context.views.registry.serving(self._call.service.name)
        return Refused(
            self._refusal(detail, self._context.gate.shortest_wait(serving, now) or None)
        )

    @property
    def has_other(self) -> bool:
        """Return whether more than one send is in progress."""
        return self._in_flight > 1

    def may_retry(self) -> bool:
        """Return whether the route allows a send beside the one in progress."""
        return self._reached + max(1, self._in_flight) < self._call.route.attempts

    def _refusal(self, detail: str, return_after: float | None) -> Refusal:
        ran = Ran.UNKNOWN if self._call.trace.unproved else Ran.NO
        return Refusal(ErrorKind.NO_TARGET, detail, ran, return_after)


def _process_need(call: Call, outgoing: OutgoingRequest) -> ProcessNeed:
    """Return whether a request depends on the process that runs it: events of a stream do."""
    if not call.is_resumable_stream:
        return ProcessNeed.NONE
    return ProcessNeed.ALWAYS if outgoing.resume_after else ProcessNeed.IF_IDENTIFIED


def _age_ms(send: Send) -> int:
    return round((asyncio.get_running_loop().time() - send.at) * 1000)


async def send_once(
    context: ServingContext, outgoing: OutgoingRequest, call: Call, send: Send
) -> tuple[Exchange, ResponseHead]:
    """Send a request; return the exchange and the response head, or raise `AttemptFailed`.

    A response which proves that the request did not run is a failure.
    """
    name = outgoing.instance.name
    data = context.targets.request(outgoing)
    responsiveness, loop = context.views.responsiveness, asyncio.get_running_loop()
    exchange: Exchange | None = None

    def on_bytes() -> None:
        responsiveness.heard(name, loop.time())
        if exchange is not None and not exchange.through:
            context.views.direct_paths.heard(loop.time())

    try:
        exchange = await context.paths.begin(
            outgoing.instance,
            data,
            accepts=lambda head: context.targets.answers(outgoing, head),
            on_bytes=on_bytes,
            max_connections=_max_connections(call, context),
            max_idle_seconds=_max_idle_seconds(call),
            request_id=outgoing.parsed.request_id,
            process_need=_process_need(call, outgoing),
        )
        send.is_process_unknown = call.is_resumable_stream and context.paths.is_process_unknown(
            outgoing.instance, exchange
        )
        send.connection = "kept" if exchange.kept else "new"
        send.through = exchange.through
        send.carrier_process = exchange.carrier_process
        send.written_at = loop.time()
        # From here on the request may run, even if this task is cancelled.
        call.trace.unproved += 1
        head = await exchange.head()
    except ExchangeError as error:
        if exchange is not None:
            exchange.cancel()
        if error.connect_timed_out:
            responsiveness.connect_timed_out(name, call.trace.key, loop.time())
        raise AttemptFailed(
            str(error),
            reason=error.reason,
            reached=error.sent,
            not_run=not error.sent,
            refused=error.refused,
        ) from None
    except asyncio.CancelledError:
        if exchange is not None:
            exchange.cancel()
        raise
    answers_head = call.parsed.request.head.method == b"HEAD"
    send.framed = answers_head or head.framing is not Framing.CLOSE
    info = context.targets.response_info(outgoing, head)
    served = not info.not_started and head.status < _FIRST_SERVER_ERROR_STATUS
    context.notices.heard(outgoing.instance, info.notice, served_at=send.at if served else None)
    if info.rejected:
        context.views.brittle.rejected(name, loop.time())
    if not info.not_started:
        if detail := _garbling(head) or context.targets.garbling(outgoing, head):
            exchange.cancel()
            detail = f"target {name}: status {head.status}, {detail}"
            raise AttemptFailed(detail, reason="garbled", reached=True, not_run=False)
        return exchange, head
    call.trace.unproved -= 1
    await _read_rest(exchange)
    reason = _not_run_reason(info, outgoing)
    detail = f"target {outgoing.instance.name}: status {head.status}, not run"
    raise AttemptFailed(detail, reason=reason, reached=True, not_run=True)


def _garbling(head: ResponseHead) -> str:
    """Return why the body of a response cannot be passed on as it is, empty if it can."""
    coding = head.headers.text(b"transfer-encoding").lower()
    if coding in ("", _CHUNKED):
        return ""
    # The field is not forwarded, and no coding but this one is decoded.
    return f"transfer-encoding {coding[:40]!r}, expected {_CHUNKED}"


def _not_run_reason(info: ResponseInfo, outgoing: OutgoingRequest) -> str:
    if not info.misdirected:
        return "not-started"
    if info.instance and info.instance != outgoing.instance.target:
        return REPLACED_REASON
    return "other-weights"


def _max_connections(call: Call, context: ServingContext) -> int | None:
    """Return this node's share of the connections that a target accepts, None for no limit."""
    if not call.service.connections:
        return None
    return max(_MIN_CONNECTION_COUNT, call.service.connections // context.views.nodes)


def _max_idle_seconds(call: Call) -> float | None:
    """Return the maximum idle time of a connection for the next send, None for the usual one."""
    if call.trace.reasons and call.trace.reasons[-1] in CONNECTION_LOST_REASONS:
        # Connections to several targets are often lost together, which shows only when they are
        # used.  A new one fails before the request is sent, and uses up no attempt.
        return 0.0
    return None if call.route.repeatable else _NOT_REPEATABLE_MAX_IDLE_SECONDS


async def _read_rest(exchange: Exchange) -> None:
    """Read the rest of a short response, so that its connection can be reused."""
    try:
        async with asyncio.timeout(0.05):
            await exchange.body(max_bytes=_MAX_REFUSAL_BYTES)
    except (ExchangeError, TimeoutError):
        pass
    finally:
        # Also if this task is cancelled: the connection would stay open and count for ever.
        exchange.cancel()
