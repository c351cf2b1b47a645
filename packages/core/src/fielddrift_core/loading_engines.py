"""Track until when engines are expected to be loading weights."""

from __future__ import annotations

__all__ = ["LoadingEngines"]


class LoadingEngines:
    """Expected end of each engine's load, as observed by this node and reported by others.

    Within a data centre a node reports only what it observed itself.  A relay reports to
    other data centres what it observed or was reported within its own.  If every recipient
    forwarded reports, each hop would extend a load by the delay of a heartbeat.  Not
    thread-safe.
    """

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        self._reported_remote: dict[str, float] = {}
        self.changes = 0
        """Count of changes that this node itself observed, which must take effect at once."""

    def record_own(self, engine: str, until: float) -> None:
        """Record this node's own observation that `engine` loads until the time `until`."""
        self._own[engine] = max(until, self._own.get(engine, until))
        self.changes += 1

    def record_reported(self, engine: str, until: float, *, remote: bool = False) -> None:
        """Record another node's report that `engine` loads until the time `until`.

        `remote` says that the node is in another data centre.
        """
        reported = self._reported_remote if remote else self._reported
        reported[engine] = max(until, reported.get(engine, until))

    def ended(self, engine: str) -> None:
        """Record that `engine` has finished loading."""
        self._own.pop(engine, None)
        self._reported.pop(engine, None)
        self._reported_remote.pop(engine, None)
        self.changes += 1

    def seconds(self, engine: str, now: float) -> float:
        """Return the seconds for which `engine` is still expected to load, 0 if it is not."""
        until = max(times.get(engine, now) for times in self._all())
        return max(0.0, until - now)

    def names(self, now: float) -> set[str]:
        """Return the engines that are expected to be loading."""
        return {name for times in self._all() for name, until in times.items() if until > now}

    def own(self, now: float) -> dict[str, float]:
        """Return the remaining seconds of the loads that this node itself observed, by engine."""
        self._expire(now)
        return {engine: until - now for engine, until in self._own.items()}

    def in_data_centre(self, now: float) -> dict[str, float]:
        """Return the remaining seconds of the loads that nodes of this data centre observed."""
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
