"""Idempotency claims for requests that must not run twice, stored in the platform's table.

Claims that arrive within a few milliseconds of each other share a transaction,
so the number of table writes does not grow with the number of requests.  A claim
whose insert is not confirmed is permanently abandoned before its caller is refused.
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
from fielddrift_core.outside_values import decoded
from fielddrift_core.retries import CircuitBreaker

from . import clock
from .log import get
from .metrics import Metrics

__all__ = ["Claim", "ClaimManager"]

GROUP_SECONDS = 0.004
_MAX_GROUP_WRITES = 64
_MAX_BODY_BYTES = 16_384
_SETTLE_INTERVAL_SECONDS = 1.0
# Every claim needs the table, so the breaker retries it sooner than it retries a target.
_MAX_TABLE_OPEN_SECONDS = 2.0


_CLAIM_ROW = msgspec.json.Decoder(ClaimRow)


class Claim(NamedTuple):
    """A claim held by this node, with the version of its stored row."""

    row: ClaimRow
    version: int


class _Pending(NamedTuple):
    write: Write
    done: Future[Row]


class _UnsettledClaim(NamedTuple):
    row: ClaimRow
    since: float


class ClaimManager:
    """Claims requests in grouped transactions and later writes their outcomes.

    `ask` queries another node for the status of one of its attempts; it returns
    None when that node does not report one.

    `timeout` and `group_seconds` are in seconds: the longest wait for a write, and
    how long a group stays open for further writes.
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
        self._registry = AttemptRegistry()
        self._lock = threading.Lock()
        self._breaker = CircuitBreaker(max_open_seconds=_MAX_TABLE_OPEN_SECONDS)
        self._write_queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._unsettled: dict[str, _UnsettledClaim] = {}
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._group_writes, name="claims", daemon=True),
            threading.Thread(target=self._settle_periodically, name="claims-clean", daemon=True),
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads after one last attempt to write the outstanding outcomes."""
        self._stopped.set()
        self._write_queue.put(None)
        self._settle_older_than(age=0.0)

    # --- for requests ------------------------------------------------------

    def claim(self, *, customer: str, key: str, digest: str) -> Claim | ClaimRow | Refusal:
        """Claim a request; return the claim, the stored outcome of an earlier run, or a refusal.

        A refusal that says "not run" is returned only after the attempt has been
        abandoned.
        """
        if not self._breaker.allows(clock.now()):
            return table_unavailable("the table failed a moment ago")
        row = ClaimRow(customer, key, self._claimant, self._address, uuid.uuid4().hex, digest)
        outcome = self._drive(claim_steps(row, self._registry))
        if outcome.refusal is not None:
            return outcome.refusal
        return outcome.kept or Claim(row, outcome.version)

    def begin_send(self, claim: Claim) -> bool:
        """Return True once to permit the send; False if the claim was abandoned."""
        with self._lock:
            return self._registry.begin_send(claim.row.attempt)

    def ran(self, claim: Claim, *, status: int, content_type: str, body: bytes) -> None:
        """Store the outcome of a completed run in the background."""
        kept = base64.b64encode(body).decode() if len(body) <= _MAX_BODY_BYTES else None
        row = claim.row._replace(
            state=ClaimState.RAN, status=status, content_type=content_type, body=kept
        )
        self._finish(claim, row)

    def not_run(self, claim: Claim) -> None:
        """Release the key of a request that definitely did not run."""
        # The row is written in the background; until then peers must get this status from memory.
        with self._lock:
            self._registry.mark_not_run(claim.row.attempt)
        self._finish(claim, claim.row._replace(state=ClaimState.NOT_RUN))

    def unknown(self, claim: Claim) -> None:
        """Close an attempt whose run ended without a known outcome; its row stays as it is."""
        with self._lock:
            self._registry.close(claim.row.attempt)

    def find(self, customer: str, key: str) -> ClaimRow | None:
        """Return the stored row of a claim, or None; raise `ExternalSystemError`."""
        row = self._table.read([claim_key(customer, key)])[0]
        return _decode(row) if row.version else None

    def state_of(self, row: ClaimRow) -> str:
        """Return the state of a claimed row as reported by its claimant.

        One of "not-run", "running" and "unknown".
        """
        word = self._attempt_status(row)
        if word is AttemptStatus.NEVER:
            return "not-run"
        return "running" if word is AttemptStatus.RUNNING else "unknown"

    def word(self, claimant: str, attempt: str) -> AttemptStatus:
        """Return the status of one of this node's attempts, for a peer that queries it."""
        if claimant != self._claimant:
            return AttemptStatus.UNKNOWN
        with self._lock:
            return self._registry.word(attempt)

    # --- claiming ----------------------------------------------------------

    def _drive(self, steps: ClaimSteps) -> ClaimOutcome:
        event: ClaimEvent = None
        try:
            while True:
                with self._lock:
                    step = steps.send(event)
                event = self._perform(step)
        except StopIteration as ended:
            outcome: ClaimOutcome = ended.value
            return outcome

    def _perform(self, step: ClaimStep) -> ClaimEvent:
        match step:
            case InsertClaim(row):
                write = Write(claim_key(row.customer, row.key), _encode(row), if_absent=True)
                return self._write_and_read(row, lambda: self._submit(write))
            case TakeOverClaim(row, version):
                return self._write_and_read(row, lambda: self._take_over(row, version))
            case AskClaimant(row):
                return self._attempt_status(row)

    def _write_and_read(self, row: ClaimRow, write: Callable[[], Row]) -> StoredClaim | None:
        """Run `write` and return the claim now stored, or None if the result is unknown."""
        try:
            kept = write()
            return StoredClaim(_decode(kept), kept.version)
        except FutureTimeout:
            with self._lock:
                self._breaker.failed(clock.now())
        except ExternalSystemError as error:
            get().info("claim not confirmed", key=row.key, error=str(error))
        self._mark_unsettled(row._replace(state=ClaimState.NOT_RUN))
        return None

    def _take_over(self, row: ClaimRow, version: int) -> Row:
        write = Write(claim_key(row.customer, row.key), _encode(row), expect=version)
        result = self._table.commit(Transaction((write,)))
        if result.ok:
            self._metrics.add("claims.taken_over")
        return result.rows[0]

    def _attempt_status(self, row: ClaimRow) -> AttemptStatus | None:
        if row.claimant == self._claimant:
            return self.word(row.claimant, row.attempt)
        return self._ask(row)

    # --- writing -----------------------------------------------------------

    def _submit(self, write: Write) -> Row:
        pending = _Pending(write, Future())
        self._write_queue.put(pending)
        return pending.done.result(timeout=self._timeout)

    def _finish(self, claim: Claim, row: ClaimRow) -> None:
        self._mark_unsettled(row)
        key = claim_key(row.customer, row.key)
        self._write_queue.put(_Pending(Write(key, _encode(row), expect=claim.version), Future()))

    def _group_writes(self) -> None:
        while (first := self._write_queue.get()) is not None:
            group = [first]
            until = clock.now() + self._group_seconds
            while len(group) < _MAX_GROUP_WRITES and (left := until - clock.now()) > 0:
                try:
                    pending = self._write_queue.get(timeout=left)
                except queue.Empty:
                    break
                if pending is None:
                    return
                group.append(pending)
            self._commit(group)

    def _commit(self, group: list[_Pending]) -> None:
        """Write the inserts of a group in one transaction and the outcomes in another.

        An outcome whose row has changed in the meantime must not abort the others,
        so a group of outcomes that fails is retried one write at a time.
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
        self._record_commit(group)
        if result.ok:
            for pending, row in zip(group, result.rows, strict=True):
                self._complete(pending, row)
        return result.ok

    def _read_back(self, group: list[_Pending], error: ExternalSystemError) -> bool:
        """Read the rows back to find out whether a commit without a response took effect."""
        try:
            rows = self._table.read([p.write.key for p in group])
        except ExternalSystemError:
            with self._lock:
                self._breaker.failed(clock.now())
            rows = [Row(p.write.key, "", 0) for p in group]
        for pending, row in zip(group, rows, strict=True):
            if row.version:
                self._complete(pending, row)
            else:
                pending.done.set_exception(error)
        return True

    def _complete(self, pending: _Pending, row: Row) -> None:
        written = row.value == pending.write.value
        if written and not pending.write.if_absent:
            attempt = _decode(row).attempt
            self._unsettled.pop(attempt, None)
            with self._lock:
                self._registry.close(attempt)
        pending.done.set_result(row)

    def _record_commit(self, group: list[_Pending]) -> None:
        with self._lock:
            self._breaker.succeeded()
        self._metrics.add("claims.commits")
        self._metrics.add("claims.written", len(group))

    # --- settling ----------------------------------------------------------

    def _mark_unsettled(self, row: ClaimRow) -> None:
        # Keyed by attempt: in an outage two attempts on one key may both be unsettled.
        self._unsettled[row.attempt] = _UnsettledClaim(row, clock.now())

    def _settle_periodically(self) -> None:
        while not self._stopped.wait(_SETTLE_INTERVAL_SECONDS):
            self._settle_older_than(age=_SETTLE_INTERVAL_SECONDS)

    def _settle_older_than(self, *, age: float) -> None:
        """Write the outcomes that have been missing from the table for at least `age` seconds."""
        now = clock.now()
        for attempt, unsettled in list(self._unsettled.items()):
            if now - unsettled.since < age:
                continue
            try:
                self._settle_row(unsettled.row)
            except ExternalSystemError as error:
                get().warning("claim not settled yet", key=unsettled.row.key, error=str(error))
                return
            self._unsettled.pop(attempt, None)
            with self._lock:
                self._registry.close(attempt)

    def _settle_row(self, wanted: ClaimRow) -> None:
        key = claim_key(wanted.customer, wanted.key)
        row = self._table.read([key])[0]
        if row.version and self._is_of(row, wanted):
            write = Write(key, _encode(wanted), expect=row.version)
            self._table.commit(Transaction((write,)))

    def _is_of(self, row: Row, wanted: ClaimRow) -> bool:
        """Return whether a row holds the attempt of `wanted`."""
        try:
            return _decode(row).attempt == wanted.attempt
        except ExternalSystemError as error:
            # This node has not written it: another writer has replaced the attempt.
            get().error("claim replaced", key=wanted.key, error=str(error))
            return False


def _encode(row: ClaimRow) -> str:
    return msgspec.json.encode(row).decode()


def _decode(row: Row) -> ClaimRow:
    """Return the claim in a row; raise `ExternalSystemError` if it cannot be decoded."""
    try:
        return decoded(_CLAIM_ROW, row.value.encode())
    except ValueError as error:
        raise ExternalSystemError(f"row {row.key}: {error}") from None
