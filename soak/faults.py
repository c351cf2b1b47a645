"""What may happen to a deployment.  Each fault happens, lasts, and is over when it returns."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from fielddrift_standins.worker import Worker

from .callers import KINDS, Attempt
from .links import Harm, Link
from .machines import Machine
from .outside import Brittle, CutOff, Limit
from .promises import BRITTLE, COLD, CUT_OFF, ENDING, LEAVING, LIMITED, PAUSING
from .site import Site

__all__ = ["FAULTS", "SERIES", "SILENCE", "Fault"]

_BEGIN_LOOK_SECONDS = 0.01
"""Time between looks for a run that has begun its first event."""
_ENDING_SECONDS = (6.0, 10.0)
"""How long a request that ends workers comes again: beyond when it must be held back."""
_ENDING_PAUSE_SECONDS = (0.1, 0.5)
_COPY_SECONDS = (0.5, 5.0)
"""How old the copy is that the store comes back from."""
_Work = Callable[[Site, random.Random], Awaitable[None]]


class Fault(NamedTuple):
    """A fault; planned work must not cost anyone an answer.

    `processes` says that it touches nothing but nodes' processes, `workers` nothing but workers.
    """

    work: _Work
    planned: bool
    processes: bool
    workers: bool


FAULTS: dict[str, Fault] = {}


def fault(
    name: str, *, planned: bool = False, processes: bool = False, workers: bool = False
) -> Callable[[_Work], _Work]:
    """Register the decorated function under `name`."""

    def register(work: _Work) -> _Work:
        FAULTS[name] = Fault(work, planned, processes, workers)
        return work

    return register


async def _lasting(rng: random.Random, least: float = 0.5, most: float = 5.0) -> None:
    await asyncio.sleep(rng.uniform(least, most))


# --- processes --------------------------------------------------------------------


async def _kill(machine: Machine, rest: float) -> None:
    if machine.busy:
        return
    machine.busy = True
    try:
        await machine.kill()
        await asyncio.sleep(rest)
        machine.start()
    finally:
        machine.busy = False


async def _pause(machine: Machine, seconds: float) -> None:
    if machine.busy:
        return
    machine.busy = True
    try:
        machine.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        machine.send(signal.SIGCONT)
    finally:
        machine.busy = False


async def _restart(machine: Machine) -> None:
    if machine.busy:
        return
    machine.busy = True
    try:
        await machine.stop()
        machine.start()
    finally:
        machine.busy = False


@fault("one killed", processes=True)
async def _one_killed(site: Site, rng: random.Random) -> None:
    await _kill(rng.choice(site.machines), rng.uniform(0.1, 2.0))


@fault("one killed again and again", processes=True)
async def _killed_often(site: Site, rng: random.Random) -> None:
    machine = rng.choice(site.machines)
    for _ in range(rng.randint(2, 4)):
        await _kill(machine, 0.1)
        await _lasting(rng, 0.1, 1.0)


@fault("all killed", processes=True)
async def _all_killed(site: Site, rng: random.Random) -> None:
    rest = rng.uniform(0.1, 1.5)
    await asyncio.gather(*(_kill(machine, rest) for machine in site.machines))


@fault("some paused", processes=True)
async def _some_paused(site: Site, rng: random.Random) -> None:
    chosen = rng.sample(site.machines, k=rng.randint(1, max(1, len(site.machines) // 2)))
    seconds = rng.uniform(0.3, 5.0)
    await asyncio.gather(*(_pause(machine, seconds) for machine in chosen))


@fault("one stopped", planned=True)
async def _one_stopped(site: Site, rng: random.Random) -> None:
    await _restart(rng.choice(site.machines))


@fault("all stopped in turn", planned=True)
async def _rolled(site: Site, rng: random.Random) -> None:
    for machine in list(site.machines):
        await _restart(machine)
        await _lasting(rng, 0.5, 1.5)


@fault("one added", planned=True)
async def _one_added(site: Site, rng: random.Random) -> None:
    await site.add_machine()


# --- the store ---------------------------------------------------------------------


async def _harmed(links: list[Link], harm: Harm, rng: random.Random) -> None:
    for link in links:
        link.harm = harm
    await _lasting(rng)
    for link in links:
        link.harm = Harm()


@fault("store refuses")
async def _store_down(site: Site, rng: random.Random) -> None:
    site.outside.store.down = True
    await _lasting(rng)
    site.outside.store.down = False


@fault("store silent")
async def _store_silent(site: Site, rng: random.Random) -> None:
    site.outside.store.silent = True
    await _lasting(rng)
    site.outside.store.silent = False


@fault("store slow")
async def _store_slow(site: Site, rng: random.Random) -> None:
    await _harmed([m.store for m in site.machines], Harm(delay=rng.uniform(0.1, 0.4)), rng)


@fault("answers of writes lost")
async def _writes_lost(site: Site, rng: random.Random) -> None:
    site.outside.store.lose_answers += rng.randint(1, 4)
    await _lasting(rng)


@fault("history forgotten")
async def _forgotten(site: Site, rng: random.Random) -> None:
    site.outside.store.forget()
    await _lasting(rng, 0.1, 0.5)


@fault("one cut off from the store")
async def _cut_off(site: Site, rng: random.Random) -> None:
    link = rng.choice(site.machines).store
    if rng.random() < 0.5:
        link.reset()
        await _harmed([link], Harm(refuse=True), rng)
    else:
        await _harmed([link], Harm(lose_to_server=True, lose_to_client=True), rng)


@fault("one cut off from the store one way")
async def _cut_one_way(site: Site, rng: random.Random) -> None:
    upwards = rng.random() < 0.5
    harm = Harm(lose_to_server=upwards, lose_to_client=not upwards)
    await _harmed([rng.choice(site.machines).store], harm, rng)


@fault("open connections to the store fall silent")
async def _store_silenced(site: Site, rng: random.Random) -> None:
    for machine in site.machines:
        machine.store.silence()
    await _lasting(rng, 0.5, 2.0)


# --- workers and the store host -------------------------------------------------------


def _worker(site: Site, rng: random.Random) -> str:
    service = rng.choice(["plain", "engines"])
    return rng.choice(site.outside.serving(service) or list(site.outside.workers))


@fault("a worker crashes", workers=True)
async def _crash(site: Site, rng: random.Random) -> None:
    name = _worker(site, rng)
    if len(site.outside.serving("plain")) > 1 and len(site.outside.serving("engines")) > 1:
        site.outside.crash(name)
    await _lasting(rng, 2.0, 3.0)


@fault("a worker leaves", planned=True)
async def _drain(site: Site, rng: random.Random) -> None:
    name = _worker(site, rng)
    if name not in site.outside.leaving_at:
        site.outside.drain(name)
    await _lasting(rng, 3.0, 4.0)


@fault("a worker fails", workers=True)
async def _worker_fails(site: Site, rng: random.Random) -> None:
    name = _worker(site, rng)
    common = ["shed", "error", "lost", "hang", "garbage"]
    own = ["cut-event"] if name.startswith("engines") else ["surplus", "extra"]
    worker = site.outside.workers[name]
    faults = [rng.choice([*common, *own]) for _ in range(rng.randint(1, 12))]
    site.outside.give_faults(name, faults)
    await _lasting(rng, 1.0, 3.0)
    worker.faults.clear()


@fault("orders get no answer")
async def _orders_unanswered(site: Site, rng: random.Random) -> None:
    for name in site.outside.serving("engines"):
        site.outside.workers[name].unanswered_orders = 1
    site.outside.name_weights()
    await _lasting(rng, 3.0, 5.0)
    for worker in site.outside.workers.values():
        worker.unanswered_orders = 0


@fault("a worker's link is harmed")
async def _worker_link(site: Site, rng: random.Random) -> None:
    link = site.outside.links[_worker(site, rng)]
    harms = (
        Harm(delay=rng.uniform(0.05, 0.5)),
        Harm(refuse=True),
        Harm(lose_to_server=True),
        Harm(lose_to_client=True),
    )
    if rng.random() < 0.5:
        link.reset()
    await _harmed([link], rng.choice(harms), rng)


@fault("open connections to workers fall silent")
async def _workers_silenced(site: Site, rng: random.Random) -> None:
    for link in site.outside.links.values():
        link.silence()
    await _lasting(rng, 0.5, 2.0)


@fault("open connections to workers are reset")
async def _workers_reset(site: Site, rng: random.Random) -> None:
    for link in site.outside.links.values():
        link.reset()
    await _lasting(rng, 0.2, 1.0)


@fault("the store host returns empty")
async def _store_host_empty(site: Site, rng: random.Random) -> None:
    site.outside.kv.restart()
    site.outside.links["kept"].reset()
    await _lasting(rng, 0.2, 1.0)


# --- the operator ------------------------------------------------------------------


@fault("weights are named", planned=True)
async def _named(site: Site, rng: random.Random) -> None:
    site.outside.name_weights()
    if rng.random() < 0.4:
        await _lasting(rng, 0.2, 2.0)
        site.outside.name_weights()
    await _lasting(rng, 0.5, 2.0)


@fault("the configuration changes", planned=True)
async def _changed(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        site.outside.change()
        await _lasting(rng, 0.2, 2.0)


@fault("many callers come at once", planned=True)
async def _burst(site: Site, rng: random.Random) -> None:
    site.pace = 0.3
    await _lasting(rng, 1.0, 3.0)
    site.pace = 1.0


# --- several things at once -----------------------------------------------------------
# Registered last: earlier seeds choose among the kinds before these.


@fault("all killed while new weights load", processes=True)
async def _killed_in_rollout(site: Site, rng: random.Random) -> None:
    site.outside.load_slowly(rng.uniform(1.0, 4.0))
    site.outside.name_weights()
    await _lasting(rng, 0.3, 3.0)
    if rng.random() < 0.5:
        site.outside.name_weights()
        await _lasting(rng, 0.1, 1.0)
    await _all_killed(site, rng)


@fault("open connections to the store fall silent before a change")
async def _silenced_before_change(site: Site, rng: random.Random) -> None:
    for machine in site.machines:
        machine.store.silence()
    site.outside.change()


@fault("some cut off while a worker leaves, then their neighbours killed")
async def _cut_off_then_killed(site: Site, rng: random.Random) -> None:
    zones = Counter(machine.zone for machine in site.machines)
    one = rng.choice([m for m in site.machines if zones[m.zone] > 1] or site.machines)
    neighbours = [m for m in site.machines if m.zone == one.zone and m is not one]
    cut = [one, *neighbours] if rng.random() < 0.7 else [one]
    for machine in cut:
        machine.store.reset()
        machine.store.harm = Harm(refuse=True)
    await _lasting(rng, 0.1, 1.5)
    leave = rng.choice([site.outside.drain, site.outside.dismiss])
    name = _worker(site, rng)
    if name not in site.outside.leaving_at:
        leave(name)
    await _lasting(rng, 0.1, 4.0)
    if rng.random() < 0.3:
        site.outside.store.forget()
    # Those that are left may have copied what others had not yet given up.
    for machine in cut:
        machine.store.harm = Harm()
    await _lasting(rng, 0.2, 2.2)
    await asyncio.gather(*(_kill(machine, 0.1) for machine in neighbours))
    await _lasting(rng, 0.5, 2.0)
    if rng.random() < 0.3:
        await _kill(one, 0.1)


@fault("a worker's entry goes without a word", planned=True)
async def _dismissed(site: Site, rng: random.Random) -> None:
    name = _worker(site, rng)
    if name not in site.outside.leaving_at:
        site.outside.dismiss(name)
    await _lasting(rng, 2.0, 3.0)


# --- runs that break off inside their first event ---------------------------------------


def _some_engines(site: Site, rng: random.Random, least: int = 1) -> list[Worker]:
    """Return `least` engines or more, but not all where there are more than `least`."""
    names = site.outside.serving("engines")
    count = rng.randint(least, max(least, len(names) - 1))
    return [site.outside.workers[name] for name in rng.sample(names, k=min(count, len(names)))]


async def _first_event_lost(site: Site, rng: random.Random, engines: list[Worker]) -> None:
    """Send talks to engines that were given faults, for some time; then clear the faults."""
    site.talks += 1
    for engine in engines:
        engine.begun_bytes = rng.randint(1, 24)
    try:
        await _lasting(rng, 1.0, 3.0)
    finally:
        for engine in engines:
            engine.faults.clear()
        site.talks -= 1


@fault("engines break off inside their first event", workers=True)
async def _cut_first(site: Site, rng: random.Random) -> None:
    engines = _some_engines(site, rng)
    for engine in engines:
        ways = ["cut-first", "cut-first", "end-first", "silent-first"]
        faults = [rng.choice(ways) for _ in range(rng.randint(3, 12))]
        site.outside.give_faults(engine.name, faults)
    await _first_event_lost(site, rng, engines)


@fault("engines that resume break off inside their first event", workers=True)
async def _cut_resumed(site: Site, rng: random.Random) -> None:
    engines = _some_engines(site, rng, least=2)
    for engine in engines:
        ways = ["cut-event", "cut-event", "cut-first", "end-first", "silent-first"]
        faults = [rng.choice(ways) for _ in range(rng.randint(6, 12))]
        site.outside.give_faults(engine.name, faults)
    await _first_event_lost(site, rng, engines)


@fault("engines go down or lose their links inside a first event")
async def _lost_first(site: Site, rng: random.Random) -> None:
    engines = _some_engines(site, rng)
    for engine in engines:
        site.outside.give_faults(engine.name, ["silent-first"] * rng.randint(2, 6))
    losses = [asyncio.ensure_future(_lose_in_event(site, rng, engine)) for engine in engines]
    await _first_event_lost(site, rng, engines)
    for loss in losses:
        loss.cancel()
    for ended in await asyncio.gather(*losses, return_exceptions=True):
        if isinstance(ended, Exception):
            raise ended


async def _lose_in_event(site: Site, rng: random.Random, engine: Worker) -> None:
    """Harm an engine, or its link, each time a run there is inside its first event."""
    link = site.outside.links[engine.name]
    while not engine.closed:
        seen = len(engine.begun)
        while len(engine.begun) == seen:
            await asyncio.sleep(_BEGIN_LOOK_SECONDS)
        await asyncio.sleep(rng.uniform(0.0, 0.15))
        loss = rng.choice(["reset", "silence", "crash"])
        others = [name for name in site.outside.serving("engines") if name != engine.name]
        if loss == "reset":
            link.reset()
        elif loss == "silence":
            link.silence()
        elif len(others) > 1 and not engine.closed and engine.name not in site.outside.leaving_at:
            site.outside.crash(engine.name)


@fault(ENDING, workers=True)
async def _ends_workers(site: Site, rng: random.Random) -> None:
    """Let one request come again and again, and end each worker that runs it."""
    kind = rng.choice(KINDS)
    service = "engines" if kind.streams else "plain"
    first = Attempt(kind=kind, now=0.0)
    site.outside.make_fatal(service, first.body)
    caller = site.caller(rng)
    loop = asyncio.get_running_loop()
    until = loop.time() + rng.uniform(*_ENDING_SECONDS)
    while loop.time() < until:
        attempt = Attempt(kind=kind, now=loop.time())
        attempt.path, attempt.body = first.path, first.body
        await caller.ask(attempt)
        await asyncio.sleep(rng.uniform(*_ENDING_PAUSE_SECONDS))


async def _store_returns(site: Site, rng: random.Random) -> None:
    """Let the store be away for a moment, and come back from a copy some seconds old."""
    store = site.outside.store
    copy = store.copy()
    await _lasting(rng, *_COPY_SECONDS)
    links = [machine.store for machine in site.machines]
    for link in links:
        link.harm = Harm(refuse=True)
        link.reset()
    await _lasting(rng, 0.2, 1.5)
    lost = store.copy()
    store.go_back(copy)
    for link in links:
        link.harm = Harm()
    await _lasting(rng, 0.1, 1.5)
    store.write_again(lost, copy)


@fault("the store comes back from an older copy")
async def _store_goes_back(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 2)):
        await _store_returns(site, rng)


@fault("the store comes back from an older copy while new weights load")
async def _store_goes_back_loading(site: Site, rng: random.Random) -> None:
    site.outside.load_slowly(rng.uniform(0.5, 1.5))
    returning = asyncio.ensure_future(_store_returns(site, rng))
    await _lasting(rng, 0.5, 3.0)
    site.outside.name_weights()
    await returning


# --- data centres ---------------------------------------------------------------------

_EVACUATED_SECONDS = (5.5, 8.0)
"""How long an evacuation lasts: some longer than the time within which it must be in force."""
_COLD_SECONDS = 3.0


@fault("a data centre is evacuated", planned=True)
async def _evacuated(site: Site, rng: random.Random) -> None:
    outside = site.outside
    centre = f"evacuated-{rng.getrandbits(20):x}"
    for service in ("plain", "engines", "engines"):
        await outside.begin_worker(service, data_centre=centre)
    await _lasting(rng, 0.5, 1.5)
    if rng.random() < 0.3:
        # Taken back at once, and begun again.
        outside.evacuate(centre)
        outside.take_back(centre)
    outside.evacuate(centre)
    began = asyncio.get_running_loop().time()
    await _lasting(rng, *_EVACUATED_SECONDS)
    outside.end_evacuation(centre, began)
    await _lasting(rng, 0.5, 1.5)


@fault(COLD, workers=True)
async def _cold(site: Site, rng: random.Random) -> None:
    outside = site.outside
    for name in outside.serving("engines")[1:]:
        outside.crash(name)
    await _lasting(rng, 0.2, 1.0)
    for _ in range(rng.randint(1, 3)):
        zone = rng.choice(site.machines).zone
        await outside.begin_worker("engines", data_centre=zone, cold_seconds=_COLD_SECONDS)
    site.pace = 0.3
    await _lasting(rng, 1.0, _COLD_SECONDS)
    site.pace = 1.0


# --- what workers say of themselves ---------------------------------------------------


def _any_worker(site: Site, rng: random.Random) -> Worker:
    return site.outside.workers[rng.choice(site.outside.serving(rng.choice(["plain", "engines"])))]


@fault(LIMITED, workers=True)
async def _limited(site: Site, rng: random.Random) -> None:
    loop = asyncio.get_running_loop()
    worker, rate = _any_worker(site, rng), rng.choice([0.0, rng.uniform(0.5, 3.0)])
    if worker.limit is not None:
        return
    worker.limit = rate
    index = len(site.outside.named_limits)
    site.outside.named_limits.append(Limit(worker.name, rate, loop.time(), float("inf")))
    await _lasting(rng, 4.0, 9.0)
    site.outside.named_limits[index] = site.outside.named_limits[index]._replace(ended=loop.time())
    worker.limit = None


@fault(LEAVING, workers=True)
async def _says_that_it_leaves(site: Site, rng: random.Random) -> None:
    worker = _any_worker(site, rng)
    if worker.leaving:
        return
    worker.leaving = True
    await _lasting(rng, 2.5, 5.0)
    if worker.name in site.outside.serving("plain") + site.outside.serving("engines"):
        site.outside.drain(worker.name)


@fault(PAUSING, workers=True)
async def _asks_for_pauses(site: Site, rng: random.Random) -> None:
    worker = _any_worker(site, rng)
    if worker.pause:
        return
    worker.pause = rng.uniform(1.0, 3.0)
    await _lasting(rng, 1.0, 5.0)
    worker.pause = 0.0


_BRITTLE_SECONDS = (6.0, 9.0)
"""How long workers are brittle: some seconds longer than the time until fewer may wait."""
_BRITTLE_WORK_SECONDS = 0.3
_BRITTLE_ROOM = {"plain": 4, "engines": 2 * 360}
"""What workers run at once then: their slots, or the tokens of two prompts."""


@fault(BRITTLE, workers=True)
async def _brittle(site: Site, rng: random.Random) -> None:
    outside, loop = site.outside, asyncio.get_running_loop()
    service = rng.choice(["plain", "engines"])
    workers = outside.brittle_workers(service)
    if any(worker.brittle is not None for worker in workers):
        return
    index = len(outside.brittle)
    outside.brittle.append(Brittle(service, loop.time(), float("inf")))
    usual = [(w, w.room, w.waiting, w.work_seconds) for w in workers]
    tolerance = rng.randint(2, 4)
    for worker in workers:
        worker.brittle, worker.room = tolerance, _BRITTLE_ROOM[service]
        worker.waiting, worker.work_seconds = 3, _BRITTLE_WORK_SECONDS
    await asyncio.sleep(3.0)
    for worker in workers:
        worker.waiting = rng.randint(0, 1)
    site.pace = 0.3
    await _lasting(rng, *_BRITTLE_SECONDS)
    site.pace = 1.0
    outside.brittle[index] = outside.brittle[index]._replace(ended=loop.time())
    for worker, room, waiting, seconds in usual:
        worker.brittle, worker.room = None, room
        worker.waiting, worker.work_seconds = waiting, seconds


@fault("a sound worker is silent for a second", planned=True)
async def _silent_second(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        _any_worker(site, rng).fall_silent(rng.uniform(0.8, 1.3))
        await _lasting(rng, 1.0, 2.5)


# --- hosts without workers ------------------------------------------------------------

_CUT_SECONDS = (5.0, 9.0)
"""How long hosts are cut off: longer than the time after which their first tries count."""


@fault(CUT_OFF)
async def _hosts_cut_off(site: Site, rng: random.Random) -> None:
    outside, loop = site.outside, asyncio.get_running_loop()
    if outside.cut or len(site.machines) < 2:
        return
    zone = rng.choice(site.machines).zone
    some = rng.sample(site.machines, k=rng.randint(1, len(site.machines) - 1))
    whole = [machine for machine in site.machines if machine.zone == zone]
    hosts = whole if rng.random() < 0.4 and len(whole) < len(site.machines) else some
    index = len(outside.cuts)
    entries = frozenset(machine.entry for machine in hosts)
    outside.cuts.append(CutOff(entries, loop.time(), float("inf")))
    outside.cut_off(frozenset(machine.ip for machine in hosts), resets=rng.random() < 0.5)
    await _lasting(rng, *_CUT_SECONDS)
    outside.cuts[index] = outside.cuts[index]._replace(ended=loop.time())
    outside.cut_off(frozenset(), resets=False)


# --- what must cost no answer, in series ------------------------------------------------

SILENCE = "targets fall silent for a second"
_SILENT_SECONDS = (0.8, 1.3)
"""How long sound targets may send nothing."""
_HEARD_SECONDS = 1.0
"""How long a target is heard, at least, before it falls silent once more."""
_IDLE_SECONDS = (1.0, 6.0)
_ROUTE_TIMEOUT_SECONDS = (2.0, 4.0)
"""Longer than a silence and a stream: one silence excuses no answer that is cut."""
_HEADER_BYTES = (4096, 16384)
_BODY_BYTES = (65536, 262144)
_SERIES_GAP_SECONDS = (0.3, 2.5)


@fault(SILENCE, planned=True)
async def _targets_silent(site: Site, rng: random.Random) -> None:
    outside = site.outside
    for _ in range(rng.randint(1, 3)):
        now = asyncio.get_running_loop().time()
        # Two silences in a row would be one that is longer than sound targets'.
        late = {hold.worker for hold in outside.holds if hold.ended > now - _HEARD_SECONDS}
        names = outside.serving(rng.choice(["plain", "engines"]))
        names = [name for name in names if name not in late]
        count = rng.choice([1, rng.randint(1, max(1, len(names))), len(names)])
        chosen = rng.sample(names, k=min(count, len(names)))
        unheard = [machine.ip for machine in site.machines] if rng.random() < 0.5 else []
        await outside.hold(chosen, rng.uniform(*_SILENT_SECONDS), unheard)
        await _lasting(rng, 1.0, 2.5)


@fault("the idle time changes", planned=True)
async def _idle_time(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(2, 5)):
        site.outside.set_idle_time(rng.uniform(*_IDLE_SECONDS))
        await _lasting(rng, *_SERIES_GAP_SECONDS)


@fault("time-outs of routes change", planned=True)
async def _route_timeouts(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(2, 5)):
        seconds = rng.uniform(*_ROUTE_TIMEOUT_SECONDS)
        site.outside.set_timeout(rng.choice(KINDS).route, seconds)
        await _lasting(rng, *_SERIES_GAP_SECONDS)


@fault("limits of requests change", planned=True)
async def _limits(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(2, 4)):
        header, body = rng.randint(*_HEADER_BYTES), rng.randint(*_BODY_BYTES)
        site.outside.set_sizes(header_bytes=header, body_bytes=body)
        await _lasting(rng, *_SERIES_GAP_SECONDS)


@fault("settings are reloaded", planned=True)
async def _reloaded(site: Site, rng: random.Random) -> None:
    for _ in range(rng.randint(2, 6)):
        for machine in rng.sample(site.machines, k=rng.randint(1, len(site.machines))):
            machine.reload()
        await _lasting(rng, 0.1, 1.0)


@fault("signals, restarts and changes overlap", planned=True)
async def _planned_together(site: Site, rng: random.Random) -> None:
    series = [_rolled, _reloaded, _idle_time, _route_timeouts, _limits, _changed]
    works = [work(site, random.Random(rng.random())) for work in series]
    await asyncio.gather(*works)


SERIES = tuple(FAULTS)[-6:]
"""The names of these kinds."""


# --- software versions ---------------------------------------------------------------


@fault("engines of two software versions serve while runs break off", workers=True)
async def _mixed_versions(site: Site, rng: random.Random) -> None:
    outside = site.outside
    site.takes_up = True
    outside.software = f"v{int(outside.software[1:]) + 1}"
    for _ in range(rng.randint(1, 2)):
        name = rng.choice(outside.serving("engines"))
        await outside.begin_worker("engines")
        if len(outside.serving("engines")) > 3:
            outside.drain(name)
    engines = _some_engines(site, rng, least=3)
    for engine in engines:
        faults = [rng.choice(["cut-event", "cut-first"]) for _ in range(rng.randint(6, 12))]
        outside.give_faults(engine.name, faults)
    await _first_event_lost(site, rng, engines)


@fault("all killed when a release of engines has ended")
async def _killed_after_release(site: Site, rng: random.Random) -> None:
    outside = site.outside
    site.takes_up = True
    former = outside.serving("engines")
    outside.software = f"v{int(outside.software[1:]) + 1}"
    for name in rng.sample(former, k=rng.randint(1, len(former))):
        await outside.begin_worker("engines")
        # Another release may have replaced it meanwhile.
        if name in outside.serving("engines"):
            outside.drain(name)
        await _lasting(rng, 0.1, 0.5)
    await _lasting(rng, 0.1, 3.0)
    await _all_killed(site, rng)


@fault("engines start again in place as another version", workers=True)
async def _released_in_place(site: Site, rng: random.Random) -> None:
    outside = site.outside
    site.takes_up = True
    outside.software = f"v{int(outside.software[1:]) + 1}"
    names = rng.sample(outside.serving("engines"), k=len(outside.serving("engines")) // 2)
    starts = []
    for name in names:
        if name in outside.serving("engines"):
            starts.append(asyncio.ensure_future(outside.start_again(name)))
        await _lasting(rng, 0.1, 0.8)
    await asyncio.gather(*starts)


@fault("engines end while they send answers without a length", workers=True)
async def _ended_without_length(site: Site, rng: random.Random) -> None:
    outside = site.outside
    site.takes_up = True
    engines = _some_engines(site, rng, least=3)
    for engine in engines:
        engine.unframed = True
    for engine in engines[: len(engines) // 2 + 1]:
        await _lasting(rng, 0.2, 0.8)
        if engine.name in outside.serving("engines") and not engine.closed:
            await outside.end_in_order(engine.name)
    for engine in engines:
        engine.unframed = False


# --- what a node has not read, or cannot ------------------------------------------------

_OUT_OF_STEP_SECONDS = (0.5, 4.0)
"""How long a host stands still, or is cut off from the store: up to when it knows that it was."""


@fault("a host is out of step while a version joins, and its engines break off")
async def _out_of_step(site: Site, rng: random.Random) -> None:
    outside = site.outside
    site.takes_up = True
    machine = rng.choice(site.machines)
    seconds = rng.uniform(*_OUT_OF_STEP_SECONDS)
    if rng.random() < 0.5:
        away = asyncio.ensure_future(_pause(machine, seconds))
    else:
        away = asyncio.ensure_future(_without_store(machine, seconds))
    await _lasting(rng, 0.05, 0.4)
    outside.software = f"v{int(outside.software[1:]) + 1}"
    joined = [await outside.begin_worker("engines") for _ in range(rng.randint(2, 3))]
    for name in joined:
        outside.give_faults(name, ["cut-event"] * rng.randint(6, 12))
    await away
    await _lasting(rng, 1.0, 3.0)
    for name in joined:
        if name in outside.serving("engines"):
            outside.workers[name].faults.clear()
            outside.drain(name)


async def _without_store(machine: Machine, seconds: float) -> None:
    machine.store.silence()
    machine.store.harm = Harm(lose_to_server=True, lose_to_client=True)
    await asyncio.sleep(seconds)
    machine.store.harm = Harm()


_ODD_VALUES: dict[str, tuple[str, ...]] = {
    "address": ('"127.0.0.1:70000"', f'"{"a" * 64}.example:80"', r'"127.0.0.1:\u0663"', "7"),
    "slots": ("1" + "0" * 400, "-1", "1e400", '"many"'),
    "cold-left-ms": ("1e308", "-5", "[]"),
    "models": ('[{"name": "m", "version": 1' + "0" * 400 + "}]", "[[]]", r'"\ud800"'),
    "version": ("1" + "0" * 5000, "[" * 5000 + "]" * 5000),
}
"""Values of an entry's fields, as JSON, that no target writes."""


@fault("another writer leaves odd entries among those of workers", planned=True)
async def _odd_entries(site: Site, rng: random.Random) -> None:
    store, names = site.outside.store, []
    for _ in range(rng.randint(3, 8)):
        field = rng.choice(list(_ODD_VALUES))
        fields = {
            "service": json.dumps(rng.choice(["plain", "engines"])),
            "address": '"127.0.0.1:9"',
            "zone": json.dumps(rng.choice(site.machines).zone),
            "state": '"ready"',
            field: rng.choice(_ODD_VALUES[field]),
        }
        text = ", ".join(f'"{name}": {value}' for name, value in fields.items())
        names.append(f"odd-{rng.getrandbits(32):08x}")
        store.put_text("servers", names[-1], f"{{{text}}}")
        await _lasting(rng, 0.1, 1.0)
    await _lasting(rng, 1.0, 3.0)
    for name in names:
        store.drop("servers", name)


@fault("engines stop inside the heads of their answers", workers=True)
async def _heads_stop(site: Site, rng: random.Random) -> None:
    engines = _some_engines(site, rng)
    for engine in engines:
        faults = [rng.choice(["cut-head", "cut-event"]) for _ in range(rng.randint(3, 12))]
        site.outside.give_faults(engine.name, faults)
    await _first_event_lost(site, rng, engines)
