"""Tell what a node believes, how old it is and from whom, for whoever is on call."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import msgspec
from fielddrift_core.eras import era_of, version_of
from fielddrift_core.neighbours import KnownNode, Neighbours
from fielddrift_core.workload import Burden

from .views import Views

__all__ = ["Beliefs", "HeldBelief", "StoreBelief", "TargetBelief", "beliefs_of", "to_json"]


class TargetBelief(NamedTuple):
    """A target: whether it takes new work, its weights, and what is known to be there.

    `loading` is the seconds for which it is still taken to load weights, `cold` says that it
    is taken for cold.  `limit` is the requests a second that it takes from all nodes together,
    None for any number; `paused` the seconds for which it still wants nothing from this node.
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


class StoreBelief(NamedTuple):
    """A store host: its life and parts, and the age of what this node itself heard.

    `heard_seconds` is None where another node listens for this one.
    """

    address: str
    life: int | None
    following: int
    parts: int
    tokens: int
    heard_seconds: float | None


class HeldBelief(NamedTuple):
    """A request that is held back for `seconds` more, and the targets that ended under it."""

    fingerprint: str
    targets: tuple[str, ...]
    seconds: float


class Beliefs(NamedTuple):
    """Everything that decides where a node sends requests, as of now; ages in seconds.

    `reader` names the node that reads from the platform for this one, empty
    for itself.  `named` gives the newest weights by model, `era` that of the platform's store
    in which the rows' versions are, `evacuated` the data centres whose targets get nothing.
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
    targets: list[TargetBelief]
    stores: list[StoreBelief]
    nodes: list[KnownNode]
    held: list[HeldBelief]
    era: int
    evacuated: list[str]


def beliefs_of(views: Views, neighbours: Neighbours, *, reader: str) -> Beliefs:
    """Return what a node with these views believes."""
    now = asyncio.get_running_loop().time()
    return Beliefs(
        node=neighbours.me.name,
        active=neighbours.is_active(now),
        sharing=views.nodes,
        catalog=None if views.catalog is None else views.catalog.version,
        operators_row=version_of(views.operators_row),
        operators_seconds=_age(views.operators_at, now),
        targets_row=version_of(views.targets_row),
        targets_seconds=_age(views.targets_at, now),
        reader=reader,
        named=dict(views.named),
        stale=views.stale.is_set(),
        targets=_targets(views, now),
        stores=_stores(views, now),
        nodes=neighbours.known_nodes(now),
        era=era_of(max(views.operators_row, views.targets_row)),
        evacuated=sorted(views.registry.evacuated),
        held=[
            HeldBelief(held.fingerprint, held.targets, round(held.until - now, 3))
            for held in views.crashes.all_held(now)
        ],
    )


def _targets(views: Views, now: float) -> list[TargetBelief]:
    leaving = views.registry.leaving()
    return [
        TargetBelief(
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
        )
        for target in views.registry.all()
    ]


def _stores(views: Views, now: float) -> list[StoreBelief]:
    return [
        StoreBelief(
            address=view.traits.address,
            life=view.life,
            following=view.following,
            parts=len(view.held),
            tokens=view.used,
            heard_seconds=_age(view.received_at, now),
        )
        for view in views.store_index.views
    ]


def _age(at: float, now: float) -> float | None:
    """Return the seconds since `at`; None for never, which JSON cannot spell."""
    return None if at == float("-inf") else round(now - at, 3)


def to_json(beliefs: Beliefs) -> bytes:
    """Return `beliefs` as a JSON object, its tuples by the names of their fields."""
    return msgspec.json.encode(_named(beliefs))


def _named(value: object) -> object:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: _named(member) for name, member in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_named(member) for member in value]
    return value
