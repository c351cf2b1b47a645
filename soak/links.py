"""Carry TCP connections between two addresses, and harm them on request."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import ipaddress
import socket
import struct
from asyncio.trsock import TransportSocket
from collections.abc import Collection
from typing import NamedTuple

from fielddrift_standins.fleet import HOST, free_port

__all__ = ["Harm", "Link"]

_PIECE_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes a close send a reset."""


_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_LOAD_WORD, _JUMP_IF_EQUAL, _RETURN = 0x20, 0x15, 0x06
"""Instructions of the kernel's socket filters (classic BPF)."""
_SOURCE_ADDRESS = 0xFFF00000 + 12
"""Offset of the source address in a packet, from the begin of the network header."""
_WHOLE_PACKET = 0x40000


def _lose_packets(sock: socket.socket | TransportSocket, sources: Collection[str]) -> None:
    """Let the kernel drop all packets from `sources` that arrive for `sock`.

    Nothing arrives for a closed one; what it received may still be carried, behind a hold.
    """
    if sock.fileno() < 0:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
    if not sources:
        return
    addresses = [int(ipaddress.IPv4Address(source)) for source in sorted(sources)]
    program = struct.pack("HBBI", _LOAD_WORD, 0, 0, _SOURCE_ADDRESS)
    for index, address in enumerate(addresses):
        left = len(addresses) - index
        program += struct.pack("HBBI", _JUMP_IF_EQUAL, left, 0, address)
    program += struct.pack("HBBI", _RETURN, 0, 0, _WHOLE_PACKET)
    program += struct.pack("HBBI", _RETURN, 0, 0, 0)
    buffer = ctypes.create_string_buffer(program)
    filter_ = struct.pack("HL", len(program) // 8, ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_)


class Harm(NamedTuple):
    """What a link does to bytes: hold them up for `delay` seconds, or swallow them one way."""

    delay: float = 0.0
    lose_to_server: bool = False
    lose_to_client: bool = False
    refuse: bool = False


class _Pair:
    """One carried connection."""

    def __init__(self, *, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False
        self.lost = False
        """Whether the next byte finds that the connection is gone."""
        self.source: str = writers[0].get_extra_info("peername")[0]
        """The address from which the connection came."""

    def cut(self, sources: Collection[str]) -> None:
        """Carry nothing more, and acknowledge nothing, if the connection is from `sources`."""
        if self.source in sources:
            self.silent = True
            self.lose_packets(sources)

    def lose_packets(self, sources: Collection[str]) -> None:
        """Let the kernel drop what `sources` send on it; drop nothing where there are none."""
        _lose_packets(self.writers[0].get_extra_info("socket"), sources)

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()


class Link:
    """A loopback address that stands for `target`."""

    def __init__(self, *, target: str) -> None:
        self.address = f"{HOST}:{free_port()}"
        self.harm = Harm()
        self._target = target
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._cut: frozenset[str] = frozenset()
        self._unheard: frozenset[str] = frozenset()
        """Addresses whose new connections are not accepted while all is held."""
        self._holds = 0
        self._released = asyncio.Event()
        self._released.set()

    async def start(self) -> Link:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        return self

    def close(self) -> None:
        """Stop listening, and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def lose(self) -> None:
        """Reset each open connection as soon as something is sent on it."""
        for pair in self._pairs:
            pair.lost = True

    def silence(self) -> None:
        """Let open connections carry nothing any more, for good; new ones work."""
        for pair in self._pairs:
            pair.silent = True

    async def hold(self, seconds: float, unheard: Collection[str] = ()) -> None:
        """Carry nothing for `seconds`, then go on with everything: nothing is lost.

        New connections wait as well; those from `unheard` hang in their handshake.
        """
        self._holds += 1
        self._released.clear()
        self._unheard |= frozenset(unheard)
        self._filter()
        try:
            await asyncio.sleep(seconds)
        finally:
            self._holds -= 1
            if not self._holds:
                self._unheard = frozenset()
                self._filter()
                self._released.set()

    def cut(self, sources: Collection[str]) -> None:
        """Cut the paths from `sources`: open connections and new ones hang.

        Paths that are not among them any more are whole again; their connections are reset, for
        what they should have carried is lost.
        """
        healed, self._cut = self._cut - frozenset(sources), frozenset(sources)
        self._filter()
        for pair in list(self._pairs):
            if pair.source in healed:
                pair.lose_packets(())
                pair.reset()
            pair.cut(self._cut)

    def reset_from(self, sources: Collection[str]) -> None:
        """Reset the open connections from `sources`."""
        for pair in list(self._pairs):
            if pair.source in sources:
                pair.reset()

    def _filter(self) -> None:
        """Let the kernel drop what new connections send that are not to be accepted."""
        if self._server is None:
            return
        for sock in self._server.sockets:
            _lose_packets(sock, self._cut | self._unheard)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A task of asyncio's own streams that is cancelled before its first step is logged as
        # a fault: so this one is ours.
        task = asyncio.ensure_future(self._carry(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm.refuse:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            await self._released.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            # Cancelled, the soak ends; asyncio's own streams log what passes through here.
            writer.transport.abort()
            return
        pair = _Pair(writers=(writer, far_writer))
        self._pairs.add(pair)
        pumps = [
            asyncio.ensure_future(self._pump(pair, reader, far_writer, to_server=True)),
            asyncio.ensure_future(self._pump(pair, far_reader, writer, to_server=False)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            # The soak ends; asyncio's own streams log what passes through here.
            pair.reset()
        finally:
            self._pairs.discard(pair)
            self._tasks.difference_update(pumps)
            for end in pair.writers:
                end.close()

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        try:
            while data := await reader.read(_PIECE_BYTES):
                if pair.lost:
                    pair.reset()
                    return
                if self.harm.delay:
                    await asyncio.sleep(self.harm.delay)
                await self._released.wait()
                harm = self.harm
                lost = harm.lose_to_server if to_server else harm.lose_to_client
                if pair.silent or lost:
                    continue
                writer.write(data)
                await writer.drain()
            await self._released.wait()
            if not pair.silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # One end was reset: so is the other.
            await self._released.wait()
            pair.reset()
