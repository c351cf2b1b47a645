"""The one clock for durations: it also counts the time for which the host was suspended.

The steady clock of the language stands still then: a lease would be believed to be held, an
entry to be fresh, and a target be given more time than the caller has.
"""

from __future__ import annotations

import asyncio
import time

__all__ = ["SuspendAwareLoop", "now"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has a clock that counts on; elsewhere the steady one has to do."""


def now() -> float:
    """Return the seconds since the host started, suspended time included."""
    return time.clock_gettime(_CLOCK)


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose time and timers go by `now`.

    A timer that came due during a suspension fires at the first turn after it.
    """

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return now()
