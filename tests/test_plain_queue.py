"""Requests to plain services wait at the nodes, or are refused at once, while targets are full."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fielddrift_core.placement import PlainTargetState, choose_plain_target
from fielddrift_core.plain_queue import Decision, Demand, PlainQueue, WaitingRequest
from fielddrift_core.prompt_queue import queue_name
from fielddrift_core.target_registry import Instance
from fielddrift_core.workload import TargetHealth, Workload

GOAL, DEADLINE, WORK = 0.347, 1.6, 0.069
SLOTS, TARGET_QUEUE = 6, 24
RATE = 132.0
NODES = 12
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
        self.replay, self.factor, self.lost = replay, 1.0, False
        self.running, self.queue = 0, deque[Callable[[], None]]()

    def offer(self, done: Callable[[], None]) -> bool:
        """Run a request, or queue it; return False if there is no room."""
        if self.running >= SLOTS + 0 and len(self.queue) >= TARGET_QUEUE:
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
        self.replay.sends += 1
        self.workload.begin(instance.name, request.key, 0)
        running = self.workload.burden_of(instance.name, self.replay.now).running
        target = self.replay.targets[instance.name]
        if target.lost:
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
        self.sends = self.returned = 0
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
