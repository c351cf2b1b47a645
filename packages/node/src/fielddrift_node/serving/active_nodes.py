"""Decide whether this node knows the active nodes that share a target's capacity."""

from __future__ import annotations

from fielddrift_core.neighbours import Neighbours

from .views import Views

__all__ = ["knows_active_nodes"]

_DISCOVERY_SECONDS = 1.1
"""Age of a node from which it uses its share: before it has discovered the other active nodes,
it would use the whole capacity."""


def knows_active_nodes(views: Views, neighbours: Neighbours, now: float) -> bool:
    """Return whether this node knows the recently active nodes, including unreachable ones."""
    return views.age(now) >= _DISCOVERY_SECONDS and neighbours.had_recent_quorum(now)
