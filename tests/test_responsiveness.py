"""Targets that stop responding get no requests that would be lost there, and are tried again."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
from unittest import mock

from fielddrift_core.heartbeat_schedule import Relation
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.placement import FAILING_RATE
from fielddrift_core.responsiveness import CHECK_INTERVAL_SECONDS as STEP
from fielddrift_core.responsiveness import Responsiveness, SilenceReport, allowed_seconds
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden, TargetHealth
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.metrics import Metrics
from fielddrift_node.serving.plain_requests import PlainRequests
from fielddrift_node.serving.send_gate import SendGate
from fielddrift_node.serving.send_watch import ResponsivenessWatch
from fielddrift_node.serving.views import Views
from structlog.testing import capture_logs

from .platform_fleet import BOUNDS, TwoTargets, eventually

_NODES, _SILENT, _RATE = 20, 4, 200
_RESPONSE_SECONDS = 0.1
_TIMEOUT_SECONDS = 1.0
"""Twice the latency goal: after this the former decision found an engine to be silent."""
_LISTED_SECONDS = 3.6
"""Time until the entries of silent engines lapse."""


class _Node:
    """One node under the replayed load; without `detects` it knows only failure rates."""

    def __init__(self, *, name: str, detects: bool) -> None:
        self.name = name
        self.detects = detects
        self.state, self.health = Responsiveness(), TargetHealth()
        self.waiting: dict[str, tuple[str, float, bool]] = {}

    def allows(self, engine: str, repeatable: bool, now: float) -> bool:
        if self.detects and self.state.is_unresponsive(engine):
            return repeatable and self.state.may_probe(engine, now, name=self.name, nodes=_NODES)
        return self.health.share(engine, now) < FAILING_RATE

    def send(self, request: str, engine: str, repeatable: bool, now: float) -> None:
        self.waiting[request] = (engine, now, repeatable)
        self.state.sent(engine, request, allowed=allowed_seconds(_RESPONSE_SECONDS), now=now)

    def step(self, silent: set[str], now: float) -> None:
        self.state.check(now)
        moved = {key for _, key in self.state.movable(now)} if self.detects else set()
        for request, (engine, at, repeatable) in list(self.waiting.items()):
            if engine not in silent and now - at >= _RESPONSE_SECONDS:
                self.state.heard(engine, now)
            elif repeatable and now - at >= _TIMEOUT_SECONDS:
                self.health.failed(engine, now)
            elif not repeatable or request not in moved:
                continue
            self.state.ended(engine, request)
            del self.waiting[request]


def _replay(*, detects: bool) -> tuple[int, int]:
    """Return the sends to silent engines until their entries lapse, and those lost there."""
    rng = random.Random(1)
    names = [f"n{number}" for number in range(_NODES)]
    nodes = {name: _Node(name=name, detects=detects) for name in names}
    engines = [f"e{number}" for number in range(16)]
    sent = lost = 0
    for step in range(round((2 + _LISTED_SECONDS) / STEP)):
        now = step * STEP
        silent = set(engines[:_SILENT] if now >= 2 else ())
        for node in nodes.values():
            node.step(silent, now)
        for name, node in nodes.items() if step % 3 == 0 else ():
            for report in node.state.reports(now, 16):
                for other in set(nodes) - {name}:
                    nodes[other].state.merge(name, report, now, nodes=_NODES)
        for number in range(round(_RATE * STEP)):
            node, repeatable = nodes[f"n{rng.randrange(_NODES)}"], number % 2 == 0
            engine = rng.choice([e for e in engines if node.allows(e, repeatable, now)])
            node.send(f"{step}/{number}", engine, repeatable, now)
            sent += engine in silent
            lost += engine in silent and not repeatable
    return sent, lost


class TestStates(unittest.TestCase):
    """One node, whose loop checks at its interval."""

    def setUp(self) -> None:
        self.node, self.now = Responsiveness(), 10.0
        self.node.check(self.now)

    def run_for(self, seconds: float) -> list[str]:
        """Check for some time; return the evidence of the changes."""
        found = []
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            found += [change.evidence for change in self.node.check(self.now)]
        return found

    def send(self, request: str = "r", allowed: float = 0.25, target: str = "t") -> None:
        self.node.sent(target, request, allowed=allowed, now=self.now)

    def test_few_requests_are_sent_to_engines_that_stopped(self) -> None:
        """Failure: each node found out alone, after twice the latency goal."""
        former_sent, former_lost = _replay(detects=False)
        sent, lost = _replay(detects=True)
        self.assertGreater(former_lost, 40)
        self.assertLess(sent, former_sent / 3)
        self.assertLess(lost, former_lost / 4)

    def test_a_slow_target_is_used_again_from_its_next_byte(self) -> None:
        self.send()
        self.assertEqual(self.run_for(0.4), ["send"])
        self.assertEqual(self.node.movable(self.now), [("t", "r")])
        self.node.heard("t", self.now)
        self.assertFalse(self.node)
        self.assertEqual(self.run_for(0.2), ["byte"])

    def test_bytes_of_other_responses_show_that_an_engine_reads_a_long_prompt(self) -> None:
        self.send(allowed=0.5)
        for _ in range(10):
            self.assertEqual(self.run_for(0.4), [])
            self.node.heard("t", self.now)

    def test_progress_of_other_nodes_shows_that_an_engine_is_overloaded(self) -> None:
        """Failure: in a burst, prompts were taken from engines that only were slow."""
        self.send()
        for _ in range(10):
            self.assertEqual(self.run_for(0.2), [])
            self.node.progressed_elsewhere("t", self.now)
        self.assertEqual(self.run_for(0.4), ["send"])
        self.node.progressed_elsewhere("t", self.now)
        # It may be out of reach for this node only.
        self.assertTrue(self.node.is_unresponsive("t"))

    def test_a_pause_of_this_node_is_no_silence_of_targets(self) -> None:
        self.send()
        self.run_for(0.1)
        for seconds in (0.3, 0.9, 16.0):
            self.now += seconds
            self.assertEqual(self.node.check(self.now), [])
        self.assertEqual(self.run_for(0.4), ["send"])
        self.now += 16.0
        self.assertEqual([c.evidence for c in self.node.check(self.now)], ["paused"])
        self.assertEqual(self.node.reports(self.now, 16), [])

    def test_a_connect_that_times_out_counts_unless_this_node_was_paused(self) -> None:
        self.send(allowed=9.0)
        self.run_for(0.35)
        self.node.connect_timed_out("t", "r", self.now + 1.0)
        self.assertFalse(self.node)
        self.node.connect_timed_out("t", "r", self.now)
        self.assertEqual(self.run_for(STEP), ["connect"])

    def test_a_report_expires_and_is_ignored_after_a_byte(self) -> None:
        self.node.heard("t", self.now)
        self.run_for(0.2)
        self.node.merge("n2", SilenceReport("t", 0.3), self.now, nodes=2)
        self.assertFalse(self.node)
        self.node.merge("n2", SilenceReport("t", 0.1), self.now, nodes=2)
        self.assertEqual(self.node.reports(self.now, 16), [])
        self.assertEqual(self.run_for(0.9), ["report"])
        self.assertEqual(self.run_for(0.2), ["lapsed"])

    def test_probes_are_shared_with_other_reporters_and_end_without_evidence(self) -> None:
        self.send()
        self.run_for(1.0)
        self.node.ended("t", "r")
        self.assertFalse(self.node.may_probe("t", self.now, name="n3", nodes=9))
        self.run_for(0.5)
        self.assertTrue(self.node.may_probe("t", self.now, name="n3", nodes=9))
        self.node.merge("n2", SilenceReport("t", 1.0), self.now, nodes=2)
        self.assertFalse(self.node.may_probe("t", self.now, name="n3", nodes=9))
        self.run_for(1.0)
        self.send("probe")
        self.run_for(3.0)
        self.assertFalse(self.node.may_probe("t", self.now, name="n3", nodes=9))
        self.assertEqual(self.node.movable(self.now), [("t", "probe")])
        self.node.ended("t", "probe")
        # Without repeatable requests nothing probes: the target must not be avoided for ever.
        self.assertEqual(self.run_for(4.5), [])
        self.assertEqual(self.run_for(1.0), ["lapsed"])

    def test_one_of_many_observers_probes_within_a_second(self) -> None:
        """Failure: each of them waited a second for each of them, so that none probed for long."""
        names = [f"n{number}" for number in range(8)]
        nodes = {name: Responsiveness() for name in names}
        probes: list[float] = []
        for step in range(round(8.0 / STEP)):
            now = 10.0 + step * STEP
            for name, node in nodes.items():
                if step == 1:
                    node.sent("t", "r", allowed=0.25, now=now)
                node.check(now)
                for report in node.reports(now, 16):
                    for other in set(names) - {name}:
                        nodes[other].merge(name, report, now, nodes=8)
                if node.is_unresponsive("t") and node.may_probe("t", now, name=name, nodes=8):
                    probes.append(round(now - 10.0, 2))
                    node.sent("t", f"probe/{step}", allowed=0.25, now=now)
                    node.ended("t", f"probe/{step}")
        self.assertLess(probes[0], 1.5)
        self.assertLessEqual(len(probes), 8)

    def test_a_heartbeat_reports_at_most_sixteen_and_later_ones_the_others(self) -> None:
        for number in range(20):
            self.send(target=f"t{number}")
        self.run_for(0.5)
        told = [self.node.reports(self.now + wait, 16) for wait in (0.0, 0.1)]
        self.assertEqual([len(reports) for reports in told], [16, 16])
        self.assertEqual(len({report.target for reports in told for report in reports}), 20)

    def test_requests_that_run_once_go_elsewhere_unless_all_are_silent(self) -> None:
        views = Views()
        neighbours = mock.Mock(me=Neighbour("n1", 1, "a", "n1:1", "n1:2", "n1:3"))
        gate = SendGate(views=views, neighbours=neighbours, bounds=BOUNDS)
        one, two = (Instance(name, "s", f"{name}:1", "a") for name in ("one", "two"))
        service = mock.Mock(cold_rate=0.0)
        for instance in (one, two):
            views.registry.heard(instance, 0.0)
        views.responsiveness.merge("n2", SilenceReport("one", 0.3), 1.0, nodes=2)
        self.assertEqual([gate.allows(service, i, 1.0) for i in (one, two)], [False, True])
        self.assertTrue(gate.allows(service, one, 2.1, repeatable=True))
        # The other target refused the connection: only the silent one is left.
        self.assertTrue(gate.allows(service, one, 1.0, tried={"two"}))
        views.responsiveness.merge("n2", SilenceReport("two", 0.3), 1.0, nodes=2)
        self.assertEqual([gate.allows(service, i, 1.0) for i in (one, two)], [True, True])


class TestFailures(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_send_is_no_failure_of_an_unresponsive_plain_target(self) -> None:
        """Failure: it counted if it was overdue before its target was found unresponsive."""
        views, now = Views(), asyncio.get_running_loop().time()
        requests = PlainRequests(context=mock.Mock(views=views))
        call = mock.Mock(service=mock.Mock(engine=None))
        call.service.name = "s"
        views.responsiveness.merge("n2", SilenceReport("one", 0.3), now, nodes=2)
        for name in ("one", "two"):
            instance = Instance(name, "s", f"{name}:1", "a")
            send = mock.Mock(target=name, instance=instance, through="")
            requests.record_silence(call, send, "silent")
        rates = [views.health.share(name, now) for name in ("one", "two")]
        self.assertEqual([rate > 0.0 for rate in rates], [False, True])


class TestLines(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_times_out_at_a_cold_target_is_logged(self) -> None:
        """Failure: its bound is infinite, which ended the loop that detects silent targets."""
        views, loop = Views(), asyncio.get_running_loop()
        now = loop.time()
        views.responsiveness.check(now - STEP)
        views.responsiveness.sent("t", "r", allowed=math.inf, now=now - 1.0)
        views.responsiveness.connect_timed_out("t", "r", now)
        watch = ResponsivenessWatch(views=views, metrics=Metrics(), on_change=lambda: None)
        with capture_logs() as lines:
            running = asyncio.ensure_future(watch.run())
            await asyncio.sleep(STEP)
            running.cancel()
        (line,) = [line for line in lines if line["event"] == "target unresponsive"]
        self.assertEqual((line["evidence"], line["allowed_ms"]), ("connect", None))


class TestNode(TwoTargets):
    """Nodes and two targets, of which the first one, `speaker`, goes silent."""

    async def start(self, service: str, *, nodes: int = 1, alone: bool = False) -> None:
        for each in self.fleet.routes:
            # A send without a response times out after 2.8 s.
            each["target-latency-ms"] = 700 if service == "plain" else 1400
        self.fleet.configure()
        await super().start(service, nodes=nodes, alone=alone)
        self.states = [node.node.views.responsiveness for node in self.nodes]
        for node in self.nodes if service == "engines" else ():
            # The speaker is the better choice as long as it responds.
            node.node.views.workload.begin("other", "busy", 5_000, 5_000)

    async def send_while_silent(self, seconds: float) -> None:
        """Send requests of which those at the silent speaker must move within `seconds`."""
        self.speaker.faults = ["hang"] * 100
        async with asyncio.timeout(seconds):
            # Fewer than the budget of each node for repeated sends.
            self.assertEqual(set(await self.send_many(12, 0.2)), {200})
        await eventually(lambda: all(s.is_unresponsive("speaker") for s in self.states))

    async def test_prompts_move_away_and_the_engine_is_probed(self) -> None:
        await self.start("engines", nodes=2)
        with capture_logs() as lines:
            await self.send_while_silent(2.4)
            reached = len(self.speaker.ran)
            # Each of these requests may be sent once only.
            self.assertEqual(set(await self.send_many(20, 0.3, "/verdict/1")), {200})
            self.assertEqual(len(self.speaker.ran), reached)
            self.speaker.faults = []
            events = {"target unresponsive": "send", "target responsive again": "byte"}
            async with asyncio.timeout(10):
                while events.items() - {(n["event"], n.get("evidence")) for n in lines}:
                    self.assertEqual((await self.ask()).status, 200)

    async def test_a_plain_request_moves_away(self) -> None:
        await self.start("plain")
        await self.send_while_silent(2.6)

    async def test_a_plain_target_that_works_for_long_is_not_silent(self) -> None:
        """Failure: responses that take over twice the latency goal counted as silence."""
        await self.start("plain")
        for each in self.fleet.routes:
            each["target-latency-ms"] = 150
        self.fleet.configure()
        self.speaker.work_seconds = self.other.work_seconds = 0.4
        # Their work time is learned from requests that are never moved.
        self.assertEqual({(await self.ask("/unsafe/1")).status for _ in range(6)}, {200})
        with capture_logs() as lines:
            self.assertEqual({(await self.ask()).status for _ in range(4)}, {200})
        self.assertNotIn("target unresponsive", [line["event"] for line in lines])
        self.assertEqual(len(self.speaker.ran) + len(self.other.ran), 10)

    async def test_a_single_target_is_not_treated_as_unresponsive(self) -> None:
        await self.start("engines", alone=True)
        self.speaker.faults = ["hang"]
        first = asyncio.ensure_future(self.ask("/verdict/1"))
        await eventually(lambda: self.states[0].is_unresponsive("speaker"))
        self.assertEqual((await self.ask("/verdict/2")).status, 200)
        self.assertEqual((await first).status, 504)

    async def test_a_refusal_that_proves_no_run_is_no_failure(self) -> None:
        """Failure: after its pause a plain target got nothing for some seconds."""
        await self.start("plain")
        self.speaker.pause = 0.3
        await self.send_until_received()
        self.speaker.pause = 0.0
        await asyncio.sleep(0.35)
        self.assertEqual(set(await self.send_many(30, 0.5)), {200})
        self.assertGreater(len(self.speaker.ran), 5)

    async def test_a_move_in_another_data_centre_is_no_progress(self) -> None:
        """Failure: the relay's total fell, and the relay had not found the target silent itself."""
        now = asyncio.get_running_loop().time()
        views = [Views(), Views()]
        relay, two = (
            HeartbeatTranslator(
                views=views[number],
                neighbours=Neighbours(me=Neighbour(f"n{number}", 1, place, "x:1", "x:2", "x:3")),
            )
            for number, place in enumerate("ab")
        )
        mover = [Neighbour("mover", 1, "a", "x:1", "x:2", "x:3")]
        for running in (2, 1):
            views[0].workload.update_node("mover", {"t": Burden(running)}, now)
            with mock.patch.object(Neighbours, "nearby_active", return_value=mover):
                heartbeat = relay.heartbeat(Relation(False, True, True), leaving=False)
            self.assertEqual(heartbeat.burdens["t"].running, running)
            two.heard(heartbeat)
        views[1].responsiveness.merge("n3", SilenceReport("t", 0.3), now, nodes=2)
        self.assertTrue(views[1].responsiveness.is_unresponsive("t"))

    async def test_reports_reach_other_nodes_and_are_not_forwarded(self) -> None:
        now = asyncio.get_running_loop().time()
        views = [Views(), Views()]
        one, two = (
            HeartbeatTranslator(
                views=views[number],
                neighbours=Neighbours(me=Neighbour(f"n{number}", 1, "a", "x:1", "x:2", "x:3")),
            )
            for number in range(2)
        )
        views[0].responsiveness.sent("t", "r", allowed=0.25, now=now - 0.5)
        for step in range(11):
            views[0].responsiveness.check(now - 0.5 + step * STEP)
        for near in (True, False):
            heartbeat = one.heartbeat(Relation(near, True, True), leaving=False)
            two.heard(heartbeat)
            self.assertTrue(views[1].responsiveness.is_unresponsive("t"))
            self.assertNotIn(
                "silent:t", two.heartbeat(Relation(near, True, True), leaving=False).burdens
            )
        entry = heartbeat.burdens["silent:t"]
        for burden, progressed in ((Burden(2, 9), False), (Burden(1, 0), True)):
            views[1].responsiveness = Responsiveness()
            two.heard(heartbeat._replace(burdens={"t": burden}))
            views[1].responsiveness.merge("n3", SilenceReport("t", 0.3), now, nodes=2)
            self.assertEqual(bool(views[1].responsiveness), not progressed)
        views[1].responsiveness = Responsiveness()
        # A relay of the previous release adds up the entries of several nodes.
        two.heard(heartbeat._replace(burdens={"silent:t": entry + entry}))
        self.assertFalse(views[1].responsiveness)
