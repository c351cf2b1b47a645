"""Hand views on between the nodes of a data centre.

A node tells in its beats how far it has read; another that relies on it
fetches what is new over the peers' address.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, TypeVar
from urllib.parse import parse_qs

import msgspec
import structlog
from fielddrift_core.catalog import Catalog
from fielddrift_core.neighbours import Neighbour
from fielddrift_core.roster import Instance

from ..web.client import Client, ExchangeError, Timeouts
from ..web.messages import Headers
from ..web.server import Request, Responder
from .ports import OutOfReach
from .views import Views

__all__ = ["KeptCopy", "OperatorCopy", "PeerDoor", "Peers", "TargetCopy"]

_FETCH = Timeouts(connect=0.2, whole=0.5)
"""A fetch within a data centre takes some ms."""
_T = TypeVar("_T")
_log = structlog.get_logger()


class OperatorCopy(NamedTuple):
    """What a node has of the operators' rows, as of row version `row`."""

    catalog: Catalog | None
    named: dict[str, int]
    row: int


class TargetCopy(NamedTuple):
    """What a node has of the targets, as of row version `row`."""

    entries: tuple[Instance, ...]
    leaving: tuple[str, ...]
    row: int
    serial: int


class KeptCopy(NamedTuple):
    """What a node has of one store host: (salt, part, tokens) of each kept part.

    `clock` is the engines' clock in ms when the answer was given.
    """

    life: int | None
    following: int
    held: tuple[tuple[str, str, int], ...]
    clock: int | None


class PeerDoor:
    """Answer other nodes that ask for views."""

    def __init__(self, *, views: Views) -> None:
        self._views = views
        self._answers: dict[str, Callable[[str], object | None]] = {
            "/views/operators": self._operators,
            "/views/targets": self._targets,
            "/views/kept": self._kept,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one question."""
        path, _, query = request.head.target.decode("latin-1").partition("?")
        answer = self._answers.get(path)
        found = answer(parse_qs(query).get("of", [""])[0]) if answer is not None else None
        if found is None:
            responder.send(404, Headers(), b"")
            return
        responder.send(200, Headers(), msgspec.msgpack.encode(found))

    def _operators(self, _: str) -> OperatorCopy:
        views = self._views
        return OperatorCopy(views.catalog, dict(views.named), views.operators_row)

    def _targets(self, _: str) -> TargetCopy:
        roster = self._views.roster
        leaving = tuple(roster.leaving())
        return TargetCopy(tuple(roster.all()), leaving, self._views.targets_row, roster.serial)

    def _kept(self, store: str) -> KeptCopy | None:
        view = self._views.shelf.view(store)
        if view is None:
            return None
        held = tuple((salt, part, tokens) for (salt, part), tokens in view.held.items())
        clock = self._views.until(asyncio.get_running_loop().time())
        return KeptCopy(view.life, view.following, held, clock)


class Peers:
    """Ask other nodes for views; raise `OutOfReach`."""

    def __init__(self, *, client: Client) -> None:
        self._client = client

    async def operators(self, node: Neighbour) -> OperatorCopy:
        """Return what `node` has of the operators' rows."""
        return await self._get(node, "/views/operators", OperatorCopy)

    async def targets(self, node: Neighbour) -> TargetCopy:
        """Return what `node` has of the targets."""
        return await self._get(node, "/views/targets", TargetCopy)

    async def kept(self, node: Neighbour, store: str) -> KeptCopy:
        """Return what `node` has of a store host."""
        return await self._get(node, f"/views/kept?of={store}", KeptCopy)

    async def _get(self, node: Neighbour, path: str, kind: type[_T]) -> _T:
        request = f"GET {path} HTTP/1.1\r\nHost: {node.peer}\r\n\r\n".encode("ascii")
        try:
            reply = await self._client.call(node.peer, request, timeouts=_FETCH)
        except ExchangeError as error:
            raise OutOfReach(f"node {node.name}: {error}") from None
        if reply.head.status != 200:
            raise OutOfReach(f"node {node.name}: status {reply.head.status}")
        try:
            return msgspec.msgpack.decode(reply.body, type=kind)
        except msgspec.DecodeError as error:
            raise OutOfReach(f"node {node.name}: not understood: {error}") from None
