"""Measure what one choice of an engine costs a node, by engines, stores and nodes.

Each size has a node that knows `engines` engines, `stores` store hosts that keep the
prompt's parts, and what `nodes` other nodes tell of their sends and moves.  The figure is
processor time a choice, in microseconds, as `time.process_time` counts it.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any, NamedTuple

import click
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
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.store_index import StoreConfirmation
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden
from fielddrift_node.serving.attempts import Attempts
from fielddrift_node.serving.call import Call, ServingContext, Trace
from fielddrift_node.serving.crash_watch import CrashWatch
from fielddrift_node.serving.metrics import Metrics
from fielddrift_node.serving.notices import NoticeHandler
from fielddrift_node.serving.part_transfers import PartTransferPlanner, salt_of
from fielddrift_node.serving.ports import NamedWeights, ParsedRequest
from fielddrift_node.serving.prompt_placement import Placement
from fielddrift_node.serving.send_gate import SendGate
from fielddrift_node.serving.settings import NodeSettings
from fielddrift_node.serving.sharing import PeerClient
from fielddrift_node.serving.stream_versions import StreamVersions
from fielddrift_node.serving.target_paths import TargetPaths
from fielddrift_node.serving.views import Views
from fielddrift_node.serving.weights_check import WeightsCheck
from fielddrift_node.web.messages import Headers, RequestHead
from fielddrift_node.web.server import Request

from .lab.dialects import LabCallers, LabClient, LabTargets
from .lab.node import BOUNDS

__all__ = ["MODEL", "Fleet", "catalog_of", "measure", "placing_of"]

MODEL = "m"
_SERVICE = "engines"
_CLOCK_MS = 100_000
"""The time on the engines' clock, at which all stores have just answered."""
_CENTRES = 5
_MEMORY = 40_000
"""Tokens of an engine: some five long prompts."""
_PROMPT = Prompt(MODEL, (Part("top", 2500), Part("leaf", 5000), Part("own", 1700)), 9200, 9)
_KEPT_COPIES = 3
"""Stores that keep each part."""
_BUSY_ENGINES = 4
"""Engines that each other node has sends at."""
_TRIES = 200


class Fleet(NamedTuple):
    """How many engines, store hosts and other nodes a node knows."""

    engines: int
    stores: int
    nodes: int


_SIZES = (
    Fleet(10, 2, 9),
    Fleet(60, 28, 9),
    Fleet(60, 28, 80),
    Fleet(400, 28, 80),
    Fleet(400, 28, 400),
    Fleet(800, 28, 400),
)


def _store(number: int) -> Service:
    traits = StoreTraits(f"10.9.0.{number}:1", _centre(number), 1_700_000, 3.6e9, 0.006, True, 12)
    return Service(f"store-{number}", store=traits)


def _centre(number: int) -> str:
    return f"dc-{number % _CENTRES}"


def catalog_of(fleet: Fleet) -> Catalog:
    traits = EngineTraits(24, _MEMORY, 18_432, 16e9, (MODEL,), 12)
    services = [Service(_SERVICE, 1300, engine=traits)]
    services += [_store(number) for number in range(fleet.stores)]
    route = Route(
        "r", "h", "/", AnswerFormat.EVENTS, RepeatPolicy.FREELY, 12.0, 0.5, 0,
        (Share(_SERVICE, 1),), 2, True, True, 0.25,
    )  # fmt: skip
    by_name = {service.name: service for service in services}
    return Catalog(1, {"h": (route,)}, by_name, {}, 16_384, 1 << 22, 3.0, 15.0, needs_key=False)


async def _read_targets(since: float, seconds: float) -> bool:
    """Tell that the list of targets was read: it does not change."""
    return True


def _views(fleet: Fleet, catalog: Catalog, rng: random.Random) -> Views:
    now = asyncio.get_running_loop().time()
    views = Views()
    views.update_catalog(catalog)
    views.update_weights(NamedWeights(MODEL, 1), now)
    names = [f"engine-{number}" for number in range(fleet.engines)]
    entries = [
        Instance(name, _SERVICE, f"10.1.0.{n}:1", _centre(n), slots=24, versions={MODEL: 1})
        for n, name in enumerate(names)
    ]
    views.registry.replaced(entries, now)
    views.record_engine_clock(_CLOCK_MS, now)
    salt = salt_of(MODEL, 1)
    for number, view in enumerate(views.store_index.views):
        kept = _PROMPT.shared if number < _KEPT_COPIES else ()
        view.listed(1, 0, [(salt, part.id, part.tokens) for part in kept])
        view.confirm(StoreConfirmation(1, 0, _CLOCK_MS))
        views.lateness.observe(view.traits.address, 0.001, now)
    for node in range(fleet.nodes):
        busy = rng.sample(names, min(_BUSY_ENGINES, len(names)))
        views.workload.update_node(
            f"node-{node}", {name: Burden(1, 500, 900) for name in busy}, now
        )
        views.links.update_node(f"node-{node}", {"10.9.0.0:1": 0.01}, now)
    return views


def placing_of(fleet: Fleet, *, seed: int = 1) -> tuple[Placement, ServingContext, Call]:
    """Return what chooses at a node of `fleet`, its tools, and a call to choose for."""
    loop = asyncio.get_running_loop()
    catalog = catalog_of(fleet)
    views = _views(fleet, catalog, random.Random(seed))
    address = "10.0.0.1:1"
    settings = NodeSettings(
        "me", "me", _centre(0), "r", address, address, address, address, 1, address, (), BOUNDS,
        400.0,
    )  # fmt: skip
    targets = LabTargets()
    neighbours = Neighbours(me=Neighbour("me", 1, _centre(0), address, address, address))
    client = LabClient(engines={}, targets=targets)
    paths = TargetPaths(
        client=client,
        targets=targets,
        views=views,
        neighbours=neighbours,
        metrics=Metrics(),
        rng=random.Random(seed),
    )
    notices = NoticeHandler(views=views, metrics=Metrics(), on_change=lambda: None)
    context = ServingContext(
        settings=settings,
        views=views,
        paths=paths,
        callers=LabCallers(),
        targets=targets,
        budgets={},
        rng=random.Random(seed),
        metrics=Metrics(),
        on_load_change=lambda: None,
        crashes=CrashWatch(
            views=views,
            paths=paths,
            neighbours=neighbours,
            metrics=Metrics(),
            rng=random.Random(seed),
            send_update=lambda update, nodes: None,
            on_replaced=lambda instance: None,
        ),
        gate=SendGate(views=views, neighbours=neighbours, bounds=BOUNDS),
        streams=StreamVersions(
            views=views,
            neighbours=neighbours,
            peers=PeerClient(client=client),
            metrics=Metrics(),
            send=lambda origins, node: None,
            read_targets=_read_targets,
        ),
        notices=notices,
        weights_check=WeightsCheck(
            views=views, targets=targets, notices=notices, metrics=Metrics()
        ),
    )
    request = Request(RequestHead(b"POST", b"/", Headers(), True), b"", loop.time())
    parsed = ParsedRequest("id", "h", "/", "", 4.0, _PROMPT, "", request)
    route, service = catalog.routes["h"][0], catalog.services[_SERVICE]
    now = loop.time()
    call = Call(parsed, catalog, route, service, None, now, now + 4.0, Trace())
    return Placement(context=context, kept=PartTransferPlanner(views=views)), context, call


async def measure(fleet: Fleet) -> float:
    """Return the microseconds of processor time that a choice takes in `fleet`."""
    placing, context, call = placing_of(fleet)
    began = time.process_time()
    for _ in range(_TRIES):
        now = asyncio.get_running_loop().time()
        await placing.place(
            call._replace(arrived_at=now), Attempts(call=call, context=context), resumes=False
        )
    return (time.process_time() - began) / _TRIES * 1e6


@click.command()
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the figures here")
def main(json_file: Path | None) -> None:
    """Print the cost of a choice at each size."""
    rows: list[dict[str, Any]] = []
    for fleet in _SIZES:
        microseconds = asyncio.run(measure(fleet))
        rows.append({**fleet._asdict(), "microseconds": round(microseconds, 1)})
        click.echo(
            f"{fleet.engines:4} engines {fleet.stores:3} stores {fleet.nodes:4} nodes: "
            f"{microseconds:9.1f} us a choice"
        )
    if json_file is not None:
        json_file.write_text(json.dumps(rows, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
