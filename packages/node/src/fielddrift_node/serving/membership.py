"""Keep this node listed among all nodes, and know those that are listed."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import structlog
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.silent_rows import SilentRows

from .gossip import Gossip
from .ports import Platform, RemoteCallError, RowWrite, SavedRow
from .settings import NodeSettings

__all__ = ["Membership"]

TABLE = "members"
_JOIN_REST_SECONDS = 0.5
_LOOK_SECONDS = 120.0
"""Rest between looks at the list, for the node that looks on behalf of its data centre."""
_LOOK_SECONDS_A_NODE = 30.0
"""The same for each live node, for the others: together they look about twice a minute."""
_LOOK_SPREAD = 1.2
"""Rests differ by up to this factor, so that nodes that start together look apart."""
_MOST_WRITES = 40
"""Writes of one call, each under a condition: the platform takes 100 entries a call."""

_log = structlog.get_logger()


class _MemberRow(NamedTuple):
    node: Neighbour


class Membership:
    """This node's place among all nodes, which are listed in the platform's table.

    Each node looks at the list now and then.  It adds itself and those that it hears where
    they are missing, so one that was cut off for long, and dropped and forgotten by the
    others, is listed and greeted again.  The first active node of a data centre drops its
    rows that are long silent.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        platform: Platform,
        neighbours: Neighbours,
        gossip: Gossip,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._neighbours = neighbours
        self._gossip = gossip
        self._rng = rng
        self._silent_rows = SilentRows()
        self._joined_at = float("inf")
        self._store_restored = asyncio.Event()

    def mark_store_restored(self) -> None:
        """Take that the store went back: the first node nearby mends the list at once."""
        if self._neighbours.is_local_coordinator(asyncio.get_running_loop().time()):
            self._store_restored.set()

    @property
    def joined_at(self) -> float:
        """Return when this node had read the list first, on the loop's clock."""
        return self._joined_at

    async def run(self) -> None:
        """Join, then look at the list now and then, until cancelled."""
        if self._joined_at == float("inf"):
            await self._join()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._rest()):
                    await self._store_restored.wait()
            self._store_restored.clear()
            try:
                await self._look()
            except RemoteCallError as error:
                _log.warning("list of nodes not read", error=str(error))

    async def _join(self) -> None:
        """Write this node's row, and greet the nodes that are listed."""
        for seed in self._settings.seeds:
            host = seed.rpartition(":")[0]
            if host != self._settings.host:
                self._gossip.send_to_addresses([f"{host}:{self._settings.gossip_port}"])
        while True:
            try:
                await self._platform.write(TABLE, [_write(self._neighbours.me)])
                rows, _ = await self._platform.rows(TABLE)
                break
            except RemoteCallError as error:
                _log.warning("not joined yet", error=str(error))
                await asyncio.sleep(_JOIN_REST_SECONDS)
        self._introduce(rows)
        self._joined_at = asyncio.get_running_loop().time()
        _log.info("joined", listed=len(rows))

    def _rest(self) -> float:
        now = asyncio.get_running_loop().time()
        nodes = (
            1
            if self._neighbours.is_local_coordinator(now)
            else 1 + len(self._neighbours.alive(now))
        )
        rest = max(_LOOK_SECONDS, nodes * _LOOK_SECONDS_A_NODE)
        return rest * self._rng.uniform(1.0, _LOOK_SPREAD)

    async def _look(self) -> None:
        """Read the list, and mend it: add nodes that live, and drop those long silent."""
        rows, _ = await self._platform.rows(TABLE)
        now = asyncio.get_running_loop().time()
        me = self._neighbours.me
        alive = {node.name: node for node in self._neighbours.alive(now)}
        self._introduce(rows)
        others = {saved.key: saved.version for saved in rows if saved.key != me.name}
        self._silent_rows.look(others, self._heard_of(others, rows, alive))
        listed = {saved.key for saved in rows}
        missing = [node for name, node in {**alive, me.name: me}.items() if name not in listed]
        first = self._neighbours.is_local_coordinator(now)
        gone = self._silent_rows.left_behind() if first else {}
        await self._mend(missing, gone)

    def _heard_of(
        self, others: Mapping[str, int], rows: list[SavedRow], alive: Mapping[str, Neighbour]
    ) -> set[str]:
        """Return whose rows must stay: of other data centres only the relays are heard."""
        mine = self._neighbours.me.data_centre
        centres = {node.data_centre for node in alive.values()} - {mine}
        far = {n.name for n in _nodes(rows) if n.data_centre in centres and n.name in others}
        return far | alive.keys()

    async def _mend(self, missing: list[Neighbour], gone: Mapping[str, int]) -> None:
        # Under the versions that were read, for a node that starts just now writes its own row.
        writes = [_write(node, expect=0) for node in missing]
        writes += [RowWrite(name, None, version) for name, version in gone.items()]
        if not writes:
            return
        writes = writes[:_MOST_WRITES]
        outcome = await self._platform.write(TABLE, writes)
        _log.info(
            "list of nodes mended",
            done=outcome.done,
            added=[write.key for write in writes if write.value is not None],
            removed=[write.key for write in writes if write.value is None],
        )

    def _introduce(self, rows: list[SavedRow]) -> None:
        for node in _nodes(rows):
            self._neighbours.add(node)


def _nodes(rows: list[SavedRow]) -> list[Neighbour]:
    """Return the nodes that are listed; rows that are not understood name none."""
    found = []
    for saved in rows:
        try:
            found.append(msgspec.json.decode(saved.value, type=_MemberRow).node)
        except msgspec.DecodeError as error:
            _log.error("member row not understood", row=saved.key, error=str(error))
    return found


def _write(node: Neighbour, *, expect: int | None = None) -> RowWrite:
    return RowWrite(node.name, msgspec.json.encode(_MemberRow(node)), expect)
