"""Bring engines to the weights that operators named."""

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

__all__ = ["RolloutRunner"]

_LOOK_SECONDS = 0.1
_STANDBY_LOOK_SECONDS = 0.5
"""Between looks of a node that stands by: it waits for seconds for others anyway."""
_STAND_IN_SECONDS = 2.5
"""How long each node in line waits for those before it to do the work."""
_MOST_BEFORE_STANDBY = 2
"""Active nodes for which one that stands by waits: each is given `_STAND_IN_SECONDS`,
and new weights have some ten seconds."""
_ANNOUNCED_SECONDS = 1.0
"""How long an announcement that an engine loads is believed without another."""
_ANNOUNCE_LEAD = 0.03
"""Between announcing and ordering: a datagram crosses data centres in some ms."""
_REPORT_SECONDS = 0.2
"""Between reports; what a report says is some hundred ms old."""
_LOAD_SECONDS = 6.0
"""How long an engine may take before it is ordered anew: a load takes about a
second, and runs under way end first."""
_UNTAKEN_SECONDS = 0.8
"""How long an order that was not answered may stay invisible in reports."""
_LATE_PART = 0.7
"""Part of the time for new weights after which an engine loads however many others
do: a last resort, for those that are left then carry all the work meanwhile."""

_log = structlog.get_logger()


class _Work(NamedTuple):
    model: str
    wanted: int
    engines: tuple[EngineWeights, ...]


class RolloutRunner:
    """Order loads while this node has the duty; one node at a time has it."""

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
    ) -> None:
        self._metrics = metrics
        self._views = views
        self._neighbours = neighbours
        self._targets = targets
        self._notices = notices
        self._duty = duty
        self._named_rows = named_rows
        self._weights_seconds = weights_seconds
        self._announce = announce
        self._under_way: dict[str, asyncio.Task[None]] = {}
        self._since: float | None = None
        self._leaving = False

    async def run(self) -> None:
        """Look for work until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rest())
                try:
                    await self._turn()
                except RemoteCallError as error:
                    _log.warning("duty not taken", error=str(error))
                    await asyncio.sleep(_LOOK_SECONDS * 3)
        finally:
            for task in self._under_way.values():
                task.cancel()

    def _rest(self) -> float:
        """Return the seconds until the next look; a node that stands by is in no hurry."""
        now = asyncio.get_running_loop().time()
        busy = self._duty.held() or self._neighbours.is_active(now)
        return _LOOK_SECONDS if busy else _STANDBY_LOOK_SECONDS

    async def stop(self) -> None:
        """Begin no more work, and give the duty back."""
        self._leaving = True
        for task in self._under_way.values():
            task.cancel()
        await self._duty.release()

    async def _turn(self) -> None:
        work = [] if self._leaving else self._work()
        now = asyncio.get_running_loop().time()
        if not work:
            self._since = None
            if self._duty.held() and not self._under_way:
                await self._duty.release()
            return
        if self._since is None:
            self._since = now
        if not self._duty.held() and now - self._since < self._place() * _STAND_IN_SECONDS:
            return
        if await self._duty.acquire():
            for item in work:
                self._begin(item, now)
        # Without the duty too: a last holder's turn may take seconds, and until it is
        # over only living nodes would know since when weights are outdated.
        for item in work:
            await self._named_rows.save(item.model)

    def _place(self) -> int:
        """Return this node's place in the line of those that may do the work.

        The active nodes come first, in one line for all data centres; a node that
        stands by hears little of the others, so it counts those of its own only.
        """
        now = asyncio.get_running_loop().time()
        me = self._neighbours.me.name
        active = [node.name for node in self._neighbours.active_everywhere(now)]
        if self._neighbours.is_active(now):
            return sum(name < me for name in active)
        before = sum(n.name < me and n.name not in active for n in self._neighbours.nearby(now))
        return min(len(active), _MOST_BEFORE_STANDBY) + before

    def _work(self) -> list[_Work]:
        views = self._views
        if views.catalog is None or views.stale.is_set():
            return []
        now = asyncio.get_running_loop().time()
        found = []
        for service in views.catalog.engines:
            assert service.engine is not None
            for model in service.engine.models:
                wanted = views.named.get(model, 0)
                registry = self._views.registry
                # Evacuated engines carry nothing, so their loads wait for nobody else's.
                for group in (registry.serving(service.name), registry.idle(service.name)):
                    engines = self._engines(group, model, now)
                    if any(engine.weights < wanted for engine in engines):
                        found.append(_Work(model, wanted, engines))
        return found

    def _engines(self, group: list[Instance], model: str, now: float) -> tuple[EngineWeights, ...]:
        """Return the engines among `group`; those load that are ordered to, here.

        Those that want nothing from this node are left out: another one may order them.
        """
        return tuple(
            engine._replace(loading=engine.name in self._under_way)
            for engine in self._views.with_weights(group, model, now)
            if not self._views.pauses.left(engine.name, now)
        )

    def _begin(self, work: _Work, now: float) -> None:
        longest = _LATE_PART * self._weights_seconds
        for name in next_loads(work.engines, wanted=work.wanted, max_outdated=longest):
            task = asyncio.ensure_future(self._bring(name, work.model, work.wanted))
            self._under_way[name] = task
            task.add_done_callback(partial(self._ended, name))

    def _ended(self, name: str, task: asyncio.Task[None]) -> None:
        self._under_way.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error("load failed", target=name, error=repr(task.exception()))

    # --- one engine -----------------------------------------------------------

    async def _bring(self, name: str, model: str, wanted: int) -> None:
        """Order one engine to load `wanted`, and see that it does."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _LOAD_SECONDS
        orders: int | None = None
        ordered_at = float("-inf")
        while loop.time() < until:
            instance = self._views.registry.get(name)
            if instance is None or name in self._views.registry.leaving():
                return
            if self._views.named.get(model, 0) != wanted:
                return
            if self._views.pauses.left(name, loop.time()):
                await asyncio.sleep(_REPORT_SECONDS)
                continue
            self._views.loading.record_own(name, loop.time() + _ANNOUNCED_SECONDS)
            self._announce()
            await asyncio.sleep(_ANNOUNCE_LEAD)
            report = await self._report(name)
            if report is not None and report.versions.get(model, 0) >= wanted:
                self._arrived(name, model, report.versions[model])
                return
            if report is not None:
                orders = report.orders
            idle = report is None or not report.busy
            if idle and loop.time() - ordered_at > _UNTAKEN_SECONDS:
                if not self._duty.held():
                    return
                ordered_at = loop.time()
                await self._order(name, model, wanted, orders)
            await asyncio.sleep(_REPORT_SECONDS)
        _log.warning("weights not loaded", target=name, model=model, version=wanted)

    async def _report(self, name: str) -> EngineReport | None:
        instance = self._views.registry.get(name)
        if instance is None:
            return None
        try:
            report = await self._targets.report(instance)
        except RemoteCallError as error:
            _log.info("no report", target=name, error=str(error))
            self._notices.heard(instance, error.notice)
            return None
        self._notices.heard(instance, report.notice)
        self._views.record_engine_clock(report.clock, asyncio.get_running_loop().time())
        for model, version in report.versions.items():
            self._views.record_weights(name, model, version)
        return report

    async def _order(self, name: str, model: str, wanted: int, orders: int | None) -> None:
        instance = self._views.registry.get(name)
        if instance is None:
            return
        # Work for the engine as well, where it takes only so many requests a second.
        self._views.limits.sent(name, asyncio.get_running_loop().time())
        order = WeightsOrder(instance, model, wanted, self._duty.holder, self._duty.fence, orders)
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

    def _arrived(self, name: str, model: str, version: int) -> None:
        self._views.record_weights(name, model, version)
        self._views.loading.ended(name)
        _log.info("weights loaded", target=name, model=model, version=version)
        self._announce()
