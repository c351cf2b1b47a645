"""Serve requests to plain services: each response is read completely before it is sent on."""

from __future__ import annotations

import asyncio

from fielddrift_core.placement import PlainTargetState, choose_plain_target
from fielddrift_core.target_registry import Instance

from ..web.client import Exchange, ExchangeError
from ..web.messages import ResponseHead
from ..web.server import Responder
from .attempts import AttemptFailed, Attempts, send_once
from .call import Call, ServingContext
from .ports import OutgoingRequest
from .send_watch import SendWatch

__all__ = ["PlainRequests"]

_TIMEOUT_GOALS = 4.0
"""Time without a response, in the route's latency goals, after which a repeatable request is sent
to another target."""
_MIN_TIMEOUT_SECONDS = 0.35


class PlainRequests:
    """Sends each request to the target with the lowest expected time; retries where allowed."""

    def __init__(self, *, context: ServingContext) -> None:
        self._context = context

    async def serve(self, call: Call, responder: Responder) -> None:
        """Respond to `call`; raise `Refused` if no target can serve it."""
        attempts = Attempts(call=call, context=self._context)
        while True:
            instance = self._choose(call, attempts.tried)
            if instance is None:
                raise attempts.exhausted()
            attempts.begin(instance)
            try:
                head, body = await self._attempt(call, instance, attempts)
            except AttemptFailed as failure:
                attempts.failed(failure)
                continue
            call.trace.status = head.status
            headers = self._context.callers.answer_headers(head, call.parsed.request_id)
            responder.send(head.status, headers, body)
            return

    def _choose(self, call: Call, tried: set[str]) -> Instance | None:
        views = self._context.views
        now = asyncio.get_running_loop().time()
        states = [
            PlainTargetState(
                i, views.workload.burden_of(i.name, now), views.health.share(i.name, now)
            )
            for i in views.registry.serving(call.service.name)
            if self._context.gate.allows(
                call.service, i, now, repeatable=call.route.repeatable, tried=tried
            )
        ]
        return choose_plain_target(
            states,
            data_centre=self._context.settings.data_centre,
            tried=tried,
            rng=self._context.rng,
        )

    async def _attempt(
        self, call: Call, instance: Instance, attempts: Attempts
    ) -> tuple[ResponseHead, bytes]:
        views, may_retry = self._context.views, attempts.may_retry()
        loop = asyncio.get_running_loop()
        outgoing = OutgoingRequest(
            call.parsed, instance, call.deadline - loop.time(), call.customer_name
        )
        watch = SendWatch(
            views=views,
            metrics=self._context.metrics,
            target=instance.name,
            request=call.trace.key,
            estimate=call.route.latency_goal,
            reserve_retry=attempts.reserve_retry,
        )
        views.workload.begin(instance.name, call.trace.key, 0)
        try:
            async with asyncio.timeout(self._timeout(call) if may_retry else None) as limit:
                with watch.over(limit):
                    head, body = await self._exchange(call, outgoing)
        except TimeoutError:
            reason = "unresponsive" if watch.moved else "silent"
            if not watch.moved:
                views.health.failed(instance.name, loop.time())
            raise AttemptFailed(
                f"target {instance.name}: {reason}", reason=reason, reached=True, not_run=False
            ) from None
        except AttemptFailed as failure:
            if not (failure.reached and failure.not_run):
                # A target that refuses a request before it runs has not failed.
                views.health.failed(instance.name, loop.time())
            if failure.reason == "replaced":
                views.registry.left(instance.name)
            raise
        finally:
            views.workload.end(instance.name, call.trace.key)
        if head.status >= 500:
            views.health.failed(instance.name, loop.time())
            if may_retry and call.route.repeatable:
                detail = f"target {instance.name}: status {head.status}"
                raise AttemptFailed(detail, reason="status", reached=True, not_run=False)
        else:
            views.health.succeeded(instance.name, loop.time())
        return head, body

    async def _exchange(self, call: Call, outgoing: OutgoingRequest) -> tuple[ResponseHead, bytes]:
        exchange, head = await send_once(self._context, outgoing, call)
        return head, await self._read_body(outgoing, exchange)

    async def _read_body(self, outgoing: OutgoingRequest, exchange: Exchange) -> bytes:
        try:
            return await exchange.body()
        except ExchangeError as error:
            raise AttemptFailed(str(error), reason="cut", reached=True, not_run=False) from None
        finally:
            exchange.cancel()

    def _timeout(self, call: Call) -> float | None:
        if not call.route.repeatable:
            return None
        return max(_MIN_TIMEOUT_SECONDS, _TIMEOUT_GOALS * call.route.latency_goal)
