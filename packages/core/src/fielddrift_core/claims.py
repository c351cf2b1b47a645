"""Run requests that may not be repeated at most once.

A claim is a row inserted in the platform's table before the request is sent.
Only the row's claimant may send the request.  Another node takes the claim over
only after the claimant has reported that it has not sent the request and never
will.  Timeouts and leases do not count, so a claimant that was suspended or
partitioned may leave the caller without an answer, but never causes a second run.
"""

from __future__ import annotations

from collections.abc import Generator
from enum import StrEnum
from typing import NamedTuple

from .errors import ErrorKind, Ran, Refusal

__all__ = [
    "AskClaimant",
    "AttemptRegistry",
    "AttemptStatus",
    "ClaimDecision",
    "ClaimEvent",
    "ClaimOutcome",
    "ClaimRow",
    "ClaimState",
    "ClaimStep",
    "ClaimSteps",
    "InsertClaim",
    "StoredClaim",
    "TakeOverClaim",
    "claim_key",
    "claim_steps",
    "decide",
    "table_unavailable",
]


RETRY_AFTER_SECONDS = 2.0


class ClaimState(StrEnum):
    """State of a claim in the table."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"


class AttemptStatus(StrEnum):
    """State of an attempt as its claimant reports it to a peer."""

    RUNNING = "running"
    NEVER = "never"
    UNKNOWN = "unknown"


class ClaimRow(NamedTuple):
    """A claim as it is stored in the table.

    `claimant` is the incarnation of the node, `attempt` a random id generated
    for each insert, `digest` the fingerprint of the request, which detects a key
    that is reused for another request.  `body` is None until there is an answer,
    and when the answer was too long to store.
    """

    customer: str
    key: str
    claimant: str
    address: str
    attempt: str
    digest: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    body: str | None = None


class ClaimDecision(NamedTuple):
    """What to do about an existing row: run, return its answer, take it over, or refuse."""

    run: bool = False
    kept: ClaimRow | None = None
    take_over: bool = False
    refusal: Refusal | None = None


class StoredClaim(NamedTuple):
    """A claim row in the table, and the version of the row."""

    row: ClaimRow
    version: int


class InsertClaim(NamedTuple):
    """Step: insert `row` unless its key exists; the event is the row stored afterwards."""

    row: ClaimRow


class AskClaimant(NamedTuple):
    """Step: ask the claimant of `row` for the attempt's status; the event is that status."""

    row: ClaimRow


class TakeOverClaim(NamedTuple):
    """Step: overwrite the row if it has `version`; the event is the row stored afterwards."""

    row: ClaimRow
    version: int


class ClaimOutcome(NamedTuple):
    """The result of claiming: a claim held at `version`, the stored answer, or a refusal."""

    version: int = 0
    kept: ClaimRow | None = None
    refusal: Refusal | None = None


ClaimStep = InsertClaim | AskClaimant | TakeOverClaim
ClaimEvent = StoredClaim | AttemptStatus | None
ClaimSteps = Generator[ClaimStep, ClaimEvent, ClaimOutcome]


def claim_key(customer: str, key: str) -> str:
    """Return the table key of the claim row."""
    return f"claim/{customer}/{key}"


def decide(row: ClaimRow, own_row: ClaimRow, word: AttemptStatus | None) -> ClaimDecision:
    """Decide how the request of `own_row` continues when the table already has `row`.

    `word` is the status that the row's claimant reported, None when it was not
    asked or did not answer.  A row with the attempt of `own_row` was inserted by
    this node, and the table's answer was lost.
    """
    if row.digest != own_row.digest:
        return ClaimDecision(refusal=_key_reused(row))
    if row.state is ClaimState.RAN:
        return (
            ClaimDecision(kept=row)
            if row.body is not None
            else ClaimDecision(refusal=_not_kept(row))
        )
    if row.state is ClaimState.NOT_RUN:
        return ClaimDecision(take_over=True)
    if row.attempt == own_row.attempt:
        return ClaimDecision(run=True)
    if word is AttemptStatus.NEVER:
        return ClaimDecision(take_over=True)
    if word is AttemptStatus.RUNNING:
        return ClaimDecision(refusal=_running(row))
    return ClaimDecision(refusal=_unknown(row))


def claim_steps(own_row: ClaimRow, registry: AttemptRegistry) -> ClaimSteps:
    """Yield the steps that claim `own_row`; the generator returns the `ClaimOutcome`.

    Send None as the event of a write when it is unknown whether it took effect;
    the attempt is then abandoned before the request is refused.
    """
    registry.open(own_row.attempt)
    event = yield InsertClaim(own_row)
    while isinstance(event, StoredClaim):
        stored = event
        if stored.row.attempt == own_row.attempt and stored.row.state is ClaimState.CLAIMED:
            return ClaimOutcome(version=stored.version)
        word = None
        if stored.row.state is ClaimState.CLAIMED:
            answered = yield AskClaimant(stored.row)
            word = answered if isinstance(answered, AttemptStatus) else None
        decision = decide(stored.row, own_row, word)
        if not decision.take_over:
            registry.abandon(own_row.attempt)
            return ClaimOutcome(kept=decision.kept, refusal=decision.refusal)
        event = yield TakeOverClaim(own_row, stored.version)
    registry.abandon(own_row.attempt)
    return ClaimOutcome(refusal=table_unavailable("it is unknown whether the claim was written"))


def table_unavailable(why: str) -> Refusal:
    """Return the refusal for a claim that the table did not confirm."""
    detail = f"a request that may not be repeated needs the platform's table: {why}"
    return Refusal(ErrorKind.PLATFORM_DOWN, detail, Ran.NO, retry_after=RETRY_AFTER_SECONDS)


def _key_reused(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: used before with another body, method or path"
    return Refusal(ErrorKind.KEY_REUSED, detail, Ran.NO)


def _running(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: the first request is still running"
    return Refusal(ErrorKind.ALREADY_RUNNING, detail, Ran.UNKNOWN, retry_after=1.0)


def _not_kept(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: ran with status {row.status}"
    return Refusal(ErrorKind.NOT_KEPT, detail, Ran.YES)


def _unknown(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: claimed by a node that cannot be asked; not run again"
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)


class _AttemptState(StrEnum):
    OPEN = "open"
    SENT = "sent"
    NEVER = "never"


class AttemptRegistry:
    """The state of each attempt that this incarnation of the node made.

    Peers are answered from this registry.  An attempt is either sent or abandoned:
    the first of the two is final.  Above `limit` attempts, the oldest are removed.
    Not thread-safe.
    """

    def __init__(self, *, limit: int = 100_000) -> None:
        self._limit = limit
        self._states: dict[str, _AttemptState] = {}

    def open(self, attempt: str) -> None:
        """Add `attempt`; call this before its row is inserted in the table."""
        self._states[attempt] = _AttemptState.OPEN
        while len(self._states) > self._limit:
            del self._states[next(iter(self._states))]

    def begin_send(self, attempt: str) -> bool:
        """Mark `attempt` as sent; return False when it was abandoned or is unknown."""
        if self._states.get(attempt) is not _AttemptState.OPEN:
            return False
        self._states[attempt] = _AttemptState.SENT
        return True

    def abandon(self, attempt: str) -> bool:
        """Mark `attempt` as never sent; return False when it was already sent."""
        if self._states.get(attempt) is _AttemptState.SENT:
            return False
        self._states[attempt] = _AttemptState.NEVER
        return True

    def mark_not_run(self, attempt: str) -> None:
        """Mark `attempt` as never run: its target proved it, or nothing was sent."""
        self._states[attempt] = _AttemptState.NEVER

    def close(self, attempt: str) -> None:
        """Remove a sent `attempt` after its run ended, with or without a known outcome."""
        if self._states.get(attempt) is _AttemptState.SENT:
            del self._states[attempt]

    def word(self, attempt: str) -> AttemptStatus:
        """Return the status of `attempt` that is reported to peers."""
        match self._states.get(attempt):
            case _AttemptState.NEVER:
                return AttemptStatus.NEVER
            case _AttemptState.OPEN | _AttemptState.SENT:
                return AttemptStatus.RUNNING
        return AttemptStatus.UNKNOWN
