"""Select the relays, which exchange heartbeats with other data centres, and their contacts.

Two active nodes of each data centre are its relays.  The primary relay sends the state of its
data centre to the relays of the others.  The standby relay does so less often, and replaces
the primary when that one fails.  A node that receives such a heartbeat forwards it within its
own data centre.  So the traffic between data centres does not grow with their nodes.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from .readers import READER_KEY, reader_order

__all__ = ["Contact", "DataCentreSize", "RemoteNode", "contacts", "relays", "size_entry_name"]

_RELAY_COUNT = 2
"""Relays of a data centre: a primary and a standby."""
_PROBED_COUNT = 3
"""Nodes that are sent heartbeats in a data centre without any live active node."""


class DataCentreSize(NamedTuple):
    """The numbers of active nodes and of live nodes in a data centre."""

    active: int = 0
    alive: int = 0


class RemoteNode(NamedTuple):
    """A node of another data centre; `heard`: it is alive and active.

    `unanswered` counts the heartbeats to it since it was last alive.
    """

    name: str
    capacity: float
    heard: bool
    unanswered: int = 0


class Contact(NamedTuple):
    """A node of another data centre that is sent heartbeats.

    `infrequent`: it or this node is a standby relay.
    """

    name: str
    infrequent: bool


def size_entry_name(data_centre: str) -> str:
    """Return the name under which a data centre's size is sent among its burdens."""
    return f"nodes:{data_centre}"


def relays(names: Iterable[str], capacity: Callable[[str], float]) -> list[str]:
    """Return the relays among the active nodes of a data centre, the primary first.

    The primary is also the first choice to read from the platform for its data centre.
    """
    return reader_order(READER_KEY, names, capacity)[:_RELAY_COUNT]


def contacts(relay_index: int, data_centres: Mapping[str, Collection[RemoteNode]]) -> list[Contact]:
    """Return the nodes of other data centres to which the relay `relay_index` sends heartbeats.

    In a data centre without live active nodes some known nodes are probed, those with the
    fewest unanswered heartbeats first.
    """
    found: list[Contact] = []
    for nodes in data_centres.values():
        capacities = {node.name: node.capacity for node in nodes if node.heard}
        chosen = relays(capacities, capacities.__getitem__)
        found += [Contact(name, relay_index + other > 0) for other, name in enumerate(chosen)]
        if not chosen:
            silent = sorted(nodes, key=lambda node: (node.unanswered, node.name))
            found += [Contact(node.name, False) for node in silent[:_PROBED_COUNT]]
    return found
