"""Garbage collections skip what is imported and collected, in a test run as in a node.

Failure: full collections walked all modules and collected tests, more than 100,000 objects. Each
stopped the nodes and targets of a test for up to 0.25 s, at a latency goal of 0.1 s, and targets
were taken for silent.
"""

from __future__ import annotations

import gc
import unittest

from fielddrift_node.serving.node import ServingNode

from .platform_fleet import FleetCase


class TestCollections(unittest.TestCase):
    def test_a_collection_does_not_walk_imports_and_collected_tests(self) -> None:
        walked = {id(tracked) for tracked in gc.get_objects()}
        imported = (ServingNode, FleetCase, type(self))
        self.assertEqual([each for each in imported if id(each) in walked], [])
