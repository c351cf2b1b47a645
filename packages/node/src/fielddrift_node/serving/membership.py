"""Keep this node listed among all nodes, and know those that are listed."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import msgspec
import structlog
from fielddrift_core.neighbours import Neighbour, Neighbours

from .gossip import Gossip
from .ports import OutOfReach, Platform, RowWrite
from .settings import NodeSettings

__all__ = ["Membership"]

TABLE = "members"
_JOIN_REST_SECONDS = 0.5

_log = structlog.get_logger()


class _MemberRow(NamedTuple):
    node: Neighbour


class Membership:
    """This node's place among all nodes, which are listed in the platform's table."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        platform: Platform,
        neighbours: Neighbours,
        gossip: Gossip,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._neighbours = neighbours
        self._gossip = gossip
        self._joined_at = float("inf")

    @property
    def joined_at(self) -> float:
        """Return when this node had read the list first, on the loop's clock."""
        return self._joined_at

    async def run(self) -> None:
        """Write this node's row, and greet the nodes that are listed."""
        for seed in self._settings.seeds:
            host = seed.rpartition(":")[0]
            if host != self._settings.host:
                self._gossip.greet([f"{host}:{self._settings.gossip_port}"])
        me = self._neighbours.me
        row = RowWrite(me.name, msgspec.json.encode(_MemberRow(me)))
        while True:
            try:
                await self._platform.write(TABLE, [row])
                rows, _ = await self._platform.rows(TABLE)
                break
            except OutOfReach as error:
                _log.warning("not joined yet", error=str(error))
                await asyncio.sleep(_JOIN_REST_SECONDS)
        for saved in rows:
            try:
                node = msgspec.json.decode(saved.value, type=_MemberRow).node
            except msgspec.DecodeError as error:
                _log.error("member row not understood", row=saved.key, error=str(error))
                continue
            self._neighbours.introduce(node)
        self._joined_at = asyncio.get_running_loop().time()
        _log.info("joined", listed=len(rows))
