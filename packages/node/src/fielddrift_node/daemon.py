"""Assemble a node, run its periodic tasks, and stop it without cutting off requests."""

from __future__ import annotations

import itertools
import random
import re
import secrets
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

import msgspec
from fielddrift_core.admission import Admission
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.membership import Member, TargetWord
from fielddrift_core.model import Target
from fielddrift_core.outside_values import ValueOutOfRange, decoded, whole_number_of
from fielddrift_core.routing import POLICIES

from . import clock
from .board import Board
from .callers import CallersApp
from .claims import ClaimManager
from .cluster import Cluster
from .configuration import ConfigSync, poll_seconds
from .crash_desk import CRASH_TURN_SECONDS, CrashDesk
from .duties import Duties, StoreReconciler, TargetReconciler, duty_names
from .exporter import Exporter
from .http_client import HttpClient
from .leasing import Leases, contenders
from .log import get
from .metrics import FLUSH_SECONDS, Metrics
from .operators import Operators
from .outside import HttpHostList, HttpObjectStore, HttpTable
from .peers import Peers
from .queries import Nodes
from .runtime import Links, RequestLog, RequestSlots, Runtime
from .servers import ApplicationServer
from .serving.left_out import left_out_values
from .settings import Settings
from .sightings import Sightings
from .stores import Stores
from .targets import LOAD_REPORT, LoadReport, TargetClient
from .tickets import Tickets
from .underway import apply_sighting
from .watch import Watch

__all__ = ["Daemon"]

TICK_INTERVAL_SECONDS = 0.2
GOSSIP_INTERVAL_SECONDS = 1.0
LOAD_INTERVAL_SECONDS = 0.5
DUTY_INTERVAL_SECONDS = 1.0
LEASE_INTERVAL_SECONDS = 2.0
MIN_HOSTS_INTERVAL_SECONDS = 1.0
_MAX_LOAD_POLLS_PER_ROUND = 5
# The host list grows with the number of nodes, so all nodes together read it at this rate and
# pass the results on by gossip.
_HOST_POLLS_PER_SECOND = 4.0
_POOL_THREAD_COUNT = 32
_IDLE_MODEL_SECONDS = 60.0
_STOP_POLL_SECONDS = 0.1
_REQUEST_ID = re.compile(r"(\d+(?:\.\d+){3}:\d+)-([0-9a-f]{8})-\d+")


class Daemon:
    """One node: its components and threads, from start to stop."""

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._stopping = threading.Event()
        self._boot = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        rng = random.Random(secrets.randbits(64))
        self._metrics = Metrics(address=settings["statsd"])
        self._pool = ThreadPoolExecutor(_POOL_THREAD_COUNT, thread_name_prefix="pool")
        self._exporter = Exporter()
        self._http = HttpClient()
        self._build_platform()
        self._requests = RequestLog()
        self._build_peers(rng)
        self._runtime = self._build_runtime(rng)
        self._sightings = self._build_sightings()
        self._build_duties()
        self._app = self._build_app()

    def _build_platform(self) -> None:
        platform = self._settings["platform"]
        seconds = platform.get("timeout_seconds", 2.0)
        self._table = HttpTable(
            address=platform["table"], http=self._http, metrics=self._metrics, timeout=seconds
        )
        self._objects = HttpObjectStore(address=platform["objects"], http=self._http)
        self._hosts = HttpHostList(address=platform["hosts"], http=self._http, timeout=seconds)

    def _build_peers(self, rng: random.Random) -> None:
        settings = self._settings
        node = settings["node"]
        self._config = ConfigSync(
            table=self._table,
            objects=self._objects,
            metrics=self._metrics,
            on_change=self._configuration_changed,
        )
        self._crashes = CrashDesk(
            table=self._table,
            pool=self._pool,
            metrics=self._metrics,
            changed=lambda: self._cluster.spread(),
        )
        self._cluster = Cluster(
            me=Member(node["peer"], node["http"], node["data_centre"], time.time_ns() // 10**6),
            rng=rng,
            config=self._config,
            pool=self._pool,
            claim_status=lambda claimant, attempt: self._claims.word(claimant, attempt),
            request_state=self._requests.state,
            crashes=self._crashes,
        )
        self._claims = ClaimManager(
            table=self._table,
            claimant=f"{node['peer']}-{self._boot}",
            address=node["peer"],
            ask=lambda row: self._peers.claim(row),
            metrics=self._metrics,
            timeout=settings["limits"]["claim_seconds"],
        )
        self._peers = Peers(
            address=node["peer"],
            key=settings["keys"]["peer"],
            answers=self._cluster,
            metrics=self._metrics,
        )
        self._cluster.connect(self._peers)

    def _build_runtime(self, rng: random.Random) -> Runtime:
        return Runtime(
            settings=self._settings,
            metrics=self._metrics,
            config=self._config,
            watch=Watch(refresh=self._cluster.refresh),
            board=Board(data_centre=self._settings["node"]["data_centre"]),
            targets=TargetClient(http=self._http),
            stores=Stores(http=self._http, pool=self._pool),
            links=Links(),
            claims=self._claims,
            crashes=self._crashes,
            admission=Admission(),
            admission_lock=threading.Lock(),
            requests=self._requests,
            policy=POLICIES[self._settings["policy"]],
            rng=rng,
            pool=self._pool,
            exporter=self._exporter,
            send_sighting=lambda model, sighting: self._sightings.send(model, sighting),
            tickets=Tickets(key=self._settings["keys"]["peer"]),
            request_slots=RequestSlots(limit=self._settings["limits"]["requests"]),
            leaving=self._cluster.leaving,
            handle_target_headers=self._apply_headers,
        )

    def _build_sightings(self) -> Sightings:
        # Built after the runtime, because received sightings are applied to it immediately.
        return Sightings(
            address=self._settings["node"]["peer"],
            key=self._settings["keys"]["peer"],
            audience=self._cluster.audience,
            on_receive=lambda sighting: apply_sighting(self._runtime, sighting),
            metrics=self._metrics,
            bytes_per_second=self._settings["limits"]["sighting_bytes"],
        )

    def _build_duties(self) -> None:
        holder = self._settings["node"]["peer"]
        self._leases = Leases(table=self._table, holder=f"{holder}-{self._boot}")
        self._duties = Duties(
            leases=self._leases,
            target_reconciler=TargetReconciler(
                targets=self._runtime.targets, pool=self._pool, metrics=self._metrics
            ),
            store_reconciler=StoreReconciler(stores=self._runtime.stores, metrics=self._metrics),
            week_start=self._settings["week_start"],
        )

    def _build_app(self) -> CallersApp:
        nodes = Nodes(membership=self._cluster.membership, peers=self._peers, table=self._table)
        operators = Operators(
            runtime=self._runtime, nodes=nodes, keys=self._settings["keys"]["operators"]
        )
        ttl_seconds = self._settings["limits"]["entry_seconds"]
        return CallersApp(
            runtime=self._runtime,
            operators=operators,
            entry=lambda model: self._cluster.entry(model, ttl_seconds),
            next_id=self._next_id,
            find_state=self._ask_state,
        )

    # --- lifecycle ---------------------------------------------------------

    def start(self) -> None:
        """Load the current configuration, start the periodic tasks, then serve callers."""
        self._catch_up_at_start()
        tasks: list[tuple[str, Callable[[], None], Callable[[], float]]] = [
            ("tick", self._tick, lambda: TICK_INTERVAL_SECONDS),
            ("gossip", self._cluster.probe_next, lambda: GOSSIP_INTERVAL_SECONDS),
            ("config", self._config.poll, lambda: poll_seconds(self._cluster.nodes())),
            ("hosts", self._poll_hosts, self._hosts_interval),
            ("loads", self._poll_loads, lambda: LOAD_INTERVAL_SECONDS),
            ("leases", self._update_leases, lambda: LEASE_INTERVAL_SECONDS),
            ("metrics", self._metrics.flush, lambda: FLUSH_SECONDS),
            ("duties", self._run_duties, lambda: DUTY_INTERVAL_SECONDS),
            ("crashes", self._crashes.turn, lambda: CRASH_TURN_SECONDS),
        ]
        for name, work, seconds in tasks:
            thread = threading.Thread(
                target=self._run_periodically, args=(name, work, seconds), name=name, daemon=True
            )
            thread.start()
        host, _, port = self._settings["node"]["http"].rpartition(":")
        limits = self._settings["limits"]
        self._server = ApplicationServer(
            app=self._app,
            host=host,
            port=int(port),
            threads=limits["threads"],
            body=limits["prompt_bytes"],
        )
        get().info("serving", http=self._settings["node"]["http"], revision=self._config.revision)

    def stop(self) -> None:
        """Drain this node and stop it.

        Leaves the entry list, waits until the entry answers given earlier have expired, then
        waits up to `stop_seconds` for the requests in flight.
        """
        limits = self._settings["limits"]
        get().info("leaving")
        self._runtime.watch.leave()
        self._cluster.leave()
        self._stopping.set()
        self._release_leases()
        time.sleep(limits["entry_seconds"])
        self._runtime.watch.refuse()
        until = clock.now() + limits["stop_seconds"]
        while self._requests.running() and clock.now() < until:
            time.sleep(_STOP_POLL_SECONDS)
        self._exporter.close()
        self._pool.shutdown(wait=True, cancel_futures=True)
        self._server.stop()
        self._claims.close()
        self._metrics.close()
        self._sightings.close()
        self._peers.close()
        self._http.close()
        get().info("stopped", cut=self._requests.running())

    def _run_periodically(
        self, name: str, work: Callable[[], None], seconds: Callable[[], float]
    ) -> None:
        while True:
            try:
                work()
            except ExternalSystemError as error:
                get().debug("round failed", round=name, error=str(error))
            except Exception:
                get().exception("round failed", round=name)
            time.sleep(seconds())

    def _catch_up_at_start(self) -> None:
        """Join the other nodes and load the configuration, from a peer and from the table.

        While the platform is unreachable, the snapshot of a peer suffices.
        """
        addresses = list(self._settings["peers"])
        try:
            hosts = self._hosts.hosts()
            addresses += [h.labels["peer"] for h in hosts if "peer" in h.labels]
        except ExternalSystemError as error:
            get().warning("host list unreachable at start", error=str(error))
        own_address = self._settings["node"]["peer"]
        self._cluster.join(a for a in dict.fromkeys(addresses) if a != own_address)
        try:
            self._config.poll()
            self._crashes.restore()
        except ExternalSystemError as error:
            get().warning("table unreachable at start", error=str(error))

    # --- periodic tasks ----------------------------------------------------

    def _tick(self) -> None:
        self._metrics.gauge("requests.open", self._runtime.request_slots.taken)
        if self._runtime.watch.tick():
            self._metrics.add("pauses")
            get().warning("this process was paused")

    def _hosts_interval(self) -> float:
        return max(MIN_HOSTS_INTERVAL_SECONDS, self._cluster.nodes() / _HOST_POLLS_PER_SECOND)

    def _poll_hosts(self) -> None:
        hosts = self._hosts.hosts()
        self._cluster.apply_hosts(hosts)
        by_address = {t.address: t.name for t in self._config.current.targets.values()}
        for host in hosts:
            if host.address in by_address:
                word = TargetWord(by_address[host.address], host.epoch, host.leaving)
                self._cluster.merge_target(word)

    def _poll_loads(self) -> None:
        board = self._runtime.board
        due = board.stale(self._config.current, idle=_IDLE_MODEL_SECONDS)[
            :_MAX_LOAD_POLLS_PER_ROUND
        ]
        for target in due:
            self._pool.submit(self._poll_load, target)

    def _poll_load(self, target: Target) -> None:
        board = self._runtime.board
        try:
            after = board.event_sequence(target.name)
            report = self._runtime.targets.load(target, after=after)
        except ExternalSystemError:
            board.failed(target.name)
            return
        board.succeeded(target.name)
        # The process instance is recorded before its events, which belong to its epoch.
        self._apply_report(target.name, report)
        board.record_cache_events(
            target.name,
            report.sequence,
            [name for _, name in report.events],
            after=after,
            epoch=report.epoch,
        )

    def _update_leases(self) -> None:
        if self._stopping.is_set():
            return
        names = [m.name for m in self._cluster.membership.usable()]
        own_address = self._settings["node"]["peer"]
        held = set(self._leases.held())
        wanted_duties = [
            duty
            for duty in duty_names(self._config.current)
            if duty in held or own_address in contenders(duty, names)
        ]
        self._leases.renew(wanted_duties)
        self._metrics.gauge("duties.held", len(self._leases.held()))

    def _run_duties(self) -> None:
        if not self._stopping.is_set():
            self._duties.turn(self._config.current)

    def _release_leases(self) -> None:
        try:
            self._leases.release_all()
        except ExternalSystemError as error:
            get().info("could not release leases", error=str(error))

    # --- reported state ----------------------------------------------------

    def _configuration_changed(self, revision: int) -> None:
        self._cluster.spread()

    def _apply_headers(self, target: str, headers: Mapping[str, str]) -> None:
        try:
            if "x-leaving" in headers:
                epoch = whole_number_of("x-leaving", headers["x-leaving"])
                self._cluster.merge_target(TargetWord(target, epoch, True))
            if "x-load" in headers:
                report = decoded(LOAD_REPORT, headers["x-load"].encode())
                self._apply_report(target, report)
        except (msgspec.DecodeError, ValueOutOfRange) as error:
            left_out_values.note("response head", target, error)

    def _apply_report(self, target: str, report: LoadReport) -> None:
        board = self._runtime.board
        board.record_load(target, report.load(), report.epoch, report.versions)
        self._crashes.record_instance(target, self._crashes.life(target, board.epoch(target)))
        if report.leaving:
            self._cluster.merge_target(TargetWord(target, report.epoch, True))

    # --- request ids -------------------------------------------------------

    def _next_id(self) -> str:
        return f"{self._settings['node']['peer']}-{self._boot}-{next(self._numbers)}"

    def _ask_state(self, wanted: str, customer: str) -> str | None:
        """Return the state of a request, or None when `wanted` is not a request id.

        The state is "unknown" when the node that issued the id has restarted or cannot be reached.
        """
        match = _REQUEST_ID.fullmatch(wanted)
        if match is None:
            return None
        owner, boot = match.groups()
        if owner == self._settings["node"]["peer"]:
            return self._requests.state(wanted, customer) if boot == self._boot else "unknown"
        try:
            return self._peers.request(owner, customer, wanted)
        except ExternalSystemError:
            return "unknown"
