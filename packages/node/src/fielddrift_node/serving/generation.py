"""Serve prompts: choose an engine and stored parts, and relay the engine's events.

The response head is sent with the first event.  If a run fails, it is resumed after the last
complete event where the route allows that; otherwise the response to the caller is cut off.  A run
that only makes no progress is kept until another one does.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import structlog
from fielddrift_core.placement import EngineChoice, transfer_seconds
from fielddrift_core.stalls import MAX_OVERLAP_SECONDS, replacement_delay
from fielddrift_core.stream import EventFramer, StreamError, first_event_id
from fielddrift_core.target_registry import Instance
from fielddrift_core.urgency import urgency

from ..web.errors import REPLACED_REASON, ExchangeError
from ..web.exchange import Exchange
from ..web.messages import ResponseHead
from ..web.server import Responder
from .attempts import AttemptFailed, Attempts, Shortage, broken_off, send_once
from .call import Call, Send, ServingContext, TargetState, short_id
from .part_transfers import PartTransferPlanner
from .ports import OutgoingRequest
from .prompt_placement import FIRST_EVENT_TIMEOUT_ESTIMATES, Placement
from .send_watch import SendWatch
from .stale_weights import StaleWeightsTimeout
from .takeover import Pending, Stall, Takeover

__all__ = ["Generation"]

_MIN_AVOID_SECONDS = 0.3
"""Minimum time for which an engine that rejected a request is avoided."""
_MAX_AVOID_SECONDS = 2.0
"""Maximum of that time where the engine asks for a longer pause: nodes whose requests it did not
reject use it again after this time."""
_FIRST_EVENT_TIMEOUT_GOALS = 2.0
"""Time without a first event, in latency goals, after which a run gets a replacement."""
_LOST_TARGET_LATENCY_GOALS = 2.0
_LOST_TARGET_GAP_GOALS = 3.0
"""Time without a further event after which a run at an engine that this node has lost gets a
replacement, the longer of these: its next event is not to be expected."""

_OK = 200

_log = structlog.get_logger()


class _SendEffects(NamedTuple):
    """The ids of the parts that an engine should keep in memory and save because of a send."""

    send_number: int
    salt: str
    kept: list[str]
    saved: list[str]


class _Run(NamedTuple):
    """A run at one engine; `ended` is empty until the run has been counted as ended."""

    send: Send
    choice: EngineChoice
    exchange: Exchange
    head: ResponseHead
    first: bytes
    framer: EventFramer
    started_at: float
    ended: list[bool]


class _PromptSends:
    """The sends of a prompt that continue behind one event, as `Takeover` needs them.

    `after` is the id of that event, empty before the first; `run` the run whose events are relayed.
    """

    def __init__(
        self,
        *,
        generation: Generation,
        call: Call,
        attempts: Attempts,
        after: str,
        run: _Run | None = None,
    ) -> None:
        self._generation = generation
        self._call = call
        self._attempts = attempts
        self._after = after
        self._run = run

    def start(self, choice: EngineChoice, send: Send) -> Pending[_Run]:
        """Start a run at the chosen engine."""
        return self._generation.start_pending(
            self._call, choice, self._attempts, send, after=self._after
        )

    def replace(self, pending: Pending[Any]) -> Pending[_Run] | Shortage:
        """Start a run that may replace `pending`, or return why there can be none."""
        if (shortage := self._attempts.replacement_shortage()) is not None:
            return shortage
        choice = self._generation.choose_replacement(self._call, self._attempts, after=self._after)
        if choice is None:
            return Shortage.TARGET
        send = self._attempts.begin_replacement(choice.instance)
        return send if isinstance(send, Shortage) else self.start(choice, send)

    def record_failure(self, pending: Pending[Any], failure: AttemptFailed) -> None:
        """Record a run that failed."""
        send = pending.send
        self._generation.record_failure(self._call, send.instance, failure, send)
        self._attempts.record(send, failure)

    def release(self, pending: Pending[Any]) -> None:
        """End a run without progress."""
        reason, send = pending.stall.reason, pending.send
        detail, reached = f"target {send.target}: {reason}", send.written_at is not None
        failure = AttemptFailed(detail, reason=reason, reached=reached, not_run=not reached)
        self.record_failure(pending, failure)
        if self._run is not None and self._run.send is send:
            self._generation.end_run(self._call, self._run)

    def cancel(self, pending: Pending[Any], reason: str) -> None:
        """End a run that is not needed."""
        self.discard(pending)
        self._attempts.cancelled(pending.send, reason)

    def discard(self, pending: Pending[Any]) -> None:
        """End a run that has begun and is not used."""
        if pending.succeeded and isinstance(run := pending.task.result(), _Run):
            self._generation.end_run(self._call, run)


def _is_event_stream(head: ResponseHead) -> bool:
    """Return whether `head` starts an event stream, not another kind of response."""
    return head.status == _OK and head.length is None


def _callers_last_event_id(call: Call) -> str:
    """Return the id of the last event that the caller received earlier, empty for none.

    Without it, a caller that lacks only the end of the stream would be refused, since an empty
    remainder looks like a failed run.
    """
    return call.parsed.resume_after if call.route.resumable else ""


class Generation:
    """Serve prompts on engines."""

    def __init__(self, *, context: ServingContext) -> None:
        self._context = context
        self._transfers = PartTransferPlanner(views=context.views)
        self._placement = Placement(context=context, kept=self._transfers)

    async def serve(self, call: Call, responder: Responder) -> None:
        """Respond to `call`; raise `Refused` if no engine can serve it."""
        attempts = Attempts(call=call, context=self._context)
        run = await self._start_run(call, attempts, after="")
        try:
            call.trace.status = run.head.status
            call.trace.first_event = asyncio.get_running_loop().time()
            headers = self._context.callers.answer_headers(run.head, call.parsed.request_id)
            responder.start(run.head.status, headers, run.head.length)
            responder.write(run.first)
            if not _is_event_stream(run.head):
                await self._relay_plain(call, run, responder, attempts)
                return
            while (following := await self._relay(call, run, responder, attempts)) is not None:
                self.end_run(call, run)
                run = following
                responder.write(run.first)
            responder.end()
        finally:
            self.end_run(call, run)

    # --- starting -------------------------------------------------------------

    async def _start_run(self, call: Call, attempts: Attempts, *, after: str) -> _Run:
        """Return a run that has produced its first complete event; raise `Refused`.

        `after` is the id of the last event that the caller received, empty before the first.
        """
        sends = _PromptSends(generation=self, call=call, attempts=attempts, after=after)
        while True:
            choice = await self._placement.place(call, attempts, resumes=after != "")
            first = sends.start(choice, attempts.begin(choice.instance))
            try:
                run: _Run = (await self._takeover(call, sends).result(first)).task.result()
            except AttemptFailed as failure:
                attempts.check(failure)
            else:
                self._record_run(call, run, after)
                return run

    def _takeover(self, call: Call, sends: _PromptSends) -> Takeover:
        return Takeover(
            owner=sends,
            last_heard=self._context.views.responsiveness.last_heard,
            max_overlap=MAX_OVERLAP_SECONDS,
            metrics=self._context.metrics,
            request_id=call.parsed.request_id,
        )

    def start_pending(
        self, call: Call, choice: EngineChoice, attempts: Attempts, send: Send, *, after: str
    ) -> Pending[_Run]:
        """Start a run; the result is the run once it has produced its first complete event.

        The run counts as load of its engine at once: requests that are placed before its task
        begins must see it.
        """
        stall = Stall()
        outgoing = self._build_request(call, choice, send, after)
        effects = self._record_send(call, choice, outgoing)
        send.framer = EventFramer(after=after or _callers_last_event_id(call))
        attempt = self._attempt(call, choice, attempts, send, stall, outgoing, effects, after=after)
        task = asyncio.ensure_future(attempt)
        # A task that is cancelled before it begins does not clean up.
        task.add_done_callback(lambda done: self._end_cancelled(call, send, done))
        return Pending(send, task, stall)

    def _end_cancelled(self, call: Call, send: Send, task: asyncio.Task[_Run]) -> None:
        if task.cancelled():
            self._context.views.workload.end(send.target, call.trace.key)

    def choose_replacement(
        self, call: Call, attempts: Attempts, *, after: str
    ) -> EngineChoice | None:
        """Return an engine for a run that may replace one without progress, None for none."""
        return self._placement.replacement(call, attempts, resumes=after != "")

    async def _attempt(
        self,
        call: Call,
        choice: EngineChoice,
        attempts: Attempts,
        send: Send,
        stall: Stall,
        outgoing: OutgoingRequest,
        effects: _SendEffects,
        *,
        after: str,
    ) -> _Run:
        context, framer, name = self._context, send.framer, choice.instance.name
        assert framer is not None
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        weights_timeout = self._stale_weights_timeout(call, outgoing)
        watch = SendWatch(
            views=context.views,
            metrics=context.metrics,
            target=name,
            request=call.trace.key,
            estimate=choice.seconds,
            on_unresponsive=lambda: stall.notice("unresponsive"),
        )
        overdue = loop.call_later(
            self._first_event_timeout(call, choice), lambda: stall.notice("silent")
        )
        exchange: Exchange | None = None
        ok = False
        try:
            async with asyncio.timeout(None) as limit:
                with weights_timeout.over(limit), watch.over():
                    exchange, head = await send_once(context, outgoing, call, send)
                    first = await self._read_first_events(exchange, head, framer)
            ok = True
        except TimeoutError:
            detail = f"target {name}: no event, outdated"
            is_sent = send.written_at is not None
            raise AttemptFailed(
                detail, reason="outdated", reached=is_sent, not_run=not is_sent
            ) from None
        except (ExchangeError, StreamError) as error:
            raise broken_off(error) from None
        except AttemptFailed as failure:
            if failure.not_run:
                self._undo_send(name, effects)
            raise
        finally:
            overdue.cancel()
            if not ok:
                framer.discard()
                context.views.workload.end(name, call.trace.key)
                if exchange is not None:
                    exchange.cancel()
        resume_unusable = after != "" and not _is_event_stream(head)
        can_replace = attempts.has_other or attempts.replacement_shortage() is None
        if resume_unusable or (head.status >= 500 and can_replace):
            context.views.workload.end(name, call.trace.key)
            exchange.cancel()
            detail = f"target {name}: status {head.status}"
            raise AttemptFailed(detail, reason="status", reached=True, not_run=False)
        self._record_first_event(call, choice, started_at)
        if head.status < 500:
            context.views.health.succeeded(name, loop.time())
        self._record_reported_weights(call, outgoing, head)
        return _Run(send, choice, exchange, head, first, framer, started_at, [])

    async def _read_first_events(
        self, exchange: Exchange, head: ResponseHead, framer: EventFramer
    ) -> bytes:
        """Return the first complete events, or the first bytes of a response without events.

        Return empty bytes if a resumed run ends at once, since all events were received before.
        """
        if not _is_event_stream(head):
            return await exchange.read()
        while True:
            data = await exchange.read()
            if not data and framer.last and framer.may_end:
                # The failed run had sent all its events; only the end of the stream was lost.
                return b""
            if not data:
                raise ExchangeError("ended before its first event", sent=True, reason="cut")
            ready = framer.feed(data)
            exchange.retain(framer.partial_bytes)
            if ready:
                return ready

    def _stale_weights_timeout(self, call: Call, outgoing: OutgoingRequest) -> StaleWeightsTimeout:
        prompt = call.parsed.prompt
        assert prompt is not None and outgoing.weights is not None
        return StaleWeightsTimeout(
            views=self._context.views,
            model=prompt.model,
            weights=outgoing.weights,
            bound=self._context.settings.bounds.weights,
        )

    def _first_event_timeout(self, call: Call, choice: EngineChoice) -> float:
        return max(
            _FIRST_EVENT_TIMEOUT_GOALS * call.route.latency_goal,
            FIRST_EVENT_TIMEOUT_ESTIMATES * choice.seconds,
        )

    # --- relaying -------------------------------------------------------------

    async def _relay_plain(
        self, call: Call, run: _Run, responder: Responder, attempts: Attempts
    ) -> None:
        """Relay a response without events; raise `Refused` if it is cut off."""
        try:
            while data := await run.exchange.read():
                responder.write(data)
                await responder.drain()
            if not await self._is_complete(call, run):
                raise AttemptFailed(
                    "not known to be complete", reason="cut", reached=True, not_run=False
                )
        except (ExchangeError, AttemptFailed) as error:
            failure = broken_off(error)
            self.record_failure(call, run.choice.instance, failure, run.send)
            attempts.failed(run.send, failure)
            # Part of the response was sent, so it cannot be replaced by another one.
            raise attempts.exhausted(str(failure)) from None
        run.send.generated = run.head.status == _OK
        responder.end()

    async def _relay(
        self, call: Call, run: _Run, responder: Responder, attempts: Attempts
    ) -> _Run | None:
        """Relay events; return None at the end of the stream, else the run to continue with."""
        framer = run.framer
        try:
            while True:
                result = await self._read(call, run, attempts)
                if isinstance(result, _Run):
                    return result
                if not result:
                    break
                ready = framer.feed(result)
                run.exchange.retain(framer.partial_bytes)
                if ready:
                    responder.write(ready)
                    await responder.drain()
            if framer.may_end and await self._is_complete(call, run):
                run.send.generated = framer.events > 0
                return None
            detail = "not known to be complete" if framer.may_end else "ended inside an event"
            failure = AttemptFailed(detail, reason="cut", reached=True, not_run=False)
            self.record_failure(call, run.choice.instance, failure, run.send)
            attempts.record(run.send, failure)
        except (ExchangeError, StreamError) as error:
            failure = broken_off(error)
            self.record_failure(call, run.choice.instance, failure, run.send)
            attempts.record(run.send, failure)
        except AttemptFailed as recorded:
            failure = recorded
        self.end_run(call, run)
        attempts.check(failure)
        if not framer.resumable:
            # Resuming after the last id, or from the start, would repeat events to the caller.
            raise attempts.exhausted("a run whose events lack rising ids cannot be resumed")
        return await self._start_run(call, attempts, after=framer.last)

    async def _is_complete(self, call: Call, run: _Run) -> bool:
        """Return whether the end of a run is that of its response, not of its target."""
        if run.send.framed:
            return True
        # Its memory at the engine is free already.
        self.end_run(call, run)
        state = await self._context.crashes.confirm_end(run.send)
        run.send.is_confirmed = state is TargetState.LIVES
        return run.send.is_confirmed

    async def _read(self, call: Call, run: _Run, attempts: Attempts) -> bytes | _Run:
        """Return bytes of a run, or the run that takes over because this one is silent.

        Raise `ExchangeError` if the run is cut off while nothing was to replace it, and
        `AttemptFailed`, which has been recorded, if it is cut off after that.
        """
        framer = run.framer
        can_resume = call.route.resumable and framer.last != "" and framer.resumable
        if not can_resume or not attempts.may_retry():
            return await run.exchange.read()
        goals = call.route.latency_goal, call.route.gap_goal
        delay = replacement_delay(latency_goal=goals[0], gap_goal=goals[1])
        lost_delay = min(
            delay, max(_LOST_TARGET_LATENCY_GOALS * goals[0], _LOST_TARGET_GAP_GOALS * goals[1])
        )
        try:
            async with asyncio.timeout(lost_delay):
                return await run.exchange.read()
        except TimeoutError:
            pass
        if not self._is_lost(run):
            try:
                async with asyncio.timeout(delay - lost_delay):
                    return await run.exchange.read()
            except TimeoutError:
                pass
        return await self._read_or_replace(call, run, attempts)

    def _is_lost(self, run: _Run) -> bool:
        """Return whether the engine of a run has ended, or can no longer be reached directly."""
        views, name = self._context.views, run.choice.instance.name
        return views.registry.get(name) is None or (
            not run.send.through and views.direct_paths.is_interrupted(name)
        )

    async def _read_or_replace(self, call: Call, run: _Run, attempts: Attempts) -> bytes | _Run:
        async def read() -> bytes:
            try:
                return await run.exchange.read()
            except ExchangeError as error:
                raise broken_off(error) from None

        after = run.framer.last
        sends = _PromptSends(generation=self, call=call, attempts=attempts, after=after, run=run)
        reading = Pending(run.send, asyncio.ensure_future(read()), Stall(reason="silent"))
        settled = await self._takeover(call, sends).result(reading)
        result: bytes | _Run = settled.task.result()
        if isinstance(result, _Run):
            self._record_run(call, result, after)
        return result

    def end_run(self, call: Call, run: _Run) -> None:
        """End a run and count it once."""
        run.exchange.cancel()
        run.framer.discard()
        views = self._context.views
        views.workload.end(run.choice.instance.name, call.trace.key)
        now = asyncio.get_running_loop().time()
        assert call.parsed.prompt is not None
        if not run.ended:
            run.ended.append(True)
            self._context.metrics.odd_events.inc(run.framer.odd)
            self._report_order(call, run)
            views.service_queues.of(call.service.name).turnover.ended(
                call.parsed.prompt.tokens, now - run.started_at
            )
        views.service_queues.wake_all()
        self._context.on_load_change()

    def _report_order(self, call: Call, run: _Run) -> None:
        """Count and log the events of a run that were left out, or came out of order."""
        framer, metrics = run.framer, self._context.metrics
        if not framer.repeats and not framer.misplaced:
            return
        metrics.unordered_events.inc(framer.repeats, label_value="repeat")
        metrics.unordered_events.inc(framer.misplaced, label_value="misplaced")
        _log.info(
            "events out of order",
            request=call.parsed.request_id,
            target=run.choice.instance.name,
            left_out=framer.repeats,
            misplaced=framer.misplaced,
            events=framer.events,
            resumable=framer.resumable,
        )

    # --- sending ---------------------------------------------------------------

    def _build_request(
        self, call: Call, choice: EngineChoice, send: Send, resume_after: str
    ) -> OutgoingRequest:
        prompt = call.parsed.prompt
        assert prompt is not None
        views = self._context.views
        now = asyncio.get_running_loop().time()
        salt = self._transfers.salt(call, prompt, choice.instance.name)
        weights = views.weights_of(choice.instance.name, prompt.model)
        self._record_weights(send, prompt.model, weights, now)
        send.estimate = choice.seconds
        send.ahead = choice.burden
        return OutgoingRequest(
            parsed=call.parsed,
            instance=choice.instance,
            seconds=call.deadline - now,
            customer=call.customer_name,
            salt=salt,
            weights=weights,
            fetch=self._transfers.fetch(call, choice, send, salt),
            resume_after=resume_after or call.parsed.resume_after,
            urgency=self._urgency(call),
        )

    def _record_weights(self, send: Send, model: str, weights: int | None, now: float) -> None:
        """Record the weights of a send, and for how long they have been outdated."""
        naming = None if weights is None else self._context.views.first_superseding(model, weights)
        send.weights = weights
        send.outdated_by = None if naming is None else naming.version
        send.outdated_seconds = 0.0 if naming is None else now - naming.at
        if naming is not None:
            self._context.metrics.outdated_sends.inc()

    def _record_run(self, call: Call, run: _Run, after: str) -> None:
        """Count a run that produced output; log it if it continues a stream, or may repeat one."""
        trace, send = call.trace, run.send
        events_before = trace.relay_progress().get("events", 0) if trace.relayed else 0
        trace.begin_relay(send)
        if _is_event_stream(run.head):
            self._context.streams.begun(call, send)
        # `unproved` includes this run.
        if trace.unproved < 2 and not call.parsed.resume_after:
            return
        _log.info(
            "run resumed",
            request=call.parsed.request_id,
            target=run.choice.instance.name,
            connection=send.connection,
            software=send.instance.software,
            resumes=short_id(call.parsed.resumes),
            weights=send.weights,
            after=short_id(after or call.parsed.resume_after),
            first=short_id(first_event_id(run.first)) if _is_event_stream(run.head) else "",
            events_before=events_before,
            runs=trace.runs,
        )

    def _urgency(self, call: Call) -> int:
        """Return the priority of the prompt at the engines.

        Late prompts get a lower priority only shortly after a start, when many callers return at
        once for a short time and are late anyway.  In a lasting overload they would never run.
        """
        now = asyncio.get_running_loop().time()
        late = call.late and self._context.views.just_started(now)
        return urgency(call.rank, late=late, ranks=call.ranks.ranks)

    # --- accounting -----------------------------------------------------------

    def _record_send(
        self, call: Call, choice: EngineChoice, outgoing: OutgoingRequest
    ) -> _SendEffects:
        """Count the run and its transfers; return what the engine should keep and save."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        views = self._context.views
        engine = choice.instance
        now = asyncio.get_running_loop().time()
        views.workload.begin(engine.name, call.trace.key, choice.fetch_plan.unread, prompt.tokens)
        held = views.memory.parts(engine.name, outgoing.salt)
        tokens = self._context.metrics.tokens
        for part, source, save in zip(
            prompt.parts, outgoing.fetch.sources, outgoing.fetch.saves, strict=True
        ):
            way = "fetch" if source else "save" if save else "read"
            tokens.inc(part.tokens, label_value=way)
            view = views.store_index.view(source or save)
            if view is None or (source and part.id in held):
                continue
            seconds = transfer_seconds(
                part.tokens, view.traits, traits=traits, data_centre=engine.data_centre
            )
            views.links.add(view.traits.address, seconds, now)
        number = views.memory.sent(engine.name, outgoing.salt, prompt.shared, traits.memory)
        self._context.on_load_change()
        kept = [part.id for part in prompt.shared if part.id not in held]
        saves = zip(prompt.parts, outgoing.fetch.saves, strict=True)
        return _SendEffects(number, outgoing.salt, kept, [part.id for part, save in saves if save])

    def _undo_send(self, engine: str, effects: _SendEffects) -> None:
        """Undo the effects of a send to an engine that rejected the prompt.

        Otherwise the parts would count as being saved for some seconds, and the next engine that
        computes them would not save them.
        """
        views = self._context.views
        views.memory.undo_send(engine, effects.salt, effects.kept, send=effects.send_number)
        for part in effects.saved:
            views.store_index.cancel_save(effects.salt, part)

    def _record_first_event(self, call: Call, choice: EngineChoice, started_at: float) -> None:
        """Update the estimates with the time to the first event."""
        views = self._context.views
        now = asyncio.get_running_loop().time()
        views.workload.read(choice.instance.name, call.trace.key)
        self._context.on_load_change()
        taken = now - started_at
        views.pace.observe(
            call.service.name,
            choice.instance.name,
            estimate=choice.work,
            seconds=taken - choice.fetch_plan.fetch_seconds,
        )
        late = taken - choice.seconds
        self._context.metrics.estimate_error.observe(max(0.0, late))
        for store in {s.address for s in choice.fetch_plan.sources if s is not None}:
            views.lateness.observe(store, late, now)

    # --- updating views -------------------------------------------------------

    def record_failure(
        self, call: Call, instance: Instance, failure: AttemptFailed, send: Send
    ) -> None:
        """Update the views with a failed send."""
        views = self._context.views
        name = instance.name
        now = asyncio.get_running_loop().time()
        if failure.reason in (REPLACED_REASON, "outdated"):
            # The target has ended, or this node cancelled the send.
            return
        if failure.reason in ("not-started", "other-weights"):
            # Shared with nearby nodes, so that they avoid the engine before it rejects them too.
            pause = min(views.pauses.left(name, now), _MAX_AVOID_SECONDS)
            views.loading.record_own(name, now + max(pause, _MIN_AVOID_SECONDS))
            if failure.reason == "other-weights" and call.parsed.prompt is not None:
                self._context.weights_check.rejected(
                    instance, call.parsed.prompt.model, send.weights
                )
            return
        if views.is_target_failure(name, reason=failure.reason, through=send.through):
            views.health.failed(name, now)

    def _record_reported_weights(
        self, call: Call, outgoing: OutgoingRequest, head: ResponseHead
    ) -> None:
        info = self._context.targets.response_info(outgoing, head)
        prompt = call.parsed.prompt
        if info.weights is None or prompt is None:
            return
        now = asyncio.get_running_loop().time()
        name = outgoing.instance.name
        self._context.views.weights.observe(name, prompt.model, info.weights, now)
