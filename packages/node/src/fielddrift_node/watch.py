"""Detect that this process was paused, and keep its stop state.

After a pause (a suspended host, a stopped process) the node's configuration is
stale: before it accepts new requests, it asks the table or a peer once.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from . import clock

__all__ = ["PAUSE_SECONDS", "Watch"]

PAUSE_SECONDS = 2.0


class Watch:
    """Track whether the node may accept new requests.  Thread-safe.

    `refresh` updates the configuration from the table or a peer; it returns
    False if neither answered.
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
        """Return whether new requests are refused, as they are shortly before the stop."""
        return self._refuse.is_set()

    def leave(self) -> None:
        """Begin a planned stop."""
        self._leaving.set()

    def refuse(self) -> None:
        """Refuse new requests from now on."""
        self._refuse.set()

    def tick(self) -> bool:
        """Record that the process runs; return whether it was paused since the last record."""
        now = self._clock()
        paused = now - self._seen_at > PAUSE_SECONDS
        if paused:
            self._paused_at = now
        self._seen_at = now
        return paused

    def ensure_fresh(self) -> None:
        """Refresh the configuration if the process was paused since the last refresh.

        If neither the table nor a peer answers, the node continues with the
        configuration that it has: it can serve without the table.
        """
        self.tick()
        if not self._stale():
            return
        with self._refreshing:
            while self._stale():
                # Uses the start time, since a pause during the refresh makes its result stale.
                began = self._clock()
                self._refresh()
                self._fresh_since = began

    def _stale(self) -> bool:
        """Return whether the last refresh began before the last pause."""
        return self._paused_at > self._fresh_since
