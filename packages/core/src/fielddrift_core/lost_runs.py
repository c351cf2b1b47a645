"""Keep runs whose connection was lost until it is known whether their target has ended.

A connection closed by the target's side is not proof that the target has ended: a response
can be lost or a link reset.  The end of a target becomes known soon afterwards, or not at all.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .crashes import Crash, part_suspect

__all__ = ["LostRun", "LostRuns"]

_PENDING_SECONDS = 5.0
"""How long after a run was lost the end of its target may still explain it: a target's entry is
removed after three missed heartbeats, and this is read within a second."""
_ENDED_TTL_SECONDS = 10.0
"""How long after the end of a target its runs may still be lost, on slow links."""


class LostRun(NamedTuple):
    """A run whose connection was closed by its target's side.

    `at` is the time of the loss, `ran` the seconds since the run was sent.  `model` and `parts` are
    those of the prompt, without the last part, which belongs to one caller or session alone.
    """

    request_id: str
    fingerprint: str
    target: str
    at: float
    ran: float
    model: str = ""
    parts: tuple[str, ...] = ()

    @property
    def crash(self) -> Crash:
        """Return the crash that this run is evidence of, if its target has ended."""
        return Crash(self.fingerprint, self.target, self.at, self.ran)

    @property
    def part_crashes(self) -> tuple[Crash, ...]:
        """Return the same for each part of the prompt that other prompts may have too."""
        names = dict.fromkeys(part_suspect(self.model, part) for part in self.parts)
        return tuple(self.crash._replace(fingerprint=name) for name in names)


class LostRuns:
    """Lost runs by the name of their target's process instance.  Not thread-safe."""

    def __init__(self) -> None:
        self._pending: dict[str, list[LostRun]] = {}
        self._ended_at: dict[str, float] = {}
        """When each target became known to have ended."""

    def __contains__(self, target: str) -> bool:
        """Return whether lost runs at `target` are pending."""
        return target in self._pending

    @property
    def targets(self) -> list[str]:
        """Return the targets with pending lost runs."""
        return list(self._pending)

    def add(self, run: LostRun) -> bool:
        """Add a lost run; return True, without keeping it, if its target is known to have ended."""
        if run.target in self._ended_at:
            return True
        self._pending.setdefault(run.target, []).append(run)
        return False

    def ended(self, target: str, now: float) -> list[LostRun]:
        """Record the end of `target`; return its pending runs, which were lost by it."""
        runs = self._pending.pop(target, [])
        if runs:
            self._ended_at[target] = now
        return runs

    def cancel_end(self, target: str) -> None:
        """Revoke the end of `target`: it is alive."""
        self._ended_at.pop(target, None)

    def expire(self, now: float) -> None:
        """Remove runs that waited too long for the end of their target, and old ends."""
        _forget(
            self._ended_at, (t for t, at in self._ended_at.items() if now - at > _ENDED_TTL_SECONDS)
        )
        old = (t for t, runs in self._pending.items() if now - runs[0].at > _PENDING_SECONDS)
        _forget(self._pending, old)


def _forget(known: dict[str, float] | dict[str, list[LostRun]], names: Iterable[str]) -> None:
    for name in list(names):
        del known[name]
