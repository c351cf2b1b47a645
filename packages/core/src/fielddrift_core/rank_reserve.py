"""Learn how much of the engines' memory must be kept free for prompts of higher rank.

Load pattern: a burst of long prompts of a low rank meets many short ones of a high rank.  Long
prompts keep their memory ten times as long, so they fill all that a fixed reserve leaves them,
and the short ones wait at nodes and are refused although they come first.  A node that has no
urgent prompt waiting sends long ones to every engine whose memory is freed, so the order in each
node's own queue does not prevent this.

The reserve grows while prompts of higher rank wait at any node, in proportion to the memory that
they wait for, and shrinks within seconds once none waits.
"""

from __future__ import annotations

__all__ = ["MIN_RESERVE_FRACTION", "RankReserve"]

MIN_RESERVE_FRACTION = 0.15
"""Reserve without any wait: a prompt without room preempts less urgent runs, each of which has to
prefill its whole prompt again."""
_MAX_FRACTION = 0.5
"""Largest reserve.  Lower ranks then still get what urgent prompts leave of half of the memory."""
_GROWTH_PER_SECOND = 3.0
"""Growth of the reserve per second, relative to the fraction of memory that is waited for.  With
a twentieth of the memory waited for it takes a second to grow by 0.15, about the latency goal of
urgent prompts and the time in which runs free that memory."""
_HALF_LIFE_SECONDS = 2.0
"""Time in which the part of the reserve above its minimum halves.  It is about as long as runs of
long prompts keep their memory: with a slower release the memory would idle between bursts."""
_MIN_WAITING_FRACTION = 0.002
"""Fraction of memory up to which waiting prompts are not a shortage: a few always wait for a
heartbeat."""
_MAX_STEP_SECONDS = 0.5
"""Longest time for which one observation makes the reserve grow; a node with few prompts looks
seldom."""


class RankReserve:
    """The fraction of an engine's memory reserved for prompts of higher rank.  Not thread-safe."""

    def __init__(self) -> None:
        self._fraction = MIN_RESERVE_FRACTION
        self._observed_at: float | None = None

    @property
    def fraction(self) -> float:
        """Return the reserved fraction, from 0 to 1, at the last observation."""
        return self._fraction

    def fraction_at(self, now: float) -> float:
        """Return the reserved fraction at `now`, if nothing waited since the last observation."""
        before = now if self._observed_at is None else self._observed_at
        halvings = max(0.0, now - before) / _HALF_LIFE_SECONDS
        return MIN_RESERVE_FRACTION + (self._fraction - MIN_RESERVE_FRACTION) * 0.5**halvings

    def observe(self, waiting_fraction: float, now: float) -> float:
        """Record what prompts of higher rank wait for at all nodes, and return the new reserve.

        `waiting_fraction` is relative to the memory of all engines, `now` in seconds.
        """
        before = now if self._observed_at is None else self._observed_at
        fraction = self.fraction_at(now)
        if waiting_fraction > _MIN_WAITING_FRACTION:
            seconds = min(_MAX_STEP_SECONDS, max(0.0, now - before))
            fraction += _GROWTH_PER_SECOND * waiting_fraction * seconds
        self._observed_at = now
        self._fraction = min(_MAX_FRACTION, fraction)
        return self._fraction
