"""Requests to plain services wait at the nodes, or are refused at once, while targets are full."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
import unittest
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest import mock

from fielddrift_core.placement import PlainTargetState, choose_plain_target
from fielddrift_core.plain_queue import (
    Decision,
    Demand,
    PlainQueue,
    TargetLimit,
    WaitingRequest,
)
from fielddrift_core.prompt_queue import queue_name
from fielddrift_core.retries import WindowBudget
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import Burden, TargetHealth, Workload
from fielddrift_node.serving.plain_requests import PlainRequests
from fielddrift_node.serving.views import Views
from fielddrift_standins.worker import Worker

from .platform_fleet import FleetCase, RunningNode, ask, eventually, get

GOAL, DEADLINE, WORK = 0.347, 1.6, 0.069
SLOTS, TARGET_QUEUE = 6, 24
RATE = 132.0
NODES = 12
"""Enough that most of a target's load is known from heartbeats."""
HEARTBEAT, LINK, CHECK = 0.15, 0.001, 0.05
WARM_UP, OVERLOAD = 3.0, 6.0
LINE = queue_name("plain", 1)
TARGETS = [Instance(f"t{n}", "plain", f"t{n}:1", "a", slots=SLOTS) for n in range(4)]


@dataclass(eq=False)
class Request:
    """A request, and what became of it; `attempts` is 1 for one that may run once."""

    node: Node
    key: str
    arrived: float
    attempts: int
    returns: bool
    fails: bool
    tried: set[str] = field(default_factory=set)
    waiting: WaitingRequest | None = None
    sent_at: float = 0.0
    ended: float | None = None
    served: bool = False


class Target:
    """A target with slots and a bounded queue."""

    def __init__(self, replay: Replay) -> None:
        self.replay, self.factor, self.lost, self.failing = replay, 1.0, False, False
        self.running, self.queue = 0, deque[Callable[[], None]]()

    def offer(self, done: Callable[[], None]) -> bool:
        """Run a request, or queue it; return False if there is no room."""
        if self.running >= SLOTS and len(self.queue) >= TARGET_QUEUE:
            return False
        self.queue.append(done)
        self._next()
        return True

    def _next(self) -> None:
        if self.queue and self.running < SLOTS:
            self.running += 1
            done = self.queue.popleft()
            seconds = WORK * self.factor * self.replay.rng.uniform(0.6, 1.4)
            self.replay.after(seconds, lambda: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self.running -= 1
        done()
        self._next()


class Node:
    """A node with its own views; `queue` is None for the former decision."""

    def __init__(self, replay: Replay, name: str, former: bool) -> None:
        self.replay, self.name = replay, name
        self.workload, self.health = Workload(), TargetHealth()
        self.queue = None if former else PlainQueue()
        self.held: dict[int, Request] = {}

    def states(self) -> list[PlainTargetState]:
        now = self.replay.now
        return [
            PlainTargetState(
                t, self.workload.burden_of(t.name, now), self.health.share(t.name, now)
            )
            for t in TARGETS
        ]

    def choose(self, request: Request) -> Instance | None:
        arguments = {"data_centre": "a", "tried": request.tried, "rng": self.replay.rng}
        if self.queue is None:
            return choose_plain_target(self.states(), **arguments)  # type: ignore[arg-type]
        own = sum(self.workload.own_of(t.name).running for t in TARGETS)
        waiting = len(self.queue) + (request.waiting is None)
        line = self.workload.burden_of(LINE, self.replay.now)
        others = line.running - self.workload.own_of(LINE).running
        now = self.replay.now
        turn = request.waiting.turn if request.waiting else now + 1
        demand = Demand(own, waiting, others, now - turn if turn <= now else None)
        return self.queue.choose(self.states(), demand, latency_goal=GOAL, now=now, **arguments)  # type: ignore[arg-type]

    def serve(self, request: Request) -> None:
        queue = self.queue
        if queue is None or not queue.count_ahead(1):
            instance = self.choose(request)
            if instance is not None or queue is None:
                if instance is None:
                    self.refuse(request, 0.25)
                else:
                    self.send(request, instance)
                return
        now = self.replay.now
        ends = request.arrived + DEADLINE
        admission = queue.admit(
            self.states(),
            rank=1,
            ahead=self.workload.burden_of(LINE, now).running,
            elapsed=now - request.arrived,
            time_left=ends - now,
            latency_goal=GOAL,
            now=now,
            rng=self.replay.rng,
        )
        if admission.decision is Decision.REFUSE and not request.tried:
            self.refuse(request, admission.retry_after)
            return
        turn = now if request.tried else now + admission.wait
        request.waiting = WaitingRequest(request.key, 1, request.arrived + GOAL, turn)
        self.held[id(request.waiting)] = request
        queue.add(request.waiting)
        self.workload.begin(LINE, request.key, 0)
        self.replay.after(turn - now, self.wake)
        self.replay.after(ends - admission.work - now, lambda: self.expire(request))

    def expire(self, request: Request) -> None:
        if request.waiting is not None:
            self.leave(request)
            self.refuse(request, 0.25)

    def leave(self, request: Request) -> None:
        """Take a request out of the queue."""
        assert request.waiting is not None and self.queue is not None
        self.queue.remove(request.waiting)
        del self.held[id(request.waiting)]
        self.workload.end(LINE, request.key)
        request.waiting = None

    def wake(self) -> None:
        """Send what can be sent of the waiting requests, in order."""
        if self.queue is None:
            return
        for waiting in self.queue.in_order(self.replay.now):
            request = self.held[id(waiting)]
            instance = self.choose(request)
            if instance is not None:
                self.leave(request)
                self.send(request, instance)
            elif not request.tried:
                return

    def send(self, request: Request, instance: Instance) -> None:
        request.tried.add(instance.name)
        request.sent_at = self.replay.now
        self.workload.begin(instance.name, request.key, 0)
        running = self.workload.burden_of(instance.name, self.replay.now).running
        target = self.replay.targets[instance.name]
        if target.failing:
            request.fails = True
            self.replay.failed += 1
            self.replay.after(LINK, lambda: self.answered(request, instance, running))
        elif target.lost:
            self.replay.after(LINK, lambda: self.failed(request, instance, running))
        elif not target.offer(
            lambda: self.replay.after(LINK, lambda: self.answered(request, instance, running))
        ):
            self.replay.after(LINK, lambda: self.full(request, instance, running))

    def answered(self, request: Request, instance: Instance, running: int) -> None:
        now = self.replay.now
        self.workload.end(instance.name, request.key)
        if request.fails:
            self.health.failed(instance.name, now)
            if self.queue is not None:
                self.queue.failed_answer(instance)
        else:
            self.health.succeeded(instance.name, now)
            if self.queue is not None:
                seconds = now - request.sent_at
                self.queue.answered(instance, seconds, running=running, now=now)
        request.ended, request.served = now, True
        self.wake()

    def full(self, request: Request, instance: Instance, running: int) -> None:
        self.replay.returned += 1
        self.workload.end(instance.name, request.key)
        self.health.failed(instance.name, self.replay.now)
        if self.queue is not None:
            self.queue.full(instance, self.replay.now)
        self.again(request)

    def failed(self, request: Request, instance: Instance, running: int) -> None:
        self.workload.end(instance.name, request.key)
        self.health.failed(instance.name, self.replay.now)
        if self.queue is not None:
            self.queue.lost(instance, self.replay.now)
        request.attempts += 1
        self.again(request)

    def again(self, request: Request) -> None:
        if len(request.tried) < request.attempts:
            self.serve(request)
        else:
            self.refuse(request, 0.25)
        self.wake()

    def refuse(self, request: Request, retry_after: float) -> None:
        request.ended = self.replay.now
        if not request.returns:
            self.replay.after(
                min(retry_after, (request.arrived + DEADLINE - self.replay.now) / 3),
                lambda: self.replay.arrive(returns=True),
            )


class Replay:
    """Nodes and targets in virtual time."""

    def __init__(self, *, seed: int, former: bool = False) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.returned = self.failed = 0
        self.requests: list[Request] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.targets = {t.name: Target(self) for t in TARGETS}
        self.nodes = [Node(self, f"n{n}", former) for n in range(NODES)]
        for number, node in enumerate(self.nodes):
            self.after(number * HEARTBEAT / NODES, lambda node=node: self._heartbeat(node))
        self.factor = 1.0
        self._arrivals()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def arrive(self, returns: bool = False) -> None:
        repeatable = self.rng.random() < 38 / 132
        request = Request(
            self.rng.choice(self.nodes), f"r{len(self.requests)}", self.now,
            2 if repeatable else 1, returns, repeatable and self.rng.random() < 0.14,
        )  # fmt: skip
        self.requests.append(request)
        request.node.serve(request)

    def _arrivals(self) -> None:
        self.after(self.rng.expovariate(RATE * self.factor), self._arrivals)
        if self.now:
            self.arrive()

    def _heartbeat(self, node: Node) -> None:
        burdens = node.workload.own()
        for other in self.nodes:
            if other is not node:
                other.workload.update_node(node.name, burdens, self.now)
                other.wake()
        self.after(HEARTBEAT, lambda: self._heartbeat(node))


class Outcome:
    """What became of the requests of an overload of `factor` times the usual rate."""

    def __init__(
        self,
        *,
        former: bool = False,
        factor: float = 4.0,
        slow: float = 1.0,
        lost: bool = False,
        failing: bool = False,
    ) -> None:
        replay = Replay(seed=1, former=former)
        replay.targets["t0"].factor = slow
        replay.run(WARM_UP)
        start = len(replay.requests)
        replay.factor, replay.targets["t1"].lost = factor, lost
        replay.targets["t1"].failing = failing
        replay.run(WARM_UP + OVERLOAD)
        requests, replay.factor = replay.requests[start:], 1.0
        replay.run(WARM_UP + OVERLOAD + 4.0)
        served = [request.ended - request.arrived for request in requests if request.served]
        self.in_time = sum(seconds <= GOAL for seconds in served) / len(served)
        self.good_rate = sum(seconds <= GOAL for seconds in served) / OVERLOAD
        self.refused_late = [
            request for request in requests
            if not request.served and (request.ended or replay.now) - request.arrived > GOAL / 8
        ]  # fmt: skip
        self.refused = len(requests) - len(served)
        self.failed = replay.failed
        """Answers of a target that fails all requests at once."""
        self.returned = replay.returned
        """Sends that targets returned because they were full."""
        end = WARM_UP + OVERLOAD + 2.0
        self.open = [request for request in requests if (request.ended or replay.now) > end]
        """Requests of the overload that were not ended 2 s after it."""
        self.unserved_after = [
            request for request in replay.requests
            if end <= request.arrived < replay.now - DEADLINE and not request.served
        ]  # fmt: skip


class TestOverload(unittest.TestCase):
    """Four times the usual rate for six seconds, with nodes that know each other's sends late.

    Failure of the former decision: targets fill up, return most requests, and answer the others
    after their latency goal.
    """

    def test_who_cannot_be_served_is_refused_at_once_and_the_others_are_in_time(self) -> None:
        former, outcome = Outcome(former=True), Outcome()
        self.assertEqual(outcome.refused_late, [])
        self.assertGreaterEqual(outcome.in_time, 0.95)
        self.assertEqual(outcome.returned, 0)
        self.assertEqual(outcome.open, [])
        self.assertEqual(outcome.unserved_after, [])
        self.assertGreater(outcome.good_rate, former.good_rate)
        self.assertLess(former.in_time, 0.95)
        self.assertGreater(former.returned, 0)

    def test_a_target_three_times_slower_makes_no_requests_late(self) -> None:
        former, outcome = Outcome(former=True, factor=1.0, slow=3.0), Outcome(factor=1.0, slow=3.0)
        self.assertGreaterEqual(outcome.in_time, 0.95)
        self.assertEqual((outcome.refused, outcome.returned), (0, 0))
        self.assertLess(former.in_time, 0.95)

    def test_a_slow_target_in_an_overload_returns_nothing(self) -> None:
        former, outcome = Outcome(former=True, slow=3.0), Outcome(slow=3.0)
        self.assertEqual((outcome.refused_late, outcome.open, outcome.returned), ([], [], 0))
        self.assertGreater(outcome.good_rate, former.good_rate)

    def test_a_lost_target_does_not_attract_what_waits(self) -> None:
        former, outcome = Outcome(former=True, lost=True), Outcome(lost=True)
        self.assertEqual((outcome.refused_late, outcome.open, outcome.returned), ([], [], 0))
        self.assertGreaterEqual(outcome.in_time, 0.95)
        self.assertLess(former.in_time, 0.95)

    def test_a_target_that_fails_at_once_does_not_attract_what_waits(self) -> None:
        """Failure: it always had room, and got half of the requests of an overload."""
        former, outcome = Outcome(former=True, failing=True), Outcome(failing=True)
        self.assertLess(outcome.failed, former.failed / 4)
        self.assertEqual((outcome.refused_late, outcome.open, outcome.returned), ([], [], 0))

    def test_without_overload_nothing_waits_or_is_refused(self) -> None:
        outcome = Outcome(factor=1.0)
        self.assertEqual((outcome.refused, outcome.returned), (0, 0))
        self.assertGreaterEqual(outcome.in_time, 0.95)


class TestTargetLimit(unittest.TestCase):
    def test_it_starts_at_the_slots_grows_in_use_and_falls_with_latency(self) -> None:
        limit = TargetLimit(slots=6)
        self.assertEqual(limit.value, 6)
        for number in range(40):
            limit.answered(0.07, running=limit.value, now=number * 0.01)
        self.assertIn(limit.value, range(9, 13))
        for number in range(40):
            limit.answered(0.5, running=limit.value, now=0.4 + number * 0.01)
        self.assertLess(limit.value, 6)

    def test_it_falls_when_the_target_is_full_but_not_below_one(self) -> None:
        limit = TargetLimit(slots=6)
        limit.full(0.0)
        self.assertEqual(limit.value, 4)
        for _ in range(20):
            limit.full(0.0)
        self.assertEqual(limit.value, 1)


class TestPlainQueue(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = PlainQueue()
        for _ in range(5):
            self.queue.answered(TARGETS[0], WORK, running=1, now=0.0)

    def _choose(self, running: int, demand: Demand, slots: int = SLOTS) -> Instance | None:
        state = PlainTargetState(TARGETS[0]._replace(slots=slots), Burden(running), 0.0)
        return self.queue.choose(
            [state], demand, latency_goal=GOAL, data_centre="a", tried=(), now=0.0,
            rng=random.Random(1),
        )  # fmt: skip

    def _admit(self, *, ahead: int, time_left: float = DEADLINE, elapsed: float = 0.0) -> str:
        states = [PlainTargetState(TARGETS[0], Burden(SLOTS), 0.0)]
        admission = self.queue.admit(
            states, rank=1, ahead=ahead, elapsed=elapsed, time_left=time_left, latency_goal=GOAL,
            now=0.0, rng=random.Random(1),
        )  # fmt: skip
        self.assertLessEqual(admission.retry_after, time_left / 3)
        return admission.reason or admission.decision.value

    def test_rank_comes_first_then_who_can_be_in_time_then_the_due_time(self) -> None:
        for request, rank, due in (("late", 1, 0.5), ("c", 1, 3.0), ("b", 1, 2.0), ("a", 0, 9.0)):
            self.queue.add(WaitingRequest(request, rank, due, 0.0))
        self.assertEqual([r.request for r in self.queue.in_order(1.0)], ["a", "b", "c", "late"])

    def test_a_full_target_gets_nothing_and_unknown_slots_have_no_limit(self) -> None:
        self.assertIsNotNone(self._choose(SLOTS - 1, Demand()))
        self.assertIsNone(self._choose(SLOTS, Demand()))
        self.assertIsNotNone(self._choose(100, Demand(), slots=0))

    def _chosen(self, seconds: float, *, now: float) -> set[str]:
        """Return the targets used by an idle node if `t1` last answered after `seconds`."""
        for _ in range(7):
            self.queue.answered(TARGETS[0], WORK, running=1, now=0.0)
        for _ in range(7):
            self.queue.answered(TARGETS[1], seconds, running=1, now=0.0)
        states = [PlainTargetState(target, Burden(), 0.0) for target in TARGETS[:2]]
        rng = random.Random(1)
        chosen = [
            self.queue.choose(
                states, Demand(), latency_goal=GOAL, data_centre="a", tried=(), now=now, rng=rng
            )
            for _ in range(50)
        ]
        return {instance.name for instance in chosen if instance is not None}

    def test_targets_that_are_about_as_fast_are_all_used(self) -> None:
        """Failure: an idle node sent everything to the target that was faster by 6 in 100."""
        self.assertEqual(self._chosen(1.06 * WORK, now=1.0), {"t0", "t1"})

    def test_a_target_that_was_slow_is_tried_again(self) -> None:
        """Failure: a latency was kept for ever while the other target had room."""
        self.assertEqual(self._chosen(10 * WORK, now=1.0), {"t0"})
        self.assertEqual(self._chosen(10 * WORK, now=6.0), {"t0", "t1"})

    def test_room_is_shared_with_the_requests_that_wait_at_other_nodes(self) -> None:
        self.assertIsNone(self._choose(SLOTS - 1, Demand(3, 1, others_waiting=20)))
        self.assertIsNotNone(self._choose(SLOTS - 1, Demand(0, 20, others_waiting=1)))

    def test_requests_at_unresponsive_targets_take_no_room_at_others(self) -> None:
        """Failure: a node whose requests hung at one target got no room at the others."""
        views = Views()
        for target in TARGETS[:2]:
            views.registry.heard(target, 0.0)
        for name in ("hung", "hung too"):
            views.workload.begin("t0", name, 0)
        views.workload.begin("t1", "running", 0)
        call = mock.Mock(priority=1, catalog=mock.Mock(priorities=[1]))
        call.service.name = "plain"
        # The gate leaves out `t0`, which is unresponsive.
        states = [PlainTargetState(TARGETS[1], Burden(SLOTS - 1), 0.0)]
        demand = PlainRequests(context=mock.Mock(views=views))._demand(call, states, None, 0.0)
        self.assertEqual(demand.own_running, 1)

    def test_a_request_that_waits_longer_than_estimated_is_sent_unless_targets_are_full(
        self,
    ) -> None:
        demand = Demand(overdue_seconds=GOAL)
        self.assertIsNotNone(self._choose(SLOTS, demand))
        self.queue.full(TARGETS[0], 0.0)
        self.assertIsNone(self._choose(SLOTS, demand))

    def test_the_estimate_decides_who_waits(self) -> None:
        self.assertEqual(self._admit(ahead=1), "wait")
        self.assertEqual(self._admit(ahead=30), "plain-full")
        self.assertEqual(self._admit(ahead=1, time_left=0.05), "plain-deadline")
        # Late but within its deadline: it is served after the others.
        self.assertEqual(self._admit(ahead=1, elapsed=1.0), "wait")

    def test_no_request_is_admitted_ahead_of_a_late_one_while_many_wait(self) -> None:
        self.queue.add(WaitingRequest("late", 1, 0.0, 0.0))
        self.assertEqual(self._admit(ahead=8), "plain-late-ahead")
        self.assertEqual(self._admit(ahead=1), "wait")


class TestNode(FleetCase):
    """A node before a plain target with four slots."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for each in self.fleet.routes:
            each["target-latency-ms"] = 300
        self.fleet.configure()
        self.worker = await self.fleet.worker(Worker(name="w1", work_seconds=0.1), "plain")
        self.node = await self.fleet.node()
        await eventually(lambda: len(self.node.node.views.registry) == 1)
        for number in range(4):
            await ask(self.node, "/unsafe/x", request_id=f"warm{number}")

    async def _target(self, node: RunningNode) -> dict[str, object]:
        beliefs = json.loads((await get(node.settings.metrics, "/beliefs")).body)
        return next(target for target in beliefs["targets"] if target["name"] == "w1")

    async def test_what_cannot_be_in_time_is_refused_at_once_and_never_sent(self) -> None:
        before = len(self.worker.arrivals)
        started = asyncio.get_running_loop().time()
        seconds: list[float] = []

        async def one(number: int) -> tuple[int, dict[str, str]]:
            answer = await ask(self.node, "/unsafe/x", request_id=f"r{number}")
            if answer.status == 503:
                seconds.append(asyncio.get_running_loop().time() - started)
            return answer.status, answer.headers

        answers = await asyncio.gather(*(one(number) for number in range(60)))
        refused = [headers for status, headers in answers if status == 503]
        self.assertEqual({status for status, _ in answers}, {200, 503})
        # Far less than the deadline of 3 s.
        self.assertLess(max(seconds), 1.0)
        self.assertTrue(all(0 < float(headers["retry-after"]) <= 1.0 for headers in refused))
        self.assertEqual(len(self.worker.arrivals) - before, len(answers) - len(refused))
        metrics = (await get(self.node.settings.metrics, "/metrics")).body.decode()
        self.assertIn('fielddrift_refusals_total{reason="plain-full"}', metrics)
        self.assertEqual(self.node.node.views.plain_queues.waiting, 0)

    async def test_a_lost_target_refuses_at_once_with_a_time(self) -> None:
        self.worker.close()
        started = asyncio.get_running_loop().time()
        answer = await ask(self.node, "/unsafe/x", request_id="r")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)

    async def test_failed_connections_add_nothing_to_the_budget_for_repeated_sends(self) -> None:
        """Failure: each send to a lost target counted as the first send of another request."""
        workers = [self.worker, await self.fleet.worker(Worker(name="w2"), "plain")]
        await eventually(lambda: len(self.node.node.views.registry) == 2)
        for worker in workers:
            worker.close()
        with mock.patch.object(WindowBudget, "record_first", autospec=True) as record_first:
            self.assertEqual((await ask(self.node, "/unsafe/x", request_id="r")).status, 503)
        self.assertEqual(record_first.call_count, 1)

    async def test_a_full_target_lowers_its_limit_and_the_request_goes_elsewhere(self) -> None:
        other = await self.fleet.worker(Worker(name="w2"), "plain")
        await eventually(lambda: len(self.node.node.views.registry) == 2)
        self.worker.faults = other.faults = ["shed"]
        before = await self._target(self.node)
        self.assertEqual(before["concurrency"], 4)
        self.assertGreaterEqual(before["work_seconds"], 0.1)  # type: ignore[operator]
        self.assertEqual((await ask(self.node, "/safe/x", request_id="s")).status, 200)
        limits = self.node.node.views.plain_queues.of("plain").queue
        self.assertIn(2, (limits.known_limit("w1"), limits.known_limit("w2")))
