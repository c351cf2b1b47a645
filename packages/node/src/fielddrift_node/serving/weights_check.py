"""Request reports of engines that keep rejecting requests for the weights they should have."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import NamedTuple

import structlog
from fielddrift_core.target_registry import Instance

from .metrics import Metrics
from .notices import NoticeHandler
from .ports import EngineReport, RemoteCallError, TargetDialect
from .views import Views

__all__ = ["WeightsCheck", "record_reported_weights"]

_MIN_DISAGREEMENT_SECONDS = 1.0
"""How long an engine rejects requests before its report is requested, and the interval between
reports.  While weights are rolled out, other nodes tell of them sooner."""

_log = structlog.get_logger()


class _Rejection(NamedTuple):
    """The weights that an engine was expected to have, and since when it has rejected requests."""

    version: int | None
    since: float


def record_reported_weights(
    views: Views, name: str, report: EngineReport, *, requested_at: float
) -> None:
    """Record the weights and the clock that the report of an engine tells."""
    now = asyncio.get_running_loop().time()
    views.record_engine_clock(report.clock, now)
    for model, version in report.versions.items():
        before = views.weights_of(name, model)
        if views.record_report(name, model, version, requested_at=requested_at, now=now):
            _log.warning(
                "older weights found",
                target=name,
                model=model,
                version=version,
                before=before,
                told_by="report",
            )


class WeightsCheck:
    """Finds out which weights an engine has that rejects what is sent for others.

    Its entry tells them as well, but some seconds later, and not while the platform is away.
    """

    def __init__(
        self, *, views: Views, targets: TargetDialect, notices: NoticeHandler, metrics: Metrics
    ) -> None:
        self._views = views
        self._targets = targets
        self._notices = notices
        self._metrics = metrics
        self._rejections: dict[tuple[str, str], _Rejection] = {}
        """By instance and model; an answer from the expected weights is not waited for."""
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def rejected(self, instance: Instance, model: str, version: int | None) -> None:
        """Record that an engine rejected a request for `version` of a model."""
        now = asyncio.get_running_loop().time()
        key = (instance.name, model)
        known = self._rejections.get(key)
        if known is None or known.version != version:
            self._rejections[key] = _Rejection(version, now)
            return
        if now - known.since < _MIN_DISAGREEMENT_SECONDS or instance.name in self._tasks:
            return
        self._rejections[key] = _Rejection(version, now)
        task = asyncio.ensure_future(self._check(instance))
        self._tasks[instance.name] = task
        task.add_done_callback(partial(self._on_done, instance.name))

    def expire(self, listed: set[str]) -> None:
        """Remove what is known of instances that are not `listed`."""
        for key in [key for key in self._rejections if key[0] not in listed]:
            del self._rejections[key]

    def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._tasks.values():
            task.cancel()

    async def _check(self, instance: Instance) -> None:
        requested_at = asyncio.get_running_loop().time()
        self._metrics.weights_checks.inc()
        try:
            report = await self._targets.report(instance)
        except RemoteCallError as error:
            _log.info("no report", target=instance.name, error=str(error))
            if error.replaced:
                self._notices.replaced(instance)
            self._notices.heard(instance, error.notice)
            return
        self._notices.heard(instance, report.notice)
        record_reported_weights(self._views, instance.name, report, requested_at=requested_at)

    def _on_done(self, name: str, task: asyncio.Task[None]) -> None:
        self._tasks.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error("weights check failed", target=name, error=repr(task.exception()))
