"""Queue requests to plain services at this node until a target has room for them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Collection

from fielddrift_core.plain_queue import PlainQueue, WaitingRequest

__all__ = ["PlainQueues", "PlainServiceQueue"]


class PlainServiceQueue:
    """The queue for one service's targets, whose requests are woken in order."""

    def __init__(self) -> None:
        self._queue = PlainQueue()
        self._wakeups: dict[int, asyncio.Event] = {}

    @property
    def queue(self) -> PlainQueue:
        """Return the waiting requests and what the targets can take."""
        return self._queue

    async def wait_turn(self, waiting: WaitingRequest, seconds: float) -> None:
        """Wait until a target may have room for `waiting`, for at most `seconds`."""
        event = self._wakeups[id(waiting)] = asyncio.Event()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await event.wait()
        finally:
            del self._wakeups[id(waiting)]

    def is_first(self, waiting: WaitingRequest) -> bool:
        """Return whether no other request comes before `waiting`."""
        order = self._queue.in_order(asyncio.get_running_loop().time())
        return bool(order) and order[0] is waiting

    def wake(self, *, after: WaitingRequest | None = None) -> None:
        """Wake the first request, or the one that follows `after`, so that it looks for room."""
        if not self._wakeups:
            return
        order = self._queue.in_order(asyncio.get_running_loop().time())
        position = 0
        if after is not None:
            position = 1 + next((n for n, each in enumerate(order) if each is after), -1)
        if position < len(order) and id(order[position]) in self._wakeups:
            self._wakeups[id(order[position])].set()


class PlainQueues:
    """The queues of all plain services."""

    def __init__(self) -> None:
        self._queues: dict[str, PlainServiceQueue] = {}

    def of(self, service: str) -> PlainServiceQueue:
        """Return the queue for the targets of `service`; create it if needed."""
        return self._queues.setdefault(service, PlainServiceQueue())

    def known(self, service: str) -> PlainQueue | None:
        """Return the queue for the targets of `service`, None if it has had no requests."""
        service_queue = self._queues.get(service)
        return None if service_queue is None else service_queue.queue

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait at this node."""
        return sum(len(each.queue) for each in self._queues.values())

    @property
    def limits(self) -> int:
        """Return the sum of the learned limits of all targets."""
        return sum(each.queue.limits for each in self._queues.values())

    def retain(self, targets: Collection[str]) -> None:
        """Drop what is known of targets that are not among `targets`."""
        for each in self._queues.values():
            each.queue.retain(targets)

    def wake_all(self) -> None:
        """Wake the first request of each queue: some target may have room again."""
        for each in self._queues.values():
            each.wake()
