"""Receive UDP datagrams as they arrive, or several at a time.

Waking an idle process for a datagram costs several times what handling a heartbeat takes.
"""

from __future__ import annotations

import asyncio
import socket
from typing import cast

__all__ = ["DatagramSocket"]

_MAX_DATAGRAM_BYTES = 65_536
_MAX_BATCH_COUNT = 200
"""Datagrams read at a time, so that a flood of them does not keep the loop from other work."""


class DatagramSocket(asyncio.DatagramTransport):
    """A bound UDP socket that passes what it receives to `protocol`."""

    def __init__(self, *, sock: socket.socket, protocol: asyncio.DatagramProtocol) -> None:
        super().__init__(extra={"socket": sock, "sockname": sock.getsockname()})
        self._sock = sock
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        # Allocating a buffer for each datagram costs more than receiving it.
        self._buffer = memoryview(bytearray(_MAX_DATAGRAM_BYTES))
        self._interval = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._loop.add_reader(sock, self._receive)
        protocol.connection_made(self)

    @classmethod
    async def bind(
        cls, host: str, port: int, *, protocol: asyncio.DatagramProtocol
    ) -> DatagramSocket:
        """Bind a socket to an address; raise `OSError` if that is not possible."""
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
        family, kind, number, _, address = found[0]
        sock = socket.socket(family, kind, number)
        try:
            sock.setblocking(False)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return cls(sock=sock, protocol=protocol)

    def receive_every(self, seconds: float) -> None:
        """Receive at intervals of `seconds` what has arrived; at once if that is 0."""
        if self._closed or seconds == self._interval:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not seconds:
            self._loop.add_reader(self._sock, self._receive)
        elif not self._interval:
            self._loop.remove_reader(self._sock)
        self._interval = seconds
        if seconds:
            self._timer = self._loop.call_later(seconds, self._receive_batch)

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        """Send a datagram; it is lost if the socket's buffer is full."""
        if self._closed:
            return
        try:
            self._sock.sendto(data, cast(tuple[str, int], addr))
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._protocol.error_received(error)

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self._closed

    def close(self) -> None:
        """Close the socket."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()

    def abort(self) -> None:
        """Close the socket."""
        self.close()

    def _receive_batch(self) -> None:
        self._timer = self._loop.call_later(self._interval, self._receive_batch)
        for _ in range(_MAX_BATCH_COUNT):
            if self._closed or not self._receive_one_of_batch():
                return

    def _receive_one_of_batch(self) -> bool:
        try:
            return self._receive()
        except Exception as error:
            # The loop reports it, as it does for datagrams that are received as they arrive.  The
            # others of the batch would wait for the next one, and be lost if there are many.
            context = {"message": "a datagram could not be handled", "exception": error}
            self._loop.call_exception_handler(context)
            return True

    def _receive(self) -> bool:
        """Receive one datagram; return whether there was one."""
        try:
            size, address = self._sock.recvfrom_into(self._buffer)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._protocol.error_received(error)
            return True
        self._protocol.datagram_received(bytes(self._buffer[:size]), address)
        return True
