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

from .errors import Kind, Ran, Refusal

__all__ = [
    "Ask",
    "ClaimBook",
    "ClaimRow",
    "ClaimState",
    "Claiming",
    "Event",
    "Found",
    "Insert",
    "Outcome",
    "Seen",
    "Step",
    "TakeOver",
    "Word",
    "claim_key",
    "claiming",
    "judge",
    "table_down",
]


RETRY_AFTER = 2.0


class ClaimState(StrEnum):
    """What the table says of a claim."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"


class Word(StrEnum):
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


class Found(NamedTuple):
    """What a row found in the table means: run, answer with it, take it over, or refuse."""

    run: bool = False
    kept: ClaimRow | None = None
    take_over: bool = False
    refusal: Refusal | None = None


class Seen(NamedTuple):
    """A claim row as the table has it, with its version there."""

    row: ClaimRow
    version: int


class Insert(NamedTuple):
    """Step: insert `row` unless its key is there; the event is what is there then."""

    row: ClaimRow


class Ask(NamedTuple):
    """Step: ask the claimant of `row` for its word; the event is the word."""

    row: ClaimRow


class TakeOver(NamedTuple):
    """Step: write `row` over the version given; the event is what is there then."""

    row: ClaimRow
    version: int


class Outcome(NamedTuple):
    """The end of claiming: held at `version`, the kept row, or a refusal."""

    version: int = 0
    kept: ClaimRow | None = None
    refusal: Refusal | None = None


Step = Insert | Ask | TakeOver
Event = Seen | Word | None
Claiming = Generator[Step, Event, Outcome]


def claim_key(customer: str, key: str) -> str:
    """Return the table key of a claim."""
    return f"claim/{customer}/{key}"


def judge(row: ClaimRow, mine: ClaimRow, word: Word | None) -> Found:
    """Decide what `row`, found in the table, means for the request of `mine`.

    `word` is what the row's claimant says, None when it was not asked or gave
    no answer.  A row with our own attempt is our insert whose answer was lost.
    """
    if row.digest != mine.digest:
        return Found(refusal=_key_reused(row))
    if row.state is ClaimState.RAN:
        return Found(kept=row) if row.body is not None else Found(refusal=_not_kept(row))
    if row.state is ClaimState.NOT_RUN:
        return Found(take_over=True)
    if row.attempt == mine.attempt:
        return Found(run=True)
    if word is Word.NEVER:
        return Found(take_over=True)
    if word is Word.RUNNING:
        return Found(refusal=_running(row))
    return Found(refusal=_unknown(row))


def claiming(mine: ClaimRow, book: ClaimBook) -> Claiming:
    """Yield the steps that claim `mine`; the outcome is the generator's value.

    Send None as the event of a write when it is not known whether it took
    effect: the attempt is then abandoned before anything else is said.
    """
    book.open(mine.attempt)
    event = yield Insert(mine)
    while isinstance(event, Seen):
        seen = event
        if seen.row.attempt == mine.attempt and seen.row.state is ClaimState.CLAIMED:
            return Outcome(version=seen.version)
        word = None
        if seen.row.state is ClaimState.CLAIMED:
            answered = yield Ask(seen.row)
            word = answered if isinstance(answered, Word) else None
        found = judge(seen.row, mine, word)
        if not found.take_over:
            book.abandon(mine.attempt)
            return Outcome(kept=found.kept, refusal=found.refusal)
        event = yield TakeOver(mine, seen.version)
    book.abandon(mine.attempt)
    return Outcome(refusal=table_down("whether the claim was written is not known"))


def table_down(why: str) -> Refusal:
    """Return the refusal for a claim that the table did not confirm."""
    detail = f"a request that may not be repeated needs the platform's table: {why}"
    return Refusal(Kind.PLATFORM_DOWN, detail, Ran.NO, retry_after=RETRY_AFTER)


def _key_reused(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: used before with another body, method or path"
    return Refusal(Kind.KEY_REUSED, detail, Ran.NO)


def _running(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: the first request is still running"
    return Refusal(Kind.ALREADY_RUNNING, detail, Ran.UNKNOWN, retry_after=1.0)


def _not_kept(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: ran with status {row.status}"
    return Refusal(Kind.NOT_KEPT, detail, Ran.YES)


def _unknown(row: ClaimRow) -> Refusal:
    detail = f"Idempotency-Key {row.key!r}: claimed by a node that cannot be asked; not run again"
    return Refusal(Kind.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)


class _Stage(StrEnum):
    OPEN = "open"
    SENT = "sent"
    NEVER = "never"


class ClaimBook:
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

    def proved_not_run(self, attempt: str) -> None:
        """Settle `attempt` as never run: its target proved it, or nothing was sent."""
        self._stages[attempt] = _Stage.NEVER

    def close(self, attempt: str) -> None:
        """Forget a sent `attempt` whose run has ended, known or not."""
        if self._stages.get(attempt) is _Stage.SENT:
            del self._stages[attempt]

    def word(self, attempt: str) -> Word:
        """Return what this node can say of `attempt`."""
        match self._stages.get(attempt):
            case _Stage.NEVER:
                return Word.NEVER
            case _Stage.OPEN | _Stage.SENT:
                return Word.RUNNING
        return Word.UNKNOWN
