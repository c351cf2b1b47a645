"""Sum a play up, and several plays with an interval."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

from .laboratory import Outcome, Play
from .sizes import Sizes

__all__ = ["Figures", "Interval", "earned", "intervals", "measure"]

RECOVERY_SECONDS = 3.0
"""Time after the trouble's end in which the fleet should be back."""
_URGENT_WORTH = 0.3
"""What a short, urgent answer is worth of a long one, as on a users' sheet."""
_LATE_WORTH = 0.2
"""What a late answer is worth of one in time, as on the users' sheets."""
_INTERVAL_ERRORS = 1.96
"""Standard errors to each side of a mean: 95 of 100 such intervals hold the true one."""


class Figures(NamedTuple):
    """What came of one play.  Parts are of all prompts of their time, by their worth.

    `before`, `during` and `after` the trouble are the parts in time at the first try or
    later, `urgent` of the urgent ones and `worst_place` of the worst served data centre
    during it; `after` begins `RECOVERY_SECONDS` after its end.  `useful` is the worth a second
    answered in time during it.  `returned` is the part of those told to come back that
    were answered, `vain` the seconds that an unanswered caller was held in the mean,
    `again` the part of the tokens read that were kept before, `first` the median seconds
    to the first event.
    """

    before: float
    during: float
    urgent: float
    worst_place: float
    after: float
    useful: float
    returned: float
    vain: float
    again: float
    preempted: float
    first: float


class Interval(NamedTuple):
    """A mean, and by how much it may be off."""

    mean: float
    error: float


def measure(play: Play, sizes: Sizes) -> Figures:
    """Return the figures of `play`."""
    load = play.load
    # Callers that leave on purpose are owed nothing.
    owed = [o for o in play.outcomes if o.arrival.leaves is None]
    before = [o for o in owed if o.arrival.at < load.begins]
    during = [o for o in owed if load.begins <= o.arrival.at < load.ends]
    after = [o for o in owed if o.arrival.at >= load.ends + RECOVERY_SECONDS]
    told = [o for o in owed if o.told]
    vain = [o.held for o in owed if o.first is None]
    firsts = sorted(o.first for o in owed if o.first is not None)
    useful = sum(_worth(o) for o in during if _in_time(o, sizes))
    return Figures(
        before=_part(before, sizes),
        during=_part(during, sizes),
        urgent=_part([o for o in during if o.arrival.urgent], sizes),
        worst_place=min(
            _part([o for o in during if o.arrival.node % sizes.data_centres == place], sizes)
            for place in range(sizes.data_centres)
        ),
        after=_part(after, sizes),
        useful=useful / (load.ends - load.begins),
        returned=sum(o.first is not None for o in told) / len(told) if told else 1.0,
        vain=statistics.fmean(vain) if vain else 0.0,
        again=play.reads.again / max(1, play.reads.read),
        preempted=float(play.reads.preempted),
        first=firsts[len(firsts) // 2] if firsts else 0.0,
    )


def earned(play: Play, sizes: Sizes, *, urgent: bool, begins: float, ends: float) -> float:
    """Return which part of their worth the prompts of one kind earned, late answers included.

    It is about the prompts that came first from `begins` to `ends`, in seconds of the load.
    """
    owed = [
        o for o in play.outcomes if o.arrival.urgent is urgent and begins <= o.arrival.at < ends
    ]
    whole = [o for o in owed if o.whole]
    sum_earned = sum(1.0 if _in_time(o, sizes) else _LATE_WORTH for o in whole)
    return sum_earned / len(owed) if owed else 1.0


def intervals(found: Sequence[Figures]) -> dict[str, Interval]:
    """Return, for each figure, its mean over plays and the interval's half."""
    result = {}
    for name in Figures._fields:
        values = [float(getattr(figures, name)) for figures in found]
        spread = statistics.stdev(values) if len(values) > 1 else 0.0
        error = _INTERVAL_ERRORS * spread / math.sqrt(len(values))
        result[name] = Interval(statistics.fmean(values), error)
    return result


def _worth(outcome: Outcome) -> float:
    return _URGENT_WORTH if outcome.arrival.urgent else 1.0


def _in_time(outcome: Outcome, sizes: Sizes) -> bool:
    return outcome.whole and outcome.first is not None and outcome.first <= sizes.aim


def _part(outcomes: Sequence[Outcome], sizes: Sizes) -> float:
    owed = sum(_worth(o) for o in outcomes)
    earned = sum(_worth(o) for o in outcomes if _in_time(o, sizes))
    return earned / owed if owed else 1.0
