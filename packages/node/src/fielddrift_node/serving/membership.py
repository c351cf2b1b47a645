"""Keep this node listed in the platform's table of nodes, and discover the nodes listed there."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import structlog
from fielddrift_core.heartbeat import check_addresses
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.outside_values import ValueOutOfRange, decoded
from fielddrift_core.silent_rows import SilentRows

from .gossip import Gossip
from .left_out import left_out_values
from .ports import Platform, RemoteCallError, RowWrite, SavedRow
from .settings import NodeSettings

__all__ = ["Membership"]

TABLE = "members"
_JOIN_RETRY_SECONDS = 0.5
_CHECK_SECONDS = 120.0
"""Interval between reads of the list by the node that acts for its data centre."""
_CHECK_SECONDS_PER_NODE = 30.0
"""The same per live node, for all other nodes: together they read about twice a minute."""
_CHECK_JITTER_FACTOR = 1.2
"""Maximum random factor on intervals, so that nodes that start together do not read together."""
_MAX_WRITE_COUNT = 40
"""Conditional writes per call; the platform accepts 100 entries per call."""

_log = structlog.get_logger()


class _MemberRow(NamedTuple):
    node: Neighbour


_MEMBER = msgspec.json.Decoder(_MemberRow)


class Membership:
    """Registers this node in the platform's table and reads the other nodes from it.

    Each node reads the list periodically and adds itself and the live nodes that are missing. A
    node that was disconnected for long, and removed by the others, is thus listed and contacted
    again. The coordinator of a data centre removes the rows of its nodes that have been silent for
    long.
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
        """Handle a store restored from a backup: the data centre's coordinator repairs the list at
        once."""
        if self._neighbours.is_local_coordinator(asyncio.get_running_loop().time()):
            self._store_restored.set()

    @property
    def joined_at(self) -> float:
        """Return when this node first read the list, on the event loop's clock."""
        return self._joined_at

    async def run(self) -> None:
        """Join, then read the list periodically, until cancelled."""
        if self._joined_at == float("inf"):
            await self._join()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._check_delay()):
                    await self._store_restored.wait()
            self._store_restored.clear()
            try:
                await self._check()
            except RemoteCallError as error:
                _log.warning("list of nodes not read", error=str(error))

    async def _join(self) -> None:
        """Write this node's row, and discover the nodes that are listed."""
        for seed in self._settings.seeds:
            host = seed.rpartition(":")[0]
            if host != self._settings.host:
                self._gossip.send_to_addresses([f"{host}:{self._settings.gossip_port}"])
        while True:
            try:
                await self._platform.write(TABLE, [_node_write(self._neighbours.me)])
                rows, _ = await self._platform.rows(TABLE)
                break
            except RemoteCallError as error:
                _log.warning("not joined, retrying", error=str(error))
                await asyncio.sleep(_JOIN_RETRY_SECONDS)
        self._add_nodes(rows)
        self._joined_at = asyncio.get_running_loop().time()
        _log.info("joined", listed=len(rows))

    def _check_delay(self) -> float:
        now = asyncio.get_running_loop().time()
        nodes = (
            1
            if self._neighbours.is_local_coordinator(now)
            else 1 + len(self._neighbours.alive(now))
        )
        interval = max(_CHECK_SECONDS, nodes * _CHECK_SECONDS_PER_NODE)
        return interval * self._rng.uniform(1.0, _CHECK_JITTER_FACTOR)

    async def _check(self) -> None:
        """Read the list and repair it: add missing live nodes, remove nodes silent for long."""
        rows, _ = await self._platform.rows(TABLE)
        now = asyncio.get_running_loop().time()
        me = self._neighbours.me
        alive = {node.name: node for node in self._neighbours.alive(now)}
        self._add_nodes(rows)
        others = {saved.key: saved.version for saved in rows if saved.key != me.name}
        self._silent_rows.check(others, self._nodes_to_keep(others, rows, alive))
        listed = {saved.key for saved in rows}
        missing = [node for name, node in {**alive, me.name: me}.items() if name not in listed]
        is_coordinator = self._neighbours.is_local_coordinator(now)
        obsolete = self._silent_rows.abandoned() if is_coordinator else {}
        await self._repair(missing, obsolete)

    def _nodes_to_keep(
        self, others: Mapping[str, int], rows: list[SavedRow], alive: Mapping[str, Neighbour]
    ) -> set[str]:
        """Return the nodes whose rows must stay. Only relays of other data centres send heartbeats
        here, so all nodes of a data centre that is heard from are included."""
        own_data_centre = self._neighbours.me.data_centre
        reachable = {node.data_centre for node in alive.values()} - {own_data_centre}
        remote = {
            n.name for n in _decode_nodes(rows) if n.data_centre in reachable and n.name in others
        }
        return remote | alive.keys()

    async def _repair(self, missing: list[Neighbour], obsolete: Mapping[str, int]) -> None:
        # Conditional on the versions read, because a node that is just starting writes its own row.
        writes = [_node_write(node, expect=0) for node in missing]
        writes += [RowWrite(name, None, version) for name, version in obsolete.items()]
        if not writes:
            return
        writes = writes[:_MAX_WRITE_COUNT]
        outcome = await self._platform.write(TABLE, writes)
        _log.info(
            "list of nodes mended",
            done=outcome.done,
            added=[write.key for write in writes if write.value is not None],
            removed=[write.key for write in writes if write.value is None],
        )

    def _add_nodes(self, rows: list[SavedRow]) -> None:
        for node in _decode_nodes(rows):
            self._neighbours.add(node)


def _decode_nodes(rows: list[SavedRow]) -> list[Neighbour]:
    """Return the nodes that are listed; rows that cannot be decoded are skipped."""
    nodes = []
    for saved in rows:
        try:
            node = decoded(_MEMBER, saved.value).node
            check_addresses(node)
        except (msgspec.DecodeError, ValueOutOfRange) as error:
            left_out_values.note("member row", saved.key, error, version=saved.version)
        else:
            nodes.append(node)
    return nodes


def _node_write(node: Neighbour, *, expect: int | None = None) -> RowWrite:
    return RowWrite(node.name, msgspec.json.encode(_MemberRow(node)), expect)
