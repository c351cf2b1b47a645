"""Guess which parts an engine still has in its memory, from what it was sent.

The parts unused longest are the first to give way.  A wrong guess costs a
read, never a wrong answer: the engine itself knows what it has.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from .prompt import Part

__all__ = ["EngineMemory"]

_OWN_FRACTION = 0.4
"""Part of an engine's memory that is taken to hold what this node sent: runs
under way and other nodes' prompts take the rest."""


class _CachedPart(NamedTuple):
    """A part of so many tokens, by the last send that brought or used it."""

    tokens: int
    send: int


class EngineMemory:
    """Parts by engine, newest use last.  Not safe for threads."""

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[tuple[str, str], _CachedPart]] = {}
        self._sends = 0

    def sent(self, engine: str, salt: str, parts: Iterable[Part], capacity: int) -> int:
        """Note that `engine` was sent a prompt with `parts`; return the number of the send.

        `capacity` is in tokens.
        """
        self._sends += 1
        held = self._held.setdefault(engine, OrderedDict())
        for part in parts:
            held.pop((salt, part.id), None)
            held[(salt, part.id)] = _CachedPart(part.tokens, self._sends)
        total = sum(kept.tokens for kept in held.values())
        while held and total > capacity * _OWN_FRACTION:
            _, kept = held.popitem(last=False)
            total -= kept.tokens
        return self._sends

    def undo_send(self, engine: str, salt: str, parts: Iterable[str], *, send: int) -> None:
        """Forget `parts`, by id, of the send numbered `send`, which `engine` turned away.

        What another prompt brought there meanwhile stays.
        """
        held = self._held.get(engine, OrderedDict())
        for part in parts:
            kept = held.get((salt, part))
            if kept is not None and kept.send == send:
                del held[(salt, part)]

    def parts(self, engine: str, salt: str) -> frozenset[str]:
        """Return the ids of parts that `engine` probably has under `salt`."""
        return frozenset(part for s, part in self._held.get(engine, ()) if s == salt)
