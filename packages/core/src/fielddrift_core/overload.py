"""Refuse a prompt at once that cannot be answered in time, and compute when to retry.

Engines that have more prompts than their memory holds answer all of them late, and do not
recover, since their backlog does not shrink.  Refusing prompts at once leaves room for those
that can still be in time; the refused callers are in time as well when they retry after the
backlog has cleared.
"""

from __future__ import annotations

import random

__all__ = ["LATE_FRACTION", "is_congested", "refusal_delay", "retry_delay"]

LATE_FRACTION = 0.95
"""Ratio of the estimate to the latency goal from which a response counts as late.  The median
error of the estimates is a tenth, and a refusal costs a caller less than a late response."""
_RETRY_FRACTION = 1 / 3
"""Maximum retry delay as a fraction of the time that the caller has left."""
_MIN_JITTER = 0.7
"""Retry delays are spread between this fraction of the maximum and the maximum, so that
callers refused at the same time do not retry at the same time."""
_CONGESTION_FRACTION = 0.2
"""Fraction of the latency goal that other prompts must take before one is refused because of
them.  A prompt that takes long by itself is late at any time, and would never be accepted."""


def is_congested(*, queue_seconds: float, latency_goal: float) -> bool:
    """Return whether other prompts, which take `queue_seconds`, delay a prompt notably."""
    return queue_seconds > _CONGESTION_FRACTION * latency_goal


def refusal_delay(
    *, time_left: float, estimate: float, latency_goal: float, congested: bool, rng: random.Random
) -> float | None:
    """Return the seconds after which a refused caller should retry; None to accept its request.

    `estimate` is the expected seconds until its response begins, `congested` whether other
    prompts delay it, `time_left` the seconds that the caller waits.
    """
    if not congested or estimate <= LATE_FRACTION * latency_goal:
        return None
    return retry_delay(time_left=time_left, rng=rng)


def retry_delay(*, time_left: float, rng: random.Random) -> float:
    """Return the seconds after which a caller that waits for `time_left` should retry."""
    return max(0.0, time_left) * _RETRY_FRACTION * rng.uniform(_MIN_JITTER, 1.0)
