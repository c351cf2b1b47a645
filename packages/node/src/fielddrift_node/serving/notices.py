"""Take what targets say of themselves in answers, whichever call they answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance

from .views import Views

__all__ = ["NoticeHandler", "log_limit"]

_log = structlog.get_logger()


class NoticeHandler:
    """Note what targets say; `changed` is called when other nodes should hear of it soon."""

    def __init__(self, *, views: Views, changed: Callable[[], None]) -> None:
        self._views = views
        self._changed = changed

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
        self._limits(instance.name, notice.limit, served_at, now)
        if notice.pause > 0 and self._views.pauses.asked(instance.name, notice.pause, now):
            _log.info("target asks for a pause", target=instance.name, seconds=notice.pause)

    def _limits(self, name: str, rate: float | None, served_at: float | None, now: float) -> None:
        limits = self._views.limits
        if rate is not None:
            changed = limits.named(name, rate, now)
        else:
            changed = served_at is not None and limits.unnamed(name, sent_at=served_at, now=now)
        if changed:
            log_limit(name, rate, "itself")
            self._changed()

    def _leaves(self, instance: Instance) -> None:
        registry = self._views.registry
        known = instance.name in registry.leaving()
        registry.left(instance.name)
        if not known and registry.get(instance.name) is not None:
            _log.info("target leaving", target=instance.name, told_by="itself")
            self._changed()


def log_limit(target: str, rate: float | None, told_by: str) -> None:
    """Log that a target names another limit, None for none any more."""
    if rate is None:
        _log.info("target limited no longer", target=target, told_by=told_by)
    else:
        _log.info("target limited", target=target, rate=rate, told_by=told_by)
