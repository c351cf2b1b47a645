"""Name every way a request can end without its answer.

The list of kinds is closed: `ANSWERS` maps each kind to what a caller and an
operator see, and nothing else in the project invents an error kind.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["ANSWERS", "Answer", "Kind", "Ran", "Refusal"]


class Kind(StrEnum):
    """One error kind, spelled as in the `type` member of a problem document."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    KEY_REUSED = "key-reused"
    ALREADY_RUNNING = "already-running"
    OUTCOME_UNKNOWN = "outcome-unknown"
    NOT_KEPT = "not-kept"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    OVER_SHARE = "over-share"
    NO_TARGET = "no-target"
    HELD_BACK = "held-back"
    TARGET_FAILED = "target-failed"
    CUT = "cut"
    PLATFORM_DOWN = "platform-down"
    STOPPING = "stopping"
    INTERNAL = "internal"


class Ran(StrEnum):
    """Whether a refused request ran.  `NO` is said only when it is sure."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Answer(NamedTuple):
    """What one error kind looks like from outside.

    `status` is the HTTP status, `exit_code` the exit code of the operators'
    client, `retry` whether the same request may succeed later.
    """

    status: int
    exit_code: int
    retry: bool
    title: str


ANSWERS: Mapping[Kind, Answer] = {
    Kind.BAD_REQUEST: Answer(400, 2, False, "The request is malformed"),
    Kind.TOO_LARGE: Answer(413, 2, False, "The request is too large"),
    Kind.UNAUTHORIZED: Answer(401, 3, False, "The key is missing or unknown"),
    Kind.FORBIDDEN: Answer(403, 3, False, "The key does not allow this"),
    Kind.NOT_FOUND: Answer(404, 4, False, "There is no such thing"),
    Kind.CONFLICT: Answer(409, 5, False, "Another change came first"),
    Kind.KEY_REUSED: Answer(422, 2, False, "The idempotency key belongs to another request"),
    Kind.ALREADY_RUNNING: Answer(409, 6, True, "The request with this key is running"),
    Kind.OUTCOME_UNKNOWN: Answer(409, 6, False, "Whether the request ran is not known"),
    Kind.NOT_KEPT: Answer(410, 6, False, "The request ran; its answer was too long to keep"),
    Kind.DEADLINE: Answer(503, 6, True, "The deadline cannot be met"),
    Kind.OVERLOADED: Answer(503, 6, True, "All targets are busy"),
    Kind.OVER_SHARE: Answer(429, 6, True, "The customer is over its share"),
    Kind.NO_TARGET: Answer(503, 6, True, "No target can take the request"),
    Kind.HELD_BACK: Answer(503, 6, True, "The request ended the targets that ran it"),
    Kind.TARGET_FAILED: Answer(502, 6, True, "The target failed"),
    Kind.CUT: Answer(502, 6, True, "The answer was cut"),
    Kind.PLATFORM_DOWN: Answer(503, 7, True, "The platform's table is out of reach"),
    Kind.STOPPING: Answer(503, 6, True, "This node is stopping"),
    Kind.INTERNAL: Answer(500, 1, False, "The node failed"),
}


class Refusal(NamedTuple):
    """A final answer that is not the one asked for.

    `retry_after` is in seconds from now, None when coming back cannot help.
    `reason` is the short word that the refusal's counter carries.
    """

    kind: Kind
    detail: str
    ran: Ran = Ran.NO
    retry_after: float | None = None
    reason: str = ""

    @property
    def counter(self) -> str:
        """Return the name of the counter that this refusal adds one to."""
        return f"refused.{self.reason or self.kind.value}"

    def problem(self, *, request_id: str) -> dict[str, object]:
        """Return the members of the problem document (RFC 9457)."""
        answer = ANSWERS[self.kind]
        members: dict[str, object] = {
            "type": f"urn:fielddrift:{self.kind.value}",
            "title": answer.title,
            "status": answer.status,
            "detail": self.detail,
            "ran": self.ran.value,
            "request_id": request_id,
        }
        if self.retry_after is not None:
            members["retry_after"] = round(self.retry_after, 3)
        return members
