"""Retry budgets, backoff, and circuit breakers for targets.

Only requests that are idempotent, or that certainly did not start, are retried.  Retries
are limited by a budget that grows with each first try; delays grow exponentially with jitter
and never exceed the deadline.  A circuit breaker keeps requests away from a failing target, and
now and then lets one through as a probe.
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
_SLICE_COUNT = 10
_WINDOW_SPEND_FRACTION = 0.8
"""Fraction of a shared budget that is spent, since other nodes' counts are not known exactly."""


def backoff(attempt: int, *, rng: random.Random, left: float) -> float | None:
    """Return the seconds to wait before retry number `attempt`, from 1.

    Return None if the wait would use up the seconds `left` until the deadline.
    """
    span = min(MAX_WAIT_SECONDS, FIRST_WAIT_SECONDS * 2**attempt)
    wait = rng.uniform(span / 2, span)
    return wait if wait < left else None


class RetryBudget:
    """Token bucket that limits retries to a share of the first tries.

    An idle budget allows `floor` retries, so that single failures on a node with little
    traffic are still retried.
    """

    def __init__(self, *, share: float = BUDGET_RATIO, floor: float = BUDGET_FLOOR) -> None:
        self._share = share
        self._floor = floor
        self._tokens = floor

    def record_first_try(self) -> None:
        """Add a first try's share to the budget."""
        self._tokens = min(self._floor * 10, self._tokens + self._share)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget is empty."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BreakerState(StrEnum):
    """State of a circuit breaker; PROBING lets a single request through."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class CircuitBreaker:
    """Circuit breaker that opens after consecutive failures.

    The time for which it stays open doubles with each failed probe, up to `max_open_seconds`.
    """

    def __init__(self, *, max_open_seconds: float = MAX_OPEN_SECONDS) -> None:
        self._max_open_seconds = max_open_seconds
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._open_until = 0.0
        self._probing = False

    def state(self, now: float) -> BreakerState:
        """Return the state at time `now`."""
        if self._failures < FAILURE_THRESHOLD:
            return BreakerState.CLOSED
        if now < self._open_until or self._probing:
            return BreakerState.OPEN
        return BreakerState.PROBING

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent at time `now`."""
        return self.state(now) is not BreakerState.OPEN

    def sent(self, now: float) -> None:
        """Record that a request was sent; as a probe it blocks others until its result."""
        if self.state(now) is BreakerState.PROBING:
            self._probing = True

    def succeeded(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._probing = False

    def failed(self, now: float) -> None:
        """Record a failure; open the breaker, or keep it open for longer, from the threshold."""
        self._failures += 1
        self._probing = False
        if self._failures < FAILURE_THRESHOLD:
            return
        self._open_until = now + self._open_seconds
        self._open_seconds = min(self._max_open_seconds, self._open_seconds * 2)


class WindowBudget:
    """Limit the repeated sends within any window to a ratio of the first sends plus a slack.

    All nodes together may spend `ratio` x first sends + `slack` per `window` seconds.  Each
    node spends from its own first sends and its share of the slack, without coordination.
    Sends are counted in slices of a tenth of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio * _WINDOW_SPEND_FRACTION
        self._slack = slack * _WINDOW_SPEND_FRACTION
        self._slice = window / _SLICE_COUNT
        self._firsts: dict[int, int] = {}
        self._repeats: dict[int, int] = {}

    def record_first(self, now: float) -> None:
        """Record a first send."""
        self._count(self._firsts, now)

    def spend(self, now: float, *, nodes: int) -> bool:
        """Spend one repeated send; return False if the budget of the window is used up.

        `nodes` is the number of nodes that share the slack.
        """
        if not self.has_room(now, nodes=nodes):
            return False
        self._count(self._repeats, now)
        return True

    def has_room(self, now: float, *, nodes: int) -> bool:
        """Return whether `spend` would succeed."""
        allowed = self._ratio * self._sum(self._firsts, now) + self._slack / max(1, nodes)
        return self._sum(self._repeats, now) + 1 <= allowed

    def refund(self, spent_at: float) -> None:
        """Give back a send that was spent at `spent_at` and never left this node."""
        spent = int(spent_at / self._slice)
        if self._repeats.get(spent, 0) > 0:
            self._repeats[spent] -= 1

    def _count(self, slices: dict[int, int], now: float) -> None:
        current = int(now / self._slice)
        slices[current] = slices.get(current, 0) + 1

    def _sum(self, slices: dict[int, int], now: float) -> int:
        current = int(now / self._slice)
        for old in [number for number in slices if number < current - _SLICE_COUNT]:
            del slices[old]
        return sum(slices.values())
