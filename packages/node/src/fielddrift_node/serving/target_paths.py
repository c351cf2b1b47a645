"""Connect to targets directly, or through a node that reaches them.

Tunnels go over one node only: the node that carries one connects to the target itself.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from enum import StrEnum
from itertools import zip_longest
from typing import Any, NamedTuple, TypedDict, TypeVar, Unpack

import structlog
from fielddrift_core.direct_paths import PathChange
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.target_registry import Instance

from ..web.client import Client
from ..web.connection import LiveConnection
from ..web.errors import CONNECT_REASON, REPLACED_REASON, RESET_REASON, TUNNEL_REASON, ExchangeError
from ..web.exchange import Exchange
from ..web.messages import Reply, ResponseHead
from ..web.process_check import ProcessAnswer, ProcessCheck
from ..web.tunnel import TunnelStatus
from .metrics import Metrics
from .ports import TargetDialect
from .views import Views

__all__ = ["CarriedReply", "ProcessNeed", "SendOptions", "TargetPaths"]

CONNECT_TIMEOUT_SECONDS = 0.35
"""A connection within a region takes a few ms; a lost SYN packet is resent only after 1 s."""
_TUNNEL_TIMEOUT_SECONDS = 0.5
"""The same with the connection to the node that carries it."""
_MAX_CARRIER_COUNT = 3
"""Nodes that are asked for one connection: each of them may be disconnected itself."""
_TUNNEL_FAILURES = frozenset({CONNECT_REASON, TUNNEL_REASON, RESET_REASON})
"""Reasons for which another node is asked.  A tunnel that is lost in a process check may have ended
with the node that carried it."""
_AVOID_SECONDS = 3.0
"""Time for which a node that could not connect to a target is asked last for tunnels to it."""
_CONFIRMED_SECONDS = 0.5
"""Time for which no other node is asked about a target that refused one: a target that has ended
would otherwise cost each request to it three tunnels."""
_TICK_SECONDS = 0.1
_CLEAN_SECONDS = 0.5
"""Interval between searches for tunnels that are not needed any more."""
_UNIDENTIFIED_SECONDS = 2.0
"""How long a target is not asked again that has not said which process it is: one that is starting
may have no report yet."""
_REPLACED_CHECK_SECONDS = 1.0
"""Least interval at which the address of a replaced target is asked for its process: entries may
come some seconds before it."""
_REPLACED_CHECK_SECONDS_PER_NODE = 0.25
"""The same for each node: whoever holds that address refuses the questions of all of them, and some
targets fail if they refuse much."""
_REPLACED_ANSWER_SECONDS = 0.5
"""Time for an answer to that."""

_log = structlog.get_logger()
_T = TypeVar("_T")


class SendOptions(TypedDict, total=False):
    """The options of `Client.begin` for one send."""

    accepts: Callable[[ResponseHead], bool]
    on_bytes: Callable[[], None]
    max_connections: int | None
    max_idle_seconds: float | None
    request_id: str


class ProcessNeed(StrEnum):
    """When a request is sent only if the process that gets it has said that it is the target's."""

    NONE = "none"
    IF_IDENTIFIED = "if-identified"
    """If the target has told its start: a process that then is silent or refuses to tell may be
    another one."""
    ALWAYS = "always"


class CarriedReply(NamedTuple):
    """A reply, and the id of the process that carried its connection, empty for none."""

    reply: Reply
    carrier_process: str


class TargetPaths:
    """Connects to targets, and checks which of them this node reaches by itself."""

    def __init__(
        self,
        *,
        client: Client,
        targets: TargetDialect,
        views: Views,
        neighbours: Neighbours,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._targets = targets
        self._views = views
        self._paths = views.direct_paths
        self._neighbours = neighbours
        self._metrics = metrics
        self._rng = rng
        self._failed_at: dict[tuple[str, str], float] = {}
        """When a node could not connect to a target for this one, by their names."""
        self._confirmed_at: dict[str, float] = {}
        """When another node was refused by a target that had refused this one."""
        self._checks: set[asyncio.Task[None]] = set()
        self._identified: set[str] = set()
        """Names of targets that have said which process they are."""
        self._unidentified: dict[str, float] = {}
        """When targets last answered without saying it, by name; refusals do not count."""

    # --- sends ----------------------------------------------------------------------

    async def begin(
        self,
        instance: Instance,
        data: bytes,
        *,
        process_need: ProcessNeed = ProcessNeed.NONE,
        **options: Unpack[SendOptions],
    ) -> Exchange:
        """Send a complete request to a target and return its exchange.

        Unless `process_need` is `NONE`, it is not sent to another process than `instance`, where
        its entry and its reports tell when it started.  Raise `ExchangeError`, with `sent` False
        if there is no connection to send it on.  Then `refused` says that the target has ended: it
        refused this node and another one, or there is no other node; the reason `REPLACED_REASON`,
        that another process has taken its place.
        """
        address = instance.address
        process = None
        if process_need is not ProcessNeed.NONE:
            process = self._check_for_send(instance, process_need)

        async def begin(seconds: float, through: str) -> Exchange:
            return await self._client.begin(
                address,
                data,
                connect_seconds=seconds,
                through=through,
                process=process,
                **options,
            )

        return await self._connect(instance, begin)

    async def connect(self, instance: Instance) -> None:
        """Open a connection for a later send; raise `ExchangeError` as for `begin`."""

        process = self._check_for_send(instance, ProcessNeed.IF_IDENTIFIED)

        async def connect(seconds: float, through: str) -> None:
            await self._client.connect(
                instance.address, seconds=seconds, through=through, process=process
            )

        await self._connect(instance, connect)

    def is_process_unknown(self, instance: Instance, exchange: Exchange) -> bool:
        """Return whether an exchange may be with another process than `instance`."""
        check = self._check_for_send(instance, ProcessNeed.IF_IDENTIFIED)
        return check is not None and exchange.process != check.name

    def _check_for_send(self, instance: Instance, need: ProcessNeed) -> ProcessCheck | None:
        """Return how to find out whether a connection leads to `instance`, None if it can't be.

        Only engines have reports; other targets might let the question wait as a request.
        """
        is_told = self._has_reports(instance) and instance.tells_process
        if not is_told or self._is_unidentified(instance.name):
            return None
        check = self.process_check(instance)

        def judge(reply: Reply) -> ProcessAnswer:
            answer = check.judge(reply)
            self._metrics.process_checks.inc(label_value=answer.value)
            return answer

        is_required = check.is_required or need is ProcessNeed.ALWAYS
        return check._replace(judge=judge, is_required=is_required)

    def _is_unidentified(self, name: str) -> bool:
        """Return whether a target has just answered without saying which process it is."""
        now = asyncio.get_running_loop().time()
        return now - self._unidentified.get(name, -math.inf) <= _UNIDENTIFIED_SECONDS

    def _has_reports(self, instance: Instance) -> bool:
        catalog = self._views.catalog
        service = None if catalog is None else catalog.services.get(instance.service)
        return service is not None and service.engine is not None

    def process_check(self, instance: Instance) -> ProcessCheck:
        """Return how to find out whether the process at the address of `instance` is that one."""
        check = self._targets.process_check(instance)

        def judge(reply: Reply) -> ProcessAnswer:
            answer = check.judge(reply)
            # Another check may have told it while this one waited.
            is_identified = instance.name in self._identified
            if answer is ProcessAnswer.EXPECTED:
                self._identified.add(instance.name)
                self._unidentified.pop(instance.name, None)
            elif answer in (ProcessAnswer.UNIDENTIFIED, ProcessAnswer.REFUSED):
                if is_identified:
                    # That process says who it is; this one may be another.
                    return ProcessAnswer.UNKNOWN
                if answer is ProcessAnswer.UNIDENTIFIED:
                    self._unidentified[instance.name] = asyncio.get_running_loop().time()
            return answer

        return check._replace(judge=judge, is_required=instance.name in self._identified)

    async def ask(self, instance: Instance, data: bytes, *, carrier: str = "") -> CarriedReply:
        """Send a request that changes nothing to the process at a target's address.

        With `carrier`, the address of a node, only over connections that it carries.  Return the
        complete response of whichever process is there.  Raise `ExchangeError`, which tells what
        is known of that node.
        """
        if carrier:
            exchange = await self._client.begin(
                instance.address, data, connect_seconds=_TUNNEL_TIMEOUT_SECONDS, through=carrier
            )
        else:

            async def begin(seconds: float, through: str) -> Exchange:
                return await self._client.begin(
                    instance.address, data, connect_seconds=seconds, through=through
                )

            exchange = await self._connect(instance, begin)
        try:
            reply = Reply(await exchange.head(), await exchange.body())
            return CarriedReply(reply, exchange.carrier_process)
        finally:
            exchange.cancel()

    def live_connections(
        self, instance: Instance, *, carrier: str = ""
    ) -> frozenset[LiveConnection]:
        """Return the open connections to a target's process; they end with it.

        `carrier` is the address of the node that carries them, empty for direct ones.  On others
        the end may not arrive: their path may be silent.
        """
        process = instance.name if instance.name in self._identified else ""
        return self._client.live_connections(instance.address, through=carrier, process=process)

    async def _connect(
        self, instance: Instance, attempt: Callable[[float, str], Coroutine[Any, Any, _T]]
    ) -> _T:
        """Return the result of `attempt`, which gets its time limit and the carrying node."""
        direct_error: ExchangeError | None = None
        if not self._paths.is_interrupted(instance.name):
            try:
                return await self._try_direct(instance, attempt)
            except ExchangeError as error:
                # Asking another node after a time-out would take as long again, while other
                # targets may respond: `run` asks it.
                if error.reason != CONNECT_REASON or error.connect_timed_out:
                    raise
                direct_error = error
                if error.refused and self._was_confirmed(instance.name):
                    raise
        try:
            result = await self._try_tunnels(instance, attempt)
        except ExchangeError as error:
            if error.reason == TUNNEL_REASON and direct_error is None:
                return await self._try_direct(instance, attempt)
            if error.reason == REPLACED_REASON:
                raise
            raise self._verdict(instance.name, direct_error or error, error) from None
        if direct_error is not None:
            self._record_reached_elsewhere(instance.name)
        return result

    def _was_confirmed(self, target: str) -> bool:
        """Return whether another node was refused by `target` just now as well."""
        now = asyncio.get_running_loop().time()
        return now - self._confirmed_at.get(target, -math.inf) < _CONFIRMED_SECONDS

    def _verdict(
        self, target: str, error: ExchangeError, tunnel_error: ExchangeError
    ) -> ExchangeError:
        """Return `error` as it is if it proves that the target has ended, else without a refusal.

        Another node must have been refused as well, unless there is none, or the target must have
        left the list, since other nodes carry no tunnels to such.  This node must not be
        disconnected, since others may have lost their paths at the same time.
        """
        if not error.refused:
            return error
        is_alone = not self._neighbours.carriers(asyncio.get_running_loop().time())
        is_unlisted = self._views.registry.get(target) is None
        is_confirmed = (tunnel_error.refused or is_unlisted) and not self._paths.disconnected
        if is_confirmed:
            self._confirmed_at[target] = asyncio.get_running_loop().time()
        if is_alone or is_confirmed:
            return error
        return ExchangeError(str(error), sent=False, reason=CONNECT_REASON)

    async def _try_direct(
        self, instance: Instance, attempt: Callable[[float, str], Coroutine[Any, Any, _T]]
    ) -> _T:
        loop = asyncio.get_running_loop()
        try:
            result = await attempt(CONNECT_TIMEOUT_SECONDS, "")
        except ExchangeError as error:
            if error.reason == CONNECT_REASON:
                self._paths.failed(instance.name, loop.time())
            raise
        if not isinstance(result, Exchange) or not result.kept:
            self._record_connected(instance.name)
        return result

    async def _try_tunnels(
        self, instance: Instance, attempt: Callable[[float, str], Coroutine[Any, Any, _T]]
    ) -> _T:
        """Return the result of the first tunnel that is opened.

        Raise `ExchangeError`, with the reason `TUNNEL_REASON` if no node carries a tunnel.
        """
        failure: ExchangeError | None = None
        for carrier in self._carriers(instance):
            try:
                result = await attempt(_TUNNEL_TIMEOUT_SECONDS, carrier.gossip)
            except ExchangeError as error:
                self._metrics.tunnels.inc(label_value=_outcome(error))
                if error.sent or error.reason not in _TUNNEL_FAILURES:
                    raise
                self._failed_at[carrier.name, instance.name] = asyncio.get_running_loop().time()
                if failure is None or error.reason == CONNECT_REASON:
                    failure = error
                if error.connect_timed_out:
                    break
                continue
            self._failed_at.pop((carrier.name, instance.name), None)
            if not isinstance(result, Exchange) or not result.kept:
                self._metrics.tunnels.inc(label_value="open")
            return result
        raise failure or ExchangeError(
            f"{instance.address}: no node carries a tunnel", sent=False, reason=TUNNEL_REASON
        )

    def _carriers(self, instance: Instance) -> list[Neighbour]:
        """Return the nodes to ask for a tunnel, the best one first.

        Nodes with an idle connection to the target come first, and those that lately could not
        connect to it last.  The rest are drawn at random by capacity, from this node's data centre
        and from others in turn: a data centre may be disconnected as a whole.
        """
        now = asyncio.get_running_loop().time()
        own = self._neighbours.me.data_centre
        nodes = self._neighbours.carriers(now)
        nodes.sort(key=lambda node: -(self._rng.random() ** (1 / max(node.capacity, 1e-9))))
        near = [node for node in nodes if node.data_centre == own]
        far = [node for node in nodes if node.data_centre != own]
        mixed = [n for pair in zip_longest(near, far) for n in pair if n is not None]
        mixed.sort(
            key=lambda node: (
                self._failed_at.get((node.name, instance.name), -math.inf) > now - _AVOID_SECONDS,
                not self._client.has_idle(instance.address, through=node.gossip),
            )
        )
        return mixed[:_MAX_CARRIER_COUNT]

    # --- checks ---------------------------------------------------------------------

    async def run(self) -> None:
        """Check the paths to silent and interrupted targets, and replaced ones, until cancelled."""
        loop = asyncio.get_running_loop()
        cleaned_at = replaced_at = loop.time()
        try:
            while True:
                await asyncio.sleep(_TICK_SECONDS)
                now = loop.time()
                per_node = self._views.nodes * _REPLACED_CHECK_SECONDS_PER_NODE
                if now - replaced_at >= max(_REPLACED_CHECK_SECONDS, per_node):
                    replaced_at = now
                    for instance in self._views.registry.replaced_instances():
                        self._start(self._look_again(instance))
                if now - cleaned_at >= _CLEAN_SECONDS:
                    cleaned_at = now
                    self._close_unused_tunnels(now)
                self._check_paths(now)
        finally:
            for task in self._checks:
                task.cancel()

    def _close_unused_tunnels(self, now: float) -> None:
        """Close idle tunnels that are not needed any more, or whose nodes are about to stop."""
        for name in [n for n, at in self._confirmed_at.items() if now - at > _CONFIRMED_SECONDS]:
            del self._confirmed_at[name]
        registry = self._views.registry
        self._identified = {n for n in self._identified if registry.get(n) is not None}
        for name in [n for n in self._unidentified if not self._is_unidentified(n)]:
            del self._unidentified[name]
        for pair in [p for p, at in self._failed_at.items() if at <= now - _AVOID_SECONDS]:
            del self._failed_at[pair]
        usable = {node.gossip for node in self._neighbours.carriers(now)} if self._paths else set()
        self._client.close_idle_tunnels(usable=usable)

    def verify(self, instance: Instance) -> None:
        """Check the path to a target that did not respond, unless that was done just now."""
        if self._paths.should_verify(instance.name, asyncio.get_running_loop().time()):
            self._start_check(instance)

    def _check_paths(self, now: float) -> None:
        registry = self._views.registry
        for name in self._views.responsiveness.observed():
            if (instance := registry.get(name)) is not None:
                self.verify(instance)
        due = self._paths.due_check(now)
        if due is not None and (instance := registry.get(due)) is not None:
            self._start_check(instance)

    def _start_check(self, instance: Instance) -> None:
        self._start(self._check(instance))

    def _start(self, check: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(check)
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _look_again(self, instance: Instance) -> None:
        """Use a replaced target again if its own process answers: a former one has left it the
        address."""
        check = self.process_check(instance)
        try:
            async with asyncio.timeout(_REPLACED_ANSWER_SECONDS):
                carried = await self.ask(instance, check.request)
        except (TimeoutError, ExchangeError):
            return
        answer = check.judge(carried.reply)
        tells_none = not self._has_reports(instance) or not instance.tells_process
        is_found = answer is ProcessAnswer.EXPECTED
        if is_found or (answer is ProcessAnswer.UNIDENTIFIED and tells_none):
            _log.info("target found again", target=instance.name, address=instance.address)
            self._views.registry.process_found(instance.name)
            self._views.service_queues.wake_all()
            self._views.plain_queues.wake_all()

    async def _check(self, instance: Instance) -> None:
        """Try to connect to a target directly, then through another node."""

        async def connect(seconds: float, through: str) -> None:
            await self._client.connect(instance.address, seconds=seconds, through=through)

        if not self._paths.is_unconnected(instance.name) or self._paths.is_known(instance.name):
            try:
                await self._try_direct(instance, connect)
            except ExchangeError:
                if self._paths.is_known(instance.name):
                    return
            else:
                return
        try:
            await self._try_tunnels(instance, connect)
        except ExchangeError:
            return
        self._record_reached_elsewhere(instance.name)

    # --- changes --------------------------------------------------------------------

    def _record_connected(self, target: str) -> None:
        change = self._paths.connected(target, asyncio.get_running_loop().time())
        if change is not None:
            self._log(change)

    def _record_reached_elsewhere(self, target: str) -> None:
        """Record that only other nodes reach a target; move the requests that wait there."""
        now = asyncio.get_running_loop().time()
        views = self._views
        sound = [t.name for t in views.registry.all() if not self._paths.is_interrupted(t.name)]
        silent = views.responsiveness.observed()
        change = self._paths.reached_elsewhere(target, now)
        if change is None:
            return
        self._log(change)
        cut = {name for name in sound if self._paths.is_interrupted(name)}
        for name in cut:
            views.health.forget(name)
        moved = cut.intersection(silent)
        for (name, _), move in list(views.movable_sends.items()):
            if name in moved:
                move()
        for name in moved | {target}:
            # The target has not been silent, only the path to it.
            views.responsiveness.path_changed(name, now)
        views.service_queues.wake_all()
        views.plain_queues.wake_all()

    def record_carried(self, address: str, status: TunnelStatus) -> TunnelStatus:
        """Record the outcome of a connection for another node; return the status to respond with.

        A disconnected node cannot tell whether a target has ended.
        """
        now = asyncio.get_running_loop().time()
        for instance in self._views.registry.all():
            if instance.address == address:
                if status is TunnelStatus.OPEN:
                    self._record_connected(instance.name)
                else:
                    self._paths.failed(instance.name, now)
        if status is not TunnelStatus.OPEN and self._paths.disconnected:
            return TunnelStatus.UNAVAILABLE
        return status

    def admit(self, address: str) -> TunnelStatus:
        """Return whether this node carries tunnels to `address`: `OPEN`, or the refusal."""
        names = [i.name for i in self._views.registry.all() if i.address == address]
        if not names:
            return TunnelStatus.FORBIDDEN
        if any(self._paths.is_interrupted(name) for name in names):
            return TunnelStatus.UNAVAILABLE
        return TunnelStatus.OPEN

    def _log(self, change: PathChange) -> None:
        _log.warning(
            "target reached through other nodes" if change.interrupted else "target reached again",
            target=change.target,
            seconds=round(change.seconds, 2),
            interrupted=self._paths.interrupted,
            disconnected=self._paths.disconnected,
        )


def _outcome(error: ExchangeError) -> str:
    """Return the label of a tunnel that was not opened."""
    if error.refused:
        return "refused"
    return "silent" if error.connect_timed_out else "not-carried"
