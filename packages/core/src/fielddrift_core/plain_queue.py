"""Queue requests to plain services at a node while all targets have as many as they handle well.

Load pattern: for some seconds a few targets, each with some slots and a bounded queue, get more
requests than they can serve, from nodes that know each other's sends only after a heartbeat.  A
request that waits in a target's queue is served late there, or is returned by a full target at
the cost of a retry.  One that waits at its node goes to whichever target has room first, in order
of rank and due time, and can be refused while its caller still has time to return.
"""

from __future__ import annotations

import random
import statistics
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from .overload import LATE_FRACTION, is_congested
from .placement import PLAIN_WORK_SECONDS, PlainTargetState, choose_plain_target
from .returns import latest_delay
from .target_registry import Instance

__all__ = [
    "Admission",
    "Decision",
    "Demand",
    "PlainQueue",
    "TargetLimit",
    "WaitingRequest",
]

_REPORT_INTERVAL_SECONDS = 0.15
"""Interval of the heartbeats by which active nodes learn of each other's sends and queues."""
_WORK_SAMPLE_COUNT = 31
"""Recent answers of a service from which its work time is computed.  An odd number has a middle."""
_TARGET_SAMPLE_COUNT = 7
"""The same for one target: few, since a node sends each target only a few requests a second."""
_MIN_SAMPLE_COUNT = 3
"""Answers from which a median is used; with fewer, one slow answer would decide."""
_LOWEST_WINDOW_SECONDS = 5.0
"""Time for which the lowest latency of a target is remembered: longer than most bursts, in which
it would be mistaken for the latency without load, and short enough that a target which stays
slow is soon used with all its slots again."""
_NEAR_FACTOR = 1.5
"""Ratio to the lowest latency up to which a target's latency counts as unloaded: the median of a
few answers varies by about a quarter."""
_LATENCY_SECONDS = 5.0
"""Time after its last answer for which a target's own latency counts.  A target that was slow is
sent nothing while others are fast, and could not show that it has recovered."""
_MIN_DIFFERENCE_SECONDS = 0.01
"""Difference from the service's work time up to which a target's own does not count: the event
loop of a small host adds up to 6 ms."""
_HEADROOM_REQUESTS = 2.0
"""Requests beyond the slots that a target may hold: the next request is there when one ends."""
_MIN_GRADIENT = 0.5
"""Lower bound of the factor by which latency lowers a limit at once."""
_LIMIT_WEIGHT = 0.2
"""Weight of the newest answer in a limit: about five answers change it."""
_MAX_SLOTS_FACTOR = 2
"""Maximum limit in slots.  The requests beyond the slots then wait for one work time at most,
which the latency goals, several work times, allow."""
_FULL_FACTOR = 0.7
"""Factor by which a limit falls when its target returns a request because it is full."""
_IN_USE_FRACTION = 0.5
"""Fraction of its limit that a target must have for the limit to exceed the slots: the latency
of a nearly idle target says nothing about more requests."""
_SUSPECT_SECONDS = 0.5
"""Time for which a target that failed without an answer gets no requests while others can be
used.  It would otherwise attract every waiting request, since nothing runs there."""
_FAILING_RATE = 0.5
"""Failure rate from which a target gets no requests while others can be used: three failures in a
row reach it.  A target that answers failures at once always has room."""
_MAX_WAIT_FRACTION = 1 / 3
"""Fraction of the latency goal for which a request may be expected to wait.  The rest is for its
work and for what all nodes admit within one heartbeat, before they know of each other's requests:
at four times the usual rate this takes a quarter of the latency goal."""
_OVERDUE_FRACTION = 0.25
"""Fraction of the latency goal by which the estimated wait may be exceeded.  Later the estimate
counts as wrong, and the request is sent unless the targets return requests."""
_RETURNED_SECONDS = 5.0
"""Time for which a target that returned a request because it was full is never sent more than its
limit: longer than most bursts."""


class WaitingRequest(NamedTuple):
    """A request in the queue; after `due` its response would be late.

    `request` is its key in the load reports between nodes, `turn` when it is expected to be
    sent.  Both times are loop times in seconds.
    """

    request: str
    rank: int
    due: float
    turn: float


class Demand(NamedTuple):
    """The requests that share the targets of a service.

    `own_running` are this node's requests at the targets, `own_waiting` those that wait at this
    node, with the one to be sent, and `others_waiting` those of the same or a more urgent rank
    that wait at other nodes.
    """

    own_running: int = 0
    own_waiting: int = 1
    others_waiting: int = 0
    overdue_seconds: float | None = None
    """Seconds since the estimated wait of the request to be sent was over; None before that."""


class Decision(StrEnum):
    """What becomes of a request for which no target has room."""

    WAIT = "wait"
    REFUSE = "refuse"


class Admission(NamedTuple):
    """A decision with its inputs.

    `wait` is the estimated time in seconds until a target has room, `work` that from the send to
    the answer.  `retry_after` is the time in seconds after which a refused caller should return.
    """

    decision: Decision
    wait: float
    work: float
    retry_after: float = 0.0
    reason: str = ""


class TargetLimit:
    """The number of requests that one target handles well, learned from its answers.

    It grows while the latency stays near the lowest seen, and falls with a rising latency or
    when the target returns a request because it is full.  It is never below 1.
    """

    def __init__(self, *, slots: int) -> None:
        if slots < 1:
            raise ValueError(f"slots: {slots}, expected at least 1")
        self._slots = slots
        self._value = float(slots)
        self._latencies: deque[float] = deque(maxlen=_TARGET_SAMPLE_COUNT)
        self._answered_at = float("-inf")
        self._lowest = float("inf")
        self._previous_lowest = float("inf")
        """Lowest latency of the window before the current one."""
        self._window_end = float("-inf")
        self._returned_at = float("-inf")

    @property
    def slots(self) -> int:
        """Return the slots from which the limit started."""
        return self._slots

    @property
    def value(self) -> int:
        """Return the number of requests of all nodes that the target may have."""
        return int(self._value)

    @property
    def latency(self) -> float | None:
        """Return the median latency of recent answers in seconds, None if there are too few."""
        if len(self._latencies) < _MIN_SAMPLE_COUNT:
            return None
        return statistics.median(self._latencies)

    def recent_latency(self, now: float) -> float | None:
        """Return the latency; None also if the last answer is too old."""
        return self.latency if now - self._answered_at <= _LATENCY_SECONDS else None

    def answered(self, seconds: float, *, running: int, now: float) -> None:
        """Record an answer after `seconds`, when the target had `running` requests."""
        self._answered_at = now
        self._latencies.append(seconds)
        latency = self.latency
        if latency is None:
            return
        if now >= self._window_end:
            self._previous_lowest, self._lowest = self._lowest, float("inf")
            self._window_end = now + _LOWEST_WINDOW_SECONDS
        self._lowest = min(self._lowest, latency)
        lowest = min(self._lowest, self._previous_lowest)
        gradient = max(_MIN_GRADIENT, min(1.0, _NEAR_FACTOR * lowest / max(latency, 1e-6)))
        wanted = min(gradient * self._value + _HEADROOM_REQUESTS, _MAX_SLOTS_FACTOR * self._slots)
        if wanted > self._value >= self._slots and running < _IN_USE_FRACTION * self._value:
            return
        self._value = max(1.0, self._value + _LIMIT_WEIGHT * (wanted - self._value))

    def returns(self, now: float) -> bool:
        """Return whether the target returned a request in the last seconds."""
        return now - self._returned_at < _RETURNED_SECONDS

    def full(self, now: float) -> None:
        """Record that the target returned a request because it was full."""
        self._returned_at = now
        self._value = max(1.0, _FULL_FACTOR * self._value)


class PlainQueue:
    """The requests to one plain service that wait at this node, and what its targets can take.

    They are ordered by rank, lowest first; of one rank those that can still be in time come
    first, then by due time.  Requests are identified by object identity.  Not thread-safe.
    """

    def __init__(self) -> None:
        self._requests: dict[int, WaitingRequest] = {}
        self._limits: dict[str, TargetLimit] = {}
        self._work: deque[float] = deque(maxlen=_WORK_SAMPLE_COUNT)
        self._suspect_until: dict[str, float] = {}
        self._rounding = 0.0
        self._rounding_until = float("-inf")

    def __len__(self) -> int:
        return len(self._requests)

    # --- the queue --------------------------------------------------------------

    def add(self, request: WaitingRequest) -> None:
        """Add a request to the queue."""
        self._requests[id(request)] = request

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request; one that is not queued is ignored."""
        self._requests.pop(id(request), None)

    def in_order(self, now: float) -> list[WaitingRequest]:
        """Return the waiting requests, the first to be sent first."""
        latest = now + self.work_seconds
        return sorted(self._requests.values(), key=lambda r: (r.rank, r.due < latest, r.due))

    def count_ahead(self, rank: int) -> int:
        """Return the number of waiting requests that come before a new one of `rank`."""
        return sum(request.rank <= rank for request in self._requests.values())

    # --- what targets can take ----------------------------------------------------

    @property
    def work_seconds(self) -> float:
        """Return the usual time in seconds from a send to the answer."""
        if len(self._work) < _MIN_SAMPLE_COUNT:
            return PLAIN_WORK_SECONDS
        return statistics.median(self._work)

    def target_work_seconds(self, target: str, now: float) -> float:
        """Return the time in seconds from a send to `target` to its answer.

        It is that of the service unless the target clearly differs: otherwise an idle node would
        send everything to the target whose few answers were the fastest by chance.
        """
        usual, limit = self.work_seconds, self._limits.get(target)
        latency = None if limit is None else limit.recent_latency(now)
        if latency is None or abs(latency - usual) <= _MIN_DIFFERENCE_SECONDS:
            return usual
        return usual if usual / _NEAR_FACTOR <= latency <= usual * _NEAR_FACTOR else latency

    def limit(self, instance: Instance) -> int | None:
        """Return how many requests `instance` may have; None, no limit, if its slots are unknown.

        A changed number of slots starts the limit anew.
        """
        if instance.slots < 1:
            return None
        known = self._limits.get(instance.name)
        if known is None or known.slots != instance.slots:
            known = self._limits[instance.name] = TargetLimit(slots=instance.slots)
        return known.value

    def known_limit(self, target: str) -> int | None:
        """Return the learned limit of `target`, None if nothing is known of it."""
        known = self._limits.get(target)
        return None if known is None else known.value

    @property
    def limits(self) -> int:
        """Return the sum of the learned limits of all targets."""
        return sum(known.value for known in self._limits.values())

    def answered(self, instance: Instance, seconds: float, *, running: int, now: float) -> None:
        """Record a successful answer after `seconds`; its target had `running` requests."""
        self._work.append(seconds)
        self._suspect_until.pop(instance.name, None)
        if self.limit(instance) is not None:
            self._limits[instance.name].answered(seconds, running=running, now=now)

    def failed_answer(self, instance: Instance) -> None:
        """Record an answer that reports a failure: it says that the target can be reached."""
        self._suspect_until.pop(instance.name, None)

    def full(self, instance: Instance, now: float) -> None:
        """Record that `instance` returned a request because it was full."""
        self._suspect_until.pop(instance.name, None)
        if self.limit(instance) is not None:
            self._limits[instance.name].full(now)

    def lost(self, instance: Instance, now: float) -> None:
        """Record that a send to `instance` failed without an answer."""
        self._suspect_until[instance.name] = now + _SUSPECT_SECONDS

    def retain(self, targets: Collection[str]) -> None:
        """Drop what is known of other targets than `targets`."""
        for name in [name for name in self._limits if name not in targets]:
            del self._limits[name]
        for name in [name for name in self._suspect_until if name not in targets]:
            del self._suspect_until[name]

    # --- decisions ----------------------------------------------------------------

    def choose(
        self,
        targets: Sequence[PlainTargetState],
        demand: Demand,
        *,
        latency_goal: float,
        data_centre: str,
        tried: Collection[str],
        now: float,
        rng: random.Random,
    ) -> Instance | None:
        """Return the target with the least expected time among those with room, None without.

        Targets that were `tried` are left out.  A request whose work alone exceeds the latency
        goal is late in any order, and one that waits for longer than estimated shows that the
        estimate is wrong: both are sent to any target that does not return requests.
        """
        untried = [
            target._replace(work_seconds=self.target_work_seconds(target.instance.name, now))
            for target in targets
            if target.instance.name not in tried
        ]
        usable = self._usable(untried, now)
        open_targets = self._with_room(usable, demand, now, rng)
        overdue = (demand.overdue_seconds or 0.0) > _OVERDUE_FRACTION * latency_goal
        if not open_targets and (overdue or self._is_always_late(latency_goal)):
            open_targets = self._not_returning(usable, now)
        if demand.others_waiting or demand.own_waiting > 1:
            open_targets = self._spread(open_targets, rng)
        return choose_plain_target(
            open_targets,
            data_centre=data_centre,
            tried=tried,
            rng=rng,
        )

    def admit(
        self,
        targets: Sequence[PlainTargetState],
        *,
        rank: int,
        ahead: int,
        elapsed: float,
        time_left: float,
        latency_goal: float,
        now: float,
        rng: random.Random,
    ) -> Admission:
        """Decide whether a request for which no target has room waits.

        `ahead` counts the waiting requests of all nodes of its `rank` and more urgent ones.  Its
        caller has waited for `elapsed` seconds, and waits for `time_left` more.
        """
        usable = self._usable(targets, now)
        wait, work = self._estimate_wait(usable, ahead, now), self.work_seconds
        if self._is_always_late(latency_goal) and self._not_returning(usable, now):
            return Admission(Decision.WAIT, 0.0, work)
        latest = LATE_FRACTION * latency_goal
        congested = is_congested(queue_seconds=wait, latency_goal=latency_goal)
        reason = ""
        if wait + work > time_left:
            reason = "plain-deadline"
        elif not ahead or len(self._work) < _MIN_SAMPLE_COUNT:
            # The next free place, or an estimate without answers that it could rest on.
            pass
        elif work <= latest and wait > _MAX_WAIT_FRACTION * latency_goal:
            reason = "plain-full"
        elif elapsed + work <= latest and congested:
            if elapsed + wait + work > latest:
                reason = "plain-full"
            elif self._has_late(rank, now):
                # New requests go ahead of late ones.  While more arrive than are served, these
                # would wait until their deadline, and then be refused.
                reason = "plain-late-ahead"
        if not reason:
            return Admission(Decision.WAIT, wait, work)
        return Admission(
            Decision.REFUSE, wait, work, self.retry_after(time_left=time_left, rng=rng), reason
        )

    def retry_after(self, *, time_left: float, rng: random.Random) -> float:
        """Return the seconds after which a caller that waits for `time_left` should return."""
        return latest_delay(time_left=time_left, rng=rng)

    def _is_always_late(self, latency_goal: float) -> bool:
        """Return whether the work alone exceeds what the latency goal allows."""
        return self.work_seconds > LATE_FRACTION * latency_goal

    def _not_returning(
        self, targets: Sequence[PlainTargetState], now: float
    ) -> Sequence[PlainTargetState]:
        """Return the targets that did not return requests lately."""
        limits = self._limits
        return [
            target
            for target in targets
            if target.instance.name not in limits or not limits[target.instance.name].returns(now)
        ]

    def _has_late(self, rank: int, now: float) -> bool:
        latest = now + self.work_seconds
        return any(r.rank == rank and r.due < latest for r in self._requests.values())

    def _usable(
        self, targets: Sequence[PlainTargetState], now: float
    ) -> Sequence[PlainTargetState]:
        """Return the targets that work: not those that failed just now, or mostly fail.

        If no target works, all are returned.
        """
        usable = [
            target
            for target in targets
            if target.failures < _FAILING_RATE
            and self._suspect_until.get(target.instance.name, now) <= now
        ]
        return usable or targets

    def _with_room(
        self,
        targets: Sequence[PlainTargetState],
        demand: Demand,
        now: float,
        rng: random.Random,
    ) -> Sequence[PlainTargetState]:
        """Return the targets with room; none if the room is for requests of other nodes.

        While requests wait at other nodes, room is shared among the nodes in proportion to
        their requests.  All nodes learn of it at once, and would fill it several times.
        """
        limits = [self.limit(target.instance) for target in targets]
        free = [
            target
            for target, limit in zip(targets, limits, strict=True)
            if limit is None or target.burden.running < limit
        ]
        if not free or not demand.others_waiting or demand.overdue_seconds is not None:
            return free
        if None in limits:
            return free
        room = sum(limit for limit in limits if limit is not None)
        own = demand.own_running + demand.own_waiting
        running = sum(target.burden.running for target in targets)
        everyone = running + demand.own_waiting + demand.others_waiting
        share = room * own / max(room, everyone)
        return free if demand.own_running < int(share + self._round_up(now, rng)) else []

    def _spread(
        self, targets: Sequence[PlainTargetState], rng: random.Random
    ) -> Sequence[PlainTargetState]:
        """Return one of `targets`, in proportion to their room.

        While requests wait, all nodes look for room at the same time and know the same loads.
        They would all send to the target with the lowest one.
        """
        if len(targets) < 2:
            return targets
        limits = [self.limit(target.instance) for target in targets]
        rooms = [
            max(1, (limit or target.instance.slots) - target.burden.running)
            for target, limit in zip(targets, limits, strict=True)
        ]
        return rng.choices(targets, rooms)

    def _round_up(self, now: float, rng: random.Random) -> float:
        """Return a random fraction to add before a share is rounded down.

        It is kept for one heartbeat: shares would grow if each look at the same room drew anew.
        """
        if now >= self._rounding_until:
            self._rounding, self._rounding_until = rng.random(), now + _REPORT_INTERVAL_SECONDS
        return self._rounding

    def _estimate_wait(self, targets: Iterable[PlainTargetState], ahead: int, now: float) -> float:
        """Return the seconds until there is room behind `ahead` requests."""
        rate, excess = 0.0, 0
        for target in targets:
            limit = self.limit(target.instance)
            if limit is None:
                return 0.0
            rate += limit / self.target_work_seconds(target.instance.name, now)
            excess += target.burden.running - limit
        return (max(0, excess) + ahead + 1) / rate if rate > 0 else float("inf")
