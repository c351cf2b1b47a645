"""Play a load: callers, nodes, engines, stores and what goes wrong, in virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from fielddrift_core.catalog import (
    AnswerFormat,
    Catalog,
    EngineTraits,
    RepeatPolicy,
    Route,
    Service,
    Share,
    StoreTraits,
)
from fielddrift_core.prompt import Part
from fielddrift_core.target_registry import Instance
from fielddrift_node.serving.ports import ParsedRequest
from fielddrift_node.web.messages import Headers, RequestHead
from fielddrift_node.web.server import Request

from .dialects import Answer
from .engine import Engine, Reads
from .loads import Arrival, Load, Trouble
from .node import LabNode
from .sizes import Sizes
from .stores import StoreHost
from .virtual_time import VirtualLoop

__all__ = ["Outcome", "Play", "play"]

_SERVICE, _MODEL, _HOST = "engines", "model", "lab"
_NEAR_SECONDS, _FAR_SECONDS = 0.0005, 0.0015
"""How long a heartbeat takes within a data centre, and between two."""
_LOST_PART = 0.005
"""Heartbeats that are lost."""
_REPEAT_SECONDS = 0.05
_DRAIN_SECONDS = 5.0
"""Time after the last arrival in which answers still end."""
_LISTENERS = 12
_GONE_SECONDS = 3.6
"""How long nodes take a target that is gone to be there: three heartbeats of its entry."""
_PAUSE_AIM = 0.6


class Outcome(NamedTuple):
    """How a caller fared: seconds from its first try to the first event, None without one.

    `told` says that it was told to come back, and came.
    """

    arrival: Arrival
    first: float | None
    whole: bool
    tries: int
    told: bool
    held: float
    """Seconds until the last answer, where none was served."""


class Play(NamedTuple):
    """What came of a load."""

    load: Load
    outcomes: tuple[Outcome, ...]
    reads: Reads
    ratios: tuple[float, ...]


def play(load: Load, sizes: Sizes, *, seed: int) -> Play:
    """Play `load` in virtual time; the same arguments give the same play."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(_World(load, sizes, seed).run())
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


class _World:
    def __init__(self, load: Load, sizes: Sizes, seed: int) -> None:
        self._load = load
        self._sizes = sizes
        self._seed = seed
        self._rng = random.Random(f"world {load.name} {seed}")
        self._outcomes: list[Outcome] = []
        self._ids = 0

    async def run(self) -> Play:
        loop = asyncio.get_running_loop()
        self._build()
        start = loop.time()
        await asyncio.sleep(1.0)
        callers = [
            loop.create_task(self._call(start + 1.0, arrival)) for arrival in self._load.arrivals
        ]
        for trouble in self._load.troubles:
            loop.call_at(start + 1.0 + trouble.at, self._begin, trouble)
        await asyncio.sleep(self._sizes.seconds + _DRAIN_SECONDS)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for node in self._nodes.values():
            node.close()
        await asyncio.sleep(0)
        return Play(self._load, tuple(self._outcomes), self._reads, ())

    # --- building ---------------------------------------------------------------

    def _build(self) -> None:
        sizes = self._sizes
        self._reads = Reads()
        traits = [self._store_traits(number) for number in range(sizes.stores)]
        self._stores = {t.address: StoreHost(traits=t, told=self._kept) for t in traits}
        self._instances = [
            Instance(
                f"engine-{n}",
                _SERVICE,
                f"engine-{n}:1",
                self._data_centre(n),
                slots=sizes.slots,
                versions={_MODEL: 1},
            )
            for n in range(sizes.engines)
        ]
        self._engines = {
            i.address: Engine(name=i.name, sizes=sizes, stores=self._stores, reads=self._reads)
            for i in self._instances
        }
        self._nodes = {}
        for number in range(sizes.nodes):
            node = LabNode(
                number=number,
                data_centre=self._data_centre(number),
                engines=self._engines,
                deliver=self._deliver,
                seed=self._seed,
            )
            self._nodes[node.name] = node
        everyone = [node.me for node in self._nodes.values()]
        catalog = self._catalog(traits)
        for node in self._nodes.values():
            node.introduce(everyone)
            node.configure(catalog, self._instances, _MODEL)

    def _data_centre(self, number: int) -> str:
        return f"dc-{number % self._sizes.data_centres}"

    def _store_traits(self, number: int) -> StoreTraits:
        sizes = self._sizes
        return StoreTraits(
            f"store-{number}:1",
            self._data_centre(number),
            sizes.store_room,
            sizes.link_rate,
            sizes.first_byte,
            True,
            _LISTENERS,
        )

    def _catalog(self, stores: list[StoreTraits]) -> Catalog:
        sizes = self._sizes
        engines = EngineTraits(
            sizes.slots,
            sizes.memory,
            sizes.token_bytes,
            sizes.link_rate * 10,
            (_MODEL,),
            _LISTENERS,
        )
        routes = tuple(
            Route(
                name=name,
                host=_HOST,
                prefix=f"/{name}/",
                answer_format=AnswerFormat.EVENTS,
                repeat_policy=RepeatPolicy.FREELY,
                timeout=sizes.patience * sizes.long_patience * (1.0 + sizes.patience_spread),
                latency_goal=sizes.aim_of(urgent=name == "urgent"),
                priority=rank,
                shares=(Share(_SERVICE, 1),),
                attempts=2,
                anonymous=True,
                resumable=True,
                gap_goal=_PAUSE_AIM,
            )
            for name, rank in (("urgent", 0), ("long", 1))
        )
        services = {_SERVICE: Service(_SERVICE, engine=engines)}
        services |= {s.address: Service(s.address, store=s) for s in stores}
        return Catalog(
            1, {_HOST: routes}, services, {}, 1 << 14, 1 << 22, 3.0, 15.0, needs_key=False
        )

    # --- between nodes, and from stores --------------------------------------------

    def _deliver(self, name: str, data: bytes) -> None:
        if self._rng.random() < _LOST_PART:
            return
        node = self._nodes[name]
        seconds = self._rng.uniform(_NEAR_SECONDS, _FAR_SECONDS)
        asyncio.get_running_loop().call_later(
            seconds, node.gossip.datagram_received, data, (name, 1)
        )

    def _kept(self, store: str, salt: str, part: Part) -> None:
        for node in self._nodes.values():
            node.part_kept(store, salt, part)

    # --- troubles ---------------------------------------------------------------

    def _begin(self, trouble: Trouble) -> None:
        loop = asyncio.get_running_loop()
        if trouble.kind == "engines-lost":
            gone = self._instances[: max(1, int(trouble.factor * len(self._instances)))]
            for instance in gone:
                self._engines[instance.address].crash()
            loop.call_later(min(_GONE_SECONDS, trouble.seconds), self._drop, gone)
            loop.call_later(trouble.seconds, self._return, gone)
        elif trouble.kind == "engines-slow":
            self._slow(trouble.factor)
            loop.call_later(trouble.seconds, self._slow, 1.0)
        elif trouble.kind == "stores-emptied":
            for address, store in self._stores.items():
                store.empty()
                for node in self._nodes.values():
                    node.store_emptied(address, store.life)

    def _slow(self, factor: float) -> None:
        for engine in self._engines.values():
            engine.slowness = factor

    def _drop(self, gone: list[Instance]) -> None:
        now = asyncio.get_running_loop().time()
        for node in self._nodes.values():
            for instance in gone:
                node.views.registry.entry_ended(instance.name, now)

    def _return(self, gone: list[Instance]) -> None:
        now = asyncio.get_running_loop().time()
        for instance in gone:
            back = instance._replace(name=f"{instance.name}'")
            engine = self._engines[instance.address]
            engine.up = True
            for node in self._nodes.values():
                node.views.registry.heard(back, now)

    # --- callers ----------------------------------------------------------------

    async def _call(self, start: float, arrival: Arrival) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(start + arrival.at - loop.time())
        began = loop.time()
        patience = self._sizes.patience_of(urgent=arrival.urgent) * arrival.patience
        if arrival.leaves is not None:
            patience = arrival.leaves
        node, tries, told, answer = arrival.node, 0, False, None
        try:
            async with asyncio.timeout(patience):
                while True:
                    tries += 1
                    answer = await self._ask(arrival, node, patience - (loop.time() - began))
                    most = 6 if arrival.repeats else 2
                    if answer.first_at is not None or tries >= most:
                        break
                    told = True
                    wait = _REPEAT_SECONDS if arrival.repeats else answer.retry_after or 0.0
                    await asyncio.sleep(wait)
                    node = self._rng.randrange(self._sizes.nodes)
        except TimeoutError:
            answer = None
        first = None if answer is None or answer.first_at is None else answer.first_at - began
        whole = answer is not None and answer.whole and first is not None
        held = loop.time() - began
        self._outcomes.append(Outcome(arrival, first, whole, tries, told, held))

    def _entry(self, number: int) -> LabNode:
        """Return the node to which a caller is sent: an active one of the data centre."""
        now = asyncio.get_running_loop().time()
        node = self._nodes[f"node-{number}"]
        active = sorted(node.neighbours.active(now))
        return self._nodes[active[number % len(active)]] if active else node

    async def _ask(self, arrival: Arrival, node_number: int, patience: float) -> Answer:
        node = self._entry(node_number)
        self._ids += 1
        name = f"r{self._ids}"
        path = f"/{'urgent' if arrival.urgent else 'long'}/{name}"
        head = RequestHead(b"POST", path.encode(), Headers(), True)
        request = Request(head, b"", asyncio.get_running_loop().time())
        node.callers.asks[head.target] = ParsedRequest(
            name, _HOST, path, "", patience, arrival.prompt, "", request
        )
        answer = Answer()
        async with asyncio.timeout(self._sizes.silence) as silence:
            answer.on_first = lambda: silence.reschedule(None)
            await node.gateway.handle(request, answer)
        return answer
