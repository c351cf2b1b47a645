"""Track the data centres that operators evacuate: their targets receive no requests.

Nodes exchange the complete state, as of a version of the operators' rows, so the state with
the later version is valid, also for evacuations that were ended.  When the platform's store
is restored from an older copy, an evacuation in force may be missing from it.  It is held for
a while, until operators write it again or know that it has ended.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .eras import era_of

__all__ = ["EVACUATIONS_NAME", "EvacuationChanges", "EvacuationState", "Evacuations"]

EVACUATIONS_NAME = "operators:evacuations"
"""The entry among the loads of targets with which heartbeats report the last change: nodes of
the previous release would reject the whole heartbeat for a new field."""
_LOST_HOLD_SECONDS = 30.0
"""How long an evacuation is held that a store has lost: longer than the store's history, in
which operators see that it was restored."""


class EvacuationChanges(NamedTuple):
    """The result of a read of the operators' rows.

    With `whole`, `started` are all evacuations in force; otherwise it and `ended` are changes.
    """

    started: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    whole: bool = False


class EvacuationState(NamedTuple):
    """All evacuated data centres; `row` is the operators' row version of the last change.

    `held` gives the remaining seconds of those held in addition because a store has lost them.
    """

    data_centres: tuple[str, ...] = ()
    row: int = 0
    held: Mapping[str, float] = {}


class Evacuations:
    """The evacuated data centres known to this node.  Not thread-safe."""

    def __init__(self) -> None:
        self._written: frozenset[str] = frozenset()
        self._held: dict[str, float] = {}
        """Until when evacuations are held that the store has lost."""
        self._row = 0

    @property
    def row(self) -> int:
        """Return the operators' row version of the last change, 0 before the first one."""
        return self._row

    def current(self, now: float) -> frozenset[str]:
        """Return the data centres whose targets receive no requests."""
        if not self._held:
            return self._written
        return self._written | {name for name, until in self._held.items() if now < until}

    def state(self, now: float) -> EvacuationState:
        """Return the complete state, for other nodes."""
        held = {name: until - now for name, until in self._held.items() if now < until}
        return EvacuationState(tuple(sorted(self._written)), self._row, held)

    def read(self, changes: EvacuationChanges, row: int, now: float) -> None:
        """Apply changes that this node has read itself, as of the operators' row version `row`."""
        before = frozenset[str]() if changes.whole else self._written
        self._set((before | changes.started) - changes.ended, row, now)
        for name in changes.ended:
            # Ended by an operator, so it is not lost.
            self._held.pop(name, None)

    def merge(self, state: EvacuationState, *, read: int, known: int, now: float) -> None:
        """Merge the state of another node, which has read the operators' rows up to `read`.

        `known` is the version up to which this node has read; where it is later than `read`,
        the other state is outdated and not applied.
        """
        if read >= known:
            self._set(frozenset(state.data_centres), state.row, now)
            for name, seconds in state.held.items():
                self._held[name] = max(self._held.get(name, 0.0), now + seconds)
        # Also if the state was not applied, so that it is not requested again.
        self._row = max(self._row, state.row)

    def _set(self, written: Collection[str], row: int, now: float) -> None:
        written = frozenset(written)
        if written == self._written:
            return
        if era_of(row) > era_of(self._row) and self._row:
            self._hold_lost(self._written - written, now)
        for name in written:
            self._held.pop(name, None)
        self._written = written
        self._row = max(self._row, row)

    def _hold_lost(self, lost: Iterable[str], now: float) -> None:
        for name in lost:
            self._held[name] = now + _LOST_HOLD_SECONDS
