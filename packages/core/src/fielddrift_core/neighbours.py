"""Track which nodes are alive, by the heartbeats that nodes send to each other.

Active nodes of one data centre send heartbeats often, and exchange their sends to targets;
standby nodes send them only as often as the detection of a failure requires.  Between data
centres only relays exchange heartbeats.  This view only directs work: correctness must not
depend on it.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Collection, Iterable

from .active import Candidate, active_names
from .brittle_services import NodePosition
from .caller_spread import sample_hosts
from .heartbeat import Heartbeat, KnownNode, Neighbour, NeighbourState, StorePosition
from .heartbeat_schedule import Relation, SentHeartbeats, periods
from .readers import ReadState
from .relays import Contact, DataCentreSize, RemoteNode, contacts, relays

__all__ = [
    "Heartbeat",
    "KnownNode",
    "Neighbour",
    "Neighbours",
    "Relation",
    "StorePosition",
]

_SILENT_SECONDS = 10.0
"""Silence after which a node is sent heartbeats at the period below only."""
_SILENT_HEARTBEAT_SECONDS = 5.0
_FORMER_INSTANCE_SECONDS = 2.0
"""How long heartbeats of a former process instance may arrive after the first one of the next:
a restart takes about a second, and datagrams are queued for less on any link."""
_MAX_ADDRESSES = 64
"""Callers use at most this many addresses of a response."""
_MAX_NAMED_SILENCE_SECONDS = 4.0
"""Silence after which a node is not named to callers, if its heartbeats come at least every 3 s.
A standby node counts as alive for three times as long: it may be selected as active after it has
ended."""
_PERIOD_MARGIN_SECONDS = 1.0
"""The same beyond the period of heartbeats that are less frequent: with more than two hundred
standby nodes each gets them less often than every 3 s."""
_SELECTION_SECONDS = 0.1
"""How long the selection of the active nodes is cached: it sorts all nodes."""
_STANDBY_SELECTION_SECONDS = 0.3
"""The same at a standby node: the selection is most of the work of such a node, and most nodes
are standby nodes.  A node that starts to leave, or becomes known, still counts at once."""
_RECENTLY_ACTIVE_SECONDS = 20.0
"""How long a node counts as recently active, alive or not: longer than most partitions."""
_NEAR_RELATIONS = tuple(
    tuple(Relation(True, self_active, peer_active) for peer_active in (False, True))
    for self_active in (False, True)
)
"""Relations to nodes of this data centre, by whether this node and the other one are active."""
_MAX_UNANSWERED = 120
"""Heartbeats to a silent node, over ten minutes, after which it is removed.  They are counted
instead of seconds because a process that was paused must not remove all nodes."""


class Neighbours:
    """The other nodes, and which of all nodes are active.  Not thread-safe."""

    def __init__(self, *, me: Neighbour) -> None:
        self._me = me
        self._states: dict[str, NeighbourState] = {}
        self._nearby: dict[str, NeighbourState] = {}
        """The states of the nodes in this data centre."""
        self._remote: dict[str, NeighbourState] = {}
        """The states of the nodes in other data centres."""
        self._restarted_at: dict[str, float] = {}
        """When each node that had been heard was found to have started again: at the heartbeat of
        its next process, infinity until that comes."""
        self._disconnected: set[str] = set()
        """The nodes, this one included, that reach no target by themselves."""
        self._sizes: dict[str, DataCentreSize] = {}
        self._contacts: dict[str, Contact] = {}
        """The nodes of other data centres to which this node sends heartbeats."""
        self._sent = SentHeartbeats()
        self._serving = False
        self._settled = False
        self._load = 0.0
        self._active: frozenset[str] = frozenset()
        self._last_active: dict[str, float] = {}
        """When each node of this data centre was last known to be active."""
        self._quorum_at = float("-inf")
        """When more than half of the nodes of this data centre, this one included, were alive."""
        self._periods: dict[Relation, float] = {}
        self._selected_at = float("-inf")

    @property
    def me(self) -> Neighbour:
        """Return this node."""
        return self._me

    def update_self(self, *, serving: bool, load: float, settled: bool = True) -> None:
        """Set whether this node can serve, and its load in requests per second.

        Until it has `settled`, it has not received the others' heartbeats and is not active.
        """
        if (serving, settled) != (self._serving, self._settled):
            self._selected_at = float("-inf")
        self._serving = serving
        self._settled = settled
        self._load = load

    # --- Received heartbeats --------------------------------------------------------

    def add(self, node: Neighbour) -> None:
        """Add a node from a list, from which no heartbeat has been received yet."""
        known = self._states.get(node.name)
        if node.name != self._me.name and (known is None or known.node.boot < node.boot):
            if known is not None and known.received_at != float("-inf"):
                self._restarted_at[node.name] = float("inf")
            self._set(NeighbourState(node, float("-inf")))

    def is_former_instance(self, node: Neighbour, now: float) -> bool:
        """Return whether `node` is a former process instance of a node or of this one.

        Delayed heartbeats of such an instance must be ignored, but not for ever: the clock of a
        host may have been set back before its node restarted, so that the new instance has the
        lower number.
        """
        if node.name == self._me.name:
            return True
        known = self._states.get(node.name)
        if known is None or known.node.boot <= node.boot:
            return False
        return now - known.received_at <= _FORMER_INSTANCE_SECONDS

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return whether its process instance was not known before."""
        node = heartbeat.node
        if self.is_former_instance(node, now):
            return False
        known = self._states.get(node.name)
        self._record_restart(known, node, now)
        heard = NeighbourState(
            node,
            now,
            heartbeat.ready,
            heartbeat.leaving,
            heartbeat.active,
            heartbeat.load,
            heartbeat.period,
            heartbeat.reading,
            heartbeat.kept,
        )
        self._set(heard)
        if known is None or known.serves != heard.serves:
            self._selected_at = float("-inf")
        return known is None or known.node.boot != node.boot

    def _record_restart(self, known: NeighbourState | None, node: Neighbour, now: float) -> None:
        """Record when a node is heard whose former process was heard, too."""
        is_listed = self._restarted_at.get(node.name) == float("inf")
        was_heard = known is not None and known.received_at != float("-inf")
        if is_listed or (was_heard and known is not None and known.node.boot != node.boot):
            self._restarted_at[node.name] = now

    def _set(self, heard: NeighbourState) -> None:
        name = heard.node.name
        self._states[name] = heard
        if heard.node.data_centre == self._me.data_centre:
            self._nearby[name] = heard
            self._remote.pop(name, None)
        else:
            self._remote[name] = heard
            self._nearby.pop(name, None)

    def set_disconnected(self, name: str, disconnected: bool) -> None:
        """Set whether the node `name` reaches no target by itself."""
        if disconnected:
            self._disconnected.add(name)
        else:
            self._disconnected.discard(name)

    def is_disconnected(self) -> bool:
        """Return whether this node reaches no target by itself."""
        return self._me.name in self._disconnected

    def carriers(self, now: float) -> list[Neighbour]:
        """Return the other nodes that may carry tunnels to targets: they serve and reach some."""
        return [
            heard.node
            for name, heard in self._states.items()
            if heard.serves and heard.is_alive(now) and name not in self._disconnected
        ]

    def set_size(self, data_centre: str, size: DataCentreSize) -> None:
        """Set the numbers of nodes of another data centre, as reported by its relay."""
        self._sizes[data_centre] = size

    def size(self, now: float) -> DataCentreSize:
        """Return the numbers of nodes of this data centre."""
        active = self.active(now)
        alive = [name for name, heard in self._nearby.items() if heard.is_alive(now)]
        count = sum(name in active for name in alive) + (self._me.name in active)
        return DataCentreSize(count, len(alive) + 1)

    def node(self, name: str) -> Neighbour | None:
        """Return the node called `name`, or None."""
        heard = self._states.get(name)
        return None if heard is None else heard.node

    def capacity(self, name: str) -> float:
        """Return the requests per second that the host of the node `name` can serve."""
        node = self._me if name == self._me.name else self.node(name)
        return 1.0 if node is None else node.capacity

    def known_nodes(self, now: float) -> list[KnownNode]:
        """Return a summary of each neighbour, sorted by name."""
        self._refresh(now)
        return [
            KnownNode(
                name=name,
                data_centre=heard.node.data_centre,
                silent_seconds=(
                    None if heard.received_at == float("-inf") else now - heard.received_at
                ),
                active=self._is_active(heard),
                serves=heard.serves and heard.is_alive(now),
                restarted_at=self._restarted_at.get(name, float("-inf")),
            )
            for name, heard in sorted(self._states.items())
        ]

    # --- Active nodes ---------------------------------------------------------------

    def active(self, now: float) -> frozenset[str]:
        """Return the names of the active nodes of this data centre."""
        self._refresh(now)
        return self._active

    def recently_active(self, now: float) -> frozenset[str]:
        """Return the names of the nodes of this data centre that were active recently.

        Nodes that are not known to be alive now are included: they may be behind a partition.
        """
        self._refresh(now)
        return frozenset(self._last_active)

    def had_recent_quorum(self, now: float) -> bool:
        """Return whether most nodes of this data centre were alive recently.

        Otherwise `recently_active` is not valid: a node that starts behind a partition, or has
        been behind one for long, does not know the active nodes.
        """
        self._refresh(now)
        return now - self._quorum_at <= _RECENTLY_ACTIVE_SECONDS

    def is_active(self, now: float) -> bool:
        """Return whether this node is active."""
        return self._me.name in self.active(now)

    def is_coordinator(self, now: float) -> bool:
        """Return whether this node performs the tasks of a single node for the whole fleet.

        It is the first active node by name, in the first data centre by name that is reachable.
        More than one node may be the coordinator during a partition.
        """
        if not self.is_active(now):
            return False
        mine = (self._me.data_centre, self._me.name)
        return not any(
            (heard.node.data_centre, name) < mine for name, heard in self._active_states(now)
        )

    def is_local_coordinator(self, now: float) -> bool:
        """Return whether this node performs the tasks of a single node for its data centre."""
        active = self.active(now)
        return self._me.name in active and self._me.name == min(active)

    def active_everywhere(self, now: float) -> list[Neighbour]:
        """Return the other live nodes that are active in any data centre, sorted by name.

        Of other data centres only the nodes that send heartbeats here are known: their relays.
        """
        return [heard.node for _, heard in sorted(self._active_states(now))]

    def _active_states(self, now: float) -> list[tuple[str, NeighbourState]]:
        self._refresh(now)
        near = ((name, self._nearby[name]) for name in self._active if name in self._nearby)
        remote = ((name, heard) for name, heard in self._remote.items() if heard.active)
        return [
            (name, heard)
            for name, heard in itertools.chain(near, remote)
            if heard.serves and heard.is_alive(now)
        ]

    def sharing(self, now: float) -> int:
        """Return the number of nodes among which a limit for all nodes is divided.

        It is twice the number of active nodes, at most that of live nodes: standby nodes may
        become active while a share is valid.
        """
        sizes = [self.size(now), *self._remote_sizes(now)]
        active = sum(size.active for size in sizes)
        return max(1, min(2 * active, sum(size.alive for size in sizes)))

    def position(self, now: float) -> NodePosition | None:
        """Return this node's place among the active nodes of all data centres.

        They are ordered by data centre and name; None for a node that is not active.
        """
        active = sorted(self.active(now))
        if self._me.name not in active:
            return None
        index, count = active.index(self._me.name), len(active)
        for data_centre, size in self._sizes_by_data_centre(now).items():
            count += size.active
            index += size.active if data_centre < self._me.data_centre else 0
        return NodePosition(index, count)

    def _remote_sizes(self, now: float) -> list[DataCentreSize]:
        return list(self._sizes_by_data_centre(now).values())

    def _sizes_by_data_centre(self, now: float) -> dict[str, DataCentreSize]:
        """Return the numbers of nodes of the other data centres."""
        heard: Counter[str] = Counter()
        for state in self._remote.values():
            heard[state.node.data_centre] += state.serves and state.is_alive(now)
        # Until a relay has reported the size, only the nodes that are alive are known.
        return {
            data_centre: self._sizes.get(data_centre, DataCentreSize(count, count))
            for data_centre, count in heard.items()
            if count
        }

    def addresses(self, data_centre: str, now: float, rng: random.Random) -> list[str]:
        """Return the addresses that a caller in `data_centre` should use.

        They are those of the active nodes of its data centre, because traffic between data
        centres costs; without any, those of all active nodes, or of all nodes that serve.  Of
        hosts that differ in capacity each call returns a random sample.
        """
        active = [node for node in self.active_everywhere(now) if self._heard_lately(node, now)]
        if self.is_active(now):
            active.append(self._me)
        near = self._reaching([node for node in active if node.data_centre == data_centre])
        if near:
            return [node.entry for node in sample_hosts(near, rng)][:_MAX_ADDRESSES]
        return [node.entry for node in active or self._any_serving(now)][:_MAX_ADDRESSES]

    def _reaching(self, nodes: list[Neighbour]) -> list[Neighbour]:
        """Return those of `nodes` that reach targets by themselves, if they are half at least.

        Fewer would have to take the requests of all; the others still serve through them.
        """
        reaching = [node for node in nodes if node.name not in self._disconnected]
        return reaching if 2 * len(reaching) >= len(nodes) else nodes

    def _any_serving(self, now: float) -> list[Neighbour]:
        others = [node for node in self.alive(now) if self._states[node.name].serves]
        heard = [node for node in others if self._heard_lately(node, now)]
        return [*heard, self._me] if self._serving else heard

    def _heard_lately(self, node: Neighbour, now: float) -> bool:
        heard = self._states[node.name]
        bound = _MAX_NAMED_SILENCE_SECONDS
        if node.data_centre == self._me.data_centre:
            bound = max(bound, heard.period + _PERIOD_MARGIN_SECONDS)
        return now - heard.received_at <= bound

    def _candidates(self, now: float) -> Iterable[Candidate]:
        for name, heard in self._nearby.items():
            if heard.serves and heard.is_alive(now):
                yield Candidate(name, heard.node.capacity, heard.load)
        if self._serving and self._settled:
            yield Candidate(self._me.name, self._me.capacity, self._load)

    def _is_active(self, heard: NeighbourState) -> bool:
        if heard.node.data_centre == self._me.data_centre:
            return heard.node.name in self._active
        return heard.active

    # --- Receivers of heartbeats ----------------------------------------------------

    def alive(self, now: float, *, data_centre: str | None = None) -> list[Neighbour]:
        """Return the live nodes, including leaving ones, sorted by name."""
        found = [
            heard.node
            for heard in self._states.values()
            if heard.is_alive(now) and data_centre in (None, heard.node.data_centre)
        ]
        return sorted(found, key=_name_of)

    def silent(self, now: float) -> list[Neighbour]:
        """Return the nodes that were heard and are not alive any more, sorted by name."""
        found = [
            heard.node
            for heard in self._states.values()
            if heard.received_at > float("-inf") and not heard.is_alive(now)
        ]
        return sorted(found, key=_name_of)

    def remote(self) -> dict[str, list[Neighbour]]:
        """Return all known nodes of the other data centres, alive or not, by data centre."""
        found: dict[str, list[Neighbour]] = {}
        for heard in self._remote.values():
            found.setdefault(heard.node.data_centre, []).append(heard.node)
        return found

    def nearby(self, now: float) -> list[Neighbour]:
        """Return the other live nodes of this data centre."""
        found = [heard.node for heard in self._nearby.values() if heard.is_alive(now)]
        return sorted(found, key=_name_of)

    def nearby_active(self, now: float) -> list[Neighbour]:
        """Return the other active nodes of this data centre."""
        nearby = self._nearby
        found = [nearby[name] for name in self.active(now) if name in nearby]
        return sorted((heard.node for heard in found if heard.is_alive(now)), key=_name_of)

    def is_relay(self, now: float) -> bool:
        """Return whether this node exchanges heartbeats with other data centres."""
        return self._relay_index(now) is not None

    def remote_contacts(self, now: float) -> list[Neighbour]:
        """Return the nodes of other data centres to which this node sends heartbeats."""
        self._refresh(now)
        return [self._states[name].node for name in self._contacts if name in self._states]

    def due(self, now: float) -> list[Neighbour]:
        """Return the nodes to which a heartbeat is due, and record the heartbeats as sent.

        Nodes that have left heartbeats unanswered for ten minutes are removed.
        """
        self._refresh(now)
        chosen = []
        self_active = self._me.name in self._active
        standby_period, active_period = (
            self._periods[relation] for relation in _NEAR_RELATIONS[self_active]
        )
        receivers = [
            (heard, active_period if name in self._active else standby_period)
            for name, heard in self._nearby.items()
        ]
        remote = [self._remote[name] for name in self._contacts if name in self._remote]
        receivers += [(h, self._periods[self._relation(h, self_active)]) for h in remote]
        for heard, period in receivers:
            name = heard.node.name
            silent = now - heard.received_at > _SILENT_SECONDS and not heard.is_alive(now)
            if silent:
                period = _SILENT_HEARTBEAT_SECONDS
            if not self._sent.record_if_due(name, period=period, silent=silent, now=now):
                continue
            if self._sent.unanswered(name) > _MAX_UNANSWERED:
                self._remove(name)
            else:
                chosen.append(heard.node)
        return chosen

    def _remove(self, name: str) -> None:
        del self._states[name]
        self._nearby.pop(name, None)
        self._remote.pop(name, None)
        self._contacts.pop(name, None)
        self._restarted_at.pop(name, None)
        self._disconnected.discard(name)
        self._sent.forget(name)

    def relation(self, node: Neighbour, now: float) -> Relation:
        """Return the relation of this node to `node`."""
        self._refresh(now)
        heard = self._states.get(node.name)
        self_active = self._me.name in self._active
        return self._relation(heard or NeighbourState(node, float("-inf")), self_active)

    def _relation(self, heard: NeighbourState, self_active: bool) -> Relation:
        peer_active = self._is_active(heard)
        if heard.node.data_centre == self._me.data_centre:
            return _NEAR_RELATIONS[self_active][peer_active]
        contact = self._contacts.get(heard.node.name)
        infrequent = self_active and peer_active and contact is not None and contact.infrequent
        return Relation(False, self_active, peer_active, infrequent)

    def period(self, relation: Relation, now: float) -> float:
        """Return the seconds between heartbeats to nodes in this relation."""
        self._refresh(now)
        return self._periods[relation]

    def _refresh(self, now: float) -> None:
        """Select the active nodes, the periods and the contacts, unless the selection is recent."""
        active = self._me.name in self._active
        if now - self._selected_at <= (
            _SELECTION_SECONDS if active else _STANDBY_SELECTION_SECONDS
        ):
            return
        self._selected_at = now
        self._active = active_names(self._candidates(now))
        heard = sum(node.is_alive(now) for node in self._nearby.values())
        if 2 * (heard + 1) > len(self._nearby) + 1:
            self._quorum_at = now
        self._last_active |= dict.fromkeys(self._active, now)
        for name in [
            n for n, at in self._last_active.items() if now - at > _RECENTLY_ACTIVE_SECONDS
        ]:
            del self._last_active[name]
        self._periods = periods(Counter(name in self._active for name in self._nearby))
        relay_index = self._relay_index(now)
        found = [] if relay_index is None else contacts(relay_index, self._remote_nodes(now))
        self._contacts = {contact.name: contact for contact in found}

    def _relay_index(self, now: float) -> int | None:
        """Return this node's index among the relays of its data centre, None for no relay."""
        chosen = relays(self.active(now), self.capacity)
        return chosen.index(self._me.name) if self._me.name in chosen else None

    def _remote_nodes(self, now: float) -> dict[str, list[RemoteNode]]:
        """Return the nodes of other data centres, by data centre."""
        found: dict[str, list[RemoteNode]] = {}
        for heard in self._remote.values():
            node = heard.node
            is_alive = heard.active and heard.is_alive(now)
            unanswered = self._sent.unanswered(node.name)
            found.setdefault(node.data_centre, []).append(
                RemoteNode(node.name, node.capacity, is_alive, unanswered)
            )
        return found

    # --- Row versions and store positions -------------------------------------------

    def read_states(self, now: float, names: Collection[str] | None = None) -> dict[str, ReadState]:
        """Return the row versions read by the live nodes of this data centre, aged to `now`.

        With `names`, only those of these nodes.
        """
        return {
            name: _aged_reading(self._nearby[name], now)
            for name in (self._nearby if names is None else sorted(names))
            if name in self._nearby and self._is_staying(self._nearby[name], now)
        }

    def remote_read_states(self, now: float) -> dict[str, ReadState]:
        """Return the row versions read by the live relays of other data centres."""
        return {
            name: _aged_reading(heard, now)
            for name, heard in self._remote.items()
            if heard.active and self._is_staying(heard, now)
        }

    def kept(self, now: float) -> dict[str, dict[str, StorePosition]]:
        """Return the store positions of the other active nodes nearby, by node and store."""
        names = self.active(now)
        return {
            name: {
                store: mark._replace(age=mark.age + now - heard.received_at)
                for store, mark in heard.kept.items()
            }
            for name, heard in self._nearby.items()
            if name in names and self._is_staying(heard, now)
        }

    def _is_staying(self, heard: NeighbourState, now: float) -> bool:
        return not heard.leaving and heard.is_alive(now)


def _name_of(node: Neighbour) -> str:
    return node.name


def _aged_reading(heard: NeighbourState, now: float) -> ReadState:
    reading = heard.reading
    age = reading.age + now - heard.received_at
    return ReadState(reading.operators, reading.targets, reading.serial, age)
