"""Decide when to try again, and when to leave a target alone.

Only what may be repeated, or surely did not start, is tried again; retries
draw on a budget that first tries fill; waits grow with jitter and never pass
the deadline.  A breaker keeps requests off a target that fails, and lets one
through now and then as a probe.
"""

from __future__ import annotations

import random
from enum import StrEnum

__all__ = ["Breaker", "BreakerState", "RetryBudget", "backoff"]

BUDGET_SHARE = 0.1
BUDGET_FLOOR = 3.0
FIRST_WAIT = 0.02
LONGEST_WAIT = 1.0
BREAK_AFTER = 3
FIRST_REST = 0.5
LONGEST_REST = 8.0


def backoff(attempt: int, *, rng: random.Random, left: float) -> float | None:
    """Return the seconds to wait before try `attempt` (1 is the first retry).

    None when the wait would use up the time `left` to the deadline.
    """
    span = min(LONGEST_WAIT, FIRST_WAIT * 2**attempt)
    wait = rng.uniform(span / 2, span)
    return wait if wait < left else None


class RetryBudget:
    """Let retries be at most a share of first tries.

    `floor` retries are allowed on an idle budget, so that single failures on
    a quiet node are still retried.
    """

    def __init__(self, *, share: float = BUDGET_SHARE, floor: float = BUDGET_FLOOR) -> None:
        self._share = share
        self._floor = floor
        self._tokens = floor

    def first_try(self) -> None:
        """Add a first try's share to the budget."""
        self._tokens = min(self._floor * 10, self._tokens + self._share)

    def take(self) -> bool:
        """Spend one retry; False when the budget is empty."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BreakerState(StrEnum):
    """Whether a target gets requests."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class Breaker:
    """Rest a target after failures in a row; rests double up to `longest` seconds."""

    def __init__(self, *, longest: float = LONGEST_REST) -> None:
        self._longest = longest
        self._failures = 0
        self._rest = FIRST_REST
        self._until = 0.0
        self._probing = False

    def state(self, now: float) -> BreakerState:
        """Return the state at `now`."""
        if self._failures < BREAK_AFTER:
            return BreakerState.CLOSED
        if now < self._until or self._probing:
            return BreakerState.OPEN
        return BreakerState.PROBING

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent at `now`."""
        return self.state(now) is not BreakerState.OPEN

    def sent(self, now: float) -> None:
        """Note that a request goes out; while probing, no second one follows."""
        if self.state(now) is BreakerState.PROBING:
            self._probing = True

    def succeeded(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._rest = FIRST_REST
        self._probing = False

    def failed(self, now: float) -> None:
        """Count a failure; open, or rest longer, once there are enough."""
        self._failures += 1
        self._probing = False
        if self._failures < BREAK_AFTER:
            return
        self._until = now + self._rest
        self._rest = min(self._longest, self._rest * 2)
