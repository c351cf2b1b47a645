"""Order the entry addresses that a caller should use.

Nodes of the caller's data centre come first.  Within a data centre, nodes are
ordered by rendezvous hash of the requested model, so that a model's requests
reach few nodes.  Those nodes then receive load reports of the model's targets
often enough, and no node needs the reports of all targets.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .membership import Member
from .names import rank

__all__ = [
    "SMALL_FLEET_NODE_COUNT",
    "SPREAD_NODE_COUNT",
    "TTL_SECONDS",
    "EntryAnswer",
    "audience",
    "order",
]

TTL_SECONDS = 10.0
SPREAD_NODE_COUNT = 2
"""Nodes of a data centre among which a model's callers are distributed."""

SMALL_FLEET_NODE_COUNT = 12

_MAX_ADDRESS_COUNT = 8


class EntryAnswer(NamedTuple):
    """The addresses to use, best first; callers may cache them for `ttl` seconds."""

    addresses: tuple[str, ...]
    ttl: float


def order(
    members: Iterable[Member],
    *,
    data_centre: str,
    model: str = "",
    ttl: float = TTL_SECONDS,
    rotation: int = 0,
) -> EntryAnswer:
    """Return the entry answer for a caller near `data_centre`.

    `rotation` is a count of callers; it distributes them over the model's first nodes.
    """
    local: list[Member] = []
    remote: list[Member] = []
    for member in members:
        (local if member.data_centre == data_centre else remote).append(member)
    ranked = [*_rotated(_ranked(local, model), rotation), *_ranked(remote, model)]
    return EntryAnswer(tuple(ranked[:_MAX_ADDRESS_COUNT]), ttl)


def audience(members: Iterable[Member], *, model: str) -> list[Member]:
    """Return the nodes that callers of `model` use first, in all data centres.

    In a fleet of up to `SMALL_FLEET_NODE_COUNT` nodes these are all nodes.
    """
    nodes = list(members)
    if len(nodes) <= SMALL_FLEET_NODE_COUNT:
        return nodes
    chosen: list[Member] = []
    for data_centre in sorted({member.data_centre for member in nodes}):
        local_members = [member for member in nodes if member.data_centre == data_centre]
        first = _ranked(local_members, model)[:SPREAD_NODE_COUNT]
        chosen += [member for member in local_members if member.http in first]
    return chosen


def _rotated(addresses: list[str], rotation: int) -> list[str]:
    first = addresses[:SPREAD_NODE_COUNT]
    shift = rotation % len(first) if first else 0
    return [*first[shift:], *first[:shift], *addresses[SPREAD_NODE_COUNT:]]


def _ranked(members: list[Member], model: str) -> list[str]:
    return rank(model, [(member.http, 1.0) for member in members])
