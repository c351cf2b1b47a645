"""Copy views between nodes over HTTP on their peer addresses.

Heartbeats report how far a node has read. A node that copies from it then requests what is new.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar, cast
from urllib.parse import parse_qs, urlencode

import msgspec
import structlog
from fielddrift_core.catalog import Catalog, CatalogCustomer
from fielddrift_core.eras import version_of
from fielddrift_core.evacuations import EvacuationState
from fielddrift_core.neighbours import Neighbour
from fielddrift_core.outside_values import address_of, decoded
from fielddrift_core.store_index import KeptChange
from fielddrift_core.stream_origins import StreamOrigin, VersionSpan
from fielddrift_core.target_registry import Instance

from ..web.client import Client, Timeouts
from ..web.errors import ExchangeError
from ..web.messages import Headers, Reply
from ..web.server import Request, Responder
from .left_out import left_out_values
from .ports import RemoteCallError
from .views import Views

__all__ = [
    "StoreCopyRequest",
    "StoreCopy",
    "OperatorCopy",
    "OriginsCopy",
    "PeerHandler",
    "PeerClient",
    "TargetCopy",
]

_TIMEOUTS = Timeouts(connect=0.2, whole=0.5)
"""A request within a data centre takes some ms."""
_ORIGIN_TIMEOUTS = Timeouts(connect=0.4, whole=0.8)
"""Longer, since a caller waits whose stream is refused without the answer."""
_BOOT = b"node-boot"
"""The header that numbers the process instance which answers."""
_T = TypeVar("_T")
_log = structlog.get_logger()


class OperatorCopy(NamedTuple):
    """A node's copy of the operators' rows, as of row version `row`.

    Nodes of the previous release do not send `evacuations`; None means that they are unknown.
    """

    catalog: Catalog | None
    named: dict[str, int]
    row: int
    evacuations: EvacuationState | None = None


_PREVIOUS_FIELD_COUNT, _PREVIOUS_SERVICE_FIELD_COUNT = 3, 5
"""Number of fields of `OperatorCopy`, and of a `Service` in it, in the previous release."""
_UNKEYED_CATALOG_FIELD_COUNT = 8
"""Number of fields of a `Catalog` without `needs_key`."""
_NO_KEY = ""
"""No request is looked up under the empty key, and no customer holds it."""
_PREVIOUS_INSTANCE_FIELD_COUNT = 8
"""Number of fields of an `Instance` in the previous release."""


def _for_previous_release(copy: OperatorCopy) -> tuple[object, ...]:
    """Return `copy` for a node of the previous release, which rejects arrays with more fields."""
    catalog: object = copy.catalog
    if copy.catalog is not None:
        services = copy.catalog.services.items()
        shortened = {name: service[:_PREVIOUS_SERVICE_FIELD_COUNT] for name, service in services}
        fields = cast(tuple[object, ...], _without_key_policy(copy)[0])
        catalog = (*fields[:2], shortened, *fields[3:])
    return (catalog, *copy[1:_PREVIOUS_FIELD_COUNT])


def _without_key_policy(copy: OperatorCopy) -> tuple[object, ...]:
    """Return `copy` for a node of a release that asks for a key where there is any customer."""
    catalog = copy.catalog
    if catalog is None:
        return copy
    if catalog.needs_key is not False and not catalog.customers:
        catalog = catalog._replace(customers={_NO_KEY: CatalogCustomer(_NO_KEY)})
    return (catalog[:_UNKEYED_CATALOG_FIELD_COUNT], *copy[1:])


class TargetCopy(NamedTuple):
    """A node's copy of the target entries, as of row version `row`.

    `lapsed` maps targets, whose entries expired while the store did not answer, to the seconds for
    which the node still uses them.
    """

    entries: tuple[Instance, ...]
    leaving: tuple[str, ...]
    row: int
    serial: int
    lapsed: dict[str, float] = {}


def _without_software(copy: TargetCopy) -> tuple[object, ...]:
    """Return `copy` for a node of the previous release, which rejects entries with more fields."""
    return (tuple(entry[:_PREVIOUS_INSTANCE_FIELD_COUNT] for entry in copy.entries), *copy[1:])


class StoreCopyRequest(NamedTuple):
    """How far a node has copied a store host's view; `life` is None if it has no copy."""

    store: str
    life: int | None
    following: int


class StoreCopy(NamedTuple):
    """A node's copy of a store host's view: the `changes` since the requested number.

    `held` lists all parts as (salt, part, tokens) if the changes are not known, else it is None.
    `clock` is the engines' clock in ms at the time of the answer.
    """

    store: str
    life: int
    following: int
    clock: int | None
    changes: tuple[KeptChange, ...] = ()
    held: tuple[tuple[str, str, int], ...] | None = None


class OriginsCopy(NamedTuple):
    """The origins of streams that a node knows.

    `is_expected` is False if another process answered than the one that was asked: one that has
    started at the same address knows nothing of what the former one began.
    """

    origins: list[StreamOrigin]
    is_expected: bool


class PeerHandler:
    """Answers the requests of other nodes for views; `boot` numbers this process instance."""

    def __init__(self, *, views: Views, boot: int | None = None) -> None:
        self._views = views
        self._fields = Headers() if boot is None else Headers([(_BOOT, b"%d" % boot)])
        self._answers: dict[str, Callable[[list[str]], object]] = {
            "/views/operators": self._operators,
            "/views/targets": self._targets,
            "/views/kept": self._kept,
            "/views/origins": self._origins,
            "/views/software": self._software,
        }
        """Requests of the previous release have no `marks` parameter, as it does not know eras."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        path, _, query = request.head.target.decode("latin-1").partition("?")
        answer = self._answers.get(path)
        if answer is None:
            responder.send(404, Headers(), f"{path}: no such view".encode())
            return
        try:
            view = answer(parse_qs(query).get("of", []))
            if "marks" not in query and isinstance(view, OperatorCopy | TargetCopy):
                view = view._replace(row=version_of(view.row))
            if "evacuations" not in query and isinstance(view, OperatorCopy):
                view = _for_previous_release(view)
            elif "keys" not in query and isinstance(view, OperatorCopy):
                view = _without_key_policy(view)
            if "software" not in query and isinstance(view, TargetCopy):
                view = _without_software(view)
        except ValueError as error:
            responder.send(400, Headers(), str(error).encode())
            return
        responder.send(200, self._fields, msgspec.msgpack.encode(view))

    def _operators(self, _: list[str]) -> OperatorCopy:
        views = self._views
        evacuations = views.evacuations.state(asyncio.get_running_loop().time())
        return OperatorCopy(views.catalog, dict(views.named), views.operators_row, evacuations)

    def _targets(self, _: list[str]) -> TargetCopy:
        registry = self._views.registry
        return TargetCopy(
            entries=tuple(registry.all()),
            leaving=tuple(registry.leaving()),
            row=self._views.targets_row,
            serial=registry.serial,
            lapsed=registry.lapsed(asyncio.get_running_loop().time()),
        )

    def _origins(self, keys: list[str]) -> list[StreamOrigin]:
        now = asyncio.get_running_loop().time()
        found = [self._views.origins.find(key, now) for key in keys]
        self._views.detect_pause(now)
        if self._views.stale.is_set() and None in found:
            raise ValueError("this node was paused and may not have read what was sent to it")
        return [origin._replace(until=origin.until - now) for origin in found if origin is not None]

    def _software(self, _: list[str]) -> dict[str, dict[str, VersionSpan]]:
        """Return the software versions by service, with ages in place of times."""
        versions = self._views.software_versions
        if not versions.is_history_known:
            raise ValueError("the versions that served earlier are not known yet")
        now = asyncio.get_running_loop().time()
        return {
            service: {
                name: VersionSpan(now - span.first, now - span.last) for name, span in found.items()
            }
            for service, found in versions.spans().items()
        }

    def _kept(self, requests: list[str]) -> list[StoreCopy]:
        clock = self._views.to_engine_clock(asyncio.get_running_loop().time())
        copies = [self._store_copy(_parse_store_request(text), clock) for text in requests]
        return [copy for copy in copies if copy is not None]

    def _store_copy(self, request: StoreCopyRequest, clock: int | None) -> StoreCopy | None:
        view = self._views.store_index.view(request.store)
        if view is None or view.life is None:
            return None
        copy = StoreCopy(request.store, view.life, view.following, clock)
        changes = view.changes_since(request.following) if request.life == view.life else None
        if changes is not None:
            return copy._replace(changes=changes)
        held = tuple((salt, part, tokens) for (salt, part), tokens in view.held.items())
        return copy._replace(held=held)


def _parse_store_request(text: str) -> StoreCopyRequest:
    """Parse a request for a store's view; raise `ValueError` if `text` is malformed."""
    fields = text.split("/")
    if len(fields) != 3:
        raise ValueError(f"{text!r}: expected STORE/LIFE/NUMBER")
    store, life, following = fields
    return StoreCopyRequest(store, int(life) if life else None, int(following))


def _format_store_request(request: StoreCopyRequest) -> str:
    return f"{request.store}/{'' if request.life is None else request.life}/{request.following}"


class PeerClient:
    """Requests views from other nodes; all methods raise `RemoteCallError`."""

    def __init__(self, *, client: Client) -> None:
        self._client = client

    async def operators(self, node: Neighbour) -> OperatorCopy:
        """Return the operators' rows of `node`."""
        path = "/views/operators?marks=era&evacuations=all&keys=all"
        copy = await self._get(node, path, OperatorCopy)
        catalog = copy.catalog
        if catalog is not None and catalog.needs_key is None and catalog.customers:
            copy = copy._replace(catalog=catalog._replace(needs_key=True))
        return copy

    async def targets(self, node: Neighbour) -> TargetCopy:
        """Return the target entries of `node`."""
        copy = await self._get(node, "/views/targets?marks=era&software=all", TargetCopy)
        # A node of the previous release does not check the addresses that it reads.
        usable = [entry for entry in copy.entries if _has_address(node, entry)]
        return copy._replace(entries=tuple(usable))

    async def kept(self, node: Neighbour, requests: Sequence[StoreCopyRequest]) -> list[StoreCopy]:
        """Return the requested store views, as far as `node` has them."""
        query = urlencode([("of", _format_store_request(request)) for request in requests])
        return await self._get(node, f"/views/kept?{query}", list[StoreCopy])

    async def origins(self, node: Neighbour, keys: Sequence[str]) -> OriginsCopy:
        """Return the origins of the streams `keys` that `node` knows."""
        query = urlencode([("of", key) for key in keys])
        path = f"/views/origins?{query}"
        reply = await self._ask(node, path, timeouts=_ORIGIN_TIMEOUTS)
        # Nodes of the previous release do not tell their process.
        boot = reply.head.headers.text(_BOOT)
        origins = _decode(node, reply, list[StreamOrigin])
        return OriginsCopy(origins, is_expected=boot in ("", str(node.boot)))

    async def software_versions(self, node: Neighbour) -> dict[str, dict[str, VersionSpan]]:
        """Return the software versions that `node` has seen, with ages in seconds, by service."""
        return await self._get(node, "/views/software", dict[str, dict[str, VersionSpan]])

    async def _get(self, node: Neighbour, path: str, kind: type[_T]) -> _T:
        return _decode(node, await self._ask(node, path), kind)

    async def _ask(self, node: Neighbour, path: str, *, timeouts: Timeouts = _TIMEOUTS) -> Reply:
        request = f"GET {path} HTTP/1.1\r\nHost: {node.peer}\r\n\r\n".encode("ascii")
        try:
            reply = await self._client.call(node.peer, request, timeouts=timeouts)
        except ExchangeError as error:
            if error.reason == "timeout":
                # Connections often fail together, so the next node is asked over a new connection.
                self._client.close()
            detail = f"node {node.name}: {error}"
            raise RemoteCallError(detail, refused=error.refused) from None
        if reply.head.status != 200:
            raise RemoteCallError(f"node {node.name}: status {reply.head.status}")
        return reply


def _has_address(node: Neighbour, entry: Instance) -> bool:
    field, address = f"address of {entry.target}", entry.address
    return left_out_values.read("copy", node.name, field, address, address_of) is not None


def _decode(node: Neighbour, reply: Reply, kind: type[_T]) -> _T:
    """Return the view in a reply of `node`; raise `RemoteCallError` if it is malformed."""
    try:
        return decoded(msgspec.msgpack.Decoder(kind), reply.body)
    except msgspec.DecodeError as error:
        raise RemoteCallError(f"node {node.name}: not understood: {error}") from None
