"""Guess which parts an engine still has in its memory, from what it was sent.

The parts unused longest are the first to give way.  A wrong guess costs a
read, never a wrong answer: the engine itself knows what it has.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from .prompt import Part

__all__ = ["EngineMemory"]

_OWN_PART = 0.4
"""Part of an engine's memory that is taken to hold what this node sent: runs
under way and other nodes' prompts take the rest."""


class EngineMemory:
    """Parts by engine, newest use last.  Not safe for threads."""

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[tuple[str, str], int]] = {}

    def sent(self, engine: str, salt: str, parts: Iterable[Part], capacity: int) -> None:
        """Note that `engine` was sent a prompt with `parts`; `capacity` is in tokens."""
        held = self._held.setdefault(engine, OrderedDict())
        for part in parts:
            held.pop((salt, part.id), None)
            held[(salt, part.id)] = part.tokens
        total = sum(held.values())
        while held and total > capacity * _OWN_PART:
            _, tokens = held.popitem(last=False)
            total -= tokens

    def not_sent(self, engine: str, salt: str, parts: Iterable[str]) -> None:
        """Forget `parts`, by id, of a prompt that `engine` turned away."""
        held = self._held.get(engine, OrderedDict())
        for part in parts:
            held.pop((salt, part), None)

    def parts(self, engine: str, salt: str) -> frozenset[str]:
        """Return the ids of parts that `engine` probably has under `salt`."""
        return frozenset(part for s, part in self._held.get(engine, ()) if s == salt)
