"""Apply the memory budget of a node to its connections.

The server opens a `HeldBytes` for each connection of a caller.  While a request is handled it is
in the context variable `held_for_caller`, so that the client can count what it reads from targets
for this caller, and pause reading, without each function in between passing it on.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections import Counter
from collections.abc import Callable
from contextvars import ContextVar
from typing import NamedTuple, Protocol

import structlog
from fielddrift_core.memory_budget import (
    MAX_CONNECTION_BYTES,
    MAX_READ_BYTES,
    ConnectionBytes,
    MemoryBudget,
)

__all__ = ["HeldBytes", "HostMemory", "bound_receive_buffer", "held_for_caller"]

_CHECK_INTERVAL_SECONDS = 0.1
"""Time between checks beyond the soft bound: at most this long a paused target waits after its
caller took something.  Targets cut off responses that stay unread for some seconds."""
_MIN_RESUMED_COUNT = 16
"""Least number of paused connections that one check resumes, if the budget allows each."""
_SEND_BUFFER_BYTES = 32 * 1024
"""Send buffer of a caller's connection; the kernel doubles it.  It holds a usual response, and
otherwise grows to several MB for slow readers."""
_RECEIVE_BUFFER_BYTES = 64 * 1024
"""Receive buffer; the kernel doubles it.  Connections start with this size, and it otherwise
grows to several MB, which fill while reading is paused."""
_SLOW_CALLER_TIMEOUT_MS = 30_000
"""`TCP_USER_TIMEOUT` of a caller that was seen to take a response slowly.  The kernel counts the
time in which the peer's window is too small for the next segment, though the peer takes part of
it again and again.  Deadlines of requests are shorter, and the budget closes stalled callers."""
_LOG_WINDOW_SECONDS = 10.0
_MAX_LINES_PER_WINDOW = 20
"""Bounds the log lines in an overload that lasts."""

_log = structlog.get_logger()


class Source(Protocol):
    """An exchange with a target, from which reading can be paused."""

    @property
    def address(self) -> str:
        """Return the address of the target."""

    @property
    def complete(self) -> bool:
        """Return whether the whole response has arrived."""

    def pause(self) -> None:
        """Pause reading."""

    def resume_if_allowed(self) -> None:
        """Resume reading if its bounds allow it."""

    def give_up(self, detail: str) -> None:
        """End the exchange with an error, unless its response is complete."""


class HeldBytes:
    """The bytes held for one connection of a caller, and the exchanges that read for it."""

    def __init__(
        self,
        *,
        memory: HostMemory,
        transport: asyncio.Transport,
        record: ConnectionBytes,
        on_abort: Callable[[], None],
    ) -> None:
        self._memory = memory
        self._on_abort = on_abort
        self._transport: asyncio.Transport | None = transport
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._sources: set[Source] = set()
        self._changed = asyncio.Event()
        self._is_paused = False
        self._is_slow = False

    @property
    def record(self) -> ConnectionBytes:
        """Return the connection's entry in the account."""
        return self._record

    @property
    def is_paused(self) -> bool:
        """Return whether reading from targets is paused for this caller."""
        return self._is_paused

    @property
    def limited(self) -> bool:
        """Return whether the node's memory is limited."""
        return self._memory.budget.limited

    def write(self, data: bytes) -> None:
        """Write to the caller and count what could not be sent."""
        transport = self._transport
        if transport is None:
            return
        transport.write(data)
        unsent = transport.get_write_buffer_size()
        record = self._record
        record.written(
            len(data), unsent=unsent, now=self._loop.time() if unsent and not record.unsent else 0.0
        )
        if unsent and self._memory.budget.past_soft:
            self._memory.check_soon()

    def take_body(self, size: int) -> bool:
        """Reserve memory for `size` bytes of a body; return False if there is none."""
        if not self._memory.may_take_body(size):
            return False
        self._record.reserve_body(size, self._loop.time())
        if self._memory.budget.past_soft:
            self._memory.check_soon()
        return True

    def read_from_target(self, source: Source, size: int) -> bool:
        """Count bytes read by `source`; return False if it must pause."""
        if self._record.add_read(size):
            return True
        self._is_paused = True
        memory = self._memory
        memory.check_soon()
        if memory.budget.full:
            memory.pause_all()
        return False

    def add_source(self, source: Source) -> None:
        """Add an exchange that reads for this caller."""
        self._sources.add(source)
        if self._memory.budget.full:
            source.pause()
            self._is_paused = True
            self._memory.check_soon()

    def set_collected(self, source: Source, size: int) -> None:
        """Set the bytes of a response that are passed on only with bytes that have not come."""
        self._memory.set_collected(source, self._record, size)

    def remove_source(self, source: Source) -> None:
        """Remove an exchange that reads no more."""
        self._sources.discard(source)

    def pause_sources(self) -> None:
        """Pause reading from all targets for this caller."""
        for source in self._sources:
            self._is_paused = True
            source.pause()

    async def drain(self) -> None:
        """Wait while reading is paused until the caller has taken what was written.

        Without it, the handler would wait for its target and could take it for silent.
        """
        transport, record = self._transport, self._record
        if transport is None or not self._is_paused:
            return
        if not record.unsent:
            self.resume()
            return
        # With these limits the transport reports when the caller has taken everything.
        transport.set_write_buffer_limits(high=0)
        try:
            while self._transport is not None and record.unsent and not record.may_resume:
                self._changed.clear()
                await self._changed.wait()
        finally:
            transport.set_write_buffer_limits(high=MAX_CONNECTION_BYTES)

    def resume(self) -> None:
        """Resume reading from targets, and writing, where the bounds allow it."""
        self._changed.set()
        if self._is_paused and self._record.may_resume:
            self._is_paused = False
            for source in self._sources:
                source.resume_if_allowed()

    def sample(self, now: float) -> None:
        """Update what the caller has taken."""
        transport, record = self._transport, self._record
        if transport is None or not record.unsent:
            return
        unsent = transport.get_write_buffer_size()
        # Also without unsent bytes: what the kernel holds then would otherwise count as taken, and
        # a caller that takes it slowly would seem to make no progress.
        in_kernel = _unacknowledged_bytes(transport)
        progressed = record.sample(unsent=unsent, in_kernel=in_kernel, now=now)
        if progressed and unsent and self.limited and not self._is_slow:
            self._is_slow = True
            _set_option(
                transport, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SLOW_CALLER_TIMEOUT_MS
            )

    def refresh(self) -> None:
        """Update what the caller has taken, and resume reading where that allows it."""
        self.sample(self._loop.time())
        self.resume()

    def abort(self) -> None:
        """Abort the connection."""
        self._on_abort()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Remove the connection from the account."""
        self._transport = None
        self._changed.set()
        self._record.close()
        self._memory.left(self)


held_for_caller: ContextVar[HeldBytes | None] = ContextVar("held_for_caller", default=None)
"""The bytes held for the caller whose request is handled in this context."""


class _Collected(NamedTuple):
    """What an exchange has collected of a response, and the connection that it counts for."""

    record: ConnectionBytes
    size: int


class HostMemory:
    """The memory budget of a node with the connections that it applies to.

    `limit_bytes` is the memory limit of the process, 0 for unknown.  `on_closed` and `on_refused`
    are called for each connection that is closed and each body that is refused, `on_given_up` for
    each response that is given up.
    """

    def __init__(
        self,
        *,
        limit_bytes: int = 0,
        on_closed: Callable[[], None] = lambda: None,
        on_refused: Callable[[], None] = lambda: None,
        on_given_up: Callable[[], None] = lambda: None,
    ) -> None:
        self._budget = MemoryBudget(limit_bytes=limit_bytes)
        self._on_closed = on_closed
        self._on_refused = on_refused
        self._on_given_up = on_given_up
        self._collected: dict[Source, _Collected] = {}
        self._connections: dict[ConnectionBytes, HeldBytes] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._was_past_soft = False
        self._was_past_close = False
        self._window_start = 0.0
        self._line_count = 0

    @property
    def budget(self) -> MemoryBudget:
        """Return the account."""
        return self._budget

    def open(
        self, transport: asyncio.Transport, *, on_abort: Callable[[], None] = lambda: None
    ) -> HeldBytes:
        """Return the entry of a new connection of a caller; bound its socket's buffers.

        `on_abort` is called before the connection is aborted for memory.
        """
        record = self._budget.open(asyncio.get_running_loop().time())
        held = HeldBytes(memory=self, transport=transport, record=record, on_abort=on_abort)
        self._connections[record] = held
        if self._budget.limited:
            _set_option(transport, socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
            bound_receive_buffer(transport)
        return held

    def left(self, held: HeldBytes) -> None:
        """Remove a closed connection."""
        self._connections.pop(held.record, None)

    def may_take_body(self, size: int) -> bool:
        """Return whether a body of `size` bytes may be read; count it as refused if not."""
        if self._budget.may_take_body(size):
            return True
        self._on_refused()
        self._write_line("body refused for memory", size=size)
        self.check_soon()
        return False

    def set_collected(self, source: Source, record: ConnectionBytes, size: int) -> None:
        """Set what `source` has collected; give up responses without room."""
        collected = self._collected.pop(source, None)
        if collected is not None:
            collected.record.release_collected(collected.size)
        if size:
            record.collect(size)
            self._collected[source] = _Collected(record, size)
            if self._budget.full:
                self._give_up()

    def _give_up(self) -> None:
        """Give up responses that are being collected, while they fill the account.

        None of them is passed on before more of it has come, so that all of them would wait until
        their deadlines.  The target that has sent most loses its largest response first.
        """
        budget, by_address = self._budget, Counter[str]()
        candidates = {s: c for s, c in self._collected.items() if not s.complete}
        for source, collected in candidates.items():
            by_address[source.address] += collected.size
        while by_address.total() > budget.collected_bound and budget.held > budget.slow_stop:
            source, (record, size) = max(
                candidates.items(), key=lambda each: (by_address[each[0].address], each[1].size)
            )
            del candidates[source]
            by_address[source.address] -= size
            detail = f"{size} bytes collected, {budget.held} held in all, at most {budget.hard}"
            self.set_collected(source, record, 0)
            self._write_line("response given up for memory", target=source.address, size=size)
            self._on_given_up()
            source.give_up(detail)
        self.check_soon()

    def pause_all(self) -> None:
        """Pause reading from all targets."""
        for held in self._connections.values():
            held.pause_sources()

    def check_soon(self) -> None:
        """Schedule checks while the account is beyond its soft bound, or a target is paused."""
        if self._timer is None and self._budget.limited:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_CHECK_INTERVAL_SECONDS, self._check)

    def refresh(self) -> None:
        """Update what callers have taken, and resume reading for as many as there is room for.

        If all were resumed at once, what arrived for them during the pause could fill the account.
        """
        now = asyncio.get_running_loop().time()
        for held in self._connections.values():
            held.sample(now)
        paused = [held for held in self._connections.values() if held.is_paused]
        paused.sort(key=lambda held: held.record.unsent)
        for held in paused[: max(_MIN_RESUMED_COUNT, self._budget.room // MAX_READ_BYTES)]:
            held.resume()

    def _check(self) -> None:
        self._timer = None
        # Before the refresh: the account may be beyond the bound only for a short time.
        self._log_bounds()
        if self._budget.full:
            self._give_up()
        self.refresh()
        now = asyncio.get_running_loop().time()
        for record in self._budget.to_close(now):
            self._write_line(
                "connection closed for memory",
                bytes=record.held,
                stalled_seconds=round(record.stalled_seconds(now), 2),
                finished=record.finished,
            )
            self._on_closed()
            self._connections[record].abort()
        self._log_bounds()
        if self._budget.past_soft or any(held.is_paused for held in self._connections.values()):
            self.check_soon()

    def _log_bounds(self) -> None:
        budget = self._budget
        if budget.past_soft is not self._was_past_soft:
            self._was_past_soft = budget.past_soft
            self._write_line("memory soft bound", passed=budget.past_soft)
        if budget.past_close is not self._was_past_close:
            self._was_past_close = budget.past_close
            self._write_line("memory hard bound near", passed=budget.past_close)

    def _write_line(self, event: str, **fields: object) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._window_start > _LOG_WINDOW_SECONDS:
            self._window_start, self._line_count = now, 0
        self._line_count += 1
        if self._line_count > _MAX_LINES_PER_WINDOW:
            return
        budget = self._budget
        _log.warning(
            event,
            held=budget.held,
            soft=budget.soft,
            hard=budget.hard,
            connections=len(self._connections),
            **fields,
        )


def bound_receive_buffer(transport: asyncio.BaseTransport) -> None:
    """Keep the kernel from growing the receive buffer of a connection."""
    _set_option(transport, socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)


def _set_option(transport: asyncio.BaseTransport, level: int, option: int, value: int) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel has accepted and the peer has not acknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    with contextlib.suppress(OSError):
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return int(struct.unpack("i", answer)[0])
    return 0
