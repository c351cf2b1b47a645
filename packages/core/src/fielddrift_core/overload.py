"""Refuse a prompt at once that cannot be answered in time.

Engines that have more prompts than their memory holds answer all of them late, and do not
recover, since their backlog does not shrink.  Refusing prompts at once leaves room for those
that can still be in time; the refused callers are in time as well when they retry after the
backlog has cleared.
"""

from __future__ import annotations

__all__ = ["LATE_FRACTION", "is_congested", "is_too_late"]

LATE_FRACTION = 0.95
"""Ratio of the estimate to the latency goal from which a response counts as late.  The median
error of the estimates is a tenth, and a refusal costs a caller less than a late response."""
_CONGESTION_FRACTION = 0.2
"""Fraction of the latency goal that other prompts must take before one is refused because of
them.  A prompt that takes long by itself is late at any time, and would never be accepted."""


def is_congested(*, queue_seconds: float, latency_goal: float) -> bool:
    """Return whether other prompts, which take `queue_seconds`, delay a prompt notably."""
    return queue_seconds > _CONGESTION_FRACTION * latency_goal


def is_too_late(*, estimate: float, latency_goal: float, congested: bool) -> bool:
    """Return whether a prompt is refused because its response would begin too late.

    `estimate` is the expected seconds until then, `congested` whether other prompts delay it.
    """
    return congested and estimate > LATE_FRACTION * latency_goal
