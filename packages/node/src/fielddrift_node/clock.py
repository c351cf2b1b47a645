"""The clock for all durations: it includes the time for which the host was suspended.

`time.monotonic` stops during a suspension on Linux: an expired lease would count as held, a
stale entry as fresh, and a target would get more time than the caller has left.
"""

from __future__ import annotations

import asyncio
import time

__all__ = ["SuspendAwareLoop", "now"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has a clock that includes suspended time; elsewhere the monotonic clock is used."""


def now() -> float:
    """Return the seconds since the host started, suspended time included."""
    return time.clock_gettime(_CLOCK)


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose time and timers use `now`.

    A timer that expired during a suspension fires in the first iteration after it.
    """

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return now()
