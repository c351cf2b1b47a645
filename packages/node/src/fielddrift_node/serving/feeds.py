"""What the feeds of the platform's rows share: their tools, their rests, and whom they rely on.

The first reader has rows from the platform, the readers of other data centres from it,
the other nodes from the reader of their own; who reads is decided by
`fielddrift_core.readers` at each turn.
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
from .sharing import Peers
from .views import Views

__all__ = ["Feed", "FeedTools", "Rests"]

_LISTEN_SECONDS = 0.3
"""How soon a node that relies on a reader looks whether it is still there; news in the
reader's heartbeats wakes it at once."""
_STANDBY_LISTEN_SECONDS = 0.6
"""The same for a node that stands by: it bears an older reader than active nodes do."""
_FIRST_REST = 0.15
_LONGEST_REST = 1.0
_OTHERS_LONGEST_REST = 6.0
"""The same for a node that is no relay: in an outage of the store the relays notice its return,
and the others need not ask as well.  Their heartbeats end the rest."""

_log = structlog.get_logger()


class Rests:
    """Rest longer after each failure, with jitter; log the loss and the return."""

    def __init__(self, *, what: str, rng: random.Random) -> None:
        self._what = what
        self._rng = rng
        self._failures = 0
        self._news = asyncio.Event()

    @property
    def failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failures > 0

    def worked(self) -> None:
        """Note a call that worked."""
        if self._failures:
            _log.info("dependency regained", what=self._what, failures=self._failures)
        self._failures = 0

    def wake(self) -> None:
        """End the rest: another node has what the call should have brought."""
        self._news.set()

    async def failed(self, error: Exception, *, longest: float = _LONGEST_REST) -> None:
        """Note a call that failed, and rest; `longest` is what a rest grows to, in seconds."""
        if not self._failures:
            _log.warning("dependency lost", what=self._what, error=str(error))
        self._failures += 1
        span = min(longest, _FIRST_REST * 2 ** min(self._failures, 6))
        self._news.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._rng.uniform(span / 2, span)):
                await self._news.wait()


class FeedTools(NamedTuple):
    """What both feeds work with."""

    platform: Platform
    peers: Peers
    neighbours: Neighbours
    views: Views
    rng: random.Random
    bound: float = 2.0
    """Seconds within which a node must know what operators and targets wrote."""


class Feed:
    """What both feeds have: where rows come from, and whom a change concerns."""

    def __init__(
        self,
        *,
        what: str,
        tools: FeedTools,
        changed: Callable[[], None],
    ) -> None:
        self._platform = tools.platform
        self._peers = tools.peers
        self._neighbours = tools.neighbours
        self._views = tools.views
        self._bound = tools.bound
        self._changed = changed
        self._after: int | None = None
        self._rests = Rests(what=what, rng=tools.rng)

    def reader(self) -> Neighbour | None:
        """Return the node that reads for this one, None when it reads for itself."""
        now = asyncio.get_running_loop().time()
        neighbours = self._neighbours
        chosen = source(
            neighbours.me.name,
            READER_KEY,
            neighbours.read_states(now),
            active=neighbours.active(now),
            failing=self._rests.failing,
            capacity=neighbours.capacity,
            bound=self._bound,
        )
        if not chosen.name:
            chosen = self._remote_source(now)
        return neighbours.node(chosen.name) if chosen.name else None

    def _remote_source(self, now: float) -> Source:
        """Return who in another data centre reads for this node, which reads for its own."""
        neighbours = self._neighbours
        oldest = stale_seconds(self._bound)
        if self._views.reading(now).age > oldest and not self._rests.failing:
            # What came from the other reader is not taken in: those who rely on this node wait.
            return Source("")
        return remote_source(
            neighbours.me.name,
            neighbours.remote_read_states(now),
            bound=self._bound,
            failing=self._rests.failing,
            capacity=neighbours.capacity,
        )

    def _listen_seconds(self) -> float:
        """Return how soon to look again whether the reader is still there."""
        active = self._neighbours.is_active(asyncio.get_running_loop().time())
        return _LISTEN_SECONDS if active else _STANDBY_LISTEN_SECONDS

    def returned(self) -> None:
        """Look whether another node reads again, after calls of this one failed."""
        if self._rests.failing and self.reader() is not None:
            self._rests.wake()

    async def _rest(self, error: Exception) -> None:
        """Rest after a call that failed."""
        relay = self._neighbours.is_relay(asyncio.get_running_loop().time())
        longest = _LONGEST_REST if relay else _OTHERS_LONGEST_REST
        await self._rests.failed(error, longest=longest)

    def _reading(self, chosen: Neighbour, now: float) -> ReadState:
        """Return how far the node has read that this one relies on."""
        near = self.is_near(chosen)
        readings = self._neighbours.read_states if near else self._neighbours.remote_read_states
        return readings(now).get(chosen.name, ReadState())

    def is_near(self, node: Neighbour) -> bool:
        """Return whether `node` is in this node's data centre."""
        return node.data_centre == self._neighbours.me.data_centre
