"""Hold what a serving node believes, each view with its version and age."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from fielddrift_core.catalog import Catalog
from fielddrift_core.cold_targets import ColdSends
from fielddrift_core.crashes import CrashHistory
from fielddrift_core.evacuations import Evacuations
from fielddrift_core.leaving import DrainWindow
from fielddrift_core.linkqueue import LinkQueue
from fielddrift_core.loading import LoadingEngines
from fielddrift_core.memory import EngineMemory
from fielddrift_core.pace import EngineSlowdowns
from fielddrift_core.readers import OPERATORS_POLL_SECONDS, ReadState
from fielddrift_core.rollout import EngineWeights, Naming, NamingTimes, VersionAge, upcoming_loads
from fielddrift_core.store_index import StoreIndex
from fielddrift_core.target_notices import TargetLimits, TargetPauses
from fielddrift_core.target_registry import Instance, TargetRegistry
from fielddrift_core.urgency import CallerWaits
from fielddrift_core.workload import Lateness, PeakRate, TargetHealth, Workload

from .ports import NamedWeights
from .rooms import ServiceQueues

__all__ = ["PAUSE_SECONDS", "EvacuationChange", "Placeable", "Views"]

FETCH_SECONDS = 2.0
"""A fetch that took longer is thrown away by the engine, and the prompt read:
no move is begun that would wait longer than that."""
PAUSE_SECONDS = 0.7
"""A tick that comes so much too late tells of a pause of this process or its host."""
_PLACEABLE_SECONDS = 0.05
"""How long the list of a service's engines is kept: each request needs it, it costs some
microseconds an engine, and loads that others tell of last for a second and more."""
_RETURN_SECONDS = 3.0
"""Time after a start in which callers come back who could not be served before: they
wait at most a second or two between tries."""


class Placeable(NamedTuple):
    """The engines of a service for one model, as known `at` a moment; `soon` load next."""

    state: tuple[object, ...]
    at: float
    engines: Sequence[EngineWeights]
    soon: frozenset[str]


class EvacuationChange(NamedTuple):
    """Data centres whose evacuation has begun, or is over, since the last look."""

    begun: frozenset[str]
    ended: frozenset[str]


class Views:
    """The node's views; loops write them, requests read them."""

    def __init__(self, *, began_at: float = float("-inf")) -> None:
        self.catalog: Catalog | None = None
        self.operators_row = 0
        """Version of the operators' rows that were read, on the platform's counter."""
        self.operators_at = float("-inf")
        """Loop time at which this node itself last had an answer about the operators' rows."""
        self.targets_row = 0
        """The same of the targets' entries."""
        self.targets_at = float("-inf")
        """Loop time at which this node itself last read the targets' entries."""
        self.named: dict[str, int] = {}
        """The newest named weights by model."""
        self.named_times = NamingTimes()
        self.registry = TargetRegistry()
        self.evacuations = Evacuations()
        self.cold = ColdSends()
        self.limits = TargetLimits()
        self.pauses = TargetPauses()
        self.workload = Workload()
        self.health = TargetHealth()
        self.store_index = StoreIndex()
        self.links = LinkQueue()
        self.lateness = Lateness()
        self.memory = EngineMemory()
        self.pace = EngineSlowdowns()
        self.loading = LoadingEngines()
        self.service_queues = ServiceQueues()
        self.crashes = CrashHistory()
        self.weights: dict[tuple[str, str], int] = {}
        """Weights by (instance, model), where newer than the instance's entry."""
        self.stale = asyncio.Event()
        """Set while this process woke from a pause and has not read anew."""
        self._ticked_at: float | None = None if began_at == float("-inf") else began_at
        self.nodes = 1
        """Nodes among which what all of them may do is shared out."""
        self.load = PeakRate()
        """Callers' requests that this node takes."""
        self.prompts = PeakRate()
        """Those of them that engines serve."""
        self.waits = CallerWaits()
        """How long callers have waited already."""
        self._weights_seen = 0
        self._placeable: dict[tuple[str, str], Placeable] = {}
        self._began_at = began_at
        self.leaving: DrainWindow | None = None
        """Set once this node was told to stop."""
        self._refreshed = asyncio.Event()
        self._clock: tuple[int, float] | None = None

    def heard_clock(self, clock: int | None, now: float) -> None:
        """Take what a target said of the engines' clock, in ms."""
        if clock is not None:
            self._clock = (clock, now)

    def until(self, moment: float) -> int | None:
        """Return the loop time `moment` in ms on the engines' clock, None when unknown."""
        if self._clock is None:
            return None
        clock, heard = self._clock
        return clock + int((moment - heard) * 1000)

    @property
    def ready(self) -> bool:
        """Return whether requests can be served."""
        return self.catalog is not None and len(self.registry) > 0

    def take_catalog(self, catalog: Catalog) -> bool:
        """Take a newer catalog; an older one is ignored."""
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return False
        self.catalog = catalog
        self.store_index.configure([s.store for s in catalog.stores if s.store is not None])
        return True

    def note_evacuations(self, now: float) -> EvacuationChange:
        """Bring the evacuations that are known into force; return what changed.

        Targets of a data centre that is back are taken for cold: they may have turned cold
        shortly before, which their entries tell only later.
        """
        before, after = self.registry.evacuated, self.evacuations.current(now)
        change = EvacuationChange(after - before, before - after)
        if after != before:
            self.registry.evacuate(after)
        for instance in self.registry.all() if change.ended else ():
            service = None if self.catalog is None else self.catalog.services.get(instance.service)
            if service is not None and instance.data_centre in change.ended:
                self.cold.presume(instance.name, service.cold_seconds, now)
        return change

    def take_weights(self, weights: NamedWeights, now: float) -> bool:
        """Take newer named weights; older ones are ignored."""
        if weights.version <= self.named.get(weights.model, 0):
            return False
        self.named[weights.model] = weights.version
        self.named_times.heard(weights.model, weights.version, now)
        return True

    def reading(self, now: float) -> ReadState:
        """Return how far this node itself has read."""
        # Who reads one of both and hangs with the other must not be relied on.
        age = max(now - self.targets_at, now - self.operators_at - OPERATORS_POLL_SECONDS)
        return ReadState(self.operators_row, self.targets_row, self.registry.serial, age)

    def heard_ages(self, ages: Iterable[VersionAge], now: float) -> None:
        """Take for how long another node has known named weights.

        What a node that was away hears late has been in force for longer.
        """
        for model, version, seconds in ages:
            self.named_times.heard(model, version, now - seconds)

    def outdated_seconds(self, model: str, weights: int, now: float) -> float:
        """Return for how long `weights` have not been the newest, 0 when they are."""
        naming = self.outdating(model, weights)
        return 0.0 if naming is None else now - naming.at

    def outdating(self, model: str, weights: int) -> Naming | None:
        """Return the first naming that outdated `weights`, None when they are the newest."""
        return self.named_times.first_newer(model, weights)

    def known_seconds(self, model: str, version: int, now: float) -> float:
        """Return for how long `version` has been known to anyone, 0 when it is not."""
        at = self.named_times.named_at(model, version)
        return 0.0 if at is None else now - at

    def engines(self, service: str, model: str, now: float) -> list[EngineWeights]:
        """Return the engines of `service` that take new work and whose weights are known."""
        return self.with_weights(self.registry.serving(service), model, now)

    def with_weights(
        self, instances: Iterable[Instance], model: str, now: float
    ) -> list[EngineWeights]:
        """Return those of `instances` whose weights are known."""
        found = []
        for instance in instances:
            weights = self.weights_of(instance.name, model)
            if weights is not None:
                loading = self.loading.seconds(instance.name, now) > 0
                outdated = self.outdated_seconds(model, weights, now)
                found.append(
                    EngineWeights(instance.name, instance.data_centre, weights, loading, outdated)
                )
        return found

    def placeable(self, service: str, model: str, now: float) -> Placeable:
        """Return the engines that new work is chosen among, and which of them load next."""
        named = self.named.get(model, 0)
        registry = self.registry
        state = (
            registry.serial,
            registry.evacuated,
            self._weights_seen,
            self.loading.changes,
            named,
        )
        known = self._placeable.get((service, model))
        if known is None or known.state != state or now - known.at > _PLACEABLE_SECONDS:
            engines = self.engines(service, model, now)
            soon = upcoming_loads(engines, wanted=named)
            known = self._placeable[(service, model)] = Placeable(state, now, engines, soon)
        return known

    def age(self, now: float) -> float:
        """Return the seconds since this node's start, without end where it is not known."""
        return now - self._began_at

    def just_started(self, now: float) -> bool:
        """Return whether most callers may be some who waited for this node to start."""
        return now - self._began_at < _RETURN_SECONDS

    def tick(self, now: float, *, rest: float) -> float:
        """Note that this process runs, as it does each `rest` seconds; return how late it is.

        So late that it must have been paused, what it believes is stale until it is read anew.
        """
        late = 0.0 if self._ticked_at is None else now - self._ticked_at - rest
        self._ticked_at = now
        if late > PAUSE_SECONDS:
            self.stale.set()
        return late

    def look(self, now: float) -> None:
        """Notice a pause of this process before its next tick does: a request came first."""
        if self._ticked_at is not None and now - self._ticked_at > 2 * PAUSE_SECONDS:
            self.stale.set()

    def current(self) -> None:
        """Note that the operators' rows were just read."""
        self.stale.clear()
        self._refreshed.set()

    async def refreshed(self, seconds: float) -> None:
        """Wait up to `seconds` for the operators' rows to be read again."""
        self._refreshed.clear()
        with contextlib.suppress(TimeoutError):
            # Unlike wait_for, this loses no cancel that comes with the news.
            async with asyncio.timeout(seconds):
                await self._refreshed.wait()

    def saw_weights(self, instance_name: str, model: str, version: int) -> None:
        """Note weights that an instance was seen to have; they only become newer."""
        key = (instance_name, model)
        if version > self.weights.get(key, 0):
            # The newest sighting stands last: heartbeats tell the last ones.
            self.weights.pop(key, None)
            self.weights[key] = version
            self._weights_seen += 1

    def weights_of(self, instance_name: str, model: str) -> int | None:
        """Return the version of `model` that an instance has, None when it has none."""
        instance = self.registry.get(instance_name)
        listed = instance.versions.get(model) if instance is not None else None
        learned = self.weights.get((instance_name, model))
        if listed is None:
            return learned
        return max(listed, learned or 0)
