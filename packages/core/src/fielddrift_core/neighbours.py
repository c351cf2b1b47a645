"""Know which nodes live, by the heartbeats that each sends to the others.

Active nodes of one data centre send heartbeats often, and tell each other what they
send to targets; nodes that stand by only as often as their end must be noticed.
Between data centres only relays exchange heartbeats.  Nothing safe rests on this
view: it only steers work.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable

from .active import Candidate, active_names
from .heartbeat import HeardNode, Heartbeat, KeptMark, KnownNode, Neighbour
from .heartbeat_schedule import SentHeartbeats, Standing, periods
from .readers import Reading
from .relays import CentreSize, Contact, RemoteNode, contacts, relays

__all__ = [
    "Heartbeat",
    "KeptMark",
    "KnownNode",
    "Neighbour",
    "Neighbours",
    "Standing",
]

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
_STANDBY_CHOSEN_SECONDS = 0.3
"""The same at a node that stands by: the choice is most of what such a node does, and they are
most nodes.  A node that leaves, or is heard anew, counts at once all the same."""
_LATELY_SECONDS = 20.0
"""How long a node counts as active of late, heard or not: longer than most cuts."""
_MOST_UNANSWERED = 120
"""Heartbeats to a silent node, ten minutes' worth, after which it is forgotten.  They are
counted, not seconds: a process that was paused must not forget everyone."""


class Neighbours:
    """The other nodes, and which of all nodes are active.  Not safe for threads."""

    def __init__(self, *, me: Neighbour) -> None:
        self._me = me
        self._heard: dict[str, HeardNode] = {}
        self._nearby: dict[str, HeardNode] = {}
        """Those of them in this data centre."""
        self._sizes: dict[str, CentreSize] = {}
        self._contacts: dict[str, Contact] = {}
        """Whom this node sends heartbeats to in other data centres."""
        self._sent = SentHeartbeats()
        self._serving = False
        self._settled = False
        self._load = 0.0
        self._active: frozenset[str] = frozenset()
        self._lately: dict[str, float] = {}
        """When each node of this data centre was last known to be active."""
        self._heard_most_at = float("-inf")
        """When this node last heard more than half of its data centre's, itself included."""
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
            self._set(HeardNode(node, float("-inf")))

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
        heard = HeardNode(
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
        self._set(heard)
        if known is None or known.serves != heard.serves:
            self._chosen_at = float("-inf")
        return known is None or known.node.boot != node.boot

    def _set(self, heard: HeardNode) -> None:
        name = heard.node.name
        self._heard[name] = heard
        if self._near(heard):
            self._nearby[name] = heard
        else:
            self._nearby.pop(name, None)

    def sized(self, data_centre: str, size: CentreSize) -> None:
        """Take how many nodes another data centre has, by its relay's word."""
        self._sizes[data_centre] = size

    def size(self, now: float) -> CentreSize:
        """Return how many nodes this data centre has."""
        me = self.is_active(now)
        return CentreSize(len(self.near_active(now)) + me, len(self.near(now)) + 1)

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

    def active_lately(self, now: float) -> frozenset[str]:
        """Return the names of the nodes of this data centre that were active of late.

        Also those that are not heard now: they may be alive behind a cut.
        """
        self._choose(now)
        return frozenset(self._lately)

    def knows_active(self, now: float) -> bool:
        """Return whether `active_lately` holds: this node has heard most nodes nearby of late.

        One that starts behind a cut, or has been behind it for long, knows nobody active.
        """
        self._choose(now)
        return now - self._heard_most_at <= _LATELY_SECONDS

    def is_active(self, now: float) -> bool:
        """Return whether this node is active."""
        return self._me.name in self.active(now)

    def is_first(self, now: float) -> bool:
        """Return whether this node does what one does for all.

        It is the first active one by name, in the first data centre by name that is heard.
        """
        others = self.active_everywhere(now)
        mine = (self._me.data_centre, self._me.name)
        return self.is_active(now) and all(mine < (n.data_centre, n.name) for n in others)

    def is_first_nearby(self, now: float) -> bool:
        """Return whether this node does what one does for its data centre."""
        active = self.active(now)
        return self._me.name in active and self._me.name == min(active)

    def active_everywhere(self, now: float) -> list[Neighbour]:
        """Return the other nodes that are active in any data centre, by name.

        Of other data centres those that are heard: their relays.
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
        sizes = [self.size(now), *self._remote_sizes(now)]
        active = sum(size.active for size in sizes)
        return max(1, min(2 * active, sum(size.alive for size in sizes)))

    def _remote_sizes(self, now: float) -> list[CentreSize]:
        heard: Counter[str] = Counter()
        for heard_node in self._remote():
            heard[heard_node.node.data_centre] += heard_node.serves and heard_node.lives(now)
        # Until a relay has told, those that are heard are all that is known.
        return [
            self._sizes.get(centre, CentreSize(count, count))
            for centre, count in heard.items()
            if count
        ]

    def _remote(self) -> list[HeardNode]:
        return [heard for heard in self._heard.values() if not self._near(heard)]

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
        for name, heard in self._nearby.items():
            if heard.serves and heard.lives(now):
                yield Candidate(name, heard.node.capacity, heard.load)
        if self._serving and self._settled:
            yield Candidate(self._me.name, self._me.capacity, self._load)

    def _is_active(self, heard: HeardNode) -> bool:
        return heard.node.name in self._active if self._near(heard) else heard.active

    def _near(self, heard: HeardNode) -> bool:
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
        return [heard.node for _, heard in sorted(self._nearby.items()) if heard.lives(now)]

    def near_active(self, now: float) -> list[Neighbour]:
        """Return the other active nodes of this data centre."""
        names = self.active(now)
        return [node for node in self.near(now) if node.name in names]

    def is_relay(self, now: float) -> bool:
        """Return whether this node exchanges heartbeats with other data centres."""
        return self._place(now) is not None

    def remote_contacts(self, now: float) -> list[Neighbour]:
        """Return the nodes in other data centres that get this node's heartbeats."""
        self._choose(now)
        return [self._heard[name].node for name in self._contacts if name in self._heard]

    def due(self, now: float) -> list[Neighbour]:
        """Return the nodes that should get a heartbeat now, and note it.

        Nodes that answered none for minutes are forgotten.
        """
        self._choose(now)
        chosen = []
        mine = self._me.name in self._active
        far = [self._heard[name] for name in self._contacts if name in self._heard]
        for heard in [*self._nearby.values(), *far]:
            name = heard.node.name
            period = self._periods[self._standing(heard, mine)]
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
        self._nearby.pop(name, None)
        self._contacts.pop(name, None)
        self._sent.forget(name)

    def standing(self, node: Neighbour, now: float) -> Standing:
        """Return how `node` stands to this one."""
        self._choose(now)
        heard = self._heard.get(node.name)
        mine = self._me.name in self._active
        return self._standing(heard or HeardNode(node, float("-inf")), mine)

    def _standing(self, heard: HeardNode, mine: bool) -> Standing:
        theirs = self._is_active(heard)
        if self._near(heard):
            return Standing(True, mine, theirs)
        contact = self._contacts.get(heard.node.name)
        seldom = mine and theirs and contact is not None and contact.seldom
        return Standing(False, mine, theirs, seldom)

    def period(self, standing: Standing, now: float) -> float:
        """Return the seconds between heartbeats to nodes that stand so to this one."""
        self._choose(now)
        return self._periods[standing]

    def _choose(self, now: float) -> None:
        """Choose the active nodes and the periods of heartbeats anew when that is some time old."""
        active = self._me.name in self._active
        if now - self._chosen_at <= (_CHOSEN_SECONDS if active else _STANDBY_CHOSEN_SECONDS):
            return
        self._chosen_at = now
        self._active = active_names(self._candidates(now))
        heard = sum(node.lives(now) for node in self._nearby.values())
        if 2 * (heard + 1) > len(self._nearby) + 1:
            self._heard_most_at = now
        self._lately |= dict.fromkeys(self._active, now)
        for name in [n for n, at in self._lately.items() if now - at > _LATELY_SECONDS]:
            del self._lately[name]
        self._periods = periods(Counter(name in self._active for name in self._nearby))
        place = self._place(now)
        found = [] if place is None else contacts(place, self._centres(now))
        self._contacts = {contact.name: contact for contact in found}

    def _place(self, now: float) -> int | None:
        """Return this node's place among the relays of its data centre, None for no relay."""
        chosen = relays(self.active(now), self.capacity)
        return chosen.index(self._me.name) if self._me.name in chosen else None

    def _centres(self, now: float) -> dict[str, list[RemoteNode]]:
        centres: dict[str, list[RemoteNode]] = {}
        for heard in self._remote():
            node = heard.node
            lives = heard.active and heard.lives(now)
            greeted = self._sent.unanswered(node.name)
            centres.setdefault(node.data_centre, []).append(
                RemoteNode(node.name, node.capacity, lives, greeted)
            )
        return centres

    # --- what they have read ----------------------------------------------------

    def readings(self, now: float) -> dict[str, Reading]:
        """Return how far the live nodes of this data centre have read, as of `now`."""
        return {
            heard.node.name: heard.reading._replace(age=heard.reading.age + now - heard.at)
            for heard in self._near_staying(now)
        }

    def remote_readings(self, now: float) -> dict[str, Reading]:
        """Return how far the live relays of other data centres have read, as of `now`."""
        return {
            heard.node.name: heard.reading._replace(age=heard.reading.age + now - heard.at)
            for heard in self._remote()
            if heard.active and not heard.leaving and heard.lives(now)
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

    def _near_staying(self, now: float) -> list[HeardNode]:
        return [heard for heard in self._nearby.values() if not heard.leaving and heard.lives(now)]
