"""An HTTP/1.1 client with persistent connections that detects truncated responses.

It sends a request once, except reads (`Access.READ`).  `ExchangeError.sent` states whether any byte
of the request may have reached the server.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection
from enum import StrEnum
from functools import partial
from typing import NamedTuple, Protocol, TypeVar

from fielddrift_core.memory_budget import MAX_READ_BYTES
from fielddrift_core.outside_values import PORT, whole_number_of

from .checked_connections import CHECK_TIMEOUT_SECONDS, check_process
from .connection import Connection, LiveConnection
from .errors import RESET_REASON, ExchangeError
from .exchange import Exchange
from .host_memory import HeldBytes, held_for_caller
from .messages import Reply, ResponseHead
from .paths import ServerPath, connect_error
from .process_check import ProcessCheck
from .tunnel import TunnelHandshake

__all__ = ["Access", "Client", "OpenConnection", "Timeouts"]

_P = TypeVar("_P", bound=asyncio.BaseProtocol)


class Access(StrEnum):
    """Whether a request only reads.  Its response has no id, so a late copy of one can't be told
    from the next."""

    READ = "read"
    """It changes nothing: it is sent once more if its connection has carried the same success."""
    CHANGE = "change"
    """It has a connection of its own, on which no late copy can come."""


class OpenConnection(Protocol):
    """Opens a connection to a host and port, as `asyncio.loop.create_connection` does."""

    async def __call__(
        self, factory: Callable[[], _P], host: str, port: int
    ) -> tuple[asyncio.BaseTransport, _P]:
        """Return the transport and the protocol; raise `OSError` if no connection comes up."""


async def _create_connection(
    factory: Callable[[], _P], host: str, port: int
) -> tuple[asyncio.BaseTransport, _P]:
    return await asyncio.get_running_loop().create_connection(factory, host, port)


class Timeouts(NamedTuple):
    """Timeouts of a call in seconds: of the connect, and of the call as a whole."""

    connect: float = 0.5
    whole: float = 1.0


class Client:
    """A pool of connections by address, and the exchanges over them.

    `on_connect` is called with the address of each new connection attempt.  `open_connection`
    replaces the event loop's `create_connection`.
    """

    def __init__(
        self,
        *,
        on_connect: Callable[[str], None] = lambda address: None,
        open_connection: OpenConnection | None = None,
    ) -> None:
        self._on_connect = on_connect
        self._open_connection = open_connection
        self._read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._idle: dict[ServerPath, list[Connection]] = {}
        self._open_counts: dict[str, int] = {}
        self._established: dict[ServerPath, set[Connection]] = {}

    async def begin(
        self,
        address: str,
        data: bytes,
        *,
        connect_seconds: float,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        on_bytes: Callable[[], None] = lambda: None,
        max_idle_seconds: float | None = None,
        max_connections: int | None = None,
        through: str = "",
        request_id: str = "",
        process: ProcessCheck | None = None,
        is_new: bool = False,
        compares: bool = True,
    ) -> Exchange:
        """Send `data`, a complete request, and return its exchange.

        `max_idle_seconds` bounds the idle time of a reused connection in seconds,
        `max_connections` the number of open connections to the address.  `through` is the
        address of a node whose tunnel carries the connection, empty for a direct one.  A
        connection never carries a `request_id` twice, unless it is empty: a late copy of the
        first answer could not be told from the second answer.  With `process`, only a connection
        to that process is used, with `is_new` only a new one.  With `compares` a response without
        an id that equals an earlier one is marked as repeated, and closes its connection.  Raise
        `ExchangeError` with `sent` False if there is no connection to send it on, and with
        `REPLACED_REASON` if another process has taken its place.
        """
        held = held_for_caller.get()
        path = ServerPath(address, through)
        wanted = "" if process is None else process.name
        until = asyncio.get_running_loop().time() + CHECK_TIMEOUT_SECONDS
        connection = None
        if not is_new:
            connection = self._take_idle(path, max_idle_seconds, request_id, wanted)
        if connection is not None and process is not None and connection.process != wanted:
            may_use = await check_process(path, connection, process, until=until, is_kept=True)
            connection = connection if may_use and connection.usable else None
        kept = connection is not None
        if connection is None:

            async def open_one() -> Connection:
                return await self._open_for(path, connect_seconds, max_connections, held)

            connection = await self._open_checked(path, open_one, process, until=until)
        exchange = Exchange(accepts=accepts, on_bytes=on_bytes, held=held, address=address)
        exchange.bind(connection, kept=kept, through=through)
        connection.begin(exchange, data, request_id=request_id, compares=compares)
        return exchange

    async def _open_for(
        self,
        path: ServerPath,
        connect_seconds: float,
        max_connections: int | None,
        held: HeldBytes | None,
    ) -> Connection:
        """Open a connection for a send; raise `ExchangeError` if none is allowed or comes up."""
        address = path.address
        if (
            max_connections is not None
            and self._open_counts.get(address, 0) >= max_connections
            and not self._close_one_idle(path)
        ):
            detail = f"{address}: {max_connections} connections are open"
            raise ExchangeError(detail, sent=False, reason="connections")
        connection = await self._connect(path, connect_seconds)
        if held is not None and held.limited:
            connection.bound_receive_buffer()
        return connection

    async def _open_checked(
        self,
        path: ServerPath,
        open_one: Callable[[], Awaitable[Connection]],
        process: ProcessCheck | None,
        *,
        until: float,
    ) -> Connection:
        """Return a new connection to `process`; raise `ExchangeError` as `check_process` does."""
        connection = await open_one()
        if process is None:
            return connection
        await check_process(path, connection, process, until=until, is_kept=False)
        if connection.usable:
            return connection
        if asyncio.get_running_loop().time() >= until:
            # No answer came, and none is required.
            return await open_one()
        # The server closes connections behind its answers, so the first of two is used and the
        # second one checked.  The first was opened earlier: it leads to the same process, or to
        # one that has ended and closed it.
        connection = await open_one()
        try:
            checked = await open_one()
            await check_process(path, checked, process, until=until, is_kept=False)
            self._release(path, checked)
            if not connection.usable:
                detail = f"{path.address}: connection lost before it was used"
                raise ExchangeError(detail, sent=False, reason=RESET_REASON)
        except BaseException:
            connection.close()
            raise
        connection.set_process(checked.process)
        return connection

    async def call(
        self,
        address: str,
        data: bytes,
        *,
        timeouts: Timeouts,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        max_idle_seconds: float | None = None,
        process: ProcessCheck | None = None,
        access: Access | None = None,
    ) -> Reply:
        """Send `data`, a complete request, and return the complete response.

        `access` tells what a request without an id does at a server that may answer twice, None at
        one that does not.  The other arguments are as for `begin`.  Raise `ExchangeError` if the
        exchange fails or times out.
        """
        send = partial(
            self._call,
            address,
            data,
            timeouts=timeouts,
            accepts=accepts,
            max_idle_seconds=max_idle_seconds,
            process=process,
        )
        if access is Access.CHANGE:
            return await send(is_new=True, is_last=True)
        reply = await send(compares=access is Access.READ)
        if reply.is_repeated and reply.head.status // 100 == 2:
            # The answer may be a late copy.  A refusal only says that the read failed.
            return await send(is_new=True, compares=True)
        return reply

    async def _call(
        self,
        address: str,
        data: bytes,
        *,
        timeouts: Timeouts,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        max_idle_seconds: float | None = None,
        process: ProcessCheck | None = None,
        is_new: bool = False,
        is_last: bool = False,
        compares: bool = False,
    ) -> Reply:
        """Send `data`, a complete request, and return the complete response.

        With `is_last` the connection is closed behind the response; the other arguments are as for
        `begin`.  Raise `ExchangeError` if the exchange fails or times out.
        """
        exchange: Exchange | None = None
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeouts.whole):
                exchange = await self.begin(
                    address,
                    data,
                    connect_seconds=timeouts.connect,
                    accepts=accepts,
                    max_idle_seconds=max_idle_seconds,
                    process=process,
                    is_new=is_new,
                    compares=compares,
                )
                if is_last:
                    exchange.forbid_reuse()
                head, body = await exchange.head(), await exchange.body()
                return Reply(head, body, is_repeated=exchange.is_repeated)
        except TimeoutError:
            sent = exchange is not None
            # Connections to an address stop responding together: one idle since before
            # this call would hang as well.
            self._close_idle_before(ServerPath(address), idle_before=started_at)
            detail = f"{address}: no answer in {timeouts.whole} s"
            raise ExchangeError(detail, sent=sent, reason="timeout") from None
        finally:
            if exchange is not None:
                exchange.cancel()

    async def connect(
        self,
        address: str,
        *,
        seconds: float,
        through: str = "",
        process: ProcessCheck | None = None,
    ) -> None:
        """Open a connection and add it to the idle ones; raise `ExchangeError` if that fails.

        `through` and `process` are as for `begin`.
        """
        path = ServerPath(address, through)
        connection = await self._connect(path, seconds)
        if process is not None:
            until = asyncio.get_running_loop().time() + CHECK_TIMEOUT_SECONDS
            await check_process(path, connection, process, until=until, is_kept=False)
        self._release(path, connection)

    def close_idle(self, address: str) -> None:
        """Close the idle direct connections to `address`."""
        self._close_idle_before(ServerPath(address), idle_before=float("inf"))

    def has_idle(self, address: str, *, through: str = "") -> bool:
        """Return whether there is an idle connection to `address`; `through` is as for `begin`."""
        return bool(self._idle.get(ServerPath(address, through)))

    def live_connections(
        self, address: str, *, through: str = "", process: str = ""
    ) -> frozenset[LiveConnection]:
        """Return the connections to `address` that are open at their other ends as well.

        `through` is as for `begin`; `process` is the name of the process to which they lead, empty
        for any.  A connection that is not read from at the moment does not count: its end would not
        be noticed.
        """
        established = self._established.get(ServerPath(address, through), ())
        return frozenset(c for c in established if c.is_reading and process in ("", c.process))

    def close_idle_tunnels(self, *, usable: Collection[str]) -> None:
        """Close the idle connections through nodes whose addresses are not `usable`."""
        for path in [p for p in self._idle if p.through and p.through not in usable]:
            self._close_idle_before(path, idle_before=float("inf"))

    def close(self) -> None:
        """Close all idle connections."""
        for path in list(self._idle):
            self._close_idle_before(path, idle_before=float("inf"))

    def _close_idle_before(self, path: ServerPath, *, idle_before: float) -> None:
        """Close the idle connections on `path` that became idle before `idle_before`."""
        idle = self._idle.pop(path, [])
        kept = [connection for connection in idle if connection.idle_since >= idle_before]
        if kept:
            self._idle[path] = kept
        for connection in idle:
            if connection not in kept:
                connection.close()

    def _take_idle(
        self, path: ServerPath, max_idle_seconds: float | None, request_id: str, process: str
    ) -> Connection | None:
        """Return an idle connection that has not carried `request_id`; the others stay idle.

        Those that lead to another process than `process` are closed; empty stands for any.
        """
        idle = self._idle.get(path, [])
        now = asyncio.get_running_loop().time()
        for index in reversed(range(len(idle))):
            connection = idle[index]
            is_outdated = process != "" and connection.process not in ("", process)
            if is_outdated or not connection.can_reuse(now, max_idle_seconds):
                idle.pop(index).close()
            elif not connection.has_carried(request_id):
                return idle.pop(index)
        return None

    def _close_one_idle(self, path: ServerPath) -> bool:
        """Close an idle connection to make room for another one; return False without any."""
        idle = self._idle.get(path)
        if not idle:
            return False
        idle.pop(0).close()
        return True

    async def _connect(self, path: ServerPath, seconds: float) -> Connection:
        address = path.address
        self._open_counts[address] = self._open_counts.get(address, 0) + 1
        self._on_connect(address)
        connection: Connection | None = None

        def make_connection() -> Connection:
            nonlocal connection
            connection = Connection(
                released=lambda c: self._release(path, c),
                lost=lambda c: self._lost(path, c),
                read_buffer=self._read_buffer,
            )
            return connection

        try:
            async with asyncio.timeout(seconds):
                if path.through:
                    established = await self._connect_through(path, make_connection)
                else:
                    established = await self._open(make_connection, address)
            self._established.setdefault(path, set()).add(established)
            return established
        except (OSError, TimeoutError, ValueError) as error:
            # A ValueError is that of an address which cannot be looked up.
            raise connect_error(path, error) from None
        finally:
            # `_lost` decrements the count for a connection that came up and was then abandoned.
            if connection is None:
                self._count_closed(address)

    async def _open(self, factory: Callable[[], _P], address: str) -> _P:
        host, _, port = address.rpartition(":")
        open_connection = self._open_connection or _create_connection
        _, protocol = await open_connection(factory, host, whole_number_of("port", port, PORT))
        return protocol

    async def _connect_through(
        self, path: ServerPath, make_connection: Callable[[], Connection]
    ) -> Connection:
        """Return a connection that another node carries; raise `OSError` without one."""
        handshake = TunnelHandshake(address=path.address)
        await self._open(lambda: handshake, path.through)
        transport = await handshake.opened()
        connection = make_connection()
        connection.set_carrier_process(handshake.process)
        transport.set_protocol(connection)
        connection.connection_made(transport)
        return connection

    def _release(self, path: ServerPath, connection: Connection) -> None:
        if connection.usable:
            self._idle.setdefault(path, []).append(connection)

    def _lost(self, path: ServerPath, connection: Connection) -> None:
        idle = self._idle.get(path)
        if idle is not None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)
        established = self._established.get(path)
        if established is not None:
            established.discard(connection)
            if not established:
                del self._established[path]
        self._count_closed(path.address)

    def _count_closed(self, address: str) -> None:
        left = self._open_counts.get(address, 1) - 1
        if left > 0:
            self._open_counts[address] = left
        else:
            self._open_counts.pop(address, None)
