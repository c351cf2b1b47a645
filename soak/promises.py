"""What must hold, told from what callers, targets and the operator saw."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from fielddrift_standins.brittle import BrittleWorker
from fielddrift_standins.worker import Ran, Worker

from .callers import EVENTS, Attempt
from .endings import ROUTE_TIMEOUT, TROUBLE, Endings, describe
from .outside import (
    COLD_RATE,
    Arrival,
    Brittle,
    Change,
    Cold,
    CutOff,
    End,
    Evacuation,
    Hold,
    IdleTime,
    Limit,
    RouteTimeout,
)

__all__ = [
    "BRITTLE",
    "COLD",
    "CUT_OFF",
    "ENDING",
    "LEAVING",
    "LIMITED",
    "PAUSING",
    "PROMISES",
    "Evidence",
    "Followed",
    "Probe",
    "Span",
    "Stop",
    "broken",
]

_NOT_RUN = (408, 421, 429, 503)
_NOT_ALLOWED = (401, 403, 404)
_MOST_LEFT_OVER = 0.1
"""Part of the requests of the calm end that may fail: the last faults' traces."""
_LEAVING_SECONDS = 2.0
_DRAIN_SLACK = 0.3
"""Time that a send may be under way on a busy machine."""
_WEIGHTS_SECONDS = 6.0
"""Time after which nothing may begin on outdated weights: `version-ms` of the nodes' settings."""
_WEIGHTS_SLACK = 0.3
"""Time that a send may be under way on a busy machine."""
_ENDS = 3
"""Workers that a request may end before it must be held back."""
_MOST_LATE = 3
"""Runs of it that are borne once it must be known everywhere."""
ENDING = "a request ends the workers that run it"
"""The name of the fault that brings this about."""
COLD = "engines come back cold"
"""The name of the fault that brings cold workers about."""
LIMITED = "a worker names a limit"
LEAVING = "a worker says in its answers that it leaves"
PAUSING = "a worker asks nodes for pauses"
BRITTLE = "workers say that they are brittle"
"""The names of the faults in which workers speak of themselves."""
CUT_OFF = "hosts are cut off from all workers"
_MIN_SERVED_RATIO = 2 / 3
"""How often first tries at such hosts must be served, relative to those at the others."""
_MOST_UNSERVED, _MOST_UNSERVED_PART = 10, 0.02
"""First tries that may fail there, and part of all first tries beside."""
_MOST_FALLS, _MOST_FALLS_PART = 2, 0.1
"""Falls of brittle workers, and falls for each of them."""
_LIMIT_SECONDS = 4.0
"""The time within which what a limited worker gets is counted."""
_LIMIT_OVERAGE = 1.5
_LIMIT_SLACK = 5
_TOLD_SECONDS = 0.5
"""Time after which a node must go by what a worker has told it."""
_MOST_IN_A_PAUSE = 2
"""Requests that a node may send to a worker within a pause that it asked it for."""
_COLD_BOUND = int(COLD_RATE * 1.5 + 2)
"""`cold-overage` and `cold-slack` of the nodes' settings."""
_EVACUATE_SECONDS = 5.0
"""Time after which an evacuation must be in force."""
_EVENT = re.compile(rb"id: (\d+)\ndata: token \1 of (\S+) at (\S+)\n\n")
_CROSSING_SECONDS = 0.3
"""A request that nobody passed on, and whose connection closed so soon, crossed that close."""
_TOUCH_SECONDS = 3.0
"""Time without disturbance after which the bounds in seconds hold."""
_MOST_CLOSED = 3
"""Kept connections that a node may close under a sound worker's work, beside other's trouble."""


class Span(NamedTuple):
    """A fault: from when to when, whether it was planned work, and whether it touched
    nothing but nodes' processes, or nothing but workers.
    """

    name: str
    began: float
    ended: float
    planned: bool
    processes: bool = False
    workers: bool = False


class Probe(NamedTuple):
    """A request sent straight to one node to see which configuration is in force there."""

    at: float
    node: str
    status: int
    expected: int
    what: str


class Stop(NamedTuple):
    """A node, by the address for its callers, that was asked to stop."""

    address: str
    at: float


class Followed(NamedTuple):
    """Runs that broke off inside their first event, and that another run followed."""

    fresh: int
    resumed: int


class Evidence(NamedTuple):
    """All that was seen."""

    attempts: list[Attempt]
    workers: list[Worker]
    spans: list[Span]
    changes: list[Change]
    probes: list[Probe]
    leaving_at: dict[str, float]
    named_at: dict[int, float]
    arrivals: list[Arrival]
    calm_since: float | None
    faults_of_ours: list[str]
    ends: list[End] = []
    evacuations: list[Evacuation] = []
    cold: list[Cold] = []
    limits: list[Limit] = []
    cuts: list[CutOff] = []
    brittle: list[Brittle] = []
    centres: dict[str, str] = {}
    """The data centre of each worker."""
    holds: list[Hold] = []
    stops: list[Stop] = []
    timeouts: list[RouteTimeout] = []
    idle_times: list[IdleTime] = []
    gone_at: dict[str, float] = {}
    unsound: frozenset[str] = frozenset()
    """Workers that were told to fail."""

    def ran(self) -> dict[str, list[tuple[Worker, Ran]]]:
        """Return what ran, by request."""
        found: dict[str, list[tuple[Worker, Ran]]] = defaultdict(list)
        for worker in self.workers:
            for ran in worker.ran:
                found[ran.request_id].append((worker, ran))
        return found

    def held(self, worker: str, began: float, ended: float) -> bool:
        """Return whether a worker's packets were held up in a time, or came in a bunch then."""
        return any(
            hold.worker == worker and hold.began <= ended and hold.ended >= began - _DRAIN_SLACK
            for hold in self.holds
        )

    def followed(self) -> Followed:
        """Return how many runs broke off inside their first event and were followed."""
        ran = self.ran()
        begun = [run for worker in self.workers for run in worker.begun]
        runs = [run for run in begun if any(r.at > run.at for _, r in ran[run.request_id])]
        resumed = sum("last-event-id" in run.headers for run in runs)
        return Followed(len(runs) - resumed, resumed)

    def disturbed(self, began: float, ended: float) -> bool:
        """Return whether unplanned trouble, or its after-effects, touched the time."""
        return any(
            span.began <= ended and span.ended >= began - _TOUCH_SECONDS
            for span in self.spans
            if not span.planned
        )

    def others(self, name: str, began: float, ended: float) -> bool:
        """Return whether unplanned trouble other than `name` touched the time."""
        spans = [span for span in self.spans if span.name != name]
        return self._replace(spans=spans).disturbed(began, ended)

    def beside_workers(self, began: float, ended: float) -> bool:
        """Return whether unplanned trouble of anything but workers touched the time."""
        spans = [span for span in self.spans if not span.workers]
        return self._replace(spans=spans).disturbed(began, ended)

    def sound_since(self, at: float) -> float:
        """Return since when the store and all links had been sound at the time `at`.

        What befalls nodes' processes does not count: weights grow old meanwhile.
        """
        harms = [s for s in self.spans if not s.planned and not s.processes and s.began <= at]
        return max((span.ended + _TOUCH_SECONDS for span in harms), default=float("-inf"))

    def outdated_at(self, version: int) -> float:
        """Return since when a version of the weights is outdated."""
        newer = (at for named, at in self.named_at.items() if named > version)
        return min(newer, default=float("inf"))


_Check = Callable[[Evidence], Iterator[str]]
PROMISES: dict[str, _Check] = {}


def promise(name: str) -> Callable[[_Check], _Check]:
    """Register the decorated check under `name`."""

    def register(check: _Check) -> _Check:
        PROMISES[name] = check
        return check

    return register


def broken(evidence: Evidence) -> list[str]:
    """Return a line for each thing that does not hold."""
    return [f"{name}: {line}" for name, check in PROMISES.items() for line in check(evidence)]


@promise("an answer is its request's own, whole and unchanged")
def _own_answer(evidence: Evidence) -> Iterator[str]:
    ran = evidence.ran()
    for attempt in evidence.attempts:
        if attempt.status != 200:
            continue
        workers = {worker.name for worker, _ in ran.get(attempt.id, [])}
        sealed_by, _, sealed_for = attempt.seal.partition(".")
        if sealed_for != attempt.id or sealed_by not in workers:
            yield f"{attempt.id}: seal {attempt.seal!r}, ran at {sorted(workers)}"
        plain = (f"answer of {sealed_by}".encode(), b"whole", b"the right answer")
        if attempt.whole and not attempt.kind.streams and attempt.answer not in plain:
            yield f"{attempt.id}: body {attempt.answer[:60]!r}"


@promise("events come in order, none twice, none missing, each as one run made it")
def _events(evidence: Evidence) -> Iterator[str]:
    ran = evidence.ran()
    software = {worker.label: worker.software for worker in evidence.workers}
    for attempt in evidence.attempts:
        if attempt.status != 200 or not attempt.kind.streams:
            continue
        made = _EVENT.findall(attempt.answer)
        earlier = attempt.taken_up
        before = _EVENT.findall(earlier.first.answer) if earlier else []
        versions = {software.get(at.decode("latin-1"), "") for _, _, at in [*before[:1], *made]}
        if len(versions) > 1:
            yield f"{attempt.id}: events of the software versions {sorted(versions)}"
        numbers = [int(number) for number, _, _ in made]
        after = earlier.last_event if earlier else 0
        if numbers != list(range(after + 1, after + len(numbers) + 1)):
            yield f"{attempt.id}: events {numbers} behind {after}"
        # An answer that is cut is no excuse: only whole events are handed on.
        if rest := _EVENT.sub(b"", attempt.answer):
            yield f"{attempt.id}: bytes that are no event of a run: {rest[:60]!r}"
        if attempt.whole and after + len(numbers) != EVENTS:
            yield f"{attempt.id}: complete with {after + len(numbers)} of {EVENTS} events"
        yield from _runs_of(attempt, made, ran.get(attempt.id, []))


def _runs_of(
    attempt: Attempt, made: list[tuple[bytes, bytes, bytes]], runs: list[tuple[Worker, Ran]]
) -> Iterator[str]:
    """Compare where an answer's events were made with where its runs began."""
    begins = Counter((w.label, int(r.headers.get("last-event-id") or 0)) for w, r in runs)
    before = ""
    for number, of, at in made:
        name = at.decode("latin-1")
        if of.decode("latin-1") != attempt.id:
            yield f"{attempt.id}: event {int(number)} is of {of!r}"
        if name != before:
            begin = (name, int(number) - 1)
            if not begins[begin]:
                yield f"{attempt.id}: no run at {name} began with event {int(number)}"
            begins[begin] -= 1
        before = name


@promise("work that may run once runs once")
def _once(evidence: Evidence) -> Iterator[str]:
    ran = evidence.ran()
    for attempt in evidence.attempts:
        runs = len(ran.get(attempt.id, []))
        if not attempt.kind.repeatable and runs > 1:
            yield f"{attempt.id}: ran {runs} times"


@promise("what is said not to have run never ran")
def _true_refusals(evidence: Evidence) -> Iterator[str]:
    ran = evidence.ran()
    for attempt in evidence.attempts:
        refused = attempt.status in _NOT_RUN and not attempt.seal
        if refused and not attempt.kind.repeatable and attempt.id in ran:
            yield f"{attempt.id}: {attempt.status}, and ran at {ran[attempt.id][0][0].name}"


@promise("nothing runs that was not asked for, nor otherwise than asked")
def _asked(evidence: Evidence) -> Iterator[str]:
    asked = {attempt.id: attempt for attempt in evidence.attempts}
    for request_id, runs in evidence.ran().items():
        attempt = asked.get(request_id)
        for worker, ran in runs:
            if attempt is None:
                if not request_id.startswith("probe-"):
                    yield f"{request_id!r}: ran at {worker.name}, sent by nobody"
                continue
            if (ran.target, ran.body) != (attempt.path, attempt.body):
                yield f"{request_id}: ran as {ran.target} {ran.body!r}"
            if ran.headers.get("x-tenant") != "ana" or "x-credential" in ran.headers:
                yield f"{request_id}: ran for {ran.headers.get('x-tenant')!r}"
            if worker.name.startswith("engines") != attempt.kind.streams:
                yield f"{request_id}: {attempt.kind.route} ran at {worker.name}"


@promise("nobody is refused what every configuration allows")
def _allowed(evidence: Evidence) -> Iterator[str]:
    for attempt in evidence.attempts:
        if attempt.status in _NOT_ALLOWED and not attempt.seal:
            yield f"{attempt.id}: {attempt.status} at {attempt.address}"


@promise("planned work costs nobody an answer")
def _planned(evidence: Evidence) -> Iterator[str]:
    endings = Endings(evidence=evidence)
    ran = endings.ran
    planned = [span for span in evidence.spans if span.planned]
    for attempt in evidence.attempts:
        ended = attempt.ended_at
        if ended is None or attempt.left or attempt.whole or not attempt.sent:
            continue
        if attempt.id not in ran and ended - attempt.sent_at < _CROSSING_SECONDS:
            continue
        during = [s for s in planned if s.began <= ended and s.ended >= attempt.sent_at]
        if during and endings.excuse(attempt) == ROUTE_TIMEOUT:
            continue
        if during and not evidence.disturbed(attempt.sent_at, ended):
            yield f"{attempt.id}: no whole answer ({attempt.status}) during {during[0].name}"


@promise("a configuration is in force everywhere within its bound")
def _in_force(evidence: Evidence) -> Iterator[str]:
    for probe in evidence.probes:
        if probe.status and probe.status != probe.expected:
            yield f"{probe.node}: {probe.what}: {probe.status}, expected {probe.expected}"


@promise("a worker that leaves gets no new work")
def _left_alone(evidence: Evidence) -> Iterator[str]:
    for worker in evidence.workers:
        at = evidence.leaving_at.get(worker.name)
        if at is None:
            continue
        limit = at + _LEAVING_SECONDS + _DRAIN_SLACK
        came = [(ran.request_id, ran.at) for ran in worker.ran]
        came += [(a.request_id, a.at) for a in evidence.arrivals if a.worker == worker.name]
        for request_id, came_at in came:
            # Trouble before the bound's own time excuses nothing: an entry may stay for good.
            since = max(at, came_at - _LEAVING_SECONDS - _DRAIN_SLACK)
            held = evidence.held(worker.name, came_at, came_at)
            if came_at > limit and not held and not evidence.disturbed(since, came_at):
                yield f"{request_id}: at {worker.name} {came_at - at:.2f} s after its word"


@promise("one holder gives orders at a time")
def _one_holder(evidence: Evidence) -> Iterator[str]:
    holders: dict[int, str] = {}
    for worker in evidence.workers:
        highest = 0
        for order in worker.orders:
            fence, holder = order["fence"], order["holder"]
            if holders.setdefault(fence, holder) != holder:
                yield f"fence {fence}: {holders[fence]} and {holder}"
            if fence < highest:
                yield f"{worker.name}: fence {fence} after {highest}"
            highest = max(highest, fence)


@promise("nothing begins on weights that are outdated for long")
def _outdated(evidence: Evidence) -> Iterator[str]:
    for worker in evidence.workers:
        for ran in worker.ran if worker.name.startswith("engines") else ():
            outdated = evidence.outdated_at(ran.version)
            since = max(outdated, evidence.sound_since(ran.at))
            late = ran.at - since > _WEIGHTS_SECONDS + _WEIGHTS_SLACK
            late = late and not evidence.held(worker.name, ran.at, ran.at)
            if late and not evidence.disturbed(ran.at, ran.at):
                after = f"{ran.at - outdated:.2f} s after a newer version"
                yield f"{ran.request_id}: on {ran.version} at {worker.name} {after}"


@promise("new weights come everywhere")
def _weights(evidence: Evidence) -> Iterator[str]:
    if evidence.calm_since is None:
        return
    named = max(evidence.named_at)
    for worker in evidence.workers:
        left = worker.name in evidence.leaving_at or worker.closed
        if worker.name.startswith("engines") and not left and worker.version != named:
            yield f"{worker.name}: version {worker.version}, named {named}"


@promise("after the trouble all is served again")
def _served_again(evidence: Evidence) -> Iterator[str]:
    if evidence.calm_since is None:
        return
    late = [a for a in evidence.attempts if a.sent_at > evidence.calm_since and not a.left]
    done = [a for a in late if a.ended_at is not None]
    bad = [a for a in done if not (a.whole and a.status == 200)]
    if not done or len(bad) > _MOST_LEFT_OVER * len(done):
        counts = Counter(a.status for a in bad)
        yield f"{len(bad)} of {len(done)} requests unserved: {dict(counts)}"


@promise("hosts that reach no worker serve through others")
def _cut_off_served(evidence: Evidence) -> Iterator[str]:
    # Other harm to links and workers befalls all hosts alike.
    spans = [s for s in evidence.spans if s.processes or "store" in s.name]
    for cut in evidence.cuts:
        began, ended = cut.began + _TOUCH_SECONDS, cut.ended
        if ended <= began or evidence._replace(spans=spans).disturbed(began, ended):
            continue
        tries = [
            a
            for a in evidence.attempts
            if began <= a.sent_at and a.ended_at is not None and a.ended_at <= ended and not a.left
        ]
        there = [a for a in tries if a.address in cut.entries]
        others = [a for a in tries if a.address and a.address not in cut.entries]
        served, elsewhere = _served(there), _served(others)
        unserved = len(there) - served
        if unserved <= _MOST_UNSERVED + _MOST_UNSERVED_PART * len(tries) or not others:
            continue
        if served / len(there) < _MIN_SERVED_RATIO * elsewhere / len(others):
            yield f"{served} of {len(there)} served, at other hosts {elsewhere} of {len(others)}"


def _served(attempts: list[Attempt]) -> int:
    return sum(a.status == 200 and a.whole for a in attempts)


@promise("brittle workers are not brought to fall over")
def _brittle(evidence: Evidence) -> Iterator[str]:
    for time in evidence.brittle:
        if evidence.others(BRITTLE, time.began, time.ended):
            continue
        workers = [
            worker
            for worker in evidence.workers
            if isinstance(worker, BrittleWorker) and worker.name.startswith(f"{time.service}-")
        ]
        falls = sum(time.began <= at <= time.ended for w in workers for at in w.falls)
        if falls > _MOST_FALLS + _MOST_FALLS_PART * len(workers):
            yield f"{time.service}: {falls} falls of {len(workers)} workers"


@promise("each whole request ends with an answer, a refusal or its caller's leaving")
def _ends(evidence: Evidence) -> Iterator[str]:
    endings = Endings(evidence=evidence)
    beside: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in evidence.attempts:
        if not attempt.sent or attempt.left or attempt.whole or attempt.ended_at is None:
            continue
        why = endings.excuse(attempt)
        if not why:
            yield f"{attempt.id}: {_loss(attempt)}"
        elif why == TROUBLE and attempt.earlier and _at_sound_workers(endings, attempt):
            beside[attempt.address].append(attempt)
    for address, lost in beside.items():
        if len(lost) > _MOST_CLOSED:
            losses = "; ".join(f"{a.id}: {_loss(a)}" for a in lost)
            yield f"{address}: closed kept connections under sound workers' work: {losses}"


def _loss(attempt: Attempt) -> str:
    seconds = (attempt.ended_at or 0.0) - (attempt.handed_at or 0.0)
    return (
        f"{attempt.kind.route}: {describe(attempt)}, {seconds:.2f} s after its sending, "
        f"as request {attempt.earlier + 1} of its connection after {attempt.rested:.2f} s of rest"
    )


def _at_sound_workers(endings: Endings, attempt: Attempt) -> bool:
    """Return whether it came to workers that nothing befell, while nothing befell the nodes."""
    began, ended = attempt.handed_at or 0.0, attempt.ended_at or 0.0
    evidence = endings.evidence
    names = {worker.name for worker, _ in endings.ran.get(attempt.id, [])}
    harmed = evidence.unsound | evidence.gone_at.keys() | evidence.leaving_at.keys()
    return bool(names) and not names & harmed and not evidence.beside_workers(began, ended)


@promise("an evacuated data centre's workers get nothing")
def _evacuated(evidence: Evidence) -> Iterator[str]:
    for data_centre, began, ended in evidence.evacuations:
        for worker in evidence.workers:
            if evidence.centres.get(worker.name) != data_centre:
                continue
            for ran in worker.ran:
                late = began + _EVACUATE_SECONDS < ran.at < ended
                late = late and not evidence.held(worker.name, ran.at, ran.at)
                if late and not evidence.disturbed(ran.at - _TOUCH_SECONDS, ran.at):
                    seconds = f"{ran.at - began:.2f} s"
                    yield f"{ran.request_id}: at {worker.name} {seconds} after its word"


@promise("a cold worker gets no more than it bears")
def _cold(evidence: Evidence) -> Iterator[str]:
    until = {cold.worker: cold.until for cold in evidence.cold}
    for worker in evidence.workers:
        times = [ran.at for ran in worker.ran if ran.at < until.get(worker.name, 0.0)]
        for first in times:
            last = first + 1.0
            number = sum(first <= at < last for at in times)
            # What was held up may arrive together.
            if evidence.held(worker.name, first, last):
                continue
            if number > _COLD_BOUND and not evidence.others(COLD, first, last):
                yield f"{worker.name}: {number} in a second, expected {_COLD_BOUND} at most"


@promise("a limited worker gets no more than its limit allows")
def _limited(evidence: Evidence) -> Iterator[str]:
    for limit in evidence.limits:
        for worker in (w for w in evidence.workers if w.name == limit.worker):
            began = limit.began + _TOLD_SECONDS
            times = [at for at, _ in worker.arrivals if began <= at < limit.ended]
            allowed = limit.rate * _LIMIT_SECONDS * _LIMIT_OVERAGE + _LIMIT_SLACK
            for first in times:
                last = first + _LIMIT_SECONDS
                number = sum(first <= at < last for at in times)
                bound = last > limit.began + _TOUCH_SECONDS
                bound = bound and not evidence.held(worker.name, first, last)
                if number > allowed and bound and not evidence.others(LIMITED, began, last):
                    yield f"{worker.name}: {number} in 4 s, limit {limit.rate:.1f} a second"


@promise("a worker that said that it leaves gets nothing more")
def _said_leaving(evidence: Evidence) -> Iterator[str]:
    for worker in evidence.workers:
        until = worker.said_leaving_at + _LEAVING_SECONDS + _DRAIN_SLACK
        for at, request_id in worker.arrivals:
            if evidence.held(worker.name, at, at):
                continue
            if at > until and not evidence.others(LEAVING, worker.said_leaving_at, at):
                seconds = f"{at - worker.said_leaving_at:.2f} s"
                yield f"{request_id}: at {worker.name} {seconds} after it said so"


@promise("a worker that asked a node for a pause gets nothing from it")
def _paused(evidence: Evidence) -> Iterator[str]:
    nodes = {attempt.id: attempt.address for attempt in evidence.attempts}
    for worker in evidence.workers:
        for began, request_id, seconds in worker.turned_away:
            node, ended = nodes.get(request_id), began + seconds
            number = sum(
                began + _TOLD_SECONDS < at < ended and nodes.get(other) == node
                for at, other in worker.arrivals
            )
            if evidence.held(worker.name, began, ended):
                continue
            if number > _MOST_IN_A_PAUSE and not evidence.others(PAUSING, began, ended):
                yield f"{worker.name}: {number} from {node} within a pause of {seconds:.1f} s"


@promise("a request that ends its workers is held back")
def _held_back(evidence: Evidence) -> Iterator[str]:
    ends: dict[bytes, list[float]] = defaultdict(list)
    for end in evidence.ends:
        ends[end.body].append(end.at)
    for body, times in ends.items():
        if len(times) < _ENDS:
            continue
        known = sorted(times)[_ENDS - 1] + _TOUCH_SECONDS
        runs = [ran for worker in evidence.workers for ran in worker.ran if ran.body == body]
        # Nodes that other trouble touches just then may not know it yet.
        late = [r for r in runs if r.at > known and not evidence.others(ENDING, known, r.at)]
        if len(late) > _MOST_LATE:
            yield f"{body!r}: ended {len(times)} workers, ran {len(late)} times after the third"


@promise("no process ends or fails by itself")
def _no_faults_of_ours(evidence: Evidence) -> Iterator[str]:
    yield from evidence.faults_of_ours
