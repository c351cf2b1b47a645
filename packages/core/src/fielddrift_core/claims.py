"""Let a request that may not be repeated run at most once.

A claim is a row inserted in the platform's table before anything is sent.
Only the row's claimant may send.  A claim moves to another node only when the
claimant itself said that it has not sent and never will; time and leases play
no part, so a node that was frozen or cut off can cost an answer, never a
second run.
"""

from __future__ import annotations

from collections.abc import Generator
from enum import StrEnum
from typing import NamedTuple

from .errors import ErrorKind, Ran, Refusal

__all__ = [
    "AskClaimant",
    "AttemptRegistry",
    "ClaimRow",
    "ClaimState",
    "ClaimSteps",
    "ClaimEvent",
    "ClaimDecision",
    "InsertClaim",
    "ClaimOutcome",
    "StoredClaim",
    "ClaimStep",
    "TakeOverClaim",
    "AttemptStatus",
    "claim_key",
    "claim_steps",
    "decide",
    "table_unavailable",
]


RETRY_AFTER_SECONDS = 2.0


class ClaimState(StrEnum):
    """What the table says of a claim."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"


class AttemptStatus(StrEnum):
    """What a claimant says of its own claim when a peer asks."""

    RUNNING = "running"
    NEVER = "never"
    UNKNOWN = "unknown"


class ClaimRow(NamedTuple):
    """A claim as it is kept in the table.

    `claimant` is the node's incarnation, `attempt` is drawn anew for each
    insert, `digest` fingerprints the request, so that a key used for another
    request is noticed.  `body` is None while there is no answer, and when the
    answer was too long to keep.
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
    """What a row found in the table means: run, answer with it, take it over, or refuse."""

    run: bool = False
    kept: ClaimRow | None = None
    take_over: bool = False
    refusal: Refusal | None = None


class StoredClaim(NamedTuple):
    """A claim row as the table has it, with its version there."""

    row: ClaimRow
    version: int


class InsertClaim(NamedTuple):
    """Step: insert `row` unless its key is there; the event is what is there then."""

    row: ClaimRow


class AskClaimant(NamedTuple):
    """Step: ask the claimant of `row` for its word; the event is the word."""

    row: ClaimRow


class TakeOverClaim(NamedTuple):
    """Step: write `row` over the version given; the event is what is there then."""

    row: ClaimRow
    version: int


class ClaimOutcome(NamedTuple):
    """The end of claiming: held at `version`, the kept row, or a refusal."""

    version: int = 0
    kept: ClaimRow | None = None
    refusal: Refusal | None = None


ClaimStep = InsertClaim | AskClaimant | TakeOverClaim
ClaimEvent = StoredClaim | AttemptStatus | None
ClaimSteps = Generator[ClaimStep, ClaimEvent, ClaimOutcome]


def claim_key(customer: str, key: str) -> str:
    """Return the table key of a claim."""
    return f"claim/{customer}/{key}"


def decide(row: ClaimRow, mine: ClaimRow, word: AttemptStatus | None) -> ClaimDecision:
    """Decide what `row`, found in the table, means for the request of `mine`.

    `word` is what the row's claimant says, None when it was not asked or gave
    no answer.  A row with our own attempt is our insert whose answer was lost.
    """
    if row.digest != mine.digest:
        return ClaimDecision(refusal=_key_reused(row))
    if row.state is ClaimState.RAN:
        return (
            ClaimDecision(kept=row)
            if row.body is not None
            else ClaimDecision(refusal=_not_kept(row))
        )
    if row.state is ClaimState.NOT_RUN:
        return ClaimDecision(take_over=True)
    if row.attempt == mine.attempt:
        return ClaimDecision(run=True)
    if word is AttemptStatus.NEVER:
        return ClaimDecision(take_over=True)
    if word is AttemptStatus.RUNNING:
        return ClaimDecision(refusal=_running(row))
    return ClaimDecision(refusal=_unknown(row))


def claim_steps(mine: ClaimRow, book: AttemptRegistry) -> ClaimSteps:
    """Yield the steps that claim `mine`; the outcome is the generator's value.

    Send None as the event of a write when it is not known whether it took
    effect: the attempt is then abandoned before anything else is said.
    """
    book.open(mine.attempt)
    event = yield InsertClaim(mine)
    while isinstance(event, StoredClaim):
        seen = event
        if seen.row.attempt == mine.attempt and seen.row.state is ClaimState.CLAIMED:
            return ClaimOutcome(version=seen.version)
        word = None
        if seen.row.state is ClaimState.CLAIMED:
            answered = yield AskClaimant(seen.row)
            word = answered if isinstance(answered, AttemptStatus) else None
        found = decide(seen.row, mine, word)
        if not found.take_over:
            book.abandon(mine.attempt)
            return ClaimOutcome(kept=found.kept, refusal=found.refusal)
        event = yield TakeOverClaim(mine, seen.version)
    book.abandon(mine.attempt)
    return ClaimOutcome(refusal=table_unavailable("whether the claim was written is not known"))


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


class _Stage(StrEnum):
    OPEN = "open"
    SENT = "sent"
    NEVER = "never"


class AttemptRegistry:
    """Remember what this incarnation did with each of its own attempts.

    The book answers peers.  Sending and abandoning exclude each other: the
    first of the two settles the attempt for good.  Not safe for threads.
    """

    def __init__(self, *, limit: int = 100_000) -> None:
        self._limit = limit
        self._stages: dict[str, _Stage] = {}

    def open(self, attempt: str) -> None:
        """Enter `attempt` before its row is inserted in the table."""
        self._stages[attempt] = _Stage.OPEN
        while len(self._stages) > self._limit:
            del self._stages[next(iter(self._stages))]

    def begin_send(self, attempt: str) -> bool:
        """Settle `attempt` as sent; False when it was abandoned or is unknown."""
        if self._stages.get(attempt) is not _Stage.OPEN:
            return False
        self._stages[attempt] = _Stage.SENT
        return True

    def abandon(self, attempt: str) -> bool:
        """Settle `attempt` as never sent; False when it was sent before."""
        if self._stages.get(attempt) is _Stage.SENT:
            return False
        self._stages[attempt] = _Stage.NEVER
        return True

    def mark_not_run(self, attempt: str) -> None:
        """Settle `attempt` as never run: its target proved it, or nothing was sent."""
        self._stages[attempt] = _Stage.NEVER

    def close(self, attempt: str) -> None:
        """Forget a sent `attempt` whose run has ended, known or not."""
        if self._stages.get(attempt) is _Stage.SENT:
            del self._stages[attempt]

    def word(self, attempt: str) -> AttemptStatus:
        """Return what this node can say of `attempt`."""
        match self._stages.get(attempt):
            case _Stage.NEVER:
                return AttemptStatus.NEVER
            case _Stage.OPEN | _Stage.SENT:
                return AttemptStatus.RUNNING
        return AttemptStatus.UNKNOWN
