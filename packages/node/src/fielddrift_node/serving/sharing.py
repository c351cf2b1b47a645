"""Hand views on between the nodes of a data centre.

A node tells in its heartbeats how far it has read; another that relies on it
fetches what is new over the peers' address.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar
from urllib.parse import parse_qs, urlencode

import msgspec
import structlog
from fielddrift_core.catalog import Catalog
from fielddrift_core.eras import version_of
from fielddrift_core.evacuations import EvacuationState
from fielddrift_core.neighbours import Neighbour
from fielddrift_core.store_index import KeptChange
from fielddrift_core.target_registry import Instance

from ..web.client import Client, ExchangeError, Timeouts
from ..web.messages import Headers
from ..web.server import Request, Responder
from .ports import RemoteCallError
from .views import Views

__all__ = ["KeptAsk", "KeptCopy", "OperatorCopy", "PeerHandler", "Peers", "TargetCopy"]

_FETCH = Timeouts(connect=0.2, whole=0.5)
"""A fetch within a data centre takes some ms."""
_T = TypeVar("_T")
_log = structlog.get_logger()


class OperatorCopy(NamedTuple):
    """What a node has of the operators' rows, as of row version `row`.

    The release before knows no `evacuations`: None says that nothing is known of them.
    """

    catalog: Catalog | None
    named: dict[str, int]
    row: int
    evacuations: EvacuationState | None = None


_FORMER_FIELDS, _FORMER_SERVICE_FIELDS = 3, 5
"""Fields of an `OperatorCopy`, and of a `Service` in it, that the release before knows."""


def _former(copy: OperatorCopy) -> tuple[object, ...]:
    """Return `copy` as the release before understands it, which refuses longer arrays."""
    catalog: object = copy.catalog
    if copy.catalog is not None:
        services = copy.catalog.services.items()
        former = {name: service[:_FORMER_SERVICE_FIELDS] for name, service in services}
        catalog = (*copy.catalog[:2], former, *copy.catalog[3:])
    return (catalog, *copy[1:_FORMER_FIELDS])


class TargetCopy(NamedTuple):
    """What a node has of the targets, as of row version `row`.

    `lapsed` gives the seconds for which it still holds entries that ended unseen
    while the store gave it no answer.
    """

    entries: tuple[Instance, ...]
    leaving: tuple[str, ...]
    row: int
    serial: int
    lapsed: dict[str, float] = {}


class KeptAsk(NamedTuple):
    """How far a node has copied a store host; `life` None when it has nothing."""

    store: str
    life: int | None
    following: int


class KeptCopy(NamedTuple):
    """What a node has of a store host: `changes` since the number asked from.

    `held` is everything, as (salt, part, tokens), where the changes are not
    known; else None.  `clock` is the engines' clock in ms when it was given.
    """

    store: str
    life: int
    following: int
    clock: int | None
    changes: tuple[KeptChange, ...] = ()
    held: tuple[tuple[str, str, int], ...] | None = None


class PeerHandler:
    """Answer other nodes that ask for views."""

    def __init__(self, *, views: Views) -> None:
        self._views = views
        self._answers: dict[str, Callable[[list[str]], object]] = {
            "/views/operators": self._operators,
            "/views/targets": self._targets,
            "/views/kept": self._kept,
        }
        """Questions of the release before have no `marks`: it knows no eras."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one question."""
        path, _, query = request.head.target.decode("latin-1").partition("?")
        answer = self._answers.get(path)
        if answer is None:
            responder.send(404, Headers(), f"{path}: no such view".encode())
            return
        try:
            found = answer(parse_qs(query).get("of", []))
            if "marks" not in query and isinstance(found, OperatorCopy | TargetCopy):
                found = found._replace(row=version_of(found.row))
            if "evacuations" not in query and isinstance(found, OperatorCopy):
                found = _former(found)
        except ValueError as error:
            responder.send(400, Headers(), str(error).encode())
            return
        responder.send(200, Headers(), msgspec.msgpack.encode(found))

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

    def _kept(self, asked: list[str]) -> list[KeptCopy]:
        clock = self._views.until(asyncio.get_running_loop().time())
        copies = [self._kept_copy(_kept_ask(text), clock) for text in asked]
        return [copy for copy in copies if copy is not None]

    def _kept_copy(self, ask: KeptAsk, clock: int | None) -> KeptCopy | None:
        view = self._views.store_index.view(ask.store)
        if view is None or view.life is None:
            return None
        copy = KeptCopy(ask.store, view.life, view.following, clock)
        changes = view.changes_since(ask.following) if ask.life == view.life else None
        if changes is not None:
            return copy._replace(changes=changes)
        held = tuple((salt, part, tokens) for (salt, part), tokens in view.held.items())
        return copy._replace(held=held)


def _kept_ask(text: str) -> KeptAsk:
    """Return the question in `text`; raise `ValueError` when it is none."""
    fields = text.split("/")
    if len(fields) != 3:
        raise ValueError(f"{text!r}: expected STORE/LIFE/NUMBER")
    store, life, following = fields
    return KeptAsk(store, int(life) if life else None, int(following))


def _kept_text(ask: KeptAsk) -> str:
    return f"{ask.store}/{'' if ask.life is None else ask.life}/{ask.following}"


class Peers:
    """Ask other nodes for views; raise `RemoteCallError`."""

    def __init__(self, *, client: Client) -> None:
        self._client = client

    async def operators(self, node: Neighbour) -> OperatorCopy:
        """Return what `node` has of the operators' rows."""
        return await self._get(node, "/views/operators?marks=era&evacuations=all", OperatorCopy)

    async def targets(self, node: Neighbour) -> TargetCopy:
        """Return what `node` has of the targets."""
        return await self._get(node, "/views/targets?marks=era", TargetCopy)

    async def kept(self, node: Neighbour, asked: Sequence[KeptAsk]) -> list[KeptCopy]:
        """Return what `node` has of the store hosts that are asked for, as far as it knows."""
        query = urlencode([("of", _kept_text(ask)) for ask in asked])
        return await self._get(node, f"/views/kept?{query}", list[KeptCopy])

    async def _get(self, node: Neighbour, path: str, kind: type[_T]) -> _T:
        request = f"GET {path} HTTP/1.1\r\nHost: {node.peer}\r\n\r\n".encode("ascii")
        try:
            reply = await self._client.call(node.peer, request, timeouts=_FETCH)
        except ExchangeError as error:
            if error.reason == "timeout":
                # Paths fall silent together: the next neighbour is asked over a new connection.
                self._client.close()
            raise RemoteCallError(f"node {node.name}: {error}") from None
        if reply.head.status != 200:
            raise RemoteCallError(f"node {node.name}: status {reply.head.status}")
        try:
            return msgspec.msgpack.decode(reply.body, type=kind)
        except msgspec.DecodeError as error:
            raise RemoteCallError(f"node {node.name}: not understood: {error}") from None
