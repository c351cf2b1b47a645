"""Choose who exchanges heartbeats with other data centres, and with whom.

Two active nodes of each data centre are its relays: the first one tells the others'
relays what its data centre sends and knows, the second does so less often and takes
its place when it falls silent.  Whoever gets such a heartbeat passes it on nearby.  So
what crosses between data centres does not grow with their nodes.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from .readers import READER_KEY, in_order

__all__ = ["CentreSize", "Contact", "RemoteNode", "contacts", "nodes_name", "relays"]

_RELAYS = 2
"""Relays of a data centre: one, and its successor."""
_GREETED = 3
"""Nodes of a data centre of which nobody is heard that are greeted in one turn."""


class CentreSize(NamedTuple):
    """How many nodes a data centre has: those that are active, and all that live."""

    active: int = 0
    alive: int = 0


class RemoteNode(NamedTuple):
    """A node of another data centre; `heard` says that it lives and is active.

    `greeted` counts the greetings that it left unanswered.
    """

    name: str
    capacity: float
    heard: bool
    greeted: int = 0


class Contact(NamedTuple):
    """A node of another data centre that gets heartbeats; `seldom` for a successor, or from one."""

    name: str
    seldom: bool


def nodes_name(data_centre: str) -> str:
    """Return the name under which a data centre's size is told among its burdens."""
    return f"nodes:{data_centre}"


def relays(names: Iterable[str], capacity: Callable[[str], float]) -> list[str]:
    """Return the relays among the active nodes of a data centre, the first one first.

    The first one is also the first to read from the platform for its data centre.
    """
    return in_order(READER_KEY, names, capacity)[:_RELAYS]


def contacts(place: int, centres: Mapping[str, Collection[RemoteNode]]) -> list[Contact]:
    """Return whom the relay at `place` sends heartbeats to in the other data centres.

    Where nobody is heard those known are greeted, the least greeted first.
    """
    found: list[Contact] = []
    for nodes in centres.values():
        capacities = {node.name: node.capacity for node in nodes if node.heard}
        chosen = relays(capacities, capacities.__getitem__)
        found += [Contact(name, place + other > 0) for other, name in enumerate(chosen)]
        if not chosen:
            silent = sorted(nodes, key=lambda node: (node.greeted, node.name))
            found += [Contact(node.name, False) for node in silent[:_GREETED]]
    return found
