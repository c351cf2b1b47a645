"""Know whether this node can tell who shares what a target bears."""

from __future__ import annotations

from fielddrift_core.neighbours import Neighbours

from .views import Views

__all__ = ["knows_active_nodes"]

_SETTLE_SECONDS = 1.1
"""Age from which a node uses its part: until it has heard who else is active, it would
take itself for the only owner."""


def knows_active_nodes(views: Views, neighbours: Neighbours, now: float) -> bool:
    """Return whether this node knows who was active of late, also of those it cannot hear."""
    return views.age(now) >= _SETTLE_SECONDS and neighbours.had_recent_quorum(now)
