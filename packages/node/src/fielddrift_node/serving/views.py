"""Hold the views of a serving node on the system's state, each with its version and age."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from fielddrift_core.brittle_services import BrittleServices
from fielddrift_core.catalog import Catalog
from fielddrift_core.cold_targets import ColdTargets
from fielddrift_core.crashes import CrashHistory
from fielddrift_core.direct_paths import DirectPaths
from fielddrift_core.drain_window import DrainWindow
from fielddrift_core.engine_memory import EngineMemory
from fielddrift_core.engine_slowdown import EngineSlowdowns
from fielddrift_core.evacuations import Evacuations
from fielddrift_core.link_queue import LinkQueue
from fielddrift_core.loading_engines import LoadingEngines
from fielddrift_core.observed_weights import ObservedWeights
from fielddrift_core.readers import OPERATORS_POLL_SECONDS, ReadState
from fielddrift_core.responsiveness import Responsiveness
from fielddrift_core.returns import returns_name
from fielddrift_core.rollout import EngineWeights, Naming, NamingTimes, VersionAge, upcoming_loads
from fielddrift_core.service_ranks import ServiceRanks
from fielddrift_core.store_index import StoreIndex
from fielddrift_core.stream_origins import ServiceVersions, StreamOrigins
from fielddrift_core.target_notices import TargetLimits, TargetPauses
from fielddrift_core.target_registry import Instance, TargetRegistry
from fielddrift_core.urgency import CallerWaits
from fielddrift_core.workload import Lateness, PeakRate, TargetHealth, Workload

from ..web.errors import MEMORY_REASON
from .plain_queues import PlainQueues
from .ports import NamedWeights
from .service_queues import ServiceQueues

__all__ = ["PAUSE_THRESHOLD_SECONDS", "EvacuationChange", "CandidateEngines", "Views"]

MAX_FETCH_SECONDS = 2.0
"""Engines discard a fetch that takes longer and compute the prompt, so no fetch is started that
would have to wait longer."""
PAUSE_THRESHOLD_SECONDS = 0.7
"""A tick delayed by more than this shows that this process or its host was paused."""
_CANDIDATES_CACHE_SECONDS = 0.05
"""Cache time of the list of a service's engines. Each request needs the list, computing it takes
some microseconds per engine, and the loading reported by other nodes lasts for a second or more."""
_FIRST_READING_SECONDS = 1.0
"""Time after a start in which the first reading may be under way; without an answer, the platform
is not reached."""
_READY_POLL_SECONDS = 0.01
_MAX_CLOCK_LAG_MS = 5000
"""How far reports of the engines' clock may be behind.  One that is further behind shows that the
clock was set back."""
_RETURNING_CALLERS_SECONDS = 3.0
"""Time after a start in which most requests are retries of callers that could not be served before;
these wait at most 1 to 2 s between attempts."""
_RETURN_GRACE_SECONDS = 2.0
"""How long after the last time to return callers may still come: those without a connection open a
new one, and some nodes hear of that time later."""


class CandidateEngines(NamedTuple):
    """The engines of a service for one model at the time `at`; those in `loading_next` load
    next."""

    state: tuple[object, ...]
    at: float
    engines: Sequence[EngineWeights]
    loading_next: frozenset[str]


class EvacuationChange(NamedTuple):
    """Data centres whose evacuation has started or ended since the last call."""

    begun: frozenset[str]
    ended: frozenset[str]


class Views:
    """The node's views: background loops update them, requests read them."""

    def __init__(self, *, started_at: float = float("-inf")) -> None:
        self.catalog: Catalog | None = None
        self.operators_row = 0
        """Version of the operators' rows last read, on the platform's counter."""
        self.operators_read_at = float("-inf")
        """Loop time at which this node last had the platform's answer on the operators' rows."""
        self.targets_row = 0
        """The same version for the target entries."""
        self.targets_read_at = float("-inf")
        """Loop time at which this node last read the target entries from the platform."""
        self.targets_asked_at = float("-inf")
        """Loop time at which the last such read began: the list has all entries written before.
        The answer to a read may be older than its arrival, as this process may stand still."""
        self.targets_current_at = float("-inf")
        """Loop time from before which the list has all entries, read by this node or another."""
        self.named: dict[str, int] = {}
        """Newest named weights by model."""
        self.named_times = NamingTimes()
        self.registry = TargetRegistry()
        self.evacuations = Evacuations()
        self.cold = ColdTargets()
        self.limits = TargetLimits()
        self.pauses = TargetPauses()
        self.brittle = BrittleServices()
        self.direct_paths = DirectPaths()
        self.responsiveness = Responsiveness()
        self.movable_sends: dict[tuple[str, str], Callable[[], None]] = {}
        """By target and request key: moves a send that waits there to another target."""
        self.workload = Workload()
        self.health = TargetHealth()
        self.store_index = StoreIndex()
        self.links = LinkQueue()
        self.lateness = Lateness()
        self.memory = EngineMemory()
        self.pace = EngineSlowdowns()
        self.loading = LoadingEngines()
        self.service_queues = ServiceQueues()
        self.plain_queues = PlainQueues()
        self.crashes = CrashHistory()
        self.origins = StreamOrigins()
        self.software_versions = ServiceVersions()
        self.weights = ObservedWeights()
        """Weights of engines, where newer than those in their entries."""
        self.stale = asyncio.Event()
        """Set after a pause of this process until the rows are read again."""
        self._last_tick_at: float | None = None if started_at == float("-inf") else started_at
        self.nodes = 1
        """Number of nodes that share global limits."""
        self.load = PeakRate()
        """Rate of callers' requests to this node."""
        self.prompts = PeakRate()
        """Rate of the requests among them that engines serve."""
        self.waits = CallerWaits()
        """How long callers have been waiting."""
        self._returns_expected_at: dict[str, float] = {}
        """When callers that were told to return were last expected, by service."""
        self._ranks: dict[str, ServiceRanks] = {}
        self._ranked_version = 0
        self._candidates: dict[tuple[str, str], CandidateEngines] = {}
        self._loads_needed: tuple[tuple[object, ...], bool] | None = None
        """Whether some engine needs new weights, and the state of which that is true."""
        self._started_at = started_at
        self.leaving: DrainWindow | None = None
        """Set once this node was asked to stop."""
        self._refreshed = asyncio.Event()
        self._engine_clock: tuple[int, float] | None = None

    def is_path_failure(self, target: str, *, through: str) -> bool:
        """Return whether a failed send says nothing of `target`, since only its path is cut.

        `through` is the address of the node that carried the connection, empty for none.
        """
        return not through and self.direct_paths.is_interrupted(target)

    def is_target_failure(self, target: str, *, reason: str, through: str) -> bool:
        """Return whether a send that failed for `reason` counts as a failure of `target`.

        `through` is as in `is_path_failure`.  A target that does not respond is avoided until it
        sends a byte; a failure rate would keep it out of use for longer.
        """
        if reason in ("unresponsive", MEMORY_REASON):
            return False
        if reason == "silent" and self.responsiveness.is_unresponsive(target):
            # The send was overdue before its target was found to be unresponsive.
            return False
        return not self.is_path_failure(target, through=through)

    def record_engine_clock(self, clock: int | None, now: float) -> None:
        """Record the engines' clock in ms, as reported by a target or another node.

        A report is older when it arrives, by an unknown time, so the latest clock counts.
        """
        if clock is None:
            return
        known = self.to_engine_clock(now)
        if known is None or not known - _MAX_CLOCK_LAG_MS <= clock <= known:
            self._engine_clock = (clock, now)

    def to_engine_clock(self, moment: float) -> int | None:
        """Convert the loop time `moment` to ms on the engines' clock; return None if it is
        unknown."""
        if self._engine_clock is None:
            return None
        clock, heard = self._engine_clock
        return clock + int((moment - heard) * 1000)

    @property
    def ready(self) -> bool:
        """Return whether requests can be served."""
        return self.catalog is not None and len(self.registry) > 0

    def update_catalog(self, catalog: Catalog) -> bool:
        """Apply a newer catalog and return True; ignore an older one.

        One that tells more of the same version counts as newer.
        """
        known = self.catalog
        if known is not None:
            is_same = catalog.version == known.version
            tells_more = known.needs_key is None and catalog.needs_key is not None
            if catalog.version < known.version or (is_same and not tells_more):
                return False
        self.catalog = catalog
        self.store_index.configure([s.store for s in catalog.stores if s.store is not None])
        return True

    def ranks(self, catalog: Catalog, service: str) -> ServiceRanks:
        """Return the ranks of the requests for `service` under `catalog`."""
        if catalog.version != self._ranked_version:
            self._ranks.clear()
            self._ranked_version = catalog.version
        if service not in self._ranks:
            self._ranks[service] = ServiceRanks.of(catalog, service)
        return self._ranks[service]

    def apply_evacuations(self, now: float) -> EvacuationChange:
        """Apply the known evacuations and return what changed.

        Targets of a data centre that is in use again are presumed cold: they may have become cold
        shortly before, which their entries report only later.
        """
        before, after = self.registry.evacuated, self.evacuations.current(now)
        change = EvacuationChange(after - before, before - after)
        if after != before:
            self.registry.set_evacuated(after)
        for instance in self.registry.all() if change.ended else ():
            service = None if self.catalog is None else self.catalog.services.get(instance.service)
            if service is not None and instance.data_centre in change.ended:
                self.cold.assume(instance.name, service.cold_seconds, now)
        return change

    def update_weights(self, weights: NamedWeights, now: float) -> bool:
        """Apply newer named weights and return True; ignore older ones."""
        if weights.version <= self.named.get(weights.model, 0):
            return False
        self.named[weights.model] = weights.version
        self.named_times.heard(weights.model, weights.version, now)
        return True

    def read_state(self, now: float) -> ReadState:
        """Return how far this node itself has read."""
        # A node whose reads of either kind of rows hang must not be a source for others.
        age = max(now - self.targets_read_at, now - self.operators_read_at - OPERATORS_POLL_SECONDS)
        return ReadState(self.operators_row, self.targets_row, self.registry.serial, age)

    def record_version_ages(self, ages: Iterable[VersionAge], now: float) -> None:
        """Record for how long another node has known named weights.

        Versions that a disconnected node receives late have been in force for longer.
        """
        for model, version, seconds in ages:
            self.named_times.heard(model, version, now - seconds)

    def outdated_seconds(self, model: str, weights: int, now: float) -> float:
        """Return the seconds since `weights` were superseded, 0 if they are the newest."""
        naming = self.first_superseding(model, weights)
        return 0.0 if naming is None else now - naming.at

    def first_superseding(self, model: str, weights: int) -> Naming | None:
        """Return the first naming of newer weights than `weights`, None if they are the newest."""
        return self.named_times.first_newer(model, weights)

    def known_seconds(self, model: str, version: int, now: float) -> float:
        """Return the seconds since `version` became known to any node, 0 if it is not known."""
        at = self.named_times.named_at(model, version)
        return 0.0 if at is None else now - at

    def engines(self, service: str, model: str, now: float) -> list[EngineWeights]:
        """Return the engines of `service` that accept new work and whose weights are known."""
        return self.with_weights(self.registry.serving(service), model, now)

    def with_weights(
        self, instances: Iterable[Instance], model: str, now: float
    ) -> list[EngineWeights]:
        """Return those of `instances` whose weights are known."""
        known_engines = []
        loading = self.loading.names(now)
        outdated: dict[int, float] = {}
        for instance in instances:
            name = instance.name
            weights = self.weights_of(name, model)
            if weights is None:
                continue
            if weights not in outdated:
                outdated[weights] = self.outdated_seconds(model, weights, now)
            known_engines.append(
                EngineWeights(
                    name, instance.data_centre, weights, name in loading, outdated[weights]
                )
            )
        return known_engines

    def may_need_loads(self) -> bool:
        """Return whether any engine, in use or not, has older weights than the newest named ones.

        All engines are looked through only after a change of them, of their weights or of the
        named weights.
        """
        if self.catalog is None:
            return False
        state = (
            self.catalog.version,
            self.registry.serial,
            self.weights.changes,
            tuple(self.named.items()),
        )
        if self._loads_needed is None or self._loads_needed[0] != state:
            self._loads_needed = (state, self._has_outdated_engines(self.catalog))
        return self._loads_needed[1]

    def _has_outdated_engines(self, catalog: Catalog) -> bool:
        models = {s.name: s.engine.models for s in catalog.engines if s.engine is not None}
        for instance in self.registry.all():
            for model in models.get(instance.service, ()):
                weights = self.weights_of(instance.name, model)
                if weights is not None and weights < self.named.get(model, 0):
                    return True
        return False

    def candidates(self, service: str, model: str, now: float) -> CandidateEngines:
        """Return the engines that may receive new work, and which of them load next."""
        named = self.named.get(model, 0)
        registry = self.registry
        state = (
            registry.serial,
            registry.evacuated,
            self.weights.changes,
            self.loading.changes,
            named,
        )
        cached = self._candidates.get((service, model))
        if cached is None or cached.state != state or now - cached.at > _CANDIDATES_CACHE_SECONDS:
            engines = self.engines(service, model, now)
            loading_next = upcoming_loads(engines, wanted=named)
            cached = self._candidates[(service, model)] = CandidateEngines(
                state, now, engines, loading_next
            )
        return cached

    def age(self, now: float) -> float:
        """Return the seconds since this node started, infinity if that is unknown."""
        return now - self._started_at

    def just_started(self, now: float) -> bool:
        """Return whether most requests may come from callers that waited for this node to start."""
        return now - self._started_at < _RETURNING_CALLERS_SECONDS

    def expects_returns(self, service: str, now: float) -> bool:
        """Return whether callers that any node told to return may do so now."""
        if self.workload.burden_of(returns_name(service), now).running:
            self._returns_expected_at[service] = now
        expected_at = self._returns_expected_at.get(service, float("-inf"))
        return now - expected_at < _RETURN_GRACE_SECONDS

    def tick(self, now: float, *, interval: float) -> float:
        """Record a tick, due every `interval` seconds, and return its delay in seconds.

        After a delay that indicates a pause of the process, the views are stale until they are read
        again.
        """
        delay = 0.0 if self._last_tick_at is None else now - self._last_tick_at - interval
        self._last_tick_at = now
        if delay > PAUSE_THRESHOLD_SECONDS:
            self.stale.set()
        return delay

    def detect_pause(self, now: float) -> None:
        """Detect a pause of this process before the next tick, when a request arrives first."""
        if (
            self._last_tick_at is not None
            and now - self._last_tick_at > 2 * PAUSE_THRESHOLD_SECONDS
        ):
            self.stale.set()

    def mark_current(self) -> None:
        """Record that the operators' rows were just read."""
        self.stale.clear()
        self._refreshed.set()

    async def wait_until_ready(self, seconds: float) -> None:
        """Wait up to `seconds` until requests can be served, if this node has just started."""
        loop = asyncio.get_running_loop()
        until = min(loop.time() + seconds, self._started_at + _FIRST_READING_SECONDS)
        while not self.ready and loop.time() < until:
            await asyncio.sleep(_READY_POLL_SECONDS)

    async def wait_until_refreshed(self, seconds: float) -> None:
        """Wait up to `seconds` for the operators' rows to be read again."""
        self._refreshed.clear()
        with contextlib.suppress(TimeoutError):
            # Unlike wait_for, this does not lose a cancellation that arrives together with the
            # event.
            async with asyncio.timeout(seconds):
                await self._refreshed.wait()

    def refute_weights(self, now: float) -> list[tuple[str, str, int]]:
        """Remove observed weights that the entries of their engines should show, and do not.

        Return what was removed, as (instance, model, version).
        """
        return self.weights.refute_by_entries(
            self._listed_weights, read_at=self.targets_current_at, now=now
        )

    def record_report(
        self, instance_name: str, model: str, version: int, *, requested_at: float, now: float
    ) -> bool:
        """Record the weights that a report tells; return whether they are older than believed."""
        listed = self._listed_weights(instance_name, model)
        return self.weights.report(
            instance_name, model, version, listed=listed, requested_at=requested_at, now=now
        )

    def _listed_weights(self, instance_name: str, model: str) -> int | None:
        """Return the version of `model` in the entry of an instance, None if it has none."""
        instance = self.registry.get(instance_name)
        return None if instance is None else instance.versions.get(model)

    def weights_of(self, instance_name: str, model: str) -> int | None:
        """Return the version of `model` that an instance has, None if it has none."""
        listed = self._listed_weights(instance_name, model)
        return self.weights.version(instance_name, model, listed)
