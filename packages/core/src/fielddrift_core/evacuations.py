"""Know the data centres that operators evacuate: their targets are to get nothing.

The state is told whole, as of a version of the operators' rows, so whoever has the later
version is right, also about evacuations that were taken back.  When the platform's store
comes back from an older copy of itself, an evacuation may be missing there that was in
force: it is held for a while, for operators write it again or know that it is over.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .eras import era_of

__all__ = ["EVACUATIONS_NAME", "EvacuationNews", "EvacuationState", "Evacuations"]

EVACUATIONS_NAME = "operators:evacuations"
"""The name among the loads of targets under which heartbeats tell of the last change: a
field of its own would have nodes of the release before refuse the whole heartbeat."""
_LOST_SECONDS = 30.0
"""How long an evacuation is held that a store lost: longer than its history, in which
operators see that it went back."""


class EvacuationNews(NamedTuple):
    """What a reading of the operators' rows tells; with `whole`, `begun` are all there are."""

    begun: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    whole: bool = False


class EvacuationState(NamedTuple):
    """All evacuated data centres; `row` is the operators' row at which the last change showed.

    `held` gives the seconds for which those are held besides that a store lost.
    """

    data_centres: tuple[str, ...] = ()
    row: int = 0
    held: Mapping[str, float] = {}


class Evacuations:
    """The evacuated data centres, as far as this node knows.  Not safe for threads."""

    def __init__(self) -> None:
        self._written: frozenset[str] = frozenset()
        self._held: dict[str, float] = {}
        """Until when evacuations are held that the store has lost."""
        self._row = 0

    @property
    def row(self) -> int:
        """Return the operators' row at which the last change showed, 0 for none yet."""
        return self._row

    def current(self, now: float) -> frozenset[str]:
        """Return the data centres whose targets are to get nothing."""
        if not self._held:
            return self._written
        return self._written | {name for name, until in self._held.items() if now < until}

    def state(self, now: float) -> EvacuationState:
        """Return everything, for other nodes."""
        held = {name: until - now for name, until in self._held.items() if now < until}
        return EvacuationState(tuple(sorted(self._written)), self._row, held)

    def read(self, news: EvacuationNews, row: int, now: float) -> None:
        """Take what this node itself read, as of the operators' `row`."""
        before = frozenset[str]() if news.whole else self._written
        self._take((before | news.begun) - news.ended, row, now)
        for name in news.ended:
            # Taken back by an operator, who knows of it.
            self._held.pop(name, None)

    def copied(self, state: EvacuationState, *, read: int, known: int, now: float) -> None:
        """Take what another node has, who read the operators' rows up to `read`.

        `known` is how far this node has read: where that is further, it knows better.
        """
        if read >= known:
            self._take(frozenset(state.data_centres), state.row, now)
            for name, seconds in state.held.items():
                self._held[name] = max(self._held.get(name, 0.0), now + seconds)
        # Also where nothing is taken: the same news must not be asked for again.
        self._row = max(self._row, state.row)

    def _take(self, written: Collection[str], row: int, now: float) -> None:
        written = frozenset(written)
        if written == self._written:
            return
        if era_of(row) > era_of(self._row) and self._row:
            self._hold(self._written - written, now)
        for name in written:
            self._held.pop(name, None)
        self._written = written
        self._row = max(self._row, row)

    def _hold(self, lost: Iterable[str], now: float) -> None:
        for name in lost:
            self._held[name] = now + _LOST_SECONDS
