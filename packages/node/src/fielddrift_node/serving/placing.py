"""Choose the engine of a prompt, and let prompts wait until one has room.

No engine is knowingly sent more than its memory holds.  What finds no room
waits here, where it costs an engine nothing, unless the estimate says that it
cannot be in time: then its caller is told at once when to come back.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from fielddrift_core.candidates import MAX_CANDIDATES, sample
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.overload import LATE_FRACTION, is_congested, refusal_delay, retry_delay
from fielddrift_core.placement import (
    FAILING_RATE,
    EngineChoice,
    EngineState,
    can_prefill_soon,
    choose_engine,
    has_room,
)
from fielddrift_core.rollout import EngineWeights, seconds_to_begin
from fielddrift_core.target_registry import Instance
from fielddrift_core.waiting import WaitingPrompt, queue_name
from fielddrift_core.workload import Burden

from .call import Call, Refused, ServingContext
from .kept import PartTransferPlanner, StoredPartLookup
from .rooms import ServiceQueue
from .trying import Attempts

__all__ = ["FIRST_EVENT_TIMEOUT_ESTIMATES", "Placement"]

FIRST_EVENT_TIMEOUT_ESTIMATES = 4.0
"""Silence before the first event, in estimates, after which a run is moved."""
_OLDEST_PART = 0.7
"""Part of the time within which requests may begin on older weights in which they are
sent: the rest, of some 3 s, lets nearly all begin that wait at a crowded engine (2.4 s
at most so far), and `StaleWeightsTimeout` calls off who waits longer."""
_LEAST_WAIT_PART = 0.25
"""Part of the aim for which a prompt may wait even if it will then be late: engines that
are slow serve everyone late, and still serve."""
_LOOK_SECONDS = 0.05
"""Whoever is first in line looks for room so often, whatever was heard meanwhile: what
other nodes told fades without a sign."""
_RESUME_RANK = -1
"""Runs that broke off come before all others: their callers are reading already."""


class _Candidate(NamedTuple):
    engine: EngineWeights
    instance: Instance
    burden: Burden

    @property
    def data_centre(self) -> str:
        return self.instance.data_centre


class _Wanted(NamedTuple):
    """Which engines are weighed: with `part` those with room for the prompt in that part of
    their memory, with `sends` those that this node may send to now."""

    part: float | None
    sends: bool


class Placement:
    """Choose engines for prompts."""

    def __init__(self, *, context: ServingContext, kept: PartTransferPlanner) -> None:
        self._context = context
        self._kept = kept

    async def place(self, call: Call, attempts: Attempts, *, resumes: bool) -> EngineChoice:
        """Return the engine to send to now; raise `Refused`."""
        room = self._context.views.service_queues.of(call.service.name)
        rank = _RESUME_RANK if resumes else call.rank
        if room.queue.count_ahead(rank) == 0:
            fitting = self._fitting(call, attempts.tried)
            if fitting is not None:
                if not attempts.tried:
                    self._admit(call, fitting, 0.0)
                return fitting
        # A choice weighs every engine: the second is made only where there is no room.
        best = self._choose(call, attempts.tried)
        if best is None:
            raise attempts.exhausted()
        if not attempts.tried:
            self._admit(call, best, max(self._wait(call, room), self._closed(call)))
        return await self._in_line(call, attempts, best, room, rank)

    # --- waiting ----------------------------------------------------------------

    def _wait(self, call: Call, room: ServiceQueue) -> float:
        """Return the seconds until there is room behind all that wait for it anywhere."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        views = self._context.views
        now = asyncio.get_running_loop().time()
        names = [
            queue_name(call.service.name, r) for r in call.catalog.priorities if r <= call.rank
        ]
        ahead = sum(views.workload.burden_of(name, now).memory for name in names)
        engines = len(views.registry.serving(call.service.name))
        return room.turnover.wait(ahead + prompt.tokens, engines * traits.memory)

    def _closed(self, call: Call) -> float:
        """Return the seconds until this node may send to some engine; raise `Refused` for never.

        Engines that want nothing of this node have no room for it, however empty they are.
        """
        now = asyncio.get_running_loop().time()
        serving = self._context.views.registry.serving(call.service.name)
        closed = self._context.gate.shortest_wait(serving, now)
        if closed is None:
            back = retry_delay(time_left=call.deadline - now, rng=self._context.rng)
            detail = "no engine takes requests of this node"
            raise Refused(Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, back, "closed"))
        return closed

    def _admit(self, call: Call, choice: EngineChoice, wait: float) -> None:
        """Raise `Refused` where even the best engine would answer too late.

        A prompt that takes long by itself is late at any time, and is taken all the same.
        """
        queue = wait + choice.prefill_seconds(choice.burden.unread)
        back = refusal_delay(
            time_left=call.parsed.timeout_seconds or call.deadline - call.arrived_at,
            estimate=wait + choice.seconds,
            latency_goal=call.route.latency_goal,
            congested=is_congested(queue_seconds=queue, latency_goal=call.route.latency_goal),
            rng=self._context.rng,
        )
        if back is None:
            return
        detail = f"room in {wait:.2f} s, first event {choice.seconds:.2f} s later"
        detail += f", {call.route.latency_goal:.2f} s is in time"
        raise Refused(Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, back))

    async def _in_line(
        self, call: Call, attempts: Attempts, best: EngineChoice, room: ServiceQueue, rank: int
    ) -> EngineChoice:
        """Return an engine once one has room; raise `Refused` when that comes too late."""
        loop = asyncio.get_running_loop()
        prompt = call.parsed.prompt
        assert prompt is not None
        aim, began = call.route.latency_goal, loop.time()
        due = max(
            call.arrived_at + LATE_FRACTION * aim - best.seconds, began + _LEAST_WAIT_PART * aim
        )
        waiter = WaitingPrompt(call.trace.key, rank, due, prompt.tokens)
        workload, name = self._context.views.workload, queue_name(call.service.name, rank)
        room.queue.add(waiter)
        workload.begin(name, waiter.request, 0, prompt.tokens)
        self._context.on_load_change()
        try:
            while (left := due - loop.time()) > 0:
                await room.wait_turn(waiter, min(left, _LOOK_SECONDS))
                if room.queue.head() is not waiter:
                    continue
                fitting = self._fitting(call, attempts.tried)
                if fitting is not None:
                    return fitting
        finally:
            call.trace.held += loop.time() - began
            room.queue.remove(waiter)
            workload.end(name, waiter.request)
            room.wake_first()
        return self._waited_in_vain(call, attempts, loop.time() - began)

    def _waited_in_vain(self, call: Call, attempts: Attempts, seconds: float) -> EngineChoice:
        """Return an engine for a run that broke off; raise `Refused` for others."""
        if attempts.tried:
            best = self._choose(call, attempts.tried, sends=True)
            if best is None:
                raise attempts.exhausted()
            return best
        patience = call.deadline - asyncio.get_running_loop().time()
        back = retry_delay(time_left=patience, rng=self._context.rng)
        detail = f"no engine had room for {seconds:.2f} s"
        raise Refused(Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, back, "no-room"))

    # --- choosing ---------------------------------------------------------------

    def _fitting(self, call: Call, tried: set[str]) -> EngineChoice | None:
        """Return the best engine that works and has room, None when there is none."""
        turnover = self._context.views.service_queues.of(call.service.name).turnover
        part = turnover.send_limit(call.rank, call.catalog.priorities)
        return self._choose(call, tried, part=part, sends=True)

    def _choose(
        self, call: Call, tried: set[str], *, part: float | None = None, sends: bool = False
    ) -> EngineChoice | None:
        """Return the best engine; with `sends` only of those that may be sent to now."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        now = asyncio.get_running_loop().time()
        lookup = self._kept.lookup(call, prompt, now)
        return choose_engine(
            prompt,
            self._sights(call, tried, lookup, _Wanted(part, sends), now),
            traits=traits,
            data_centre=self._context.settings.data_centre,
            latency_goal=call.route.latency_goal,
            holders=lookup.holders,
            memory_fraction=part,
        )

    def _sights(
        self, call: Call, tried: set[str], lookup: StoredPartLookup, wanted: _Wanted, now: float
    ) -> list[EngineState]:
        """Return what is known of the engines that are weighed for a prompt."""
        prompt, traits = call.parsed.prompt, call.service.engine
        assert prompt is not None and traits is not None
        views = self._context.views
        placeable = views.placeable(call.service.name, prompt.model, now)
        oldest = self._context.settings.bounds.weights * _OLDEST_PART
        candidates = [
            _Candidate(engine, instance, views.workload.burden_of(engine.name, now))
            for engine in placeable.engines
            if engine.name not in tried and engine.outdated <= oldest
            if (instance := views.registry.get(engine.name)) is not None
            if not wanted.sends or self._context.gate.allows(call.service, instance, now)
        ]
        part = wanted.part
        if part is not None:
            working = self._working(candidates, now)
            candidates = [c for c in working if has_room(c.burden, prompt, traits, part)]
            if call.rank > min(call.catalog.priorities, default=call.rank):
                # What waits here leaves the reading of engines to more urgent prompts.
                candidates = [c for c in candidates if self._reads_soon(call, c)]
        elif len(candidates) > MAX_CANDIDATES:
            candidates = self._working(candidates, now)
        weighed = sample(
            candidates,
            data_centre=self._context.settings.data_centre,
            rng=self._context.rng,
        )
        return [self._sight(call, c, lookup, placeable.soon, now) for c in weighed]

    def _reads_soon(self, call: Call, candidate: _Candidate) -> bool:
        pace = self._context.views.pace.factor(call.service.name, candidate.engine.name)
        return can_prefill_soon(candidate.burden, pace)

    def _working(self, candidates: list[_Candidate], now: float) -> list[_Candidate]:
        """Return the engines that work; all of them where none does."""
        health = self._context.views.health
        working = [
            candidate
            for candidate in candidates
            if not candidate.engine.loading
            and health.share(candidate.instance.name, now) < FAILING_RATE
        ]
        return working or candidates

    def _sight(
        self,
        call: Call,
        candidate: _Candidate,
        lookup: StoredPartLookup,
        soon: frozenset[str],
        now: float,
    ) -> EngineState:
        views = self._context.views
        prompt = call.parsed.prompt
        assert prompt is not None
        engine, instance = candidate.engine, candidate.instance
        # A send of what may run once only cannot be made up for when it is called off.
        spare = 1.0 if call.route.repeatable else FIRST_EVENT_TIMEOUT_ESTIMATES
        left = seconds_to_begin(engine.outdated, max_outdated=self._context.settings.bounds.weights)
        return EngineState(
            instance=instance,
            burden=candidate.burden,
            failures=views.health.share(instance.name, now),
            is_outdated=engine.weights < views.named.get(prompt.model, 0),
            loading=engine.loading,
            memory=views.memory.parts(instance.name, lookup.salt(engine.weights)),
            loads_next=instance.name in soon,
            left=left / spare,
            weights=engine.weights,
            slowdown=views.pace.factor(call.service.name, instance.name),
        )
