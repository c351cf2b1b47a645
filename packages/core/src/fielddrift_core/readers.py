"""Select the nodes that read from the platform and from store hosts on behalf of the others.

Each call to the platform is charged for, whichever node makes it.  So one node of a data
centre reads the rows, and the other nodes copy changes from it.  The readers of the data
centres are ordered in the same way: the first one reads from the platform, the others copy
from it.  When a reader fails or its state becomes stale, each node that relied on it reads
for itself until a reader is available again.  Reading and serving copies take link bandwidth
and processor time, so the largest hosts are chosen.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple, Protocol

from .active import size_class
from .names import rank
from .outside_values import Age, Number

__all__ = [
    "OPERATORS_POLL_SECONDS",
    "READER_KEY",
    "STALE_POSITION_SECONDS",
    "Position",
    "ReadState",
    "Source",
    "read_interval_seconds",
    "reader",
    "reader_order",
    "remote_source",
    "source",
    "stale_seconds",
    "store_sources",
]

READER_KEY = "platform"
"""The key by which the readers of the platform's rows are ranked."""
_READ_FRACTION = 0.2
"""Interval between reads of the targets, as a fraction of the time within which nodes must know
a write.  The last node has the result two heartbeats after the read."""
_REMOTE_STALE_FRACTION = 0.4
"""Age at which another data centre's reader is stale, as a fraction of the same time.  It is
less than for a reader nearby, so that one node reads in its place and not all of them."""
OPERATORS_POLL_SECONDS = 1.2
"""Duration of a reader's long poll for changes of the operators' rows, and so their maximum age
in normal operation.  If the call hangs, a change is seen only after the call's timeout, some
0.7 s later.  A change must be in force 2 s after its acknowledgement, or 3 s if connections
hang."""
_STALE_FRACTION = 0.5
"""Age at which a reader's state is stale, as a fraction of the time within which nodes must know
a write: the reader has missed a read, and half of the time is left."""
_STANDBY_STALE_FRACTION = 0.75
"""The same for a standby node: it takes hardly any requests, and an active node replaces the
reader earlier."""
_MIN_STANDBY_STALE_SECONDS = 2.0
"""Lower bound of that age: heartbeats to standby nodes are up to a second apart."""
_ORDER_CACHE_SIZE = 32
"""Orders of nodes that are cached: a node asks for the same few several times a second."""
STALE_POSITION_SECONDS = 2.5
"""Age at which a node's view of a store host is stale: it has missed two calls for events."""


class Position(Protocol):
    """A node's position in the event stream of a store host."""

    @property
    def age(self) -> float:
        """Return the seconds since the store host's last response."""


class ReadState(NamedTuple):
    """The row versions that a node has read from the platform, and their age in seconds.

    `serial` changes with the content of the target list, not with each heartbeat of a target.
    `age` is that of the older one of two: the targets' entries, and the operators' rows less
    the wait of a long poll for these.  It grows until the node itself has a response again.
    The number of fields is part of the message format: a node rejects a longer array, and
    the whole heartbeat with it.
    """

    operators: Number = 0
    targets: Number = 0
    serial: Number = 0
    age: Age = float("inf")


class Source(NamedTuple):
    """The node from which a node copies its views; an empty name is the platform itself."""

    name: str


def _equal_capacity(name: str) -> float:
    return 1.0


def reader_order(key: str, names: Iterable[str], capacity: Callable[[str], float]) -> list[str]:
    """Return the candidates for reading what `key` names, in order: large hosts first."""
    return list(_reader_order(key, tuple([(name, capacity(name)) for name in names])))


@lru_cache(maxsize=_ORDER_CACHE_SIZE)
def _reader_order(key: str, capacities: tuple[tuple[str, float], ...]) -> tuple[str, ...]:
    classes = {name: size_class(capacity) for name, capacity in capacities}
    ranked = rank(key, [(name, 1.0) for name in classes])
    return tuple(sorted(ranked, key=lambda name: -classes[name]))


def read_interval_seconds(bound: float) -> float:
    """Return the seconds between reads of the targets.

    `bound` is the seconds within which a node must know what operators and targets wrote.
    """
    return bound * _READ_FRACTION


def stale_seconds(bound: float) -> float:
    """Return the age at which a reader in the same data centre is stale.

    `bound` is as in `read_interval_seconds`.
    """
    return bound * _STALE_FRACTION


def reader(
    key: str, names: Iterable[str], *, capacity: Callable[[str], float] = _equal_capacity
) -> str:
    """Return the node of `names` that reads what `key` names; empty when there is none."""
    return next(iter(reader_order(key, names, capacity)), "")


def source(
    me: str,
    key: str,
    read_states: Mapping[str, ReadState],
    *,
    active: Collection[str],
    failing: bool = False,
    capacity: Callable[[str], float] = _equal_capacity,
    bound: float = 2.0,
) -> Source:
    """Return the source from which `me` should take what `key` names.

    `read_states` are those of the live nodes of this data centre except `me`.  The first active
    node in order is the reader, or the next one where its state is stale.  While the reads of
    `me` are `failing`, it relies on any other reader.  `bound` is as in
    `read_interval_seconds`.
    """
    candidates = [name for name in [me, *read_states] if name in active] or [me, *read_states]
    for name in reader_order(key, candidates, capacity):
        if name == me and not failing:
            return Source("")
        if name != me and read_states[name].age <= stale_seconds(bound):
            return Source(name)
    if me in candidates:
        return Source("")
    freshest = min(candidates, key=lambda name: read_states[name].age)
    max_age = max(_MIN_STANDBY_STALE_SECONDS, bound * _STANDBY_STALE_FRACTION)
    return Source(freshest if read_states[freshest].age <= max_age else "")


def remote_source(
    me: str,
    read_states: Mapping[str, ReadState],
    *,
    bound: float,
    failing: bool = False,
    capacity: Callable[[str], float] = _equal_capacity,
) -> Source:
    """Return the source from which `me`, the reader of its data centre, takes the rows.

    `read_states` are those of relays in other data centres.  One reader reads for all data
    centres that it reaches, because each call costs.  A reader relies only on readers before
    it in the order, so that two never rely on each other.  `bound` is as in
    `read_interval_seconds`.
    """
    max_age = bound * _REMOTE_STALE_FRACTION
    fresh = [name for name, state in read_states.items() if state.age <= max_age]
    if failing and fresh:
        return Source(min(fresh, key=lambda name: read_states[name].age))
    for name in reader_order(READER_KEY, [me, *read_states], capacity):
        if name == me:
            break
        if name in fresh:
            return Source(name)
    return Source("")


def store_sources(
    stores: Iterable[str], marks: Mapping[str, Mapping[str, Position]], listener: str
) -> dict[str, str]:
    """Return, by store, the node to copy its view from; stores without a source are omitted.

    `marks` are the positions of each node by store.  The listener is preferred, then the node
    with the most recent position.
    """
    sources: dict[str, str] = {}
    for store in stores:
        heard = {
            node: positions[store].age
            for node, positions in marks.items()
            if store in positions and positions[store].age <= STALE_POSITION_SECONDS
        }
        if heard:
            sources[store] = min(heard, key=lambda node: (node != listener, heard[node], node))
    return sources
