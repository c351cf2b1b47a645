"""Know which nodes live, by the heartbeats that each sends to the others.

Active nodes of one data centre send heartbeats often, and tell each other what they
send to targets; farther nodes seldom, for bytes between data centres cost, and
nodes that stand by only as often as their end must be noticed.  Nothing safe
rests on this view: it only steers work.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .active import Candidate, active_names
from .heartbeat_schedule import SentHeartbeats, Standing, periods
from .readers import Reading
from .rollout import VersionAge
from .workload import Burden

__all__ = [
    "Heartbeat",
    "KeptMark",
    "KnownNode",
    "Neighbour",
    "Neighbours",
    "Standing",
]

_MISSED_HEARTBEATS = 4
"""Heartbeats in a row that datagrams may lose before a node counts as gone."""
_SLACK_SECONDS = 0.3
_SILENT_SECONDS = 10.0
"""Silence after which a node gets a heartbeat only now and then."""
_SILENT_HEARTBEAT_SECONDS = 5.0
_FORMER_LIFE_SECONDS = 2.0
"""How long a former life's heartbeats may still come after the first of a newer one:
a restart takes about a second, and datagrams wait for less on any link."""
_MOST_ADDRESSES = 64
"""Callers take no more addresses from one answer."""
_CHOSEN_SECONDS = 0.1
"""How long the choice of the active nodes is kept: it costs a sort of all."""
_MOST_UNANSWERED = 120
"""Heartbeats to a silent node, ten minutes' worth, after which it is forgotten.  They are
counted, not seconds: a process that was paused must not forget everyone."""


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


class KnownNode(NamedTuple):
    """What is known of a neighbour; `silent_seconds` None when it was never heard."""

    name: str
    data_centre: str
    silent_seconds: float | None
    active: bool
    serves: bool


class _Heard(NamedTuple):
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


class Neighbours:
    """The other nodes, and which of all nodes are active.  Not safe for threads."""

    def __init__(self, *, me: Neighbour) -> None:
        self._me = me
        self._heard: dict[str, _Heard] = {}
        self._sent = SentHeartbeats()
        self._serving = False
        self._settled = False
        self._load = 0.0
        self._active: frozenset[str] = frozenset()
        self._periods: dict[Standing, float] = {}
        self._chosen_at = float("-inf")

    @property
    def me(self) -> Neighbour:
        """Return this node."""
        return self._me

    def report(self, *, serving: bool, load: float, settled: bool = True) -> None:
        """Take whether this node can serve, and its requests a second.

        Until it has `settled`, it has not heard the others and is not active.
        """
        if (serving, settled) != (self._serving, self._settled):
            self._chosen_at = float("-inf")
        self._serving = serving
        self._settled = settled
        self._load = load

    # --- hearing ----------------------------------------------------------------

    def introduce(self, node: Neighbour) -> None:
        """Take a node from a list, not yet heard."""
        known = self._heard.get(node.name)
        if node.name != self._me.name and (known is None or known.node.boot < node.boot):
            self._heard[node.name] = _Heard(node, float("-inf"))

    def is_former(self, node: Neighbour, now: float) -> bool:
        """Return whether `node` is a former life of a node or of this one, late on its way.

        A host's time of day may have gone back before its node started again, and that
        must not stay unheard for good.
        """
        if node.name == self._me.name:
            return True
        known = self._heard.get(node.name)
        if known is None or known.node.boot <= node.boot:
            return False
        return now - known.at <= _FORMER_LIFE_SECONDS

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; True when the node was not known in this life."""
        node = heartbeat.node
        if self.is_former(node, now):
            return False
        known = self._heard.get(node.name)
        heard = _Heard(
            node=node,
            at=now,
            ready=heartbeat.ready,
            leaving=heartbeat.leaving,
            active=heartbeat.active,
            load=heartbeat.load,
            period=heartbeat.period,
            reading=heartbeat.reading,
            kept=heartbeat.kept,
        )
        self._heard[node.name] = heard
        if known is None or known.serves != heard.serves:
            self._chosen_at = float("-inf")
        return known is None or known.node.boot != node.boot

    def node(self, name: str) -> Neighbour | None:
        """Return the node called `name`."""
        heard = self._heard.get(name)
        return None if heard is None else heard.node

    def capacity(self, name: str) -> float:
        """Return the requests a second that the host of the node called `name` carries."""
        node = self._me if name == self._me.name else self.node(name)
        return 1.0 if node is None else node.capacity

    def known(self, now: float) -> list[KnownNode]:
        """Return what is known of all neighbours, by name."""
        self._choose(now)
        return [
            KnownNode(
                name=name,
                data_centre=heard.node.data_centre,
                silent_seconds=None if heard.at == float("-inf") else now - heard.at,
                active=self._is_active(heard),
                serves=heard.serves and heard.lives(now),
            )
            for name, heard in sorted(self._heard.items())
        ]

    # --- who is active ----------------------------------------------------------

    def active(self, now: float) -> frozenset[str]:
        """Return the names of the active nodes of this data centre."""
        self._choose(now)
        return self._active

    def is_active(self, now: float) -> bool:
        """Return whether this node is active."""
        return self._me.name in self.active(now)

    def is_first(self, now: float) -> bool:
        """Return whether this node does what one does for all: it is active, and first by name."""
        others = self.active_everywhere(now)
        return self.is_active(now) and all(self._me.name < node.name for node in others)

    def active_everywhere(self, now: float) -> list[Neighbour]:
        """Return the other nodes that are active in any data centre, by name.

        Those of other data centres are the ones that say so themselves.
        """
        self._choose(now)
        return [
            heard.node
            for _, heard in sorted(self._heard.items())
            if self._is_active(heard) and heard.serves and heard.lives(now)
        ]

    def sharing(self, now: float) -> int:
        """Return the number of nodes among which what all may do is shared out.

        Twice the active ones, as far as there are so many: others may take
        their place within the time for which a share counts.
        """
        active = len(self.active_everywhere(now)) + self.is_active(now)
        return max(1, min(2 * active, 1 + len(self.alive(now))))

    def addresses(self, data_centre: str, now: float) -> list[str]:
        """Return the addresses that a caller in `data_centre` should use.

        Those of its own data centre, for bytes between data centres cost; all
        active ones when there are none, or any node at all.
        """
        active = self.active_everywhere(now)
        if self.is_active(now):
            active.append(self._me)
        near = [node for node in active if node.data_centre == data_centre]
        return [node.entry for node in near or active or self._any(now)][:_MOST_ADDRESSES]

    def _any(self, now: float) -> list[Neighbour]:
        others = [h.node for _, h in sorted(self._heard.items()) if h.serves and h.lives(now)]
        return [*others, self._me] if self._serving else others

    def _candidates(self, now: float) -> Iterable[Candidate]:
        for name, heard in self._heard.items():
            if self._near(heard) and heard.serves and heard.lives(now):
                yield Candidate(name, heard.node.capacity, heard.load)
        if self._serving and self._settled:
            yield Candidate(self._me.name, self._me.capacity, self._load)

    def _is_active(self, heard: _Heard) -> bool:
        return heard.node.name in self._active if self._near(heard) else heard.active

    def _near(self, heard: _Heard) -> bool:
        return heard.node.data_centre == self._me.data_centre

    # --- who is told ------------------------------------------------------------

    def alive(self, now: float, *, data_centre: str | None = None) -> list[Neighbour]:
        """Return the nodes that are heard, the leaving ones too, by name."""
        return [
            heard.node
            for _, heard in sorted(self._heard.items())
            if heard.lives(now) and data_centre in (None, heard.node.data_centre)
        ]

    def near(self, now: float) -> list[Neighbour]:
        """Return the live nodes of this data centre."""
        return self.alive(now, data_centre=self._me.data_centre)

    def near_active(self, now: float) -> list[Neighbour]:
        """Return the other active nodes of this data centre."""
        names = self.active(now)
        return [node for node in self.near(now) if node.name in names]

    def due(self, now: float) -> list[Neighbour]:
        """Return the nodes that should get a heartbeat now, and note it.

        Nodes that answered none for minutes are forgotten.
        """
        self._choose(now)
        chosen = []
        mine = self._me.name in self._active
        for name, heard in list(self._heard.items()):
            period = self._periods[Standing(self._near(heard), mine, self._is_active(heard))]
            silent = now - heard.at > _SILENT_SECONDS and not heard.lives(now)
            if silent:
                period = _SILENT_HEARTBEAT_SECONDS
            if not self._sent.is_due(name, period=period, silent=silent, now=now):
                continue
            if self._sent.unanswered(name) > _MOST_UNANSWERED:
                self._forget(name)
            else:
                chosen.append(heard.node)
        return chosen

    def _forget(self, name: str) -> None:
        del self._heard[name]
        self._sent.forget(name)

    def standing(self, node: Neighbour, now: float) -> Standing:
        """Return how `node` stands to this one."""
        self._choose(now)
        heard = self._heard.get(node.name)
        theirs = heard is not None and self._is_active(heard)
        near = node.data_centre == self._me.data_centre
        return Standing(near, self.is_active(now), theirs)

    def period(self, standing: Standing, now: float) -> float:
        """Return the seconds between heartbeats to nodes that stand so to this one."""
        self._choose(now)
        return self._periods[standing]

    def _choose(self, now: float) -> None:
        """Choose the active nodes and the periods of heartbeats anew when that is some time old."""
        if now - self._chosen_at <= _CHOSEN_SECONDS:
            return
        self._chosen_at = now
        self._active = active_names(self._candidates(now))
        self._periods = periods(
            Counter((self._near(h), self._is_active(h)) for h in self._heard.values())
        )

    # --- what they have read ----------------------------------------------------

    def readings(self, now: float) -> dict[str, Reading]:
        """Return how far the live nodes of this data centre have read, as of `now`."""
        return {
            heard.node.name: heard.reading._replace(age=heard.reading.age + now - heard.at)
            for heard in self._near_staying(now)
        }

    def kept(self, now: float) -> dict[str, dict[str, KeptMark]]:
        """Return how far the live active nodes nearby have heard store hosts, by node."""
        names: Collection[str] = self.active(now)
        return {
            heard.node.name: {
                store: mark._replace(age=mark.age + now - heard.at)
                for store, mark in heard.kept.items()
            }
            for heard in self._near_staying(now)
            if heard.node.name in names
        }

    def _near_staying(self, now: float) -> list[_Heard]:
        return [
            heard
            for heard in self._heard.values()
            if self._near(heard) and not heard.leaving and heard.lives(now)
        ]
