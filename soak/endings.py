"""Count each whole request against its end, and tell what excuses an end without an answer."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from .callers import PATIENCE_SECONDS, Attempt
from .machines import GRACE_SECONDS
from .outside import DEFAULT_IDLE_SECONDS

if TYPE_CHECKING:
    from .promises import Evidence

__all__ = ["EXCUSES", "ROUTE_TIMEOUT", "TROUBLE", "Endings", "Ends", "describe"]

ROUTE_TIMEOUT = "its route's time-out"
TROUBLE = "unplanned trouble"
_CLOSED = ("closed", "reset")
"""Ends by which a node gives a request up; silence, or what is no answer, is excused by less."""
_SLACK_SECONDS = 0.2
"""`loss-slack-ms`: a request that nobody passed on, and whose connection closed so soon after it
was sent, crossed that close."""
_EARLY_SECONDS = 0.05
"""How much earlier than its caller's clock says a node may find that a time-out is over."""
_APPLY_SECONDS = 2.0
"""`config-apply-ms`: how long an older configuration may stay in force."""
_ROUTE_SECONDS = 3.0
"""The time-out of routes whose time-out nobody changed."""
_STOP_SENT_SECONDS = 3.0
"""Time after SIGTERM within which requests that are still worked on at the end of the grace
period are excused."""
_STOP_PART = 5 / 6
"""The part of the grace period behind which they are."""


class Ends(NamedTuple):
    """How many requests were sent whole, and how they ended; `lost` and `excused` by cause."""

    sent: int
    answered: int
    refused: int
    left: int
    pending: int
    lost: Counter[str]
    excused: Counter[str]
    closed_early: int
    """Resting connections that were closed sooner than after each idle time that may have been
    in force, without trouble or a stop."""

    def __str__(self) -> str:
        named = [f"lost {self.lost.total()}{_causes(self.lost)}"]
        named.append(f"excused {self.excused.total()}{_causes(self.excused)}")
        return (
            f"sent whole {self.sent}: answered {self.answered}, refused {self.refused}, "
            f"left {self.left}, pending {self.pending}, {', '.join(named)}; "
            f"closed early at rest {self.closed_early}"
        )


def _causes(counts: Counter[str]) -> str:
    return f" ({', '.join(f'{cause} {n}' for cause, n in counts.most_common())})" if counts else ""


class Endings:
    """Tells from what was seen how each request ended, and what excuses one without an answer."""

    def __init__(self, *, evidence: Evidence) -> None:
        self.evidence = evidence
        self.ran = evidence.ran()
        self._reached = {name for worker in evidence.workers for _, name in worker.arrivals}
        self._reached |= self.ran.keys() | {arrival.request_id for arrival in evidence.arrivals}

    def reached(self, attempt: Attempt) -> bool:
        """Return whether a request came to a worker, one that had ended included."""
        return attempt.id in self._reached

    def excuse(self, attempt: Attempt) -> str:
        """Return what excuses that a request has no whole answer, empty for nothing."""
        sent, ended = attempt.handed_at, attempt.ended_at
        if sent is None or ended is None:
            return ""
        excuses = (n for n, check in EXCUSES.items() if check(self, attempt, sent, ended))
        return next(excuses, "")

    def count(self) -> Ends:
        """Return how the requests ended that were sent whole."""
        sent = [attempt for attempt in self.evidence.attempts if attempt.sent]
        counts: Counter[str] = Counter()
        lost: Counter[str] = Counter()
        excused: Counter[str] = Counter()
        for attempt in sent:
            if attempt.left:
                counts["left"] += 1
            elif attempt.ended_at is None:
                counts["pending"] += 1
            elif attempt.whole:
                counts["answered" if attempt.status == 200 or attempt.seal else "refused"] += 1
            elif why := self.excuse(attempt):
                excused[why] += 1
            else:
                lost[describe(attempt)] += 1
        return Ends(
            len(sent),
            counts["answered"],
            counts["refused"],
            counts["left"],
            counts["pending"],
            lost,
            excused,
            _closed_early(self.evidence),
        )


_Excuse = Callable[[Endings, Attempt, float, float], bool]
"""Tells whether something excuses that a request, sent and ended at two times, has no answer."""
EXCUSES: dict[str, _Excuse] = {}


def _excuse(name: str) -> Callable[[_Excuse], _Excuse]:
    """Register the decorated function under `name`."""

    def register(function: _Excuse) -> _Excuse:
        EXCUSES[name] = function
        return function

    return register


def describe(attempt: Attempt) -> str:
    """Return how a request ended that has no whole answer."""
    begun = "inside" if attempt.status else "before"
    return f"{attempt.end or 'ended'} {begun} an answer"


def _closed_early(evidence: Evidence) -> int:
    count = 0
    for attempt in evidence.attempts:
        if attempt.found_closed is None:
            continue
        address, began = attempt.found_closed
        ended = attempt.sent_at
        stopped = any(
            stop.address == address and began - GRACE_SECONDS <= stop.at <= ended
            for stop in evidence.stops
        )
        first = (float("-inf"), DEFAULT_IDLE_SECONDS)
        idle = _in_force([first, *evidence.idle_times], began, ended)
        early = ended - began < min(idle)
        count += early and not stopped and not evidence.disturbed(began, ended)
    return count


def _in_force(changes: Sequence[tuple[float, float]], began: float, ended: float) -> list[float]:
    """Return the values that may have been in force in a time; `changes` tells since when."""
    known = [(at, value) for at, value in changes if at <= ended]
    before = [value for at, value in known if at <= began - _APPLY_SECONDS]
    return [*before[-1:], *(value for at, value in known if at > began - _APPLY_SECONDS)]


@_excuse("sent on a closed connection")
def _late(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    return attempt.late and not attempt.status and not endings.reached(attempt)


@_excuse("crossed a close")
def _crossed(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    soon = not attempt.status and attempt.end in _CLOSED and ended - sent <= _SLACK_SECONDS
    return soon and not endings.reached(attempt)


@_excuse("its deadline")
def _deadline(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    # A node that lets it pass without a word owes a refusal.
    return attempt.end in _CLOSED and ended - sent >= PATIENCE_SECONDS - _EARLY_SECONDS


@_excuse(ROUTE_TIMEOUT)
def _route_timeout(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    if attempt.end not in _CLOSED:
        return False
    changes = [
        (t.at, t.seconds) for t in endings.evidence.timeouts if t.route == attempt.kind.route
    ]
    seconds = min(_in_force([(float("-inf"), _ROUTE_SECONDS), *changes], sent, ended))
    return ended - sent >= seconds - _EARLY_SECONDS


@_excuse("its target ended")
def _target_ended(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    return any(
        ran.at <= endings.evidence.gone_at.get(worker.name, float("inf")) <= ended
        for worker, ran in endings.ran.get(attempt.id, [])
    )


@_excuse("its target worked to the end of a grace period")
def _grace(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    return endings.reached(attempt) and any(
        stop.address == attempt.address
        and sent <= stop.at + _STOP_SENT_SECONDS
        and stop.at + _STOP_PART * GRACE_SECONDS <= ended <= stop.at + GRACE_SECONDS + 1.0
        for stop in endings.evidence.stops
    )


@_excuse(TROUBLE)
def _trouble(endings: Endings, attempt: Attempt, sent: float, ended: float) -> bool:
    return endings.evidence.disturbed(sent, ended)
