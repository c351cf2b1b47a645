"""Find out which process of a server a connection leads to."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from .messages import Reply, ResponseHead

__all__ = ["ProcessAnswer", "ProcessCheck", "process_answer"]


class ProcessAnswer(StrEnum):
    """What a server said when it was asked which process it is."""

    EXPECTED = "expected"
    OTHER = "other"
    """It is another server, or a later process of the expected one, which has ended."""
    FORMER = "former"
    """It is an earlier process of the server: the expected one does not listen yet."""
    UNIDENTIFIED = "unidentified"
    """It is the expected server, and does not tell its processes apart."""
    REFUSED = "refused"
    """It refused the question, as a full server does, or its answer cannot be read."""
    UNKNOWN = "unknown"
    """It did not answer the question."""


class ProcessCheck(NamedTuple):
    """Finds out whether a connection leads to the expected process of a server.

    A server that starts again at its address is another process.  A connection leads to the
    process that accepted it for as long as it lives, so each one is checked once, before its
    first request.  `name` identifies the process, `request` is a complete request that changes
    nothing; `accepts` and `judge` tell whether a head, and what a response, answers it.  With
    `is_required` a connection without an answer is not used.
    """

    name: str
    request: bytes
    accepts: Callable[[ResponseHead], bool]
    judge: Callable[[Reply], ProcessAnswer]
    is_required: bool = True


def process_answer(started: int | None, *, expected: int | None) -> ProcessAnswer:
    """Return which process of a server `started` then; None stands for a time that is not told."""
    if started is None or expected is None:
        return ProcessAnswer.UNIDENTIFIED
    if started == expected:
        return ProcessAnswer.EXPECTED
    return ProcessAnswer.OTHER if started > expected else ProcessAnswer.FORMER
