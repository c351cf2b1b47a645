"""Run asyncio code in virtual time: a loop that never waits, whose clock jumps to what is next."""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["VirtualLoop"]

_START_SECONDS = 1000.0
"""What the clock shows first: code that subtracts times must not meet zero by chance."""


class _JumpingSelector(selectors.SelectSelector):
    """Finds nothing to wait for, and lets the clock pass instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START_SECONDS

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers are due at once, in their order."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now
