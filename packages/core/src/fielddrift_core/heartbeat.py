"""What nodes tell each other with each heartbeat, and what is kept of it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .readers import Reading
from .rollout import VersionAge
from .workload import Burden

__all__ = ["HeardNode", "Heartbeat", "KeptMark", "KnownNode", "Neighbour"]

_MISSED_HEARTBEATS = 4
"""Heartbeats in a row that datagrams may lose before a node counts as gone."""
_SLACK_SECONDS = 0.3
"""Silence that is borne besides: heartbeats come late on slow links and busy hosts."""
_SHORTEST = 0.15
"""Seconds; what a heartbeat says that was put together without a receiver in mind."""


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


class Heartbeat(NamedTuple):
    """What a node tells the others with each heartbeat.

    `active` says that it takes callers' requests, `load` how many a second.
    `period` is the seconds until its next heartbeat to this receiver.
    `catalog` and `named` are versions in force, `named_ages` for how
    long the newest weights were known anywhere, `burdens` its own sends by target,
    and to another data centre those of its whole data centre, as its loads and moves.
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


class KnownNode(NamedTuple):
    """What is known of a neighbour; `silent_seconds` None when it was never heard."""

    name: str
    data_centre: str
    silent_seconds: float | None
    active: bool
    serves: bool


class HeardNode(NamedTuple):
    """A node and what its last heartbeat told, `at` when; -inf before the first."""

    node: Neighbour
    at: float
    ready: bool = False
    leaving: bool = False
    active: bool = False
    load: float = 0.0
    period: float = 10.0
    reading: Reading = Reading()
    kept: Mapping[str, KeptMark] = {}

    @property
    def serves(self) -> bool:
        return self.ready and not self.leaving

    def lives(self, now: float) -> bool:
        """Return whether it was heard lately, by the times that it told itself."""
        return now - self.at <= self.period * _MISSED_HEARTBEATS + _SLACK_SECONDS
