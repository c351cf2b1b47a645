"""Choose the target of a request, and from where its kept parts come.

For each engine the seconds to the first event are estimated from what is
known to be there, from the parts that must be read, and from those that can
be fetched.  What a choice costs is summed in parts of an answer's worth: that
the answer comes late, tokens read although they are kept, bytes between data
centres, weights that are no longer the newest.
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
    "READ_RATE",
    "EngineChoice",
    "EngineSight",
    "Holder",
    "PlainSight",
    "Prices",
    "Recall",
    "choose_engine",
    "choose_plain",
    "has_room",
    "move_seconds",
    "reads_soon",
    "recall",
]

READ_RATE = 50_000.0
"""Prompt tokens an engine reads a second; the users' sheet says 56,900."""
_BASE_SECONDS = 0.02
"""What every run waits for its first event: the engine's set-up and first step."""
_RUN_SECONDS = 0.0015
"""What each run at an engine adds to the wait of others for their first event:
a step of some 3 ms grows by about 0.1 ms a run, and a read waits for some steps."""
_FETCH_MARGIN = 1.3
"""A fetch is taken to last so much longer than its link alone would need."""
_FAR_LINK_FACTOR = 2.0
"""Moves between data centres take twice as long."""
_LOADING_COST = 20.0
"""An engine that is loading weights is used only when there is no other."""
_TURNOVER_SECONDS = 0.4
"""Time in which the runs that fill an engine's memory make way for others: a long
prompt is read in 0.2 s and its few tokens are made in as much."""
_MEAN_READ_TOKENS = 4000
"""Tokens that a run has to read in the mean, for the number that wait at an engine."""
_MEAN_MOVE_SECONDS = 0.03
"""How long a large part takes a link in the mean, for the moves that wait for it."""
LONG_ANSWER_TOKENS = 40
"""Tokens from which an answer counts as long: it takes over a second at some 30 ms each."""
_READING_ROOM_SECONDS = 0.2
"""Reading that an engine is sent ahead for less urgent prompts: longer than the news of a first
event takes, so that it does not rest, and short enough for urgent prompts that come then."""
FAILING_SHARE = 0.2
"""Share of failures from which an engine counts as not working, the first failure of some
included: one that is gone holds nothing, and would draw everyone who waits for room."""
_LATE_FROM = 0.75
_LATE_TO = 1.25
"""Estimates between these parts of the aim grow from surely in time to surely late."""


class Prices(NamedTuple):
    """What matters beside time, each as a part of what an answer in time is worth.

    From the users' sheets: an answer that is `late` loses four fifths; reading
    a thousand kept tokens `again` costs about 0.37 credits of a long prompt's
    2.6; the bytes of a long prompt to a `far` data centre cost a twentieth; an
    answer on `old` weights loses a fifth.  `time` prefers the quicker of two
    that are both in time, `failure` those whose answers did not fail.  A long
    answer at an engine that loads `soon` keeps it from loading for a second or two,
    as long as some other engine is out of service.
    """

    late: float = 0.8
    again: float = 0.14
    far: float = 0.05
    old: float = 0.2
    soon: float = 0.25
    time: float = 0.3
    failure: float = 2.0


class Holder(NamedTuple):
    """A store that keeps a part, and the seconds until its link is free for a fetch."""

    store: StoreTraits
    wait: float = 0.0


class Recall(NamedTuple):
    """Which kept parts a run fetches, and what it then must read itself.

    `sources` has one store a part, None where the part is read; `again` counts
    the tokens that are read although a store keeps them.  `delays` is how many
    seconds the fetches add up to for other moves that wait for the same links.
    """

    sources: tuple[StoreTraits | None, ...]
    unread: int
    fetch_seconds: float
    again: int = 0
    delays: float = 0.0


class EngineChoice(NamedTuple):
    """An engine, and what its run fetches; `seconds` to the first event, estimated.

    `work` is the engine's part of them at the usual pace, `pace` how much longer this one takes.
    """

    instance: Instance
    recall: Recall
    seconds: float
    cost: float
    burden: Burden = Burden()
    work: float = 0.0
    pace: float = 1.0

    def reading(self, tokens: int) -> float:
        """Return the seconds in which the engine reads `tokens`."""
        return tokens / READ_RATE * self.pace


class EngineSight(NamedTuple):
    """What is known of one engine when a request is placed.

    `behind` says that newer weights than its own were named, `loading` that
    it is changing them, `soon` that it does so next.  `left` is the seconds in which a first
    event must come from it.  `memory` are ids of parts that it was sent lately and so
    probably still has.  `weights` is the version that it has, `pace` how long it takes in parts
    of what a usual one does.
    """

    instance: Instance
    burden: Burden
    failures: float
    behind: bool
    loading: bool
    memory: Collection[str] = ()
    soon: bool = False
    left: float = float("inf")
    weights: int = 0
    pace: float = 1.0


_PRICES = Prices()

Holders = Callable[[EngineSight, Part], Sequence[Holder]]


def recall(
    prompt: Prompt,
    *,
    traits: EngineTraits,
    data_centre: str,
    holders: Callable[[Part], Sequence[Holder]],
    memory: Collection[str] = (),
    fetching: bool = True,
) -> Recall:
    """Return what to fetch for `prompt` at an engine in `data_centre`.

    Only parts from the first on without a gap are of use: a part behind one
    that is read must be read too, for the engine keeps them in order.
    """
    sources: list[StoreTraits | None] = []
    seconds = 0.0
    delays = 0.0
    ready = 0
    again = 0
    gap = False
    for part in prompt.shared:
        best = None if gap else _quickest(holders(part), part, traits, data_centre)
        if not gap and part.id in memory:
            sources.append(best.store if best is not None and fetching else None)
            ready += part.tokens
        elif best is not None and fetching:
            sources.append(best.store)
            seconds += best.seconds
            delays += best.delays
            ready += part.tokens
        else:
            again += part.tokens if gap or best is not None else 0
            gap = True
    sources += [None] * (len(prompt.parts) - len(sources))
    return Recall(tuple(sources), max(0, prompt.tokens_in - ready), seconds, again, delays)


def move_seconds(
    tokens: int, store: StoreTraits, *, traits: EngineTraits, data_centre: str
) -> float:
    """Return how long a move between a store and an engine in `data_centre` takes the link."""
    rate = min(store.link_rate, traits.link_rate) or store.link_rate
    seconds = tokens * traits.token_bytes / rate
    return seconds if store.data_centre == data_centre else seconds * _FAR_LINK_FACTOR


class _Fetch(NamedTuple):
    store: StoreTraits
    seconds: float
    delays: float


def _quickest(
    holders: Sequence[Holder], part: Part, traits: EngineTraits, data_centre: str
) -> _Fetch | None:
    best: _Fetch | None = None
    for store, wait in holders:
        moving = move_seconds(part.tokens, store, traits=traits, data_centre=data_centre)
        needed = moving * _FETCH_MARGIN + store.first_byte_delay + wait
        if best is None or needed < best.seconds:
            best = _Fetch(store, needed, moving * wait / _MEAN_MOVE_SECONDS)
    return best


def choose_engine(
    prompt: Prompt,
    sights: Iterable[EngineSight],
    *,
    traits: EngineTraits,
    data_centre: str,
    aim: float,
    holders: Holders,
    prices: Prices = _PRICES,
    room_part: float | None = None,
) -> EngineChoice | None:
    """Return the cheapest engine for `prompt`, None when there is none in time.

    `aim` is the seconds in which the first event should come.  With `room_part`
    only engines count that have room for the prompt in that part of their memory, and
    none that does not work while another does.
    """
    best: EngineChoice | None = None
    if room_part is not None:
        sights = _fitting(list(sights), prompt, traits, room_part)
    for sight in sights:
        for fetching in (True, False):
            recalled = recall(
                prompt,
                traits=traits,
                data_centre=sight.instance.data_centre,
                holders=partial(holders, sight),
                memory=sight.memory,
                fetching=fetching,
            )
            choice = _priced(sight, recalled, prompt, traits, data_centre, aim, prices)
            in_time = choice.seconds <= sight.left
            if in_time and (best is None or choice.cost < best.cost):
                best = choice
            if not any(recalled.sources):
                # Nothing to fetch: reading everything is the same choice.
                break
    return best


def _fitting(
    sights: Sequence[EngineSight], prompt: Prompt, traits: EngineTraits, part: float
) -> list[EngineSight]:
    working = [s for s in sights if not s.loading and s.failures < FAILING_SHARE]
    return [s for s in working or sights if has_room(s.burden, prompt, traits, part)]


def has_room(burden: Burden, prompt: Prompt, traits: EngineTraits, part: float) -> bool:
    """Return whether `part` of an engine's memory holds `prompt` beside what is there.

    An idle engine takes any prompt; an engine of unknown memory too.
    """
    if not traits.memory or not burden.memory:
        return True
    return burden.memory + prompt.tokens <= part * traits.memory


def reads_soon(burden: Burden, pace: float) -> bool:
    """Return whether an engine begins to read soon what it is sent now."""
    return burden.unread / READ_RATE * pace <= _READING_ROOM_SECONDS


def _priced(
    sight: EngineSight,
    recalled: Recall,
    prompt: Prompt,
    traits: EngineTraits,
    data_centre: str,
    aim: float,
    prices: Prices,
) -> EngineChoice:
    burden = sight.burden
    reading = (burden.unread + recalled.unread) / READ_RATE
    waiting = max(0, burden.running + 1 - traits.slots) * _RUN_SECONDS * 10
    if traits.memory:
        overfull = max(0, burden.memory + prompt.tokens - traits.memory)
        waiting += overfull / traits.memory * _TURNOVER_SECONDS
    work = _BASE_SECONDS + reading + burden.running * _RUN_SECONDS + waiting
    seconds = work * sight.pace + recalled.fetch_seconds
    cost = prices.late * _lateness(seconds / aim) + prices.time * seconds / aim
    cost += prices.again * recalled.again / 1000
    # What this run reads and moves delays the others that wait there.
    waiting_runs = burden.unread / _MEAN_READ_TOKENS
    delays = recalled.unread / READ_RATE * sight.pace * waiting_runs + recalled.delays
    cost += prices.late * delays / aim
    cost += prices.failure * sight.failures
    cost += prices.far if sight.instance.data_centre != data_centre else 0.0
    cost += prices.old if sight.behind else 0.0
    cost += prices.soon if sight.soon and prompt.tokens_out >= LONG_ANSWER_TOKENS else 0.0
    cost += _LOADING_COST if sight.loading else 0.0
    return EngineChoice(sight.instance, recalled, seconds, cost, burden, work, sight.pace)


def _lateness(part: float) -> float:
    """Return how sure it is that an estimate of `part` of the aim ends late."""
    return min(1.0, max(0.0, (part - _LATE_FROM) / (_LATE_TO - _LATE_FROM)))


class PlainSight(NamedTuple):
    """What is known of one plain target when a request is placed."""

    instance: Instance
    burden: Burden
    failures: float


_PLAIN_WORK_SECONDS = 0.045
"""Work of a plain request on the users' sheets, less than its aim by a few times."""
_PLAIN_FAR_SECONDS = 0.01
"""Price of a plain target in another data centre: its requests are short."""
_PLAIN_FAILURE_SECONDS = 2.0
"""Price of a plain target all of whose recent answers failed."""


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
        cost += sight.failures * _PLAIN_FAILURE_SECONDS
        if sight.instance.data_centre != data_centre:
            cost += _PLAIN_FAR_SECONDS
        entry = (cost, rng.random(), sight.instance)
        if best is None or entry[:2] < best[:2]:
            best = entry
    return None if best is None else best[2]
