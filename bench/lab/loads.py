"""Make the loads of the laboratory: who comes when, and what goes wrong; seeded."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from fielddrift_core.prompt import Part, Prompt

from .sizes import Sizes

__all__ = ["LOADS", "Arrival", "Load", "Trouble", "make"]

_WARM_PART = 0.3
"""Part of a play before the trouble: what is in time then is what a play is held against."""
_TROUBLE_PART = 0.2
_LENGTH_SIGMA = 0.5
"""Spread of prompts' lengths (of their logarithm), as on the users' sheets."""
_LONGEST_FACTOR = 2.5
"""The longest prompts, in means."""
_TOP_TOKENS = 0.06
"""Part of the shared tokens that all prompts of a kind begin with."""
_CLASS_BURST = 2.2
"""How many times the usual prompts of one kind come in a burst of that kind alone."""


class Arrival(NamedTuple):
    """A prompt that a caller brings at `at` seconds to the node numbered `node`.

    Who `repeats` asks again at once, whatever it is told; who has a short `leaves` (seconds)
    is gone by then.  `patience` is that of its caller, in the usual one of its kind.
    """

    at: float
    node: int
    prompt: Prompt
    urgent: bool
    repeats: bool = False
    leaves: float | None = None
    patience: float = 1.0


class Trouble(NamedTuple):
    """What goes wrong: from `at` on, for `seconds`, as strong as `factor` says."""

    kind: str
    at: float
    seconds: float
    factor: float = 1.0


class Load(NamedTuple):
    """A whole play; the trouble lasts from `begins` to `ends`."""

    name: str
    arrivals: tuple[Arrival, ...]
    troubles: tuple[Trouble, ...]
    begins: float
    ends: float


class _Shape(NamedTuple):
    """How callers come: `rate` is the factor of the usual at a time, in seconds."""

    rate: Callable[[float], float] = lambda _: 1.0
    troubles: tuple[Trouble, ...] = ()
    node_part: float = 0.0
    """Part of the arrivals during the trouble that are added in one data centre."""
    repeats: float = 0.0
    leaves: float = 0.0
    urgent_only: bool | None = None
    """The kind of prompts that `rate` is about; None for both."""


_Maker = Callable[[Sizes, float, float], _Shape]
LOADS: dict[str, _Maker] = {}
"""Loads by name: each takes the sizes and when its trouble begins and ends."""


def _load(name: str) -> Callable[[_Maker], _Maker]:
    def register(maker: _Maker) -> _Maker:
        LOADS[name] = maker
        return maker

    return register


def _during(begins: float, ends: float, factor: float) -> Callable[[float], float]:
    return lambda at: factor if begins <= at < ends else 1.0


@_load("steady")
def _steady(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape()


@_load("burst")
def _burst(sizes: Sizes, begins: float, ends: float) -> _Shape:
    # Three times what the engines can serve, whatever came before.
    return _Shape(rate=_during(begins, ends, 3.0 / sizes.load))


@_load("long-burst")
def _long_burst(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(rate=_during(begins, ends, _CLASS_BURST), urgent_only=False)


@_load("urgent-burst")
def _urgent_burst(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(rate=_during(begins, ends, _CLASS_BURST), urgent_only=True)


@_load("wave")
def _wave(sizes: Sizes, begins: float, ends: float) -> _Shape:
    period = (ends - begins) / 2
    return _Shape(rate=lambda at: 1.0 + 0.6 * math.sin(2 * math.pi * at / period))


@_load("repeats")
def _repeats(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(rate=_during(begins, ends, 1.3 / sizes.load), repeats=0.3)


@_load("engines-lost")
def _engines_lost(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(troubles=(Trouble("engines-lost", begins, ends - begins, 0.4),))


@_load("engines-slow")
def _engines_slow(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(troubles=(Trouble("engines-slow", begins, ends - begins, 2.5),))


@_load("stores-emptied")
def _stores_emptied(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(troubles=(Trouble("stores-emptied", begins, ends - begins),))


@_load("one-data-centre")
def _one_data_centre(sizes: Sizes, begins: float, ends: float) -> _Shape:
    added = 2.0 / sizes.data_centres
    return _Shape(rate=_during(begins, ends, 1.0 + added), node_part=added / (1.0 + added))


@_load("callers-leave")
def _callers_leave(sizes: Sizes, begins: float, ends: float) -> _Shape:
    return _Shape(rate=_during(begins, ends, 1.3 / sizes.load), leaves=0.3)


def make(name: str, sizes: Sizes, *, seed: int) -> Load:
    """Return the load called `name`."""
    begins = sizes.seconds * _WARM_PART
    ends = begins + sizes.seconds * _TROUBLE_PART
    shape = LOADS[name](sizes, begins, ends)
    rng = random.Random(f"{name} {seed}")
    # A generator of its own: the other draws are the same for any spread.
    patience = random.Random(f"patience {name} {seed}")
    prompts = _Prompts(sizes, rng)
    arrivals = []
    most = max(shape.rate(sizes.seconds * step / 1000) for step in range(1000))
    at = 0.0
    while True:
        at += rng.expovariate(sizes.rate * most)
        if at >= sizes.seconds:
            break
        if rng.random() > shape.rate(at) / most:
            continue
        troubled = begins <= at < ends
        urgent = rng.random() < sizes.urgent_part
        other = shape.urgent_only is not None and urgent is not shape.urgent_only
        if other and rng.random() > 1.0 / shape.rate(at):
            continue
        arrivals.append(
            Arrival(
                at=at,
                node=_node(sizes, rng, shape.node_part if troubled else 0.0),
                prompt=prompts.draw(urgent),
                urgent=urgent,
                repeats=troubled and rng.random() < shape.repeats,
                leaves=sizes.aim / 3 if troubled and rng.random() < shape.leaves else None,
                patience=1.0 + sizes.patience_spread * patience.uniform(-1.0, 1.0),
            )
        )
    return Load(name, tuple(arrivals), shape.troubles, begins, ends)


def _node(sizes: Sizes, rng: random.Random, first_part: float) -> int:
    """Return the node of an arrival; nodes are dealt to the data centres in turn."""
    if rng.random() < first_part:
        return rng.randrange(0, sizes.nodes, sizes.data_centres)
    return rng.randrange(sizes.nodes)


class _Prompts:
    """The subjects that prompts are about, and prompts about them."""

    def __init__(self, sizes: Sizes, rng: random.Random) -> None:
        self._sizes = sizes
        self._rng = rng
        self._numbers = 0
        self._subjects = {
            urgent: [self._length(self._mean(urgent)) for _ in range(self._count(urgent))]
            for urgent in (False, True)
        }

    def draw(self, urgent: bool) -> Prompt:
        """Return a prompt about a subject that comes again, with a part of its own."""
        sizes, rng = self._sizes, self._rng
        factor = sizes.short_part if urgent else 1.0
        lengths = self._subjects[urgent]
        subject = rng.randrange(len(lengths))
        kind = "u" if urgent else "l"
        top = int(sizes.shared_tokens * factor * _TOP_TOKENS)
        self._numbers += 1
        own = self._length(sizes.own_tokens * factor)
        parts = (
            Part(f"{kind}top", top),
            Part(f"{kind}{subject}", lengths[subject]),
            Part(f"own{self._numbers}", own),
        )
        answer = sizes.answer_tokens if not urgent else sizes.answer_tokens * factor / 4
        out = max(1, int(answer * rng.uniform(0.5, 1.5)))
        return Prompt("model", parts, top + lengths[subject] + own, out)

    def _mean(self, urgent: bool) -> float:
        factor = self._sizes.short_part if urgent else 1.0
        return self._sizes.shared_tokens * factor * (1 - _TOP_TOKENS)

    def _count(self, urgent: bool) -> int:
        return max(1, self._sizes.subjects * (4 if urgent else 1))

    def _length(self, mean: float) -> int:
        drawn = self._rng.lognormvariate(-(_LENGTH_SIGMA**2) / 2, _LENGTH_SIGMA)
        return max(1, int(mean * min(_LONGEST_FACTOR, drawn)))
