"""Assemble and run a serving node, and shut it down gracefully."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import structlog
from fielddrift_core.drain_window import DrainWindow
from fielddrift_core.eras import era_of
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours

from ..web.client import Client
from ..web.host_memory import HostMemory
from ..web.limits_in_force import LimitsInForce
from ..web.server import Limits, Server
from ..web.tunnel import TunnelServer
from .beliefs import cluster_state, to_json
from .call import ServingContext
from .crash_rows import CrashRows
from .crash_watch import CrashWatch
from .directory import EntryDialect, EntryHandler
from .duty import DutyLease
from .feeds import FeedTools
from .gateway import Gateway
from .gossip import Gossip, Scope
from .heartbeats import HeartbeatTranslator
from .left_out import left_out_values
from .membership import Membership
from .metrics import Metrics, MetricsHandler
from .named_rows import NamedRows
from .notices import NoticeHandler
from .operator_feed import OperatorFeed
from .origin_rows import OriginRows
from .ports import CallerDialect, Platform, RemoteCallError, TargetDialect
from .request_ends import RequestEnds
from .rollout_runner import RolloutRunner
from .send_gate import SendGate
from .send_watch import ResponsivenessWatch
from .settings import Bounds, NodeSettings
from .sharing import PeerClient, PeerHandler
from .store_tracker import StoreTracker
from .stream_versions import StreamVersions
from .target_feed import TargetFeed
from .target_paths import TargetPaths
from .version_rows import VersionRows
from .views import PAUSE_THRESHOLD_SECONDS, Views
from .weights_check import WeightsCheck

__all__ = ["Dialects", "ServingNode"]

_ENTRY_CACHE_SECONDS = 1.5
"""Time to live of an entry response at callers; a lost node is out of use in about 2 s."""
_EARLY_ENTRY_CACHE_SECONDS = 0.3
"""The same shortly after this node joined: after a power loss the nodes start within half a
second of each other, and the first ones are not those that should be active."""
_EARLY_PERIOD_SECONDS = 1.5
"""Time after joining in which the set of active nodes may still change much."""
_TICK_INTERVAL_SECONDS = 0.2
_LOOP_RESTART_SECONDS = 0.5
"""Delay before a loop that raised an exception is restarted."""
_MAX_AGE_SECONDS = 1e6
"""Value of the age gauges when the age is unknown."""
_SETTLE_SECONDS = 0.15
"""Time after joining within which the other nodes reply to the first heartbeats: about 10 ms,
more on slow links.  Until it is active, a node that starts alone follows no store host."""
_FREE_INTERVAL_SECONDS = 1.0
_DRAIN_POLL_SECONDS = 0.05
_CLOSE_RESERVE_SECONDS = 0.9
"""The node stops accepting connections this long before the end of the grace period, and closes
the last ones half of this time later."""
_LAST_REPORTS_SECONDS = 0.01
_LAST_RESPONSES_SECONDS = 0.05
"""Time for the refusals of requests that have no response when the node closes."""
_IDLE_BEFORE_STOP_SECONDS = 2 * _ENTRY_CACHE_SECONDS
"""Idle time before a stopping node closes: callers may use a cached entry response until then."""

_LIMITS_OVERLAP_CHANGES = 2.0
"""Time for which former limits stay in force beside new ones, in the time that a change takes: the
node may have a configuration before the operators' write is acknowledged."""

_log = structlog.get_logger()


class Dialects(NamedTuple):
    """The wire protocols for callers, targets and entry requests."""

    callers: CallerDialect
    targets: TargetDialect
    entry: EntryDialect


class ServingNode:
    """One serving node: its servers, shared views and background loops."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        platform: Platform,
        dialects: Dialects,
        client: Client,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._rng = rng
        self._client = client
        self._views = Views(started_at=asyncio.get_running_loop().time())
        self._metrics = Metrics()
        self._leaving = False
        self._active: bool | None = None
        self._disconnected_since: float | None = None
        """Since when this node has connected to no target, None if it has."""
        self._era: int | None = None
        """Newest known era of the platform's store; None until one is known."""
        self._era_since = asyncio.get_running_loop().time()
        self._boot = time.time_ns() // 1_000_000
        gossip_address = f"{settings.host}:{settings.gossip_port}"
        me = Neighbour(
            name=settings.name,
            boot=self._boot,
            data_centre=settings.data_centre,
            entry=settings.entry,
            gossip=gossip_address,
            peer=settings.peer,
            capacity=settings.capacity,
        )
        self._neighbours = Neighbours(me=me)
        self._heartbeats = HeartbeatTranslator(views=self._views, neighbours=self._neighbours)
        self._paths = TargetPaths(
            client=client,
            targets=dialects.targets,
            views=self._views,
            neighbours=self._neighbours,
            metrics=self._metrics,
            rng=rng,
        )
        notices = NoticeHandler(
            views=self._views,
            metrics=self._metrics,
            on_change=lambda: self._gossip.schedule_update(Scope.ALL),
        )
        self._tunnels = TunnelServer(admit=self._paths.admit, on_connect=self._paths.record_carried)
        self._crashes = CrashWatch(
            views=self._views,
            paths=self._paths,
            neighbours=self._neighbours,
            metrics=self._metrics,
            rng=rng,
            send_update=lambda update, nodes: self._gossip.send_crash_update(update, nodes),
            on_replaced=notices.replaced,
        )
        self._peer_client = Client()
        peers = PeerClient(client=self._peer_client)
        self._version_rows = VersionRows(
            platform=platform,
            peers=peers,
            neighbours=self._neighbours,
            views=self._views,
            rng=rng,
        )
        self._origin_rows = OriginRows(
            platform=platform,
            views=self._views,
            neighbours=self._neighbours,
            instance=f"{settings.name}/{self._boot}",
            rng=rng,
        )
        self._streams = StreamVersions(
            views=self._views,
            neighbours=self._neighbours,
            peers=peers,
            metrics=self._metrics,
            send=lambda origins, node: self._gossip.send_origins(origins, node),
            read_targets=lambda since, seconds: self._targets.read_since(since, seconds=seconds),
            version_rows=self._version_rows,
            origin_rows=self._origin_rows,
        )
        self._gossip = Gossip(
            neighbours=self._neighbours,
            heartbeat=lambda relation: self._heartbeats.heartbeat(relation, leaving=self._leaving),
            heard=self._on_heartbeat,
            crashes=self._crashes,
            origins=self._streams,
        )
        self._membership = Membership(
            settings=settings,
            platform=platform,
            neighbours=self._neighbours,
            gossip=self._gossip,
            rng=rng,
        )
        feed_tools = FeedTools(
            platform, peers, self._neighbours, self._views, rng, settings.bounds.staleness
        )
        self._operators = OperatorFeed(tools=feed_tools, on_change=self._on_operators_changed)
        self._targets = TargetFeed(
            tools=feed_tools,
            on_change=lambda: self._gossip.schedule_update(Scope.ALL),
            on_list=self._streams.observe_targets,
            returned=self._operators.restart_poll,
        )
        self._store_tracker = StoreTracker(
            views=self._views,
            targets=dialects.targets,
            neighbours=self._neighbours,
            peers=peers,
            metrics=self._metrics,
            rng=rng,
        )
        self._named_rows = NamedRows(
            platform=platform,
            views=self._views,
            is_reader=lambda: self._operators.reader() is None,
            rng=rng,
        )
        self._crash_rows = CrashRows(
            platform=platform,
            views=self._views,
            first=lambda: self._neighbours.is_coordinator(asyncio.get_running_loop().time()),
            rng=rng,
        )
        duty = DutyLease(
            name="weights",
            holder=f"{settings.name}@{settings.host}",
            platform=platform,
            takeover_seconds=settings.bounds.handover_pause,
            era_since=lambda: self._era_since,
        )
        self._rollout_runner = RolloutRunner(
            views=self._views,
            neighbours=self._neighbours,
            targets=dialects.targets,
            notices=notices,
            duty=duty,
            named_rows=self._named_rows,
            weights_seconds=settings.bounds.weights,
            metrics=self._metrics,
            announce=lambda: self._gossip.schedule_update(Scope.ALL),
            verify_path=self._paths.verify,
        )
        self._responsiveness = ResponsivenessWatch(
            views=self._views, metrics=self._metrics, on_change=self._gossip.schedule_load_update
        )
        self._weights_check = WeightsCheck(
            views=self._views,
            targets=dialects.targets,
            notices=notices,
            metrics=self._metrics,
        )
        context = ServingContext(
            settings=settings,
            views=self._views,
            paths=self._paths,
            callers=dialects.callers,
            targets=dialects.targets,
            budgets={},
            rng=rng,
            metrics=self._metrics,
            on_load_change=self._gossip.schedule_load_update,
            crashes=self._crashes,
            gate=SendGate(views=self._views, neighbours=self._neighbours, bounds=settings.bounds),
            streams=self._streams,
            notices=notices,
            weights_check=self._weights_check,
        )
        self._memory = HostMemory(
            limit_bytes=settings.memory_limit,
            on_closed=self._metrics.memory_closed.inc,
            on_refused=self._record_refused_body,
            on_given_up=self._metrics.memory_given_up.inc,
        )
        self._limits = LimitsInForce(
            overlap_seconds=_LIMITS_OVERLAP_CHANGES * settings.bounds.change
        )
        self._entry_server = Server(
            handler=Gateway(context=context).handle,
            limits=lambda: self._limits.at(asyncio.get_running_loop().time()),
            memory=self._memory,
            observer=RequestEnds(metrics=self._metrics, request_id=dialects.callers.request_id),
            announces_idle_time=True,
        )
        directory = EntryHandler(
            dialect=dialects.entry,
            addresses=lambda data_centre: self._neighbours.addresses(
                data_centre, asyncio.get_running_loop().time(), rng
            ),
            ready=lambda: self._serving,
            cache_seconds=self._entry_cache,
        )
        self._directory_server = Server(handler=directory.handle, limits=Limits)
        handler = PeerHandler(views=self._views, boot=self._boot)
        self._peer_server = Server(handler=handler.handle, limits=Limits)
        self._metrics_server = Server(
            handler=MetricsHandler(
                metrics=self._metrics, beliefs=self._beliefs, lift=self._crashes.lift
            ).handle,
            limits=Limits,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def views(self) -> Views:
        """Return the node's views of the cluster."""
        return self._views

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds to a later stop and to entry responses.

        The other bounds apply at the next start.
        """
        self._settings = self._settings._replace(bounds=bounds)

    @property
    def _serving(self) -> bool:
        return self._views.ready and not self._leaving

    def _entry_cache(self) -> float:
        """Return the seconds for which callers may cache an entry response sent now."""
        early = (
            asyncio.get_running_loop().time() - self._membership.joined_at < _EARLY_PERIOD_SECONDS
        )
        cache_seconds = _EARLY_ENTRY_CACHE_SECONDS if early else _ENTRY_CACHE_SECONDS
        return min(cache_seconds, self._settings.bounds.entry_cache)

    def _beliefs(self) -> bytes:
        reader = self._targets.reader()
        name = "" if reader is None else reader.name
        return to_json(cluster_state(self._views, self._neighbours, reader=name))

    # --- start and stop -------------------------------------------------------

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then shut down gracefully."""
        settings = self._settings
        await self._listen(self._directory_server, settings.ready)
        await self._listen(self._directory_server, settings.directory)
        await self._gossip.start(settings.host, settings.gossip_port)
        # The same number as the heartbeats' port, which is for datagrams.
        await self._tunnels.start(settings.host, settings.gossip_port)
        await self._listen(self._peer_server, settings.peer)
        await self._listen(self._metrics_server, settings.metrics)
        await self._listen(self._entry_server, settings.entry)
        _log.info("started", entry=settings.entry, boot=self._boot)
        for work in (
            self._operators.run,
            self._targets.run,
            self._membership.run,
            self._named_rows.run,
            self._crashes.run,
            self._crash_rows.run,
            self._version_rows.run,
            self._origin_rows.run,
            self._gossip.run,
            self._store_tracker.run,
            self._rollout_runner.run,
            self._responsiveness.run,
            self._paths.run,
            self._free,
            self._tick,
        ):
            self._tasks.append(asyncio.ensure_future(self._run_with_restart(work)))
        await stopping.wait()
        await self._shut_down()

    async def _listen(self, server: Server, address: str) -> None:
        host, _, port = address.rpartition(":")
        await server.start(host, int(port))

    async def _run_with_restart(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop and restart it after an exception: a bug must not end the process."""
        while True:
            try:
                await work()
                return
            except Exception:
                _log.exception("loop failed", loop=work.__qualname__)
                await asyncio.sleep(_LOOP_RESTART_SECONDS)

    async def _shut_down(self) -> None:
        """Drain the node: leave the entry responses at once, finish requests, then close."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        drain_deadline = started_at + self._settings.bounds.grace - _CLOSE_RESERVE_SECONDS
        self._leaving = True
        self._views.leaving = DrainWindow(started_at, drain_deadline)
        self._update_status()
        self._entry_server.announce_close()
        self._gossip.send_to_all()
        self._streams.hand_over()
        _log.info("leaving", busy=self._entry_server.busy)
        try:
            async with asyncio.timeout_at(drain_deadline):
                await self._rollout_runner.stop()
        except (RemoteCallError, TimeoutError) as error:
            _log.warning("duty not given back", error=str(error))
        except Exception:
            _log.exception("stop failed")
        idle_since = loop.time()
        while loop.time() < drain_deadline:
            if self._entry_server.busy or self._tunnels.count:
                idle_since = loop.time()
            if loop.time() - idle_since > _IDLE_BEFORE_STOP_SECONDS:
                break
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        self._entry_server.stop_accepting()
        self._tunnels.stop_accepting()
        # A request on a connection that has just opened is read in this time.
        await asyncio.sleep(_DRAIN_POLL_SECONDS)
        while (
            self._entry_server.busy or self._tunnels.count
        ) and loop.time() < drain_deadline + _CLOSE_RESERVE_SECONDS / 2:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        self._entry_server.cancel_unanswered()
        await asyncio.sleep(_LAST_RESPONSES_SECONDS)
        _log.info(
            "stopped", cut=self._entry_server.busy, seconds=round(loop.time() - started_at, 2)
        )
        for task in self._tasks:
            task.cancel()
        self._gossip.close()
        self._entry_server.close()
        self._tunnels.close()
        self._weights_check.close()
        for server in (self._directory_server, self._peer_server, self._metrics_server):
            server.stop_accepting()
            server.close()
        self._client.close()
        self._peer_client.close()
        # Connections that were aborted report their ends in the next iterations of the loop.
        await asyncio.sleep(_LAST_REPORTS_SECONDS)

    # --- background loops -------------------------------------------------------

    async def _tick(self) -> None:
        """Detect pauses of this process, and refresh status, role and gauges periodically."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)
            delay = self._views.tick(loop.time(), interval=_TICK_INTERVAL_SECONDS)
            if delay > PAUSE_THRESHOLD_SECONDS:
                _log.warning("this process was paused", seconds=round(delay, 2))
                self._operators.read_now()
                self._targets.read_now()
            self._check_store_era(loop.time())
            for data_centre in self._views.apply_evacuations(loop.time()).ended:
                _log.warning("evacuation held no longer", data_centre=data_centre)
            self._update_status()
            self._views.nodes = self._neighbours.sharing(loop.time())
            self._streams.tick(loop.time())
            self._refute_weights(loop.time())
            self._update_role(loop.time())
            self._check_direct_paths(loop.time())
            self._update_gauges(loop.time())

    def _refute_weights(self, now: float) -> None:
        for target, model, version in self._views.refute_weights(now):
            _log.warning(
                "older weights found",
                target=target,
                model=model,
                version=self._views.weights_of(target, model),
                before=version,
                told_by="entry",
            )

    def _update_status(self) -> None:
        now = asyncio.get_running_loop().time()
        self._neighbours.update_self(
            serving=self._serving,
            load=self._views.load.value(now),
            settled=now - self._membership.joined_at > _SETTLE_SECONDS,
        )

    def _check_store_era(self, now: float) -> None:
        """Detect that the platform's store was restored from a backup, and repair its rows."""
        views = self._views
        row = max(views.operators_row, views.targets_row)
        era = max(era_of(row), self._platform.era)
        if not row or era == self._era:
            return
        previous, self._era = self._era, era
        if previous is None:
            return
        self._era_since = now
        source = "platform" if self._platform.era == era else "neighbours"
        _log.warning("store went back", era=era, before=previous, told_by=source)
        self._metrics.store_returns.inc()
        self._membership.mark_store_restored()
        self._named_rows.mark_store_restored()
        self._crash_rows.mark_store_restored()
        self._version_rows.mark_store_restored()

    def _update_role(self, now: float) -> None:
        active = self._neighbours.is_active(now)
        if active is not self._active:
            self._active = active
            _log.info("active" if active else "standing by", nodes=self._views.nodes)
            self._store_tracker.check_now()

    def _check_direct_paths(self, now: float) -> None:
        """Log when no target accepts a connection of this node any more, and when one does."""
        paths = self._views.direct_paths
        disconnected = paths.disconnected
        if disconnected is not self._neighbours.is_disconnected():
            self._neighbours.set_disconnected(self._settings.name, disconnected)
            self._gossip.schedule_update(Scope.ALL)
        since = paths.disconnected_since()
        if (since is None) is (self._disconnected_since is None):
            return
        if since is None:
            assert self._disconnected_since is not None
            seconds = round(now - self._disconnected_since, 2)
            _log.warning("targets reached again", after_seconds=seconds)
        else:
            _log.warning(
                "no target reached",
                failed=self._views.direct_paths.unconnected,
                targets=len(self._views.registry),
                seconds=round(now - since, 2),
            )
        self._disconnected_since = since

    def _update_gauges(self, now: float) -> None:
        views, metrics = self._views, self._metrics
        metrics.catalog.set(0 if views.catalog is None else views.catalog.version)
        metrics.targets.set(len(views.registry))
        metrics.nodes.set(views.nodes)
        metrics.evacuated.set(len(views.registry.evacuated))
        names = {target.name for target in views.registry.all()}
        metrics.cold_targets.set(views.cold.expire(names, now))
        metrics.limited_targets.set(views.limits.expire(names, now))
        for service in views.brittle.expire(names, now):
            _log.info("service brittle no longer", service=service)
        metrics.brittle_services.set(len(views.brittle))
        metrics.paused_targets.set(views.pauses.expire(now))
        metrics.reserved.set(views.service_queues.largest_reserve(now))
        self._memory.refresh()
        metrics.held_bytes.set(self._memory.budget.held)
        metrics.open.set(self._entry_server.open_requests)
        views.responsiveness.expire(names)
        self._weights_check.expire(names)
        metrics.unresponsive_targets.set(len(views.responsiveness))
        views.direct_paths.expire(names)
        metrics.interrupted_targets.set(views.direct_paths.interrupted)
        metrics.carried_tunnels.set(self._tunnels.count)
        metrics.unconnected_targets.set(views.direct_paths.unconnected)
        views.plain_queues.retain(names)
        metrics.plain_waiting.set(views.plain_queues.waiting)
        metrics.plain_limit.set(views.plain_queues.limits)
        metrics.platform_calls.set(self._platform.calls)
        metrics.store_era.set(self._era or 0)
        metrics.unreadable_rows.set(self._platform.unreadable)
        metrics.left_out_values.set_sums(left_out_values.counts)
        metrics.operators_age.set(min(now - views.operators_read_at, _MAX_AGE_SECONDS))
        metrics.targets_age.set(min(now - views.targets_read_at, _MAX_AGE_SECONDS))

    async def _free(self) -> None:
        """Periodically free outdated stored parts; only the coordinator node does so."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_FREE_INTERVAL_SECONDS)
            self._store_tracker.record_use()
            if self._leaving or not self._neighbours.is_coordinator(loop.time()):
                continue
            try:
                await self._store_tracker.free_outdated()
            except RemoteCallError as error:
                _log.warning("parts not freed", error=str(error))

    # --- callbacks ----------------------------------------------------------------

    def _record_refused_body(self) -> None:
        self._metrics.bodies_refused.inc()
        self._metrics.refusals.inc(label_value="memory")

    def _on_operators_changed(self) -> None:
        self._update_limits()
        self._update_status()
        self._named_rows.schedule_save()
        self._store_tracker.check_now()
        self._gossip.schedule_update(Scope.ALL)

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._heartbeats.heard(heartbeat)
        self._operators.heard(heartbeat)
        self._targets.heard(heartbeat.node, heartbeat.reading)

    def _update_limits(self) -> None:
        catalog = self._views.catalog
        if catalog is None:
            return
        limits = Limits(
            header_bytes=catalog.header_bytes,
            body_bytes=catalog.body_bytes,
            header_seconds=catalog.header_seconds,
            idle_seconds=catalog.idle_seconds,
        )
        self._limits.replace(limits, asyncio.get_running_loop().time())
