"""Queue prompts at this node until an engine has memory for them."""

from __future__ import annotations

import asyncio
import contextlib

from fielddrift_core.prompt_queue import MemoryTurnover, PromptQueue, WaitingPrompt
from fielddrift_core.rank_reserve import RankReserve
from fielddrift_core.returns import UsualCapacity, UsualRate

__all__ = ["ServiceQueue", "ServiceQueues"]


class ServiceQueue:
    """The queue for one service's engines, and how fast their memory turns over."""

    def __init__(self) -> None:
        self.queue = PromptQueue()
        """Prompts that any engine of the service may run."""
        self._restricted: dict[str, PromptQueue] = {}
        """Prompts that only engines of one software version may run, by that version."""
        self.turnover = MemoryTurnover()
        self.usual_rate = UsualRate()
        """Tokens per second of the prompts that came to this node for the first time."""
        self.usual_capacity = UsualCapacity()
        """Tokens per second that the engines' memory usually turns over."""
        self._reserves: dict[int, RankReserve] = {}
        self._wakeups: dict[int, asyncio.Event] = {}

    def restricted(self, software: str) -> PromptQueue:
        """Return the queue of prompts that only engines of the version `software` may run.

        They wait apart: prompts that may go elsewhere must not wait behind them.
        """
        return self._restricted.setdefault(software, PromptQueue())

    def discard_empty(self) -> None:
        """Remove the queues of versions for which no prompt waits."""
        for software in [name for name, queue in self._restricted.items() if not len(queue)]:
            del self._restricted[software]

    def largest_reserve(self, now: float) -> float:
        """Return the largest fraction of memory that any rank leaves to higher ones."""
        return max((each.fraction_at(now) for each in self._reserves.values()), default=0.0)

    def reserve(self, rank: int) -> RankReserve:
        """Return the reserve that prompts of `rank` leave to higher ranks."""
        return self._reserves.setdefault(rank, RankReserve())

    async def wait_turn(self, waiter: WaitingPrompt, seconds: float) -> None:
        """Wait until `waiter` may be first in the queue, for at most `seconds`."""
        event = self._wakeups[id(waiter)] = asyncio.Event()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await event.wait()
        finally:
            del self._wakeups[id(waiter)]

    def wake_first(self) -> None:
        """Wake the first prompt of each queue, so that it looks for an engine with memory."""
        for queue in (*self._restricted.values(), self.queue):
            first = queue.head()
            if first is not None and id(first) in self._wakeups:
                self._wakeups[id(first)].set()


class ServiceQueues:
    """The queues of all services."""

    def __init__(self) -> None:
        self._queues: dict[str, ServiceQueue] = {}

    def of(self, service: str) -> ServiceQueue:
        """Return the queue for the engines of `service`; create it if needed."""
        return self._queues.setdefault(service, ServiceQueue())

    def largest_reserve(self, now: float) -> float:
        """Return the largest fraction of memory reserved for higher ranks, of all services."""
        return max((queue.largest_reserve(now) for queue in self._queues.values()), default=0.0)

    def wake_all(self) -> None:
        """Wake the first prompt of each queue: some engine may have memory again."""
        for queue in self._queues.values():
            queue.wake_first()
