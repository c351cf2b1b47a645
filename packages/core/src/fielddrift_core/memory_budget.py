"""Account for the bytes that a node holds for others, and bound their sum by its memory.

Load pattern: some hundred callers on slow links read responses more slowly than targets produce
them, on hosts with little memory.  256 KB for each, and the bodies of their requests besides,
are more than such a host has, and the process is killed with the requests of all callers.

Each connection of a caller has a record: the bodies of its requests, the bytes of responses that
were written but not taken by the caller, and those that were read from targets and not passed on
yet.  Beyond the soft bound a connection may hold less the fuller the account is, so that reading
from targets pauses for the slowest readers first.  What would pass the hard bound is refused, and
shortly before it the connections are closed that hold most for longest without progress.

Sizes are in bytes, times in seconds of any clock that does not go back.
"""

from __future__ import annotations

__all__ = ["MAX_CONNECTION_BYTES", "MAX_READ_BYTES", "ConnectionBytes", "MemoryBudget"]

MAX_CONNECTION_BYTES = 256 * 1024
"""Response bytes held for one connection before reading from its target pauses."""
MAX_READ_BYTES = 16 * 1024
"""The most that one read from a target returns.  Reading pauses after the read that passes a
bound: with larger reads the first ones for some hundred callers would fill the account."""
_PROCESS_BYTES = 32_000_000
"""Memory of the process without what it holds for others: 20 to 27 MB, and some reserve."""
_HARD_FRACTION = 0.25
"""Fraction of the remaining memory that the account may reach.  A counted byte can exist twice
(a body and its copy for the target, the pieces of a response and their concatenation), and the
buffers of the kernel take memory as well."""
_RESERVE_BYTES = 4 * MAX_READ_BYTES
"""Kept free below the hard bound, for the read that passes it and for framing."""
_MIN_HARD_BYTES = 2_000_000
"""Least hard bound: with less, a node could not hold a few usual requests."""
_SOFT_FRACTION = 0.5
"""Soft bound as a fraction of the hard bound."""
_CLOSE_FRACTION = 0.875
"""Fraction of the hard bound beyond which stalled connections are closed.  The rest is room for
requests that arrive until they are closed; one body may take 4 MB."""
_SLOW_FRACTION = 0.75
"""Fraction of the hard bound up to which responses are read for callers that have not taken all
that was written to them, and down to which connections are closed.  Above it there is room for
new requests and for callers that take everything at once."""
_COLLECTED_FRACTION = 0.25
"""Fraction of the hard bound that responses may hold which are passed on only when complete, in an
account that is full.  With less, others fill it, which bodies and slow readers free again."""
_STALL_SECONDS = 4.0
"""Least time without progress after which a connection counts as stalled.  Callers abandon a
stream after a gap of this length, and a reader of 400 bytes a second acknowledges a segment of
1,460 bytes in it."""
_STALL_GAPS = 2.0
"""A connection that made progress at longer intervals counts as stalled after this many times the
longest one: large segments are acknowledged at long intervals by slow readers."""
_MAX_GAP_SECONDS = 5.0
"""Bound of that interval: progress is sampled only beyond the soft bound, and a longer time may
have passed without a sample."""
_MIN_CLOSE_BYTES = 4096
"""Connections that hold less are not closed: it would free little."""


class ConnectionBytes:
    """The bytes held for the connection of one caller; created by `MemoryBudget.open`."""

    __slots__ = (
        "_body",
        "_budget",
        "_collected",
        "_finished",
        "_longest_gap",
        "_progress_at",
        "_read",
        "_receiving",
        "_taken",
        "_unsent",
        "_written",
    )

    def __init__(self, *, budget: MemoryBudget, now: float) -> None:
        self._budget = budget
        self._body = 0
        self._unsent = 0
        self._read = 0
        self._collected = 0
        self._written = 0
        self._taken = 0
        self._receiving = False
        self._finished = False
        self._progress_at = now
        self._longest_gap = 0.0

    @property
    def held(self) -> int:
        """Return all bytes held for the connection."""
        return self._body + self._unsent + self._read + self._collected

    @property
    def unsent(self) -> int:
        """Return the response bytes that were written and not taken by the caller."""
        return self._unsent

    @property
    def finished(self) -> bool:
        """Return whether the whole response was written."""
        return self._finished

    @property
    def may_read(self) -> bool:
        """Return whether more may be read from a target for this connection."""
        budget = self._budget
        if not budget._hard:
            return True
        if budget._held <= budget._soft:
            return self._unsent + self._read < MAX_CONNECTION_BYTES
        return self._unsent + self._read < budget.allowance(is_slow=self._unsent > 0)

    @property
    def may_resume(self) -> bool:
        """Return whether reading that was paused may be resumed.

        Half of the allowance must be free: what arrived during the pause is read all at once.
        """
        budget = self._budget
        if not budget._hard:
            return True
        return 2 * (self._unsent + self._read) < budget.allowance(is_slow=self._unsent > 0)

    def stalled_seconds(self, now: float) -> float:
        """Return for how long the caller has made no progress; 0 while it is not stalled.

        A connection makes progress when its caller takes response bytes or sends body bytes; one
        that waits for a target or for this node is not stalled.
        """
        if not self._unsent and not self._receiving:
            return 0.0
        seconds = now - self._progress_at
        return seconds if seconds > max(_STALL_SECONDS, _STALL_GAPS * self._longest_gap) else 0.0

    # --- request bodies -------------------------------------------------------

    def reserve_body(self, size: int, now: float) -> None:
        """Count a body of `size` bytes, or a further part of one, that the caller sends now."""
        if not self._receiving:
            self._start_progress(now)
        self._receiving = True
        self._body += size
        self._budget._held += size

    def body_arrived(self, now: float) -> None:
        """Record that bytes of a body arrived."""
        self._progress(now)

    def body_complete(self) -> None:
        """Record that the body that was being read is complete; it is still held."""
        self._receiving = False

    def release_body(self, size: int) -> None:
        """Subtract a body, or the reserved part of one that is not read further."""
        size = min(size, self._body)
        self._body -= size
        self._budget._held -= size

    # --- bytes read from targets ----------------------------------------------

    def add_read(self, size: int) -> bool:
        """Count bytes that were read from a target; return `may_read`."""
        self._read += size
        self._budget._held += size
        return self.may_read

    def release_read(self, size: int) -> None:
        """Subtract bytes that were passed on."""
        size = min(size, self._read)
        self._read -= size
        self._budget._held -= size

    def collect(self, size: int) -> None:
        """Count part of a response that is passed on only when it is complete.

        It does not count for `may_read` of this connection: without its rest it is never freed.
        """
        self._collected += size
        self._budget._held += size

    def release_collected(self, size: int) -> None:
        """Subtract a response that was passed on, or given up."""
        size = min(size, self._collected)
        self._collected -= size
        self._budget._held -= size

    # --- bytes for the caller -------------------------------------------------

    def written(self, size: int, *, unsent: int, now: float) -> None:
        """Record that `size` bytes were written, after which `unsent` were not sent yet."""
        if not self._unsent and unsent:
            self._start_progress(now)
        self._written += size
        self._budget._held += unsent - self._unsent
        self._unsent = unsent

    def sample(self, *, unsent: int, in_kernel: int, now: float) -> bool:
        """Record the current number of unsent bytes, and of those sent but not acknowledged.

        Return whether the caller took something since the last sample.  The kernel accepts bytes
        only in large steps, so this is told from acknowledgements.
        """
        self._budget._held += unsent - self._unsent
        self._unsent = unsent
        taken = self._written - unsent - in_kernel
        if taken <= self._taken:
            return False
        self._taken = taken
        self._progress(now)
        return True

    def begin_response(self) -> None:
        """Record that a request is handled from now on."""
        self._finished = False

    def end_response(self, body_size: int) -> None:
        """Record that a request of `body_size` bytes is handled: nothing more is read for it."""
        self._finished = True
        self.release_body(body_size)
        self.release_read(self._read)
        self.release_collected(self._collected)

    def close(self) -> None:
        """Remove the connection from the account; later changes have no effect on it."""
        budget = self._budget
        budget._records.discard(self)
        budget._held -= self.held
        self._budget = _DETACHED

    def _start_progress(self, now: float) -> None:
        self._progress_at = now
        self._longest_gap = 0.0

    def _progress(self, now: float) -> None:
        gap = min(now - self._progress_at, _MAX_GAP_SECONDS)
        self._longest_gap = max(self._longest_gap, gap)
        self._progress_at = now


class MemoryBudget:
    """The account of a node; `limit_bytes` is the memory limit of its process, 0 for unknown.

    Without a limit bytes are counted, and nothing is refused, paused or closed.
    """

    def __init__(self, *, limit_bytes: int = 0) -> None:
        if limit_bytes < 0:
            raise ValueError(f"memory limit: {limit_bytes} bytes, expected 0 or more")
        free = max(0, limit_bytes - _PROCESS_BYTES)
        self._hard = max(_MIN_HARD_BYTES, int(free * _HARD_FRACTION)) if limit_bytes else 0
        self._soft = int(self._hard * _SOFT_FRACTION)
        self._slow_stop = max(self._soft + 1, int(self._hard * _SLOW_FRACTION))
        self._stop = max(self._soft + 1, self._hard - _RESERVE_BYTES)
        self._close_above = int(self._hard * _CLOSE_FRACTION)
        self._held = 0
        self._records: set[ConnectionBytes] = set()

    @property
    def held(self) -> int:
        """Return the bytes held for all connections."""
        return self._held

    @property
    def hard(self) -> int:
        """Return the bound of the account, 0 without a limit."""
        return self._hard

    @property
    def soft(self) -> int:
        """Return the bound beyond which the slowest readers are paused, 0 without a limit."""
        return self._soft

    @property
    def room(self) -> int:
        """Return the bytes that may be read for slow callers."""
        return max(0, self._slow_stop - self._held)

    @property
    def slow_stop(self) -> int:
        """Return the bound up to which responses are read for slow callers, 0 without a limit."""
        return self._slow_stop if self._hard else 0

    @property
    def collected_bound(self) -> int:
        """Return what responses that are being collected may hold in a full account."""
        return int(self._hard * _COLLECTED_FRACTION)

    @property
    def limited(self) -> bool:
        """Return whether the account is bounded."""
        return self._hard > 0

    @property
    def past_soft(self) -> bool:
        """Return whether the account is beyond its soft bound."""
        return self._hard > 0 and self._held > self._soft

    @property
    def past_close(self) -> bool:
        """Return whether stalled connections are closed."""
        return self._hard > 0 and self._held > self._close_above

    @property
    def full(self) -> bool:
        """Return whether nothing may be read from any target."""
        return self._hard > 0 and self._held >= self._stop

    def allowance(self, *, is_slow: bool) -> int:
        """Return the response bytes that one connection may hold before its target is paused.

        It falls from the upper bound at the soft bound to 0 shortly before the hard bound, for
        slow callers at three quarters of it.
        """
        if not self.past_soft:
            return MAX_CONNECTION_BYTES
        stop = self._slow_stop if is_slow else self._stop
        return MAX_CONNECTION_BYTES * max(0, stop - self._held) // (stop - self._soft)

    def open(self, now: float) -> ConnectionBytes:
        """Return the record of a new connection."""
        record = ConnectionBytes(budget=self, now=now)
        self._records.add(record)
        return record

    def may_take_body(self, size: int) -> bool:
        """Return whether a body of `size` bytes, or a further part of one, may be read."""
        return not self._hard or not size or self._held + size <= self._hard

    def to_close(self, now: float) -> list[ConnectionBytes]:
        """Return the connections to close: those that hold most for longest without progress.

        Those whose response is complete but for its last bytes come last.
        """
        if not self.past_close:
            return []
        stalled = [
            (record.finished, -record.held * seconds, index, record)
            for index, record in enumerate(self._records)
            if record.held >= _MIN_CLOSE_BYTES and (seconds := record.stalled_seconds(now))
        ]
        excess = self._held - self._slow_stop
        chosen = []
        for _, _, _, record in sorted(stalled):
            if excess <= 0:
                break
            chosen.append(record)
            excess -= record.held
        return chosen


_DETACHED = MemoryBudget()
"""The account of closed connections; it is not read."""
