"""Run one seeded soak: nodes, callers, overlapping faults, and the checks meanwhile."""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from .endings import Endings, Ends
from .faults import FAULTS
from .machines import Machine
from .promises import Evidence, Followed, Probe, Span, Stop, broken
from .site import Site, status_of

__all__ = ["Outcome", "Scene", "Size", "run"]

_LOOK_SECONDS = 1.0
_CALM_SECONDS = 14.0
"""Time at the end without faults: the bound of weights, of recovery, and some requests."""
_RECOVERY_SECONDS = 10.0
_SETTLE_SECONDS = 3.0
"""Time after which a node that was disturbed must know what is in force."""
_IN_FORCE_SECONDS = 2.3
"""The bound of a configuration, and time for the probe on a busy machine."""
_FAULT_GAP_SECONDS = 2.2
"""Mean time between the beginnings of faults; they last some two seconds each."""
_CALLER_PAUSE_SECONDS = 0.15
_PROBE_SECONDS = 2.0
_REQUEST = re.compile(r"\br\d+\b")
_LOGGED_REQUEST = re.compile(r'"(r\d+)"')
_TICK_SECONDS = 0.05
_OUR_FAILURES = ("loop failed", "request failed", "store loop failed")


class Size(NamedTuple):
    """How large and long a soak is; `seconds` is the time in which faults of `kinds` begin."""

    nodes: int = 4
    callers: int = 16
    seconds: float = 20.0
    kinds: tuple[str, ...] = tuple(FAULTS)
    resting: int = 16
    """Callers whose connections rest."""


class Outcome(NamedTuple):
    """What a soak showed."""

    seed: int
    broken: list[str]
    attempts: int
    answered: int
    followed: Followed
    ends: Ends
    late: float
    """The longest time, in seconds, for which the soak's own process ran nothing else."""
    faults: list[str]
    told: list[str]
    """Lines of the nodes' logs about requests that are named in `broken`."""


class Scene:
    """One soak: a site, its callers, its faults, and what was seen."""

    def __init__(self, *, seed: int, size: Size, folder: Path) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._site = Site(folder=folder)
        self._size = size
        self._attempts = self._site.attempts
        self._spans: list[Span] = []
        self._probes: list[Probe] = []
        self._calm_since: float | None = None
        self._late = 0.0
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Start everything, and wait until all nodes are ready."""
        await self._site.open(self._size.nodes)
        for _ in range(self._size.callers):
            caller = self._site.caller(random.Random(self._rng.random()))
            pause = lambda: _CALLER_PAUSE_SECONDS * self._site.pace  # noqa: E731
            self._tasks.append(asyncio.ensure_future(caller.run(pause)))
        # From a source of their own: seeds that failed once draw what they drew.
        own = random.Random(f"resting {self._seed}")
        for _ in range(self._size.resting):
            resting = self._site.resting_caller(random.Random(own.random()))
            self._tasks.append(asyncio.ensure_future(resting.rest_and_ask()))
        self._tasks.append(asyncio.ensure_future(self._watch()))
        self._tasks.append(asyncio.ensure_future(self._probe_often()))
        self._tasks.append(asyncio.ensure_future(self._time_itself()))

    async def trouble(self) -> None:
        """Let faults begin at random times, overlapping, until the time is up."""
        until = self._loop.time() + self._size.seconds
        running = []
        while self._loop.time() < until:
            name = self._rng.choice(self._size.kinds)
            own = random.Random(self._rng.random())
            running.append(asyncio.ensure_future(self._fault(name, own)))
            await asyncio.sleep(self._rng.expovariate(1 / _FAULT_GAP_SECONDS))
        await asyncio.gather(*running)

    async def calm(self) -> None:
        """Let all recover, then watch what is served."""
        await asyncio.sleep(_RECOVERY_SECONDS)
        self._calm_since = self._loop.time()
        await asyncio.sleep(_CALM_SECONDS - _RECOVERY_SECONDS)

    def outcome(self) -> Outcome:
        """Return what was seen."""
        answered = sum(1 for a in self._attempts if a.whole and a.status == 200)
        names = [f"{span.began:.1f} {span.name}" for span in self._spans]
        seen = self.evidence()
        lines = broken(seen)
        return Outcome(
            self._seed,
            lines,
            len(self._attempts),
            answered,
            seen.followed(),
            Endings(evidence=seen).count(),
            self._late,
            names,
            self._told(lines),
        )

    def _told(self, lines: list[str]) -> list[str]:
        """Return the last line of each node's log about each request that `lines` name."""
        told: dict[str, list[str]] = {name: [] for name in _REQUEST.findall("\n".join(lines))}
        for machine in self._site.machines:
            last: dict[str, str] = {}
            for line in machine.log.read_text(errors="replace").splitlines():
                last |= {name: line for name in _LOGGED_REQUEST.findall(line) if name in told}
            for name, line in last.items():
                told[name].append(f"{machine.name}: {line}")
        return [f"{name}: {line}" for name, found in told.items() for line in found or ["no line"]]

    def close(self) -> None:
        """End everything that was started here."""
        for task in self._tasks:
            task.cancel()
        self._site.close()

    def evidence(self) -> Evidence:
        """Return all that was seen so far."""
        failures = [
            line for m in self._site.machines for line in [*m.logged(*_OUR_FAILURES), *m.strays()]
        ]
        return Evidence(
            attempts=self._attempts,
            workers=self._site.outside.every_worker,
            spans=self._spans,
            changes=self._site.outside.changes,
            probes=self._probes,
            leaving_at=self._site.outside.leaving_at,
            named_at=self._site.outside.named_at,
            arrivals=self._site.outside.arrivals,
            calm_since=self._calm_since,
            ends=self._site.outside.ends,
            evacuations=self._site.outside.evacuations,
            cold=self._site.outside.cold,
            limits=self._site.outside.named_limits,
            cuts=self._site.outside.cuts,
            brittle=self._site.outside.brittle,
            centres=self._site.outside.centres,
            holds=self._site.outside.holds,
            stops=[Stop(m.entry, at) for m in self._site.machines for at in m.stopped_at],
            timeouts=self._site.outside.timeouts,
            idle_times=self._site.outside.idle_times,
            gone_at=self._site.outside.gone_at,
            unsound=frozenset(self._site.outside.unsound),
            faults_of_ours=[*failures, *(f for m in self._site.machines for f in m.faults)],
        )

    # --- meanwhile ------------------------------------------------------------------

    async def _fault(self, name: str, rng: random.Random) -> None:
        fault = FAULTS[name]
        began = self._loop.time()
        # Until it is over it lasts for ever, for the checks that run meanwhile.
        index = len(self._spans)
        span = Span(name, began, float("inf"), fault.planned, fault.processes, fault.workers)
        self._spans.append(span)
        await fault.work(self._site, rng)
        self._spans[index] = span._replace(ended=self._loop.time())

    async def _watch(self) -> None:
        """Look after the processes and the promises while all goes on."""
        told: Counter[str] = Counter()
        while True:
            await asyncio.sleep(_LOOK_SECONDS)
            for machine in self._site.machines:
                machine.look()
            # What is served again is judged at the end: nothing has come of the calm's beginning.
            for line in broken(self.evidence()._replace(calm_since=None)):
                told[line] += 1
                if told[line] == 1:
                    print(f"  broken: {line}", flush=True)

    async def _time_itself(self) -> None:
        """Note how late this process is: callers and workers stand still meanwhile."""
        while True:
            due = self._loop.time() + _TICK_SECONDS
            await asyncio.sleep(_TICK_SECONDS)
            self._late = max(self._late, self._loop.time() - due)

    async def _probe_often(self) -> None:
        """Ask calm nodes what the last change must have changed."""
        while True:
            await asyncio.sleep(_PROBE_SECONDS)
            changes = self._site.outside.changes
            now = self._loop.time()
            if not changes or now - changes[-1].at < _IN_FORCE_SECONDS:
                continue
            last = changes[-1]
            for machine in self._site.machines:
                if not self._calm(machine, now):
                    continue
                asks = [(last.added_path, "", 0)]
                if last.dropped_path:
                    asks.append((last.dropped_path, "", 404))
                if last.dropped_key:
                    asks.append(("/safe/", last.dropped_key, 401))
                for path, key, expected in asks:
                    await self._probe(machine, path, key, expected)

    def _calm(self, machine: Machine, now: float) -> bool:
        disturbed = now - machine.touched_at < _SETTLE_SECONDS or machine.busy
        return not disturbed and not self.evidence().disturbed(now, now)

    async def _probe(self, machine: Machine, path: str, key: str, expected: int) -> None:
        version = self._site.outside.version
        status = await status_of(machine.entry, path, key or self._site.outside.keys[0])
        now = self._loop.time()
        if version != self._site.outside.version or not self._calm(machine, now):
            return
        if expected == 0 and status not in (401, 404):
            return
        what = f"{path} {key}"
        self._probes.append(Probe(now, machine.name, status, expected or 200, what))


async def run(seed: int, size: Size, folder: Path) -> Outcome:
    """Run one soak; its nodes' logs are in `folder`."""
    scene = Scene(seed=seed, size=size, folder=folder)
    try:
        await scene.open()
        await scene.trouble()
        await scene.calm()
        return scene.outcome()
    finally:
        scene.close()
