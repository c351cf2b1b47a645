"""Common parts of the feeds that follow the platform's rows: tools, backoff and choice of source.

One node reads the rows from the platform. The readers of the other data centres copy them from that
node, and all other nodes copy them from the reader of their own data centre.
`fielddrift_core.readers` chooses the readers, once per turn.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import NamedTuple

import structlog
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.readers import (
    READER_KEY,
    ReadState,
    Source,
    remote_source,
    source,
    stale_seconds,
)

from .ports import Platform
from .sharing import PeerClient
from .views import Views

__all__ = ["Backoff", "Feed", "FeedTools"]

_READER_CHECK_SECONDS = 0.3
"""Interval at which a node checks that its reader is still alive. News in the reader's heartbeats
ends the wait at once."""
_STANDBY_READER_CHECK_SECONDS = 0.6
"""The same for a standby node, which tolerates an older reader than active nodes do."""
_BACKOFF_BASE_SECONDS = 0.15
_MAX_BACKOFF_SECONDS = 1.0
_MAX_NON_RELAY_BACKOFF_SECONDS = 6.0
"""The same for a node that is not a relay. In an outage of the store the relays detect its return,
so the other nodes need not poll as often. Heartbeats of the relays end their wait."""

_log = structlog.get_logger()


class Backoff:
    """Exponential backoff with jitter. Logs the loss of a dependency and its return."""

    def __init__(self, *, what: str, rng: random.Random) -> None:
        self._what = what
        self._rng = rng
        self._failures = 0
        self._interrupted = asyncio.Event()

    @property
    def failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failures > 0

    def succeeded(self) -> None:
        """Record a successful call, which resets the backoff."""
        if self._failures:
            _log.info("dependency regained", what=self._what, failures=self._failures)
        self._failures = 0

    def interrupt(self) -> None:
        """End the wait early because another node has the data that the failed call was for."""
        self._interrupted.set()

    async def failed(self, error: Exception, *, max_seconds: float = _MAX_BACKOFF_SECONDS) -> None:
        """Record a failed call and wait up to `max_seconds` before the next one."""
        if not self._failures:
            _log.warning("dependency lost", what=self._what, error=str(error))
        self._failures += 1
        delay = min(max_seconds, _BACKOFF_BASE_SECONDS * 2 ** min(self._failures, 6))
        self._interrupted.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._rng.uniform(delay / 2, delay)):
                await self._interrupted.wait()


class FeedTools(NamedTuple):
    """Dependencies that both feeds share."""

    platform: Platform
    peers: PeerClient
    neighbours: Neighbours
    views: Views
    rng: random.Random
    max_staleness_seconds: float = 2.0
    """Seconds within which a node must learn of changes that operators and targets wrote."""


class Feed:
    """Base of the feeds: chooses the source of the rows, and reports changes."""

    def __init__(
        self,
        *,
        what: str,
        tools: FeedTools,
        on_change: Callable[[], None],
    ) -> None:
        self._platform = tools.platform
        self._peers = tools.peers
        self._neighbours = tools.neighbours
        self._views = tools.views
        self._max_staleness_seconds = tools.max_staleness_seconds
        self._on_change = on_change
        self._after: int | None = None
        self._backoff = Backoff(what=what, rng=tools.rng)

    def reader(self) -> Neighbour | None:
        """Return the node to copy the rows from, None if this node reads from the platform."""
        now = asyncio.get_running_loop().time()
        neighbours = self._neighbours
        active = neighbours.active(now)
        read_states = neighbours.read_states(now, active)
        if not read_states and neighbours.me.name not in active:
            # No active node can be asked, so any node may be.
            read_states = neighbours.read_states(now)
        chosen = source(
            neighbours.me.name,
            READER_KEY,
            read_states,
            active=active,
            failing=self._backoff.failing,
            capacity=neighbours.capacity,
            bound=self._max_staleness_seconds,
        )
        if not chosen.name:
            chosen = self._remote_source(now)
        return neighbours.node(chosen.name) if chosen.name else None

    def _remote_source(self, now: float) -> Source:
        """Return the source in another data centre, for the reader of this data centre."""
        neighbours = self._neighbours
        max_age = stale_seconds(self._max_staleness_seconds)
        if self._views.read_state(now).age > max_age and not self._backoff.failing:
            # The remote copy is overdue. This node reads the platform itself, as other nodes copy
            # from it.
            return Source("")
        return remote_source(
            neighbours.me.name,
            neighbours.remote_read_states(now),
            bound=self._max_staleness_seconds,
            failing=self._backoff.failing,
            capacity=neighbours.capacity,
        )

    def _reader_check_seconds(self) -> float:
        """Return the interval at which to check that the reader is still alive."""
        active = self._neighbours.is_active(asyncio.get_running_loop().time())
        return _READER_CHECK_SECONDS if active else _STANDBY_READER_CHECK_SECONDS

    def returned(self) -> None:
        """End the backoff if another node can read again after calls of this node failed."""
        if self._backoff.failing and self.reader() is not None:
            self._backoff.interrupt()

    async def _back_off(self, error: Exception) -> None:
        """Back off after a failed call."""
        relay = self._neighbours.is_relay(asyncio.get_running_loop().time())
        max_seconds = _MAX_BACKOFF_SECONDS if relay else _MAX_NON_RELAY_BACKOFF_SECONDS
        await self._backoff.failed(error, max_seconds=max_seconds)

    def _reading_of(self, chosen: Neighbour, now: float) -> ReadState:
        """Return how far `chosen`, the node that this one copies from, has read."""
        if self.is_local(chosen):
            read_states = self._neighbours.read_states(now, [chosen.name])
        else:
            read_states = self._neighbours.remote_read_states(now)
        return read_states.get(chosen.name, ReadState())

    def is_local(self, node: Neighbour) -> bool:
        """Return whether `node` is in this node's data centre."""
        return node.data_centre == self._neighbours.me.data_centre
