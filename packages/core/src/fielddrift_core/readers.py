"""Decide which nodes read from the platform and from store hosts for the others.

Each call to the platform costs the users, whoever makes it.  So one node of a
data centre reads, and tells the others, who fetch from it what is new.  When
it falls silent, or what it has grows old, each of them reads for itself until
a reader is heard again.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .names import rank

__all__ = ["READ_SECONDS", "Reading", "Source", "reader", "source"]

READ_SECONDS = 0.6
"""Time between a reader's readings of the targets: three fit into the time
within which a leaving target may still get new work."""
_OLD_SECONDS = 1.0
"""Age at which what a reader has is too old to rely on: it missed a reading."""
_STANDBY_OLD_SECONDS = 2.0
"""The same for a node that stands by: it takes hardly any requests, and an active
node will have taken the reader's place before."""


class Reading(NamedTuple):
    """How far a node has read: the platform's row versions, and their age in seconds.

    `serial` changes with the content of the targets' list, not with each beat
    of a target.
    """

    operators: int = 0
    targets: int = 0
    serial: int = 0
    age: float = float("inf")


class Source(NamedTuple):
    """From whom a node has its views; an empty name is the platform itself."""

    name: str


def reader(key: str, names: Iterable[str]) -> str:
    """Return which of `names` reads what `key` names; empty when there are none."""
    ranked = rank(key, [(name, 1.0) for name in names])
    return ranked[0] if ranked else ""


def source(
    me: str,
    key: str,
    readings: Mapping[str, Reading],
    *,
    active: Collection[str],
    failing: bool = False,
) -> Source:
    """Return from whom `me` should have what `key` names.

    `readings` are those of the live nodes of this data centre, `me` left out.
    The first active node by rank reads; where what it has is old, the next one.
    While its own readings are `failing`, `me` relies on any other that reads.
    """
    candidates = [name for name in [me, *readings] if name in active] or [me, *readings]
    for name in rank(key, [(candidate, 1.0) for candidate in candidates]):
        if name == me and not failing:
            return Source("")
        if name != me and readings[name].age <= _OLD_SECONDS:
            return Source(name)
    if me in candidates:
        return Source("")
    freshest = min(candidates, key=lambda name: readings[name].age)
    return Source(freshest if readings[freshest].age <= _STANDBY_OLD_SECONDS else "")
