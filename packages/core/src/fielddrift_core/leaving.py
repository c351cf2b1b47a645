"""Decide what a node that was told to stop still takes.

Callers may keep a node's address for some seconds after it left the entry
answers, so it serves on for a while.  What comes later than that, and may not
end before the node does, is better off elsewhere at once.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Leaving", "longest_answer"]

_TAKEN_SECONDS = 2.5
"""Time after the signal within which everything is taken: a cut by the end of the grace is
excused for requests sent within 3 s of the signal, and their way takes some of it."""
_TOKEN_SECONDS = 0.08
"""Time of a token at a crowded engine, twice the usual one and more: an answer that a stop
would cut is better refused at once."""


class Leaving(NamedTuple):
    """When a node was told to stop, and when it closes what is still open."""

    began: float
    closes: float

    def takes(self, now: float, longest: float) -> bool:
        """Return whether a request that comes `now` and lasts up to `longest` seconds is taken."""
        return now - self.began <= _TAKEN_SECONDS or now + longest <= self.closes


def longest_answer(*, aim: float, tokens: int) -> float:
    """Return how many seconds a stream of up to `tokens` may take, begun in the time of `aim`."""
    return aim + tokens * _TOKEN_SECONDS
