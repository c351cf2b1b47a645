"""What nodes tell each other with each heartbeat."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .readers import Reading
from .rollout import VersionAge
from .workload import Burden

__all__ = ["Heartbeat", "KeptMark", "Neighbour"]


class Neighbour(NamedTuple):
    """A node: its name, its addresses, its data centre and the life `boot` numbers.

    `capacity` is the requests a second that its host carries.
    """

    name: str
    boot: int
    data_centre: str
    entry: str
    gossip: str
    peer: str
    capacity: float = 1.0


class KeptMark(NamedTuple):
    """How far a node itself has heard a store host: its life, its events, their age."""

    life: int
    following: int
    age: float


_SHORTEST = 0.15
"""Seconds; what a heartbeat says that was put together without a receiver in mind."""


class Heartbeat(NamedTuple):
    """What a node tells the others with each heartbeat.

    `active` says that it takes callers' requests, `load` how many a second.
    `period` is the seconds until its next heartbeat to this receiver.
    `catalog` and `named` are versions in force, `named_ages` for how
    long the newest weights were known anywhere, `burdens` its own sends by target.
    `left` are targets known to be leaving; `loading` gives the seconds for
    which an engine is taken to be loading; `weights` are versions seen at
    engines, by (instance, model).  `reading` is how far it has read, `kept` how
    far it has itself heard store hosts.  `moves` are the seconds for which its
    own moves take stores' links, `lateness` those by which fetches came late.
    """

    node: Neighbour
    ready: bool
    leaving: bool
    catalog: int
    named: Mapping[str, int]
    burdens: Mapping[str, Burden]
    left: tuple[str, ...] = ()
    loading: Mapping[str, float] = {}
    weights: tuple[tuple[str, str, int], ...] = ()
    reading: Reading = Reading()
    named_ages: tuple[VersionAge, ...] = ()
    period: float = _SHORTEST
    active: bool = True
    load: float = 0.0
    kept: Mapping[str, KeptMark] = {}
    moves: Mapping[str, float] = {}
    lateness: Mapping[str, float] = {}
