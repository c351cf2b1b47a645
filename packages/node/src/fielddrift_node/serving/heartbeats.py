"""Put what a node tells others into heartbeats, and what others tell into its views.

Everyone hears of what keeps them from falling behind; what is sent to targets
concerns active nodes only, and what stores keep only those nearby.  Other data centres
hear from a relay what its whole data centre sends.
"""

from __future__ import annotations

import asyncio

import structlog
from fielddrift_core.evacuations import EVACUATIONS_NAME
from fielddrift_core.neighbours import Heartbeat, Neighbours, Relation
from fielddrift_core.relays import DataCentreSize, size_entry_name
from fielddrift_core.target_notices import LimitWord
from fielddrift_core.workload import Burden

from .notices import log_limit
from .views import Views

__all__ = ["HeartbeatTranslator"]

_MOST_LEFT = 16
"""Leaving targets in one heartbeat: a release replaces a few at a time.  Where more leave, as
with a whole data centre, heartbeats tell of them in turn."""
_MOST_WEIGHTS = 16
"""Engines whose new weights are told in one heartbeat: more than load within one."""
_MOST_LIMITS = 16
"""Limits of targets in one heartbeat, the newest words: owners renew them with each answer."""
_LIMIT_PREFIX = "limit:"
"""Begins the names among the loads of targets under which heartbeats tell of limits: a field of
its own would have nodes of the release before refuse the whole heartbeat."""
_LONGEST_LOADING_SECONDS = 2.0
"""How long another node's word that an engine loads is believed at most."""

_log = structlog.get_logger()


class HeartbeatTranslator:
    """Translate between this node's views and heartbeats."""

    def __init__(self, *, views: Views, neighbours: Neighbours) -> None:
        self._views = views
        self._neighbours = neighbours
        self._next_left = 0
        """Where the next heartbeat goes on among the leaving targets."""

    def heartbeat(self, standing: Relation, *, leaving: bool) -> Heartbeat:
        """Return what to tell a node that stands so to this one."""
        heartbeat = self._common(standing, leaving)
        if not standing.peer_active:
            return heartbeat
        views = self._views
        now = asyncio.get_running_loop().time()
        weights = list(views.weights.items())[-_MOST_WEIGHTS:]
        heartbeat = heartbeat._replace(
            weights=tuple((instance, model, version) for (instance, model), version in weights),
        )
        if not standing.near:
            return self._for_remote(heartbeat, now)
        return heartbeat._replace(
            burdens=views.workload.own() | self._marks(),
            loading=views.loading.own(now),
            moves=views.links.own(now),
            kept=views.store_index.marks(now),
            lateness=views.lateness.own(now),
        )

    def _for_remote(self, heartbeat: Heartbeat, now: float) -> Heartbeat:
        """Return `heartbeat` with what this node's whole data centre tells others."""
        views, neighbours = self._views, self._neighbours
        nodes = [node.name for node in neighbours.nearby_active(now)]
        size = neighbours.size(now)
        burdens = views.workload.total(nodes, now)
        name = size_entry_name(neighbours.me.data_centre)
        burdens[name] = Burden(running=size.active, memory=size.alive)
        burdens |= self._marks()
        return heartbeat._replace(
            burdens=burdens,
            loading=views.loading.in_data_centre(now),
            moves=views.links.total(nodes, now),
        )

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take what another node tells."""
        views = self._views
        now = asyncio.get_running_loop().time()
        centre = heartbeat.node.data_centre
        remote = centre != self._neighbours.me.data_centre
        # Both relays of a data centre tell of the same sends.
        teller = centre if remote else heartbeat.node.name
        burdens = {target: Burden(*burden) for target, burden in heartbeat.burdens.items()}
        burdens.pop(EVACUATIONS_NAME, None)
        for name in [name for name in burdens if name.startswith(_LIMIT_PREFIX)]:
            self._heard_limit(name, burdens.pop(name), heartbeat.node.name)
        size = burdens.pop(size_entry_name(centre), None)
        if size is not None:
            self._neighbours.set_size(centre, DataCentreSize(size.running, size.memory))
        if views.workload.update_node(teller, burdens, now):
            # Only then is there more room than before: who waits weighs all engines anew.
            views.service_queues.wake_all()
        views.heard_ages(heartbeat.named_ages, now)
        views.links.update_node(teller, heartbeat.moves, now)
        views.lateness.merge_reported(heartbeat.lateness, now)
        for name in heartbeat.left:
            self._heard_left(name, heartbeat.node.name)
        for name, seconds in heartbeat.loading.items():
            until = now + min(seconds, _LONGEST_LOADING_SECONDS)
            views.loading.record_reported(name, until, remote=remote)
        for instance, model, version in heartbeat.weights:
            if version > views.weights.get((instance, model), 0):
                views.saw_weights(instance, model, version)
                views.loading.ended(instance)

    def _common(self, standing: Relation, leaving: bool) -> Heartbeat:
        views = self._views
        now = asyncio.get_running_loop().time()
        return Heartbeat(
            node=self._neighbours.me,
            ready=views.ready,
            leaving=leaving,
            active=self._neighbours.is_active(now),
            load=views.load.value(now),
            period=self._neighbours.period(standing, now),
            catalog=0 if views.catalog is None else views.catalog.version,
            named=dict(views.named),
            named_ages=views.named_times.ages(now),
            reading=views.reading(now),
            left=self._left(),
            burdens=self._marks(),
        )

    def _left(self) -> tuple[str, ...]:
        """Return the leaving targets that the next heartbeat tells of."""
        leaving = sorted(self._views.registry.leaving())
        if len(leaving) <= _MOST_LEFT:
            return tuple(leaving)
        first = self._next_left % len(leaving)
        self._next_left = first + _MOST_LEFT
        return tuple((leaving + leaving)[first : first + _MOST_LEFT])

    def _marks(self) -> dict[str, Burden]:
        """Return how far this node knows evacuations, and limits, under names kept for them."""
        row = self._views.evacuations.row
        marks = {EVACUATIONS_NAME: Burden(memory=row)} if row else {}
        now = asyncio.get_running_loop().time()
        for word in self._views.limits.words(now, _MOST_LIMITS):
            marks[_LIMIT_PREFIX + word.target] = _limit_mark(word)
        return marks

    def _heard_limit(self, name: str, mark: Burden, told_by: str) -> None:
        word = _limit_word(name, mark)
        now = asyncio.get_running_loop().time()
        if word is not None and self._views.limits.told(word, now):
            log_limit(word.target, word.rate, told_by)

    def _heard_left(self, name: str, told_by: str) -> None:
        registry = self._views.registry
        if name not in registry.leaving() and registry.get(name) is not None:
            _log.info("target leaving", target=name, told_by=told_by)
        # Also where this node has not read its entry yet.
        registry.left(name)


def _limit_mark(word: LimitWord) -> Burden:
    """Return a word as a load: its age in ms, and a thousandth of a request a second more than
    the rate, 0 for none."""
    rate = 0 if word.rate is None else 1 + round(word.rate * 1000)
    return Burden(running=1, unread=round(word.age * 1000), memory=rate)


def _limit_word(name: str, mark: Burden) -> LimitWord | None:
    """Return the word in a load, None for the sum of several nodes' words.

    A relay of the release before takes words for loads, and adds up its neighbours'.
    """
    if mark.running != 1:
        return None
    rate = (mark.memory - 1) / 1000 if mark.memory else None
    return LimitWord(name.removeprefix(_LIMIT_PREFIX), rate, mark.unread / 1000)
