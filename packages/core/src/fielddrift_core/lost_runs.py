"""Keep runs that broke off until it is known whether their target has ended.

A connection that its target's side closes says nothing by itself: an answer can be lost, a
link reset.  The end of the target shows soon after, or not at all.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .crashes import Crash

__all__ = ["LostRun", "LostRuns"]

_PENDING_SECONDS = 5.0
"""How long the end of a target may explain a run that broke off: an entry is gone after three
heartbeats of silence, and read within a second."""
_ENDED_TTL_SECONDS = 10.0
"""How long runs at a target known to have ended may still break off, on slow links."""


class LostRun(NamedTuple):
    """A run that broke off on its target's side, `at` when; `ran` the seconds since its send."""

    request_id: str
    fingerprint: str
    target: str
    at: float
    ran: float

    @property
    def crash(self) -> Crash:
        """Return what the end of the target says of the request."""
        return Crash(self.fingerprint, self.target, self.at, self.ran)


class LostRuns:
    """Runs in doubt, by the name of their target's life.  Not safe for threads."""

    def __init__(self) -> None:
        self._pending: dict[str, list[LostRun]] = {}
        self._ended_at: dict[str, float] = {}
        """When targets were known to have ended."""

    def __contains__(self, target: str) -> bool:
        """Return whether runs at `target` are in doubt."""
        return target in self._pending

    @property
    def targets(self) -> list[str]:
        """Return the targets at which runs are in doubt."""
        return list(self._pending)

    def add(self, run: LostRun) -> bool:
        """Take a run that broke off; return whether its target is known to have ended."""
        if run.target in self._ended_at:
            return True
        self._pending.setdefault(run.target, []).append(run)
        return False

    def ended(self, target: str, now: float) -> list[LostRun]:
        """Take the end of `target`; return the runs that broke off for it."""
        runs = self._pending.pop(target, [])
        if runs:
            self._ended_at[target] = now
        return runs

    def cancel_end(self, target: str) -> None:
        """Take that `target` has not ended after all."""
        self._ended_at.pop(target, None)

    def expire(self, now: float) -> None:
        """Forget runs whose targets have shown no end, and ends that are over."""
        _forget(
            self._ended_at, (t for t, at in self._ended_at.items() if now - at > _ENDED_TTL_SECONDS)
        )
        old = (t for t, runs in self._pending.items() if now - runs[0].at > _PENDING_SECONDS)
        _forget(self._pending, old)


def _forget(known: dict[str, float] | dict[str, list[LostRun]], names: Iterable[str]) -> None:
    for name in list(names):
        del known[name]
