"""Let prompts wait at this node until an engine has room for them."""

from __future__ import annotations

import asyncio
import contextlib

from fielddrift_core.waiting import MemoryTurnover, PromptQueue, WaitingPrompt

__all__ = ["Room", "Rooms"]


class Room:
    """The line before one service's engines, and how fast their memory turns over."""

    def __init__(self) -> None:
        self.line = PromptQueue()
        self.turnover = MemoryTurnover()
        self._woken: dict[int, asyncio.Event] = {}

    async def turn(self, waiter: WaitingPrompt, seconds: float) -> None:
        """Wait until it may be the turn of `waiter`, for `seconds` at most."""
        event = self._woken[id(waiter)] = asyncio.Event()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await event.wait()
        finally:
            del self._woken[id(waiter)]

    def wake(self) -> None:
        """Let whoever is first look for room."""
        first = self.line.head()
        if first is not None and id(first) in self._woken:
            self._woken[id(first)].set()


class Rooms:
    """The lines of all services."""

    def __init__(self) -> None:
        self._rooms: dict[str, Room] = {}

    def of(self, service: str) -> Room:
        """Return the line before the engines of `service`."""
        return self._rooms.setdefault(service, Room())

    def changed(self) -> None:
        """Note that some engine may have room."""
        for room in self._rooms.values():
            room.wake()
