"""Send HTTP/1.1 requests over kept connections, and tell how an answer ended.

Nothing here sends a request twice.  `ExchangeError.sent` says whether any byte
of the request may have reached the other side.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from .messages import Headers, ResponseHead
from .server import prepare_socket

__all__ = ["Client", "Exchange", "ExchangeError", "Reply", "Timeouts"]

_IDLE_SECONDS = 4.0
"""How long an idle connection is kept where the other side names no time."""
_IDLE_MARGIN = 0.7
"""Part of the named time for which an idle connection is trusted."""
_MOST_MISMATCHED = 3
"""Answers of earlier requests that are skipped before a connection is given up."""
_MOST_BUFFERED = 256 * 1024
"""Bytes of an answer that wait for a slow reader before the sender is held up."""


class ExchangeError(Exception):
    """An exchange that did not end with a whole answer.

    `sent` is False when surely no byte of the request left; `reason` is a
    short word for the counters.  `refused` is True when nobody listens there.
    """

    def __init__(self, detail: str, *, sent: bool, reason: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.sent = sent
        self.reason = reason
        self.refused = refused


class Timeouts(NamedTuple):
    """Limits on one whole call, in seconds."""

    connect: float = 0.5
    whole: float = 1.0


class Reply(NamedTuple):
    """A whole answer."""

    head: ResponseHead
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection to a target; it carries one exchange at a time."""

    def __init__(
        self, *, rested: Callable[[_Connection], None], lost: Callable[[_Connection], None]
    ) -> None:
        self._rested = rested
        self._lost = lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._sound = True
        self._answered = True
        self._parser = httptools.HttpResponseParser(self)
        self._unframed = False
        self._skipping = False
        self._fields = Headers()
        self._keep_seconds = _IDLE_SECONDS
        self.idle_since = self._loop.time()

    # --- state --------------------------------------------------------------

    @property
    def usable(self) -> bool:
        """Return whether another exchange may begin here."""
        return self._sound and self._transport is not None and not self._transport.is_closing()

    def fresh(self, now: float, most_idle: float | None) -> bool:
        """Return whether the other side surely still waits for a request at `now`."""
        most = self._keep_seconds if most_idle is None else min(self._keep_seconds, most_idle)
        return self.usable and now - self.idle_since <= most

    def begin(self, exchange: Exchange, data: bytes) -> None:
        """Send a request."""
        assert self._transport is not None
        self._exchange = exchange
        self._answered = False
        self._skipped = 0
        self._transport.write(data)

    def close(self) -> None:
        """Drop the connection and whatever is under way on it."""
        self._sound = False
        if self._transport is not None:
            self._transport.abort()

    # --- asyncio ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        prepare_socket(transport)

    def data_received(self, data: bytes) -> None:
        if self._exchange is None:
            # Nothing was asked: these bytes belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._exchange is not None:
                self._fail(f"not an answer: {error}", "garbled")
            self.close()

    def eof_received(self) -> bool:
        exchange = self._exchange
        if exchange is not None and self._unframed and not self._skipping:
            self._sound = False
            self._finish(exchange)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._sound = False
        if self._exchange is not None:
            self._fail(f"connection lost: {exc or 'closed'}", "reset")
        self._lost(self)

    def pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # --- httptools ----------------------------------------------------------

    def on_message_begin(self) -> None:
        self._fields = Headers()
        self._unframed = False
        self._skipping = False
        if self._answered:
            self._sound = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields.add(name, value)

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        exchange = self._exchange
        if self._answered or exchange is None or status < 200:
            self._skipping = True
            return
        fields = self._fields
        length = fields.text(b"content-length")
        chunked = fields.get(b"transfer-encoding") is not None
        bodyless = status in (204, 304)
        self._unframed = not length and not chunked and not bodyless
        keep = self._parser.should_keep_alive() and not self._unframed
        head = ResponseHead(status, fields, int(length) if length.isdigit() else None, keep)
        if not exchange.accepts(head):
            self._skipping = True
            self._skipped += 1
            if self._skipped > _MOST_MISMATCHED or self._unframed:
                self._fail("answers of other requests only", "mismatch")
                self.close()
            return
        self._sound = self._sound and keep
        named = fields.text(b"keep-alive").lower().partition("timeout=")[2].partition(",")[0]
        if named.strip().isdigit():
            self._keep_seconds = int(named) * _IDLE_MARGIN
        exchange.headed(head)

    def on_body(self, body: bytes) -> None:
        if not self._skipping and self._exchange is not None:
            self._exchange.received(body)

    def on_message_complete(self) -> None:
        if self._skipping or self._exchange is None:
            return
        self._finish(self._exchange)

    # --- ends ---------------------------------------------------------------

    def _finish(self, exchange: Exchange) -> None:
        self._answered = True
        self._exchange = None
        unread = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unread:
            # Answered before the request was read whole: the rest must not
            # be taken for another request.
            self.close()
        self.idle_since = self._loop.time()
        # Its reader may have held it up; the next exchange must not wait for that one.
        self.resume_reading()
        if self._sound:
            # It is at rest before whoever waits for the answer sends again; what
            # else stands in the bytes at hand has spoilt it by then.
            self._rested(self)
        elif self._transport is not None:
            self._transport.close()
        exchange.completed()

    def _fail(self, detail: str, reason: str) -> None:
        exchange, self._exchange = self._exchange, None
        self._answered = True
        if exchange is not None:
            exchange.failed(ExchangeError(detail, sent=True, reason=reason))


class Exchange:
    """One request and its answer, as the answer arrives."""

    def __init__(self, *, accepts: Callable[[ResponseHead], bool]) -> None:
        self._accepts = accepts
        self._loop = asyncio.get_running_loop()
        self._head: ResponseHead | None = None
        self._pieces: deque[bytes] = deque()
        self._buffered = 0
        self._complete = False
        self._error: ExchangeError | None = None
        self._changed = asyncio.Event()
        self._connection: _Connection | None = None
        self._kept = False

    @property
    def kept(self) -> bool:
        """Return whether the connection had carried an exchange before this one."""
        return self._kept

    @property
    def complete(self) -> bool:
        """Return whether the whole answer has arrived."""
        return self._complete

    def bind(self, connection: _Connection, *, kept: bool = False) -> None:
        """Note which connection carries the exchange, and whether it is one that was kept."""
        self._connection = connection
        self._kept = kept

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether `head` answers this request."""
        return self._accepts(head)

    def headed(self, head: ResponseHead) -> None:
        """Take the head."""
        self._head = head
        self._changed.set()

    def received(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._pieces.append(data)
        self._buffered += len(data)
        if self._buffered > _MOST_BUFFERED and self._connection is not None:
            self._connection.pause_reading()
        self._changed.set()

    def completed(self) -> None:
        """Note the end of a whole answer."""
        self._complete = True
        # The connection may carry another exchange from now on.
        self._connection = None
        self._changed.set()

    def failed(self, error: ExchangeError) -> None:
        """Note that the answer broke off."""
        self._error = error
        self._changed.set()

    async def head(self) -> ResponseHead:
        """Return the head once it is here; raise `ExchangeError`."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        return self._head

    async def piece(self) -> bytes:
        """Return what has arrived of the body; empty at its end.  Raise `ExchangeError`."""
        while not self._pieces:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        data = b"".join(self._pieces)
        self._pieces.clear()
        if self._buffered > _MOST_BUFFERED and self._connection is not None:
            self._connection.resume_reading()
        self._buffered = 0
        return data

    async def body(self) -> bytes:
        """Return the whole body; raise `ExchangeError`."""
        pieces = []
        while data := await self.piece():
            pieces.append(data)
        return b"".join(pieces)

    def cancel(self) -> None:
        """Drop the connection unless the answer has come whole."""
        if not self._complete and self._connection is not None:
            self._connection.close()


class Client:
    """Keep connections to targets, and run exchanges over them."""

    def __init__(self, *, opened: Callable[[str], None] = lambda address: None) -> None:
        self._opened = opened
        self._idle: dict[str, list[_Connection]] = {}
        self._open: dict[str, int] = {}

    async def begin(
        self,
        address: str,
        data: bytes,
        *,
        connect_seconds: float,
        accepts: Callable[[ResponseHead], bool] = lambda head: True,
        most_idle: float | None = None,
        most_open: int | None = None,
    ) -> Exchange:
        """Send `data`, a whole request, and return its exchange.

        `most_idle` bounds for how many seconds a kept connection may have
        rested, `most_open` how many connections to the address there may be.
        Raise `ExchangeError` with `sent` False when no connection came up.
        """
        connection = self._take(address, most_idle)
        kept = connection is not None
        if connection is None:
            if most_open is not None and self._open.get(address, 0) >= most_open:
                detail = f"{address}: {most_open} connections are open"
                raise ExchangeError(detail, sent=False, reason="connections")
            connection = await self._connect(address, connect_seconds)
        exchange = Exchange(accepts=accepts)
        exchange.bind(connection, kept=kept)
        connection.begin(exchange, data)
        return exchange

    async def call(
        self, address: str, data: bytes, *, timeouts: Timeouts, most_idle: float | None = None
    ) -> Reply:
        """Send a whole request and return its whole answer; raise `ExchangeError`."""
        exchange: Exchange | None = None
        began = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeouts.whole):
                exchange = await self.begin(
                    address, data, connect_seconds=timeouts.connect, most_idle=most_idle
                )
                return Reply(await exchange.head(), await exchange.body())
        except TimeoutError:
            sent = exchange is not None
            # Connections fall silent together: one kept since before would hang as long.
            self._close_idle(address, rested_before=began)
            detail = f"{address}: no answer in {timeouts.whole} s"
            raise ExchangeError(detail, sent=sent, reason="timeout") from None
        finally:
            if exchange is not None:
                exchange.cancel()

    async def connect(self, address: str, *, seconds: float) -> None:
        """Open a connection and keep it for an exchange to come; raise `ExchangeError`."""
        self._rested(address, await self._connect(address, seconds))

    def forget(self, address: str) -> None:
        """Close the idle connections to `address`."""
        self._close_idle(address, rested_before=float("inf"))

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _close_idle(self, address: str, *, rested_before: float) -> None:
        """Close the connections to `address` that have carried nothing since `rested_before`."""
        idle = self._idle.pop(address, [])
        kept = [connection for connection in idle if connection.idle_since >= rested_before]
        if kept:
            self._idle[address] = kept
        for connection in idle:
            if connection not in kept:
                connection.close()

    def _take(self, address: str, most_idle: float | None) -> _Connection | None:
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.fresh(now, most_idle):
                return connection
            connection.close()
        return None

    async def _connect(self, address: str, seconds: float) -> _Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._open[address] = self._open.get(address, 0) + 1
        self._opened(address)
        connection: _Connection | None = None

        def made() -> _Connection:
            nonlocal connection
            connection = _Connection(
                rested=lambda c: self._rested(address, c),
                lost=lambda c: self._lost(address, c),
            )
            return connection

        try:
            async with asyncio.timeout(seconds):
                _, found = await loop.create_connection(made, host, int(port))
        except (OSError, TimeoutError) as error:
            detail = f"{address}: no connection: {error or 'timeout'}"
            refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeError(detail, sent=False, reason="connect", refused=refused) from None
        finally:
            # One that came up and was given up is counted off by `_lost`.
            if connection is None:
                self._drop(address)
        return found

    def _rested(self, address: str, connection: _Connection) -> None:
        if connection.usable:
            self._idle.setdefault(address, []).append(connection)

    def _lost(self, address: str, connection: _Connection) -> None:
        idle = self._idle.get(address)
        if idle is not None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)
        self._drop(address)

    def _drop(self, address: str) -> None:
        left = self._open.get(address, 1) - 1
        if left > 0:
            self._open[address] = left
        else:
            self._open.pop(address, None)
