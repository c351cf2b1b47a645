"""Estimate which prompt parts an engine still has in memory, from what it was sent.

The estimate is an LRU cache.  A wrong estimate costs an extra prefill, but never gives a wrong
response, since the engine itself knows what it has.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from .prompt import Part

__all__ = ["EngineMemory"]

_OWN_FRACTION = 0.4
"""Fraction of an engine's memory that is assumed to hold parts sent by this node; running
requests and the prompts of other nodes take the rest."""


class _CachedPart(NamedTuple):
    """A part's length in tokens, and the number of the last send that included it."""

    tokens: int
    send: int


class EngineMemory:
    """Parts by engine, most recently used last.  Not thread-safe."""

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[tuple[str, str], _CachedPart]] = {}
        self._sends = 0

    def sent(self, engine: str, salt: str, parts: Iterable[Part], capacity: int) -> int:
        """Record that `engine` was sent a prompt with `parts`; return the number of the send.

        `capacity` is the engine's memory in tokens.
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
        """Remove the `parts`, by id, of the send numbered `send`, which `engine` refused.

        Parts that another prompt has included since then stay.
        """
        held = self._held.get(engine, OrderedDict())
        for part in parts:
            kept = held.get((salt, part))
            if kept is not None and kept.send == send:
                del held[(salt, part)]

    def parts_of(self, engine: str, salt: str, parts: Iterable[Part]) -> Collection[str]:
        """Return the ids of those of `parts` that `engine` probably has under `salt`."""
        held = self._held.get(engine)
        return [part.id for part in parts if (salt, part.id) in held] if held else ()

    def parts(self, engine: str, salt: str) -> frozenset[str]:
        """Return the ids of parts that `engine` probably has under `salt`."""
        return frozenset(part for s, part in self._held.get(engine, ()) if s == salt)
