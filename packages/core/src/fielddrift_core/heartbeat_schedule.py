"""Say how often nodes get heartbeats, and remember which they got and left unanswered."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["SentHeartbeats", "Standing", "periods"]

_HEARTBEAT_COST_SECONDS = 0.015
"""Time between heartbeats for each node that gets them: a node sends at most some
seventy a second to each kind of neighbour, however many there are."""
_DUE_PART = 0.9
"""Part of a period after which a heartbeat is due: the loop that looks runs in steps."""


class Standing(NamedTuple):
    """How two nodes stand to each other, which decides what they tell and how often.

    `theirs` says that the other node is active, `mine` that this one is.  Of two relays
    far from each other `seldom` says that one is a successor.
    """

    near: bool
    mine: bool
    theirs: bool
    seldom: bool = False


_PERIODS = {
    Standing(near=True, mine=True, theirs=True): 0.15,
    Standing(near=True, mine=True, theirs=False): 0.25,
    Standing(near=True, mine=False, theirs=True): 1.0,
    Standing(near=True, mine=False, theirs=False): 3.0,
    Standing(near=False, mine=True, theirs=True): 0.3,
    Standing(near=False, mine=True, theirs=True, seldom=True): 0.9,
    Standing(near=False, mine=True, theirs=False): 3.0,
    Standing(near=False, mine=False, theirs=True): 5.0,
    Standing(near=False, mine=False, theirs=False): 10.0,
}
"""Seconds between heartbeats.  Two active nodes need each other's sends while these are
under way, some 0.3 s.  A node that stands by has to notice within about a second that
an active one is gone, for it answers callers that ask for addresses; others matter to
it only once it is active."""


def periods(counts: Mapping[bool, int]) -> dict[Standing, float]:
    """Return the seconds between heartbeats, by how two nodes stand to each other.

    `counts` are the numbers of other nodes nearby by whether they are active.
    """
    found = {}
    for standing, period in _PERIODS.items():
        crowd = counts.get(standing.theirs, 0) if standing.near else 0
        found[standing] = max(period, crowd * _HEARTBEAT_COST_SECONDS)
    return found


class _Sent(NamedTuple):
    at: float
    period: float
    unanswered: int


class SentHeartbeats:
    """The heartbeats that this node sent, by receiver.  Not safe for threads."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def is_due(self, name: str, *, period: float, silent: bool, now: float) -> bool:
        """Return whether the node called `name` should get a heartbeat now, and note it.

        `silent` says that it is not heard, so that this one counts as unanswered.
        """
        sent = self._sent.get(name, _Sent(float("-inf"), period, 0))
        # A longer period than was told must be told at once, or this node seems gone.
        due = period > sent.period or now - sent.at >= period * _DUE_PART
        if due:
            self._sent[name] = _Sent(now, period, sent.unanswered + 1 if silent else 0)
        return due

    def unanswered(self, name: str) -> int:
        """Return how many heartbeats in a row were sent to a silent node."""
        return self._sent[name].unanswered if name in self._sent else 0

    def forget(self, name: str) -> None:
        """Drop what is remembered of a receiver."""
        self._sent.pop(name, None)
