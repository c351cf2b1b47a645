"""Admit single requests that show whether what is held back still crashes its target.

After a hold one request is sent, by the first node at first.  Before its end, at fixed times after
its beginning, one shows whether a part that many prompts have is held back by mistake.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from .crash_attribution import EARLY_PROBE_SECONDS, HeldRequest, is_part

__all__ = ["PROBE_INTERVAL_SECONDS", "HoldProbes"]

PROBE_INTERVAL_SECONDS = 5.0
"""After a hold, one send is allowed in each such interval: a crash shows within that time."""
_EARLY_PROBE_FRACTION = 0.3
"""Least fraction of a node's prompts since then that have the part, unless repeated requests
would explain its crashes as well: holding back a part of few prompts by mistake costs less than the
targets that such sends may end."""
_EARLY_PROBE_RANKS = 2
"""Probe ranks whose nodes do so: the first node of all, and the first of each data centre."""
_EARLY_PROBE_RANK_SECONDS = 4.0
"""How long the second of these ranks waits for the first one."""
_PROBE_RANK_SECONDS = 30.0
"""How long after a part's hold nodes of the next probe rank wait for those before them: many
requests have the part, and each node would probe with one of its own."""


class _PromptCount(NamedTuple):
    """The prompts that arrived in some time, and those of them that have one part."""

    with_part: int = 0
    all: int = 0


class HoldProbes:
    """Holds, and the requests that were sent in spite of them.  Not thread-safe.

    All times are in seconds on one clock.
    """

    def __init__(self) -> None:
        self._held: Mapping[str, HeldRequest] = {}
        """The suspects that are held back, or were and may be again."""
        self._probe_until: dict[str, float] = {}
        self._early_probes: dict[str, int] = {}
        """Requests sent before the end of each part's hold, whatever became of them."""
        self._prompts: dict[str, _PromptCount] = {}
        """Prompts since each part has been held back."""

    @property
    def holds(self) -> Mapping[str, HeldRequest]:
        """Return the suspects that are held back, or were and may be again."""
        return self._held

    def update(self, held: Mapping[str, HeldRequest]) -> None:
        """Replace the holds."""
        self._held = held
        self._probe_until = {name: at for name, at in self._probe_until.items() if name in held}
        self._prompts = {name: count for name, count in self._prompts.items() if name in held}

    def forget(self, suspect: str) -> None:
        """Forget the early probes of a suspect that has no crashes any more."""
        self._early_probes.pop(suspect, None)

    def held(self, fingerprint: str, now: float) -> HeldRequest | None:
        """Return the hold that applies to a request now, None where it may be sent."""
        held = self._held.get(fingerprint)
        if held is None or now < held.until:
            return held
        until = self._probe_until.get(fingerprint, float("-inf"))
        return held._replace(until=until) if now < until else None

    def first_held(
        self, suspects: Sequence[str], now: float, *, probe_rank: int, may_probe: bool
    ) -> HeldRequest | None:
        """Return the hold that applies to a request with these `suspects`, None for none.

        After the hold of a part, nodes of a higher `probe_rank` hold it back for longer.
        `may_probe` is false for a request during whose runs targets crashed.
        """
        names = [name for name in suspects if name in self._held]
        found = [held for name in names if (held := self._held_at(name, now, probe_rank))]
        if len(found) == 1 and may_probe and self._is_early_probe(found[0], now, probe_rank):
            return None
        if not found:
            return None
        held = found[0]
        if self._is_probed_early(held.fingerprint):
            return held
        return held._replace(probe_at=float("inf"))

    def _held_at(self, name: str, now: float, probe_rank: int) -> HeldRequest | None:
        held = self._held[name]
        until = held.until + probe_rank * _PROBE_RANK_SECONDS
        if is_part(name) and held.until <= now < until:
            return held._replace(until=until)
        return self.held(name, now)

    def _is_early_probe(self, held: HeldRequest, now: float, probe_rank: int) -> bool:
        """Return whether a request may show whether its only held part is held back by mistake."""
        if probe_rank >= _EARLY_PROBE_RANKS or not self._is_probed_early(held.fingerprint):
            return False
        probe_at = held.probe_at + probe_rank * _EARLY_PROBE_RANK_SECONDS
        return now >= max(probe_at, self._probe_until.get(held.fingerprint, probe_at))

    def _is_probed_early(self, part: str) -> bool:
        """Return whether a request may still be sent before the end of a part's hold."""
        prompts = self._prompts.get(part, _PromptCount())
        is_common = prompts.with_part >= max(1.0, _EARLY_PROBE_FRACTION * prompts.all)
        is_probed = is_common or self._held[part].is_ambiguous
        return is_probed and self._early_probes.get(part, 0) < len(EARLY_PROBE_SECONDS)

    def admit(
        self, suspects: Sequence[str], now: float, *, probe_rank: int, may_probe: bool
    ) -> HeldRequest | None:
        """Admit a request that is about to be sent; return the hold where it is not admitted.

        After a hold, a single send probes whether the suspect still crashes its target.
        """
        held = self.first_held(suspects, now, probe_rank=probe_rank, may_probe=may_probe)
        if held is None:
            for name in suspects:
                if name in self._held:
                    self._probe_until[name] = now + PROBE_INTERVAL_SECONDS
                    if now < self._held[name].until:
                        self._early_probes[name] = self._early_probes.get(name, 0) + 1
        return held

    def count_prompt(self, suspects: Collection[str]) -> None:
        """Count a prompt that has arrived at this node for the parts that are held back."""
        for name in self._held:
            if is_part(name):
                count = self._prompts.get(name, _PromptCount())
                with_part = count.with_part + (name in suspects)
                self._prompts[name] = _PromptCount(with_part, count.all + 1)
