"""Long prompts of a low rank must not fill the memory that urgent short ones need in a burst."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

from fielddrift_core.rank_reserve import MIN_RESERVE_FRACTION, RankReserve
from fielddrift_core.workload import Burden
from fielddrift_node.serving.caller_returns import CallerReturns
from fielddrift_node.serving.prompt_placement import Placement
from fielddrift_node.serving.views import Views

_STEP_SECONDS = 0.05
_LONG_SECONDS, _SHORT_SECONDS = 3.0, 0.6
"""How long runs of each kind keep their memory."""
_LONG_DEMAND, _SHORT_DEMAND = 1.5, 0.3
"""Memory that the runs of each kind would take if none waited, relative to that of all engines."""


class _Served(NamedTuple):
    short_fraction: float
    """Memory of the short prompts admitted in the last half of the burst, of that demanded."""
    long_in_use: float
    """Mean memory of the long runs in that time."""
    waiting: float
    """What short prompts wait for at the end, as a fraction of memory."""


def _burst(reserve: RankReserve, *, learns: bool, seconds: float = 12.0) -> _Served:
    """Let long prompts take freed memory first, as nodes do that have no urgent one waiting.

    Neither kind has the highest rank, so both leave the smallest reserve to it.
    """
    long = short = waiting = admitted = long_sum = 0.0
    steps = int(seconds / _STEP_SECONDS)
    for step in range(steps):
        now = step * _STEP_SECONDS
        long -= long * _STEP_SECONDS / _LONG_SECONDS
        short -= short * _STEP_SECONDS / _SHORT_SECONDS
        # Prompts that find room do not wait, so only those left over from the last step count.
        fraction = reserve.observe(waiting, now) if learns else MIN_RESERVE_FRACTION
        waiting += _SHORT_DEMAND * _STEP_SECONDS / _SHORT_SECONDS
        arrived = _LONG_DEMAND * _STEP_SECONDS / _LONG_SECONDS
        long += max(0.0, min(arrived, 1.0 - fraction - long - short))
        sent = max(0.0, min(waiting, 1.0 - MIN_RESERVE_FRACTION - long - short))
        short, waiting = short + sent, waiting - sent
        if 2 * step >= steps:
            admitted, long_sum = admitted + sent, long_sum + long
    demanded = _SHORT_DEMAND * seconds / 2 / _SHORT_SECONDS
    return _Served(admitted / demanded, 2 * long_sum / steps, waiting)


class TestBurstOfLongPrompts(unittest.TestCase):
    def test_urgent_prompts_get_the_memory_that_they_need(self) -> None:
        fixed = _burst(RankReserve(), learns=False)
        self.assertLess(fixed.short_fraction, 0.8, "the load that this test replays")
        learned = _burst(RankReserve(), learns=True)
        self.assertGreater(learned.short_fraction, 0.95)
        self.assertLess(learned.waiting, 0.02)

    def test_lower_ranks_get_what_the_urgent_leave(self) -> None:
        reserve = RankReserve()
        for step in range(400):
            reserve.observe(0.5, step * _STEP_SECONDS)
        self.assertLessEqual(reserve.fraction, 0.5)
        left = 1.0 - MIN_RESERVE_FRACTION - _SHORT_DEMAND
        self.assertGreater(_burst(RankReserve(), learns=True).long_in_use, 0.9 * left)

    def test_the_reserve_ends_after_the_burst(self) -> None:
        reserve = RankReserve()
        _burst(reserve, learns=True)
        self.assertGreater(reserve.fraction, MIN_RESERVE_FRACTION + 0.02)
        for step in range(400):
            reserve.observe(0.0, 12.0 + step * _STEP_SECONDS)
        self.assertAlmostEqual(reserve.fraction, MIN_RESERVE_FRACTION, 2)

    def test_a_few_prompts_that_wait_for_a_heartbeat_change_nothing(self) -> None:
        reserve = RankReserve()
        for step in range(400):
            reserve.observe(0.001, step * _STEP_SECONDS)
        self.assertEqual(reserve.fraction, MIN_RESERVE_FRACTION)

    def test_the_reserve_ends_also_without_a_look(self) -> None:
        # A minute after a burst a node that saw no prompt of the rank still kept 0.44, and its
        # metric showed the reserve of the last look for as long as none came.
        reserve = RankReserve()
        for step in range(400):
            reserve.observe(0.5, step * _STEP_SECONDS)
        self.assertAlmostEqual(reserve.fraction_at(80.0), MIN_RESERVE_FRACTION, 3)
        self.assertAlmostEqual(reserve.observe(0.0, 80.0), MIN_RESERVE_FRACTION, 3)

    def test_a_long_time_without_a_look_counts_as_a_short_one(self) -> None:
        reserve = RankReserve()
        reserve.observe(0.0, 0.0)
        self.assertLess(reserve.observe(0.05, 3600.0), 0.3)


class _Returns(CallerReturns):
    def total_memory(self, call: object) -> int:
        return 100_000


class _Placement(Placement):
    """Has one engine, of whose memory 0.6 is in use."""

    def _choose(self, call: object, tried: set[str], **wanted: object) -> object:
        return "engine" if wanted["memory_fraction"] > 0.6 else None  # type: ignore[operator]


class TestRunsToResume(unittest.IsolatedAsyncioTestCase):
    async def test_a_run_to_resume_does_not_hold_up_urgent_prompts(self) -> None:
        # It is the first in the queue, whatever its rank.  With a grown reserve it found no room,
        # and urgent prompts at its node waited behind it for a quarter of its latency goal.
        now = asyncio.get_running_loop().time()
        views = Views()
        reserve = views.service_queues.of("s").reserve(1)
        for seconds in (2.0, 1.5, 1.0, 0.5, 0.0):
            reserve.observe(0.5, now - seconds)
        views.workload.update_node("n2", {"line:s:0": Burden(1, 0, 20_000)}, now)
        placement = _Placement(context=mock.Mock(views=views), kept=mock.Mock())
        placement._returns = _Returns(context=mock.Mock(views=views))
        call = mock.Mock(rank=1, queue_rank=1, yields=False, arrived_at=now)
        call.service.name, call.ranks.ranks = "s", range(2)
        attempts = SimpleNamespace(tried={"failed"})
        self.assertIsNone(placement._choose_with_room(call, set()), "the reserve has grown")
        async with asyncio.timeout(0.5):
            await placement.place(call, attempts, resumes=True)  # type: ignore[arg-type]
