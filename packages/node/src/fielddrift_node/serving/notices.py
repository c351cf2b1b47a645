"""Handle the notices about themselves that targets send in responses to any kind of call."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import structlog
from fielddrift_core.target_notices import TargetNotice
from fielddrift_core.target_registry import Instance

from .metrics import Metrics
from .views import Views

__all__ = ["NoticeHandler", "log_brittle", "log_limit"]

_log = structlog.get_logger()


class NoticeHandler:
    """Records the notices of targets.

    `on_change` is called when other nodes should be informed soon.
    """

    def __init__(self, *, views: Views, metrics: Metrics, on_change: Callable[[], None]) -> None:
        self._views = views
        self._metrics = metrics
        self._on_change = on_change

    def heard(
        self, instance: Instance, notice: TargetNotice, *, served_at: float | None = None
    ) -> None:
        """Record the notice of a target in a response.

        `served_at` is the loop time at which the served request was sent.  It is None for a
        response that does not end a limit: a refusal, or the response to a report or an order.
        """
        now = asyncio.get_running_loop().time()
        if notice.leaving:
            self._record_leaving(instance)
        self._update_limit(instance.name, notice.limit, served_at, now)
        if notice.brittle is not None and self._views.brittle.named(
            instance.service, notice.brittle, now
        ):
            log_brittle(instance.service, notice.brittle, "itself")
            self._on_change()
        if notice.pause > 0 and self._views.pauses.record(instance.name, notice.pause, now):
            _log.info("target asks for a pause", target=instance.name, seconds=notice.pause)

    def replaced(self, instance: Instance) -> None:
        """Record that another process was found at the address of `instance`, which has ended.

        Until the entry of that process is read, nothing is known of it, and it gets no requests.
        """
        if not self._views.registry.process_replaced(instance.name):
            return
        self._metrics.replaced_targets.inc()
        entry_age = asyncio.get_running_loop().time() - self._views.targets_read_at
        _log.info(
            "target replaced",
            target=instance.name,
            software=instance.software,
            address=instance.address,
            entry_age_ms=round(entry_age * 1000) if math.isfinite(entry_age) else None,
        )

    def _update_limit(
        self, name: str, rate: float | None, served_at: float | None, now: float
    ) -> None:
        limits = self._views.limits
        if rate is not None:
            has_changed = limits.named(name, rate, now)
        else:
            has_changed = served_at is not None and limits.unnamed(name, sent_at=served_at, now=now)
        if has_changed:
            log_limit(name, rate, "itself")
            self._on_change()

    def _record_leaving(self, instance: Instance) -> None:
        registry = self._views.registry
        was_leaving = instance.name in registry.leaving()
        registry.left(instance.name)
        if not was_leaving and registry.get(instance.name) is not None:
            _log.info("target leaving", target=instance.name, told_by="itself")
            self._on_change()


def log_brittle(service: str, tolerance: int, told_by: str) -> None:
    """Log that the targets of a service are brittle, and how many rejections they tolerate."""
    _log.warning("service brittle", service=service, tolerance=tolerance, told_by=told_by)


def log_limit(target: str, rate: float | None, told_by: str) -> None:
    """Log that a target announced another limit in requests per second, None for no limit."""
    if rate is None:
        _log.info("target limited no longer", target=target, told_by=told_by)
    else:
        _log.info("target limited", target=target, rate=rate, told_by=told_by)
