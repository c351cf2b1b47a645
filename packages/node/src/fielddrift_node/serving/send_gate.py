"""Decide which targets this node may send to now, based on what they report about themselves."""

from __future__ import annotations

import math
from collections.abc import Iterable

from fielddrift_core.catalog import Service
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .cold_gate import ColdGate
from .limit_gate import LimitGate
from .settings import Bounds
from .views import Views

__all__ = ["SendGate"]


class SendGate:
    """Combines the rules for cold, limited and paused targets; sends are recorded here."""

    def __init__(self, *, views: Views, neighbours: Neighbours, bounds: Bounds) -> None:
        self._views = views
        self._cold = ColdGate(views=views, neighbours=neighbours, bounds=bounds)
        self._limits = LimitGate(views=views, neighbours=neighbours)

    def allows(self, service: Service, instance: Instance, now: float) -> bool:
        """Return whether this node may send to `instance`, which is of `service`, now."""
        # Called for every engine in each choice, so the usual case, no limits, must be cheap.
        restricted = self._views.limits or self._views.pauses
        if restricted and self._wait(instance, now) > 0:
            return False
        return self._cold.allows(service, instance, now)

    def sent(self, instance: Instance, now: float) -> None:
        """Count a request that is about to be sent."""
        self._cold.sent(instance, now)
        self._limits.sent(instance, now)

    def shortest_wait(self, instances: Iterable[Instance], now: float) -> float | None:
        """Return the seconds until one of `instances` may be sent to, None if that is unknown."""
        waits = [self._wait(instance, now) for instance in instances]
        return min((wait for wait in waits if math.isfinite(wait)), default=None)

    def _wait(self, instance: Instance, now: float) -> float:
        return max(self._views.pauses.left(instance.name, now), self._limits.wait(instance, now))
