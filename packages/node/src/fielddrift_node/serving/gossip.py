"""Exchange heartbeats, crash updates and origins of streams with other nodes by UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import IntEnum
from functools import lru_cache
from typing import Protocol, cast

import msgspec
import structlog
from fielddrift_core.crashes import CrashUpdate
from fielddrift_core.heartbeat import check_addresses
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Relation
from fielddrift_core.outside_values import ValueOutOfRange, address_parts, decoded
from fielddrift_core.stream_origins import StreamOrigin

from .datagrams import DatagramSocket
from .left_out import left_out_values

__all__ = ["CrashListener", "Gossip", "Scope"]

_TICK_SECONDS = 0.05
_STANDBY_TICK_SECONDS = 0.25
"""Tick interval of a standby node. Its heartbeats are at least 1 s apart, and checking which are
due accounts for much of the CPU time in a large fleet, where most nodes are on standby."""
_STANDBY_RECEIVE_SECONDS = 0.1
"""Interval at which a standby node receives heartbeats, some seven at a time; each takes a
quarter of the processor time then. It is far below the silence after which a node counts as dead,
and below the age at which any row is stale."""
_BATCH_AFTER_SECONDS = 3.0
"""Time on standby after which a node does so; the active nodes change most after a start."""
_MIN_UPDATE_DELAY_SECONDS = 0.02
"""Minimum delay before a heartbeat that is sent because of a state change."""
_UPDATE_PERIOD_FRACTION = 0.3
"""Minimum interval between such heartbeats, as a fraction of the regular heartbeat period."""
_STANDBY_FORWARD_SECONDS = 2.0
"""Interval at which standby nodes get heartbeats of other data centres. They need them to refer
callers to those nodes when their own data centre has no active node."""
_MAX_DATAGRAM_BYTES = 1400
"""Largest datagram that fits into one packet."""
_MAX_UDP_BYTES = 65_507
"""Largest datagram of UDP over IPv4."""

_ADDRESS_CACHE_SIZE = 1024
"""Addresses that are kept in parsed form: those of a large fleet."""

_UNKNOWN_RELATION = Relation(near=False, self_active=False, peer_active=False)
"""Relation to a node about which nothing is known yet."""

_CRASH_UPDATE_MARKER = b"\xc1"
"""First byte of a datagram with a crash update. MessagePack does not use this byte, so no heartbeat
starts with it."""

_ORIGINS_MARKER = b"\xc0"
"""First byte of a datagram with origins of streams. Heartbeats are arrays, which start with
another byte."""

_log = structlog.get_logger()


class OriginListener(Protocol):
    """Receives origins of streams, and sends those that a newly discovered node should hold."""

    def heard(self, origins: Sequence[StreamOrigin]) -> None:
        """Record origins from another node."""

    def send_recent(self, node: Neighbour) -> None:
        """Send the origins that a node which was just discovered or restarted should hold."""


class CrashListener(Protocol):
    """Receives crash updates, and sends the recorded crashes to newly discovered nodes."""

    def heard(self, update: CrashUpdate) -> None:
        """Apply an update from another node."""

    def send_recent(self, node: Neighbour) -> None:
        """Send the recent crash updates to a node that was just discovered or restarted."""


class Scope(IntEnum):
    """Which nodes a state change is sent to, from the fewest to the most."""

    ACTIVE_LOCAL = 0
    LOCAL = 1
    ALL = 2


class Gossip(asyncio.DatagramProtocol):
    """Send this node's heartbeats, and forward those from other data centres."""

    def __init__(
        self,
        *,
        neighbours: Neighbours,
        heartbeat: Callable[[Relation], Heartbeat],
        heard: Callable[[Heartbeat], None],
        crashes: CrashListener | None = None,
        origins: OriginListener | None = None,
    ) -> None:
        self._neighbours = neighbours
        self._heartbeat = heartbeat
        self._heard = heard
        self._crashes = crashes
        self._origins = origins
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: DatagramSocket | None = None
        self._active_at = self._loop.time()
        """When this node was last active, or started."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        self._crash_decoder = msgspec.msgpack.Decoder(CrashUpdate)
        self._origins_decoder = msgspec.msgpack.Decoder(list[StreamOrigin])
        self._update_timer: asyncio.TimerHandle | None = None
        self._update_sent_at = float("-inf")
        self._scope = Scope.ACTIVE_LOCAL
        self._forwarded_at: dict[str, float] = {}
        """When each remote node's heartbeat was last forwarded to standby nodes."""

    async def start(self, host: str, port: int) -> None:
        """Bind the UDP socket and start receiving datagrams."""
        self._socket = await DatagramSocket.bind(host, port, protocol=self)

    async def run(self) -> None:
        """Send heartbeats when they are due, until cancelled."""
        while True:
            now = self._loop.time()
            self._send(self._neighbours.due(now))
            active = self._neighbours.is_active(now)
            self._choose_reception(now, active)
            await asyncio.sleep(_TICK_SECONDS if active else _STANDBY_TICK_SECONDS)

    def _choose_reception(self, now: float, active: bool) -> None:
        """Receive several heartbeats at a time while this node has been on standby for some time.

        A node that has just started, or lost its role, may become active at any moment.
        """
        if active:
            self._active_at = now
        if self._socket is not None:
            batched = now - self._active_at > _BATCH_AFTER_SECONDS
            self._socket.receive_every(_STANDBY_RECEIVE_SECONDS if batched else 0.0)

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._update_timer is not None:
            self._update_timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def schedule_update(self, scope: Scope = Scope.LOCAL) -> None:
        """Schedule a heartbeat with a state change to the nodes in `scope`."""
        self._scope = max(self._scope, scope)
        if self._update_timer is None:
            now = self._loop.time()
            # In large fleets the delay is longer, so that one heartbeat carries several changes.
            interval = (
                self._neighbours.period(Relation(True, True, True), now) * _UPDATE_PERIOD_FRACTION
            )
            wait = max(_MIN_UPDATE_DELAY_SECONDS, self._update_sent_at + interval - now)
            self._update_timer = self._loop.call_later(wait, self._send_update)

    def schedule_load_update(self) -> None:
        """Schedule an update about in-flight sends to the active nodes of this data centre."""
        self.schedule_update(Scope.ACTIVE_LOCAL)

    def send_to_all(self) -> None:
        """Send a heartbeat to all nodes immediately."""
        self._send(self._recipients(Scope.ALL, self._loop.time()))

    def send_crash_update(self, update: CrashUpdate, nodes: Sequence[Neighbour]) -> None:
        """Send a crash update to `nodes`."""
        data = _CRASH_UPDATE_MARKER + self._encoder.encode(update)
        for node in nodes:
            self._send_to(node.gossip, data)

    def send_origins(self, origins: Sequence[StreamOrigin], node: Neighbour) -> None:
        """Send origins of streams to `node`."""
        self._send_to(node.gossip, _ORIGINS_MARKER + self._encoder.encode(origins))

    def send_to_addresses(self, addresses: list[str]) -> None:
        """Send a heartbeat to addresses whose nodes are not known yet."""
        for address in addresses:
            try:
                address_parts("address", address)
            except ValueOutOfRange as error:
                left_out_values.note("settings", "seeds", error)
                continue
            self._send_to(address, self._encoder.encode(self._heartbeat(_UNKNOWN_RELATION)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        if data.startswith(_CRASH_UPDATE_MARKER):
            self._receive_crash_update(data[len(_CRASH_UPDATE_MARKER) :], addr)
            return
        if data.startswith(_ORIGINS_MARKER):
            self._receive_origins(data[len(_ORIGINS_MARKER) :], addr)
            return
        try:
            heartbeat = decoded(self._decoder, data)
            check_addresses(heartbeat.node)
        except (msgspec.DecodeError, ValueOutOfRange) as error:
            left_out_values.note("heartbeat", str(addr), error)
            return
        now = self._loop.time()
        if self._neighbours.is_former_instance(heartbeat.node, now):
            return
        is_remote = heartbeat.node.data_centre != self._neighbours.me.data_centre
        if self._neighbours.receive(heartbeat, now):
            _log.info("node heard", node=heartbeat.node.name, boot=heartbeat.node.boot)
            if not is_remote or self._neighbours.is_relay(now):
                self._send([heartbeat.node])
            if self._crashes is not None:
                self._crashes.send_recent(heartbeat.node)
            if self._origins is not None:
                self._origins.send_recent(heartbeat.node)
        self._heard(heartbeat)
        if is_remote and addr[0] == heartbeat.node.gossip.rpartition(":")[0]:
            self._forward(heartbeat, data, now)

    def _receive_crash_update(self, data: bytes, addr: tuple[str | object, int]) -> None:
        if self._crashes is None:
            return
        try:
            update = decoded(self._crash_decoder, data)
        except msgspec.DecodeError as error:
            left_out_values.note("crash update", str(addr), error)
            return
        self._crashes.heard(update)

    def _receive_origins(self, data: bytes, addr: tuple[str | object, int]) -> None:
        if self._origins is None:
            return
        try:
            origins = decoded(self._origins_decoder, data)
        except msgspec.DecodeError as error:
            left_out_values.note("origins", str(addr), error)
            return
        self._origins.heard(origins)

    def error_received(self, exc: Exception) -> None:
        # No process listens at that address; the missing heartbeats from the node show the same.
        _log.debug("heartbeat refused by the receiving host", error=str(exc))

    def _forward(self, heartbeat: Heartbeat, data: bytes, now: float) -> None:
        """Forward a heartbeat from another data centre to the nodes of this data centre."""
        name = heartbeat.node.name
        active = self._neighbours.nearby_active(now)
        for node in active:
            self._send_to(node.gossip, data)
        forwarded_at = self._forwarded_at.get(name, float("-inf"))
        if now - forwarded_at < _STANDBY_FORWARD_SECONDS and not heartbeat.leaving:
            return
        self._forwarded_at[name] = now
        standby_data = self._encoder.encode(heartbeat._replace(period=_STANDBY_FORWARD_SECONDS))
        names = {node.name for node in active}
        for node in self._neighbours.nearby(now):
            if node.name not in names:
                self._send_to(node.gossip, standby_data)

    def _send_update(self) -> None:
        self._update_timer = None
        now = self._update_sent_at = self._loop.time()
        scope, self._scope = self._scope, Scope.ACTIVE_LOCAL
        self._send(self._recipients(scope, now))

    def _recipients(self, scope: Scope, now: float) -> list[Neighbour]:
        if scope is Scope.ACTIVE_LOCAL:
            return self._neighbours.nearby_active(now)
        near = self._neighbours.nearby(now)
        if scope is Scope.LOCAL:
            return near
        return [*near, *self._neighbours.remote_contacts(now)]

    def _send(self, nodes: list[Neighbour]) -> None:
        data: dict[Relation, bytes] = {}
        now = self._loop.time()
        for node in nodes:
            relation = self._neighbours.relation(node, now)
            if relation not in data:
                data[relation] = self._encoder.encode(self._heartbeat(relation))
            self._send_to(node.gossip, data[relation])

    def _send_to(self, address: str, data: bytes) -> None:
        if self._transport is None:
            return
        if len(data) > _MAX_UDP_BYTES:
            _log.warning("datagram not sent", bytes=len(data), limit=_MAX_UDP_BYTES)
            return
        if len(data) > _MAX_DATAGRAM_BYTES:
            _log.debug("heartbeat exceeds the packet size", size=len(data))
        self._transport.sendto(data, _split_address(address))


@lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def _split_address(address: str) -> tuple[str, int]:
    return address_parts("address", address)
