"""Exchange beats with the other nodes, as datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec
import structlog
from fielddrift_core.neighbours import Beat, Neighbour, Neighbours

__all__ = ["Gossip"]

_TICK_SECONDS = 0.05
_SOON_SECONDS = 0.02
"""Least time between beats that something new causes."""
_SOON_PART = 0.3
"""Part of the time between beats that passes between beats with news."""
_MOST_BYTES = 1400
"""A datagram that fits into one packet."""

_log = structlog.get_logger()


class Gossip(asyncio.DatagramProtocol):
    """Send this node's beats, and hand on those of others."""

    def __init__(
        self,
        *,
        neighbours: Neighbours,
        beat: Callable[[bool], Beat],
        heard: Callable[[Beat], None],
    ) -> None:
        self._neighbours = neighbours
        self._beat = beat
        self._heard = heard
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Beat)
        self._soon: asyncio.TimerHandle | None = None
        self._soon_at = float("-inf")
        self._urgent = False

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self._send(self._neighbours.due(self._loop.time()))
            await asyncio.sleep(_TICK_SECONDS)

    def close(self) -> None:
        """Send and hear no more."""
        if self._soon is not None:
            self._soon.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def changed(self, *, everywhere: bool = False) -> None:
        """Beat soon: to the nodes of this data centre, or to all."""
        self._urgent = self._urgent or everywhere
        if self._soon is None:
            # Where there are many nodes, news waits for some more of it.
            rest = self._neighbours.periods(self._loop.time()).near * _SOON_PART
            wait = max(_SOON_SECONDS, self._soon_at + rest - self._loop.time())
            self._soon = self._loop.call_later(wait, self._send_soon)

    def say_now(self) -> None:
        """Beat to all nodes at once."""
        self._send(self._neighbours.alive(self._loop.time()))

    def greet(self, addresses: list[str]) -> None:
        """Send a beat to addresses of which no node is known."""
        for address in addresses:
            self._send_to(address, self._encoder.encode(self._beat(False)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        try:
            beat = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            _log.warning("beat not understood", sender=str(addr), error=str(error))
            return
        if self._neighbours.hear(beat, self._loop.time()):
            _log.info("node heard", node=beat.node.name, boot=beat.node.boot)
            self._send([beat.node])
        self._heard(beat)

    def error_received(self, exc: Exception) -> None:
        # A node that is not there; its silence says as much.
        _log.debug("beat refused", error=str(exc))

    def _send_soon(self) -> None:
        self._soon = None
        self._soon_at = self._loop.time()
        now = self._loop.time()
        urgent, self._urgent = self._urgent, False
        self._send(self._neighbours.alive(now) if urgent else self._neighbours.near(now))

    def _send(self, nodes: list[Neighbour]) -> None:
        data: dict[bool, bytes] = {}
        here = self._neighbours.me.data_centre
        for node in nodes:
            near = node.data_centre == here
            if near not in data:
                data[near] = self._encoder.encode(self._beat(near))
            self._send_to(node.gossip, data[near])

    def _send_to(self, address: str, data: bytes) -> None:
        if self._transport is None:
            return
        if len(data) > _MOST_BYTES:
            _log.debug("beat larger than a packet", size=len(data))
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
