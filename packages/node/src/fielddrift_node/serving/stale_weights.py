"""Cancel a send that waits at its engine until its weights have been outdated for too long."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from fielddrift_core.rollout import seconds_to_begin

from .views import Views

__all__ = ["StaleWeightsTimeout"]

_CHECK_INTERVAL_SECONDS = 0.2
"""Interval between checks: newer weights may be named, or an earlier naming become known, while
a send waits."""


class StaleWeightsTimeout:
    """A timeout for one send, from sending to its first event.

    `bound` is the maximum time in seconds for which requests may start on outdated weights.
    """

    def __init__(self, *, views: Views, model: str, weights: int, bound: float) -> None:
        self._views = views
        self._model = model
        self._weights = weights
        self._bound = bound
        self._expired = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def expired(self) -> bool:
        """Return whether the send was cancelled because of its weights."""
        return self._expired

    @contextmanager
    def over(self, limit: asyncio.Timeout) -> Iterator[None]:
        """Make `limit` expire as soon as the send must not start any more."""
        self._check(limit)
        try:
            yield
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _check(self, limit: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        expires_at = limit.when()
        if expires_at is not None and expires_at <= now:
            # The timeout has expired by itself, so it is not attributed to the weights.
            return
        outdated = self._views.outdated_seconds(self._model, self._weights, now)
        left = seconds_to_begin(outdated, max_outdated=self._bound)
        if left <= 0:
            self._expired = True
            limit.reschedule(now)
            return
        self._timer = loop.call_later(min(left, _CHECK_INTERVAL_SECONDS), self._check, limit)
