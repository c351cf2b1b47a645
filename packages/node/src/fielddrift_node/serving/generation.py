"""Serve prompts: choose an engine and kept parts, and relay its events.

An answer's head goes out with its first event.  A run that breaks off is
resumed behind the last whole event where its route allows that; else the
caller's answer is cut too.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import structlog
from fielddrift_core.placement import EngineChoice, transfer_seconds
from fielddrift_core.stream import EventFramer, first_event_id
from fielddrift_core.urgency import urgency

from ..web.client import Exchange, ExchangeError
from ..web.messages import ResponseHead
from ..web.server import Responder
from .begin_watch import StaleWeightsTimeout
from .call import Call, ServingContext, short_id
from .kept import PartTransferPlanner
from .placing import FIRST_EVENT_TIMEOUT_ESTIMATES, Placement
from .ports import OutgoingRequest
from .trying import AttemptFailed, Attempts, send_once

__all__ = ["Generation"]

_AVOID_SECONDS = 0.3
"""How long an engine that turned a request away is avoided, at least."""
_MOST_AVOID_SECONDS = 2.0
"""The same at most, where the engine asks for a longer pause: nodes that it has not turned
away send to it again then."""
_FIRST_EVENT_AIMS = 2.0
"""Silence before the first event, in aims and estimates, after which a run is moved."""
_PAUSE_AIMS = 3.0
"""Silence between events, in the longest pause allowed, after which a run is moved."""

_log = structlog.get_logger()


class _Ordered(NamedTuple):
    """What an engine is to keep and to save of a send, by the ids of parts."""

    send: int
    salt: str
    kept: list[str]
    saved: list[str]


class _Run(NamedTuple):
    choice: EngineChoice
    exchange: Exchange
    head: ResponseHead
    first: bytes
    cutter: EventFramer
    began: float
    ended: list[bool]


def _streams(head: ResponseHead) -> bool:
    """Return whether events follow `head`, not an answer that is none."""
    return head.status == 200 and head.length is None


def _callers_last_id(call: Call) -> str:
    """Return the id of the last event that the caller has of an earlier answer, empty for none.

    Without it, a caller that lacks only the end of an answer would be refused: the
    empty rest looks like a run that broke off.
    """
    return call.parsed.resume_after if call.route.resumable else ""


class Generation:
    """Serve prompts on engines."""

    def __init__(self, *, context: ServingContext) -> None:
        self._context = context
        self._kept = PartTransferPlanner(views=context.views)
        self._placing = Placement(context=context, kept=self._kept)

    async def serve(self, call: Call, responder: Responder) -> None:
        """Answer `call`; raise `Refused`."""
        attempts = Attempts(call=call, context=self._context)
        run = await self._start(call, attempts, after="")
        try:
            call.trace.status = run.head.status
            call.trace.first_event = asyncio.get_running_loop().time()
            headers = self._context.callers.answer_headers(run.head, call.parsed.request_id)
            responder.start(run.head.status, headers, run.head.length)
            responder.write(run.first)
            if not _streams(run.head):
                await self._relay_plain(call, run, responder, attempts)
                return
            while not await self._relay(call, run, responder, attempts):
                self._ended(call, run)
                run = await self._start(call, attempts, after=run.cutter.last)
                responder.write(run.first)
            responder.end()
        finally:
            self._ended(call, run)

    # --- starting -------------------------------------------------------------

    async def _start(self, call: Call, attempts: Attempts, *, after: str) -> _Run:
        """Return a run whose first whole event has come; raise `Refused`.

        `after` is the id of the last event that the caller got, empty before the first.
        """
        while True:
            choice = await self._placing.place(call, attempts, resumes=after != "")
            attempts.begin(choice.instance)
            try:
                run = await self._try(call, choice, after=after, more=attempts.more())
            except AttemptFailed as failure:
                self._learn(call, choice, failure)
                attempts.failed(failure)
            else:
                self._note_run(call, run, after)
                return run

    async def _try(self, call: Call, choice: EngineChoice, *, after: str, more: bool) -> _Run:
        context = self._context
        send = self._send(call, choice, after)
        cutter = call.trace.begin_event_stream(after=after or _callers_last_id(call))
        name = choice.instance.name
        ordered = self._begin(call, choice, send)
        began = asyncio.get_running_loop().time()
        watch = self._watch(call, send)
        exchange: Exchange | None = None
        ok = False
        try:
            async with asyncio.timeout(self._patience(call, choice) if more else None) as limit:
                with watch.over(limit):
                    exchange, head = await send_once(context, send, call)
                    first = await self._first(exchange, head, cutter)
            ok = True
        except TimeoutError:
            reason = "outdated" if watch.expired else "silent"
            detail = f"target {name}: no event, {reason}"
            raise AttemptFailed(detail, reason=reason, reached=True, not_run=False) from None
        except ExchangeError as error:
            raise AttemptFailed(str(error), reason="cut", reached=True, not_run=False) from None
        except AttemptFailed as failure:
            if failure.not_run:
                self._take_back(name, ordered)
            raise
        finally:
            if not ok:
                context.views.workload.end(name, call.trace.key)
                if exchange is not None:
                    exchange.cancel()
        no_rest = after != "" and not _streams(head)
        if no_rest or (head.status >= 500 and more and call.route.repeatable):
            context.views.workload.end(name, call.trace.key)
            exchange.cancel()
            detail = f"target {name}: status {head.status}"
            raise AttemptFailed(detail, reason="status", reached=True, not_run=False)
        self._heard_first(call, choice, began)
        if head.status < 500:
            context.views.health.succeeded(name, asyncio.get_running_loop().time())
        self._heard_weights(call, send, head)
        return _Run(choice, exchange, head, first, cutter, began, [])

    async def _first(self, exchange: Exchange, head: ResponseHead, cutter: EventFramer) -> bytes:
        """Return the first whole events, or the first bytes of an answer that is none.

        Nothing where a resumed run ends at once: every event had come before.
        """
        if not _streams(head):
            return await exchange.piece()
        while True:
            data = await exchange.piece()
            if not data and cutter.last and not cutter.partial:
                # What broke off had lost no event, only its end.
                return b""
            if not data:
                raise ExchangeError("ended before its first event", sent=True, reason="cut")
            if ready := cutter.feed(data):
                return ready

    def _watch(self, call: Call, send: OutgoingRequest) -> StaleWeightsTimeout:
        prompt = call.parsed.prompt
        assert prompt is not None and send.weights is not None
        return StaleWeightsTimeout(
            views=self._context.views,
            model=prompt.model,
            weights=send.weights,
            bound=self._context.settings.bounds.weights,
        )

    def _patience(self, call: Call, choice: EngineChoice) -> float | None:
        if not call.route.repeatable:
            return None
        return max(
            _FIRST_EVENT_AIMS * call.route.latency_goal,
            FIRST_EVENT_TIMEOUT_ESTIMATES * choice.seconds,
        )

    # --- relaying -------------------------------------------------------------

    async def _relay_plain(
        self, call: Call, run: _Run, responder: Responder, attempts: Attempts
    ) -> None:
        """Pass an answer on that is no stream; raise `Refused` where it breaks off."""
        try:
            while data := await run.exchange.piece():
                responder.write(data)
                await responder.drained()
        except ExchangeError as error:
            failure = AttemptFailed(str(error), reason="cut", reached=True, not_run=False)
            self._learn(call, run.choice, failure)
            attempts.failed(failure)
            # A part of it went out: no other answer may follow.
            raise attempts.exhausted(str(failure)) from None
        responder.end()

    async def _relay(self, call: Call, run: _Run, responder: Responder, attempts: Attempts) -> bool:
        """Pass events on; True at the end, False to resume elsewhere."""
        cutter = run.cutter
        movable = call.route.resumable and attempts.more() and cutter.last != ""
        try:
            while True:
                async with asyncio.timeout(self._pause(call) if movable else None):
                    data = await run.exchange.piece()
                if not data:
                    break
                if ready := cutter.feed(data):
                    responder.write(ready)
                    await responder.drained()
            if not cutter.partial:
                return True
            failure = AttemptFailed(
                "ended inside an event", reason="cut", reached=True, not_run=False
            )
        except ExchangeError as error:
            failure = AttemptFailed(str(error), reason="cut", reached=True, not_run=False)
        except TimeoutError:
            failure = AttemptFailed("silent", reason="silent", reached=True, not_run=False)
        self._learn(call, run.choice, failure)
        run.exchange.cancel()
        attempts.failed(failure)
        if not cutter.resumable:
            # A run behind the last id, or one that begins anew, would repeat what the caller got.
            raise attempts.exhausted("events without an id, no run can go on behind them")
        return False

    def _pause(self, call: Call) -> float:
        return max(_FIRST_EVENT_AIMS * call.route.latency_goal, _PAUSE_AIMS * call.route.gap_goal)

    def _ended(self, call: Call, run: _Run) -> None:
        run.exchange.cancel()
        views = self._context.views
        views.workload.end(run.choice.instance.name, call.trace.key)
        now = asyncio.get_running_loop().time()
        assert call.parsed.prompt is not None
        if not run.ended:
            run.ended.append(True)
            self._context.metrics.odd_events.inc(run.cutter.odd)
            views.service_queues.of(call.service.name).turnover.ended(
                call.parsed.prompt.tokens, now - run.began
            )
        views.service_queues.wake_all()
        self._context.on_load_change()

    # --- sending ---------------------------------------------------------------

    def _send(self, call: Call, choice: EngineChoice, resume_after: str) -> OutgoingRequest:
        prompt = call.parsed.prompt
        assert prompt is not None
        views = self._context.views
        now = asyncio.get_running_loop().time()
        salt = self._kept.salt(call, prompt, choice.instance.name)
        weights = views.weights_of(choice.instance.name, prompt.model)
        self._note_weights(call, prompt.model, weights, now)
        call.trace.estimate = choice.seconds
        call.trace.ahead = choice.burden
        return OutgoingRequest(
            parsed=call.parsed,
            instance=choice.instance,
            seconds=call.deadline - now,
            customer=call.customer_name,
            salt=salt,
            weights=weights,
            fetch=self._kept.fetch(call, choice, salt),
            resume_after=resume_after or call.parsed.resume_after,
            urgency=self._urgency(call),
        )

    def _note_weights(self, call: Call, model: str, weights: int | None, now: float) -> None:
        """Note for the log on which weights a send runs, and how outdated they are."""
        trace = call.trace
        naming = None if weights is None else self._context.views.outdating(model, weights)
        trace.weights = weights
        trace.outdated_by = None if naming is None else naming.version
        trace.outdated_seconds = 0.0 if naming is None else now - naming.at
        if naming is not None:
            self._context.metrics.outdated_sends.inc()

    def _note_run(self, call: Call, run: _Run, after: str) -> None:
        """Note a run that gives something; log it where another that may have run came before."""
        trace = call.trace
        trace.runs += 1
        # This run is one of those that may have run.
        if trace.unproved < 2:
            return
        _log.info(
            "run resumed",
            request=call.parsed.request_id,
            target=run.choice.instance.name,
            connection=trace.connection,
            weights=trace.weights,
            after=short_id(after or call.parsed.resume_after),
            first=short_id(first_event_id(run.first)) if _streams(run.head) else "",
            events_before=trace.events_before,
            runs=trace.runs,
        )

    def _urgency(self, call: Call) -> int:
        """Return how urgent engines should take the prompt.

        Just after a start those who come back are many and gone in a moment, and
        late anyway.  In an overload that lasts, coming last would mean never.
        """
        now = asyncio.get_running_loop().time()
        late = call.late and self._context.views.just_started(now)
        return urgency(call.rank, late=late, ranks=call.catalog.priorities)

    # --- counting -------------------------------------------------------------

    def _begin(self, call: Call, choice: EngineChoice, send: OutgoingRequest) -> _Ordered:
        """Count the run, and the moves that it causes; return what the engine is to keep."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        views = self._context.views
        engine = choice.instance
        now = asyncio.get_running_loop().time()
        views.workload.begin(engine.name, call.trace.key, choice.fetch_plan.unread, prompt.tokens)
        held = views.memory.parts(engine.name, send.salt)
        tokens = self._context.metrics.tokens
        for part, source, save in zip(
            prompt.parts, send.fetch.sources, send.fetch.saves, strict=True
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
        number = views.memory.sent(engine.name, send.salt, prompt.shared, traits.memory)
        self._context.on_load_change()
        kept = [part.id for part in prompt.shared if part.id not in held]
        saves = zip(prompt.parts, send.fetch.saves, strict=True)
        return _Ordered(number, send.salt, kept, [part.id for part, save in saves if save])

    def _take_back(self, engine: str, ordered: _Ordered) -> None:
        """Forget what an engine that turned a prompt away was to keep and to save.

        Otherwise the parts would count as being saved for some seconds, and the engine
        that reads them next would save none of them.
        """
        views = self._context.views
        views.memory.undo_send(engine, ordered.salt, ordered.kept, send=ordered.send)
        for part in ordered.saved:
            views.store_index.cancel_save(ordered.salt, part)

    def _heard_first(self, call: Call, choice: EngineChoice, began: float) -> None:
        """Learn from the time that the first event took."""
        views = self._context.views
        now = asyncio.get_running_loop().time()
        views.workload.read(choice.instance.name, call.trace.key)
        self._context.on_load_change()
        taken = now - began
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

    # --- learning -------------------------------------------------------------

    def _learn(self, call: Call, choice: EngineChoice, failure: AttemptFailed) -> None:
        views = self._context.views
        name = choice.instance.name
        now = asyncio.get_running_loop().time()
        if failure.reason == "replaced":
            # Another instance has the address: this one is gone for good.
            views.registry.left(name)
            return
        if failure.reason == "outdated":
            # It was this node that gave up.
            return
        if failure.reason in ("not-started", "other-weights"):
            # Nodes nearby are told, so that they send elsewhere before they are turned away too.
            pause = min(views.pauses.left(name, now), _MOST_AVOID_SECONDS)
            views.loading.record_own(name, now + max(pause, _AVOID_SECONDS))
            return
        views.health.failed(name, now)

    def _heard_weights(self, call: Call, send: OutgoingRequest, head: ResponseHead) -> None:
        response_info = self._context.targets.response_info(send, head)
        prompt = call.parsed.prompt
        if response_info.weights is None or prompt is None:
            return
        self._context.views.saw_weights(send.instance.name, prompt.model, response_info.weights)
