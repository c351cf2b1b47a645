"""Smaller decisions of a serving node: targets, budgets, refusals, load counts, events."""

from __future__ import annotations

import random
import unittest

from fielddrift_core.engine_memory import EngineMemory
from fielddrift_core.link_queue import LinkQueue
from fielddrift_core.overload import is_congested, is_too_late
from fielddrift_core.prompt import Part
from fielddrift_core.retries import WindowBudget
from fielddrift_core.returns import return_delay
from fielddrift_core.stream import EventFramer
from fielddrift_core.target_registry import LAPSE_GRACE_SECONDS, Instance, TargetRegistry
from fielddrift_core.workload import Burden, Lateness, TargetHealth, Workload
from hypothesis import given, settings
from hypothesis import strategies as st


def instance(name: str, data_centre: str = "a", **extra: object) -> Instance:
    return Instance(name, "s", f"{name}:1", data_centre, **extra)  # type: ignore[arg-type]


class TestTargetRegistry(unittest.TestCase):
    def test_a_lapse_in_an_outage_is_waited_out_and_then_taken_for_the_end(self) -> None:
        registry = TargetRegistry()
        registry.heard(instance("w"), 0.0)
        registry.store_returned(10.0)
        registry.entry_ended("w", 10.1)
        self.assertEqual(len(registry.serving("s")), 1)
        registry.tick(10.0 + LAPSE_GRACE_SECONDS)
        self.assertEqual(registry.serving("s"), [])

    def test_an_end_in_fair_weather_holds_at_once(self) -> None:
        registry = TargetRegistry()
        registry.heard(instance("w"), 0.0)
        registry.entry_ended("w", 1.0)
        self.assertEqual(len(registry), 0)

    def test_leaving_is_final_whoever_said_it_first(self) -> None:
        registry = TargetRegistry()
        registry.heard(instance("w"), 0.0)
        registry.left("w")
        registry.heard(instance("w", cold_seconds=1.0), 1.0)
        registry.apply_copy([instance("w")], [])
        self.assertEqual(registry.serving("s"), [])


class TestBudget(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 0.5)), max_size=300))
    def test_all_nodes_together_stay_inside_in_any_window(
        self, steps: list[tuple[int, float]]
    ) -> None:
        nodes = [WindowBudget(ratio=0.2, slack=10.0, window=10.0) for _ in range(3)]
        now, firsts, repeats = 0.0, [], []
        for number, (node, wait) in enumerate(steps):
            now += wait
            if number % 2:
                nodes[node].record_first(now)
                firsts.append(now)
            elif nodes[node].spend(now, nodes=3):
                repeats.append(now)
        for end in repeats:
            window = sum(end - 10.0 < at <= end for at in repeats)
            before = sum(end - 20.0 < at <= end for at in firsts)
            self.assertLessEqual(window, 0.2 * before + 10.0)


class TestOverload(unittest.TestCase):
    """Which prompts are refused at once, and after how long their callers retry."""

    def setUp(self) -> None:
        self.rng = random.Random(3)

    def _delay(
        self, estimate: float, *, time_left: float = 4.0, congested: bool = True
    ) -> float | None:
        if not is_too_late(estimate=estimate, latency_goal=0.5, congested=congested):
            return None
        delay, _ = return_delay(
            backlog=1e6, tokens=1000, rate=1e4, least=estimate, time_left=time_left, rng=self.rng
        )
        return delay

    def test_what_can_be_in_time_is_taken(self) -> None:
        self.assertIsNone(self._delay(0.4))

    def test_a_long_prompt_is_taken_where_nobody_waits(self) -> None:
        self.assertIsNone(self._delay(0.9, congested=False))

    def test_a_prompt_that_is_late_by_itself_is_not_sent_away_for_a_few_others(self) -> None:
        self.assertFalse(is_congested(queue_seconds=0.05, latency_goal=0.5))
        self.assertTrue(is_congested(queue_seconds=0.3, latency_goal=0.5))

    def test_one_that_would_be_late_comes_back_within_its_patience(self) -> None:
        delays = [self._delay(1.2) or 0.0 for _ in range(50)]
        self.assertLessEqual(max(delays), 4.0 / 3)
        self.assertGreater(min(delays), 0.9)
        self.assertGreater(max(delays) - min(delays), 0.3)


class TestCounts(unittest.TestCase):
    def test_what_others_told_fades(self) -> None:
        work = Workload()
        work.begin("e", "r", 100, 200)
        work.update_node("n", {"e": Burden(2, 300, 400)}, 0.0)
        self.assertEqual(work.burden_of("e", 0.5), Burden(3, 400, 600))
        self.assertEqual(work.burden_of("e", 9.0), Burden(1, 100, 200))
        work.read("e", "r")
        work.end("e", "r")
        self.assertEqual(work.own(), {})

    def test_moves_pass_with_time(self) -> None:
        queue = LinkQueue()
        queue.add("s", 0.2, 0.0)
        queue.add("s", 0.1, 0.0)
        queue.update_node("n", {"s": 0.4}, 0.0)
        self.assertAlmostEqual(queue.wait("s", 0.0), 0.7)
        self.assertAlmostEqual(queue.wait("s", 0.1), 0.5)
        self.assertEqual(queue.wait("s", 5.0), 0.0)

    def test_lateness_that_all_stores_share_is_not_a_link_s(self) -> None:
        lateness = Lateness()
        lateness.observe("s1", 0.5, 0.0)
        lateness.observe("s2", 0.5, 0.0)
        self.assertEqual(lateness.for_store("s1", 0.0), 0.0)
        lateness.observe("s1", 2.0, 0.0)
        self.assertGreater(lateness.for_store("s1", 0.0), 0.3)
        self.assertLess(lateness.for_store("s1", 20.0), 0.01)

    def test_failures_fade_and_answers_count_against_them(self) -> None:
        health = TargetHealth()
        health.failed("t", 0.0)
        before = health.share("t", 0.0)
        health.succeeded("t", 0.0)
        self.assertLess(health.share("t", 0.0), before)
        self.assertLess(health.share("t", 60.0), 0.001)

    def test_an_engine_s_memory_keeps_the_newest(self) -> None:
        memory = EngineMemory()
        for number in range(10):
            memory.sent("e", "s", [Part(f"p{number}", 100)], 1000)
        self.assertEqual(memory.parts("e", "s"), {"p6", "p7", "p8", "p9"})
        self.assertEqual(memory.parts("e", "other"), frozenset())


class TestCutter(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(1, 30), st.integers(0, 10**6), st.integers(0, 30))
    def test_any_cut_and_resume_gives_each_event_once(
        self, count: int, seed: int, repeated: int
    ) -> None:
        rng = random.Random(seed)
        events = [f"id: {n * 3}\ndata: token {n}\n\n".encode() for n in range(1, count + 1)]
        cutter, out, position = EventFramer(), b"", 0
        while position < count:
            data = b"".join(events[position:])
            data = data[: rng.randint(1, len(data))]
            while data:
                size = rng.randint(1, len(data))
                out += cutter.feed(data[:size])
                data = data[size:]
            cutter = EventFramer(after=cutter.last)
            position = int(cutter.last or 0) // 3
            # A target may repeat some events.
            if position < count and rng.random() < 0.5:
                position = max(0, position - repeated)
        self.assertEqual(out, b"".join(events))
