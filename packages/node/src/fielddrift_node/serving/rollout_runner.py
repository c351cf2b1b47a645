"""Roll out the weights that operators named to the engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import structlog
from fielddrift_core.neighbours import Neighbours
from fielddrift_core.rollout import EngineWeights, next_loads
from fielddrift_core.target_registry import Instance

from .duty import DutyLease
from .metrics import Metrics
from .named_rows import NamedRows
from .notices import NoticeHandler
from .ports import EngineReport, RemoteCallError, TargetDialect, WeightsOrder
from .views import Views
from .weights_check import record_reported_weights

__all__ = ["RolloutRunner"]

_CHECK_SECONDS = 0.1
_STANDBY_CHECK_SECONDS = 0.5
"""Interval between checks of a standby node, which waits some seconds for others anyway."""
_TAKEOVER_SECONDS = 2.5
"""How long a node waits for each node before it in the takeover order to do the work."""
_MAX_ACTIVE_BEFORE_STANDBY_COUNT = 2
"""Number of active nodes that a standby node waits for. Each is given `_TAKEOVER_SECONDS`, and new
weights must be loaded within about 10 s."""
_ANNOUNCEMENT_SECONDS = 1.0
"""Validity of an announcement that an engine is loading, unless it is renewed."""
_ANNOUNCEMENT_LEAD_SECONDS = 0.03
"""Delay between announcement and order; a datagram reaches another data centre within some ms."""
_REPORT_INTERVAL_SECONDS = 0.2
"""Interval between reports; a report is some 100 ms old when it is read."""
_LOAD_TIMEOUT_SECONDS = 6.0
"""How long an engine may take before it is ordered again. A load takes about 1 s, after the runs in
progress have ended."""
_UNCONFIRMED_ORDER_SECONDS = 0.8
"""How long an unanswered order may not yet be visible in reports."""
_FORCED_LOAD_FRACTION = 0.7
"""Fraction of the time allowed for new weights after which an engine loads even if many others are
loading. This is a last resort, as the remaining engines carry the full load meanwhile."""

_log = structlog.get_logger()


class _ModelRollout(NamedTuple):
    model: str
    wanted: int
    engines: tuple[EngineWeights, ...]


class RolloutRunner:
    """Orders engines to load new weights while this node holds the lease of the duty."""

    def __init__(
        self,
        *,
        views: Views,
        neighbours: Neighbours,
        targets: TargetDialect,
        notices: NoticeHandler,
        duty: DutyLease,
        named_rows: NamedRows,
        weights_seconds: float,
        metrics: Metrics,
        announce: Callable[[], None],
        verify_path: Callable[[Instance], None],
    ) -> None:
        self._verify_path = verify_path
        self._metrics = metrics
        self._views = views
        self._neighbours = neighbours
        self._targets = targets
        self._notices = notices
        self._lease = duty
        self._named_rows = named_rows
        self._weights_seconds = weights_seconds
        self._announce = announce
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._work_since: float | None = None
        self._leaving = False

    async def run(self) -> None:
        """Check for engines with old weights, until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._check_delay())
                try:
                    await self._check()
                except RemoteCallError as error:
                    _log.warning("duty not taken", error=str(error))
                    await asyncio.sleep(_CHECK_SECONDS * 3)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _check_delay(self) -> float:
        """Return the seconds until the next check, which are longer for a standby node."""
        now = asyncio.get_running_loop().time()
        busy = self._lease.held() or self._neighbours.is_active(now)
        return _CHECK_SECONDS if busy else _STANDBY_CHECK_SECONDS

    async def stop(self) -> None:
        """Start no more loads, and release the lease."""
        self._leaving = True
        await self._hand_over()

    async def _hand_over(self) -> None:
        """Start no more loads, and release the lease."""
        for task in self._tasks.values():
            task.cancel()
        await self._lease.release()

    async def _check(self) -> None:
        if self._views.direct_paths.disconnected and self._lease.held():
            # Orders never go through other nodes: targets judge holders by their addresses.
            await self._hand_over()
        unfit = self._leaving or self._views.direct_paths.disconnected
        work = [] if unfit else self._find_work()
        now = asyncio.get_running_loop().time()
        if not work:
            self._work_since = None
            if self._lease.held() and not self._tasks:
                await self._lease.release()
            return
        if self._work_since is None:
            self._work_since = now
        if (
            not self._lease.held()
            and now - self._work_since < self._takeover_position() * _TAKEOVER_SECONDS
        ):
            return
        if await self._lease.acquire():
            for item in work:
                self._start_loads(item, now)
        # Saved even without the lease: its takeover may take seconds, during which only the live
        # nodes would know since when weights are outdated.
        for item in work:
            await self._named_rows.save(item.model)

    def _takeover_position(self) -> int:
        """Return this node's position in the takeover order.

        Active nodes of all data centres come first. A standby node receives few heartbeats of other
        data centres, so it counts only the standby nodes of its own.
        """
        now = asyncio.get_running_loop().time()
        me = self._neighbours.me.name
        active = [node.name for node in self._neighbours.active_everywhere(now)]
        if self._neighbours.is_active(now):
            return sum(name < me for name in active)
        before = sum(n.name < me and n.name not in active for n in self._neighbours.nearby(now))
        return min(len(active), _MAX_ACTIVE_BEFORE_STANDBY_COUNT) + before

    def _find_work(self) -> list[_ModelRollout]:
        views = self._views
        if views.catalog is None or views.stale.is_set() or not views.may_need_loads():
            return []
        now = asyncio.get_running_loop().time()
        found = []
        for service in views.catalog.engines:
            assert service.engine is not None
            for model in service.engine.models:
                wanted = views.named.get(model, 0)
                registry = self._views.registry
                # Engines in evacuated data centres serve nothing, so their loads need not wait for
                # others.
                for group in (registry.serving(service.name), registry.idle(service.name)):
                    engines = self._engines(group, model, now)
                    if any(engine.weights < wanted for engine in engines):
                        found.append(_ModelRollout(model, wanted, engines))
        return found

    def _engines(self, group: list[Instance], model: str, now: float) -> tuple[EngineWeights, ...]:
        """Return the engines in `group`, with `loading` set for those this node is rolling out to.

        Engines that asked this node to pause are left out; another node may order them.
        """
        return tuple(
            engine._replace(loading=engine.name in self._tasks)
            for engine in self._views.with_weights(group, model, now)
            if not self._views.pauses.left(engine.name, now)
        )

    def _start_loads(self, work: _ModelRollout, now: float) -> None:
        max_outdated = _FORCED_LOAD_FRACTION * self._weights_seconds
        for name in next_loads(work.engines, wanted=work.wanted, max_outdated=max_outdated):
            task = asyncio.ensure_future(self._roll_out(name, work.model, work.wanted))
            self._tasks[name] = task
            task.add_done_callback(partial(self._on_done, name))

    def _on_done(self, name: str, task: asyncio.Task[None]) -> None:
        self._tasks.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error("load failed", target=name, error=repr(task.exception()))

    # --- one engine -----------------------------------------------------------

    async def _roll_out(self, name: str, model: str, wanted: int) -> None:
        """Order one engine to load the weights `wanted`, and wait until it has them."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _LOAD_TIMEOUT_SECONDS
        ordered_at = float("-inf")
        while loop.time() < until:
            instance = self._views.registry.get(name)
            registry = self._views.registry
            if instance is None or name in registry.leaving() or registry.is_replaced(name):
                return
            if self._views.named.get(model, 0) != wanted:
                return
            if self._views.pauses.left(name, loop.time()):
                await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
                continue
            self._views.loading.record_own(name, loop.time() + _ANNOUNCEMENT_SECONDS)
            self._announce()
            await asyncio.sleep(_ANNOUNCEMENT_LEAD_SECONDS)
            report = await self._get_report(name)
            if registry.is_replaced(name):
                return
            if report is not None and report.versions.get(model, 0) >= wanted:
                self._record_loaded(name, model, report.versions[model])
                return
            # Without a report it is not known how many orders the engine has taken.  An order that
            # expects no number of them is obeyed whenever it arrives, also after newer ones.
            is_due = loop.time() - ordered_at > _UNCONFIRMED_ORDER_SECONDS
            if report is not None and not report.busy and is_due:
                if not self._lease.held():
                    return
                ordered_at = loop.time()
                await self._send_order(name, model, wanted, report.orders)
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
        _log.warning("weights not loaded", target=name, model=model, version=wanted)

    async def _get_report(self, name: str) -> EngineReport | None:
        instance = self._views.registry.get(name)
        if instance is None:
            return None
        requested_at = asyncio.get_running_loop().time()
        try:
            report = await self._targets.report(instance)
        except RemoteCallError as error:
            _log.info("no report", target=name, error=str(error))
            if error.replaced:
                self._notices.replaced(instance)
            self._notices.heard(instance, error.notice)
            self._verify_path(instance)
            return None
        self._notices.heard(instance, report.notice)
        record_reported_weights(self._views, name, report, requested_at=requested_at)
        return report

    async def _send_order(self, name: str, model: str, wanted: int, orders: int) -> None:
        instance = self._views.registry.get(name)
        if instance is None:
            return
        # The order counts against the engine's request rate limit as well.
        self._views.limits.sent(name, asyncio.get_running_loop().time())
        order = WeightsOrder(instance, model, wanted, self._lease.holder, self._lease.fence, orders)
        try:
            outcome = await self._targets.order(order)
        except RemoteCallError as error:
            self._metrics.orders.inc(label_value="unanswered")
            _log.warning("order not answered", target=name, version=wanted, error=str(error))
            return
        self._notices.heard(instance, outcome.notice)
        self._metrics.orders.inc(label_value="taken" if outcome.taken else "refused")
        _log.info(
            "order given",
            target=name,
            model=model,
            version=wanted,
            fence=order.fence,
            orders=orders,
            taken=outcome.taken,
            detail=outcome.detail,
        )

    def _record_loaded(self, name: str, model: str, version: int) -> None:
        self._views.weights.observe(name, model, version, asyncio.get_running_loop().time())
        self._views.loading.ended(name)
        _log.info("weights loaded", target=name, model=model, version=version)
        self._announce()
