"""Notice when this process was paused, and when it is stopping.

After a pause (a frozen host, a stopped process) what the node knows is old:
before it takes new requests it must hear from a peer or the table once more.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from . import clock

__all__ = ["PAUSE_SECONDS", "Watch"]

PAUSE_SECONDS = 2.0


class Watch:
    """Tell whether new requests may be taken.  Safe for threads.

    `refresh` brings the configuration up to date; it returns False when
    neither the table nor a peer answered.
    """

    def __init__(
        self, *, refresh: Callable[[], bool], clock: Callable[[], float] = clock.now
    ) -> None:
        self._refresh = refresh
        self._clock = clock
        self._seen_at = self._paused_at = self._fresh_since = clock()
        self._refreshing = threading.Lock()
        self._refuse = threading.Event()
        self._leaving = threading.Event()

    @property
    def leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._leaving.is_set()

    @property
    def refusing(self) -> bool:
        """Return whether new requests are refused, because the stop is near."""
        return self._refuse.is_set()

    def leave(self) -> None:
        """Begin a planned stop."""
        self._leaving.set()

    def refuse(self) -> None:
        """Refuse new requests from now on."""
        self._refuse.set()

    def tick(self) -> bool:
        """Note that the process runs; return whether it had been paused."""
        now = self._clock()
        paused = now - self._seen_at > PAUSE_SECONDS
        if paused:
            self._paused_at = now
        self._seen_at = now
        return paused

    def ensure_fresh(self) -> None:
        """After a pause, catch up once before anything new is taken.

        When nobody answers, what is known goes on being used: serving needs
        no table.
        """
        self.tick()
        if not self._stale():
            return
        with self._refreshing:
            while self._stale():
                # What was read before a pause during the refresh is old, so its beginning counts.
                began = self._clock()
                self._refresh()
                self._fresh_since = began

    def _stale(self) -> bool:
        """Return whether what is known was read before the last pause."""
        return self._paused_at > self._fresh_since
