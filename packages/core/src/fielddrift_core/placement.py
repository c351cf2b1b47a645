"""Choose the target of a request, and from where its kept parts come.

For each engine the seconds to the first event are estimated from what is
known to be there, from the parts that must be read, and from those that can
be fetched.  Other costs are given as seconds too, so that one sum decides.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from functools import partial
from typing import NamedTuple

from .catalog import EngineTraits, StoreTraits
from .prompt import Part, Prompt
from .roster import Instance
from .workload import Burden

__all__ = [
    "READ_RATE",
    "EngineChoice",
    "EngineSight",
    "PlainSight",
    "Recall",
    "choose_engine",
    "choose_plain",
    "recall",
]

READ_RATE = 50_000.0
"""Prompt tokens an engine reads a second; the users' sheet says 56,900."""
_RUN_SECONDS = 0.0015
"""What each run at an engine adds to the wait of others for their first event:
a step of some 3 ms grows by about 0.1 ms a run, and a read waits for some steps."""
_FAR_SECONDS = 0.05
"""Price of an engine in another data centre: the bytes of a long prompt cost the
users about a twentieth of what its answer earns; a tenth of the aim is as much."""
_OLD_WEIGHTS_SECONDS = 0.25
"""Price of weights that are older than the newest named: a fifth of an answer's worth."""
_FAILURE_SECONDS = 2.0
"""Price of a target all of whose recent answers failed."""
_FETCH_MARGIN = 1.3
"""A fetch is taken to last so much longer than its link alone would need."""
_FAR_LINK_FACTOR = 2.0
"""Moves between data centres take twice as long."""
_LOADING_SECONDS = 30.0
"""Price of an engine that is loading weights: it is used only when there is no other."""


class Recall(NamedTuple):
    """Which kept parts a run fetches, and what it then must read itself.

    `sources` has one store a part, None where the part is read.
    """

    sources: tuple[StoreTraits | None, ...]
    unread: int
    fetch_seconds: float


class EngineChoice(NamedTuple):
    """An engine, and what its run fetches; `seconds` to the first event, estimated."""

    instance: Instance
    recall: Recall
    seconds: float
    cost: float


def recall(
    prompt: Prompt,
    *,
    traits: EngineTraits,
    data_centre: str,
    holders: Callable[[Part], Sequence[StoreTraits]],
) -> Recall:
    """Return what to fetch for `prompt` at an engine in `data_centre`.

    Only parts from the first on without a gap are of use: a part behind one
    that is read must be read too, for the engine keeps them in order.
    """
    sources: list[StoreTraits | None] = []
    seconds = 0.0
    fetched = 0
    for part in prompt.shared:
        best = _quickest(holders(part), part, traits, data_centre)
        if best is None:
            break
        store, needed = best
        if needed >= part.tokens / READ_RATE:
            break
        sources.append(store)
        seconds += needed
        fetched += part.tokens
    sources += [None] * (len(prompt.parts) - len(sources))
    return Recall(tuple(sources), max(0, prompt.tokens_in - fetched), seconds)


def _quickest(
    stores: Sequence[StoreTraits], part: Part, traits: EngineTraits, data_centre: str
) -> tuple[StoreTraits, float] | None:
    best: tuple[StoreTraits, float] | None = None
    for store in stores:
        rate = min(store.link_rate, traits.link_rate) or store.link_rate
        needed = part.tokens * traits.token_bytes / rate * _FETCH_MARGIN
        if store.data_centre != data_centre:
            needed *= _FAR_LINK_FACTOR
        needed += store.first_byte
        if best is None or needed < best[1]:
            best = (store, needed)
    return best


class EngineSight(NamedTuple):
    """What is known of one engine when a request is placed.

    `behind` says that newer weights than its own were named, `loading` that
    it is about to change them.
    """

    instance: Instance
    burden: Burden
    failures: float
    behind: bool
    loading: bool


def choose_engine(
    prompt: Prompt,
    sights: Iterable[EngineSight],
    *,
    traits: EngineTraits,
    data_centre: str,
    holders: Callable[[EngineSight, Part], Sequence[StoreTraits]],
) -> EngineChoice | None:
    """Return the cheapest engine for `prompt`, None when there is none."""
    best: EngineChoice | None = None
    for sight in sights:
        instance = sight.instance
        recalled = recall(
            prompt,
            traits=traits,
            data_centre=instance.data_centre,
            holders=partial(holders, sight),
        )
        reading = (sight.burden.unread + recalled.unread) / READ_RATE
        crowd = sight.burden.running * _RUN_SECONDS
        full = max(0, sight.burden.running + 1 - traits.slots)
        seconds = reading + recalled.fetch_seconds + crowd + full * _RUN_SECONDS * 10
        cost = seconds + _surcharge(sight, data_centre)
        if best is None or cost < best.cost:
            best = EngineChoice(instance, recalled, seconds, cost)
    return best


def _surcharge(sight: EngineSight, data_centre: str) -> float:
    cost = sight.failures * _FAILURE_SECONDS
    if sight.instance.data_centre != data_centre:
        cost += _FAR_SECONDS
    if sight.behind:
        cost += _OLD_WEIGHTS_SECONDS
    if sight.loading:
        cost += _LOADING_SECONDS
    return cost


class PlainSight(NamedTuple):
    """What is known of one plain target when a request is placed."""

    instance: Instance
    burden: Burden
    failures: float


_PLAIN_WORK_SECONDS = 0.045
"""Work of a plain request on the users' sheets, less than its aim by a few times."""
_PLAIN_FAR_SECONDS = 0.01
"""Price of a plain target in another data centre: its requests are short."""


def choose_plain(
    sights: Sequence[PlainSight],
    *,
    data_centre: str,
    tried: Collection[str],
    rng: random.Random,
) -> Instance | None:
    """Return the plain target with the least expected time, None when there is none."""
    best: tuple[float, float, Instance] | None = None
    for sight in sights:
        if sight.instance.name in tried:
            continue
        slots = max(1, sight.instance.slots)
        cost = (sight.burden.running + 1) / slots * _PLAIN_WORK_SECONDS
        cost += sight.failures * _FAILURE_SECONDS
        if sight.instance.data_centre != data_centre:
            cost += _PLAIN_FAR_SECONDS
        entry = (cost, rng.random(), sight.instance)
        if best is None or entry[:2] < best[:2]:
            best = entry
    return None if best is None else best[2]
