"""Learn how quickly engines are from the first events that they gave.

Load pattern: engines work at another speed than the estimates take for granted, all of
them or some, for hours.  Estimates that are too short send prompts to engines that are
full already, read what could be fetched, and take the stores for late.

A service's pace is what its engines have in common, an engine's own pace how it differs
from that.  Both are means of logarithms, so one answer that hung counts little, and
begin at 1: as quick as estimated.
"""

from __future__ import annotations

import math

__all__ = ["EngineSlowdowns"]

_SERVICE_WEIGHT = 0.03
"""Weight of the newest first event in a service's pace: some thirty count."""
_ENGINE_WEIGHT = 0.1
_MIN_RATIO = 0.3
_MAX_RATIO = 6.0
"""First events that came earlier, or later, by more than these factors count as by these."""


class EngineSlowdowns:
    """How long engines take, in parts of what is estimated for usual ones."""

    def __init__(self) -> None:
        self._services: dict[str, float] = {}
        self._engines: dict[str, float] = {}

    def observe(self, service: str, engine: str, *, estimate: float, seconds: float) -> None:
        """Take that an engine took `seconds` for what is estimated at `estimate`."""
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, seconds / estimate))
        common = self._services.get(service, 0.0)
        own = self._engines.get(engine, 0.0)
        error = math.log(ratio) - common - own
        self._services[service] = common + _SERVICE_WEIGHT * error
        self._engines[engine] = own + _ENGINE_WEIGHT * error

    def factor(self, service: str, engine: str) -> float:
        """Return how long an engine takes, in parts of the estimate for a usual one."""
        common, own = self._services.get(service, 0.0), self._engines.get(engine, 0.0)
        return math.exp(common + own) if common or own else 1.0
