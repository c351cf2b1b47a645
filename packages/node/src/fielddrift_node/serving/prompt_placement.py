"""Choose an engine for each prompt, and queue prompts until an engine has memory for them.

An engine is not sent more than its memory is known to hold.  Other prompts wait at this node,
where they use no resources of an engine.  A prompt whose estimate is too late is refused at
once, with a time after which the caller may retry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from fielddrift_core.candidates import MAX_CANDIDATES, sample
from fielddrift_core.overload import LATE_FRACTION, is_congested, is_too_late
from fielddrift_core.placement import (
    FAILING_RATE,
    EngineChoice,
    EngineState,
    can_prefill_soon,
    choose_engine,
    has_room,
)
from fielddrift_core.prompt_queue import PromptQueue, WaitingPrompt, queue_name
from fielddrift_core.rank_reserve import MIN_RESERVE_FRACTION
from fielddrift_core.rollout import EngineWeights, seconds_to_begin
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

from .attempts import Attempts
from .call import Call, Refused, ServingContext
from .caller_returns import CallerReturns
from .part_transfers import PartTransferPlanner, StoredPartLookup
from .service_queues import ServiceQueue

__all__ = ["FIRST_EVENT_TIMEOUT_ESTIMATES", "Placement"]

FIRST_EVENT_TIMEOUT_ESTIMATES = 4.0
"""Time without a first event, in estimates of it, after which a run gets a replacement."""
_MAX_OUTDATED_FRACTION = 0.7
"""Fraction of the time for starting on outdated weights within which requests are sent.  The
rest, about 3 s, suffices for nearly all that wait at a congested engine (up to 2.4 s);
`StaleWeightsTimeout` cancels those that wait longer."""
_MIN_WAIT_FRACTION = 0.25
"""Fraction of the latency goal for which a prompt may wait even if it will then be late: slow
engines serve all prompts late, but still serve them."""
_CHECK_INTERVAL_SECONDS = 0.05
"""Interval at which the first prompt in the queue looks for an engine, also without updates: the
loads that other nodes reported expire without an event."""
_RESUME_PRIORITY = -1
"""Runs to resume come before all other prompts: their callers are already reading a response."""


class _Candidate(NamedTuple):
    engine: EngineWeights
    instance: Instance
    burden: Burden

    @property
    def data_centre(self) -> str:
        return self.instance.data_centre


class _EngineFilter(NamedTuple):
    """Which engines are candidates: with `memory_fraction` those with room for the prompt in
    that fraction of their memory, with `sends` those that this node may send to now."""

    memory_fraction: float | None
    sends: bool


class Placement:
    """Chooses engines for prompts."""

    def __init__(self, *, context: ServingContext, kept: PartTransferPlanner) -> None:
        self._context = context
        self._transfers = kept
        self._returns = CallerReturns(context=context)

    async def place(self, call: Call, attempts: Attempts, *, resumes: bool) -> EngineChoice:
        """Return the engine to send to, once it has room; raise `Refused` if none is in time."""
        service_queue = self._context.views.service_queues.of(call.service.name)
        priority = _priority(call, resumes=resumes)
        if not attempts.tried and not call.yields:
            self._returns.record_first(call)
        if self._queue(call).count_ahead(priority) == 0:
            choice = self._choose_with_room(call, attempts.tried, resumes=resumes)
            if choice is not None:
                if not attempts.tried:
                    self._admit(call, choice, 0.0)
                return choice
        # A choice evaluates every engine, so the second one is made only if none has room.
        best = self._choose(call, attempts.tried)
        if best is None:
            raise self._exhausted(call, attempts)
        if not attempts.tried:
            self._admit(
                call, best, max(self._queue_wait(call, service_queue), self._send_wait(call))
            )
        return await self._wait_in_queue(call, attempts, best, service_queue, priority)

    def replacement(self, call: Call, attempts: Attempts, *, resumes: bool) -> EngineChoice | None:
        """Return an engine with room that may replace a send in progress, None if there is none.

        Engines that do not respond are no replacement.
        """
        if self._queue(call).count_ahead(_priority(call, resumes=resumes)):
            return None
        excluded = attempts.tried | self._context.views.responsiveness.unresponsive()
        return self._choose_with_room(call, excluded, resumes=resumes)

    def _queue(self, call: Call) -> PromptQueue:
        """Return the queue in which the prompt of `call` waits."""
        service_queue = self._context.views.service_queues.of(call.service.name)
        if self._context.streams.is_restricted(call):
            return service_queue.restricted(call.trace.software)
        return service_queue.queue

    def _exhausted(self, call: Call, attempts: Attempts) -> Refused:
        """Return the refusal of a prompt that no engine can run."""
        if self._context.streams.is_restricted(call):
            detail = f"no target of software version {call.trace.software!r} can take it"
            return attempts.exhausted(detail)
        return attempts.exhausted()

    # --- waiting ----------------------------------------------------------------

    def _queue_wait(self, call: Call, service_queue: ServiceQueue) -> float:
        """Return the seconds until there is room after all prompts that wait at any node."""
        prompt = call.parsed.prompt
        assert prompt is not None
        if call.yields:
            return self._returns.wait(call)
        ranks = [rank for rank in call.ranks.ranks if rank <= call.rank]
        ahead = self._returns.waiting_tokens(call, ranks)
        return service_queue.turnover.wait(ahead + prompt.tokens, self._returns.total_memory(call))

    def _send_wait(self, call: Call) -> float:
        """Return the seconds until this node may send to some engine; raise `Refused` if never.

        Engines that accept no requests from this node have no room for it, whatever their load.
        """
        now = asyncio.get_running_loop().time()
        serving = self._context.views.registry.serving(call.service.name)
        closed = self._context.gate.shortest_wait(serving, now)
        if closed is None:
            detail = "no engine takes requests of this node"
            raise Refused(self._returns.refusal(call, detail, least=float("inf"), reason="closed"))
        return closed

    def _admit(self, call: Call, choice: EngineChoice, wait: float) -> None:
        """Raise `Refused` if even the best engine would respond too late because of load.

        A prompt that takes long by itself is late at any load, and is accepted.
        """
        goal, estimate = call.route.latency_goal, wait + choice.seconds
        if call.yields:
            is_refused = estimate > call.deadline - asyncio.get_running_loop().time()
        else:
            queue = wait + choice.prefill_seconds(choice.burden.unread)
            congested = is_congested(queue_seconds=queue, latency_goal=goal)
            is_refused = is_too_late(estimate=estimate, latency_goal=goal, congested=congested)
        if not is_refused:
            return
        detail = f"room in {wait:.2f} s, first event {choice.seconds:.2f} s later"
        detail += f", latency goal {goal:.2f} s"
        raise Refused(self._returns.refusal(call, detail, least=estimate))

    async def _wait_in_queue(
        self,
        call: Call,
        attempts: Attempts,
        best: EngineChoice,
        service_queue: ServiceQueue,
        priority: int,
    ) -> EngineChoice:
        """Return an engine once one has room; raise `Refused` if that would be too late."""
        loop = asyncio.get_running_loop()
        prompt = call.parsed.prompt
        assert prompt is not None
        latency_goal, queued_at = call.route.latency_goal, loop.time()
        deadline = max(
            call.arrived_at + LATE_FRACTION * latency_goal - best.seconds,
            queued_at + _MIN_WAIT_FRACTION * latency_goal,
        )
        if call.yields:
            deadline = max(deadline, call.deadline - best.seconds)
        waiting = WaitingPrompt(call.trace.key, priority, deadline, prompt.tokens)
        workload, name = self._context.views.workload, queue_name(call.service.name, priority)
        queue = self._queue(call)
        queue.add(waiting)
        workload.begin(name, waiting.request, 0, prompt.tokens)
        self._context.on_load_change()
        try:
            while (left := deadline - loop.time()) > 0:
                await service_queue.wait_turn(waiting, min(left, _CHECK_INTERVAL_SECONDS))
                if not self._has_target(call, attempts):
                    raise self._exhausted(call, attempts)
                if queue.head() is not waiting:
                    continue
                choice = self._choose_with_room(
                    call, attempts.tried, resumes=priority == _RESUME_PRIORITY
                )
                if choice is not None:
                    return choice
        finally:
            call.trace.held += loop.time() - queued_at
            queue.remove(waiting)
            service_queue.discard_empty()
            workload.end(name, waiting.request)
            service_queue.wake_first()
        return self._wait_expired(call, attempts, loop.time() - queued_at)

    def _has_target(self, call: Call, attempts: Attempts) -> bool:
        """Return whether an engine that the prompt has not been sent to may still run it."""
        if not self._context.streams.is_restricted(call):
            return True
        return any(
            self._context.streams.allows(call, instance) and instance.name not in attempts.tried
            for instance in self._context.views.registry.serving(call.service.name)
        )

    def _wait_expired(self, call: Call, attempts: Attempts, seconds: float) -> EngineChoice:
        """Return the best engine for a run to resume; raise `Refused` for other prompts."""
        if attempts.tried:
            best = self._choose(call, attempts.tried, sends=True)
            if best is None:
                raise self._exhausted(call, attempts)
            return best
        detail = f"no engine had room for {seconds:.2f} s"
        raise Refused(self._returns.refusal(call, detail, least=seconds, reason="no-room"))

    # --- choosing ---------------------------------------------------------------

    def _choose_with_room(
        self, call: Call, tried: AbstractSet[str], *, resumes: bool = False
    ) -> EngineChoice | None:
        """Return the best healthy engine that has room, None if there is none."""
        service_queue = self._context.views.service_queues.of(call.service.name)
        memory_fraction = service_queue.turnover.send_limit(
            call.rank if resumes else call.queue_rank,
            call.ranks.ranks,
            reserve=self._reserve(call, service_queue, resumes=resumes),
        )
        return self._choose(call, tried, memory_fraction=memory_fraction, sends=True)

    def _reserve(self, call: Call, service_queue: ServiceQueue, *, resumes: bool) -> float:
        """Return the fraction of memory that `call` leaves to prompts of higher rank.

        It is learned where requests of one priority have different ranks, since priorities do
        not then keep long prompts from taking the memory of urgent ones.
        """
        if resumes:
            # It is the first in the queue: more urgent prompts with room would wait behind it.
            return MIN_RESERVE_FRACTION
        if call.yields:
            return max(MIN_RESERVE_FRACTION, self._returns.reserve(call))
        reserve = service_queue.reserve(call.rank)
        now = asyncio.get_running_loop().time()
        higher = [each for each in call.ranks.ranks if each < call.rank]
        memory = self._returns.total_memory(call)
        if not call.ranks.by_goal or not higher or not memory:
            # What was learned under an earlier catalog ends as if nothing waited.
            return reserve.observe(0.0, now)
        return reserve.observe(self._returns.waiting_tokens(call, higher) / memory, now)

    def _choose(
        self,
        call: Call,
        tried: AbstractSet[str],
        *,
        memory_fraction: float | None = None,
        sends: bool = False,
    ) -> EngineChoice | None:
        """Return the best engine; with `sends` only one that this node may send to now."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        now = asyncio.get_running_loop().time()
        lookup = self._transfers.lookup(call, prompt, now)
        return choose_engine(
            prompt,
            self._engine_states(call, tried, lookup, _EngineFilter(memory_fraction, sends), now),
            traits=traits,
            data_centre=self._context.settings.data_centre,
            latency_goal=call.route.latency_goal,
            holders=lookup.holders,
            memory_fraction=memory_fraction,
        )

    def _engine_states(
        self,
        call: Call,
        tried: AbstractSet[str],
        lookup: StoredPartLookup,
        wanted: _EngineFilter,
        now: float,
    ) -> list[EngineState]:
        """Return the states of the candidate engines for a prompt."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        views = self._context.views
        available = views.candidates(call.service.name, prompt.model, now)
        max_outdated = self._context.settings.bounds.weights * _MAX_OUTDATED_FRACTION
        candidates = [
            _Candidate(engine, instance, views.workload.burden_of(engine.name, now))
            for engine in available.engines
            if engine.name not in tried and engine.outdated <= max_outdated
            if (instance := views.registry.get(engine.name)) is not None
            if self._context.streams.allows(call, instance)
            if not wanted.sends
            or self._context.gate.allows(
                call.service, instance, now, repeatable=call.route.repeatable, tried=tried
            )
        ]
        memory_fraction = wanted.memory_fraction
        if memory_fraction is not None:
            healthy = self._healthy(candidates, now)
            candidates = [
                c
                for c in healthy
                if has_room(c.burden, prompt, traits, memory_fraction)
                and self._context.gate.has_room(call.service, c.instance, now, tokens=prompt.tokens)
            ]
            if call.rank > min(call.ranks.ranks, default=call.rank):
                # Prompts of lower priority leave prefill capacity to more urgent prompts.
                candidates = [c for c in candidates if self._can_prefill_soon(call, c)]
        elif len(candidates) > MAX_CANDIDATES:
            candidates = self._healthy(candidates, now)
        sampled = sample(
            candidates,
            data_centre=self._context.settings.data_centre,
            rng=self._context.rng,
        )
        return [self._engine_state(call, c, lookup, available.loading_next, now) for c in sampled]

    def _can_prefill_soon(self, call: Call, candidate: _Candidate) -> bool:
        slowdown = self._context.views.pace.factor(call.service.name, candidate.engine.name)
        return can_prefill_soon(candidate.burden, slowdown)

    def _healthy(self, candidates: list[_Candidate], now: float) -> list[_Candidate]:
        """Return the healthy candidates, or all candidates if none is healthy."""
        health = self._context.views.health
        healthy = [
            candidate
            for candidate in candidates
            if not candidate.engine.loading
            and health.share(candidate.instance.name, now) < FAILING_RATE
        ]
        return healthy or candidates

    def _engine_state(
        self,
        call: Call,
        candidate: _Candidate,
        lookup: StoredPartLookup,
        loading_next: frozenset[str],
        now: float,
    ) -> EngineState:
        views = self._context.views
        prompt = call.parsed.prompt
        assert prompt is not None
        engine, instance = candidate.engine, candidate.instance
        # A request that may run only once cannot be sent again after its send is cancelled.
        margin = 1.0 if call.route.repeatable else FIRST_EVENT_TIMEOUT_ESTIMATES
        left = seconds_to_begin(engine.outdated, max_outdated=self._context.settings.bounds.weights)
        return EngineState(
            instance=instance,
            burden=candidate.burden,
            failures=views.health.share(instance.name, now),
            is_outdated=engine.weights < views.named.get(prompt.model, 0),
            loading=engine.loading,
            memory=views.memory.parts_of(instance.name, lookup.salt(engine.weights), prompt.shared),
            loads_next=instance.name in loading_next,
            left=left / margin,
            weights=engine.weights,
            slowdown=views.pace.factor(call.service.name, instance.name),
        )


def _priority(call: Call, *, resumes: bool) -> int:
    """Return the rank in the queue."""
    return _RESUME_PRIORITY if resumes else call.queue_rank
