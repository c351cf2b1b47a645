"""Decide which targets this node may send to now, based on what they report about themselves."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from fielddrift_core.catalog import Service
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.target_registry import Instance

from .brittle_gate import BrittleGate
from .cold_gate import ColdGate
from .limit_gate import LimitGate
from .settings import Bounds
from .views import Views

__all__ = ["SendGate"]


class SendGate:
    """Combines the rules for cold, limited, paused, brittle and unresponsive targets.

    Sends are recorded here.
    """

    def __init__(self, *, views: Views, neighbours: Neighbours, bounds: Bounds) -> None:
        self._views = views
        self._neighbours = neighbours
        self._cold = ColdGate(views=views, neighbours=neighbours, bounds=bounds)
        self._limits = LimitGate(views=views, neighbours=neighbours)
        self._brittle = BrittleGate(views=views, neighbours=neighbours)

    def allows(
        self,
        service: Service,
        instance: Instance,
        now: float,
        *,
        repeatable: bool = False,
        tried: Collection[str] = (),
    ) -> bool:
        """Return whether this node may send to `instance`, which is of `service`, now.

        `repeatable` says whether the request may be sent again after it may have run: only such
        requests are sent to unresponsive targets, as probes.  `tried` are the targets that it was
        sent to before, which do not count as alternatives.
        """
        # Called for every engine in each choice, so the usual case, no limits, must be cheap.
        if self._views.responsiveness and not self._may_respond(instance, now, repeatable, tried):
            return False
        views = self._views
        restricted = views.limits or views.pauses or views.brittle
        if restricted and self._wait(instance, now) > 0:
            return False
        if views.brittle and not self._brittle.allows(service, instance, now):
            return False
        return self._cold.allows(service, instance, now)

    def has_room(
        self, service: Service, instance: Instance, now: float, *, tokens: int = 0
    ) -> bool:
        """Return whether this node may use more of the room of `instance`, which is of `service`.

        It always may unless the target is brittle.  `tokens` is the memory that a prompt needs.
        """
        return not self._views.brittle or self._brittle.has_room(service, instance, tokens, now)

    def sent(self, instance: Instance, now: float) -> None:
        """Count a request that is about to be sent."""
        self._cold.sent(instance, now)
        self._limits.sent(instance, now)

    def shortest_wait(self, instances: Iterable[Instance], now: float) -> float | None:
        """Return the seconds until one of `instances` may be sent to, None if that is unknown."""
        waits = [self._wait(instance, now) for instance in instances]
        return min((wait for wait in waits if math.isfinite(wait)), default=None)

    def _may_respond(
        self, instance: Instance, now: float, repeatable: bool, tried: Collection[str]
    ) -> bool:
        """Return False for an unresponsive target, unless the request may probe it.

        If all targets of the service that are left are unresponsive, none is treated so: the cause
        may be on this node's side.
        """
        responsiveness = self._views.responsiveness
        if not responsiveness.is_unresponsive(instance.name):
            return True
        name, nodes = self._neighbours.me.name, self._views.nodes
        if repeatable and responsiveness.may_probe(instance.name, now, name=name, nodes=nodes):
            return True
        serving = self._views.registry.serving(instance.service)
        return all(
            other.name in tried or responsiveness.is_unresponsive(other.name) for other in serving
        )

    def _wait(self, instance: Instance, now: float) -> float:
        return max(
            self._views.pauses.left(instance.name, now),
            self._limits.wait(instance, now),
            self._brittle.wait(instance, now),
        )
