"""Decide which requests a node still accepts after it received the signal to stop.

Callers may use a node's address for some seconds after it has been removed from the entry
responses, so the node continues to serve for a while.  A later request is refused at once if
it may not complete before the node stops: another node can serve it.  Only its deadline bounds
that: targets may be slower than usual, or silent for a while, and answer in the end.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["DrainWindow"]

_ACCEPT_ALL_SECONDS = 2.5
"""Time after the signal within which every request is accepted.  A response that is cut at the
end of the grace period does not count as a failure if its request was sent within 3 s of the
signal; the difference allows for the transit of the request."""


class DrainWindow(NamedTuple):
    """When a node received the signal to stop, and when it closes its open connections."""

    started_at: float
    closes_at: float

    def accepts(self, now: float, max_seconds: float) -> bool:
        """Return whether a request is accepted at `now` that takes up to `max_seconds`."""
        if now >= self.closes_at:
            return False
        return now - self.started_at <= _ACCEPT_ALL_SECONDS or now + max_seconds <= self.closes_at
