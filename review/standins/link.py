"""A loopback address before a worker, which can lose the packets of new connections."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import struct
from pathlib import Path

__all__ = ["Link", "is_connecting"]

_PIECE_BYTES = 65536
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A kernel socket filter (classic BPF) with one instruction: return 0, keep nothing of a packet."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_SYN_SENT = "02"


class Link:
    """Carries connections to `target`; while it is cut, new ones hang and open ones live on."""

    def __init__(self, *, ip: str, port: int, target: str) -> None:
        self.address = f"{ip}:{port}"
        self._target = target
        self._socket = socket.create_server((ip, port), backlog=256)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, sock=self._socket)

    def cut(self) -> None:
        """Lose all packets that ask for a new connection."""
        buffer = ctypes.create_string_buffer(_DROP_ALL)
        program = struct.pack("HL", 1, ctypes.addressof(buffer))
        self._socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)

    def heal(self) -> None:
        """Accept new connections again."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            there, to_worker = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        ways = [
            asyncio.ensure_future(_carry(reader, to_worker)),
            asyncio.ensure_future(_carry(there, writer)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        for end in (to_worker, writer):
            end.close()


async def _carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass bytes on until the end of the connection; reset the other side if it was reset."""
    try:
        while data := await reader.read(_PIECE_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


def is_connecting(address: str) -> bool:
    """Return whether some process waits for a connection to `address` to come up."""
    ip, _, port = address.rpartition(":")
    wanted = f"{struct.unpack('<I', socket.inet_aton(ip))[0]:08X}:{int(port):04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[2] == wanted and fields[3] == _SYN_SENT:
            return True
    return False
