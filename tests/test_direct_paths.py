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
