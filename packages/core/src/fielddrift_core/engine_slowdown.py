"""Learn how fast engines are from the times of their first events.

Load pattern: some or all engines work at another speed than the estimates assume, for hours.
Estimates that are too short send prompts to engines that are already full, prefill what
could be fetched, and attribute the lateness to the stores.

The slowdown of a service is what its engines have in common; that of an engine is its
deviation from the service.  Both are moving averages of logarithms, so that a single hung
response counts little, and start at a factor of 1.
"""

from __future__ import annotations

import math

__all__ = ["EngineSlowdowns"]

_SERVICE_WEIGHT = 0.03
"""Weight of the newest first event in a service's slowdown: about thirty events count."""
_ENGINE_WEIGHT = 0.1
"""Weight of the newest first event in an engine's slowdown: about ten events count."""
_MIN_RATIO = 0.3
_MAX_RATIO = 6.0
"""Bounds to which the ratio of the measured to the estimated time is clamped."""


class EngineSlowdowns:
    """Ratio of the time that engines take to the estimate for a usual engine."""

    def __init__(self) -> None:
        self._services: dict[str, float] = {}
        self._engines: dict[str, float] = {}

    def observe(self, service: str, engine: str, *, estimate: float, seconds: float) -> None:
        """Record that an engine took `seconds` for work estimated at `estimate` seconds."""
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, seconds / estimate))
        common = self._services.get(service, 0.0)
        own = self._engines.get(engine, 0.0)
        error = math.log(ratio) - common - own
        self._services[service] = common + _SERVICE_WEIGHT * error
        self._engines[engine] = own + _ENGINE_WEIGHT * error

    def factor(self, service: str, engine: str) -> float:
        """Return the ratio of an engine's time to the estimate for a usual engine."""
        common, own = self._services.get(service, 0.0), self._engines.get(engine, 0.0)
        return math.exp(common + own) if common or own else 1.0
