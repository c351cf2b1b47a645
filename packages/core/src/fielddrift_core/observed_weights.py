"""Track the weights that engines were seen with, beyond what their entries tell.

An engine's entry lags behind its weights by some seconds.  What its answers and reports tell counts
sooner, and is passed on between nodes.  Weights usually only become newer, so of two observations
the newer version counts, in whatever order they arrive.  But an order that is carried out late,
or a restart, may bring an engine back to older weights.  Then its entry, or a report that was
requested later, refutes the observation: otherwise no node would learn of it, order the newer
weights again, or stop to send requests that the engine rejects.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["ENTRY_LAG_SECONDS", "REPORT_LAG_SECONDS", "ObservedWeights"]

ENTRY_LAG_SECONDS = 5.0
"""Time after which an engine's entry shows its weights: an entry that is not written for three of
its engine's heartbeats, 3.6 s, is removed."""
REPORT_LAG_SECONDS = 0.5
"""How old a report may be when it is sent; usually it is some 0.1 s old."""
_REFUTED_SECONDS = 2 * ENTRY_LAG_SECONDS
"""How long a refuted version is not taken over from other nodes, which refute it within that time
by the entry as well."""

_Key = tuple[str, str]
"""An instance name and a model."""


class _Observation(NamedTuple):
    """A version, when it was observed, and whether it counts although an entry told a newer one."""

    version: int
    at: float
    is_lower: bool = False


class ObservedWeights:
    """The newest weights observed at engines, by instance and model.  Not thread-safe."""

    def __init__(self) -> None:
        self._observed: dict[_Key, _Observation] = {}
        """The newest observation is the last one."""
        self._refuted: dict[_Key, _Observation] = {}
        """The versions that were refuted, and when."""
        self.changes = 0
        """Incremented with each change of an observed version."""

    def version(self, instance: str, model: str, listed: int | None) -> int | None:
        """Return the version of an instance whose entry tells `listed`, None if none is known."""
        found = self._observed.get((instance, model))
        if found is None:
            return listed
        if listed is None or found.is_lower:
            return found.version
        return max(listed, found.version)

    def newest(self, count: int) -> list[tuple[str, str, int]]:
        """Return the last `count` observations as (instance, model, version), the newest last."""
        found = list(self._observed.items())[-count:]
        return [(instance, model, each.version) for (instance, model), each in found]

    def observe(self, instance: str, model: str, version: int, now: float) -> None:
        """Record a version that the engine itself told; an older one than the known is ignored."""
        key = (instance, model)
        refuted = self._refuted.get(key)
        if refuted is not None and refuted.version <= version:
            del self._refuted[key]
        self._record(key, version, now)

    def hear(self, instance: str, model: str, version: int, now: float) -> bool:
        """Record a version that another node observed; return whether it is newer than the known.

        One that was refuted is ignored for some time: the other node may not know that yet.
        """
        refuted = self._refuted.get((instance, model))
        if refuted is not None:
            if version <= refuted.version and now - refuted.at < _REFUTED_SECONDS:
                return False
            del self._refuted[instance, model]
        known = self._observed.get((instance, model))
        if known is not None and version <= known.version:
            return False
        self._record((instance, model), version, now)
        return True

    def report(
        self,
        instance: str,
        model: str,
        version: int,
        *,
        listed: int | None,
        requested_at: float,
        now: float,
    ) -> bool:
        """Record a version that a report told; return whether it refuted a newer one.

        `listed` is the version in the engine's entry, which may lag behind the report.
        """
        key = (instance, model)
        known = self._observed.get(key)
        believed = self.version(instance, model, listed)
        is_later = known is None or requested_at >= known.at + REPORT_LAG_SECONDS
        if believed is None or version >= believed or not is_later:
            self.observe(instance, model, version, now)
            return False
        self._refuted[key] = _Observation(believed, now)
        self._observed.pop(key, None)
        self._observed[key] = _Observation(version, now, is_lower=True)
        self.changes += 1
        return True

    def refute_by_entries(
        self, listed: Callable[[str, str], int | None], *, read_at: float, now: float
    ) -> list[tuple[str, str, int]]:
        """Remove the versions that entries read at `read_at` or later should show, and do not.

        `listed` returns the version of a model in the entry of an instance, None without one.
        Return what was removed, as (instance, model, version).
        """
        refuted = []
        for key, known in list(self._observed.items()):
            if read_at < known.at + ENTRY_LAG_SECONDS:
                continue
            version = listed(*key)
            if version is None or known.is_lower:
                del self._observed[key]
                self.changes += 1
            elif version < known.version:
                self._refute(key, now)
                refuted.append((*key, known.version))
        for key in [k for k, r in self._refuted.items() if now - r.at >= _REFUTED_SECONDS]:
            del self._refuted[key]
        return refuted

    def _record(self, key: _Key, version: int, now: float) -> None:
        known = self._observed.get(key)
        if known is not None and version < known.version:
            return
        if known is not None and version == known.version:
            self._observed[key] = known._replace(at=now)
            return
        self._observed.pop(key, None)
        self._observed[key] = _Observation(version, now)
        self.changes += 1

    def _refute(self, key: _Key, now: float) -> None:
        self._refuted[key] = _Observation(self._observed.pop(key).version, now)
        self.changes += 1
