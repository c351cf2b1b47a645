"""Send a request to one target, classify failures, and decide whether to retry."""

from __future__ import annotations

import asyncio

import structlog
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.target_registry import Instance

from ..web.client import Exchange, ExchangeError
from ..web.messages import ResponseHead
from .call import Call, Refused, ServingContext
from .ports import OutgoingRequest, ResponseInfo

__all__ = ["CONNECTION_LOST_REASONS", "AttemptFailed", "Attempts", "send_once"]

MAX_CONNECT_FAILURES = 4
"""Failed connections to targets after which a request is refused."""
_MIN_CONNECTION_COUNT = 4
"""Minimum share of a node in the connections to a target, for any number of nodes."""
_FIRST_SERVER_ERROR_STATUS = 500
"""The lowest status that counts as a failure of the target."""
_NOT_REPEATABLE_MAX_IDLE_SECONDS = 0.4
"""Maximum idle time of a reused connection for a request that must not be sent twice: the target
may have closed a connection that has been idle for longer."""

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


class Attempts:
    """Counts the sends of a request against its route's limit and the shared retry budget."""

    def __init__(self, *, call: Call, context: ServingContext) -> None:
        self._call = call
        self._context = context
        self._reached = 0
        self._connect_failures = 0
        self._retry_reserved = False
        self._instance: Instance | None = None
        """The target of the last send."""
        self.tried: set[str] = set()

    def begin(self, instance: Instance) -> None:
        """Record a send to a target.

        Raise `Refused` if the budget for repeated sends is exhausted or the request is held back.
        """
        # The request may have crashed targets since it arrived, also at other nodes.
        self._context.crashes.record_send(self._call)
        now = asyncio.get_running_loop().time()
        budget = self._context.budget(self._call.service.name)
        if not self.tried:
            budget.record_first(now)
        elif (
            self._reached
            and not self._retry_reserved
            and not budget.spend(now, nodes=self._context.views.nodes)
        ):
            raise Refused(self._refusal("the budget for repeated sends is exhausted", None))
        self._retry_reserved = False
        self._context.gate.sent(instance, now)
        self._context.metrics.sends.inc()
        self._instance = instance
        self._call.trace.sent_at = now
        self.tried.add(instance.name)
        self._call.trace.targets.append(instance.name)
        self._call.trace.connection = ""
        self._call.trace.through = ""

    def failed(self, failure: AttemptFailed) -> None:
        """Record a failed send; raise `Refused` unless the request may be retried."""
        call = self._call
        call.trace.reasons.append(failure.reason)
        self._context.metrics.retries.inc(label_value=failure.reason)
        if call.trace.broke_mid_event:
            self._context.metrics.cut_events.inc()
        _log.info(
            "send failed",
            request=call.parsed.request_id,
            fingerprint=call.fingerprint,
            target=call.trace.targets[-1],
            reason=failure.reason,
            detail=str(failure),
            not_run=failure.not_run,
            after_ms=round((asyncio.get_running_loop().time() - call.trace.sent_at) * 1000),
            connection=call.trace.connection,
            through=call.trace.through,
            answer_begun=call.trace.first_event is not None,
            **call.trace.relay_progress(),
        )
        self._report_failure(failure)
        if failure.reached:
            self._reached += 1
        else:
            self._connect_failures += 1
        retryable = failure.not_run or call.route.repeatable
        if (
            not retryable
            or self._reached >= call.route.attempts
            or self._connect_failures >= MAX_CONNECT_FAILURES
        ):
            raise self.exhausted(str(failure))

    def _report_failure(self, failure: AttemptFailed) -> None:
        """Report the failure to the detection of requests that crash their targets."""
        instance = self._instance
        assert instance is not None
        if failure.reached:
            sent_at = self._call.trace.sent_at
            self._context.crashes.failed(self._call, instance, failure.reason, sent_at)
        elif failure.refused:
            self._context.crashes.refused(instance)

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

    def reserve_retry(self) -> bool:
        """Return whether a send that waits may be repeated at another target instead.

        If so, the repeated send is taken from the budget now: if the send were cancelled first,
        the request might be refused although its response could still arrive.
        """
        call, views, now = self._call, self._context.views, asyncio.get_running_loop().time()
        if not call.route.repeatable or not self.may_retry():
            return False
        has_other = any(
            instance.name not in self.tried
            and not views.responsiveness.is_unresponsive(instance.name)
            and self._context.gate.allows(call.service, instance, now, repeatable=True)
            for instance in views.registry.serving(call.service.name)
        )
        budget = self._context.budget(call.service.name)
        self._retry_reserved = has_other and budget.spend(now, nodes=views.nodes)
        return self._retry_reserved

    def may_retry(self) -> bool:
        """Return whether the route allows another send."""
        return self._reached + 1 < self._call.route.attempts

    def _refusal(self, detail: str, return_after: float | None) -> Refusal:
        ran = Ran.UNKNOWN if self._call.trace.unproved else Ran.NO
        return Refusal(ErrorKind.NO_TARGET, detail, ran, return_after)


async def send_once(
    context: ServingContext, outgoing: OutgoingRequest, call: Call
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
        )
        call.trace.connection = "kept" if exchange.kept else "new"
        call.trace.through = exchange.through
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
    call.trace.framed = head.framed
    info = context.targets.response_info(outgoing, head)
    served = not info.not_started and head.status < _FIRST_SERVER_ERROR_STATUS
    context.notices.heard(
        outgoing.instance, info.notice, served_at=call.trace.sent_at if served else None
    )
    if info.rejected:
        context.views.brittle.rejected(name, loop.time())
    if not info.not_started:
        return exchange, head
    call.trace.unproved -= 1
    await _read_rest(exchange)
    reason = _not_run_reason(info, outgoing)
    detail = f"target {outgoing.instance.name}: status {head.status}, not run"
    raise AttemptFailed(detail, reason=reason, reached=True, not_run=True)


def _not_run_reason(info: ResponseInfo, outgoing: OutgoingRequest) -> str:
    if not info.misdirected:
        return "not-started"
    if info.instance and info.instance != outgoing.instance.target:
        return "replaced"
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
            await exchange.body()
    except (ExchangeError, TimeoutError):
        pass
    finally:
        # Also if this task is cancelled: the connection would stay open and count for ever.
        exchange.cancel()
