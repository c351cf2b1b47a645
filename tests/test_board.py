"""What a node remembers of targets: late and lost cache events, new lives, loads."""

from __future__ import annotations

import unittest

from fielddrift_core.model import Configuration, Target, TargetRole
from fielddrift_core.retries import FAILURE_THRESHOLD
from fielddrift_core.routing import Load
from fielddrift_node.board import Board

TARGET = Target("t", TargetRole.ENGINE, "127.0.0.1:1", "dc", "m")
PROMPT = ["a" * 32, "b" * 32]


class BoardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.board = Board(data_centre="dc", clock=lambda: self.now)
        self.board.remember("t", PROMPT[1], 2, "root-1")

    def test_the_longest_hint_counts(self) -> None:
        self.board.remember("t", PROMPT[0], 1, "root-0")
        self.assertEqual(self.board.warm(PROMPT), {"t": 2})
        self.assertEqual(self.board.warm(PROMPT[:1]), {"t": 1})

    def test_a_target_that_asked_for_a_pause_takes_nothing_until_it_is_over(self) -> None:
        self.board.record_pause("t", 3.0)
        self.now += 2.9
        self.assertFalse(self.board.takes(TARGET, ""))
        self.assertAlmostEqual(self.board.min_pause_seconds([TARGET]), 0.1)
        self.now += 0.2
        self.assertTrue(self.board.takes(TARGET, ""))
        self.board.record_pause("t", 0.0)
        self.assertTrue(self.board.takes(TARGET, ""))

    def test_an_eviction_ends_its_hint_and_no_other(self) -> None:
        self.board.remember("t", "c" * 32, 1, "root-2")
        self.board.record_cache_events("t", 1, ["root-1"])
        self.assertEqual(self.board.warm(PROMPT), {})
        self.assertEqual(self.board.warm(["c" * 32]), {"t": 1})

    def test_a_gap_in_the_events_ends_all_hints_on_the_target(self) -> None:
        self.board.remember("u", PROMPT[1], 2, "root-1")
        self.board.record_cache_events("t", 5, ["other"])
        self.assertEqual(self.board.warm(PROMPT), {"u": 2})

    def test_a_new_life_of_a_target_ends_its_hints(self) -> None:
        self.board.record_load("t", Load(), 7, ["v1"])
        self.assertEqual(self.board.warm(PROMPT), {})

    def test_events_asked_for_behind_an_older_life_are_left_out(self) -> None:
        """A poll was under way while the head of a run told of the new life."""
        self.board.record_load("t", Load(), 1, ["v1"])
        self.board.record_cache_events("t", 500, [], after=0, epoch=1)
        self.board.record_load("t", Load(), 2, ["v1"])
        self.board.record_cache_events("t", 500, [], after=500, epoch=2)
        self.assertEqual(self.board.event_sequence("t"), 0)
        self.board.record_cache_events("t", 30, [], after=0, epoch=1)
        self.assertEqual(self.board.event_sequence("t"), 0)
        self.board.record_cache_events("t", 3, ["x", "y", "z"], after=0, epoch=2)
        self.assertEqual(self.board.event_sequence("t"), 3)

    def test_a_load_heard_later_counts_what_was_sent_before_it(self) -> None:
        self.board.sent("t", "run", 500)
        self.now += 1.0
        self.assertEqual(self.board.views([TARGET], {})[0].sent_tokens, 500)
        self.board.record_load("t", Load(1, 0, 500, self.now), 0, ["v1"])
        self.assertEqual(self.board.views([TARGET], {})[0].sent_tokens, 0)

    def test_a_target_without_the_version_gets_none_of_it(self) -> None:
        self.board.record_load("t", Load(), 0, ["v1"])
        self.assertTrue(self.board.takes(TARGET, "v1"))
        self.assertFalse(self.board.takes(TARGET, "v2"))

    def test_a_failing_target_rests_and_is_probed_by_one(self) -> None:
        for _ in range(FAILURE_THRESHOLD):
            self.board.failed("t")
        self.assertFalse(self.board.takes(TARGET, "v1"))
        self.now += 1.0
        self.assertTrue(self.board.takes(TARGET, "v1"))
        self.board.sent("t", "probe", 1)
        self.assertFalse(self.board.takes(TARGET, "v1"))
        self.board.succeeded("t")
        self.assertTrue(self.board.takes(TARGET, "v1"))

    def test_only_targets_of_models_in_use_are_polled(self) -> None:
        configuration = Configuration(targets={"t": TARGET})
        self.assertEqual(self.board.stale(configuration, idle=60.0), [])
        self.board.touch("m")
        self.assertEqual(self.board.stale(configuration, idle=60.0), [TARGET])
        self.now += 61.0
        self.assertEqual(self.board.stale(configuration, idle=60.0), [])
