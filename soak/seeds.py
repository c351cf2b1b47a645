"""Seeds that failed once, each with its cause: they are run again as regression cases."""

from __future__ import annotations

from typing import NamedTuple

from .faults import FAULTS, SERIES

__all__ = ["FAILED_ONCE", "FailedSeed"]


_FIRST_KINDS = tuple(FAULTS)[:26]
"""Those that there were at first: a seed names other faults where there are more kinds."""
_KINDS = tuple(FAULTS)[:50]
"""Those that there were once planned work came in series."""


class FailedSeed(NamedTuple):
    """A seed, why it failed, the kinds of fault that it chose from, and their time in seconds."""

    seed: int
    cause: str
    kinds: tuple[str, ...] = _FIRST_KINDS
    seconds: float = 20.0


_CROSSED = "a check of the soak's own: requests that crossed the close of a stopping node"

_KILLED_LOADING = ("all killed while new weights load",)
_COUNTED_ANEW = (
    "processes that started anew counted the time for older weights from their own start"
)

_ENDLESS = "a stream that broke off behind its last event was resumed, and cut for want of more"

_CUT_FIRST = ("engines break off inside their first event",)
_CUT_RESUMED = ("engines that resume break off inside their first event",)
_LOST_FIRST = ("engines go down or lose their links inside a first event",)
_JOINED = "bytes of a run that broke off inside its first event were put before the next run's"

_GIVEN_UP = (
    "a stream's run was given up for its target's silence, and cut where no other target took it"
)
_ENDED = "a reload in the last moments of a process that stopped ended it with -1"
_INFINITE = "a line about a connection that timed out could not tell an infinite bound"

FAILED_ONCE = (
    FailedSeed(2966062626, f"{_CROSSED}; then, beside hunts: {_ENDLESS}"),
    FailedSeed(2859916874, f"{_CROSSED}; then a process that was stopped while it still loaded"),
    FailedSeed(2393083761, f"{_CROSSED}; then, beside hunts: {_ENDLESS}"),
    FailedSeed(3074321362, _COUNTED_ANEW, _KILLED_LOADING, 3.0),
    FailedSeed(198707910, _COUNTED_ANEW, _KILLED_LOADING, 3.0),
    FailedSeed(3692809491, _COUNTED_ANEW, _KILLED_LOADING, 3.0),
    FailedSeed(492340097, _JOINED, _CUT_FIRST),
    FailedSeed(3576124957, _JOINED, _CUT_FIRST),
    FailedSeed(2717481123, _JOINED, _CUT_FIRST),
    FailedSeed(4100735038, _JOINED, _CUT_RESUMED),
    FailedSeed(4117352822, _JOINED, _CUT_RESUMED),
    FailedSeed(692747074, _JOINED, _LOST_FIRST),
    FailedSeed(510775832, _JOINED, _LOST_FIRST),
    FailedSeed(4067470475, _GIVEN_UP, SERIES),
    FailedSeed(2203299640, _GIVEN_UP, SERIES),
    FailedSeed(2881916249, _GIVEN_UP, SERIES),
    FailedSeed(2767594970, _ENDED, SERIES),
    FailedSeed(2721167154, _ENDED, SERIES),
    FailedSeed(1711511954, _ENDED, SERIES),
    FailedSeed(3105105914, _INFINITE, _KINDS),
)
