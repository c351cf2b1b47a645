"""Say how large a deployment of the laboratory is, and draw others around it."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import NamedTuple

__all__ = ["FIELDS", "Sizes", "SizesFault", "draw", "read_sizes"]

_SPREAD = 4.0
"""Drawn sizes lie between a fourth and four times what a deployment of today has."""
_DRAWN = (
    "read_rate",
    "step_seconds",
    "memory",
    "link_rate",
    "aim",
    "shared_tokens",
    "own_tokens",
    "answer_tokens",
    "subjects",
    "store_room",
)
_LARGEST_PROMPT_PART = 0.35
"""Part of an engine's memory that a mean long prompt may take: engines are bought for
the prompts that they are to serve."""
_BUSY_READS = 2.0
"""Prompts read at once at a busy engine, so that each takes so many times its own reading."""


class SizesFault(Exception):
    """Sizes that cannot be used; the message names the place and the value."""


class Sizes(NamedTuple):
    """A deployment: times in seconds, rates in tokens or bytes a second, sizes in tokens.

    `load` is the part of the engines' capacity that callers ask for; `urgent_part` of
    the prompts are short and urgent, a `short_part` as long as the others; their aim is the
    part `urgent_aim` of `aim`.  Those who bring the others wait `long_patience` times as long.
    Callers' patience lies within the part `patience_spread` of the usual one; they give up an
    answer that does not begin within `silence` seconds.
    """

    nodes: int = 6
    data_centres: int = 3
    engines: int = 5
    slots: int = 64
    read_rate: float = 48_000.0
    step_seconds: float = 0.0026
    step_run_seconds: float = 0.00012
    chunk: int = 2048
    memory: int = 70_000
    token_bytes: int = 18_432
    link_rate: float = 3.5e9
    stores: int = 3
    store_room: int = 600_000
    first_byte: float = 0.004
    aim: float = 1.2
    patience: float = 6.0
    load: float = 0.6
    urgent_part: float = 0.8
    short_part: float = 0.2
    shared_tokens: int = 9000
    own_tokens: int = 2900
    answer_tokens: int = 55
    subjects: int = 120
    seconds: float = 30.0
    urgent_aim: float = 1.0
    long_patience: float = 2.0
    patience_spread: float = 0.0
    silence: float = 60.0

    def aim_of(self, *, urgent: bool) -> float:
        """Return the seconds within which a first event is in time."""
        return self.aim * (self.urgent_aim if urgent else 1.0)

    def patience_of(self, *, urgent: bool) -> float:
        """Return the seconds for which callers usually wait."""
        return self.patience * (1.0 if urgent else self.long_patience)

    @property
    def capacity(self) -> float:
        """Return the prompts a second that engines can serve, worked out from the sizes.

        The least of what reading, memory and places allow where a third of the shared
        parts is read; memory and places are held while a prompt is read and answered.
        """
        prompts = [(1.0, 1.0 - self.urgent_part), (self.short_part, self.urgent_part)]
        read = tokens_held = places_held = 0.0
        for factor, part in prompts:
            unread = factor * (self.own_tokens + self.shared_tokens / 3)
            answer = self.answer_tokens if factor == 1.0 else self.answer_tokens * factor / 4
            seconds = _BUSY_READS * unread / self.read_rate
            seconds += answer * (self.step_seconds + 0.5 * self.chunk / self.read_rate)
            read += part * unread
            tokens_held += part * factor * (self.shared_tokens + self.own_tokens) * seconds
            places_held += part * seconds
        bounds = (self.read_rate / read, self.memory / tokens_held, self.slots / places_held)
        return self.engines * min(bounds)

    @property
    def rate(self) -> float:
        """Return the prompts a second that callers bring in fair weather."""
        return self.load * self.capacity


FIELDS = {name: type(value) for name, value in Sizes._field_defaults.items()}


def draw(rng: random.Random, base: Sizes = Sizes()) -> Sizes:  # noqa: B008
    """Return a deployment whose sizes lie around those of `base`."""
    drawn = {name: getattr(base, name) * _SPREAD ** rng.uniform(-1, 1) for name in _DRAWN}
    whole = {name: FIELDS[name](value) for name, value in drawn.items()}
    sizes = base._replace(**whole)
    mean = sizes.shared_tokens + sizes.own_tokens
    largest = int(_LARGEST_PROMPT_PART * sizes.memory)
    if mean > largest:
        part = largest / mean
        sizes = sizes._replace(
            shared_tokens=int(sizes.shared_tokens * part), own_tokens=int(sizes.own_tokens * part)
        )
    # Callers are patient in proportion, and an answer in time must be possible at all.
    least = 3 * (sizes.shared_tokens + sizes.own_tokens) / sizes.read_rate
    aim = max(sizes.aim, least)
    return sizes._replace(aim=aim, patience=base.patience / base.aim * aim)


def read_sizes(path: Path) -> Sizes:
    """Return the sizes in a JSON file; raise `SizesFault`."""
    try:
        given = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SizesFault(f"{path}: {error}; expected a JSON object of sizes") from None
    if not isinstance(given, dict):
        raise SizesFault(f"{path}: {given!r}: expected an object")
    for name, value in given.items():
        if name not in FIELDS:
            raise SizesFault(f"{path}: {name}: no such size, expected one of {', '.join(FIELDS)}")
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not number or not 0 < value < float("inf"):
            raise SizesFault(f"{path}: {name}: {value!r}: expected a number above 0")
    return Sizes(**{name: FIELDS[name](value) for name, value in given.items()})
