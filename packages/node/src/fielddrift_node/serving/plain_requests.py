"""Serve requests to plain services: each response is read completely before it is sent on.

A target is sent no more requests than it is known to handle well.  Others wait at this node; one
that could not be answered in time is refused at once, with a time after which to return.  A
repeatable request whose target is silent is sent to a second one, and the first response counts.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.placement import PlainTargetState, choose_plain_target
from fielddrift_core.plain_queue import Admission, Decision, Demand, WaitingRequest
from fielddrift_core.prompt_queue import queue_name
from fielddrift_core.stalls import MAX_OVERLAP_SECONDS
from fielddrift_core.target_registry import Instance

from ..web.errors import REPLACED_REASON, ExchangeError
from ..web.exchange import Exchange
from ..web.messages import ResponseHead
from ..web.server import Responder
from .attempts import AttemptFailed, Attempts, Shortage, broken_off, send_once
from .call import Call, Refused, Send, ServingContext, TargetState
from .plain_queues import PlainServiceQueue
from .ports import OutgoingRequest
from .send_watch import SendWatch
from .takeover import Pending, Stall, Takeover

__all__ = ["PlainRequests"]

_TIMEOUT_GOALS = 4.0
"""Time without a response, in the route's latency goals, after which a repeatable request is sent
to another target as well."""
_MIN_TIMEOUT_SECONDS = 0.35
_CHECK_INTERVAL_SECONDS = 0.05
"""Interval at which the first request in the queue looks for room, also without updates: the loads
that other nodes reported expire without an event."""
_NOT_RUN_REASON = "not-started"
"""Reason of a send that its target returned without running it, since it was full."""
_OK = 200
_OTHER_INSTANCE_REASONS = (REPLACED_REASON, "other-weights")
"""Reasons of sends that a target returned for another cause than its load."""


class _Response(NamedTuple):
    head: ResponseHead
    body: bytes


class _PlainSends:
    """The sends of a plain request, as `Takeover` needs them."""

    def __init__(self, *, requests: PlainRequests, call: Call, attempts: Attempts) -> None:
        self._requests = requests
        self._call = call
        self._attempts = attempts

    def start(self, send: Send) -> Pending[_Response]:
        """Send the request to the chosen target."""
        return self._requests.start_pending(self._call, self._attempts, send)

    def replace(self, pending: Pending[Any]) -> Pending[_Response] | Shortage:
        """Start a send beside `pending`, or return why there can be none."""
        if (shortage := self._attempts.replacement_shortage()) is not None:
            return shortage
        instance = self._requests.choose_replacement(self._call, self._attempts)
        if instance is None:
            return Shortage.TARGET
        send = self._attempts.begin_replacement(instance)
        return send if isinstance(send, Shortage) else self.start(send)

    def record_failure(self, pending: Pending[Any], failure: AttemptFailed) -> None:
        """Record a send that failed."""
        self._attempts.record(pending.send, failure)

    def release(self, pending: Pending[Any]) -> None:
        """End a send whose target was silent until another one responded."""
        reason, send = pending.stall.reason, pending.send
        self._requests.record_silence(self._call, send, reason)
        detail, reached = f"target {send.target}: {reason}", send.written_at is not None
        failure = AttemptFailed(detail, reason=reason, reached=reached, not_run=not reached)
        self._attempts.record(send, failure)

    def cancel(self, pending: Pending[Any], reason: str) -> None:
        """End a send that is not needed."""
        self._attempts.cancelled(pending.send, reason)

    def discard(self, pending: Pending[Any]) -> None:
        """Do nothing: a complete response leaves nothing open."""


class PlainRequests:
    """Sends each request to the target with the lowest expected time; retries where allowed."""

    def __init__(self, *, context: ServingContext) -> None:
        self._context = context

    async def serve(self, call: Call, responder: Responder) -> None:
        """Respond to `call`; raise `Refused` if no target can serve it."""
        attempts = Attempts(call=call, context=self._context)
        sends = _PlainSends(requests=self, call=call, attempts=attempts)
        while True:
            instance = await self._place(call, attempts)
            first = sends.start(attempts.begin(instance))
            try:
                answered = await self._takeover(call, sends).result(first)
            except AttemptFailed as failure:
                attempts.check(failure)
                continue
            head, body = answered.task.result()
            call.trace.status = head.status
            call.trace.delivered = answered.send
            if head.status == _OK:
                self._context.streams.begun(call, answered.send)
            headers = self._context.callers.answer_headers(head, call.parsed.request_id)
            responder.send(head.status, headers, body)
            return

    def _takeover(self, call: Call, sends: _PlainSends) -> Takeover:
        return Takeover(
            owner=sends,
            last_heard=self._context.views.responsiveness.last_heard,
            # Engines work on what they were sent until its connection is closed.
            max_overlap=None if call.service.engine is None else MAX_OVERLAP_SECONDS,
            metrics=self._context.metrics,
            request_id=call.parsed.request_id,
        )

    def start_pending(self, call: Call, attempts: Attempts, send: Send) -> Pending[_Response]:
        """Send a request; the result is the complete response.

        It counts as load of its target at once: requests that are placed before its task begins
        must see it.
        """
        stall, workload = Stall(), self._context.views.workload
        workload.begin(send.target, call.trace.key, 0)
        running = workload.burden_of(send.target, send.at).running
        task = asyncio.ensure_future(self._attempt(call, attempts, send, stall, running))
        # A task that is cancelled before it begins does not clean up.
        task.add_done_callback(lambda done: self._end_cancelled(call, send, done))
        return Pending(send, task, stall)

    def _end_cancelled(self, call: Call, send: Send, task: asyncio.Task[_Response]) -> None:
        if task.cancelled():
            self._context.views.workload.end(send.target, call.trace.key)
            self._context.views.plain_queues.of(call.service.name).wake()

    def choose_replacement(self, call: Call, attempts: Attempts) -> Instance | None:
        """Return a target with room beside those that were tried, None if there is none."""
        if self._context.views.plain_queues.of(call.service.name).queue.count_ahead(call.priority):
            return None
        instance = self._choose(call, attempts)
        if instance is None or instance.name in attempts.tried:
            return None
        is_silent = self._context.views.responsiveness.is_unresponsive(instance.name)
        return None if is_silent else instance

    def record_silence(self, call: Call, send: Send, reason: str) -> None:
        """Record that a target did not respond before another one did."""
        now = asyncio.get_running_loop().time()
        self.record_target_failure(send, reason)
        service_queue = self._context.views.plain_queues.of(call.service.name)
        service_queue.queue.lost(_limited(call, send.instance), now)

    def record_target_failure(self, send: Send, reason: str) -> None:
        """Count a failure against the target of a send, unless it had another cause."""
        views = self._context.views
        if views.is_target_failure(send.target, reason=reason, through=send.through):
            views.health.failed(send.target, asyncio.get_running_loop().time())

    # --- choosing and waiting -------------------------------------------------------

    async def _place(self, call: Call, attempts: Attempts) -> Instance:
        """Return the target to send to, once one has room; raise `Refused` if none is in time."""
        service_queue = self._context.views.plain_queues.of(call.service.name)
        if service_queue.queue.count_ahead(call.priority) == 0:
            instance = self._choose(call, attempts)
            if instance is not None:
                return instance
        if all(state.instance.name in attempts.tried for state in self._states(call, attempts)):
            raise attempts.exhausted()
        turn = asyncio.get_running_loop().time()
        if not attempts.tried:
            turn += self._admit(call, attempts, service_queue).wait
        return await self._wait_in_queue(call, attempts, service_queue, turn)

    def _admit(self, call: Call, attempts: Attempts, service_queue: PlainServiceQueue) -> Admission:
        """Raise `Refused` if a request that has to wait would be answered too late."""
        views = self._context.views
        now = asyncio.get_running_loop().time()
        ahead = self._waiting(call, now)
        admission = service_queue.queue.admit(
            self._states(call, attempts),
            rank=call.priority,
            ahead=ahead,
            elapsed=now - call.arrived_at,
            time_left=call.deadline - now,
            latency_goal=call.route.latency_goal,
            now=now,
            rng=self._context.rng,
        )
        if admission.decision is Decision.WAIT:
            return admission
        detail = (
            f"room in {admission.wait:.2f} s behind {ahead} waiting, answer {admission.work:.2f} s "
            f"later, latency goal {call.route.latency_goal:.2f} s, {call.deadline - now:.2f} s "
            f"left, loads up to {views.workload.oldest_report_seconds(now):.2f} s old"
        )
        raise Refused(
            Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, admission.retry_after, admission.reason)
        )

    async def _wait_in_queue(
        self, call: Call, attempts: Attempts, service_queue: PlainServiceQueue, turn: float
    ) -> Instance:
        """Return a target once one has room; raise `Refused` once the deadline cannot be kept."""
        loop = asyncio.get_running_loop()
        queue, queued_at = service_queue.queue, loop.time()
        due = call.arrived_at + call.route.latency_goal
        expires_at = call.deadline - queue.work_seconds
        waiting = WaitingRequest(call.trace.key, call.priority, due, turn)
        workload, name = self._context.views.workload, queue_name(call.service.name, call.priority)
        queue.add(waiting)
        workload.begin(name, waiting.request, 0)
        try:
            while (left := expires_at - loop.time()) > 0:
                if service_queue.is_first(waiting):
                    left = min(left, _CHECK_INTERVAL_SECONDS)
                await service_queue.wait_turn(waiting, left)
                instance = self._choose(call, attempts, waiting)
                if instance is not None:
                    return instance
                if all(
                    state.instance.name in attempts.tried for state in self._states(call, attempts)
                ):
                    raise attempts.exhausted()
                if attempts.tried:
                    # It may only lack room at the targets that it was not sent to before.
                    service_queue.wake(after=waiting)
        finally:
            call.trace.held += loop.time() - queued_at
            queue.remove(waiting)
            workload.end(name, waiting.request)
            service_queue.wake()
        seconds = loop.time() - queued_at
        detail = f"no target had room for {seconds:.2f} s, estimated {turn - queued_at:.2f} s"
        if attempts.tried:
            raise attempts.exhausted(detail)
        retry_after = queue.retry_after(
            time_left=call.deadline - loop.time(), rng=self._context.rng
        )
        raise Refused(Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, retry_after, "plain-expired"))

    def _choose(
        self, call: Call, attempts: Attempts, waiting: WaitingRequest | None = None
    ) -> Instance | None:
        """Return the best target that has room, None if there is none."""
        now = asyncio.get_running_loop().time()
        states = self._states(call, attempts)
        data_centre, rng = self._context.settings.data_centre, self._context.rng
        if call.service.engine is not None:
            # Engines are limited by their memory, and their runs are not counted in this queue.
            return choose_plain_target(
                states, data_centre=data_centre, tried=attempts.tried, rng=rng
            )
        queue = self._context.views.plain_queues.of(call.service.name).queue
        gate = self._context.gate
        open_states = [s for s in states if gate.has_room(call.service, s.instance, now)]
        return queue.choose(
            open_states,
            self._demand(call, states, waiting, now),
            latency_goal=call.route.latency_goal,
            data_centre=data_centre,
            tried=attempts.tried,
            now=now,
            rng=rng,
        )

    def _states(self, call: Call, attempts: Attempts) -> list[PlainTargetState]:
        """Return the states of the targets that this node may send to now."""
        views = self._context.views
        now = asyncio.get_running_loop().time()
        return [
            PlainTargetState(
                i, views.workload.burden_of(i.name, now), views.health.share(i.name, now)
            )
            for i in views.registry.serving(call.service.name)
            if self._context.streams.allows(call, i)
            and self._context.gate.allows(
                call.service, i, now, repeatable=call.route.repeatable, tried=attempts.tried
            )
        ]

    def _demand(
        self,
        call: Call,
        states: list[PlainTargetState],
        waiting: WaitingRequest | None,
        now: float,
    ) -> Demand:
        """Return what shares the targets with a request, which is `waiting` or has just come.

        Requests that wait at other targets than those of `states`, such as unresponsive ones, take
        none of the room, and must not count as this node's part of it.
        """
        views = self._context.views
        workload = views.workload
        own_waiting = views.plain_queues.of(call.service.name).queue.count_ahead(call.priority)
        return Demand(
            own_running=sum(workload.own_of(s.instance.name).running for s in states),
            own_waiting=own_waiting + (waiting is None),
            # The room of brittle targets is divided among the nodes already.
            others_waiting=(
                0
                if views.brittle.is_brittle(call.service.name)
                else self._waiting(call, now) - own_waiting
            ),
            overdue_seconds=now - waiting.turn if waiting and waiting.turn <= now else None,
        )

    def _waiting(self, call: Call, now: float) -> int:
        """Return how many requests of the same or a more urgent rank wait at all nodes."""
        names = [
            queue_name(call.service.name, r) for r in call.catalog.priorities if r <= call.priority
        ]
        workload = self._context.views.workload
        return sum(workload.burden_of(name, now).running for name in names)

    # --- sending ----------------------------------------------------------------------

    async def _attempt(
        self, call: Call, attempts: Attempts, send: Send, stall: Stall, running: int
    ) -> _Response:
        views, instance = self._context.views, send.instance
        loop = asyncio.get_running_loop()
        outgoing = OutgoingRequest(
            call.parsed,
            instance,
            call.deadline - loop.time(),
            call.customer_name,
            resume_after=call.parsed.resume_after if call.route.resumable else "",
        )
        service_queue = views.plain_queues.of(call.service.name)
        # A target sends nothing until a response is complete.  One whose work takes longer than
        # the latency goal is slow, not silent.
        work = service_queue.queue.target_work_seconds(instance.name, loop.time())
        watch = SendWatch(
            views=views,
            metrics=self._context.metrics,
            target=instance.name,
            request=call.trace.key,
            estimate=max(call.route.latency_goal, work),
            on_unresponsive=lambda: stall.notice("unresponsive"),
        )
        overdue = loop.call_later(self._timeout(call), lambda: stall.notice("silent"))
        limited = _limited(call, instance)
        try:
            with watch.over():
                head, body = await self._exchange(call, outgoing, send)
        except AttemptFailed as failure:
            if not (failure.reached and failure.not_run):
                # A target that refuses a request before it runs has not failed.
                self.record_target_failure(send, failure.reason)
            if failure.reason == _NOT_RUN_REASON:
                service_queue.queue.full(limited, loop.time())
            elif failure.reason not in _OTHER_INSTANCE_REASONS:
                service_queue.queue.lost(limited, loop.time())
            raise
        finally:
            overdue.cancel()
            views.workload.end(instance.name, call.trace.key)
            service_queue.wake()
        if head.status >= 500:
            views.health.failed(instance.name, loop.time())
            service_queue.queue.failed_answer(limited)
            if attempts.has_other or attempts.replacement_shortage() is None:
                detail = f"target {instance.name}: status {head.status}"
                raise AttemptFailed(detail, reason="status", reached=True, not_run=False)
        else:
            views.health.succeeded(instance.name, loop.time())
            seconds = loop.time() - send.at
            service_queue.queue.answered(limited, seconds, running=running, now=loop.time())
        return _Response(head, body)

    async def _exchange(
        self, call: Call, outgoing: OutgoingRequest, send: Send
    ) -> tuple[ResponseHead, bytes]:
        exchange, head = await send_once(self._context, outgoing, call, send)
        body = await self._read_body(outgoing, exchange)
        if not send.framed:
            state = await self._context.crashes.confirm_end(send)
            if state is not TargetState.LIVES:
                detail = f"{len(body)} bytes without framing, the target's state is {state}"
                raise AttemptFailed(detail, reason="cut", reached=True, not_run=False)
            send.is_confirmed = True
        return head, body

    async def _read_body(self, outgoing: OutgoingRequest, exchange: Exchange) -> bytes:
        try:
            return await exchange.body()
        except ExchangeError as error:
            raise broken_off(error) from None
        finally:
            exchange.cancel()

    def _timeout(self, call: Call) -> float:
        return max(_MIN_TIMEOUT_SECONDS, _TIMEOUT_GOALS * call.route.latency_goal)


def _limited(call: Call, instance: Instance) -> Instance:
    """Return `instance` as the queue knows it: engines, limited by memory, without their slots."""
    return instance if call.service.engine is None else instance._replace(slots=0)
