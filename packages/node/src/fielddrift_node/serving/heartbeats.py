"""Encode this node's views into heartbeats, and apply the heartbeats of other nodes to its views.

All nodes get the versions by which they detect that they are behind. Only active nodes get the load
on targets, and only those of the same data centre get how far the stores were read. A relay sends
other data centres the totals of its own data centre, and which processes the stores are.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping

import structlog
from fielddrift_core.brittle_services import BrittleReport
from fielddrift_core.evacuations import EVACUATIONS_NAME
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Relation, StorePosition
from fielddrift_core.outside_values import COUNT, ValueOutOfRange
from fielddrift_core.relays import DataCentreSize, size_entry_name
from fielddrift_core.responsiveness import SilenceReport
from fielddrift_core.store_index import StoreConfirmation
from fielddrift_core.target_notices import LimitReport
from fielddrift_core.workload import Burden

from .left_out import left_out_values
from .notices import log_brittle, log_limit
from .views import Views

__all__ = ["HeartbeatTranslator"]

_MAX_LEAVING_COUNT = 16
"""Leaving targets per heartbeat: a release replaces a few at a time. If more are leaving, such as a
whole data centre, successive heartbeats list them in turn."""
_MAX_WEIGHTS_COUNT = 16
"""Engines per heartbeat whose new weights are reported; fewer than this load within one period."""
_MAX_LIMIT_COUNT = 16
"""Target limits per heartbeat, newest first; their owners renew them with each answer."""
_LIMIT_PREFIX = "limit:"
"""Prefix of the names under which limits are sent among the loads of targets. Nodes of the previous
release would reject the whole heartbeat if it had an additional field."""
_MAX_SILENT_COUNT = 16
"""Unresponsive targets per heartbeat; successive heartbeats list any further ones in turn."""
_SILENT_PREFIX = "silent:"
"""Prefix of the names under which unresponsive targets are sent among the loads of targets, as for
limits."""
_BRITTLE_PREFIX = "brittle:"
"""Prefix of the names under which brittle services are sent among the loads of targets."""
_DISCONNECTED_NAME = "disconnected"
"""Name of the entry among the loads of targets by which a node says that it reaches no target."""
_CONFIRMATION_PREFIX = "confirmed:"
"""Prefix of the names under which the confirmations of stores are sent among the positions in their
event streams.  Nodes of the previous release, which would reject a longer position, know no store
of such a name."""
_MAX_LOADING_SECONDS = 2.0
"""Maximum time for which another node's report that an engine is loading is trusted."""

_log = structlog.get_logger()


class HeartbeatTranslator:
    """Translates between this node's views and heartbeats."""

    def __init__(self, *, views: Views, neighbours: Neighbours) -> None:
        self._views = views
        self._neighbours = neighbours
        self._next_leaving_index = 0
        """Position among the leaving targets at which the next heartbeat continues."""
        self._boots: dict[str, int] = {}
        """The process of each nearby node whose sends were last reported."""

    def heartbeat(self, relation: Relation, *, leaving: bool) -> Heartbeat:
        """Return the heartbeat for a node with the given `relation` towards this one."""
        heartbeat = self._base_heartbeat(relation, leaving)
        if not relation.peer_active:
            return heartbeat
        views = self._views
        now = asyncio.get_running_loop().time()
        weights = tuple(views.weights.newest(_MAX_WEIGHTS_COUNT))
        if not relation.near:
            return self._add_data_centre_totals(heartbeat._replace(weights=weights), now)
        return heartbeat._replace(
            weights=weights,
            burdens=views.workload.own() | dict(heartbeat.burdens),
            loading=views.loading.own(now),
            moves=views.links.own(now),
            kept=views.store_index.marks(now) | self._confirmations(own=True),
            lateness=views.lateness.own(now),
        )

    def _add_data_centre_totals(self, heartbeat: Heartbeat, now: float) -> Heartbeat:
        """Return `heartbeat` with the totals of this node's data centre, for other data centres."""
        views, neighbours = self._views, self._neighbours
        nodes = [node.name for node in neighbours.nearby_active(now)]
        size = neighbours.size(now)
        burdens = views.workload.total(nodes, now)
        name = size_entry_name(neighbours.me.data_centre)
        burdens[name] = Burden(running=size.active, memory=size.alive)
        burdens |= heartbeat.burdens
        return heartbeat._replace(
            burdens=burdens,
            loading=views.loading.in_data_centre(now),
            moves=views.links.total(nodes, now),
            kept=self._confirmations(own=False),
        )

    def heard(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of another node to the views."""
        views = self._views
        now = asyncio.get_running_loop().time()
        data_centre = heartbeat.node.data_centre
        is_remote = data_centre != self._neighbours.me.data_centre
        # Both relays of a data centre report the same sends.
        reporter = data_centre if is_remote else heartbeat.node.name
        burdens = dict(heartbeat.burdens)
        burdens.pop(EVACUATIONS_NAME, None)
        disconnected = burdens.pop(_DISCONNECTED_NAME, None) is not None
        self._neighbours.set_disconnected(heartbeat.node.name, disconnected)
        for name in [name for name in burdens if name.startswith(_LIMIT_PREFIX)]:
            self._apply_limit(name, burdens.pop(name), heartbeat.node.name)
        for name in [name for name in burdens if name.startswith(_BRITTLE_PREFIX)]:
            self._apply_brittle(name, burdens.pop(name), heartbeat.node.name)
        silences = [
            _decode_silence(name, burdens.pop(name))
            for name in list(burdens)
            if name.startswith(_SILENT_PREFIX)
        ]
        size = burdens.pop(size_entry_name(data_centre), None)
        if size is not None:
            self._neighbours.set_size(data_centre, DataCentreSize(size.running, size.memory))
        for name in [name for name, each in burdens.items() if abs(each.memory) > COUNT.maximum]:
            # The sum of several such loads would be too large for a message.
            error = ValueOutOfRange("memory", burdens.pop(name).memory, f"{COUNT}")
            left_out_values.note("load", name, error)
        self._apply_silences(heartbeat.node.name, [s for s in silences if s is not None], now)
        if not is_remote:
            self._apply_progress(
                heartbeat.node, burdens, {s.target for s in silences if s is not None}, now
            )
        if views.workload.update_node(reporter, burdens, now):
            # True if capacity was freed: waiting requests evaluate all engines again.
            views.service_queues.wake_all()
        views.plain_queues.wake_all()
        for name, entry in heartbeat.kept.items():
            if name.startswith(_CONFIRMATION_PREFIX):
                store = name.removeprefix(_CONFIRMATION_PREFIX)
                self._apply_confirmation(store, entry, heartbeat.node.name)
        views.record_version_ages(heartbeat.named_ages, now)
        views.links.update_node(reporter, heartbeat.moves, now)
        views.lateness.merge_reported(heartbeat.lateness, now)
        for name in heartbeat.left:
            self._apply_leaving(name, heartbeat.node.name)
        for name, seconds in heartbeat.loading.items():
            until = now + min(seconds, _MAX_LOADING_SECONDS)
            views.loading.record_reported(name, until, remote=is_remote)
        for instance, model, version in heartbeat.weights:
            if views.weights.hear(instance, model, version, now):
                views.loading.ended(instance)

    def _base_heartbeat(self, relation: Relation, leaving: bool) -> Heartbeat:
        views = self._views
        now = asyncio.get_running_loop().time()
        return Heartbeat(
            node=self._neighbours.me,
            ready=views.ready,
            leaving=leaving,
            active=self._neighbours.is_active(now),
            load=views.load.value(now),
            period=self._neighbours.period(relation, now),
            catalog=0 if views.catalog is None else views.catalog.version,
            named=dict(views.named),
            named_ages=views.named_times.ages(now),
            reading=views.read_state(now),
            left=self._leaving_slice(),
            burdens=self._extra_entries(),
        )

    def _confirmations(self, *, own: bool) -> dict[str, StorePosition]:
        """Return what stores told of their processes; with `own` those that this node reads.

        A position holds the time of the last answer in place of an event, and as its age the
        seconds from the first answer to the last one.
        """
        return {
            f"{_CONFIRMATION_PREFIX}{store}": StorePosition(
                found.life, found.last, (found.last - found.first) / 1000
            )
            for store, found in self._views.store_index.confirmations(own=own).items()
        }

    def _apply_confirmation(self, store: str, entry: StorePosition, told_by: str) -> None:
        view = self._views.store_index.view(store)
        if view is None:
            return
        now = asyncio.get_running_loop().time()
        self._views.record_engine_clock(entry.following, now)
        before, first = view.life, entry.following - round(entry.age * 1000)
        if view.confirm(StoreConfirmation(entry.life, first, entry.following)):
            _log.info(
                "store view dropped", store=store, life=entry.life, before=before, told_by=told_by
            )

    def _leaving_slice(self) -> tuple[str, ...]:
        """Return the leaving targets that the next heartbeat lists."""
        leaving = sorted(self._views.registry.leaving())
        if len(leaving) <= _MAX_LEAVING_COUNT:
            return tuple(leaving)
        first = self._next_leaving_index % len(leaving)
        self._next_leaving_index = first + _MAX_LEAVING_COUNT
        return tuple((leaving + leaving)[first : first + _MAX_LEAVING_COUNT])

    def _extra_entries(self) -> dict[str, Burden]:
        """Return the entries with reserved names.

        They are the version of the evacuations, whether this node reaches no target, the limits,
        the brittle services, and the unresponsive targets.
        """
        row = self._views.evacuations.row
        marks = {EVACUATIONS_NAME: Burden(memory=row)} if row else {}
        if self._neighbours.is_disconnected():
            marks[_DISCONNECTED_NAME] = Burden(running=1)
        now = asyncio.get_running_loop().time()
        for word in self._views.limits.words(now, _MAX_LIMIT_COUNT):
            marks[_LIMIT_PREFIX + word.target] = _encode_limit(word)
        for brittle in self._views.brittle.reports(now):
            age_ms = round(brittle.age * 1000)
            entry = Burden(running=1, unread=age_ms, memory=brittle.tolerance)
            marks[_BRITTLE_PREFIX + brittle.service] = entry
        for report in self._views.responsiveness.reports(now, _MAX_SILENT_COUNT):
            age_ms = round(report.age * 1000)
            marks[_SILENT_PREFIX + report.target] = Burden(running=1, unread=age_ms)
        return marks

    def _apply_limit(self, name: str, entry: Burden, told_by: str) -> None:
        word = _decode_limit(name, entry)
        now = asyncio.get_running_loop().time()
        if word is not None and self._views.limits.merge(word, now):
            log_limit(word.target, word.rate, told_by)

    def _apply_brittle(self, name: str, entry: Burden, told_by: str) -> None:
        """Apply a report that a service is brittle; a sum of several nodes' reports is ignored."""
        service = name.removeprefix(_BRITTLE_PREFIX)
        now = asyncio.get_running_loop().time()
        if not _is_single(entry):
            return
        report = BrittleReport(service, entry.memory, _age_seconds(entry))
        if self._views.brittle.merge(report, now):
            log_brittle(service, report.tolerance, told_by)

    def _apply_silences(self, reporter: str, silences: list[SilenceReport], now: float) -> None:
        for silence in silences:
            self._views.responsiveness.merge(reporter, silence, now, nodes=self._views.nodes)

    def _apply_progress(
        self, node: Neighbour, burdens: Mapping[str, Burden], silent: Collection[str], now: float
    ) -> None:
        """Record at which targets requests of a nearby node have progressed.

        A node that finds a target silent takes its requests away from it, which is no progress.
        Nor is the end of a node's process, with which its requests end.
        The totals of other data centres do not tell one from the other: a relay reports only what
        it finds `silent` itself, and the two relays' totals differ at any time.
        """
        former, self._boots[node.name] = self._boots.get(node.name), node.boot
        if former not in (None, node.boot):
            return
        for target in self._views.workload.progressed(node.name, burdens):
            if target not in silent:
                self._views.responsiveness.progressed_elsewhere(target, now)

    def _apply_leaving(self, name: str, told_by: str) -> None:
        registry = self._views.registry
        if name not in registry.leaving() and registry.get(name) is not None:
            _log.info("target leaving", target=name, told_by=told_by)
        # Recorded even if this node has not read the target's entry yet.
        registry.left(name)


def _is_single(entry: Burden) -> bool:
    """Return whether a load with a reserved name is the report of one node, and not a sum."""
    return entry.running == 1 and entry.memory >= 0


def _age_seconds(entry: Burden) -> float:
    """Return the age that a report's load holds in ms; nothing was told later than now."""
    return max(0, entry.unread) / 1000


def _encode_limit(word: LimitReport) -> Burden:
    """Encode a limit as a load: its age in ms, and its rate in thousandths of a request per second
    plus one, 0 for no limit."""
    rate = 0 if word.rate is None else 1 + round(word.rate * 1000)
    return Burden(running=1, unread=round(word.age * 1000), memory=rate)


def _decode_silence(name: str, entry: Burden) -> SilenceReport | None:
    """Decode a report from a load; return None for a sum, as for a limit."""
    if not _is_single(entry):
        return None
    return SilenceReport(name.removeprefix(_SILENT_PREFIX), _age_seconds(entry))


def _decode_limit(name: str, entry: Burden) -> LimitReport | None:
    """Decode a limit from a load; return None for a sum of the limits of several nodes.

    A relay of the previous release takes limits for loads and adds up those of its neighbours.
    """
    if not _is_single(entry):
        return None
    rate = (entry.memory - 1) / 1000 if entry.memory else None
    return LimitReport(name.removeprefix(_LIMIT_PREFIX), rate, _age_seconds(entry))
