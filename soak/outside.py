"""Play the outside of the nodes, each of its addresses behind a link that can be harmed."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Collection
from typing import NamedTuple

from fielddrift_node.web.server import Limits, Request, Responder, Server
from fielddrift_standins.brittle import BrittleWorker
from fielddrift_standins.deployment import KEY, Deployment, route
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .callers import EVENTS
from .links import Link

__all__ = [
    "DEFAULT_IDLE_SECONDS",
    "Arrival",
    "Brittle",
    "Change",
    "Cold",
    "CutOff",
    "End",
    "Evacuation",
    "Limit",
    "Outside",
]

COLD_RATE = 4.0
"""Requests a second that a cold engine bears."""
_LAPSE_SECONDS = 1.5
"""Time after which the entry of a worker that crashed goes."""
_SERVE_ON_SECONDS = 3.0
"""How long a leaving worker serves on: the drain bound and a little."""
_CLOSE_SECONDS = 0.05
"""Time for the ends of connections to pass a link."""
_ENTRY_SECONDS = 0.6
"""Time until the entry of a worker that started again is written."""
_LOAD_SECONDS = 0.05
_SLOW_SECONDS = 10.0
"""How long engines load slowly, once they do."""
DEFAULT_IDLE_SECONDS = 15.0
"""The idle time of configurations that name none."""
_UNBOUNDED = 1 << 40
"""Room of a worker that rejects nothing."""
_PLAIN, _ENGINES = "plain", "engines"


class Change(NamedTuple):
    """A change of the operator: when the store took it, and which path and key it ended."""

    at: float
    dropped_path: str
    added_path: str
    dropped_key: str


class Arrival(NamedTuple):
    """A request that reached the address of a worker after its end."""

    worker: str
    request_id: str
    at: float


class End(NamedTuple):
    """The end of a worker that ran a request with the body `body`."""

    body: bytes
    worker: str
    at: float


class Evacuation(NamedTuple):
    """A data centre whose targets were to get nothing: from when, and until when."""

    data_centre: str
    began: float
    ended: float


class Cold(NamedTuple):
    """A worker that began cold, and until when it was."""

    worker: str
    until: float


class Limit(NamedTuple):
    """A worker that named a limit of `rate` requests a second: from when, and until when."""

    worker: str
    rate: float
    began: float
    ended: float


class CutOff(NamedTuple):
    """Hosts, by the addresses for their callers, without a path to any worker: from when, and
    until when.
    """

    entries: frozenset[str]
    began: float
    ended: float


class Hold(NamedTuple):
    """A worker whose packets were held up, both ways: from when, and until when."""

    worker: str
    began: float
    ended: float


class IdleTime(NamedTuple):
    """The idle time of connections, in seconds, that the store took at the time `at`."""

    at: float
    seconds: float


class RouteTimeout(NamedTuple):
    """The time-out of a route, in seconds, that the store took at the time `at`."""

    at: float
    route: str
    seconds: float


class Brittle(NamedTuple):
    """A service whose workers were brittle: from when, and until when."""

    service: str
    began: float
    ended: float


class Outside(Deployment):
    """The store, workers that come and go, and what the operator changes."""

    def __init__(self) -> None:
        super().__init__()
        more = {"allow-resume": True, "max-attempts": 4}
        self.routes.append(route("talk", _ENGINES, "streaming", **more))
        self.software = "v1"
        """The version of the programs of workers that start from now on."""
        self.links: dict[str, Link] = {}
        self.ended: list[Worker] = []
        self.ends: list[End] = []
        self._fatal: dict[str, frozenset[bytes]] = {}
        """Bodies that end the workers of a service."""
        self.changes: list[Change] = []
        self.evacuations: list[Evacuation] = []
        self.cold: list[Cold] = []
        self.named_limits: list[Limit] = []
        self.cold_rate = COLD_RATE
        self.leaving_at: dict[str, float] = {}
        self.named_at = {1: float("-inf")}
        """When the store took each version of the weights."""
        self.arrivals: list[Arrival] = []
        self.cuts: list[CutOff] = []
        self.brittle: list[Brittle] = []
        self.holds: list[Hold] = []
        self.unsound: set[str] = set()
        """Workers that were told to fail."""
        self.gone_at: dict[str, float] = {}
        """When each worker ended that has."""
        self.timeouts: list[RouteTimeout] = []
        self.idle_times: list[IdleTime] = []
        self._cut: frozenset[str] = frozenset()
        """The addresses of the hosts that are cut off from all workers."""
        self._numbers = itertools.count(1)
        self._services: dict[str, str] = {}
        self._targets: dict[str, str] = {}
        self._witnesses: list[Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, *, plain: int, engines: int) -> None:
        """Start everything."""
        kept = Link(target=self.kv_address)
        self.links["kept"] = await kept.start()
        behind, self.kv_address = self.kv_address, kept.address
        host, _, port = self.store_address.rpartition(":")
        await self.store.start(host, int(port))
        host, _, port = behind.rpartition(":")
        await self.kv.start(host, int(port))
        self.configure()
        for service, count in ((_PLAIN, plain), (_ENGINES, engines)):
            for _ in range(count):
                await self.begin_worker(service)

    def end(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        self.close()
        for worker in self.ended:
            worker.close()
        for server in self._witnesses:
            server.stop_accepting()
            server.close()
        for link in self.links.values():
            link.close()

    async def store_link(self) -> Link:
        """Return a way to the store for one node."""
        return await Link(target=self.store_address).start()

    @property
    def named(self) -> int:
        """Return the newest version that was named."""
        return max(self.named_at)

    @property
    def every_worker(self) -> list[Worker]:
        """Return all workers that there have been."""
        return [*self.workers.values(), *self.ended]

    def serving(self, service: str) -> list[str]:
        """Return the workers of a service that are not leaving."""
        names = [name for name, found in self._services.items() if found == service]
        return [name for name in names if name in self.workers and name not in self.leaving_at]

    # --- workers ------------------------------------------------------------------

    async def begin_worker(
        self, service: str, *, data_centre: str = "a", cold_seconds: float = 0.0
    ) -> str:
        """Start a worker under a new name, cold for some time where that is said; return it."""
        engine = service == _ENGINES
        worker = BrittleWorker(
            name=f"{service}-{next(self._numbers)}",
            room=_UNBOUNDED,
            events=EVENTS if engine else 0,
            work_seconds=0.02,
            pause_seconds=0.02 if engine else 0.0,
        )
        worker.version = self.named
        worker.software = self.software
        worker.started = round(time.time() * 1000)
        worker.load_seconds = _LOAD_SECONDS
        worker.signed = True
        worker.fatal = self._fatal.get(service, frozenset())
        worker.crashed = self._crashed
        address = f"{HOST}:{free_port()}"
        host, _, port = address.rpartition(":")
        await worker.start(host, int(port))
        self._targets[worker.name] = address
        link = await Link(target=address).start()
        link.cut(self._cut)
        self.links[worker.name] = link
        self.workers[worker.name] = worker
        self.addresses[worker.name] = link.address
        worker.loaded = self._loaded
        self._services[worker.name] = service
        self._centres[worker.name] = data_centre
        if cold_seconds:
            until = asyncio.get_running_loop().time() + cold_seconds
            self.cold.append(Cold(worker.name, until))
        self.enter(worker.name, service, cold_seconds=cold_seconds)
        return worker.name

    @property
    def centres(self) -> dict[str, str]:
        """Return the data centre of each worker that there has been."""
        return self._centres

    def cut_off(self, hosts: frozenset[str], *, resets: bool) -> None:
        """Cut hosts, by their addresses, off from all workers and the store host.

        Open connections fall silent, or are reset; new ones hang.  All other hosts have theirs.
        """
        if resets:
            for link in self.links.values():
                link.reset_from(hosts)
        self._cut = hosts
        for link in self.links.values():
            link.cut(hosts)

    @property
    def cut(self) -> frozenset[str]:
        """Return the addresses of the hosts that are cut off from all workers."""
        return self._cut

    async def hold(
        self, names: Collection[str], seconds: float, unheard: Collection[str] = ()
    ) -> None:
        """Let workers send and receive nothing for `seconds`, then go on with everything.

        New connections from the addresses `unheard` hang in their handshake meanwhile.
        """
        now = asyncio.get_running_loop().time()
        self.holds += [Hold(name, now, now + seconds) for name in names]
        await asyncio.gather(*(self.links[name].hold(seconds, unheard) for name in names))

    def brittle_workers(self, service: str) -> list[BrittleWorker]:
        """Return the workers of a service that are not leaving."""
        found = [self.workers[name] for name in self.serving(service)]
        return [worker for worker in found if isinstance(worker, BrittleWorker)]

    def crash(self, name: str) -> None:
        """End a worker at once; its entry lapses, and another one comes."""
        service = self._services[name]
        self._gone(name)
        self.links[name].close()
        self._later(self._lapse(name, service))

    async def end_in_order(self, name: str) -> None:
        """End a worker whose connections close in order, as a killed process's do."""
        service = self._services[name]
        self._gone(name)
        await asyncio.sleep(_CLOSE_SECONDS)
        self.links[name].close()
        self._later(self._lapse(name, service))

    async def start_again(self, name: str) -> None:
        """End an engine and start it under its id and at its address; its entry follows."""
        former = self.workers[name]
        self.gone_at[name] = asyncio.get_running_loop().time()
        former.close()
        self.ended.append(former)
        again = former.restarted(software=self.software)
        again.load_seconds, again.crashed = _LOAD_SECONDS, self._crashed
        again.loaded = self._loaded
        self.workers[name] = again
        host, _, port = self._targets[name].rpartition(":")
        await again.start(host, int(port))
        await asyncio.sleep(_ENTRY_SECONDS)
        if name in self.serving(_ENGINES):
            self.enter(name, _ENGINES)

    def give_faults(self, name: str, faults: Collection[str]) -> None:
        """Let the next requests of a worker meet `faults`."""
        self.unsound.add(name)
        self.workers[name].faults += faults

    def make_fatal(self, service: str, body: bytes) -> None:
        """Let `body` end each worker of `service` that runs it from now on."""
        self._fatal[service] = self._fatal.get(service, frozenset()) | {body}
        for name in self.serving(service):
            self.workers[name].fatal = self._fatal[service]

    def _loaded(self, worker: Worker) -> None:
        self._later(self._tell_weights(worker))

    async def _tell_weights(self, worker: Worker) -> None:
        """Write the entry of a worker that has loaded weights, as its next heartbeat does."""
        await asyncio.sleep(_ENTRY_SECONDS)
        is_current = self.workers.get(worker.name) is worker
        if is_current and worker.name in self.serving(_ENGINES):
            self.enter(worker.name, _ENGINES)

    def _crashed(self, worker: Worker) -> None:
        now = asyncio.get_running_loop().time()
        self.ends.append(End(worker.ran[-1].body, worker.name, now))
        if worker.name in self.workers:
            self.crash(worker.name)

    def drain(self, name: str) -> None:
        """Let a worker say that it leaves, serve on and end; another one comes first."""
        service = self._services[name]
        self.leaving_at[name] = asyncio.get_running_loop().time()
        self.enter(name, service, state="draining")
        self._later(self._leave(name, service))

    def dismiss(self, name: str) -> None:
        """Let a worker's entry go without a word; another one comes.

        It serves on to the soak's end, so that whoever still sends to it is seen.
        """
        self.leaving_at[name] = asyncio.get_running_loop().time()
        self.store.drop("servers", name)
        self._later(self.begin_worker(self._services[name]))

    def _gone(self, name: str) -> None:
        worker = self.workers.pop(name)
        self.gone_at[name] = asyncio.get_running_loop().time()
        worker.close()
        self.ended.append(worker)

    async def _lapse(self, name: str, service: str) -> None:
        await asyncio.sleep(_LAPSE_SECONDS)
        self.store.drop("servers", name)
        await self.begin_worker(service)

    async def _leave(self, name: str, service: str) -> None:
        await self.begin_worker(service)
        await asyncio.sleep(_SERVE_ON_SECONDS)
        self._gone(name)
        self.store.drop("servers", name)
        await self._witness(name)

    async def _witness(self, name: str) -> None:
        """Note who still comes to a worker that left; nobody is answered."""

        async def note(request: Request, responder: Responder) -> None:
            request_id = request.head.headers.text(b"x-request-id")
            if request_id:
                now = asyncio.get_running_loop().time()
                self.arrivals.append(Arrival(name, request_id, now))
            responder.cut()

        self.links[name].reset()
        server = Server(handler=note, limits=Limits)
        host, _, port = self._targets[name].rpartition(":")
        await server.start(host, int(port))
        self._witnesses.append(server)

    def _later(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end_evacuation(self, data_centre: str, began: float) -> None:
        """Take an evacuation back, and note from when until when it was in force."""
        now = asyncio.get_running_loop().time()
        self.evacuations.append(Evacuation(data_centre, began, now))
        self.take_back(data_centre)

    # --- the operator ---------------------------------------------------------------

    def name_weights(self) -> None:
        """Name newer weights."""
        version = self.named + 1
        self.store.put("op", "version/m", {"model": "m", "version": version})
        self.named_at[version] = asyncio.get_running_loop().time()

    def load_slowly(self, seconds: float) -> None:
        """Let each load that the engines of now begin take `seconds`, for some time."""
        loop = asyncio.get_running_loop()
        for name in self.serving(_ENGINES):
            worker = self.workers[name]
            worker.load_seconds = seconds
            loop.call_later(_SLOW_SECONDS, setattr, worker, "load_seconds", _LOAD_SECONDS)

    def change(self) -> None:
        """Add a route and a key, and drop those that the last change added."""
        number = next(self._numbers)
        last = self.changes[-1] if self.changes else Change(0.0, "", "", "")
        path, key = f"/extra-{number}/", f"extra-key-{number}"
        old = [r for r in self.routes if r["path-prefix"] == last.added_path]
        self.routes = [r for r in self.routes if r not in old]
        self.routes.append(route(f"extra-{number}", _PLAIN, "safe"))
        dropped_key = self.keys[1] if len(self.keys) > 1 else ""
        self.keys = [KEY, key]
        self.configure()
        now = asyncio.get_running_loop().time()
        self.changes.append(Change(now, last.added_path, path, dropped_key))

    @property
    def idle_seconds(self) -> float:
        """Return the idle time of the newest configuration."""
        return self.idle_times[-1].seconds if self.idle_times else DEFAULT_IDLE_SECONDS

    def set_idle_time(self, seconds: float) -> None:
        """Change the idle time of connections."""
        self.limits["idle-timeout-ms"] = round(seconds * 1000)
        self.configure()
        self.idle_times.append(IdleTime(asyncio.get_running_loop().time(), seconds))

    def set_sizes(self, *, header_bytes: int, body_bytes: int) -> None:
        """Change the limits of requests."""
        self.limits |= {"max-header-bytes": header_bytes, "max-body-bytes": body_bytes}
        self.configure()

    def set_timeout(self, name: str, seconds: float) -> None:
        """Change the time-out of a route."""
        value = {"timeout-ms": round(seconds * 1000)}
        self.routes = [{**r, **value} if r["name"] == name else r for r in self.routes]
        self.configure()
        now = asyncio.get_running_loop().time()
        self.timeouts.append(RouteTimeout(now, name, seconds))
