"""Limit what this node sends to brittle targets to its part of their room."""

from __future__ import annotations

from typing import NamedTuple

from fielddrift_core.brittle_services import NodePosition, Share, divide
from fielddrift_core.catalog import Service
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .active_nodes import knows_active_nodes
from .views import Views

__all__ = ["BrittleGate"]

_DIVISION_SECONDS = 0.1
"""How long a division of targets is kept: it sorts all targets of a service."""


class _Division(NamedTuple):
    at: float
    serial: object
    shares: dict[str, Share]


class BrittleGate:
    """Divides the targets of brittle services among the active nodes."""

    def __init__(self, *, views: Views, neighbours: Neighbours) -> None:
        self._views = views
        self._neighbours = neighbours
        self._divisions: dict[str, _Division] = {}

    def wait(self, instance: Instance, now: float) -> float:
        """Return the seconds for which a target is left alone because it rejected requests."""
        brittle = self._views.brittle
        return brittle.wait(instance.service, instance.name, now, nodes=self._views.nodes)

    def allows(self, service: Service, instance: Instance, now: float) -> bool:
        """Return whether this node has a part of a target."""
        if not self._is_divided(service, instance, now):
            return True
        return self._share(service, instance, now) is not None

    def has_room(self, service: Service, instance: Instance, tokens: int, now: float) -> bool:
        """Return whether this node's part of a target's room allows one more request.

        `tokens` is the memory that a prompt needs, 0 for a plain request.
        """
        views = self._views
        if not self._is_divided(service, instance, now):
            return True
        share = self._share(service, instance, now)
        if share is None:
            return False
        own = views.workload.own_of(instance.name)
        known = views.workload.burden_of(instance.name, now)
        engine = service.engine
        slots = instance.slots if engine is None else engine.slots
        if (
            engine is not None
            and engine.memory
            and not share.has_room(
                own=own.memory, known=known.memory, need=tokens, capacity=engine.memory
            )
        ):
            return False
        return share.has_room(own=own.running, known=known.running, need=1, capacity=max(1, slots))

    def _is_divided(self, service: Service, instance: Instance, now: float) -> bool:
        """Return whether a target is divided among the nodes.

        Limited and cold targets have owners of their own, who send less than there is room for.
        """
        views = self._views
        return (
            views.brittle.is_brittle(service.name)
            and views.limits.rate(instance.name) is None
            and not views.cold.is_cold(instance.name, now)
        )

    def _share(self, service: Service, instance: Instance, now: float) -> Share | None:
        """Return this node's part of a target, None if it belongs to others."""
        registry = self._views.registry
        known = self._divisions.get(service.name)
        if known is None or known.serial != registry.serial or now - known.at > _DIVISION_SECONDS:
            serving = registry.serving(service.name)
            names = [i.name for i in sorted(serving, key=lambda i: (i.data_centre, i.name))]
            shares = divide(names, self._position(now))
            known = self._divisions[service.name] = _Division(now, registry.serial, shares)
        return known.shares.get(instance.name)

    def _position(self, now: float) -> NodePosition | None:
        """Return this node's place among the active nodes; None before it knows them."""
        if not knows_active_nodes(self._views, self._neighbours, now):
            return None
        return self._neighbours.position(now)
