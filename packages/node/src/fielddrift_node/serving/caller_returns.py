"""Tell refused callers when to return, in agreement with the other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from fielddrift_core.catalog import Service
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.prompt_queue import late_rank, queue_name
from fielddrift_core.returns import (
    free_rate,
    reserved_fraction,
    return_delay,
    returns_name,
    usual_rate_name,
)

from .call import Call, ServingContext
from .views import Views

__all__ = ["CallerReturns", "has_free_capacity"]

_OWN_RATE = "rate"
"""Key of this node's usual rate in its own loads."""
_RATE_INTERVAL_SECONDS = 1.0
"""Interval between reports of the usual rate, a median of whole seconds."""


class _Rates(NamedTuple):
    """The capacity of a service's engines, and what callers usually use of it, in tokens per
    second."""

    capacity: float
    usual: float

    @property
    def free(self) -> float:
        """Return the rate at which callers may return."""
        return free_rate(self.capacity, self.usual)


def _memory(views: Views, service: Service) -> int:
    assert service.engine is not None
    return len(views.registry.serving(service.name)) * service.engine.memory


def _rates(views: Views, service: Service) -> _Rates:
    now = asyncio.get_running_loop().time()
    queue = views.service_queues.of(service.name)
    capacity = min(queue.turnover.rate(_memory(views, service)), queue.usual_capacity.value)
    usual = views.workload.burden_of(usual_rate_name(service.name), now).memory
    return _Rates(capacity, usual)


def has_free_capacity(views: Views, service: Service) -> bool:
    """Return whether callers usually leave some capacity of the engines of `service` free.

    The capacity of a moment does not tell, as runs keep their memory longer in a burst.
    """
    usual_capacity = views.service_queues.of(service.name).usual_capacity.value
    return _rates(views, service)._replace(capacity=usual_capacity).free > 0


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
        """Count the prompt of a caller that comes for the first time in the usual rate."""
        prompt, service = call.parsed.prompt, call.service.name
        assert prompt is not None
        now = asyncio.get_running_loop().time()
        self._context.views.service_queues.of(service).usual_rate.add(prompt.tokens, now)
        if service not in self._refreshing:
            self._refreshing.add(service)
            self._report_rate(call.service)

    def wait(self, call: Call) -> float:
        """Return the seconds until there is room for a prompt that comes after all others.

        0 if nothing is free at this moment: in a burst that may change before its deadline.
        """
        prompt = call.parsed.prompt
        assert prompt is not None
        ranks = call.ranks.ranks
        late = [late_rank(rank) for rank in ranks if rank <= call.rank]
        ahead = self.waiting_tokens(call, [*ranks, *late])
        rate = _rates(self._context.views, call.service).free
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
        rate = _rates(self._context.views, call.service).free
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
        return _memory(self._context.views, call.service)

    def reserve(self, call: Call) -> float:
        """Return the fraction of memory that a late prompt leaves to those that may be in time."""
        return reserved_fraction(*_rates(self._context.views, call.service))

    def waiting_tokens(self, call: Call, ranks: Iterable[int]) -> int:
        """Return the tokens of the prompts of `ranks` that wait at any node."""
        workload, now = self._context.views.workload, asyncio.get_running_loop().time()
        names = [queue_name(call.service.name, rank) for rank in ranks]
        return sum(workload.burden_of(name, now).memory for name in names)

    def _time_left(self, call: Call) -> float:
        timeout = call.parsed.timeout_seconds
        deadline = call.deadline if timeout is None else call.arrived_at + timeout
        return deadline - asyncio.get_running_loop().time()

    def _report_rate(self, service: Service) -> None:
        loop, views = asyncio.get_running_loop(), self._context.views
        queue, workload = views.service_queues.of(service.name), views.workload
        queue.usual_capacity.add(queue.turnover.rate(_memory(views, service)))
        rate = queue.usual_rate.value(loop.time())
        if views.expects_returns(service.name, loop.time()):
            workload.begin(usual_rate_name(service.name), _OWN_RATE, 0, int(rate))
        else:
            workload.end(usual_rate_name(service.name), _OWN_RATE)
        loop.call_later(_RATE_INTERVAL_SECONDS, self._report_rate, service)
