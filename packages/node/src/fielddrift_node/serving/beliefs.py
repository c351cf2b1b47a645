"""Export a node's view of the cluster, with ages and sources, for operators (`/beliefs`)."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, TypedDict

import msgspec
from fielddrift_core.eras import era_of, version_of
from fielddrift_core.neighbours import KnownNode, Neighbours
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

from .views import Views

__all__ = [
    "ClusterState",
    "HeldRequestState",
    "StoreState",
    "TargetState",
    "cluster_state",
    "to_json",
]


class TargetState(NamedTuple):
    """A target: whether it is leaving, its weights, and its known load.

    `loading` is the remaining seconds for which it is assumed to load weights.  `cold` says
    whether it is assumed to be cold.  `limit` is its limit in requests per second for all nodes
    together, None for no limit.  `paused` is the remaining seconds of a pause that it asked for.
    `silent` is the seconds for which an unresponsive target has been silent, None for any other.
    `concurrency` is the learned number of requests that a plain target may have from all nodes,
    `work_seconds` the usual time to its answers; None for engines and targets without requests.
    `path` is `tunnel` if this node reaches it only through other nodes, else empty.
    """

    name: str
    service: str
    leaving: bool
    weights: dict[str, int | None]
    burden: Burden
    failures: float
    loading: float
    cold: bool
    limit: float | None
    paused: float
    silent: float | None = None
    concurrency: int | None = None
    work_seconds: float | None = None
    path: str = ""


class _PlainState(TypedDict, total=False):
    concurrency: int
    work_seconds: float


class StoreState(NamedTuple):
    """A store host: its process number (`life`), its parts, and the age of the last update.

    `heard_seconds` is None if another node follows the store host for this one.
    """

    address: str
    life: int | None
    following: int
    parts: int
    tokens: int
    heard_seconds: float | None


class HeldRequestState(NamedTuple):
    """A request that is held back for `seconds` more, and the targets that ended during it."""

    fingerprint: str
    targets: tuple[str, ...]
    seconds: float


class ClusterState(NamedTuple):
    """Everything that decides where a node sends requests; ages are in seconds.

    `reader` is the node that reads from the platform for this one, empty if this node reads
    itself.  `named` is the newest weights by model, `era` the era of the platform's store to
    which the versions of the rows belong, `evacuated` the data centres whose targets receive no
    requests.  A `disconnected` node reaches no target by itself.  `brittle` names the services
    whose targets fail if they reject many requests.
    """

    node: str
    active: bool
    sharing: int
    catalog: int | None
    operators_row: int
    operators_seconds: float | None
    targets_row: int
    targets_seconds: float | None
    reader: str
    named: dict[str, int]
    stale: bool
    targets: list[TargetState]
    stores: list[StoreState]
    nodes: list[KnownNode]
    held: list[HeldRequestState]
    era: int
    evacuated: list[str]
    disconnected: bool
    brittle: list[str]


def cluster_state(views: Views, neighbours: Neighbours, *, reader: str) -> ClusterState:
    """Return the view of the cluster of a node with these views."""
    now = asyncio.get_running_loop().time()
    return ClusterState(
        node=neighbours.me.name,
        active=neighbours.is_active(now),
        sharing=views.nodes,
        catalog=None if views.catalog is None else views.catalog.version,
        operators_row=version_of(views.operators_row),
        operators_seconds=_age(views.operators_read_at, now),
        targets_row=version_of(views.targets_row),
        targets_seconds=_age(views.targets_read_at, now),
        reader=reader,
        named=dict(views.named),
        stale=views.stale.is_set(),
        targets=_targets(views, now),
        stores=_stores(views, now),
        nodes=neighbours.known_nodes(now),
        era=era_of(max(views.operators_row, views.targets_row)),
        evacuated=sorted(views.registry.evacuated),
        disconnected=views.direct_paths.disconnected,
        brittle=sorted(report.service for report in views.brittle.reports(now)),
        held=[
            HeldRequestState(held.fingerprint, held.targets, round(held.until - now, 3))
            for held in views.crashes.all_held(now)
        ],
    )


def _targets(views: Views, now: float) -> list[TargetState]:
    leaving = views.registry.leaving()
    return [
        TargetState(
            name=target.name,
            service=target.service,
            leaving=target.name in leaving,
            weights={model: views.weights_of(target.name, model) for model in target.versions},
            burden=views.workload.burden_of(target.name, now),
            failures=round(views.health.share(target.name, now), 3),
            loading=round(views.loading.seconds(target.name, now), 3),
            cold=views.cold.is_cold(target.name, now),
            limit=views.limits.rate(target.name),
            paused=round(views.pauses.left(target.name, now), 3),
            path="tunnel" if views.direct_paths.is_interrupted(target.name) else "",
            silent=_rounded(views.responsiveness.silent_seconds(target.name, now)),
            **_plain_state(views, target, now),
        )
        for target in views.registry.all()
    ]


def _plain_state(views: Views, target: Instance, now: float) -> _PlainState:
    """Return what this node learned of a plain target; empty for other targets."""
    queue = views.plain_queues.known(target.service)
    concurrency = None if queue is None else queue.known_limit(target.name)
    if queue is None or concurrency is None:
        return {}
    work_seconds = round(queue.target_work_seconds(target.name, now), 3)
    return {"concurrency": concurrency, "work_seconds": work_seconds}


def _stores(views: Views, now: float) -> list[StoreState]:
    return [
        StoreState(
            address=view.traits.address,
            life=view.life,
            following=view.following,
            parts=len(view.held),
            tokens=view.used,
            heard_seconds=_age(view.received_at, now),
        )
        for view in views.store_index.views
    ]


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _age(at: float, now: float) -> float | None:
    """Return the seconds since `at`; None for never, since JSON has no infinity."""
    return None if at == float("-inf") else round(now - at, 3)


def to_json(beliefs: ClusterState) -> bytes:
    """Return `beliefs` as a JSON object; named tuples become objects."""
    return msgspec.json.encode(_named(beliefs))


def _named(value: object) -> object:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: _named(member) for name, member in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_named(member) for member in value]
    return value
