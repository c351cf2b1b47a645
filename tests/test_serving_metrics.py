"""The metrics and log lines of a serving node, and the modules that it imports at its start."""

from __future__ import annotations

import re
import subprocess
import sys
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from fielddrift_core.responsiveness import CHECK_INTERVAL_SECONDS
from fielddrift_core.stream import EventFramer
from fielddrift_node.serving.call import Send, Trace
from fielddrift_node.serving.metrics import Metrics
from fielddrift_standins.worker import Worker
from structlog.testing import capture_logs

from .platform_fleet import Answer, FleetCase, ask, eventually, get, prompt

ROOT = Path(__file__).parent.parent
UNNEEDED_MODULES = ("prometheus_client", "ssl", "http.server")
"""Not needed for serving; their imports took a quarter of a node's start time."""
_DELAY_SECONDS = 0.4


class MetricsTest(unittest.TestCase):
    def test_counters_gauges_and_histograms_are_worded_for_scrapers(self) -> None:
        metrics = Metrics()
        metrics.refusals.inc(label_value="overloaded")
        metrics.refusals.inc(label_value="overloaded")
        metrics.retries.inc(label_value="reset")
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

    def test_every_figure_is_in_the_docs_and_none_besides(self) -> None:
        rows = [
            line.strip("| ").split(" | ")
            for line in (ROOT / "docs" / "METRICS.md").read_text().splitlines()
            if line.startswith("| fielddrift_")
        ]
        metrics = {
            family.name + ("_total" if family.type == "counter" else ""): family.documentation
            for family in Metrics().collect()
        }
        self.assertEqual(dict(rows), metrics)


class StartTest(unittest.TestCase):
    def test_a_start_loads_nothing_that_serving_does_not_need(self) -> None:
        code = (
            "import sys; sys.argv = ['x', 'check', '/nowhere']\n"
            "from fielddrift_platform.__main__ import start\n"
            "try:\n    start()\nexcept SystemExit:\n    pass\n"
            f"print([n for n in {UNNEEDED_MODULES!r} if n in sys.modules])\n"
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


class LoopDelayTest(FleetCase):
    """Delays of the event loop are measured, and long ones are logged."""

    async def test_a_delay_is_told_with_the_time_that_the_node_itself_used(self) -> None:
        await self.fleet.worker(Worker(name="w1"), "plain")
        node = await self.fleet.node()
        with capture_logs() as lines:
            time.sleep(_DELAY_SECONDS)
            await eventually(lambda: any(n["event"] == "event loop delayed" for n in lines))
        line = next(n for n in lines if n["event"] == "event loop delayed")
        self.assertGreaterEqual(line["delay_ms"], 1000 * (_DELAY_SECONDS - CHECK_INTERVAL_SECONDS))
        # A sleep takes time, and no processor time.
        self.assertLess(line["cpu_ms"], line["delay_ms"] / 2)
        text = (await get(node.settings.metrics, "/metrics")).body.decode()
        counts = {
            bound: float(count)
            for bound, count in re.findall(r'loop_delay_seconds_bucket{le="([^"]*)"} (\S+)', text)
        }
        self.assertGreater(counts["+Inf"], counts["0.2"])


class RunLinesTest(FleetCase):
    """Log lines and metrics of a run that fails, and of the run that resumes it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.tolerate_pauses(2.0)
        self.one = await self.fleet.worker(Worker(name="e1", events=5), "engines")
        self.two = await self.fleet.worker(Worker(name="e2", events=5), "engines")
        self.node = await self.fleet.node()
        await eventually(lambda: len(self.node.node.views.registry) == 2)

    async def _ask(self, fault: str, path: str = "/chat/x") -> Answer:
        # The engine that is chosen first has the fault.
        self.one.faults = self.two.faults = [fault]
        with capture_logs() as lines:
            answer = await ask(self.node, path, **prompt())
        self.lines = [line for line in lines if line.get("request") == "r1"]
        return answer

    def _line(self, event: str) -> dict[str, Any]:
        (line,) = [line for line in self.lines if line["event"] == event]
        return line

    def _assert_logged(self, event: str, **fields: object) -> None:
        line = self._line(event)
        self.assertEqual({name: line[name] for name in fields}, fields)

    async def _metrics(self) -> list[str]:
        return (await get(self.node.settings.metrics, "/metrics")).body.decode().splitlines()

    async def test_a_run_that_breaks_off_and_the_one_behind_it_are_told(self) -> None:
        await self._ask("cut-event")
        self._assert_logged(
            "send failed", connection="new", answer_begun=True, events=2, last="2", runs=1,
            partial_bytes=len(b"id: 3\ndata: tok"), reason="cut",
        )  # fmt: skip
        first, second = self._line("request answered")["targets"]
        self.assertEqual(self._line("send failed")["target"], first)
        self._assert_logged(
            "run resumed", target=second, connection="new", after="2", first="3", weights=1,
            events_before=2, runs=2,
        )  # fmt: skip
        self._assert_logged("request answered", events=5, odd=0, last="5", runs=2, partial_bytes=0)
        self.assertIn("fielddrift_cut_events_total 1.0", await self._metrics())
        self.assertIn("fielddrift_odd_events_total 0.0", await self._metrics())

    async def test_a_run_that_breaks_off_inside_its_first_event_is_told(self) -> None:
        await self._ask("cut-first")
        self._assert_logged(
            "send failed", answer_begun=False, events=0, last="", runs=0,
            partial_bytes=len(b"id: 1\ndata: tok"),
        )  # fmt: skip
        self._assert_logged("run resumed", after="", first="1", events_before=0, runs=1)
        self.assertIn("fielddrift_cut_events_total 1.0", await self._metrics())

    async def test_an_event_with_two_ids_is_counted(self) -> None:
        await self._ask("two-ids")
        self._assert_logged("request answered", events=2, odd=1, last="2", runs=1)
        self.assertIn("fielddrift_odd_events_total 1.0", await self._metrics())

    async def test_an_answer_that_is_cut_tells_how_far_it_came(self) -> None:
        await self._ask("cut-event", "/verdict/x")
        self._assert_logged("answer cut", events=2, last="2", runs=1, partial_bytes=15)

    async def test_a_run_that_breaks_off_between_events_is_not_counted(self) -> None:
        await self._ask("cut-end")
        self._assert_logged("send failed", events=5, last="5", partial_bytes=0)
        self.assertIn("fielddrift_cut_events_total 0.0", await self._metrics())

    async def test_whole_answers_and_plain_ones_tell_of_no_other_run(self) -> None:
        self.one.faults = self.two.faults = []
        with capture_logs() as lines:
            await ask(self.node, "/chat/x", **prompt())
        self.assertEqual([n["event"] for n in lines if "request" in n], ["request answered"])
        await self.fleet.worker(Worker(name="w1"), "plain")
        await eventually(lambda: self.node.node.views.registry.get("w1") is not None)
        with capture_logs() as lines:
            await ask(self.node, "/safe/x")
        (line,) = [n for n in lines if "request" in n]
        self.assertNotIn("events", line)

    async def test_a_long_id_is_cut_in_lines(self) -> None:
        trace, send = Trace(), Send(instance=mock.Mock(), at=0.0)
        send.framer = EventFramer()
        trace.begin_relay(send)
        send.framer.feed(b"id: " + b"7" * 5000 + b"\ndata: x\n\n")
        self.assertEqual(trace.relay_progress()["last"], "7" * 40)
