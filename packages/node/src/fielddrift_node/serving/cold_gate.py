"""Keep what this node sends to cold targets within its part of what they bear."""

from __future__ import annotations

from fielddrift_core.catalog import Service
from fielddrift_core.cold_targets import OwnShare
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .owners import knows_active_nodes
from .settings import Bounds
from .views import Views

__all__ = ["ColdGate"]


class ColdGate:
    """Say whether a target may be sent to, and count what was sent to it."""

    def __init__(self, *, views: Views, neighbours: Neighbours, bounds: Bounds) -> None:
        self._views = views
        self._neighbours = neighbours
        self._bounds = bounds
        self._share = OwnShare(node=neighbours.me.name)

    def allows(self, service: Service, instance: Instance, now: float) -> bool:
        """Return whether this node may send to `instance`, which is of `service`, now."""
        cold = self._views.cold
        if service.cold_rate <= 0 or not cold.is_cold(instance.name, now):
            return True
        me = self._neighbours.me
        # Whom other data centres have active is not known here, so they leave it to the near ones.
        if instance.data_centre != me.data_centre:
            return False
        if not knows_active_nodes(self._views, self._neighbours, now):
            return False
        nodes = self._neighbours.recently_active(now)
        sends = self._share.sends(instance.name, nodes, self._bound(service), now)
        return cold.has_room(instance.name, sends, now)

    def sent(self, instance: Instance, now: float) -> None:
        """Count a request that is about to be sent."""
        if self._views.cold.is_cold(instance.name, now):
            self._views.cold.sent(instance.name, now)

    def _bound(self, service: Service) -> float:
        """Return the most requests that a cold target gets within a second, from all nodes."""
        return service.cold_rate * self._bounds.cold_overage + self._bounds.cold_slack
