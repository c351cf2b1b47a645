"""Know which nodes live, by the beats that each sends to the others.

Nodes of one data centre beat often, and tell each other what they send to
targets; farther nodes beat seldom, for bytes between data centres cost.
Nothing safe rests on this view: it only steers work.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .readers import Reading
from .workload import Burden

__all__ = [
    "FAR_BEAT_SECONDS",
    "NEAR_BEAT_SECONDS",
    "Beat",
    "KeptMark",
    "Neighbour",
    "Neighbours",
    "Periods",
    "entry_addresses",
]

NEAR_BEAT_SECONDS = 0.15
FAR_BEAT_SECONDS = 0.3
_BEAT_COST_SECONDS = 0.015
"""Time between beats for each node that gets them: a node sends at most some
seventy a second to either kind of neighbour, however many there are."""
_MISSED_BEATS = 4
"""Beats in a row that datagrams may lose before a node counts as gone."""
_SLACK_SECONDS = 0.3
_SILENT_SECONDS = 10.0
"""Silence after which a node gets a beat only now and then."""
_SILENT_BEAT_SECONDS = 5.0
_MOST_ADDRESSES = 16


class Neighbour(NamedTuple):
    """A node: its name, its addresses, its data centre and the life `boot` numbers."""

    name: str
    boot: int
    data_centre: str
    entry: str
    gossip: str
    peer: str


class KeptMark(NamedTuple):
    """How far a node itself has heard a store host: its life, its events, their age."""

    life: int
    following: int
    age: float


class Periods(NamedTuple):
    """Seconds between a node's beats to near and to far nodes."""

    near: float = NEAR_BEAT_SECONDS
    far: float = FAR_BEAT_SECONDS


class Beat(NamedTuple):
    """What a node tells the others with each beat.

    `catalog` and `named` are versions in force, `named_ages` the seconds since
    those weights were first known anywhere, `burdens` its own sends by target.
    `left` are targets known to be leaving; `loading` gives the seconds for
    which an engine is taken to be loading; `weights` are versions seen at
    engines, by (instance, model).  `reading` is how far it has read, `kept` how
    far it has itself heard store hosts.  `periods` tells when the next beats
    come.  `moves` are the seconds for which its own moves take stores' links,
    `lateness` those by which fetches came late.
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
    named_ages: Mapping[str, float] = {}
    periods: Periods = Periods()
    kept: Mapping[str, KeptMark] = {}
    moves: Mapping[str, float] = {}
    lateness: Mapping[str, float] = {}


class _Heard(NamedTuple):
    node: Neighbour
    ready: bool
    leaving: bool
    at: float
    reading: Reading = Reading()
    periods: Periods = Periods()
    kept: Mapping[str, KeptMark] = {}


class Neighbours:
    """The other nodes.  Not safe for threads."""

    def __init__(self, *, me: Neighbour) -> None:
        self._me = me
        self._heard: dict[str, _Heard] = {}
        self._sent: dict[str, float] = {}

    @property
    def me(self) -> Neighbour:
        """Return this node."""
        return self._me

    def introduce(self, node: Neighbour) -> None:
        """Take a node from a list, not yet heard."""
        known = self._heard.get(node.name)
        if node.name != self._me.name and (known is None or known.node.boot < node.boot):
            self._heard[node.name] = _Heard(node, False, False, float("-inf"))

    def hear(self, beat: Beat, now: float) -> bool:
        """Take a beat; True when the node was not known in this life."""
        node = beat.node
        if node.name == self._me.name:
            return False
        known = self._heard.get(node.name)
        if known is not None and known.node.boot > node.boot:
            return False
        self._heard[node.name] = _Heard(
            node, beat.ready, beat.leaving, now, beat.reading, beat.periods, beat.kept
        )
        return known is None or known.node.boot != node.boot

    def periods(self, now: float) -> Periods:
        """Return the seconds between this node's beats, longer where there are many nodes."""
        near = len(self.near(now))
        far = len(self.alive(now)) - near
        return Periods(
            max(NEAR_BEAT_SECONDS, near * _BEAT_COST_SECONDS),
            max(FAR_BEAT_SECONDS, far * _BEAT_COST_SECONDS),
        )

    def alive(self, now: float, *, data_centre: str | None = None) -> list[Neighbour]:
        """Return the nodes that are heard, the leaving ones too, by name."""
        return [
            heard.node
            for _, heard in sorted(self._heard.items())
            if self._lives(heard, now) and data_centre in (None, heard.node.data_centre)
        ]

    def serving(self, now: float) -> list[Neighbour]:
        """Return the nodes that are heard, ready and not leaving, by name."""
        return [
            heard.node
            for _, heard in sorted(self._heard.items())
            if self._lives(heard, now) and heard.ready and not heard.leaving
        ]

    def due(self, now: float) -> list[Neighbour]:
        """Return the nodes that should get a beat now, and note it."""
        chosen = []
        periods = self.periods(now)
        for name, heard in self._heard.items():
            near = heard.node.data_centre == self._me.data_centre
            period = periods.near if near else periods.far
            if now - heard.at > _SILENT_SECONDS:
                period = _SILENT_BEAT_SECONDS
            if now - self._sent.get(name, float("-inf")) >= period * 0.9:
                self._sent[name] = now
                chosen.append(heard.node)
        return chosen

    def near(self, now: float) -> list[Neighbour]:
        """Return the live nodes of this data centre."""
        return self.alive(now, data_centre=self._me.data_centre)

    def readings(self, now: float) -> dict[str, Reading]:
        """Return how far the live nodes of this data centre have read, as of `now`."""
        found = {}
        for name, heard in self._heard.items():
            near = heard.node.data_centre == self._me.data_centre
            if near and not heard.leaving and self._lives(heard, now):
                found[name] = heard.reading._replace(age=heard.reading.age + now - heard.at)
        return found

    def kept(self, store: str, now: float) -> dict[str, KeptMark]:
        """Return how far the live nodes of this data centre have heard `store`."""
        found = {}
        for name, heard in self._heard.items():
            near = heard.node.data_centre == self._me.data_centre
            if near and not heard.leaving and self._lives(heard, now):
                mark = heard.kept.get(store, KeptMark(0, 0, float("inf")))
                found[name] = mark._replace(age=mark.age + now - heard.at)
        return found

    def node(self, name: str) -> Neighbour | None:
        """Return the node called `name`."""
        heard = self._heard.get(name)
        return None if heard is None else heard.node

    def _lives(self, heard: _Heard, now: float) -> bool:
        near = heard.node.data_centre == self._me.data_centre
        period = heard.periods.near if near else heard.periods.far
        return now - heard.at <= period * _MISSED_BEATS + _SLACK_SECONDS


def entry_addresses(nodes: Iterable[Neighbour], *, data_centre: str) -> list[str]:
    """Return the addresses a caller in `data_centre` should use.

    Those of its own data centre, for bytes between data centres cost; all
    when there are none.
    """
    listed = list(nodes)
    near = [node.entry for node in listed if node.data_centre == data_centre]
    return (near or [node.entry for node in listed])[:_MOST_ADDRESSES]
