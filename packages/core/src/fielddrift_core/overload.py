"""Refuse at once a prompt that cannot be answered in time, and say when to come back.

Engines that hold more prompts than their memory takes answer everyone late,
and stay so: what waits is as much as what comes.  Callers that are sent away
at once leave room for those that can still be in time, and are in time
themselves when they come back after the backlog.
"""

from __future__ import annotations

import random

__all__ = ["LATE_FRACTION", "is_congested", "refusal_delay", "retry_delay"]

LATE_FRACTION = 0.95
"""Estimate, in parts of the aim, from which an answer is taken to be late: estimates
are off by a tenth in the median, and a refusal costs a caller less than a late answer."""
_RETRY_FRACTION = 1 / 3
"""Callers wait at most such a part of the time that they have left."""
_MIN_JITTER = 0.7
"""Times to come back lie between this part of the longest one and all of it, so
that those who are sent away together do not return together."""
_CONGESTION_FRACTION = 0.2
"""Part of the aim that others must take before a prompt is sent away because of them:
one that takes long by itself is late whenever it comes, and would never be taken."""


def is_congested(*, queue_seconds: float, latency_goal: float) -> bool:
    """Return whether others keep a prompt waiting: `queue` is the seconds that they take."""
    return queue_seconds > _CONGESTION_FRACTION * latency_goal


def refusal_delay(
    *, time_left: float, estimate: float, latency_goal: float, congested: bool, rng: random.Random
) -> float | None:
    """Return the seconds after which a caller should return; None to take its request.

    `estimate` is when its answer would begin, `crowded` whether others
    keep it waiting, `patience` how long the caller waits.
    """
    if not congested or estimate <= LATE_FRACTION * latency_goal:
        return None
    return retry_delay(time_left=time_left, rng=rng)


def retry_delay(*, time_left: float, rng: random.Random) -> float:
    """Return the seconds after which a caller that waits for `patience` should return."""
    return max(0.0, time_left) * _RETRY_FRACTION * rng.uniform(_MIN_JITTER, 1.0)
