"""Estimate how long an import over a store host's link takes.

Nobody reports a link's queue.  A node learns it from its own imports: what
one took, or is taking, beyond its bytes at the full rate is the delay that
others cause.  The delay fades, so that a link that was crowded is tried
again.  Imports come before exports: keeping a block must not slow the
fetching of one.
"""

from __future__ import annotations

import math
from collections.abc import Hashable

__all__ = ["Link"]

FADE_SECONDS = 4.0
NEW_WEIGHT = 0.5
_MOST_EXPORT_DELAY = 0.5
_OLDEST_IMPORT = 30.0


class Link:
    """Follow one link from the view of one node.

    `rate` is the whole link's, in bytes a second.  Not safe for threads.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._imports: dict[Hashable, tuple[float, int]] = {}
        self._exporting = 0
        self._delay = 0.0
        self._delay_at = 0.0

    def delay(self, now: float) -> float:
        """Return the seconds that an import is expected to wait for others.

        An import that is already late tells of the delay before it ends.
        """
        self._expire(now)
        learned = self._delay * math.exp((self._delay_at - now) / FADE_SECONDS)
        late = [now - began - size / self._rate for began, size in self._imports.values()]
        return max(0.0, learned, *late)

    def import_seconds(self, size: int, now: float) -> float:
        """Return how long an import of `size` bytes would take from now."""
        delay = self.delay(now)
        own = sum(size for _, size in self._imports.values())
        return (own + size) / self._rate + delay

    def may_export(self, now: float) -> bool:
        """Return whether an export fits into what the imports leave."""
        if self._exporting or self._imports:
            return False
        return self.delay(now) <= _MOST_EXPORT_DELAY

    def begin_import(self, key: Hashable, size: int, now: float) -> None:
        """Count the import `key` as under way."""
        self._imports[key] = (now, size)

    def end_import(self, key: Hashable, now: float, seconds: float | None) -> None:
        """Count the import `key` as ended; learn from the `seconds` it took.

        None when it did not come to its end.
        """
        _, size = self._imports.pop(key, (0.0, 0))
        if seconds is None or not size:
            return
        beyond = max(0.0, seconds - size / self._rate)
        self._delay += NEW_WEIGHT * (beyond - self._delay)
        self._delay_at = now

    def _expire(self, now: float) -> None:
        # The end of another node's import may never be heard of.
        old = [key for key, (began, _) in self._imports.items() if now - began > _OLDEST_IMPORT]
        for key in old:
            del self._imports[key]

    def begin_export(self, size: int) -> None:
        """Count an export as under way."""
        self._exporting += size

    def end_export(self, size: int) -> None:
        """Count an export as ended."""
        self._exporting -= size
