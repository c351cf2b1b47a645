"""Decide when a send that makes no progress gets a replacement, and which of the two is released.

Load: the engines of a service pause for a second or so, all together, and then go on with
everything.  A send that is cancelled as soon as its target is silent must then find another target
with room, within the budget for repeated sends, and all of them do at once: most find none, and
their responses are cut although their targets would have gone on.

So a send is kept until a replacement makes progress.  Both run for `MAX_OVERLAP_SECONDS` at most;
then the one whose target showed a sign of life goes on.  If neither did, it is the replacement: the
other one has been silent for longer.  Times are in seconds.
"""

from __future__ import annotations

__all__ = [
    "MAX_OVERLAP_SECONDS",
    "prefers_replacement",
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


def prefers_replacement(
    *, written_at: float, replacement_heard_at: float | None, current_heard_at: float | None
) -> bool:
    """Return whether a replacement goes on rather than the send before it.

    `written_at` is when the replacement was written to its connection.  The others are when bytes
    last arrived from either target, None for never.  An idle engine sends nothing before the first
    event of the replacement, so that silence alone does not rule it out.
    """
    if replacement_heard_at is not None and replacement_heard_at > written_at:
        return True
    return current_heard_at is None or current_heard_at <= written_at
