"""Decide which nodes read from the platform and from store hosts for the others.

Each call to the platform costs the users, whoever makes it.  So one node of a
data centre has the rows for it, and tells the others, who fetch from it what is new.
Of these readers the first one reads from the platform, the others fetch from it.  When
one falls silent, or what it has grows old, each of those that relied on it reads for
itself until a reader is heard again.  Reading and handing on takes a host's link and processor,
so the largest hosts do it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple, Protocol

from .active import size_class
from .names import rank

__all__ = [
    "OLD_MARK_SECONDS",
    "OPERATORS_WAIT_SECONDS",
    "READER_KEY",
    "Mark",
    "Reading",
    "Source",
    "in_order",
    "old_seconds",
    "read_seconds",
    "reader",
    "source",
    "remote_source",
    "source_of_each",
]

READER_KEY = "platform"
"""What the readers of the platform's rows are chosen for."""
_READ_PART = 0.2
"""Part of the time within which nodes must know what was written that passes between readings
of the targets.  What is read reaches the last node two heartbeats later."""
_OLD_REMOTE_PART = 0.4
"""The same for the age at which another data centre's reader is too old to rely on: it is
less than what nodes nearby bear, so that one node reads in its place, not all of them."""
OPERATORS_WAIT_SECONDS = 1.2
"""How long a reader's call waits for news of the operators' rows, and so how old they
grow in good health.  A silent call hides a change until it is given up, some 0.7 s
later: a change holds 2 s after it was acknowledged, 3 s after connections fell silent."""
_OLD_PART = 0.5
"""Part of that time at which what a reader has is too old to rely on: it missed a reading, and
half of the time is left."""
_STANDBY_OLD_PART = 0.75
"""The same for a node that stands by: it takes hardly any requests, and an active
node will have taken the reader's place before."""
_STANDBY_LEAST_OLD_SECONDS = 2.0
"""The least of it: heartbeats to nodes that stand by are up to a second apart."""
OLD_MARK_SECONDS = 2.5
"""Age at which a node's view of a store host is too old to rely on: it missed two calls
for events."""


class Mark(Protocol):
    """How far a node has heard a store host, and how many seconds ago."""

    @property
    def age(self) -> float:
        """Return the seconds since it heard."""


class Reading(NamedTuple):
    """How far a node has read: the platform's row versions, and their age in seconds.

    `serial` changes with the content of the targets' list, not with each heartbeat
    of a target.  `age` is that of what is older, the targets' entries or the operators'
    rows less the wait that is due to a call for these; it grows until the node itself
    has an answer again.  A field more would cut nodes of earlier releases off: they
    refuse a longer array, and the whole heartbeat with it.
    """

    operators: int = 0
    targets: int = 0
    serial: int = 0
    age: float = float("inf")


class Source(NamedTuple):
    """From whom a node has its views; an empty name is the platform itself."""

    name: str


def _alike(name: str) -> float:
    return 1.0


def in_order(key: str, names: Iterable[str], capacity: Callable[[str], float]) -> list[str]:
    """Return who should read what `key` names, first choice first: large hosts before small."""
    ranked = rank(key, [(name, 1.0) for name in names])
    return sorted(ranked, key=lambda name: -size_class(capacity(name)))


def read_seconds(bound: float) -> float:
    """Return the seconds between readings of the targets.

    `bound` is the seconds within which a node must know what operators and targets wrote.
    """
    return bound * _READ_PART


def old_seconds(bound: float) -> float:
    """Return the age at which a reader nearby is too old to rely on; `bound` as above."""
    return bound * _OLD_PART


def reader(key: str, names: Iterable[str], *, capacity: Callable[[str], float] = _alike) -> str:
    """Return which of `names` reads what `key` names; empty when there are none."""
    return next(iter(in_order(key, names, capacity)), "")


def source(
    me: str,
    key: str,
    readings: Mapping[str, Reading],
    *,
    active: Collection[str],
    failing: bool = False,
    capacity: Callable[[str], float] = _alike,
    bound: float = 2.0,
) -> Source:
    """Return from whom `me` should have what `key` names.

    `readings` are those of the live nodes of this data centre, `me` left out.
    The first active node in order reads; where either thing that it has is old, the next one.
    While its own readings are `failing`, `me` relies on any other that reads.  `bound` is
    as in `read_seconds`.
    """
    candidates = [name for name in [me, *readings] if name in active] or [me, *readings]
    for name in in_order(key, candidates, capacity):
        if name == me and not failing:
            return Source("")
        if name != me and readings[name].age <= old_seconds(bound):
            return Source(name)
    if me in candidates:
        return Source("")
    freshest = min(candidates, key=lambda name: readings[name].age)
    oldest = max(_STANDBY_LEAST_OLD_SECONDS, bound * _STANDBY_OLD_PART)
    return Source(freshest if readings[freshest].age <= oldest else "")


def remote_source(
    me: str,
    readings: Mapping[str, Reading],
    *,
    bound: float,
    failing: bool = False,
    capacity: Callable[[str], float] = _alike,
) -> Source:
    """Return from whom `me`, the reader of its data centre, should have the platform's rows.

    `readings` are those of relays in other data centres.  One reader reads for all that it
    reaches: each call is paid for, whoever makes it.  A reader relies only on those before
    it in order, so that two never rely on each other.  `bound` is as in `read_seconds`.
    """
    oldest = bound * _OLD_REMOTE_PART
    fresh = [name for name, reading in readings.items() if reading.age <= oldest]
    if failing and fresh:
        return Source(min(fresh, key=lambda name: readings[name].age))
    for name in in_order(READER_KEY, [me, *readings], capacity):
        if name == me:
            break
        if name in fresh:
            return Source(name)
    return Source("")


def source_of_each(
    stores: Iterable[str], marks: Mapping[str, Mapping[str, Mark]], listener: str
) -> dict[str, str]:
    """Return, by store, the node to copy its view from; stores that nobody hears are left out.

    `marks` tells by node how far it has heard each store.  The listener goes
    before the others, then whoever heard the store last.
    """
    sources: dict[str, str] = {}
    for store in stores:
        heard = {
            node: seen[store].age
            for node, seen in marks.items()
            if store in seen and seen[store].age <= OLD_MARK_SECONDS
        }
        if heard:
            sources[store] = min(heard, key=lambda node: (node != listener, heard[node], node))
    return sources
