"""Call a send off that waits at its engine until its weights are outdated for too long."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from fielddrift_core.rollout import seconds_to_begin

from .views import Views

__all__ = ["StaleWeightsTimeout"]

_LOOK_SECONDS = 0.2
"""Between looks: weights may be named, or an earlier naming heard of, while a send waits."""


class StaleWeightsTimeout:
    """Watch one send from its leaving to its first event; `bound` is the time for older weights."""

    def __init__(self, *, views: Views, model: str, weights: int, bound: float) -> None:
        self._views = views
        self._model = model
        self._weights = weights
        self._bound = bound
        self._expired = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def expired(self) -> bool:
        """Return whether the send was called off."""
        return self._expired

    @contextmanager
    def over(self, limit: asyncio.Timeout) -> Iterator[None]:
        """Let `limit` expire as soon as the send must not begin any more."""
        self._look(limit)
        try:
            yield
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _look(self, limit: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        patience_ends = limit.when()
        if patience_ends is not None and patience_ends <= now:
            # The route's patience is over in this moment: that is why the send ends.
            return
        outdated = self._views.outdated_seconds(self._model, self._weights, now)
        left = seconds_to_begin(outdated, max_outdated=self._bound)
        if left <= 0:
            self._expired = True
            limit.reschedule(now)
            return
        self._timer = loop.call_later(min(left, _LOOK_SECONDS), self._look, limit)
