"""Keep the views of what operators and targets wrote up to date."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec
import structlog

from .ports import HistoryGone, OutOfReach, Platform
from .views import Views

__all__ = ["OperatorFeed", "TargetFeed"]

_WAIT_SECONDS = 4.0
"""How long a call may wait for news: a call that a cut swallowed is noticed soon after."""
_TARGET_SECONDS = 1.0
"""Time between readings of the targets: half of what may pass until a leaving one gets no work."""
_FIRST_REST = 0.15
_LONGEST_REST = 1.0

_log = structlog.get_logger()


class _Rests:
    """Rest longer after each failure, with jitter; log the loss and the return."""

    def __init__(self, *, what: str, rng: random.Random) -> None:
        self._what = what
        self._rng = rng
        self._failures = 0

    @property
    def failing(self) -> bool:
        return self._failures > 0

    def worked(self) -> None:
        if self._failures:
            _log.info("dependency regained", what=self._what, failures=self._failures)
        self._failures = 0

    async def failed(self, error: Exception) -> None:
        if not self._failures:
            _log.warning("dependency lost", what=self._what, error=str(error))
        self._failures += 1
        span = min(_LONGEST_REST, _FIRST_REST * 2 ** min(self._failures, 6))
        await asyncio.sleep(self._rng.uniform(span / 2, span))


class OperatorFeed:
    """Follow the operators' rows with one long poll."""

    def __init__(
        self,
        *,
        platform: Platform,
        views: Views,
        changed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._views = views
        self._changed = changed
        self._after: int | None = None
        self._rests = _Rests(what="operators' rows", rng=rng)
        self._call: asyncio.Task[None] | None = None
        self._hurry = False

    def again(self) -> None:
        """Read at once, leaving a call that may be lost."""
        self._hurry = True
        if self._call is not None:
            self._call.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._call = asyncio.ensure_future(self._turn())
            try:
                await self._call
            except asyncio.CancelledError:
                current = asyncio.current_task()
                if current is not None and current.cancelling():
                    raise
            except HistoryGone:
                _log.info("history gone", what="operators' rows", after=self._after)
                self._after = None
            except (OutOfReach, msgspec.DecodeError) as error:
                await self._rests.failed(error)

    async def _turn(self) -> None:
        hurry, self._hurry = self._hurry, False
        wait = 0.0 if hurry or self._after is None or self._rests.failing else _WAIT_SECONDS
        news = await self._platform.operator_news(self._after, wait)
        self._rests.worked()
        now = asyncio.get_running_loop().time()
        self._after = news.version
        changed = False
        if news.catalog is not None and self._views.take_catalog(news.catalog):
            _log.info("catalog taken", version=news.catalog.version, row=news.version)
            changed = True
        for weights in news.weights:
            if self._views.take_weights(weights, now):
                _log.info("weights named", model=weights.model, version=weights.version)
                changed = True
        self._views.current(now)
        if changed:
            self._changed()


class TargetFeed:
    """Read what changed among the targets, once a second."""

    def __init__(
        self,
        *,
        platform: Platform,
        views: Views,
        returned: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._views = views
        self._returned = returned
        self._after: int | None = None
        self._rests = _Rests(what="target entries", rng=rng)
        self._wake = asyncio.Event()

    def again(self) -> None:
        """Read at once."""
        self._wake.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._turn()
            except HistoryGone:
                _log.info("history gone", what="target entries", after=self._after)
                self._after = None
                continue
            except OutOfReach as error:
                await self._rests.failed(error)
                continue
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), _TARGET_SECONDS)

    async def _turn(self) -> None:
        news = await self._platform.target_news(self._after)
        now = asyncio.get_running_loop().time()
        roster = self._views.roster
        if self._rests.failing:
            roster.store_returned(now)
            self._returned()
        self._rests.worked()
        before = set(roster.leaving())
        if news.whole:
            roster.replaced(news.entries, now)
        else:
            for entry in news.entries:
                if roster.get(entry.name) is None:
                    _log.info("target heard", target=entry.name, service=entry.service)
                roster.heard(entry, now)
            for name in news.ended:
                _log.info("target entry ended", target=name, row=news.version)
                roster.gone(name, now)
        for name in roster.leaving() - before:
            _log.info("target leaving", target=name, row=news.version)
        roster.tick(now)
        roster.heard_at = now
        self._after = news.version
