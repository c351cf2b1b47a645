"""Watch the sends that wait for a response, and ask to replace those at unresponsive targets."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
from fielddrift_core.responsiveness import (
    CHECK_INTERVAL_SECONDS,
    ResponsivenessChange,
    allowed_seconds,
)

from .metrics import Metrics
from .views import Views

__all__ = ["ResponsivenessWatch", "SendWatch"]

_LOGGED_DELAY_SECONDS = 0.1
"""Delays of the event loop from which on they are logged; half of what many routes allow a first
event."""

_log = structlog.get_logger()


class SendWatch:
    """Records one send as outstanding, and tells when its target has become unresponsive.

    `estimate` is the expected time in seconds to the first event, or to the end of a plain
    response.  `on_unresponsive` is called, perhaps several times, when the send should be replaced.
    """

    def __init__(
        self,
        *,
        views: Views,
        metrics: Metrics,
        target: str,
        request: str,
        estimate: float,
        on_unresponsive: Callable[[], None],
    ) -> None:
        self._views = views
        self._metrics = metrics
        self._target = target
        self._request = request
        self._estimate = estimate
        self._on_unresponsive = on_unresponsive

    @contextmanager
    def over(self) -> Iterator[None]:
        """Record the send as outstanding within the context."""
        responsiveness, movable = self._views.responsiveness, self._views.movable_sends
        if responsiveness.is_unresponsive(self._target):
            self._metrics.probes.inc()
        now = asyncio.get_running_loop().time()
        key = (self._target, self._request)
        responsiveness.sent(*key, allowed=self._allowed(now), now=now)
        movable[key] = self._on_unresponsive
        try:
            yield
        finally:
            del movable[key]
            responsiveness.ended(*key)

    def _allowed(self, now: float) -> float:
        """Return the seconds for which the send may be outstanding.

        No time is too long at a target that is known to be slow for the moment.
        """
        views = self._views
        slow = views.cold.is_cold(self._target, now) or views.loading.seconds(self._target, now) > 0
        return math.inf if slow else allowed_seconds(self._estimate)


class ResponsivenessWatch:
    """Checks periodically which targets are unresponsive, and has the sends there replaced.

    Also measures how late the event loop runs the checks.  `on_change` is called when other nodes
    should be informed soon.
    """

    def __init__(self, *, views: Views, metrics: Metrics, on_change: Callable[[], None]) -> None:
        self._views = views
        self._metrics = metrics
        self._on_change = on_change

    async def run(self) -> None:
        """Check until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._check(loop.time())
            due, used = loop.time() + CHECK_INTERVAL_SECONDS, time.thread_time()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._record_delay(max(0.0, loop.time() - due), time.thread_time() - used)

    def _record_delay(self, delay: float, used: float) -> None:
        """Record how late a check runs; `used` is the thread's processor time since the last one.

        Both are in seconds.
        """
        self._metrics.loop_delay.observe(delay)
        if delay >= _LOGGED_DELAY_SECONDS:
            _log.warning(
                "event loop delayed", delay_ms=round(delay * 1000), cpu_ms=round(used * 1000)
            )

    def _check(self, now: float) -> None:
        responsiveness = self._views.responsiveness
        for change in responsiveness.check(now):
            self._record(change)
        for key in responsiveness.movable(now) if responsiveness else ():
            move = self._views.movable_sends.get(key)
            if move is not None:
                move()

    def _record(self, change: ResponsivenessChange) -> None:
        age_ms = round(change.age * 1000)
        if not change.unresponsive:
            _log.info(
                "target responsive again",
                target=change.target,
                evidence=change.evidence,
                after_ms=age_ms,
            )
            return
        self._metrics.unresponsive.inc(label_value=change.evidence)
        _log.warning(
            "target unresponsive",
            target=change.target,
            evidence=change.evidence,
            silent_ms=age_ms,
            allowed_ms=_milliseconds(change.allowed),
            told_by=change.reporter or None,
        )
        if change.evidence != "report":
            self._on_change()


def _milliseconds(seconds: float | None) -> int | None:
    """Return whole milliseconds, None for no bound."""
    return None if seconds is None or math.isinf(seconds) else round(seconds * 1000)
