"""Put what a node tells others into beats, and what others tell into its views.

Everyone hears of what keeps them from falling behind; what is sent to targets
concerns active nodes only, and what stores keep only those nearby.
"""

from __future__ import annotations

import asyncio

import structlog
from fielddrift_core.neighbours import Beat, Neighbours, Standing
from fielddrift_core.workload import Burden

from .views import Views

__all__ = ["Telling"]

_MOST_LEFT = 16
"""Leaving targets in one beat; a release replaces a few at a time."""
_MOST_WEIGHTS = 16
"""Engines whose new weights are told in one beat: more than load within one."""
_LONGEST_LOADING_SECONDS = 2.0
"""How long another node's word that an engine loads is believed at most."""

_log = structlog.get_logger()


class Telling:
    """Translate between this node's views and beats."""

    def __init__(self, *, views: Views, neighbours: Neighbours) -> None:
        self._views = views
        self._neighbours = neighbours

    def beat(self, standing: Standing, *, leaving: bool) -> Beat:
        """Return what to tell a node that stands so to this one."""
        beat = self._common(standing, leaving)
        if not standing.theirs:
            return beat
        views = self._views
        now = asyncio.get_running_loop().time()
        loading = {name: until - now for name, until in views.loading.items() if until > now}
        weights = list(views.weights.items())[-_MOST_WEIGHTS:]
        beat = beat._replace(
            burdens=views.workload.own(),
            loading=loading,
            weights=tuple((instance, model, version) for (instance, model), version in weights),
            moves=views.links.own(now),
        )
        if not standing.near:
            return beat
        return beat._replace(kept=views.shelf.marks(now), lateness=views.lateness.known(now))

    def heard(self, beat: Beat) -> None:
        """Take what another node tells."""
        views = self._views
        now = asyncio.get_running_loop().time()
        burdens = {target: Burden(*burden) for target, burden in beat.burdens.items()}
        views.workload.told(beat.node.name, burdens, now)
        views.heard_ages(beat.named_ages, now)
        views.links.told(beat.node.name, beat.moves, now)
        views.lateness.told(beat.lateness, now)
        for name in beat.left:
            self._heard_left(name, beat.node.name)
        for name, seconds in beat.loading.items():
            until = now + min(seconds, _LONGEST_LOADING_SECONDS)
            views.loading[name] = max(views.loading.get(name, 0.0), until)
        for instance, model, version in beat.weights:
            if version > views.weights.get((instance, model), 0):
                views.saw_weights(instance, model, version)
                views.loading.pop(instance, None)

    def _common(self, standing: Standing, leaving: bool) -> Beat:
        views = self._views
        now = asyncio.get_running_loop().time()
        return Beat(
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
            left=tuple(sorted(views.roster.leaving()))[:_MOST_LEFT],
            burdens={},
        )

    def _heard_left(self, name: str, told_by: str) -> None:
        roster = self._views.roster
        if name not in roster.leaving() and roster.get(name) is not None:
            _log.info("target leaving", target=name, told_by=told_by)
            roster.left(name)
