"""Run operators' `show` statements.

For each noun of the grammar, a function registered with `shows` returns the
rows.  The conditions and the grouping of a statement apply to the rows of any
noun.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, TypedDict

from fielddrift_core.errors import ErrorKind, Refusal
from fielddrift_core.grammar import Condition, Query
from fielddrift_core.interfaces import ExternalSystemError, Table
from fielddrift_core.leases import LeaseRow
from fielddrift_core.membership import Membership, Status
from fielddrift_core.model import TargetRole

from . import clock
from .leasing import LEASE_PREFIX, decode_lease
from .peers import Peers
from .runtime import Runtime

__all__ = ["Nodes", "Shown", "answer"]

_MAX_ROWS = 10_000

Rows = list[dict[str, Any]]


class Shown(TypedDict):
    """The result of a query; `partial` lists the sources that could not be read."""

    columns: list[str]
    rows: list[list[Any]]
    partial: list[str]


class Nodes:
    """Sources of a query outside this node: the other nodes and the platform's table."""

    def __init__(self, *, membership: Membership, peers: Peers, table: Table) -> None:
        self.membership = membership
        self.peers = peers
        self.table = table


_RowSource = Callable[[Runtime, Nodes, list[str]], Rows]
_ROW_SOURCES: dict[str, _RowSource] = {}


def shows(noun: str) -> Callable[[_RowSource], _RowSource]:
    """Return a decorator that registers a function as the source of the rows of `noun`."""

    def register(function: _RowSource) -> _RowSource:
        _ROW_SOURCES[noun] = function
        return function

    return register


def answer(query: Query, runtime: Runtime, nodes: Nodes) -> Shown | Refusal:
    """Return at most `_MAX_ROWS` rows for `query`, or a refusal if it names an unknown field."""
    partial: list[str] = []
    rows = _ROW_SOURCES[query.noun](runtime, nodes, partial)
    columns = list(rows[0]) if rows else []
    unknown = [f for f in (*(c.field for c in query.conditions), *query.by) if f not in columns]
    if rows and unknown:
        detail = f"field: {unknown[0]!r}, expected one of {', '.join(columns)}"
        return Refusal(ErrorKind.BAD_REQUEST, detail)
    kept = [row for row in rows if all(_matches(row, c) for c in query.conditions)]
    if query.by:
        kept = _group(kept, query.by)
        columns = [*query.by, "count", *(["size"] if "size" in columns else [])]
    shown = [[row[column] for column in columns] for row in kept[:_MAX_ROWS]]
    return Shown(columns=columns, rows=shown, partial=partial)


def _matches(row: dict[str, Any], condition: Condition) -> bool:
    value = row[condition.field]
    if isinstance(condition.value, bool):
        return bool(value)
    if isinstance(condition.value, float):
        return isinstance(value, int | float) and float(value) == condition.value
    return str(value) == condition.value


def _group(rows: Rows, by: tuple[str, ...]) -> Rows:
    counts: Counter[tuple[Any, ...]] = Counter()
    sizes: Counter[tuple[Any, ...]] = Counter()
    for row in rows:
        key = tuple(row[field] for field in by)
        counts[key] += 1
        sizes[key] += row.get("size", 0)
    return [
        {**dict(zip(by, key, strict=True)), "count": count, "size": sizes[key]}
        for key, count in sorted(counts.items(), key=lambda item: str(item[0]))
    ]


# --- configuration ---------------------------------------------------------


@shows("customers")
def _customers(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    customers = runtime.config.current.customers.values()
    return [{"customer": c.name, "share": c.share, "keys": len(c.key_digests)} for c in customers]


@shows("models")
def _models(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    return [
        {"model": d.model, "version": d.version, "prepared": " ".join(d.prepared)}
        | {"adapters": " ".join(d.adapters)}
        | d.weights._asdict()
        for d in runtime.config.current.deployments.values()
    ]


@shows("holds")
def _hold_rules(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    return [rule._asdict() for rule in runtime.config.current.holds.values()]


@shows("stores")
def _stores(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    return [
        {"store": s.name, "address": s.address, "data_centre": s.data_centre}
        | {"memory": s.memory, "disk": s.disk, "link": s.link_rate}
        | {"usable": runtime.stores.usable(s)}
        for s in runtime.config.current.stores.values()
    ]


@shows("targets")
def _targets(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    return [
        {
            "target": t.name,
            "role": t.role.value,
            "address": t.address,
            "data_centre": t.data_centre,
            "serves": t.serves,
            "work": t.work if t.role is TargetRole.ENGINE else "",
            "checks": t.checks,
            "leaving": t.draining or runtime.leaving(t.name),
        }
        for t in runtime.config.current.targets.values()
    ]


# --- current state ---------------------------------------------------------


@shows("load")
def _load(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    now = clock.now()
    rows = []
    for target in runtime.config.current.targets.values():
        load, own, breaker = runtime.board.load(target.name)
        heard = load.received_at > float("-inf")
        rows.append(
            {
                "target": target.name,
                "running": load.running,
                "queued": load.queued,
                "backlog": load.backlog,
                "own": own,
                "breaker": breaker,
                "age": round(now - load.received_at, 1) if heard else None,
            }
        )
    return rows


@shows("held")
def _held(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    rows: Rows = []
    for store in runtime.config.current.stores.values():
        try:
            held = runtime.stores.client(store).held()
        except ExternalSystemError:
            partial.append(f"cannot read store {store.name}")
            continue
        for entry in held:
            customer, model, version = entry.path.split("/")[:3]
            rows.append(
                {"customer": customer, "model": model, "version": version, "store": store.name}
                | {"tier": entry.tier, "blocks": entry.blocks, "size": entry.size}
                | {"idle": round(entry.idle)}
            )
    return rows


@shows("nodes")
def _nodes(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    rows = []
    for member in nodes.membership.members:
        revision = None
        if member.name == nodes.membership.me.name:
            revision = runtime.config.revision
        elif member.status is not Status.DEAD:
            revision = nodes.peers.revision(member.name)
        rows.append(
            {
                "node": member.name,
                "http": member.http,
                "data_centre": member.data_centre,
                "status": member.status.name.lower(),
                "revision": revision,
            }
        )
    return sorted(rows, key=lambda row: str(row["node"]))


@shows("duties")
def _duties(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    try:
        rows = nodes.table.scan(LEASE_PREFIX, LEASE_PREFIX, _MAX_ROWS)
    except ExternalSystemError:
        partial.append("cannot read the platform's table")
        return []
    leases: list[LeaseRow] = [decode_lease(row) for row in rows]
    return [{"duty": x.duty, "holder": x.holder, "fence": x.fence} for x in leases]


@shows("crashes")
def _crashes(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    return [
        {
            "request": held.fingerprint,
            "seconds": round(seconds, 1),
            "targets": " ".join(held.targets),
        }
        for held, seconds in runtime.crashes.held()
    ]


@shows("counters")
def _counters(runtime: Runtime, nodes: Nodes, partial: list[str]) -> Rows:
    totals = sorted(runtime.metrics.totals.items())
    return [{"counter": name, "value": value} for name, value in totals]
