"""Hold back requests on the node's own interface that crash the targets running them.

The records are those of `fielddrift_core.crashes`. Peers exchange them with each probe. The
platform's table keeps one row per request, with timestamps of the hosts' wall clocks.
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
_PROBE_DELAY_SECONDS = 0.05
"""Delay before the target is probed: a crashing process closes its port within this time."""
_PROBE_TIMEOUT_SECONDS = 0.35
"""Connect timeout. A connection within a region takes some ms; a lost SYN is resent after 1 s."""
_MAX_ENTRY_COUNT = 20
"""Entries per message to a peer; an entry takes about 60 bytes."""
_MAX_UPDATE_AGE_SECONDS = 30.0
"""Maximum age of entries repeated with each probe on requests that are not held back."""
_FULL_UPDATE_INTERVAL_SECONDS = 10.0
"""Interval between updates without an age limit, for nodes that were disconnected for longer."""
_MAX_ROW_COUNT = 1000


class _SavedCrash(NamedTuple):
    target: str
    at: float
    ran: float


class CrashDesk:
    """Crash records of this node, and the checks based on them.  Thread-safe.

    `changed` is called when there are new records to send to the peers.
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
        self._lost_runs = LostRuns()
        self._probing: set[str] = set()
        """Targets that are about to be probed."""
        self._logged_holds: dict[str, HeldRequest] = {}
        self._unsaved: set[str] = set()
        """Requests whose rows this node has yet to write or delete."""
        self._stored: set[str] = set()
        """Requests whose rows this node has written, or read at the start."""
        self._full_update_at = float("-inf")
        self._lock = threading.Lock()

    # --- requests -------------------------------------------------------------

    @property
    def is_empty(self) -> bool:
        """Return whether there are no crash records."""
        return self._history.is_empty

    def check(
        self, fingerprint: str, *, sending: bool = False, sure: bool = True
    ) -> Refusal | None:
        """Return the refusal of a request that is held back, None if it may proceed.

        `sending` is true if the request is about to be sent, `sure` if no earlier send of it can
        have run.
        """
        now = self._clock()
        with self._lock:
            history = self._history
            held = (history.admit if sending else history.held)(fingerprint, now)
        if held is None:
            return None
        return held.refusal(now, Ran.NO if sure else Ran.UNKNOWN)

    def life(self, target: str, epoch: int) -> str:
        """Return the name of the current process instance of `target`.

        `epoch` is 0 if the target does not report one; the recorded ends are counted then.
        """
        with self._lock:
            number = epoch or self._history.ended_instances(target)
        return instance_name(target, number)

    def record_lost_run(self, run: LostRun, target: Target) -> None:
        """Record a run whose connection was closed by its target's side."""
        with self._lock:
            ended = self._lost_runs.add(run)
            # A pending probe decides on this run as well.
            skip_probe = ended or run.target in self._probing
            if not skip_probe:
                self._probing.add(run.target)
        if ended:
            self._record_crashes([run], "ended before")
        elif not skip_probe:
            self._pool.submit(self._probe, run.target, target.address)

    def refused(self, life: str) -> None:
        """Record that a target, in its last known process instance, refused a connection."""
        self._target_ended(life, "connection refused")

    def answered(self, fingerprint: str, life: str, sent_at: float) -> None:
        """Record that a target answered a request in full that was sent at `sent_at`."""
        now = self._clock()
        with self._lock:
            history = self._history
            if history.is_empty:
                return
            is_new = history.has_crashes(fingerprint) and history.clear(fingerprint, now)
            if history.ended_before(life, sent_at):
                self._lost_runs.cancel_end(life)
                is_new |= history.record_alive(life, sent_at)
        if is_new:
            self._log_holds()
            self._changed()

    def lift(self, fingerprint: str) -> bool:
        """Release a request on behalf of an operator; return whether it had recorded crashes."""
        with self._lock:
            if not self._history.has_crashes(fingerprint):
                return False
            self._history.clear(fingerprint, self._clock())
        get().info("request let go by an operator", fingerprint=fingerprint)
        self._log_holds()
        self._changed()
        return True

    def held(self) -> list[tuple[HeldRequest, float]]:
        """Return the requests that are held back, each with the seconds left of its hold."""
        now = self._clock()
        with self._lock:
            return [(held, held.until - now) for held in self._history.all_held(now)]

    # --- targets --------------------------------------------------------------

    def record_instance(self, name: str, life: str) -> None:
        """Record that the target `name` answers as the process instance `life`."""
        with self._lock:
            previous = [t for t in self._lost_runs.targets if target_id(t) == name and t != life]
        for instance in previous:
            self._target_ended(instance, "replaced")

    def _probe(self, life: str, address: str) -> None:
        """Check whether a process accepts connections at the target's address."""
        time.sleep(_PROBE_DELAY_SECONDS)
        with self._lock:
            # A run that is lost from here on starts another probe.
            self._probing.discard(life)
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout=_PROBE_TIMEOUT_SECONDS).close()
        except ConnectionRefusedError:
            self.refused(life)
        except OSError as error:
            get().debug("target probe failed", target=life, error=str(error))

    def _target_ended(self, life: str, evidence: str) -> None:
        with self._lock:
            runs = self._lost_runs.ended(life, self._clock())
        if runs:
            self._record_crashes(runs, evidence)

    def _record_crashes(self, runs: list[LostRun], evidence: str) -> None:
        """Record crashes for runs that were lost when a target ended, and inform the peers."""
        for run in runs:
            with self._lock:
                is_new = self._history.record_crash(run.crash)
                ended = len(self._history.crashes_of(run.fingerprint))
                if run.fingerprint in self._history.suspects:
                    self._unsaved.add(run.fingerprint)
            if not is_new:
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
        self._log_holds()
        self._changed()

    # --- peers ----------------------------------------------------------------

    def merge(self, update: CrashUpdate) -> bool:
        """Merge an update from a peer; return whether any of it is new."""
        with self._lock:
            fresh = self._history.merge(update, self._clock())
        self._log_holds()
        return any((fresh.crashes, fresh.cleared, fresh.living))

    def recent(self) -> CrashUpdate:
        """Return entries that a peer may have missed."""
        now = self._clock()
        max_age_seconds = _MAX_UPDATE_AGE_SECONDS
        if now - self._full_update_at > _FULL_UPDATE_INTERVAL_SECONDS:
            # For nodes that were disconnected for longer than _MAX_UPDATE_AGE_SECONDS.
            self._full_update_at, max_age_seconds = now, float("inf")
        with self._lock:
            return self._history.update(now, limit=_MAX_ENTRY_COUNT, max_age=max_age_seconds)

    # --- periodic work ---------------------------------------------------------------

    def turn(self) -> None:
        """Remove expired records and save the changed ones; raise `ExternalSystemError`."""
        now = self._clock()
        with self._lock:
            self._lost_runs.expire(now)
            self._history.expire(now)
            over = self._stored - self._history.suspects
            unsaved = sorted(self._unsaved | over)
        self._log_holds()
        for fingerprint in unsaved:
            self._save(fingerprint)

    def _save(self, fingerprint: str) -> None:
        with self._lock:
            self._unsaved.discard(fingerprint)
            self._stored.discard(fingerprint)
            suspect = fingerprint in self._history.suspects
            crashes = self._history.crashes_of(fingerprint) if suspect else ()
            now = self._clock()
        wall_now = time.time()
        saved = [
            _SavedCrash(crash.target, wall_now - (now - crash.at), crash.ran) for crash in crashes
        ]
        value = msgspec.json.encode(saved).decode() if saved else None
        try:
            self._table.commit(Transaction((Write(CRASH_PREFIX + fingerprint, value),)))
        except ExternalSystemError:
            with self._lock:
                self._unsaved.add(fingerprint)
            raise
        if saved:
            with self._lock:
                self._stored.add(fingerprint)
        get().info("crashes saved", fingerprint=fingerprint, crashes=len(saved))

    def restore(self) -> None:
        """Read the rows saved by earlier processes, at the start; raise `ExternalSystemError`."""
        rows = self._table.scan(CRASH_PREFIX, CRASH_PREFIX, _MAX_ROW_COUNT)
        for row in rows:
            self._restore_row(row)
        if rows:
            get().info("crashes read", requests=[row.key for row in rows])
            self._log_holds()

    def _restore_row(self, row: Row) -> None:
        fingerprint = row.key.removeprefix(CRASH_PREFIX)
        try:
            saved = msgspec.json.decode(row.value, type=list[_SavedCrash])
        except msgspec.DecodeError as error:
            get().error("row of crashes cannot be decoded", row=row.key, error=str(error))
            saved = []
        now, wall_now = self._clock(), time.time()
        with self._lock:
            for target, at, ran in saved:
                self._history.record_crash(Crash(fingerprint, target, now - (wall_now - at), ran))
            self._history.expire(now)
            # The next turn deletes the row if its crashes have expired or it cannot be decoded.
            self._stored.add(fingerprint)

    def _log_holds(self) -> None:
        """Log requests that become held back, are held back for longer, or are released."""
        now = self._clock()
        with self._lock:
            held = {each.fingerprint: each for each in self._history.all_held(now)}
            logged, self._logged_holds = self._logged_holds, held
            released = {n: self._history.has_crashes(n) for n in logged.keys() - held.keys()}
        for name, each in held.items():
            if logged.get(name) != each:
                get().warning(
                    "request held back",
                    fingerprint=name,
                    targets=list(each.targets),
                    seconds=round(each.until - now, 1),
                )
        for name, over in released.items():
            reason = "over" if over else "cleared"
            get().info("request let go", fingerprint=name, reason=reason)
        self._metrics.gauge("crashes.held_back", len(held))
