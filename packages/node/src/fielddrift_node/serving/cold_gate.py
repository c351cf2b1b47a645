"""Limit what this node sends to cold targets to its share of their capacity."""

from __future__ import annotations

from fielddrift_core.catalog import Service
from fielddrift_core.cold_targets import ColdShare
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .active_nodes import knows_active_nodes
from .settings import Bounds
from .views import Views

__all__ = ["ColdGate"]


class ColdGate:
    """Decides whether a cold target may be sent to, and counts the sends to it."""

    def __init__(self, *, views: Views, neighbours: Neighbours, bounds: Bounds) -> None:
        self._views = views
        self._neighbours = neighbours
        self._bounds = bounds
        self._share = ColdShare(node=neighbours.me.name)

    def allows(self, service: Service, instance: Instance, now: float) -> bool:
        """Return whether this node may send to `instance`, which is of `service`, now."""
        cold = self._views.cold
        if service.cold_rate <= 0 or not cold.is_cold(instance.name, now):
            return True
        me = self._neighbours.me
        # The active nodes of other data centres are unknown here, so only nodes in the target's
        # data centre send to a cold target.
        if instance.data_centre != me.data_centre:
            return False
        if not knows_active_nodes(self._views, self._neighbours, now):
            return False
        nodes = self._neighbours.recently_active(now)
        sends = self._share.sends(instance.name, nodes, self._max_rate(service), now)
        return cold.may_send(instance.name, sends, now)

    def sent(self, instance: Instance, now: float) -> None:
        """Count a request that is about to be sent."""
        if self._views.cold.is_cold(instance.name, now):
            self._views.cold.sent(instance.name, now)

    def _max_rate(self, service: Service) -> float:
        """Return the maximum requests per second that a cold target gets from all nodes."""
        return service.cold_rate * self._bounds.cold_overage + self._bounds.cold_slack
