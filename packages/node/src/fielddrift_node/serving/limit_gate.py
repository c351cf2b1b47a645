"""Keep what this node sends to limited targets within its part of their limits."""

from __future__ import annotations

import math

from fielddrift_core.limit_share import LimitShare
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .owners import knows_active_nodes
from .views import Views

__all__ = ["LimitGate"]

_STAND_IN_PART = 0.5
"""Part of a limit that another data centre's nodes use while no node is heard in the target's:
its own may live behind a cut, and use all of it."""


class LimitGate:
    """Say when a limited target may be sent to next, and note what is sent."""

    def __init__(self, *, views: Views, neighbours: Neighbours) -> None:
        self._views = views
        self._neighbours = neighbours
        self._share = LimitShare(node=neighbours.me.name)

    def wait(self, instance: Instance, now: float) -> float:
        """Return the seconds until this node may send to `instance`, without end for no owner."""
        limits = self._views.limits
        rate = limits.rate(instance.name)
        if rate is None:
            return 0.0
        part = self._part(instance.data_centre, now)
        if not part or not knows_active_nodes(self._views, self._neighbours, now):
            return math.inf
        nodes = self._neighbours.recently_active(now)
        spacing = self._share.spacing(instance.name, rate * part, nodes, now)
        return limits.wait(instance.name, spacing, now)

    def sent(self, instance: Instance, now: float) -> None:
        """Take that a request is about to be sent."""
        self._views.limits.sent(instance.name, now)

    def _part(self, data_centre: str, now: float) -> float:
        """Return the part of the limits of a data centre's targets that this one's nodes use."""
        mine = self._neighbours.me.data_centre
        if data_centre == mine:
            return 1.0
        heard = {node.data_centre for node in self._neighbours.active_everywhere(now)}
        # One data centre stands in where a target's own has no node left.
        stands_in = data_centre not in heard and mine == min({mine, *heard})
        return _STAND_IN_PART if stands_in else 0.0
