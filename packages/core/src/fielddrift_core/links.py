"""Estimate how long an import over a store host's link takes.

Nobody reports a link's queue.  A node knows its own imports and, by their
sightings, those of others; what an import took, or is taking, over the bytes
that were ahead of it tells the link's true rate.  What was learned fades, so
that a link that was slow is tried again.  Imports come before exports:
keeping a block must not slow the fetching of one.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["Link"]

RECOVERY_SECONDS = 60.0
NEW_SAMPLE_WEIGHT = 0.5
_MAX_EXPORT_WAIT_SECONDS = 0.5
_IMPORT_EXPIRY_SECONDS = 60.0
_MIN_RATE_FRACTION = 0.001


class _Import(NamedTuple):
    began_at: float
    size: int
    ahead: int


class Link:
    """Follow one link from the view of one node.

    `rate` is what the link is said to carry, in bytes a second.  Not safe
    for threads.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._learned = rate
        self._learned_at = 0.0
        self._imports: dict[Hashable, _Import] = {}
        self._exporting_bytes = 0

    def rate(self, now: float) -> float:
        """Return the rate that the link seems to have, at most what it is said to have.

        An import that is already late tells of it before it ends.
        """
        part = (self._learned / self._rate) ** math.exp((self._learned_at - now) / RECOVERY_SECONDS)
        rates = [self._rate * min(1.0, part)]
        rates += [(i.ahead + i.size) / max(now - i.began_at, 1e-9) for i in self._imports.values()]
        return max(self._rate * _MIN_RATE_FRACTION, min(rates))

    def import_seconds(self, size: int, now: float) -> float:
        """Return how long an import of `size` bytes would take from now."""
        self._expire(now)
        return (self._outstanding() + size) / self.rate(now)

    def may_export(self, now: float) -> bool:
        """Return whether an export fits into what the imports leave."""
        return not self._exporting_bytes and self.import_seconds(0, now) <= _MAX_EXPORT_WAIT_SECONDS

    def begin_import(self, key: Hashable, size: int, now: float) -> None:
        """Count the import `key` as under way."""
        self._imports[key] = _Import(now, size, self._outstanding())

    def end_import(self, key: Hashable, now: float, seconds: float | None) -> None:
        """Count the import `key` as ended; learn from the `seconds` it took.

        None when it did not come to its end; an unknown key changes nothing.
        """
        ended = self._imports.pop(key, None)
        if ended is None or not seconds:
            return
        seen = min(self._rate, (ended.ahead + ended.size) / seconds)
        before = self.rate(now)
        self._learned = before * (seen / before) ** NEW_SAMPLE_WEIGHT
        self._learned_at = now

    def begin_export(self, size: int) -> None:
        """Count an export as under way."""
        self._exporting_bytes += size

    def end_export(self, size: int) -> None:
        """Count an export as ended."""
        self._exporting_bytes -= size

    def _outstanding(self) -> int:
        return sum(i.size for i in self._imports.values())

    def _expire(self, now: float) -> None:
        # The end of another node's import may never be heard of.
        old = [key for key, i in self._imports.items() if now - i.began_at > _IMPORT_EXPIRY_SECONDS]
        for key in old:
            del self._imports[key]
