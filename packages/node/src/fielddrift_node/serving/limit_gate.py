"""Limit what this node sends to rate-limited targets to its share of their limits."""

from __future__ import annotations

import math

from fielddrift_core.limit_share import LimitShare
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .active_nodes import knows_active_nodes
from .views import Views

__all__ = ["LimitGate"]

_SUBSTITUTE_FRACTION = 0.5
"""Fraction of a limit that another data centre's nodes use while no node of the target's data
centre is reachable: those may be alive behind a network partition, and use the whole limit."""


class LimitGate:
    """Computes when a rate-limited target may be sent to next, and records the sends."""

    def __init__(self, *, views: Views, neighbours: Neighbours) -> None:
        self._views = views
        self._neighbours = neighbours
        self._share = LimitShare(node=neighbours.me.name)

    def wait(self, instance: Instance, now: float) -> float:
        """Return the seconds until this node may send to `instance`.

        Return infinity if it has no share of the limit, or does not know the active nodes.
        """
        limits = self._views.limits
        rate = limits.rate(instance.name)
        if rate is None:
            return 0.0
        part = self._fraction(instance.data_centre, now)
        if not part or not knows_active_nodes(self._views, self._neighbours, now):
            return math.inf
        nodes = self._neighbours.recently_active(now)
        spacing = self._share.send_interval(instance.name, rate * part, nodes, now)
        return limits.wait(instance.name, spacing, now)

    def sent(self, instance: Instance, now: float) -> None:
        """Record that a request is about to be sent."""
        self._views.limits.sent(instance.name, now)

    def _fraction(self, data_centre: str, now: float) -> float:
        """Return the fraction of a target's limit that nodes of this data centre use.

        `data_centre` is the target's.
        """
        own = self._neighbours.me.data_centre
        if data_centre == own:
            return 1.0
        heard = {node.data_centre for node in self._neighbours.active_everywhere(now)}
        # One data centre substitutes if the target's own has no reachable node.
        substitutes = data_centre not in heard and own == min({own, *heard})
        return _SUBSTITUTE_FRACTION if substitutes else 0.0
