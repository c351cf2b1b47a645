"""Take what targets say of themselves in answers, whichever call they answer."""

from __future__ import annotations

import asyncio

import structlog
from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance

from .views import Views

__all__ = ["Notices"]

_log = structlog.get_logger()


class Notices:
    """Note the limits and pauses that targets name, and log what they say anew."""

    def __init__(self, *, views: Views) -> None:
        self._views = views

    def heard(
        self, instance: Instance, notice: TargetNotice, *, served_at: float | None = None
    ) -> None:
        """Take what a target said of itself in an answer.

        `served_at` is the loop time at which the request was sent that it served, None for
        an answer that does not end a limit: a refusal, a report, an order's.
        """
        now = asyncio.get_running_loop().time()
        if notice.leaving:
            self._leaves(instance)
        if notice.limit is not None:
            if self._views.limits.named(instance.name, notice.limit, now):
                _log.info("target limited", target=instance.name, rate=notice.limit)
        elif served_at is not None and self._views.limits.unnamed(
            instance.name, sent_at=served_at, now=now
        ):
            _log.info("target limited no longer", target=instance.name)
        if notice.pause > 0 and self._views.pauses.asked(instance.name, notice.pause, now):
            _log.info("target asks for a pause", target=instance.name, seconds=notice.pause)

    def _leaves(self, instance: Instance) -> None:
        if instance.name not in self._views.registry.leaving():
            _log.info("target says that it leaves", target=instance.name)
