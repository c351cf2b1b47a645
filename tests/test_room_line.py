"""Prompts wait in queues at the nodes while the memory of the engines is full."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from fielddrift_core.catalog import EngineTraits
from fielddrift_core.placement import EngineChoice, EngineState, choose_engine
from fielddrift_core.prompt import Part, Prompt
from fielddrift_core.prompt_queue import MemoryTurnover, PromptQueue, WaitingPrompt
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden

TRAITS = EngineTraits(64, 70_000, 18_432, 1e9, ("m",), 4)
PROMPT = Prompt("m", (Part("a", 9000), Part("own", 3000)), 12_000, 100)


def engine(name: str, memory: int, **known: object) -> EngineState:
    values = {"failures": 0.0, "is_outdated": False, "loading": False, **known}
    instance = Instance(name, "s", f"{name}:1", "a")
    return EngineState(instance, Burden(3, 0, memory), **values)  # type: ignore[arg-type]


def choose(*engines: EngineState, part: float | None = 1.0) -> EngineChoice | None:
    return choose_engine(
        PROMPT,
        engines,
        traits=TRAITS,
        data_centre="a",
        latency_goal=1.2,
        holders=lambda state, part: [],
        memory_fraction=part,
    )


class TestHead(unittest.TestCase):
    def test_the_head_is_known_without_a_search(self) -> None:
        # Each waiting prompt asked for the head 20 times a second, and each time the whole queue
        # was searched: 400 prompts took most of a core.
        rng, queue, waiting = random.Random(5), PromptQueue(), list[WaitingPrompt]()
        for number in range(600):
            if waiting and rng.random() < 0.4:
                queue.remove(waiting.pop(rng.randrange(len(waiting))))
            else:
                prompt = WaitingPrompt(str(number), rng.randrange(3), rng.random(), 100)
                waiting.append(prompt)
                queue.add(prompt)
            first = min(waiting, key=lambda p: (p.rank, p.due), default=None)
            with mock.patch.object(queue, "_prompts", None):
                self.assertIs(queue.head(), first)


class TestRoom(unittest.TestCase):
    def test_no_engine_is_sent_more_than_its_memory_holds(self) -> None:
        full, other = engine("full", 60_000), engine("other", 50_000)
        choice = choose(full, other)
        assert choice is not None
        self.assertEqual(choice.instance.name, "other")
        self.assertIsNone(choose(full))

    def test_an_idle_engine_takes_what_is_larger_than_its_memory(self) -> None:
        self.assertIsNotNone(choose(engine("idle", 0), part=0.1))

    def test_an_engine_that_fails_is_not_taken_for_an_empty_one(self) -> None:
        gone, full = engine("gone", 0, failures=0.25), engine("full", 60_000)
        self.assertIsNone(choose(gone, full))
        self.assertIsNotNone(choose(gone))

    def test_an_engine_that_loads_is_not_taken_for_an_empty_one(self) -> None:
        self.assertIsNone(choose(engine("loads", 0, loading=True), engine("full", 60_000)))


class TestLine(unittest.TestCase):
    def test_the_urgent_come_first_then_who_would_be_late_first(self) -> None:
        line = PromptQueue()
        for prompt in (
            WaitingPrompt("late", 1, 5.0, 10),
            WaitingPrompt("soon", 1, 4.0, 10),
            WaitingPrompt("urgent", 0, 9.0, 10),
        ):
            line.add(prompt)
        order = []
        while (first := line.head()) is not None:
            order.append(first.request)
            line.remove(first)
        self.assertEqual(order, ["urgent", "soon", "late"])

    def test_a_newcomer_counts_those_before_it(self) -> None:
        line = PromptQueue()
        line.add(WaitingPrompt("a", 1, 5.0, 10))
        self.assertEqual(line.count_ahead(0), 0)
        self.assertEqual(line.count_ahead(1), 1)


class TestTurnover(unittest.TestCase):
    def test_the_time_that_memory_is_kept_is_learned_from_runs(self) -> None:
        turnover = MemoryTurnover()
        for _ in range(40):
            turnover.ended(12_000, 2.5)
        self.assertAlmostEqual(turnover.seconds, 2.5, places=2)
        self.assertAlmostEqual(turnover.wait(70_000, 350_000), 0.5, places=2)

    def test_small_runs_say_little_of_how_long_memory_is_kept(self) -> None:
        turnover = MemoryTurnover()
        turnover.ended(12_000, 2.0)
        before = turnover.seconds
        turnover.ended(500, 0.1)
        self.assertLess(before - turnover.seconds, 0.02)

    def test_engines_get_what_takes_the_place_of_short_runs_before_they_end(self) -> None:
        short, long = MemoryTurnover(), MemoryTurnover()
        for _ in range(60):
            short.ended(9_000, 0.2)
            long.ended(12_000, 2.5)
        self.assertGreater(short.send_limit(0, [0, 1]), 1.2)
        self.assertLess(long.send_limit(0, [0, 1]), 1.05)

    def test_room_is_kept_for_the_most_urgent(self) -> None:
        turnover = MemoryTurnover()
        urgent, other = turnover.send_limit(0, [0, 1]), turnover.send_limit(1, [0, 1])
        self.assertGreater(urgent, other + 0.1)
        self.assertEqual(turnover.send_limit(1, [1]), urgent)

    def test_runs_without_length_do_not_fill_engines_without_bound(self) -> None:
        turnover = MemoryTurnover()
        for _ in range(100):
            turnover.ended(50_000, 0.0)
        self.assertLess(turnover.send_limit(0, [0]), 2.0)

    def test_engines_of_unknown_memory_keep_nobody_waiting(self) -> None:
        self.assertEqual(MemoryTurnover().wait(70_000, 0), 0.0)


if __name__ == "__main__":
    unittest.main()
