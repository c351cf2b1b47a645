"""Define the heartbeats that nodes exchange, and the state kept of each neighbour."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from .outside_values import Amount, Finite, Number, address_of
from .readers import ReadState
from .rollout import VersionAge
from .workload import Burden

__all__ = [
    "Heartbeat",
    "KnownNode",
    "Neighbour",
    "NeighbourState",
    "StorePosition",
    "check_addresses",
]

_MAX_MISSED_HEARTBEATS = 4
"""Heartbeats in a row that may be lost as datagrams before a node counts as dead."""
_JITTER_SECONDS = 0.3
"""Silence tolerated in addition: heartbeats are delayed on slow links and busy hosts."""
_NODE_CACHE_SIZE = 1024
"""Nodes whose addresses were checked: those of a large fleet."""
_DEFAULT_PERIOD_SECONDS = 0.15
"""Period stated in a heartbeat that was built without a particular receiver."""


class Neighbour(NamedTuple):
    """A node: its name, its addresses and its data centre.

    `boot` numbers the process instance and grows with each start.  `capacity` is the requests
    per second that its host can serve.
    """

    name: str
    boot: Number
    data_centre: str
    entry: str
    gossip: str
    peer: str
    capacity: Amount = 1.0


@lru_cache(maxsize=_NODE_CACHE_SIZE)
def check_addresses(node: Neighbour) -> None:
    """Raise `ValueOutOfRange` unless the addresses of `node` can be used."""
    address_of("gossip", node.gossip)
    for field, address in (("entry", node.entry), ("peer", node.peer)):
        if address:
            address_of(field, address)


class StorePosition(NamedTuple):
    """A node's position in the event stream of a store host that it reads itself.

    `life` numbers the store's process instance, `following` is the event up to which the node
    has read, and `age` the seconds since the store's last response.
    """

    life: Number
    following: Number
    age: Finite


class Heartbeat(NamedTuple):
    """The state that a node sends to another one with each heartbeat.

    `active`: the node takes callers' requests; `load`: how many per second.
    `period`: the seconds until its next heartbeat to this receiver.
    `catalog`, `named`: the versions in force of the catalog, and of the weights by model;
    `named_ages`: for how long the newest weights have been known to any node.
    `burdens`, `moves`: the node's own sends by target, and the seconds for which its own
    transfers occupy the links of stores.  A heartbeat to another data centre carries both for
    the sender's whole data centre.
    `left`: targets known to be leaving.
    `loading`: the seconds for which an engine is assumed to be loading weights.
    `weights`: versions seen at engines, as (instance, model, version).
    `reading`: the versions of the platform's rows that the node has read.
    `kept`: the node's positions in the event streams of store hosts that it reads itself.
    `lateness`: the seconds by which fetches were late.
    """

    node: Neighbour
    ready: bool
    leaving: bool
    catalog: Number
    named: Mapping[str, Number]
    burdens: Mapping[str, Burden]
    left: tuple[str, ...] = ()
    loading: Mapping[str, Finite] = {}
    weights: tuple[tuple[str, str, Number], ...] = ()
    reading: ReadState = ReadState()
    named_ages: tuple[VersionAge, ...] = ()
    period: Amount = _DEFAULT_PERIOD_SECONDS
    active: bool = True
    load: Amount = 0.0
    kept: Mapping[str, StorePosition] = {}
    moves: Mapping[str, Finite] = {}
    lateness: Mapping[str, Finite] = {}


class KnownNode(NamedTuple):
    """A summary of a neighbour; `silent_seconds` is None before its first heartbeat.

    `restarted_at` is when the node was last found to run in another process than the one that had
    been heard, minus infinity for never.
    """

    name: str
    data_centre: str
    silent_seconds: float | None
    active: bool
    serves: bool
    restarted_at: float = float("-inf")


class NeighbourState(NamedTuple):
    """A node and its last heartbeat, received at `received_at`; -inf before the first one."""

    node: Neighbour
    received_at: float
    ready: bool = False
    leaving: bool = False
    active: bool = False
    load: float = 0.0
    period: float = 10.0
    reading: ReadState = ReadState()
    kept: Mapping[str, StorePosition] = {}

    @property
    def serves(self) -> bool:
        return self.ready and not self.leaving

    def is_alive(self, now: float) -> bool:
        """Return whether the last heartbeat is recent, by the period that it stated."""
        return now - self.received_at <= self.period * _MAX_MISSED_HEARTBEATS + _JITTER_SECONDS
