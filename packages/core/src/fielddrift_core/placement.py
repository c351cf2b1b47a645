"""Choose the target of a request and the sources of its cached prompt parts.

For each engine the time to the first event is estimated from the work it is known to
have, the tokens it must prefill, and the parts that it can fetch from stores.  The cost
of a choice is a weighted sum relative to the value of one response: the risk of a late
response, tokens prefilled although a store keeps them, bytes moved between data centres,
and outdated weights.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from functools import partial
from typing import NamedTuple

from .catalog import EngineTraits, StoreTraits
from .prompt import Part, Prompt
from .target_registry import Instance
from .workload import Burden

__all__ = [
    "PLAIN_WORK_SECONDS",
    "PREFILL_TOKENS_PER_SECOND",
    "EngineChoice",
    "EngineState",
    "FetchPlan",
    "Holder",
    "PlacementCosts",
    "PlainTargetState",
    "can_prefill_soon",
    "choose_engine",
    "choose_plain_target",
    "has_room",
    "plan_fetch",
    "transfer_seconds",
]

PREFILL_TOKENS_PER_SECOND = 50_000.0
"""Prefill rate of an engine; the operators' data sheet gives 56,900."""
_BASE_SECONDS = 0.02
"""Part of the time to the first event that every run has: engine set-up and first step."""
_PER_RUN_DELAY_SECONDS = 0.0015
"""Delay that each run at an engine adds to the first events of others: a step of some 3 ms
grows by about 0.1 ms per run, and a prefill waits for several steps."""
_FETCH_TIME_FACTOR = 1.3
"""Ratio of the expected duration of a fetch to its transfer time on an idle link."""
_REMOTE_LINK_FACTOR = 2.0
"""Transfers between data centres take twice as long."""
_LOADING_COST = 20.0
"""Cost of an engine that is loading weights; high enough to use it only if there is no other."""
_TURNOVER_SECONDS = 0.4
"""Time in which the runs that fill an engine's memory are replaced by others: a long prompt
is prefilled in 0.2 s, and its few output tokens take about as long."""
_MEAN_PREFILL_TOKENS = 4000
"""Mean tokens to prefill per run; used to estimate how many runs wait at an engine."""
_MEAN_TRANSFER_SECONDS = 0.03
"""Mean link time of a large part; used to estimate how many transfers wait for a link."""
LONG_ANSWER_TOKENS = 40
"""Output tokens from which a response counts as long: over a second at some 30 ms each."""
_MAX_PREFILL_QUEUE_SECONDS = 0.2
"""Prefill work up to which an engine is sent less urgent prompts.  It is longer than the
report of a first event takes to arrive, so that the engine does not idle, and short enough
for urgent prompts that arrive meanwhile."""
FAILING_RATE = 0.2
"""Failure rate from which an engine counts as failing; a single recent failure reaches it.
An engine that is gone has no load and would otherwise attract every waiting prompt."""
_LATE_RAMP_START = 0.75
_LATE_RAMP_END = 1.25
"""The probability of a late response rises from 0 to 1 between these ratios of the estimate
to the latency goal."""


class PlacementCosts(NamedTuple):
    """Weights of the cost terms, relative to the value of a response in time.

    They follow the operators' data sheets: a `late` response loses four fifths of its value;
    prefilling a thousand tokens that a store keeps (`recomputed`) costs about 0.37 of the
    2.6 credits of a long prompt; moving the bytes of a long prompt to a `remote` data
    centre costs a twentieth; a response on `outdated` weights loses a fifth.  `time`
    prefers the faster of two engines that are both in time, `failure` engines without
    recent failures.  `loads_next` applies to a long response at an engine that is about to
    load weights: it delays the load by a second or two, and while that load is outstanding
    some other engine is out of service.
    """

    late: float = 0.8
    recomputed: float = 0.14
    remote: float = 0.05
    outdated: float = 0.2
    loads_next: float = 0.25
    time: float = 0.3
    failure: float = 2.0


class Holder(NamedTuple):
    """A store that keeps a part; `wait` is the seconds until its link is free for a fetch."""

    store: StoreTraits
    wait: float = 0.0


class FetchPlan(NamedTuple):
    """Which stored parts a run fetches, and how many tokens it then has to prefill.

    `sources` has one entry per part: the store to fetch from, or None if the part is not
    fetched.  A part that the engine probably still caches may have a store too, but adds
    nothing to `fetch_seconds`.  `unread` counts the tokens to prefill, `recomputed` those of
    them that some store keeps.  `delay_seconds` is the sum of the delays that the fetches
    cause to other transfers on the same links.
    """

    sources: tuple[StoreTraits | None, ...]
    unread: int
    fetch_seconds: float
    recomputed: int = 0
    delay_seconds: float = 0.0


class EngineChoice(NamedTuple):
    """An engine with the fetch plan of the run; `seconds` is the estimated time to first event.

    `work` is the engine's share of `seconds` at the usual speed, without fetches;
    `slowdown` is the ratio of this engine's time to the usual one.
    """

    instance: Instance
    fetch_plan: FetchPlan
    seconds: float
    cost: float
    burden: Burden = Burden()
    work: float = 0.0
    slowdown: float = 1.0

    def prefill_seconds(self, tokens: int) -> float:
        """Return the seconds that the engine takes to prefill `tokens`."""
        return tokens / PREFILL_TOKENS_PER_SECOND * self.slowdown


class EngineState(NamedTuple):
    """What is known of one engine when a request is placed.

    `failures` is its recent failure rate, from 0 to 1.  `is_outdated` says that newer
    weights than its own have been named, `loading` that it is loading weights, `loads_next`
    that it is among the next to load.  `left` is the seconds within which a first event must
    come from it.  `memory` holds the ids of parts that it was sent recently and probably
    still caches.  `weights` is the version that it has, `slowdown` the ratio of its time to
    that of a usual engine.
    """

    instance: Instance
    burden: Burden
    failures: float
    is_outdated: bool
    loading: bool
    memory: Collection[str] = ()
    loads_next: bool = False
    left: float = float("inf")
    weights: int = 0
    slowdown: float = 1.0


_DEFAULT_COSTS = PlacementCosts()

HolderLookup = Callable[[EngineState, Part], Sequence[Holder]]
"""Returns the stores that hold a part for an engine, which depends on its weights only."""


def plan_fetch(
    prompt: Prompt,
    *,
    traits: EngineTraits,
    data_centre: str,
    holders: Callable[[Part], Sequence[Holder]],
    memory: Collection[str] = (),
    fetching: bool = True,
) -> FetchPlan:
    """Return what to fetch for `prompt` at an engine in `data_centre`.

    Only a contiguous run of parts from the first one can be reused, since an engine's cache
    is a prefix cache: every part after one that is prefilled must be prefilled too.
    `memory` holds the ids of parts that the engine probably still caches.  Without
    `fetching` nothing is fetched.
    """
    sources: list[StoreTraits | None] = []
    seconds = 0.0
    delays = 0.0
    ready = 0
    recomputed = 0
    gap = False
    for part in prompt.shared:
        best = None if gap else _fastest_fetch(holders(part), part, traits, data_centre)
        if not gap and part.id in memory:
            sources.append(best.store if best is not None and fetching else None)
            ready += part.tokens
        elif best is not None and fetching:
            sources.append(best.store)
            seconds += best.seconds
            delays += best.delay_seconds
            ready += part.tokens
        else:
            recomputed += part.tokens if gap or best is not None else 0
            gap = True
    sources += [None] * (len(prompt.parts) - len(sources))
    return FetchPlan(tuple(sources), max(0, prompt.tokens_in - ready), seconds, recomputed, delays)


def transfer_seconds(
    tokens: int, store: StoreTraits, *, traits: EngineTraits, data_centre: str
) -> float:
    """Return the seconds of link time that moving `tokens` takes.

    The transfer is between `store` and an engine in `data_centre`.
    """
    rate = min(store.link_rate, traits.link_rate) or store.link_rate
    seconds = tokens * traits.token_bytes / rate
    return seconds if store.data_centre == data_centre else seconds * _REMOTE_LINK_FACTOR


class _Fetch(NamedTuple):
    store: StoreTraits
    seconds: float
    delay_seconds: float


def _fastest_fetch(
    holders: Sequence[Holder], part: Part, traits: EngineTraits, data_centre: str
) -> _Fetch | None:
    best: _Fetch | None = None
    for store, wait in holders:
        link_seconds = transfer_seconds(part.tokens, store, traits=traits, data_centre=data_centre)
        needed = link_seconds * _FETCH_TIME_FACTOR + store.first_byte_delay + wait
        if best is None or needed < best.seconds:
            best = _Fetch(store, needed, link_seconds * wait / _MEAN_TRANSFER_SECONDS)
    return best


def choose_engine(
    prompt: Prompt,
    engines: Iterable[EngineState],
    *,
    traits: EngineTraits,
    data_centre: str,
    latency_goal: float,
    holders: HolderLookup,
    costs: PlacementCosts = _DEFAULT_COSTS,
    memory_fraction: float | None = None,
) -> EngineChoice | None:
    """Return the cheapest engine for `prompt`, or None if none can begin in time.

    `latency_goal` is the desired time to the first event, in seconds.  With
    `memory_fraction`, only engines count that have room for the prompt within that fraction
    of their memory; engines that are loading or failing count only if all of them are.
    """
    best: tuple[EngineState, FetchPlan, _Estimate] | None = None
    if memory_fraction is not None:
        engines = _with_room(list(engines), prompt, traits, memory_fraction)
    shared = [part.id for part in prompt.shared]
    plans_by_key: dict[tuple[object, ...], list[FetchPlan]] = {}
    for engine in engines:
        memory = engine.memory
        cached = tuple([part in memory for part in shared]) if memory else ()
        # Engines that differ in nothing of this have the same plans.
        key = (engine.weights, engine.instance.data_centre, cached)
        plans = plans_by_key.get(key)
        if plans is None:
            plans = plans_by_key[key] = _plans(engine, prompt, traits, holders)
        for plan in plans:
            estimate = _evaluate(engine, plan, prompt, traits, data_centre, latency_goal, costs)
            in_time = estimate.seconds <= engine.left
            if in_time and (best is None or estimate.cost < best[2].cost):
                best = (engine, plan, estimate)
    if best is None:
        return None
    engine, plan, (seconds, cost, work) = best
    return EngineChoice(engine.instance, plan, seconds, cost, engine.burden, work, engine.slowdown)


def _plans(
    engine: EngineState, prompt: Prompt, traits: EngineTraits, holders: HolderLookup
) -> list[FetchPlan]:
    """Return the plans of a run at `engine`: with fetches, and without any if that differs."""
    plans = []
    for fetching in (True, False):
        plan = plan_fetch(
            prompt,
            traits=traits,
            data_centre=engine.instance.data_centre,
            holders=partial(holders, engine),
            memory=engine.memory,
            fetching=fetching,
        )
        plans.append(plan)
        if not any(plan.sources):
            break
    return plans


def _with_room(
    engines: Sequence[EngineState], prompt: Prompt, traits: EngineTraits, part: float
) -> list[EngineState]:
    working = [e for e in engines if not e.loading and e.failures < FAILING_RATE]
    return [e for e in working or engines if has_room(e.burden, prompt, traits, part)]


def has_room(burden: Burden, prompt: Prompt, traits: EngineTraits, part: float) -> bool:
    """Return whether `prompt` fits into the fraction `part` of an engine's memory.

    `burden` is what the engine already has.  An idle engine, or one whose memory size is
    unknown, takes any prompt.
    """
    if not traits.memory or not burden.memory:
        return True
    return burden.memory + prompt.tokens <= part * traits.memory


def can_prefill_soon(burden: Burden, slowdown: float) -> bool:
    """Return whether an engine with `burden` would soon begin to prefill a new prompt."""
    return burden.unread / PREFILL_TOKENS_PER_SECOND * slowdown <= _MAX_PREFILL_QUEUE_SECONDS


class _Estimate(NamedTuple):
    """The estimated time to the first event, the cost, and the engine's share of the time."""

    seconds: float
    cost: float
    work: float


def _evaluate(
    engine: EngineState,
    plan: FetchPlan,
    prompt: Prompt,
    traits: EngineTraits,
    data_centre: str,
    latency_goal: float,
    costs: PlacementCosts,
) -> _Estimate:
    burden = engine.burden
    running, unread, memory = burden
    prefill = (unread + plan.unread) / PREFILL_TOKENS_PER_SECOND
    waiting = 0.0
    if running >= traits.slots:
        waiting = (running + 1 - traits.slots) * _PER_RUN_DELAY_SECONDS * 10
    if traits.memory:
        overfull = memory + prompt.tokens_in + prompt.tokens_out - traits.memory
        if overfull > 0:
            waiting += overfull / traits.memory * _TURNOVER_SECONDS
    work = _BASE_SECONDS + prefill + running * _PER_RUN_DELAY_SECONDS + waiting
    seconds = work * engine.slowdown + plan.fetch_seconds
    cost = costs.time * seconds / latency_goal
    ratio = seconds / latency_goal
    if ratio > _LATE_RAMP_START:
        cost += costs.late * _late_probability(ratio)
    cost += costs.recomputed * plan.recomputed / 1000
    # The prefill and the transfers of this run delay the others that wait for them.
    waiting_runs = unread / _MEAN_PREFILL_TOKENS
    delays = (
        plan.unread / PREFILL_TOKENS_PER_SECOND * engine.slowdown * waiting_runs
        + plan.delay_seconds
    )
    cost += costs.late * delays / latency_goal
    cost += costs.failure * engine.failures
    cost += costs.remote if engine.instance.data_centre != data_centre else 0.0
    cost += costs.outdated if engine.is_outdated else 0.0
    cost += (
        costs.loads_next if engine.loads_next and prompt.tokens_out >= LONG_ANSWER_TOKENS else 0.0
    )
    cost += _LOADING_COST if engine.loading else 0.0
    return _Estimate(seconds, cost, work)


def _late_probability(part: float) -> float:
    """Return the probability of a late response whose estimate is `part` of the latency goal."""
    return min(1.0, max(0.0, (part - _LATE_RAMP_START) / (_LATE_RAMP_END - _LATE_RAMP_START)))


PLAIN_WORK_SECONDS = 0.045
"""Work of a plain request by the operators' data sheets, until answers show it; its latency goal
is a few times longer."""


class PlainTargetState(NamedTuple):
    """What is known of one plain target when a request is placed.

    `failures` is its recent failure rate, from 0 to 1, `work_seconds` the usual time of one of
    its requests.
    """

    instance: Instance
    burden: Burden
    failures: float
    work_seconds: float = PLAIN_WORK_SECONDS


_PLAIN_REMOTE_SECONDS = 0.01
"""Cost of a plain target in another data centre; low, since its requests are short."""
_PLAIN_FAILURE_SECONDS = 2.0
"""Cost of a plain target whose recent responses all failed."""


def choose_plain_target(
    targets: Sequence[PlainTargetState],
    *,
    data_centre: str,
    tried: Collection[str],
    rng: random.Random,
) -> Instance | None:
    """Return the plain target with the least expected time, or None if all were `tried`.

    Ties are broken at random.
    """
    best: tuple[float, float, Instance] | None = None
    for target in targets:
        if target.instance.name in tried:
            continue
        slots = max(1, target.instance.slots)
        cost = (target.burden.running + 1) / slots * target.work_seconds
        cost += target.failures * _PLAIN_FAILURE_SECONDS
        if target.instance.data_centre != data_centre:
            cost += _PLAIN_REMOTE_SECONDS
        entry = (cost, rng.random(), target.instance)
        if best is None or entry[:2] < best[:2]:
            best = entry
    return None if best is None else best[2]
