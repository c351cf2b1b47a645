"""The speed of engines is learned, and estimates, fetches and refusals follow it."""

from __future__ import annotations

import math
import random
import unittest

from fielddrift_core.catalog import EngineTraits
from fielddrift_core.engine_slowdown import EngineSlowdowns
from fielddrift_core.placement import PREFILL_TOKENS_PER_SECOND, EngineState, choose_engine
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

from bench.lab.sizes import Sizes

from .test_lab import mean

_TRAITS = EngineTraits(64, 40_000, 18_432, 16e9, ("m",), 12)
_SLOW = Sizes(
    engines=6,
    read_rate=28_000.0,
    step_seconds=0.0062,
    step_run_seconds=0.0002,
    chunk=1024,
    memory=41_554,
    aim=0.5,
    patience=4.0,
    load=0.8,
    urgent_part=0.55,
    short_part=0.1,
    shared_tokens=7520,
    own_tokens=1670,
    answer_tokens=9,
    seconds=16.0,
)
"""Engines at half the speed that the estimates assume, from the first second on."""


class TestEngineSlowdowns(unittest.TestCase):
    def test_the_factor_without_observations_is_one(self) -> None:
        self.assertEqual(EngineSlowdowns().factor("s", "e"), 1.0)

    def test_the_slowdown_of_a_service_applies_to_unobserved_engines(self) -> None:
        slowdowns = EngineSlowdowns()
        for number in range(150):
            slowdowns.observe("s", f"e{number % 10}", estimate=0.1, seconds=0.2)
        self.assertAlmostEqual(slowdowns.factor("s", "new"), 2.0, delta=0.4)
        self.assertEqual(slowdowns.factor("other", "e"), 1.0)

    def test_one_slow_engine_among_others_is_distinguished(self) -> None:
        slowdowns, rng = EngineSlowdowns(), random.Random(1)
        for _ in range(1500):
            number = rng.randrange(10)
            noise = math.exp(rng.gauss(0.0, 0.5))
            slowdowns.observe(
                "s", f"e{number}", estimate=0.1, seconds=noise * (0.3 if number == 0 else 0.1)
            )
        self.assertGreater(slowdowns.factor("s", "e0"), 1.9 * slowdowns.factor("s", "e1"))
        self.assertAlmostEqual(slowdowns.factor("s", "e1"), 1.0, delta=0.4)

    def test_one_hung_response_counts_little(self) -> None:
        slowdowns = EngineSlowdowns()
        slowdowns.observe("s", "e", estimate=0.05, seconds=30.0)
        self.assertLess(slowdowns.factor("s", "e"), 1.3)

    def test_an_engine_at_half_speed_is_estimated_as_slow_and_avoided(self) -> None:
        prompt = Prompt("m", (Part("a", 9000), Part("own", 1000)), 10_000, 20)
        engines = [
            EngineState(
                Instance(name, "s", f"{name}:1", "a"),
                Burden(),
                0.0,
                False,
                False,
                slowdown=slowdown,
            )
            for name, slowdown in (("slow", 2.0), ("usual", 1.0))
        ]
        options = {
            "traits": _TRAITS,
            "data_centre": "a",
            "latency_goal": 0.5,
            "holders": lambda *_: (),
        }
        slow = choose_engine(prompt, engines[:1], **options)
        assert slow is not None
        self.assertGreater(slow.seconds, 2 * 10_000 / PREFILL_TOKENS_PER_SECOND)
        best = choose_engine(prompt, engines, **options)
        assert best is not None
        self.assertEqual(best.instance.name, "usual")


class TestSlowEngines(unittest.TestCase):
    """All engines work at half the assumed speed from the first second on.

    Without learned slowdowns, responses of a quarter of the total value were in time, and
    engines held twice the prompts that they could prefill in time.
    """

    def test_learned_slowdowns_bring_more_in_time_than_fixed_speeds(self) -> None:
        learned = mean("during", "steady", sizes=_SLOW, seeds=3)
        fixed = mean("during", "steady", "pace", sizes=_SLOW, seeds=3)
        self.assertGreater(learned, fixed + 0.1)
