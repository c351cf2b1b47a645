"""Estimate how long an import over a store host's link takes.

The queue of a link is not reported.  A node knows its own imports and, from sightings, those
of other nodes.  The actual rate of the link follows from the time that an import took, or
has taken so far, and the bytes that were queued before it.  A learned rate decays towards
the configured one, so that a link that was slow is tried again.  Imports have priority over
exports: storing a block must not delay fetching one.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["Link"]

RECOVERY_SECONDS = 60.0
"""Time constant with which a learned rate returns to the configured one."""
NEW_SAMPLE_WEIGHT = 0.5
"""Weight of the newest import in the learned rate, on a logarithmic scale."""
_MAX_EXPORT_WAIT_SECONDS = 0.5
_IMPORT_EXPIRY_SECONDS = 60.0
_MIN_RATE_FRACTION = 0.001


class _Import(NamedTuple):
    """An import of `size` bytes; `ahead` is the bytes of the imports queued before it."""

    began_at: float
    size: int
    ahead: int


class Link:
    """The transfers on one link, as known to one node, and the learned rate.

    `rate` is the configured rate of the link in bytes per second.  Not thread-safe.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._learned = rate
        self._learned_at = 0.0
        self._imports: dict[Hashable, _Import] = {}
        self._exporting_bytes = 0

    def rate(self, now: float) -> float:
        """Return the estimated rate in bytes per second, at most the configured one.

        An import in progress that is already late lowers the estimate before it ends.
        """
        part = (self._learned / self._rate) ** math.exp((self._learned_at - now) / RECOVERY_SECONDS)
        rates = [self._rate * min(1.0, part)]
        rates += [(i.ahead + i.size) / max(now - i.began_at, 1e-9) for i in self._imports.values()]
        return max(self._rate * _MIN_RATE_FRACTION, min(rates))

    def import_seconds(self, size: int, now: float) -> float:
        """Return the seconds that an import of `size` bytes would take from now."""
        self._expire(now)
        return (self._outstanding() + size) / self.rate(now)

    def may_export(self, now: float) -> bool:
        """Return whether the imports leave enough capacity for an export."""
        return not self._exporting_bytes and self.import_seconds(0, now) <= _MAX_EXPORT_WAIT_SECONDS

    def begin_import(self, key: Hashable, size: int, now: float) -> None:
        """Record the start of the import `key`."""
        self._imports[key] = _Import(now, size, self._outstanding())

    def end_import(self, key: Hashable, now: float, seconds: float | None) -> None:
        """Record the end of the import `key` and learn the rate from the `seconds` it took.

        `seconds` is None for an import that did not complete; an unknown key is ignored.
        """
        ended = self._imports.pop(key, None)
        if ended is None or not seconds:
            return
        measured = min(self._rate, (ended.ahead + ended.size) / seconds)
        before = self.rate(now)
        self._learned = before * (measured / before) ** NEW_SAMPLE_WEIGHT
        self._learned_at = now

    def begin_export(self, size: int) -> None:
        """Record the start of an export of `size` bytes."""
        self._exporting_bytes += size

    def end_export(self, size: int) -> None:
        """Record the end of an export of `size` bytes."""
        self._exporting_bytes -= size

    def _outstanding(self) -> int:
        return sum(i.size for i in self._imports.values())

    def _expire(self, now: float) -> None:
        # The end of another node's import may never be reported.
        old = [key for key, i in self._imports.items() if now - i.began_at > _IMPORT_EXPIRY_SECONDS]
        for key in old:
            del self._imports[key]
