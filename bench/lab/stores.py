"""Model store hosts: what they keep, and their links, on which moves run one after another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fielddrift_core.catalog import StoreTraits
from fielddrift_core.prompt import Part
from fielddrift_core.store_index import allocated_tokens

__all__ = ["StoreHost"]

_MOST_WAIT_SECONDS = 2.0
"""A move that would wait longer is not begun."""
_EVENT_SECONDS = 0.08
"""How late nodes hear of what a store keeps."""


class StoreHost:
    """One store host; `told` is called with each (salt, part) that is whole."""

    def __init__(self, *, traits: StoreTraits, told: Callable[[str, str, Part], None]) -> None:
        self.traits = traits
        self.life = 1
        self._told = told
        self._loop = asyncio.get_running_loop()
        self._held: dict[tuple[str, str], int] = {}
        self._used = 0
        self._free_at = 0.0

    def empty(self) -> None:
        """Lose everything, as a new life does."""
        self.life += 1
        self._held.clear()
        self._used = 0

    def fetch(self, salt: str, part: Part, token_bytes: int) -> float | None:
        """Return the loop time at which `part` is moved, None when it is not."""
        if (salt, part.id) not in self._held:
            return None
        return self._move(part.tokens * token_bytes)

    def save(self, salt: str, part: Part, token_bytes: int) -> None:
        """Take a part, if there is room for it; it is told of once it is whole."""
        if (
            self._used + allocated_tokens(part.tokens) > self.traits.capacity
            or (salt, part.id) in self._held
        ):
            return
        at = self._move(part.tokens * token_bytes)
        if at is None:
            return
        self._used += allocated_tokens(part.tokens)
        self._loop.call_at(at + _EVENT_SECONDS, self._whole, salt, part, self.life)

    def _whole(self, salt: str, part: Part, life: int) -> None:
        if life == self.life:
            self._held[(salt, part.id)] = part.tokens
            self._told(self.traits.address, salt, part)

    def _move(self, size: float) -> float | None:
        now = self._loop.time()
        start = max(now, self._free_at)
        if start - now > _MOST_WAIT_SECONDS:
            return None
        self._free_at = start + size / self.traits.link_rate
        return self._free_at + self.traits.first_byte_delay
