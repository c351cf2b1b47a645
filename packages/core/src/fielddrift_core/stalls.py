"""Decide when a send that makes no progress gets a replacement, and which of the two is released.

Load: the engines of a service pause for a second or so, all together, and then go on with
everything.  A send that is cancelled as soon as its target is silent must then find another target
with room, within the budget for repeated sends, and all of them do at once: most find none, and
their responses are cut although their targets would have gone on.

So a send is kept until a replacement makes progress.  Both run for `MAX_OVERLAP_SECONDS` at most;
then the one whose target shows no sign of life is released.  Times are in seconds.
"""

from __future__ import annotations

__all__ = [
    "MAX_OVERLAP_SECONDS",
    "is_replacement_alive",
    "replacement_delay",
    "stream_patience",
]

MAX_OVERLAP_SECONDS = 0.3
"""Time for which a request may run at two engines: work at both is done twice."""
_MIN_PATIENCE_SECONDS = 2.0
_PATIENCE_LATENCY_GOALS = 4.0
_PATIENCE_GAP_GOALS = 8.0
"""Callers give up a stream after a gap of the longest of these."""
_DELAY_FRACTION = 0.6
"""Fraction of a caller's patience after which a replacement is sought.  The rest suffices for it
to be placed and to produce its first event."""


def stream_patience(*, latency_goal: float, gap_goal: float) -> float:
    """Return the seconds without an event after which callers give up a stream.

    `latency_goal` and `gap_goal` are those of its route, in seconds.
    """
    return max(
        _MIN_PATIENCE_SECONDS,
        _PATIENCE_LATENCY_GOALS * latency_goal,
        _PATIENCE_GAP_GOALS * gap_goal,
    )


def replacement_delay(*, latency_goal: float, gap_goal: float) -> float:
    """Return the seconds without an event after which a stream gets a replacement.

    The arguments are those of `stream_patience`.
    """
    return _DELAY_FRACTION * stream_patience(latency_goal=latency_goal, gap_goal=gap_goal)


def is_replacement_alive(*, sent_at: float, heard_at: float | None) -> bool:
    """Return whether the target of a replacement has shown a sign of life since it was sent.

    `sent_at` is when the request was written to it, `heard_at` when any byte last arrived from its
    target, None for never.
    """
    return heard_at is not None and heard_at > sent_at
