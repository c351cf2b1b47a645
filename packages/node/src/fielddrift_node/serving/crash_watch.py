"""See which requests end the targets that run them, refuse those, and tell the other nodes.

A run that its target's side breaks off says nothing by itself: an answer can be lost, a link
reset.  It counts only once the target is known to have ended: its port refuses connections,
another instance has its address, or its entry went soon after, unannounced.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import structlog
from fielddrift_core.crashes import CrashUpdate, HeldRequest
from fielddrift_core.errors import Ran
from fielddrift_core.lost_runs import LostRun, LostRuns
from fielddrift_core.neighbours import Neighbour, Neighbours
from fielddrift_core.target_registry import Instance

from ..web.client import Client, ExchangeError
from .call import Call, Refused
from .metrics import Metrics
from .views import Views

__all__ = ["CrashWatch"]

BROKEN_OFF = frozenset({"reset", "cut"})
"""Reasons of failed sends that an end of their target may explain."""
_REPLACED = "replaced"
_PROBE_REST_SECONDS = 0.05
"""Rest before a target is connected to: a process that ends closes its port within that time."""
_PROBE_SECONDS = 0.35
"""A connection within a region takes some ms; a lost opening packet is sent again after 1 s."""
_TICK_SECONDS = 0.25
_TELL_SECONDS = 1.0
"""Rest between what one random node is told: what datagrams lost, or a node that was cut off
or paused missed, is mended within a second or two, for one packet a second and node."""
_MOST_TOLD = 20
"""Entries of one datagram, some 60 bytes each."""
_YOUNG_SECONDS = 30.0
"""Age up to which news of requests that are not held back is told again each second."""
_WHOLE_SECONDS = 10.0
"""Rest between what is told whatever its age, to nodes that were cut off for longer."""

_log = structlog.get_logger()


class CrashWatch:
    """What this node knows of requests that end targets; the loop's thread only."""

    def __init__(
        self,
        *,
        views: Views,
        client: Client,
        neighbours: Neighbours,
        metrics: Metrics,
        rng: random.Random,
        tell: Callable[[CrashUpdate, Sequence[Neighbour]], None],
    ) -> None:
        self._views = views
        self._history = views.crashes
        self._client = client
        self._neighbours = neighbours
        self._metrics = metrics
        self._rng = rng
        self._tell = tell
        self._loop = asyncio.get_running_loop()
        self._lost = LostRuns()
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._known: dict[str, HeldRequest] = {}
        self._told_at = float("-inf")
        self._whole_at = float("-inf")

    # --- requests -------------------------------------------------------------------

    def check(self, call: Call) -> None:
        """Raise `Refused` for a request that is held back."""
        if not self._history.is_empty:
            self._refuse(call, self._history.held(call.fingerprint, self._loop.time()))

    def begin(self, call: Call) -> None:
        """Take that a request is about to be sent; raise `Refused` for one that is held back."""
        if not self._history.is_empty:
            self._refuse(call, self._history.admit(call.fingerprint, self._loop.time()))

    def _refuse(self, call: Call, held: HeldRequest | None) -> None:
        if held is None:
            return
        ran = Ran.UNKNOWN if call.trace.unproved else Ran.NO
        raise Refused(held.refusal(self._loop.time(), ran))

    def failed(self, call: Call, instance: Instance, reason: str, sent_at: float) -> None:
        """Take a send that failed once it had left."""
        name = instance.name
        if reason == _REPLACED:
            self._target_ended(name, "replaced")
        registry = self._views.registry
        if reason not in BROKEN_OFF or name in registry.leaving() or registry.get(name) is None:
            # One that is leaving, or whose entry went while it still served, ends as planned.
            return
        now = self._loop.time()
        run = LostRun(call.ask.request_id, call.fingerprint, name, now, now - sent_at)
        if self._lost.broke_off(run):
            self._count([run], "ended before")
        elif name not in self._probes:
            self._probes[name] = self._loop.create_task(self._probe(instance))

    def refused(self, instance: Instance) -> None:
        """Take that a connection to a target was refused."""
        self._target_ended(instance.name, "connection refused")

    def answered(self, call: Call, target: str, sent_at: float) -> None:
        """Take that a target answered a request whole."""
        if self._history.is_empty:
            return
        now = self._loop.time()
        if self._history.has_crashes(call.fingerprint) and self._history.clear(
            call.fingerprint, now
        ):
            self._changed(CrashUpdate(cleared=((call.fingerprint, 0.0),)))
        # It was sent after the target had been taken for ended.
        if self._history.ended_before(target, sent_at):
            self._history.record_alive(target, sent_at)
            self._lost.lives(target)
            self._changed(CrashUpdate(living=((target, now - sent_at),)))

    def lift(self, fingerprint: str) -> bool:
        """Let a request go, as an operator asks; return whether a crash was laid to it."""
        if not self._history.has_crashes(fingerprint):
            return False
        _log.info("request let go by an operator", fingerprint=fingerprint)
        self._history.clear(fingerprint, self._loop.time())
        self._changed(CrashUpdate(cleared=((fingerprint, 0.0),)))
        return True

    # --- targets --------------------------------------------------------------------

    async def _probe(self, instance: Instance) -> None:
        """Look whether anybody listens at the target's address."""
        try:
            await asyncio.sleep(_PROBE_REST_SECONDS)
            if instance.name in self._lost:
                # One that comes up is kept for a request to come.
                await self._client.connect(instance.address, seconds=_PROBE_SECONDS)
        except ExchangeError as error:
            if error.refused:
                self.refused(instance)
        finally:
            self._probes.pop(instance.name, None)

    def _target_ended(self, name: str, evidence: str) -> None:
        if runs := self._lost.ended(name, self._loop.time()):
            self._count(runs, evidence)

    def _count(self, runs: list[LostRun], evidence: str) -> None:
        """Lay the end of a target to the runs that broke off there, and tell the others."""
        now = self._loop.time()
        crashes = []
        for run in runs:
            if not self._history.record_crash(run.crash):
                continue
            crashes.append(run.crash._replace(at=now - run.at))
            self._metrics.crashes.inc()
            _log.info(
                "target ended under a request",
                request=run.request_id,
                fingerprint=run.fingerprint,
                target=run.target,
                evidence=evidence,
                ran_ms=round(run.ran * 1000),
                ended=len(self._history.crashes_of(run.fingerprint)),
            )
        self._changed(CrashUpdate(crashes=tuple(crashes)))

    # --- other nodes ----------------------------------------------------------------

    def heard(self, news: CrashUpdate) -> None:
        """Take what another node tells, and hand on what is news."""
        fresh = self._history.merge(news, self._loop.time())
        if not any((fresh.crashes, fresh.cleared, fresh.living)):
            return
        self._note_held()
        now = self._loop.time()
        near = news.data_centre == self._neighbours.me.data_centre
        nodes = self._neighbours.remote_contacts(now) if near else self._neighbours.near(now)
        self._send(fresh, nodes)

    def recent(self) -> CrashUpdate:
        """Return what a node that was away may lack."""
        now = self._loop.time()
        young = _YOUNG_SECONDS
        if now - self._whole_at > _WHOLE_SECONDS:
            # Who was cut off for longer than that.
            self._whole_at, young = now, float("inf")
        return self._history.update(now, limit=_MOST_TOLD, max_age=young)

    def greet(self, node: Neighbour) -> None:
        """Tell a node that is heard for the first time in its life."""
        self._send(self.recent(), [node])

    def _changed(self, news: CrashUpdate) -> None:
        self._note_held()
        now = self._loop.time()
        nodes = [*self._neighbours.near(now), *self._neighbours.remote_contacts(now)]
        self._send(news, nodes)

    def _send(self, news: CrashUpdate, nodes: Sequence[Neighbour]) -> None:
        own = news._replace(data_centre=self._neighbours.me.data_centre)
        for start in range(0, len(news.crashes), _MOST_TOLD):
            crashes = news.crashes[start : start + _MOST_TOLD]
            self._tell(own._replace(crashes=crashes, cleared=(), living=()), nodes)
        for start in range(0, max(len(news.cleared), len(news.living)), _MOST_TOLD):
            cleared = news.cleared[start : start + _MOST_TOLD]
            living = news.living[start : start + _MOST_TOLD]
            self._tell(own._replace(crashes=(), cleared=cleared, living=living), nodes)

    # --- by the clock -----------------------------------------------------------------

    async def run(self) -> None:
        """Settle doubts by the list of targets, and tell what others may lack, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = self._loop.time()
            self._settle(now)
            if self._history.has_updates:
                self._history.expire(now)
                self._note_held()
                self._tell_one(now)

    def _settle(self, now: float) -> None:
        for name in self._lost.targets:
            if self._views.registry.get(name) is None:
                self._target_ended(name, "entry ended")
        self._lost.expire(now)

    def _tell_one(self, now: float) -> None:
        if now - self._told_at < _TELL_SECONDS:
            return
        self._told_at = now
        nodes = [*self._neighbours.near(now), *self._neighbours.remote_contacts(now)]
        if nodes:
            self._send(self.recent(), [self._rng.choice(nodes)])

    def _note_held(self) -> None:
        """Log which requests are held back anew, for longer, or no more."""
        now = self._loop.time()
        held = {each.fingerprint: each for each in self._history.all_held(now)}
        if held == self._known:
            return
        for name, each in held.items():
            if self._known.get(name) != each:
                _log.warning(
                    "request held back",
                    fingerprint=name,
                    targets=list(each.targets),
                    seconds=round(each.until - now, 1),
                )
        for name in self._known.keys() - held.keys():
            over = self._history.has_crashes(name)
            _log.info("request let go", fingerprint=name, reason="over" if over else "cleared")
        self._known = held
        self._metrics.held_back.set(len(held))
