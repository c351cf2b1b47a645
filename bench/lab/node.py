"""Run a serving node's decisions: its gateway, its views, its heartbeats, and nothing else."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from fielddrift_core.catalog import Catalog
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.prompt import Part
from fielddrift_core.store_index import KeptChange, StoreConfirmation
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.call import ServingContext
from fielddrift_node.serving.crash_watch import CrashWatch
from fielddrift_node.serving.gateway import Gateway
from fielddrift_node.serving.gossip import Gossip
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.metrics import Metrics
from fielddrift_node.serving.notices import NoticeHandler
from fielddrift_node.serving.ports import NamedWeights
from fielddrift_node.serving.send_gate import SendGate
from fielddrift_node.serving.settings import Bounds, NodeSettings
from fielddrift_node.serving.sharing import PeerClient
from fielddrift_node.serving.stream_versions import StreamVersions
from fielddrift_node.serving.target_paths import TargetPaths
from fielddrift_node.serving.views import Views
from fielddrift_node.serving.weights_check import WeightsCheck

from .dialects import LabCallers, LabClient, LabTargets
from .engine import Engine

__all__ = ["BOUNDS", "LabNode"]

BOUNDS = Bounds(
    drain=2.0,
    grace=8.0,
    retry_ratio=0.2,
    retry_window=10.0,
    retry_slack=50.0,
    handover_pause=3.0,
    weights=10.0,
    entry_cache=5.0,
)
_TICK_SECONDS = 0.2
_STORES_STARTED_MS = -10_000
"""When the stores started, on the engines' clock: nodes have known them for some time."""
_PORT = 1
_CAPACITY = 400.0
"""Requests a second that a host carries: far more than it gets."""


async def _read_targets(since: float, seconds: float) -> bool:
    """Tell that the list of targets was read: it does not change."""
    return True


class _Datagrams(asyncio.DatagramTransport):
    """Heartbeats on their way."""

    def __init__(self, deliver: Callable[[str, bytes], None]) -> None:
        super().__init__()
        self._deliver = deliver

    def sendto(self, data: bytes, addr: tuple[str, int] | None = None) -> None:  # type: ignore[override]
        assert addr is not None
        self._deliver(addr[0], data)

    def close(self) -> None:
        pass


class LabNode:
    """One node of the laboratory."""

    def __init__(
        self,
        *,
        number: int,
        data_centre: str,
        engines: Mapping[str, Engine],
        deliver: Callable[[str, bytes], None],
        seed: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.name = f"node-{number}"
        address = f"{self.name}:{_PORT}"
        self.views = Views()
        self.callers = LabCallers()
        self.metrics = Metrics()
        targets = LabTargets()
        me = Neighbour(self.name, 1, data_centre, address, address, address, _CAPACITY)
        self.me = me
        self.neighbours = Neighbours(me=me)
        self.neighbours.update_self(serving=True, load=0.0)
        self._translator = HeartbeatTranslator(views=self.views, neighbours=self.neighbours)
        self.gossip = Gossip(
            neighbours=self.neighbours,
            heartbeat=lambda relation: self._translator.heartbeat(relation, leaving=False),
            heard=self._translator.heard,
        )
        self.gossip.connection_made(_Datagrams(deliver))
        settings = NodeSettings(
            self.name, self.name, data_centre, "r", address, address, address, address, _PORT,
            address, (), BOUNDS, _CAPACITY,
        )  # fmt: skip
        client = LabClient(engines=engines, targets=targets)
        rng = random.Random(f"{self.name} {seed}")
        paths = TargetPaths(
            client=client,
            targets=targets,
            views=self.views,
            neighbours=self.neighbours,
            metrics=self.metrics,
            rng=rng,
        )
        notices = NoticeHandler(
            views=self.views,
            metrics=self.metrics,
            on_change=self.gossip.schedule_load_update,
        )
        crashes = CrashWatch(
            views=self.views,
            paths=paths,
            neighbours=self.neighbours,
            metrics=self.metrics,
            rng=rng,
            send_update=self.gossip.send_crash_update,
            on_replaced=notices.replaced,
        )
        streams = StreamVersions(
            views=self.views,
            neighbours=self.neighbours,
            peers=PeerClient(client=client),
            metrics=self.metrics,
            send=self.gossip.send_origins,
            read_targets=_read_targets,
        )
        context = ServingContext(
            settings=settings,
            views=self.views,
            paths=paths,
            callers=self.callers,
            targets=targets,
            budgets={},
            rng=rng,
            metrics=self.metrics,
            on_load_change=self.gossip.schedule_load_update,
            crashes=crashes,
            gate=SendGate(views=self.views, neighbours=self.neighbours, bounds=BOUNDS),
            streams=streams,
            notices=notices,
            weights_check=WeightsCheck(
                views=self.views, targets=targets, notices=notices, metrics=self.metrics
            ),
        )
        self.gateway = Gateway(context=context)
        self._tasks = [loop.create_task(self.gossip.run()), loop.create_task(self._tick())]

    def introduce(self, nodes: list[Neighbour]) -> None:
        """Know the other nodes."""
        for node in nodes:
            self.neighbours.add(node)

    def configure(self, catalog: Catalog, instances: list[Instance], model: str) -> None:
        """Know the catalog and the targets."""
        now = asyncio.get_running_loop().time()
        self.views.update_catalog(catalog)
        self.views.update_weights(NamedWeights(model, 1), now)
        self.views.record_engine_clock(0, now)
        for instance in instances:
            self.views.registry.heard(instance, now)
        for view in self.views.store_index.views:
            view.listed(1, 0, [])
            view.confirm(StoreConfirmation(1, _STORES_STARTED_MS, 0))

    def part_kept(self, store: str, salt: str, part: Part) -> None:
        """Hear that a store keeps a part."""
        view = self.views.store_index.view(store)
        if view is not None:
            added = ((salt, part.id, part.tokens),)
            view.apply(KeptChange(view.following, view.following + 1, added, ()))

    def store_emptied(self, store: str, life: int) -> None:
        """Hear that a store began anew."""
        view = self.views.store_index.view(store)
        if view is not None:
            view.listed(life, 0, [])
            self._confirm_stores()

    def _confirm_stores(self) -> None:
        """Hear from all stores, as a node does that follows them."""
        clock = self.views.to_engine_clock(asyncio.get_running_loop().time())
        for view in self.views.store_index.views:
            if view.life is not None and clock is not None:
                view.confirm(StoreConfirmation(view.life, clock, clock))

    def close(self) -> None:
        """End what runs by itself."""
        self.gossip.close()
        for task in self._tasks:
            task.cancel()

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = loop.time()
            self._confirm_stores()
            self.neighbours.update_self(serving=True, load=self.views.load.value(now))
            self.views.nodes = self.neighbours.sharing(now)
