"""The figures of a serving node, and what its start loads."""

from __future__ import annotations

import subprocess
import sys
import unittest

from fielddrift_node.serving.metrics import Metrics

NEEDLESS = ("prometheus_client", "ssl", "http.server")
"""Loaded by nothing that a node needs to serve: a quarter of its start."""


class MetricsTest(unittest.TestCase):
    def test_counters_gauges_and_histograms_are_worded_for_scrapers(self) -> None:
        metrics = Metrics()
        metrics.refusals.inc(of="overloaded")
        metrics.refusals.inc(of="overloaded")
        metrics.retries.inc(of="reset")
        metrics.nodes.set(7)
        for seconds in (0.01, 0.1, 0.11, 9.0):
            metrics.first_event.observe(seconds)
        lines = metrics.text().decode().splitlines()
        for line in (
            'fielddrift_refusals_total{reason="overloaded"} 2.0',
            'fielddrift_retries_total{reason="reset"} 1.0',
            "fielddrift_left_total 0.0",
            "fielddrift_nodes 7.0",
            'fielddrift_first_event_seconds_bucket{le="0.1"} 2.0',
            'fielddrift_first_event_seconds_bucket{le="0.15"} 3.0',
            'fielddrift_first_event_seconds_bucket{le="+Inf"} 4.0',
            "fielddrift_first_event_seconds_count 4.0",
            "fielddrift_first_event_seconds_sum 9.22",
            "# TYPE fielddrift_first_event_seconds histogram",
        ):
            self.assertIn(line, lines)


class StartTest(unittest.TestCase):
    def test_a_start_loads_nothing_that_serving_does_not_need(self) -> None:
        code = (
            "import sys; sys.argv = ['x', 'check', '/nowhere']\n"
            "from fielddrift_platform.__main__ import start\n"
            "try:\n    start()\nexcept SystemExit:\n    pass\n"
            f"print([n for n in {NEEDLESS!r} if n in sys.modules])\n"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)

    def test_figures_can_still_be_worded_after_such_a_start(self) -> None:
        code = (
            "import sys; sys.argv = ['x', 'check', '/nowhere']\n"
            "from fielddrift_platform.__main__ import start\n"
            "try:\n    start()\nexcept SystemExit:\n    pass\n"
            "from fielddrift_node.serving.metrics import Metrics\n"
            "print(b'fielddrift_sends_total 0.0' in Metrics().text())\n"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "True", done.stderr)
