"""Which targets a node can connect to directly."""

from __future__ import annotations

import unittest

from fielddrift_core.direct_paths import DirectPaths


class TestDisconnected(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = DirectPaths()

    def test_a_single_target_that_fails_may_be_gone(self) -> None:
        self.paths.connected("a", 0.0)
        self.paths.failed("b", 1.0)
        self.assertEqual(self.paths.unconnected, 1)
        self.assertIsNone(self.paths.disconnected_since())

    def test_two_targets_that_fail_since_the_last_connection_show_a_disconnected_node(self) -> None:
        self.paths.connected("a", 0.0)
        self.paths.failed("b", 1.0)
        self.paths.failed("a", 2.0)
        self.paths.failed("b", 3.0)
        self.assertEqual(self.paths.disconnected_since(), 1.0)

    def test_any_connection_ends_it(self) -> None:
        for name in ("a", "b"):
            self.paths.failed(name, 1.0)
        self.paths.connected("c", 2.0)
        self.assertIsNone(self.paths.disconnected_since())

    def test_targets_that_ended_are_forgotten(self) -> None:
        for name in ("a", "b"):
            self.paths.failed(name, 1.0)
        self.paths.expire({"a"})
        self.assertEqual(self.paths.unconnected, 1)
        self.assertIsNone(self.paths.disconnected_since())


class TestInterrupted(unittest.TestCase):
    """Another node connected to targets to which this one could not."""

    def setUp(self) -> None:
        self.paths = DirectPaths()
        for name in ("a", "b", "c"):
            self.paths.connected(name, 0.0)
        self.paths.failed("a", 1.0)
        self.paths.reached_elsewhere("a", 1.1)

    def test_one_interrupted_path_says_nothing_of_the_others(self) -> None:
        self.assertTrue(self.paths.is_interrupted("a"))
        self.assertFalse(self.paths.is_interrupted("b"))
        self.assertFalse(self.paths.disconnected)

    def test_two_of_them_are_presumed_to_be_all(self) -> None:
        self.paths.failed("b", 1.2)
        self.paths.reached_elsewhere("b", 1.3)
        self.assertTrue(self.paths.disconnected)
        self.assertTrue(self.paths.is_interrupted("c"))

    def test_a_connection_in_between_shows_that_others_are_reached(self) -> None:
        self.paths.connected("c", 1.2)
        self.paths.failed("b", 1.3)
        self.paths.reached_elsewhere("b", 1.4)
        self.assertFalse(self.paths.disconnected)
        self.assertFalse(self.paths.is_interrupted("c"))

    def test_the_first_direct_connection_ends_the_presumption_and_hastens_checks(self) -> None:
        self.paths.failed("b", 1.2)
        self.paths.reached_elsewhere("b", 1.3)
        self.assertEqual(self.paths.due_check(2.4), "a")
        self.assertIsNone(self.paths.due_check(2.5))
        change = self.paths.connected("a", 2.5)
        assert change is not None
        self.assertEqual((change.target, change.interrupted), ("a", False))
        self.assertAlmostEqual(change.seconds, 1.5)
        self.assertFalse(self.paths.is_interrupted("c"))
        self.assertTrue(self.paths.is_interrupted("b"))
        self.assertEqual(self.paths.due_check(2.6), "b")

    def test_a_silent_target_is_verified_now_and_then(self) -> None:
        self.assertFalse(self.paths.should_verify("a", 2.0))
        self.assertTrue(self.paths.should_verify("b", 2.0))
        self.assertFalse(self.paths.should_verify("b", 3.0))
        self.assertTrue(self.paths.should_verify("b", 4.1))

    def test_bytes_on_a_direct_connection_show_that_a_target_is_reached(self) -> None:
        self.paths.failed("b", 1.2)
        self.assertEqual(self.paths.disconnected_since(), 1.0)
        self.paths.heard(1.3)
        self.assertIsNone(self.paths.disconnected_since())
