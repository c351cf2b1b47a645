"""A clock that stands still while the event loop is late.

Nodes, targets and callers of a test run in one process.  What they do in a given time of this clock
depends on the machine far less than what they do in as many seconds.
"""

from __future__ import annotations

import asyncio
import bisect

__all__ = ["LoopClock"]

_TICK_SECONDS = 0.05
"""Most by which the clock advances while the loop is late."""


class LoopClock:
    """Seconds of the running loop, without those by which it was late.

    On an idle machine it differs from the loop's own time by about a hundredth.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._ticks = [self._loop.time()]
        """When it ticked, on the loop's clock."""
        self._seconds = [0.0]
        """What it showed then."""
        self._task = asyncio.ensure_future(self._run())

    def now(self) -> float:
        """Return the time in seconds since the clock began."""
        return self.at(self._loop.time())

    def at(self, time: float) -> float:
        """Return what it showed at `time` of the loop's clock."""
        index = max(0, bisect.bisect_right(self._ticks, time) - 1)
        since = time - self._ticks[index]
        return self._seconds[index] + min(since, _TICK_SECONDS)

    async def sleep(self, seconds: float) -> None:
        """Wait until it has advanced by `seconds`."""
        until = self.now() + seconds
        while (left := until - self.now()) > 0:
            await asyncio.sleep(left)

    def close(self) -> None:
        """Stop it."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = self._loop.time()
            self._seconds.append(self.at(now))
            self._ticks.append(now)
