"""Choose a target, and the source of the cached context.

For each pair of target and source the time to the first token (TTFT) is estimated from the
target's last reported load, corrected by what this node has sent since.  Only a few
targets are evaluated: a random sample, and those that may still have the prompt in memory.
Nodes that have the same outdated load then do not all choose the same target, and the
cost of a decision does not grow with the number of targets.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from .model import CostWeights, Target

__all__ = [
    "POLICIES",
    "SAMPLE_SIZE",
    "Choice",
    "KeptPrefix",
    "Load",
    "Policy",
    "RequestNeeds",
    "Source",
    "TargetView",
    "cheapest",
    "estimate",
    "policy",
    "sample_targets",
    "wait_seconds",
]

SAMPLE_SIZE = 5
# Fraction of the TTFT limit beyond which an estimate risks missing it and costs extra.
TTFT_LIMIT_FRACTION = 0.5
LATE_COST = 10.0
CONGESTION_WEIGHT = 4.0
_MEMORY_HINT_TRUST = 0.9
_REMOTE_SECONDS = 0.003
_OVERSAMPLING = 4
"""Targets drawn per target of the sample, since some of them may not be allowed."""


class Source(StrEnum):
    """Where the context of a run comes from."""

    MEMORY = "memory"
    IMPORT = "import"
    RECOMPUTE = "recompute"


class Load(NamedTuple):
    """A target's load as it reports it, and when the report was received.

    `backlog` is the number of tokens that wait to be prefilled; `running` and `queued`
    count requests.
    """

    running: int = 0
    queued: int = 0
    backlog: int = 0
    received_at: float = float("-inf")


class TargetView(NamedTuple):
    """What a node knows of a target when it chooses.

    `sent` and `sent_tokens` count this node's own requests since the load was received;
    `memory_blocks` is a hint of how many blocks of the prompt the target still has in
    memory; `slot_seconds` is how long recent runs have occupied one of its slots.
    """

    target: Target
    load: Load
    sent: int = 0
    sent_tokens: int = 0
    memory_blocks: int = 0
    is_local: bool = True
    slot_seconds: float = 1.0


class KeptPrefix(NamedTuple):
    """The longest stored prefix of a prompt.

    `seconds` is the time to import it, `link_seconds` the time that this takes the link.
    """

    blocks: int = 0
    size: int = 0
    seconds: float = 0.0
    link_seconds: float = 0.0


class RequestNeeds(NamedTuple):
    """Prompt length in tokens and blocks, cost weights, and the stored prefix of a request.

    `ttft_limit` is the number of seconds within which the first token must arrive.
    """

    tokens: int
    blocks: int
    weights: CostWeights
    kept: KeptPrefix = KeptPrefix()
    ttft_limit: float = 30.0


class Choice(NamedTuple):
    """A target and a source, with the estimates for them.

    `ttft` and `wait` are seconds; `recomputed` is the fraction of the prompt to prefill.
    """

    target: Target
    source: Source
    ttft: float
    wait: float
    recomputed: float
    cost: float


ChoiceFunction = Callable[[RequestNeeds, Sequence[TargetView], random.Random], Choice | None]


class Policy(NamedTuple):
    """A function that chooses, and the number of targets to sample for it; None for all."""

    choose: ChoiceFunction
    sample: int | None


POLICIES: dict[str, Policy] = {}


def policy(name: str, *, sample: int | None = None) -> Callable[[ChoiceFunction], ChoiceFunction]:
    """Register the decorated function as the policy called `name`."""

    def register(function: ChoiceFunction) -> ChoiceFunction:
        POLICIES[name] = Policy(function, sample)
        return function

    return register


# --- sampling --------------------------------------------------------------


def sample_targets(
    targets: Sequence[Target],
    *,
    warm: Iterable[Target],
    allowed: Callable[[Target], bool],
    sample: int | None,
    rng: random.Random,
) -> list[Target]:
    """Return a random sample of the allowed targets, and all allowed ones in `warm`.

    The cost grows with the number of targets only if so few are allowed that the sample
    contains none of them.
    """
    if sample is None or len(targets) <= sample:
        return [target for target in targets if allowed(target)]
    sampled: list[Target] = []
    for target in rng.sample(targets, min(len(targets), _OVERSAMPLING * sample)):
        if len(sampled) == sample:
            break
        if allowed(target):
            sampled.append(target)
    if not sampled:
        return [target for target in targets if allowed(target)]
    known = {target.name for target in sampled}
    return sampled + [t for t in warm if t.name not in known and allowed(t)]


# --- estimates -------------------------------------------------------------


def wait_seconds(view: TargetView) -> float:
    """Return the seconds that a new request would wait before its prefill starts."""
    target = view.target
    waiting = (view.load.backlog + view.sent_tokens) / target.prefill_rate
    ahead = view.load.running + view.load.queued + view.sent - target.slots + 1
    if ahead <= 0:
        return waiting
    return max(waiting, ahead * view.slot_seconds / target.slots)


def _memory_share(view: TargetView, need: RequestNeeds) -> float:
    if need.blocks == 0:
        return 0.0
    return _MEMORY_HINT_TRUST * min(view.memory_blocks, need.blocks) / need.blocks


def estimate(view: TargetView, need: RequestNeeds, source: Source) -> Choice:
    """Return the choice of `view` with `source`, its cost by the weights in `need`."""
    kept = need.kept
    in_memory = _memory_share(view, need)
    share, extra, link = in_memory, 0.0, 0.0
    if source is Source.IMPORT:
        share = max(in_memory, kept.blocks / max(1, need.blocks))
        extra, link = kept.seconds, kept.link_seconds
    recomputed = 1.0 - share
    wait = wait_seconds(view)
    ttft = wait + extra + recomputed * need.tokens / view.target.prefill_rate
    ttft += 0.0 if view.is_local else _REMOTE_SECONDS
    weights = need.weights
    cost = weights.ttft * ttft + weights.recompute * recomputed + weights.link * link
    cost += LATE_COST * max(0.0, ttft / (TTFT_LIMIT_FRACTION * need.ttft_limit) - 1.0)
    return Choice(view.target, source, ttft, wait, recomputed, cost)


def cheapest(need: RequestNeeds, views: Sequence[TargetView]) -> Choice | None:
    """Return the cheapest pair of target and source among `views`."""
    # If requests wait at every target, a prefill delays those requests too.
    congestion_seconds = min((wait_seconds(view) for view in views), default=0.0)
    best: Choice | None = None
    for view in views:
        for source in _sources(view, need):
            choice = _with_congestion(estimate(view, need, source), need, congestion_seconds)
            if best is None or choice.cost < best.cost:
                best = choice
    return best


def _with_congestion(choice: Choice, need: RequestNeeds, congestion_seconds: float) -> Choice:
    computed = choice.recomputed * need.tokens / choice.target.prefill_rate
    extra = need.weights.ttft * CONGESTION_WEIGHT * congestion_seconds * computed
    return choice._replace(cost=choice.cost + extra)


def _sources(view: TargetView, need: RequestNeeds) -> list[Source]:
    sources = [Source.MEMORY if view.memory_blocks else Source.RECOMPUTE]
    if need.kept.blocks > view.memory_blocks:
        sources.append(Source.IMPORT)
    return sources


# --- policies --------------------------------------------------------------


@policy("cost", sample=SAMPLE_SIZE)
@policy("cost-all")
def choose_cheapest(
    need: RequestNeeds, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Choose the cheapest pair.

    Over all targets this is best with current loads; with outdated ones, many nodes
    choose the same target.
    """
    return cheapest(need, views)


@policy("random")
def choose_random(
    need: RequestNeeds, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Baseline: a random target, importing the stored prefix."""
    return _with_import(need, rng.choice(views)) if views else None


@policy("least-loaded")
def choose_least_loaded(
    need: RequestNeeds, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Baseline: the shortest queue by the reported load, recomputing."""
    if not views:
        return None
    view = min(views, key=lambda v: (v.load.running + v.load.queued + v.sent, v.target.name))
    return estimate(view, need, Source.RECOMPUTE)


@policy("sticky")
def choose_sticky(
    need: RequestNeeds, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Baseline: the target with most of the prompt in memory, else a random one."""
    if not views:
        return None
    best = max(views, key=lambda v: v.memory_blocks)
    view = best if best.memory_blocks else rng.choice(views)
    return estimate(view, need, _sources(view, need)[0])


@policy("always-recompute")
def choose_recompute(
    need: RequestNeeds, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Baseline: the least estimated wait, recomputing."""
    if not views:
        return None
    view = min(views, key=lambda v: wait_seconds(v))
    return estimate(view, need, Source.RECOMPUTE)


@policy("always-import")
def choose_import(
    need: RequestNeeds, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Baseline: the least estimated wait, importing the stored prefix."""
    if not views:
        return None
    return _with_import(need, min(views, key=lambda v: wait_seconds(v)))


def _with_import(need: RequestNeeds, view: TargetView) -> Choice:
    return estimate(view, need, Source.IMPORT if need.kept.blocks else Source.RECOMPUTE)
