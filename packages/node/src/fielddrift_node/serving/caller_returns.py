"""Tell refused callers when to return, in agreement with the other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.prompt_queue import late_rank, queue_name
from fielddrift_core.returns import free_rate, return_delay, returns_name, usual_rate_name

from .call import Call, ServingContext

__all__ = ["CallerReturns"]

_OWN_RATE = "rate"
"""Key of this node's usual rate in its own loads."""
_RATE_INTERVAL_SECONDS = 1.0


class _ReturnTime(NamedTuple):
    """After how many seconds a caller should return, and the tokens and the rate behind it."""

    seconds: float
    backlog: int
    rate: float


class CallerReturns:
    """What is free for callers that return, and the times at which they are told to do so."""

    def __init__(self, *, context: ServingContext) -> None:
        self._context = context
        self._refreshing: set[str] = set()
        """Services whose usual rate is reported anew each second."""

    def record_first(self, call: Call) -> None:
        """Count the prompt of a caller that comes for the first time."""
        prompt, service = call.parsed.prompt, call.service.name
        assert prompt is not None
        now = asyncio.get_running_loop().time()
        self._context.views.service_queues.of(service).usual_rate.add(prompt.tokens, now)
        if service not in self._refreshing:
            self._refreshing.add(service)
            self._report_rate(service)

    def wait(self, call: Call) -> float:
        """Return the seconds until there is room for a prompt that comes after all others."""
        prompt = call.parsed.prompt
        assert prompt is not None
        ranks = call.ranks.ranks
        late = [late_rank(rank) for rank in ranks if rank <= call.rank]
        ahead = self.waiting_tokens(call, [*ranks, *late])
        rate = self._free_rate(call)
        return (ahead + prompt.tokens) / rate if rate > 0 else 0.0

    def refusal(self, call: Call, detail: str, *, least: float, reason: str = "") -> Refusal:
        """Return the refusal of a prompt, whose caller should return after `least` or more seconds.

        `detail` and `reason` are as in `Refusal`.
        """
        assigned = self._assign(call, least)
        detail += f"; {assigned.backlog} tokens go before, {assigned.rate:.0f} per second are free"
        return Refusal(ErrorKind.OVERLOADED, detail, Ran.NO, assigned.seconds, reason)

    def _assign(self, call: Call, least: float) -> _ReturnTime:
        prompt, service = call.parsed.prompt, call.service.name
        assert prompt is not None
        loop, workload = asyncio.get_running_loop(), self._context.views.workload
        name, ranks = returns_name(service), call.ranks.ranks
        waiting = self.waiting_tokens(call, [*ranks, *map(late_rank, ranks)])
        backlog = workload.burden_of(name, loop.time()).memory + waiting
        rate = self._free_rate(call)
        delay, is_free = return_delay(
            backlog=backlog,
            tokens=prompt.tokens,
            rate=rate,
            least=least,
            time_left=self._time_left(call),
            rng=self._context.rng,
        )
        # Callers for whom nothing is free take nothing from the others.
        workload.begin(name, call.trace.key, 0, prompt.tokens if is_free else 0)
        loop.call_later(delay, workload.end, name, call.trace.key)
        return _ReturnTime(delay, backlog, rate)

    def total_memory(self, call: Call) -> int:
        """Return the memory of all engines of the service, in tokens."""
        traits = call.service.engine
        assert traits is not None
        return len(self._context.views.registry.serving(call.service.name)) * traits.memory

    def waiting_tokens(self, call: Call, ranks: Iterable[int]) -> int:
        """Return the tokens of the prompts of `ranks` that wait at any node."""
        workload, now = self._context.views.workload, asyncio.get_running_loop().time()
        names = [queue_name(call.service.name, rank) for rank in ranks]
        return sum(workload.burden_of(name, now).memory for name in names)

    def _time_left(self, call: Call) -> float:
        timeout = call.parsed.timeout_seconds
        deadline = call.deadline if timeout is None else call.arrived_at + timeout
        return deadline - asyncio.get_running_loop().time()

    def _free_rate(self, call: Call) -> float:
        """Return how many tokens per second callers may bring that return."""
        views, now = self._context.views, asyncio.get_running_loop().time()
        turnover = views.service_queues.of(call.service.name).turnover
        usual = views.workload.burden_of(usual_rate_name(call.service.name), now).memory
        return free_rate(turnover.rate(self.total_memory(call)), usual)

    def _report_rate(self, service: str) -> None:
        loop, workload = asyncio.get_running_loop(), self._context.views.workload
        rate = self._context.views.service_queues.of(service).usual_rate.value(loop.time())
        workload.begin(usual_rate_name(service), _OWN_RATE, 0, int(rate))
        loop.call_later(_RATE_INTERVAL_SECONDS, self._report_rate, service)
