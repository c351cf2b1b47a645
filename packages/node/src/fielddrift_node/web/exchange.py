"""One request and its response, which is read as it arrives."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from .errors import GARBLED_REASON, MEMORY_REASON, BoundExceeded, ExchangeError
from .host_memory import HeldBytes
from .messages import ResponseHead

__all__ = ["Carrier", "Exchange", "MAX_BODY_BYTES"]

_MAX_BUFFERED_BYTES = 256 * 1024
"""Body bytes buffered for a slow reader before reading from the connection pauses."""
MAX_BODY_BYTES = 32 * 1024 * 1024
"""Bytes of a body that is collected whole.  A limited node pauses reading earlier if little of its
memory is left; bodies that are passed on as they arrive have no bound."""


class Carrier(Protocol):
    """The connection that carries an exchange, as the exchange knows it."""

    @property
    def carrier_process(self) -> str:
        """Return the id of the process that carries the connection, empty for none or unknown."""

    @property
    def process(self) -> str:
        """Return the name of the process to which the connection leads, empty if not known."""

    def forbid_reuse(self) -> None:
        """Close the connection at the end of its exchange."""

    def pause_reading(self) -> None:
        """Pause reading from the connection."""

    def resume_reading(self) -> None:
        """Resume reading from the connection."""

    def fail(self, detail: str, reason: str) -> None:
        """Abort the connection, and end the exchange on it with an error."""

    def close(self) -> None:
        """Abort the connection and the exchange on it."""


class Exchange:
    """One request and its response, which is read as it arrives.

    `on_bytes` is called when bytes of any kind arrive on its connection.  `held` counts the bytes
    for the caller on whose behalf the response is read, and may pause or end it.  `address` is
    that of the server.
    """

    def __init__(
        self,
        *,
        accepts: Callable[[ResponseHead], bool],
        on_bytes: Callable[[], None] = lambda: None,
        held: HeldBytes | None = None,
        address: str = "",
    ) -> None:
        self._accepts = accepts
        self._address = address
        self.on_bytes = on_bytes
        self._held = held
        self._paused = False
        self._loop = asyncio.get_running_loop()
        self._head: ResponseHead | None = None
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._complete = False
        self._is_repeated = False
        self._error: ExchangeError | None = None
        self._changed = asyncio.Event()
        self._connection: Carrier | None = None
        self._kept = False
        self._through = ""
        self._carrier_process = ""
        self._process = ""

    @property
    def process(self) -> str:
        """Return the name of the process to which the connection leads, empty if not known."""
        return self._process

    @property
    def address(self) -> str:
        """Return the address of the server, empty if it was not given."""
        return self._address

    @property
    def through(self) -> str:
        """Return the address of the node that carries the connection, empty for none."""
        return self._through

    @property
    def carrier_process(self) -> str:
        """Return the id of the process of that node, empty if it is not known."""
        return self._carrier_process

    @property
    def kept(self) -> bool:
        """Return whether the connection is a reused one."""
        return self._kept

    @property
    def complete(self) -> bool:
        """Return whether the whole response has arrived."""
        return self._complete

    @property
    def is_repeated(self) -> bool:
        """Return whether the response may be a late copy of one to an earlier request."""
        return self._is_repeated

    def mark_repeated(self) -> None:
        """Note that the connection has carried the same response to an earlier request."""
        self._is_repeated = True

    def bind(self, connection: Carrier, *, kept: bool = False, through: str = "") -> None:
        """Set the connection that carries the exchange, and whether it is a reused one.

        `through` is the address of the node that carries the connection, empty for none.
        """
        self._connection = connection
        self._kept = kept
        self._through = through
        self._carrier_process = connection.carrier_process
        self._process = connection.process
        if self._held is not None:
            self._held.add_source(self)

    def forbid_reuse(self) -> None:
        """Close the connection behind the response, which is not complete yet."""
        if self._connection is not None:
            self._connection.forbid_reuse()

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether `head` belongs to the response to this request."""
        return self._accepts(head)

    def head_received(self, head: ResponseHead) -> None:
        """Set the head of the response."""
        self._head = head
        self._changed.set()

    def body_received(self, data: bytes) -> None:
        """Append `data` to the body; pause the connection while too much is buffered."""
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        held = self._held
        may_read = held is None or held.read_from_target(self, len(data))
        if not may_read or self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self.pause()
        self._changed.set()

    def pause(self) -> None:
        """Pause reading from the connection."""
        if self._connection is not None and not self._paused:
            self._paused = True
            self._connection.pause_reading()

    def resume_if_allowed(self) -> None:
        """Resume reading from the connection unless too much is buffered."""
        held = self._held
        if (
            self._paused
            and self._connection is not None
            and self._buffered_bytes <= _MAX_BUFFERED_BYTES
            and (held is None or held.record.may_resume)
        ):
            self._paused = False
            self._connection.resume_reading()

    def give_up(self, detail: str) -> None:
        """End the exchange with an error and drop what was not read, unless it has ended."""
        connection, held = self._connection, self._held
        if connection is None or self._error is not None:
            return
        connection.fail(detail, MEMORY_REASON)
        if held is not None:
            held.record.release_read(self._buffered_bytes)
        self._buffer.clear()
        self._buffered_bytes = 0

    def completed(self) -> None:
        """Mark the response as complete."""
        self._complete = True
        # From now on the connection may carry another exchange.
        self._connection = None
        self._reading_ended()
        self._changed.set()

    def failed(self, error: ExchangeError) -> None:
        """Mark the response as ended by `error`."""
        self._error = error
        self._reading_ended()
        self._changed.set()

    async def head(self) -> ResponseHead:
        """Wait for the head and return it; raise `ExchangeError` if the exchange fails."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        return self._head

    async def read(self) -> bytes:
        """Wait for body bytes and return all that have arrived; empty at the end of the body.

        Raise `ExchangeError` if the exchange fails.
        """
        while not self._buffer:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        if self._held is not None:
            self._held.record.release_read(len(data))
        if self._paused:
            self.resume_if_allowed()
        return data

    async def body(self, *, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Wait for the end of the body and return all of it.

        Raise `ExchangeError` if the exchange fails, or the body is larger than `max_bytes`.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            head = await self.head()
            # A complete response may tell of a body that does not follow, as one to HEAD does.
            self._check_body(0 if self._complete else head.length or 0, max_bytes)
            while count := await self._collect(chunks):
                size += count
                self._check_body(size, max_bytes)
                self.retain(size)
            return b"".join(chunks)
        finally:
            # An error keeps this frame, and often a cycle keeps the error for minutes.
            chunks.clear()
            self.retain(0)

    def retain(self, size: int) -> None:
        """Set how many bytes that were read are kept until more of the response has come.

        They count for the caller until the exchange is cancelled.
        """
        if self._held is not None:
            self._held.set_collected(self, size)

    async def _collect(self, chunks: list[bytes]) -> int:
        """Append the next bytes of the body to `chunks`; return their number."""
        chunks.append(await self.read())
        return len(chunks[-1])

    def _check_body(self, size: int, max_bytes: int) -> None:
        """Abort the connection and raise `ExchangeError` if `size` exceeds `max_bytes`."""
        if size > max_bytes:
            self.cancel()
            error = BoundExceeded("body", size, max_bytes)
            raise ExchangeError(str(error), sent=True, reason=GARBLED_REASON)

    def cancel(self) -> None:
        """Abort the connection unless the response is complete."""
        if not self._complete and self._connection is not None:
            self._connection.close()
        self._reading_ended()
        if self._held is not None:
            self._held.record.release_read(self._buffered_bytes)
            self._held.set_collected(self, 0)
            self._held = None
        self._buffer.clear()
        self._buffered_bytes = 0

    def _reading_ended(self) -> None:
        if self._held is not None:
            self._held.remove_source(self)
