"""Claim requests that may not be repeated, in the platform's table.

Claims that come within a few milliseconds of each other share a transaction,
so the table's writes do not grow with the requests.  A claim whose insert
stays unanswered is abandoned for good before its caller is refused.
"""

from __future__ import annotations

import base64
import queue
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from typing import NamedTuple

import msgspec
from fielddrift_core.claims import (
    AskClaimant,
    AttemptRegistry,
    AttemptStatus,
    ClaimEvent,
    ClaimOutcome,
    ClaimRow,
    ClaimState,
    ClaimStep,
    ClaimSteps,
    InsertClaim,
    StoredClaim,
    TakeOverClaim,
    claim_key,
    claim_steps,
    table_unavailable,
)
from fielddrift_core.errors import Refusal
from fielddrift_core.interfaces import ExternalSystemError, Row, Table, Transaction, Write
from fielddrift_core.retries import CircuitBreaker

from . import clock
from .log import get
from .metrics import Metrics

__all__ = ["Claim", "ClaimDesk"]

GROUP_SECONDS = 0.004
_MOST_IN_GROUP = 64
_LONGEST_BODY = 16_384
_CLEAN_SECONDS = 1.0
# Every claim needs the table, so it is tried again sooner than a target.
_LONGEST_TABLE_REST = 2.0


class Claim(NamedTuple):
    """A claim that this node holds, with the version of its row."""

    row: ClaimRow
    version: int


class _Pending(NamedTuple):
    write: Write
    done: Future[Row]


class _Unclean(NamedTuple):
    row: ClaimRow
    since: float


class ClaimDesk:
    """Group claims into transactions, and settle them afterwards.

    `ask` asks another node for its word on one of its attempts; it returns
    None when that node gives none.
    """

    def __init__(
        self,
        *,
        table: Table,
        claimant: str,
        address: str,
        ask: Callable[[ClaimRow], AttemptStatus | None],
        metrics: Metrics,
        timeout: float,
        group_seconds: float = GROUP_SECONDS,
    ) -> None:
        self._table = table
        self._claimant = claimant
        self._address = address
        self._ask = ask
        self._metrics = metrics
        self._timeout = timeout
        self._group_seconds = group_seconds
        self._book = AttemptRegistry()
        self._lock = threading.Lock()
        self._breaker = CircuitBreaker(max_open_seconds=_LONGEST_TABLE_REST)
        self._inbox: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._unclean: dict[str, _Unclean] = {}
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._group, name="claims", daemon=True),
            threading.Thread(target=self._clean, name="claims-clean", daemon=True),
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop, after one last try to settle what is open."""
        self._stopped.set()
        self._inbox.put(None)
        self._clean_once(age=0.0)

    # --- for requests ------------------------------------------------------

    def claim(self, *, customer: str, key: str, digest: str) -> Claim | ClaimRow | Refusal:
        """Claim a request: the claim, the kept outcome, or why it may not run.

        A refusal that says "not run" is given only after the attempt was
        abandoned.
        """
        if not self._breaker.allows(clock.now()):
            return table_unavailable("the table failed a moment ago")
        row = ClaimRow(customer, key, self._claimant, self._address, uuid.uuid4().hex, digest)
        outcome = self._drive(claim_steps(row, self._book))
        if outcome.refusal is not None:
            return outcome.refusal
        return outcome.kept or Claim(row, outcome.version)

    def begin_send(self, claim: Claim) -> bool:
        """Allow the send, once; False when the claim was abandoned."""
        with self._lock:
            return self._book.begin_send(claim.row.attempt)

    def ran(self, claim: Claim, *, status: int, content_type: str, body: bytes) -> None:
        """Keep the outcome of a run, in the background."""
        kept = base64.b64encode(body).decode() if len(body) <= _LONGEST_BODY else None
        row = claim.row._replace(
            state=ClaimState.RAN, status=status, content_type=content_type, body=kept
        )
        self._finish(claim, row)

    def not_run(self, claim: Claim) -> None:
        """Free the key of a request that surely did not run."""
        # The row follows in the background; whoever asks meanwhile must hear of it.
        with self._lock:
            self._book.mark_not_run(claim.row.attempt)
        self._finish(claim, claim.row._replace(state=ClaimState.NOT_RUN))

    def unknown(self, claim: Claim) -> None:
        """Leave a claim whose run ended without an outcome."""
        with self._lock:
            self._book.close(claim.row.attempt)

    def find(self, customer: str, key: str) -> ClaimRow | None:
        """Return the row of a claim, None when there is none; raise `ExternalSystemError`."""
        row = self._table.read([claim_key(customer, key)])[0]
        return _decode(row) if row.version else None

    def word_of(self, row: ClaimRow) -> str:
        """Return the state of a claimed row as far as its claimant tells it."""
        word = self._word_of(row)
        if word is AttemptStatus.NEVER:
            return "not-run"
        return "running" if word is AttemptStatus.RUNNING else "unknown"

    def word(self, claimant: str, attempt: str) -> AttemptStatus:
        """Answer a peer that asks about one of our attempts."""
        if claimant != self._claimant:
            return AttemptStatus.UNKNOWN
        with self._lock:
            return self._book.word(attempt)

    # --- claiming ----------------------------------------------------------

    def _drive(self, steps: ClaimSteps) -> ClaimOutcome:
        event: ClaimEvent = None
        try:
            while True:
                with self._lock:
                    step = steps.send(event)
                event = self._do(step)
        except StopIteration as ended:
            outcome: ClaimOutcome = ended.value
            return outcome

    def _do(self, step: ClaimStep) -> ClaimEvent:
        match step:
            case InsertClaim(row):
                write = Write(claim_key(row.customer, row.key), _encode(row), if_absent=True)
                return self._seen(row, lambda: self._submit(write))
            case TakeOverClaim(row, version):
                return self._seen(row, lambda: self._write_over(row, version))
            case AskClaimant(row):
                return self._word_of(row)

    def _seen(self, row: ClaimRow, write: Callable[[], Row]) -> StoredClaim | None:
        """Return what is in the table after `write`, None when that is not known."""
        try:
            kept = write()
        except FutureTimeout:
            with self._lock:
                self._breaker.failed(clock.now())
        except ExternalSystemError as error:
            get().info("claim not confirmed", key=row.key, error=str(error))
        else:
            return StoredClaim(_decode(kept), kept.version)
        self._note_unclean(row._replace(state=ClaimState.NOT_RUN))
        return None

    def _write_over(self, row: ClaimRow, version: int) -> Row:
        write = Write(claim_key(row.customer, row.key), _encode(row), expect=version)
        result = self._table.commit(Transaction((write,)))
        if result.ok:
            self._metrics.add("claims.taken_over")
        return result.rows[0]

    def _word_of(self, row: ClaimRow) -> AttemptStatus | None:
        if row.claimant == self._claimant:
            return self.word(row.claimant, row.attempt)
        return self._ask(row)

    # --- writing -----------------------------------------------------------

    def _submit(self, write: Write) -> Row:
        pending = _Pending(write, Future())
        self._inbox.put(pending)
        return pending.done.result(timeout=self._timeout)

    def _finish(self, claim: Claim, row: ClaimRow) -> None:
        self._note_unclean(row)
        key = claim_key(row.customer, row.key)
        self._inbox.put(_Pending(Write(key, _encode(row), expect=claim.version), Future()))

    def _group(self) -> None:
        while (first := self._inbox.get()) is not None:
            group = [first]
            until = clock.now() + self._group_seconds
            while len(group) < _MOST_IN_GROUP and (left := until - clock.now()) > 0:
                try:
                    pending = self._inbox.get(timeout=left)
                except queue.Empty:
                    break
                if pending is None:
                    return
                group.append(pending)
            self._commit(group)

    def _commit(self, group: list[_Pending]) -> None:
        """Write the inserts of a group in one transaction, and the outcomes in another.

        An outcome whose row has changed meanwhile must not abort the others,
        so a group of outcomes that fails is written one by one.
        """
        inserts = [p for p in group if p.write.if_absent]
        outcomes = [p for p in group if not p.write.if_absent]
        if inserts:
            self._write(inserts)
        if outcomes and not self._write(outcomes):
            for pending in outcomes:
                self._write([pending])

    def _write(self, group: list[_Pending]) -> bool:
        try:
            result = self._table.commit(Transaction(tuple(p.write for p in group)))
        except ExternalSystemError as error:
            return self._read_back(group, error)
        self._table_worked(group)
        if result.ok:
            for pending, row in zip(group, result.rows, strict=True):
                self._done(pending, row)
        return result.ok

    def _read_back(self, group: list[_Pending], error: ExternalSystemError) -> bool:
        """Learn what became of a commit whose answer was lost."""
        try:
            rows = self._table.read([p.write.key for p in group])
        except ExternalSystemError:
            with self._lock:
                self._breaker.failed(clock.now())
            rows = [Row(p.write.key, "", 0) for p in group]
        for pending, row in zip(group, rows, strict=True):
            if row.version:
                self._done(pending, row)
            else:
                pending.done.set_exception(error)
        return True

    def _done(self, pending: _Pending, row: Row) -> None:
        written = row.value == pending.write.value
        if written and not pending.write.if_absent:
            attempt = _decode(row).attempt
            self._unclean.pop(attempt, None)
            with self._lock:
                self._book.close(attempt)
        pending.done.set_result(row)

    def _table_worked(self, group: list[_Pending]) -> None:
        with self._lock:
            self._breaker.succeeded()
        self._metrics.add("claims.commits")
        self._metrics.add("claims.written", len(group))

    # --- cleaning up -------------------------------------------------------

    def _note_unclean(self, row: ClaimRow) -> None:
        # By attempt: two attempts on one key may both be unsettled in an outage.
        self._unclean[row.attempt] = _Unclean(row, clock.now())

    def _clean(self) -> None:
        while not self._stopped.wait(_CLEAN_SECONDS):
            self._clean_once(age=_CLEAN_SECONDS)

    def _clean_once(self, *, age: float) -> None:
        """Write the outcomes that have not reached the table for `age` seconds."""
        now = clock.now()
        for attempt, unclean in list(self._unclean.items()):
            if now - unclean.since < age:
                continue
            try:
                self._clean_row(unclean.row)
            except ExternalSystemError as error:
                get().warning("claim not settled yet", key=unclean.row.key, error=str(error))
                return
            self._unclean.pop(attempt, None)
            with self._lock:
                self._book.close(attempt)

    def _clean_row(self, wanted: ClaimRow) -> None:
        key = claim_key(wanted.customer, wanted.key)
        row = self._table.read([key])[0]
        if row.version and _decode(row).attempt == wanted.attempt:
            write = Write(key, _encode(wanted), expect=row.version)
            self._table.commit(Transaction((write,)))


def _encode(row: ClaimRow) -> str:
    return msgspec.json.encode(row).decode()


def _decode(row: Row) -> ClaimRow:
    return msgspec.json.decode(row.value, type=ClaimRow)
