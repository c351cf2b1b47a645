"""Hold back, on the node's own interface, requests that end the targets that run them.

What is known is `fielddrift_core.crashes`; peers tell each other with each probe, and a row
a request keeps it in the platform's table, timed by the hosts' time of day.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
from fielddrift_core.crashes import Crash, CrashHistory, CrashUpdate, HeldRequest
from fielddrift_core.errors import Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError, Row, Table, Transaction, Write
from fielddrift_core.lost_runs import LostRun, LostRuns
from fielddrift_core.model import Target
from fielddrift_core.target_registry import instance_name, target_id

from . import clock
from .log import get
from .metrics import Metrics

__all__ = ["CRASH_PREFIX", "CRASH_TURN_SECONDS", "CrashDesk"]

CRASH_PREFIX = "crash/"
CRASH_TURN_SECONDS = 0.25
_PROBE_REST_SECONDS = 0.05
"""Rest before a target is connected to: a process that ends closes its port within that time."""
_PROBE_SECONDS = 0.35
"""A connection within a region takes some ms; a lost opening packet is sent again after 1 s."""
_MOST_TOLD = 20
"""Entries of one message to a peer, some 60 bytes each."""
_YOUNG_SECONDS = 30.0
"""Age up to which news of requests that are not held back is told again with each probe."""
_WHOLE_SECONDS = 10.0
"""Rest between what is told whatever its age, to nodes that were cut off for longer."""
_MOST_ROWS = 1000


class _SavedCrash(NamedTuple):
    target: str
    at: float
    ran: float


class CrashDesk:
    """Which requests this node holds back, and what it knows of their crashes.  Safe for threads.

    `changed` is called when there is news for the peers.
    """

    def __init__(
        self,
        *,
        table: Table,
        pool: ThreadPoolExecutor,
        metrics: Metrics,
        changed: Callable[[], None],
        clock: Callable[[], float] = clock.now,
    ) -> None:
        self._table = table
        self._pool = pool
        self._metrics = metrics
        self._changed = changed
        self._clock = clock
        self._history = CrashHistory()
        self._lost = LostRuns()
        self._probed: set[str] = set()
        """Targets that are about to be looked at."""
        self._known: dict[str, HeldRequest] = {}
        self._unsaved: set[str] = set()
        """Requests whose rows this node is to write."""
        self._rows: set[str] = set()
        """Requests whose rows this node has written or read."""
        self._whole_at = float("-inf")
        self._lock = threading.Lock()

    # --- requests -------------------------------------------------------------

    @property
    def is_empty(self) -> bool:
        """Return whether no crash is remembered."""
        return self._history.is_empty

    def check(
        self, fingerprint: str, *, sending: bool = False, sure: bool = True
    ) -> Refusal | None:
        """Return the refusal of a request that is held back, None where it may go on.

        `sending` says that it is about to be sent, `sure` that no earlier send may have run.
        """
        now = self._clock()
        with self._lock:
            history = self._history
            held = (history.admit if sending else history.held)(fingerprint, now)
        if held is None:
            return None
        return held.refusal(now, Ran.NO if sure else Ran.UNKNOWN)

    def life(self, target: str, epoch: int) -> str:
        """Return the name of the life of `target` that runs now; `epoch` 0 where it is not told."""
        with self._lock:
            number = epoch or self._history.ended_instances(target)
        return instance_name(target, number)

    def broke_off(self, run: LostRun, target: Target) -> None:
        """Take a run that its target's side broke off."""
        with self._lock:
            ended = self._lost.add(run)
            # One that is under way will tell of this run as well.
            looks = ended or run.target in self._probed
            if not looks:
                self._probed.add(run.target)
        if ended:
            self._count([run], "ended before")
        elif not looks:
            self._pool.submit(self._probe, run.target, target.address)

    def refused(self, life: str) -> None:
        """Take that a connection to a target, in its life as far as it is known, was refused."""
        self._ended(life, "connection refused")

    def answered(self, fingerprint: str, life: str, sent_at: float) -> None:
        """Take that a target answered a request whole that was sent at `sent_at`."""
        now = self._clock()
        with self._lock:
            history = self._history
            if history.is_empty:
                return
            news = history.has_crashes(fingerprint) and history.clear(fingerprint, now)
            if history.ended_before(life, sent_at):
                self._lost.cancel_end(life)
                news |= history.record_alive(life, sent_at)
        if news:
            self._note_held()
            self._changed()

    def lift(self, fingerprint: str) -> bool:
        """Let a request go, as an operator asks; return whether a crash was laid to it."""
        with self._lock:
            if not self._history.has_crashes(fingerprint):
                return False
            self._history.clear(fingerprint, self._clock())
        get().info("request let go by an operator", fingerprint=fingerprint)
        self._note_held()
        self._changed()
        return True

    def held(self) -> list[tuple[HeldRequest, float]]:
        """Return all that is held back, and for how many seconds more."""
        now = self._clock()
        with self._lock:
            return [(held, held.until - now) for held in self._history.all_held(now)]

    # --- targets --------------------------------------------------------------

    def heard_life(self, name: str, life: str) -> None:
        """Take that the target called `name` answers in the life called `life`."""
        with self._lock:
            former = [t for t in self._lost.targets if target_id(t) == name and t != life]
        for each in former:
            self._ended(each, "replaced")

    def _probe(self, life: str, address: str) -> None:
        """Look whether anybody listens at the target's address."""
        time.sleep(_PROBE_REST_SECONDS)
        with self._lock:
            # A run that breaks off from here on asks for a look of its own.
            self._probed.discard(life)
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout=_PROBE_SECONDS).close()
        except ConnectionRefusedError:
            self.refused(life)
        except OSError as error:
            get().debug("target not reached", target=life, error=str(error))

    def _ended(self, life: str, evidence: str) -> None:
        with self._lock:
            runs = self._lost.ended(life, self._clock())
        if runs:
            self._count(runs, evidence)

    def _count(self, runs: list[LostRun], evidence: str) -> None:
        """Lay the end of a target to the runs that broke off there, and tell the peers."""
        for run in runs:
            with self._lock:
                news = self._history.record_crash(run.crash)
                ended = len(self._history.crashes_of(run.fingerprint))
                if run.fingerprint in self._history.suspects:
                    self._unsaved.add(run.fingerprint)
            if not news:
                continue
            self._metrics.add("crashes")
            get().info(
                "target ended under a request",
                request=run.request_id,
                fingerprint=run.fingerprint,
                target=run.target,
                evidence=evidence,
                ran_ms=round(run.ran * 1000),
                ended=ended,
            )
        self._note_held()
        self._changed()

    # --- peers ----------------------------------------------------------------

    def take(self, news: CrashUpdate) -> bool:
        """Take what a peer tells; return whether any of it is news."""
        with self._lock:
            fresh = self._history.merge(news, self._clock())
        self._note_held()
        return any((fresh.crashes, fresh.cleared, fresh.living))

    def recent(self) -> CrashUpdate:
        """Return what a peer may lack."""
        now = self._clock()
        young = _YOUNG_SECONDS
        if now - self._whole_at > _WHOLE_SECONDS:
            # Who was cut off for longer than that.
            self._whole_at, young = now, float("inf")
        with self._lock:
            return self._history.update(now, limit=_MOST_TOLD, max_age=young)

    # --- rounds ---------------------------------------------------------------

    def turn(self) -> None:
        """Forget what is over, and save what changed; raise `ExternalSystemError`."""
        now = self._clock()
        with self._lock:
            self._lost.expire(now)
            self._history.expire(now)
            over = self._rows - self._history.suspects
            unsaved = sorted(self._unsaved | over)
        self._note_held()
        for fingerprint in unsaved:
            self._save(fingerprint)

    def _save(self, fingerprint: str) -> None:
        with self._lock:
            self._unsaved.discard(fingerprint)
            self._rows.discard(fingerprint)
            suspect = fingerprint in self._history.suspects
            crashes = self._history.crashes_of(fingerprint) if suspect else ()
            ago = self._clock()
        day = time.time()
        saved = [_SavedCrash(crash.target, day - (ago - crash.at), crash.ran) for crash in crashes]
        value = msgspec.json.encode(saved).decode() if saved else None
        try:
            self._table.commit(Transaction((Write(CRASH_PREFIX + fingerprint, value),)))
        except ExternalSystemError:
            with self._lock:
                self._unsaved.add(fingerprint)
            raise
        if saved:
            with self._lock:
                self._rows.add(fingerprint)
        get().info("crashes saved", fingerprint=fingerprint, crashes=len(saved))

    def restore(self) -> None:
        """Read at the start what nodes before this one have saved; raise `ExternalSystemError`."""
        rows = self._table.scan(CRASH_PREFIX, CRASH_PREFIX, _MOST_ROWS)
        for row in rows:
            self._take_row(row)
        if rows:
            get().info("crashes read", requests=[row.key for row in rows])
            self._note_held()

    def _take_row(self, row: Row) -> None:
        fingerprint = row.key.removeprefix(CRASH_PREFIX)
        try:
            saved = msgspec.json.decode(row.value, type=list[_SavedCrash])
        except msgspec.DecodeError as error:
            get().error("row of crashes not understood", row=row.key, error=str(error))
            saved = []
        now, day = self._clock(), time.time()
        with self._lock:
            for target, at, ran in saved:
                self._history.record_crash(Crash(fingerprint, target, now - (day - at), ran))
            self._history.expire(now)
            # What is over, or was never whole, goes with the next turn.
            self._rows.add(fingerprint)

    def _note_held(self) -> None:
        """Log which requests are held back anew, for longer, or no more."""
        now = self._clock()
        with self._lock:
            held = {each.fingerprint: each for each in self._history.all_held(now)}
            known, self._known = self._known, held
            gone = {n: self._history.has_crashes(n) for n in known.keys() - held.keys()}
        for name, each in held.items():
            if known.get(name) != each:
                get().warning(
                    "request held back",
                    fingerprint=name,
                    targets=list(each.targets),
                    seconds=round(each.until - now, 1),
                )
        for name, over in gone.items():
            reason = "over" if over else "cleared"
            get().info("request let go", fingerprint=name, reason=reason)
        self._metrics.gauge("crashes.held_back", len(held))
