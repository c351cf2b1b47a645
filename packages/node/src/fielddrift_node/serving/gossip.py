"""Exchange heartbeats with the other nodes, as datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Protocol, cast

import msgspec
import structlog
from fielddrift_core.crashes import CrashUpdate
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Standing

__all__ = ["CrashTalk", "Gossip", "Reach"]

_TICK_SECONDS = 0.05
_STANDBY_TICK_SECONDS = 0.25
"""The same for a node that stands by: its heartbeats are a second and more apart, and the
processor time of looking whom they are due to is that of most nodes of a large fleet."""
_SOON_SECONDS = 0.02
"""Least time between heartbeats that something new causes."""
_SOON_PART = 0.3
"""Part of the time between heartbeats that passes between heartbeats with news."""
_PASS_ON_SECONDS = 2.0
"""Time between remote heartbeats that nodes which stand by get: they need to know whom
to send callers to when their own data centre has no active node."""
_MOST_BYTES = 1400
"""A datagram that fits into one packet."""

_UNKNOWN = Standing(near=False, mine=False, theirs=False)
"""How a node stands of which nothing is known yet."""

_CRASHES_MARK = b"\xc1"
"""Begins a datagram with news of crashes: no value in MessagePack, so no heartbeat, begins so."""

_log = structlog.get_logger()


class CrashTalk(Protocol):
    """Who hears of crashes, and greets nodes with what is known of them."""

    def heard(self, news: CrashUpdate) -> None:
        """Take what another node tells."""

    def greet(self, node: Neighbour) -> None:
        """Tell a node that is heard for the first time in its life."""


class Reach(IntEnum):
    """Who must hear of something new, from the fewest to the most."""

    ACTIVE_NEARBY = 0
    NEARBY = 1
    EVERYWHERE = 2


class Gossip(asyncio.DatagramProtocol):
    """Send this node's heartbeats, and hand on those of others."""

    def __init__(
        self,
        *,
        neighbours: Neighbours,
        heartbeat: Callable[[Standing], Heartbeat],
        heard: Callable[[Heartbeat], None],
        crashes: CrashTalk | None = None,
    ) -> None:
        self._neighbours = neighbours
        self._heartbeat = heartbeat
        self._heard = heard
        self._crashes = crashes
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        self._crash_decoder = msgspec.msgpack.Decoder(CrashUpdate)
        self._soon: asyncio.TimerHandle | None = None
        self._soon_at = float("-inf")
        self._reach = Reach.ACTIVE_NEARBY
        self._passed_on: dict[str, float] = {}
        """When a heartbeat of each far node last went to nodes that stand by."""

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now = self._loop.time()
            self._send(self._neighbours.due(now))
            active = self._neighbours.is_active(now)
            await asyncio.sleep(_TICK_SECONDS if active else _STANDBY_TICK_SECONDS)

    def close(self) -> None:
        """Send and hear no more."""
        if self._soon is not None:
            self._soon.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def changed(self, reach: Reach = Reach.NEARBY) -> None:
        """Send a heartbeat soon to the nodes that something new concerns."""
        self._reach = max(self._reach, reach)
        if self._soon is None:
            now = self._loop.time()
            # Where there are many nodes, news waits for some more of it.
            rest = self._neighbours.period(Standing(True, True, True), now) * _SOON_PART
            wait = max(_SOON_SECONDS, self._soon_at + rest - now)
            self._soon = self._loop.call_later(wait, self._send_soon)

    def sends_changed(self) -> None:
        """Tell the active nodes nearby soon what this one sends to targets."""
        self.changed(Reach.ACTIVE_NEARBY)

    def say_now(self) -> None:
        """Send a heartbeat to all nodes at once."""
        self._send(self._concerned(Reach.EVERYWHERE, self._loop.time()))

    def tell_crashes(self, news: CrashUpdate, nodes: Sequence[Neighbour]) -> None:
        """Tell `nodes` of crashes."""
        data = _CRASHES_MARK + self._encoder.encode(news)
        for node in nodes:
            self._send_to(node.gossip, data)

    def greet(self, addresses: list[str]) -> None:
        """Send a heartbeat to addresses of which no node is known."""
        for address in addresses:
            self._send_to(address, self._encoder.encode(self._heartbeat(_UNKNOWN)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        if data.startswith(_CRASHES_MARK):
            self._hear_crashes(data[len(_CRASHES_MARK) :], addr)
            return
        try:
            heartbeat = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            _log.warning("heartbeat not understood", sender=str(addr), error=str(error))
            return
        now = self._loop.time()
        if self._neighbours.is_former(heartbeat.node, now):
            return
        far = heartbeat.node.data_centre != self._neighbours.me.data_centre
        if self._neighbours.hear(heartbeat, now):
            _log.info("node heard", node=heartbeat.node.name, boot=heartbeat.node.boot)
            if not far or self._neighbours.is_relay(now):
                self._send([heartbeat.node])
            if self._crashes is not None:
                self._crashes.greet(heartbeat.node)
        self._heard(heartbeat)
        if far and addr[0] == heartbeat.node.gossip.rpartition(":")[0]:
            self._pass_on(heartbeat, data, now)

    def _hear_crashes(self, data: bytes, addr: tuple[str | object, int]) -> None:
        if self._crashes is None:
            return
        try:
            news = self._crash_decoder.decode(data)
        except msgspec.DecodeError as error:
            _log.warning("news of crashes not understood", sender=str(addr), error=str(error))
            return
        self._crashes.heard(news)

    def error_received(self, exc: Exception) -> None:
        # A node that is not there; its silence says as much.
        _log.debug("heartbeat refused", error=str(exc))

    def _pass_on(self, heartbeat: Heartbeat, data: bytes, now: float) -> None:
        """Hand what came from another data centre itself on to the nodes nearby."""
        name = heartbeat.node.name
        active = self._neighbours.near_active(now)
        for node in active:
            self._send_to(node.gossip, data)
        passed_on = self._passed_on.get(name, float("-inf"))
        if now - passed_on < _PASS_ON_SECONDS and not heartbeat.leaving:
            return
        self._passed_on[name] = now
        seldom = self._encoder.encode(heartbeat._replace(period=_PASS_ON_SECONDS))
        names = {node.name for node in active}
        for node in self._neighbours.near(now):
            if node.name not in names:
                self._send_to(node.gossip, seldom)

    def _send_soon(self) -> None:
        self._soon = None
        now = self._soon_at = self._loop.time()
        reach, self._reach = self._reach, Reach.ACTIVE_NEARBY
        self._send(self._concerned(reach, now))

    def _concerned(self, reach: Reach, now: float) -> list[Neighbour]:
        if reach is Reach.ACTIVE_NEARBY:
            return self._neighbours.near_active(now)
        near = self._neighbours.near(now)
        if reach is Reach.NEARBY:
            return near
        return [*near, *self._neighbours.remote_contacts(now)]

    def _send(self, nodes: list[Neighbour]) -> None:
        data: dict[Standing, bytes] = {}
        now = self._loop.time()
        for node in nodes:
            standing = self._neighbours.standing(node, now)
            if standing not in data:
                data[standing] = self._encoder.encode(self._heartbeat(standing))
            self._send_to(node.gossip, data[standing])

    def _send_to(self, address: str, data: bytes) -> None:
        if self._transport is None:
            return
        if len(data) > _MOST_BYTES:
            _log.debug("heartbeat larger than a packet", size=len(data))
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
