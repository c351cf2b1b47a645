"""Run asyncio code in virtual time: a loop that never waits, whose clock jumps to what is next."""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["VirtualLoop"]


class _JumpingSelector(selectors.SelectSelector):
    """Finds nothing to wait for, and lets the clock pass instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers are due at once, in their order."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now
