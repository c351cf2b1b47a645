"""Know until when engines are taken to be loading weights."""

from __future__ import annotations

__all__ = ["LoadingEngines"]


class LoadingEngines:
    """Until when engines load, by this node's own knowledge and by other nodes' word.

    Only what a node knows itself is told on nearby, and a relay tells other data centres
    what it was told nearby: told by whoever was told, a load would be renewed at each hop
    by the time that a heartbeat takes.  Not safe for threads.
    """

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        self._reported_remote: dict[str, float] = {}
        self.changes = 0
        """Rises with what this node itself learns, which must count at once."""

    def record_own(self, engine: str, until: float) -> None:
        """Take that `engine` loads until then, by this node's own knowledge."""
        self._own[engine] = max(until, self._own.get(engine, until))
        self.changes += 1

    def record_reported(self, engine: str, until: float, *, remote: bool = False) -> None:
        """Take that `engine` loads until then, by another node's word.

        `remote` says that the node is in another data centre.
        """
        told = self._reported_remote if remote else self._reported
        told[engine] = max(until, told.get(engine, until))

    def ended(self, engine: str) -> None:
        """Take that `engine` has loaded."""
        self._own.pop(engine, None)
        self._reported.pop(engine, None)
        self._reported_remote.pop(engine, None)
        self.changes += 1

    def seconds(self, engine: str, now: float) -> float:
        """Return for how long `engine` is still taken to be loading, 0 when it is not."""
        until = max(times.get(engine, now) for times in self._all())
        return max(0.0, until - now)

    def own(self, now: float) -> dict[str, float]:
        """Return for how many seconds engines still load by this node's own knowledge."""
        self._expire(now)
        return {engine: until - now for engine, until in self._own.items()}

    def in_data_centre(self, now: float) -> dict[str, float]:
        """Return the same by the knowledge of this node and of those nearby."""
        self._expire(now)
        longest = dict(self._reported)
        for engine, until in self._own.items():
            longest[engine] = max(until, longest.get(engine, until))
        return {engine: until - now for engine, until in longest.items()}

    def _all(self) -> tuple[dict[str, float], ...]:
        return self._own, self._reported, self._reported_remote

    def _expire(self, now: float) -> None:
        for times in self._all():
            for engine in [name for name, until in times.items() if until <= now]:
                del times[engine]
