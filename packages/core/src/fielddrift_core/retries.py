"""Decide when to try again, and when to leave a target alone.

Only what may be repeated, or surely did not start, is tried again; retries
draw on a budget that first tries fill; waits grow with jitter and never pass
the deadline.  A breaker keeps requests off a target that fails, and lets one
through now and then as a probe.
"""

from __future__ import annotations

import random
from enum import StrEnum

__all__ = ["BreakerState", "CircuitBreaker", "RetryBudget", "WindowBudget", "backoff"]

BUDGET_RATIO = 0.1
BUDGET_FLOOR = 3.0
FIRST_WAIT_SECONDS = 0.02
MAX_WAIT_SECONDS = 1.0
FAILURE_THRESHOLD = 3
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 8.0
_SLICES = 10
_WINDOW_SPEND_FRACTION = 0.8
"""Part of a shared budget that is spent: other nodes' counts are not known exactly."""


def backoff(attempt: int, *, rng: random.Random, left: float) -> float | None:
    """Return the seconds to wait before try `attempt` (1 is the first retry).

    None when the wait would use up the time `left` to the deadline.
    """
    span = min(MAX_WAIT_SECONDS, FIRST_WAIT_SECONDS * 2**attempt)
    wait = rng.uniform(span / 2, span)
    return wait if wait < left else None


class RetryBudget:
    """Let retries be at most a share of first tries.

    `floor` retries are allowed on an idle budget, so that single failures on
    a quiet node are still retried.
    """

    def __init__(self, *, share: float = BUDGET_RATIO, floor: float = BUDGET_FLOOR) -> None:
        self._share = share
        self._floor = floor
        self._tokens = floor

    def record_first_try(self) -> None:
        """Add a first try's share to the budget."""
        self._tokens = min(self._floor * 10, self._tokens + self._share)

    def spend(self) -> bool:
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


class CircuitBreaker:
    """Rest a target after failures in a row; rests double up to `longest` seconds."""

    def __init__(self, *, max_open_seconds: float = MAX_OPEN_SECONDS) -> None:
        self._max_open_seconds = max_open_seconds
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._open_until = 0.0
        self._probing = False

    def state(self, now: float) -> BreakerState:
        """Return the state at `now`."""
        if self._failures < FAILURE_THRESHOLD:
            return BreakerState.CLOSED
        if now < self._open_until or self._probing:
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
        self._open_seconds = FIRST_OPEN_SECONDS
        self._probing = False

    def failed(self, now: float) -> None:
        """Count a failure; open, or rest longer, once there are enough."""
        self._failures += 1
        self._probing = False
        if self._failures < FAILURE_THRESHOLD:
            return
        self._open_until = now + self._open_seconds
        self._open_seconds = min(self._max_open_seconds, self._open_seconds * 2)


class WindowBudget:
    """Bound repeated sends within any window by a share of first sends and a slack.

    All nodes together may spend `ratio` x first sends + `slack`; each spends
    from its own first sends and its part of the slack, so that none needs to
    ask the others.  Sends are counted in slices of a tenth of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio * _WINDOW_SPEND_FRACTION
        self._slack = slack * _WINDOW_SPEND_FRACTION
        self._slice = window / _SLICES
        self._firsts: dict[int, int] = {}
        self._repeats: dict[int, int] = {}

    def record_first(self, now: float) -> None:
        """Count a first send."""
        self._count(self._firsts, now)

    def spend(self, now: float, *, nodes: int) -> bool:
        """Spend one repeated send; False when the window has no room for it."""
        allowed = self._ratio * self._sum(self._firsts, now) + self._slack / max(1, nodes)
        if self._sum(self._repeats, now) + 1 > allowed:
            return False
        self._count(self._repeats, now)
        return True

    def _count(self, slices: dict[int, int], now: float) -> None:
        current = int(now / self._slice)
        slices[current] = slices.get(current, 0) + 1

    def _sum(self, slices: dict[int, int], now: float) -> int:
        current = int(now / self._slice)
        for old in [number for number in slices if number < current - _SLICES]:
            del slices[old]
        return sum(slices.values())
