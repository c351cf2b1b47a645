"""Tell how one sending to one target failed, and decide whether another may follow."""

from __future__ import annotations

import asyncio

import structlog
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.target_registry import Instance

from ..web.client import Exchange, ExchangeError
from ..web.messages import ResponseHead
from .call import Call, Refused, ServingContext
from .ports import OutgoingRequest, ResponseInfo

__all__ = ["Attempts", "AttemptFailed", "send_once"]

MAX_CONNECT_FAILURES = 4
"""Targets to which no connection came up, before a request is refused."""
CONNECT_TIMEOUT_SECONDS = 0.35
"""A connection within a region takes some ms; a lost opening packet is sent again after 1 s."""
_LEAST_CONNECTIONS = 4
"""Connections to a target that a node may have, however many nodes there are."""
_FAILED = 500
"""The least status that tells that a target failed."""
_UNSAFE_MOST_IDLE = 0.4
"""A kept connection on which something came so recently is still served by its target."""

_log = structlog.get_logger()


class AttemptFailed(Exception):
    """One sending that gave no answer to deliver.

    `reached` is False when no byte left; `not_run` is proof that it did not
    run.  `refused` says that nobody listened at its address.
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
    """Count a request's sendings against its route's limit and the shared budget."""

    def __init__(self, *, call: Call, context: ServingContext) -> None:
        self._call = call
        self._context = context
        self._reached = 0
        self._connects = 0
        self._instance: Instance | None = None
        """The target of the last sending."""
        self.tried: set[str] = set()

    def begin(self, instance: Instance) -> None:
        """Note a sending to a target.

        Raise `Refused` when the budget has no room for it, or the request is held back.
        """
        # Since it came in, it may have ended its targets: at other nodes too.
        self._context.crashes.record_send(self._call)
        now = asyncio.get_running_loop().time()
        budget = self._context.budget(self._call.service.name)
        if self._reached == 0:
            budget.record_first(now)
        elif not budget.spend(now, nodes=self._context.views.nodes):
            raise Refused(self._refusal("repeated sends are used up", None))
        self._context.gate.sent(instance, now)
        self._context.metrics.sends.inc()
        self._instance = instance
        self._call.trace.sent_at = now
        self.tried.add(instance.name)
        self._call.trace.targets.append(instance.name)
        self._call.trace.connection = ""

    def failed(self, failure: AttemptFailed) -> None:
        """Take a failure; raise `Refused` unless another sending may follow."""
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
            answer_begun=call.trace.first_event is not None,
            **call.trace.relay_progress(),
        )
        self._watch(failure)
        if failure.reached:
            self._reached += 1
        else:
            self._connects += 1
        may = failure.not_run or call.route.repeatable
        if (
            not may
            or self._reached >= call.route.attempts
            or self._connects >= MAX_CONNECT_FAILURES
        ):
            raise self.exhausted(str(failure))

    def _watch(self, failure: AttemptFailed) -> None:
        """Tell whoever watches for requests that end their targets."""
        instance = self._instance
        assert instance is not None
        if failure.reached:
            sent_at = self._call.trace.sent_at
            self._context.crashes.failed(self._call, instance, failure.reason, sent_at)
        elif failure.refused:
            self._context.crashes.refused(instance)

    def exhausted(self, detail: str = "no target can take it") -> Refused:
        """Return the end of a request that no target can serve, or go on with.

        Its caller may come back as soon as any target takes requests: what one target asked
        of this node keeps nobody from the others.
        """
        now = asyncio.get_running_loop().time()
        serving = self._context.views.registry.serving(self._call.service.name)
        return Refused(
            self._refusal(detail, self._context.gate.shortest_wait(serving, now) or None)
        )

    def may_retry(self) -> bool:
        """Return whether the route allows another sending."""
        return self._reached + 1 < self._call.route.attempts

    def _refusal(self, detail: str, return_after: float | None) -> Refusal:
        ran = Ran.UNKNOWN if self._call.trace.unproved else Ran.NO
        return Refusal(ErrorKind.NO_TARGET, detail, ran, return_after)


async def send_once(
    context: ServingContext, outgoing: OutgoingRequest, call: Call
) -> tuple[Exchange, ResponseHead]:
    """Send, and return the exchange once its head is here; raise `AttemptFailed`.

    An answer that proves that nothing ran is a failure here.
    """
    address = outgoing.instance.address
    data = context.targets.request(outgoing)
    exchange: Exchange | None = None
    try:
        exchange = await context.client.begin(
            address,
            data,
            connect_seconds=CONNECT_TIMEOUT_SECONDS,
            accepts=lambda head: context.targets.answers(outgoing, head),
            most_open=_most_open(call, context),
            most_idle=None if call.route.repeatable else _UNSAFE_MOST_IDLE,
        )
        call.trace.connection = "kept" if exchange.kept else "new"
        # From here on the request may run, whatever becomes of this task.
        call.trace.unproved += 1
        head = await exchange.head()
    except ExchangeError as error:
        if exchange is not None:
            exchange.cancel()
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
    served = not info.not_started and head.status < _FAILED
    context.notices.heard(
        outgoing.instance, info.notice, served_at=call.trace.sent_at if served else None
    )
    if not info.not_started:
        return exchange, head
    call.trace.unproved -= 1
    await _drain(exchange)
    reason = _not_run_reason(info, outgoing)
    detail = f"target {outgoing.instance.name}: status {head.status}, not run"
    raise AttemptFailed(detail, reason=reason, reached=True, not_run=True)


def _not_run_reason(info: ResponseInfo, outgoing: OutgoingRequest) -> str:
    if not info.misdirected:
        return "not-started"
    if info.instance and info.instance != outgoing.instance.target:
        return "replaced"
    return "other-weights"


def _most_open(call: Call, context: ServingContext) -> int | None:
    """Return this node's part of the connections that a target takes from all callers."""
    if not call.service.connections:
        return None
    return max(_LEAST_CONNECTIONS, call.service.connections // context.views.nodes)


async def _drain(exchange: Exchange) -> None:
    """Read the rest of a short answer, so that its connection can be used again."""
    try:
        async with asyncio.timeout(0.05):
            await exchange.body()
    except (ExchangeError, TimeoutError):
        exchange.cancel()
