"""Choose a target, and where the kept context comes from.

For each pair of target and source the time to the first token is estimated
from the target's lagged load, corrected by what this node sent since.  Only a
few targets drawn at random are weighed, besides those that may still have the
prompt in memory: many nodes that see the same old load then do not all pick
the same target, and the cost of a decision does not grow with their number.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from .model import CostWeights, Target

__all__ = [
    "POLICIES",
    "SAMPLE",
    "Choice",
    "Kept",
    "Load",
    "Need",
    "Policy",
    "Source",
    "TargetView",
    "cheapest",
    "draw",
    "estimate",
    "policy",
    "wait_seconds",
]

SAMPLE = 5
# An estimate beyond this part of the patience is a risk, and priced as one.
PATIENCE_PART = 0.5
LATE_COST = 10.0
CROWD_WEIGHT = 4.0
_MEMORY_HINT_TRUST = 0.9
_FAR_SECONDS = 0.003
_DRAWS = 4


class Source(StrEnum):
    """Where the context of a run comes from."""

    MEMORY = "memory"
    IMPORT = "import"
    RECOMPUTE = "recompute"


class Load(NamedTuple):
    """A target's own word on its load, with the moment it was heard.

    `backlog` is tokens waiting to be prefilled; `running` and `queued` count
    requests.
    """

    running: int = 0
    queued: int = 0
    backlog: int = 0
    heard_at: float = float("-inf")


class TargetView(NamedTuple):
    """What a node knows of a target when it chooses.

    `sent` and `sent_tokens` count this node's own requests since the load was
    heard; `memory_blocks` is a hint of how much of the prompt it still has;
    `run_seconds` is how long a run has held one of its slots of late.
    """

    target: Target
    load: Load
    sent: int = 0
    sent_tokens: int = 0
    memory_blocks: int = 0
    near: bool = True
    run_seconds: float = 1.0


class Kept(NamedTuple):
    """The longest kept prefix of a prompt; `seconds` is the time to import it."""

    blocks: int = 0
    size: int = 0
    seconds: float = 0.0
    link_seconds: float = 0.0


class Need(NamedTuple):
    """What a request needs: prompt length in tokens and blocks, and weights.

    `patience` is the seconds in which the first token must come.
    """

    tokens: int
    blocks: int
    weights: CostWeights
    kept: Kept = Kept()
    patience: float = 30.0


class Choice(NamedTuple):
    """A target and a source, with what they were estimated to take."""

    target: Target
    source: Source
    ttft: float
    wait: float
    recomputed: float
    cost: float


Choose = Callable[[Need, Sequence[TargetView], random.Random], Choice | None]


class Policy(NamedTuple):
    """A way to choose, and how many targets it wants drawn; None for all."""

    choose: Choose
    sample: int | None


POLICIES: dict[str, Policy] = {}


def policy(name: str, *, sample: int | None = None) -> Callable[[Choose], Choose]:
    """Register the decorated function as the policy called `name`."""

    def register(function: Choose) -> Choose:
        POLICIES[name] = Policy(function, sample)
        return function

    return register


# --- drawing ---------------------------------------------------------------


def draw(
    targets: Sequence[Target],
    *,
    warm: Iterable[Target],
    allowed: Callable[[Target], bool],
    sample: int | None,
    rng: random.Random,
) -> list[Target]:
    """Return some allowed targets drawn at random, and all allowed ones in `warm`.

    The cost does not grow with the number of targets, but where so few are
    allowed that the draw finds none.
    """
    if sample is None or len(targets) <= sample:
        return [target for target in targets if allowed(target)]
    drawn: list[Target] = []
    for target in rng.sample(targets, min(len(targets), _DRAWS * sample)):
        if len(drawn) == sample:
            break
        if allowed(target):
            drawn.append(target)
    if not drawn:
        return [target for target in targets if allowed(target)]
    known = {target.name for target in drawn}
    return drawn + [t for t in warm if t.name not in known and allowed(t)]


# --- estimates -------------------------------------------------------------


def wait_seconds(view: TargetView) -> float:
    """Return how long a new request would wait before its prefill starts."""
    target = view.target
    waiting = (view.load.backlog + view.sent_tokens) / target.prefill_rate
    ahead = view.load.running + view.load.queued + view.sent - target.slots + 1
    if ahead <= 0:
        return waiting
    return max(waiting, ahead * view.run_seconds / target.slots)


def _memory_share(view: TargetView, need: Need) -> float:
    if need.blocks == 0:
        return 0.0
    return _MEMORY_HINT_TRUST * min(view.memory_blocks, need.blocks) / need.blocks


def estimate(view: TargetView, need: Need, source: Source) -> Choice:
    """Return the choice of `view` with `source`, priced by the need's weights."""
    kept = need.kept
    in_memory = _memory_share(view, need)
    share, extra, link = in_memory, 0.0, 0.0
    if source is Source.IMPORT:
        share = max(in_memory, kept.blocks / max(1, need.blocks))
        extra, link = kept.seconds, kept.link_seconds
    recomputed = 1.0 - share
    wait = wait_seconds(view)
    ttft = wait + extra + recomputed * need.tokens / view.target.prefill_rate
    ttft += 0.0 if view.near else _FAR_SECONDS
    weights = need.weights
    cost = weights.ttft * ttft + weights.recompute * recomputed + weights.link * link
    cost += LATE_COST * max(0.0, ttft / (PATIENCE_PART * need.patience) - 1.0)
    return Choice(view.target, source, ttft, wait, recomputed, cost)


def cheapest(need: Need, views: Sequence[TargetView]) -> Choice | None:
    """Return the cheapest pair of target and source among `views`."""
    # Where every target has others waiting, what is computed delays those too.
    crowd = min((wait_seconds(view) for view in views), default=0.0)
    best: Choice | None = None
    for view in views:
        for source in _sources(view, need):
            choice = _with_crowd(estimate(view, need, source), need, crowd)
            if best is None or choice.cost < best.cost:
                best = choice
    return best


def _with_crowd(choice: Choice, need: Need, crowd: float) -> Choice:
    computed = choice.recomputed * need.tokens / choice.target.prefill_rate
    extra = need.weights.ttft * CROWD_WEIGHT * crowd * computed
    return choice._replace(cost=choice.cost + extra)


def _sources(view: TargetView, need: Need) -> list[Source]:
    sources = [Source.MEMORY if view.memory_blocks else Source.RECOMPUTE]
    if need.kept.blocks > view.memory_blocks:
        sources.append(Source.IMPORT)
    return sources


# --- policies --------------------------------------------------------------


@policy("cost", sample=SAMPLE)
@policy("cost-all")
def choose_cheapest(need: Need, views: Sequence[TargetView], rng: random.Random) -> Choice | None:
    """Take the cheapest pair.

    Among all targets this is best on fresh loads and herds on old ones.
    """
    return cheapest(need, views)


@policy("random")
def choose_random(need: Need, views: Sequence[TargetView], rng: random.Random) -> Choice | None:
    """Baseline: any target, importing what is kept."""
    return _plain(need, rng.choice(views)) if views else None


@policy("least-loaded")
def choose_least_loaded(
    need: Need, views: Sequence[TargetView], rng: random.Random
) -> Choice | None:
    """Baseline: the shortest queue by the target's own word, recomputing."""
    if not views:
        return None
    view = min(views, key=lambda v: (v.load.running + v.load.queued + v.sent, v.target.name))
    return estimate(view, need, Source.RECOMPUTE)


@policy("sticky")
def choose_sticky(need: Need, views: Sequence[TargetView], rng: random.Random) -> Choice | None:
    """Baseline: the target with most of the prompt in memory, else any."""
    if not views:
        return None
    best = max(views, key=lambda v: v.memory_blocks)
    view = best if best.memory_blocks else rng.choice(views)
    return estimate(view, need, _sources(view, need)[0])


@policy("always-recompute")
def choose_recompute(need: Need, views: Sequence[TargetView], rng: random.Random) -> Choice | None:
    """Baseline: the least estimated wait, kept context unused."""
    if not views:
        return None
    view = min(views, key=lambda v: wait_seconds(v))
    return estimate(view, need, Source.RECOMPUTE)


@policy("always-import")
def choose_import(need: Need, views: Sequence[TargetView], rng: random.Random) -> Choice | None:
    """Baseline: the least estimated wait, importing whatever is kept."""
    if not views:
        return None
    return _plain(need, min(views, key=lambda v: wait_seconds(v)))


def _plain(need: Need, view: TargetView) -> Choice:
    return estimate(view, need, Source.IMPORT if need.kept.blocks else Source.RECOMPUTE)
