"""Tunnels between nodes: a TCP connection to a target, carried by a node that reaches it.

The node that wants the connection sends a `CONNECT` request (RFC 9110, section 9.3.6) to another
node, which connects to the target and then passes bytes both ways.  No byte of a caller's request
is sent before the target has accepted the connection, and a connection that is lost on either side
is closed on the other, with a reset where it was reset.  The response to `CONNECT` tells which
process of the node carries the tunnel: a process that is killed closes its connections in order, as
if the target had.
"""

from __future__ import annotations

import asyncio
import re
import secrets
import socket
from collections.abc import Callable
from enum import IntEnum
from typing import cast

import structlog
from fielddrift_core.outside_values import PORT, ValueOutOfRange, whole_number_of

from .server import prepare_socket, probe_silent_path, set_reset_on_close

__all__ = ["TunnelError", "TunnelHandshake", "TunnelServer", "TunnelStatus"]

_MAX_HEAD_BYTES = 1024
"""Maximum size of the request and of the response that open a tunnel."""
_HEAD_SECONDS = 1.0
"""Time for the request to arrive; it is sent at once, in one packet."""
_CONNECT_SECONDS = 0.35
"""Time for the connection to the target, as for a node's own."""
_BUFFER_BYTES = 32 * 1024
"""Bytes buffered in each direction before reading from the other side pauses."""
_BACKLOG_COUNT = 256
_MAX_TUNNEL_COUNT = 512
"""Tunnels that a node carries.  Each takes two descriptors and up to 64 KiB."""
_ADDRESS = re.compile(r"[!-~]{1,512}")
_REQUEST_LINE = re.compile(rb"CONNECT ([^ ]+) HTTP/1\.1\r\n")
_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")
_PROCESS_LINE = re.compile(rb"\r\nNode-Process: ([0-9a-f]+)\r\n")


_log = structlog.get_logger()


class TunnelStatus(IntEnum):
    """The statuses of responses to requests for a tunnel."""

    OPEN = 200
    FORBIDDEN = 403
    """The address is not that of a known target."""
    REFUSED = 502
    """The target, or the path to it, refused or reset the connection."""
    UNAVAILABLE = 503
    """The node carries as many tunnels as it can, reaches no target itself, or can't look up the
    address."""
    SILENT = 504
    """The target did not respond to the attempt to connect."""


_REASONS = {
    TunnelStatus.OPEN: b"Connection Established",
    TunnelStatus.FORBIDDEN: b"Forbidden",
    TunnelStatus.REFUSED: b"Bad Gateway",
    TunnelStatus.UNAVAILABLE: b"Service Unavailable",
    TunnelStatus.SILENT: b"Gateway Timeout",
}


class TunnelError(OSError):
    """Raised when a node did not open a tunnel; `status` is its response, None without one."""

    def __init__(self, detail: str, *, status: TunnelStatus | None) -> None:
        super().__init__(detail)
        self.status = status


class TunnelHandshake(asyncio.Protocol):
    """Asks a node for a tunnel to `address`, on a connection to that node.

    Raise `ValueOutOfRange` for an address that no request can contain.
    """

    def __init__(self, *, address: str) -> None:
        if not _ADDRESS.fullmatch(address):
            raise ValueOutOfRange("address", address, "printable ASCII characters without spaces")
        self._address = address
        self._head = b""
        self._process = ""
        self._transport: asyncio.Transport | None = None
        self._outcome: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def process(self) -> str:
        """Return the id of the process that carries the tunnel, empty if it is not known."""
        return self._process

    async def opened(self) -> asyncio.Transport:
        """Wait until the tunnel is open and return its transport, which has this protocol.

        Raise `TunnelError` if it is not opened, was closed since or has received bytes, which
        answer no request; the connection is closed then.
        """
        assert self._transport is not None
        try:
            await self._outcome
        except BaseException:
            self._transport.abort()
            raise
        if self._transport.is_closing():
            raise TunnelError(f"tunnel to {self._address}: closed before its use", status=None)
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        prepare_socket(transport)
        request = f"CONNECT {self._address} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        self._transport.write(request.encode("ascii"))

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        if self._outcome.done():
            # These bytes answer no request of this node, and what follows them might not either.
            self._transport.abort()
            return
        self._head += data
        end = self._head.find(b"\r\n\r\n")
        if end < 0 and len(self._head) <= _MAX_HEAD_BYTES:
            return
        match = _STATUS_LINE.match(self._head)
        number = int(match.group(1)) if match else 0
        # A target sends nothing before it has received a request.
        if number == TunnelStatus.OPEN and end + 4 == len(self._head):
            if found := _PROCESS_LINE.search(self._head):
                self._process = found.group(1).decode("ascii")
            self._outcome.set_result(None)
            return
        status = TunnelStatus(number) if number in _REASONS else None
        self._fail(f"tunnel to {self._address}: status {number or 'unknown'}", status)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(f"tunnel to {self._address}: {exc or 'closed'}", None)

    def _fail(self, detail: str, status: TunnelStatus | None) -> None:
        if not self._outcome.done():
            self._outcome.set_exception(TunnelError(detail, status=status))
            # Nobody may be waiting any more, which is no fault.
            self._outcome.exception()


class TunnelServer:
    """Carries connections of other nodes to targets.

    `admit` returns `OPEN` for the address of a target that this node may connect to, else the
    status of the refusal.  `on_connect` is called with
    the address and the outcome of each connection attempt, and returns the status of the response.
    """

    def __init__(
        self,
        *,
        admit: Callable[[str], TunnelStatus],
        on_connect: Callable[[str, TunnelStatus], TunnelStatus],
    ) -> None:
        self._admit = admit
        self._on_connect = on_connect
        self._process = secrets.token_hex(8)
        self._carried: set[_NodeSide] = set()
        self._listener: asyncio.Server | None = None

    @property
    def process(self) -> str:
        """Return the id of this process, as it tells nodes whose connections it carries."""
        return self._process

    @property
    def count(self) -> int:
        """Return the number of tunnels that are open or being opened."""
        return len(self._carried)

    async def start(self, host: str, port: int) -> None:
        """Listen on the address; raise `OSError` if it cannot be bound."""
        self._listener = await asyncio.get_running_loop().create_server(
            self._node_side, host, port, backlog=_BACKLOG_COUNT, reuse_address=True
        )

    def stop_accepting(self) -> None:
        """Stop listening; open tunnels go on."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Reset all tunnels."""
        for side in list(self._carried):
            side.reset()

    def _node_side(self) -> _NodeSide:
        return _NodeSide(server=self)

    def joined(self, side: _NodeSide) -> None:
        """Add a connection of a node."""
        self._carried.add(side)

    def left(self, side: _NodeSide) -> None:
        """Remove a connection that was closed."""
        self._carried.discard(side)

    async def connect(self, address: str, side: _TargetSide) -> TunnelStatus:
        """Connect `side` to the target at `address`; return the outcome."""
        admission = self._admit(address)
        if admission is not TunnelStatus.OPEN:
            return admission
        if self.count > _MAX_TUNNEL_COUNT:
            return TunnelStatus.UNAVAILABLE
        host, _, port = address.rpartition(":")
        status = TunnelStatus.OPEN
        try:
            number = whole_number_of("port", port, PORT)
            async with asyncio.timeout(_CONNECT_SECONDS):
                await asyncio.get_running_loop().create_connection(lambda: side, host, number)
        except (ValueError, socket.gaierror) as error:
            # No host was asked: that the target's name is not found says nothing of its process.
            _log.warning("tunnel refused", address=address, reason=str(error))
            status = TunnelStatus.UNAVAILABLE
        except TimeoutError:
            status = TunnelStatus.SILENT
        except OSError:
            status = TunnelStatus.REFUSED
        return self._on_connect(address, status)


class _Side(asyncio.Protocol):
    """One of the two connections of a tunnel, which writes what its `peer` reads."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._peer: _Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_BUFFER_BYTES)
        prepare_socket(transport)
        probe_silent_path(transport)

    def join(self, peer: _Side) -> None:
        """Pass all bytes that arrive here on to `peer`."""
        self._peer = peer

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def finish(self) -> None:
        """Close the connection once all bytes have been written."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection: the other end must not take what it received for complete."""
        transport = self._transport
        if transport is None:
            return
        set_reset_on_close(transport, True)
        transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._peer is not None:
            self._peer.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._peer is None:
            return
        if exc is None:
            self._peer.finish()
        else:
            self._peer.reset()

    def pause_writing(self) -> None:
        if self._peer is not None:
            self._peer.pause_reading()

    def resume_writing(self) -> None:
        if self._peer is not None:
            self._peer.resume_reading()

    def pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()


class _TargetSide(_Side):
    """The connection to the target."""

    def abandon(self) -> None:
        """Close the connection at once, without what has not been written yet."""
        if self._transport is not None:
            self._transport.abort()


class _NodeSide(_Side):
    """The connection of the node that asked for the tunnel."""

    def __init__(self, *, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._head = b""
        self._task: asyncio.Task[None] | None = None
        self._target: _TargetSide | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_HEAD_SECONDS, self.reset)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.joined(self)

    def data_received(self, data: bytes) -> None:
        if self._peer is not None:
            super().data_received(data)
            return
        self._head += data
        if self._task is not None or len(self._head) > _MAX_HEAD_BYTES:
            # No node sends more before the tunnel is open.
            self.reset()
        elif self._head.endswith(b"\r\n\r\n"):
            self._timer.cancel()
            self._task = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        match = _REQUEST_LINE.match(self._head)
        if match is None:
            self.reset()
            return
        address = match.group(1).decode("latin-1")
        target = _TargetSide()
        status = await self._server.connect(address, target)
        if self._transport is None:
            target.reset()
            return
        process = self._server.process.encode("ascii")
        head = b"HTTP/1.1 %d %s\r\nNode-Process: %s\r\n\r\n"
        self.write(head % (status, _REASONS[status], process))
        if status is not TunnelStatus.OPEN:
            self.finish()
            return
        self._target = target
        self.join(target)
        target.join(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._server.left(self)
        self._transport = None
        if self._target is not None:
            # The node gave the exchange up: the target must notice at once.
            self._target.abandon()
        elif self._task is not None:
            self._task.cancel()
