"""Know until when engines are taken to be loading weights."""

from __future__ import annotations

__all__ = ["LoadingEngines"]


class LoadingEngines:
    """Until when engines load, by this node's own knowledge and by other nodes' word.

    Only what a node knows itself is told on: told by whoever was told, a load
    would be renewed at each hop by the time that a heartbeat takes.  Not safe
    for threads.
    """

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self.changes = 0
        """Rises with what this node itself learns, which must count at once."""

    def note(self, engine: str, until: float) -> None:
        """Take that `engine` loads until then, by this node's own knowledge."""
        self._own[engine] = max(until, self._own.get(engine, until))
        self.changes += 1

    def told(self, engine: str, until: float) -> None:
        """Take that `engine` loads until then, by another node's word."""
        self._told[engine] = max(until, self._told.get(engine, until))

    def ended(self, engine: str) -> None:
        """Take that `engine` has loaded."""
        self._own.pop(engine, None)
        self._told.pop(engine, None)
        self.changes += 1

    def seconds(self, engine: str, now: float) -> float:
        """Return for how long `engine` is still taken to be loading, 0 when it is not."""
        until = max(self._own.get(engine, now), self._told.get(engine, now))
        return max(0.0, until - now)

    def own(self, now: float) -> dict[str, float]:
        """Return for how many seconds engines still load by this node's own knowledge."""
        for times in (self._own, self._told):
            for engine in [name for name, until in times.items() if until <= now]:
                del times[engine]
        return {engine: until - now for engine, until in self._own.items()}
