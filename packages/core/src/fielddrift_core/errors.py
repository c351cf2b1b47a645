"""Define every error with which a request can end.

The list of kinds is complete: `ERROR_RESPONSES` maps each kind to the response that
callers and operators receive, and no other module defines an error kind.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["ERROR_RESPONSES", "ErrorKind", "ErrorResponse", "Ran", "Refusal"]


class ErrorKind(StrEnum):
    """The kind of an error, as it stands in the `type` member of a problem document."""

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
    """Whether a refused request ran; `NO` only when that is certain."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorResponse(NamedTuple):
    """The response to requests that end with one error kind.

    `status` is the HTTP status, `exit_code` the exit code of the operators'
    client, `retry` whether the same request may succeed later, `title` the
    `title` member of the problem document.
    """

    status: int
    exit_code: int
    retry: bool
    title: str


ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, 2, False, "The request is malformed"),
    ErrorKind.TOO_LARGE: ErrorResponse(413, 2, False, "The request is too large"),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, 3, False, "The key is missing or unknown"),
    ErrorKind.FORBIDDEN: ErrorResponse(403, 3, False, "The key does not allow this"),
    ErrorKind.NOT_FOUND: ErrorResponse(404, 4, False, "There is no such thing"),
    ErrorKind.CONFLICT: ErrorResponse(409, 5, False, "Another change came first"),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, 2, False, "The idempotency key belongs to another request"
    ),
    ErrorKind.ALREADY_RUNNING: ErrorResponse(409, 6, True, "The request with this key is running"),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(409, 6, False, "Whether the request ran is not known"),
    ErrorKind.NOT_KEPT: ErrorResponse(
        410, 6, False, "The request ran; its answer was too long to keep"
    ),
    ErrorKind.DEADLINE: ErrorResponse(503, 6, True, "The deadline cannot be met"),
    ErrorKind.OVERLOADED: ErrorResponse(503, 6, True, "All targets are busy"),
    ErrorKind.OVER_SHARE: ErrorResponse(429, 6, True, "The customer is over its share"),
    ErrorKind.NO_TARGET: ErrorResponse(503, 6, True, "No target can take the request"),
    ErrorKind.HELD_BACK: ErrorResponse(503, 6, True, "The request ended the targets that ran it"),
    ErrorKind.TARGET_FAILED: ErrorResponse(502, 6, True, "The target failed"),
    ErrorKind.CUT: ErrorResponse(502, 6, True, "The answer was cut"),
    ErrorKind.PLATFORM_DOWN: ErrorResponse(503, 7, True, "The platform's table is out of reach"),
    ErrorKind.STOPPING: ErrorResponse(503, 6, True, "This node is stopping"),
    ErrorKind.INTERNAL: ErrorResponse(500, 1, False, "The node failed"),
}


class Refusal(NamedTuple):
    """The final answer to a request that is refused or has failed.

    `retry_after` is in seconds from now, None when a retry cannot succeed.
    `reason` names the refusal's counter; when empty, the kind does.
    """

    kind: ErrorKind
    detail: str
    ran: Ran = Ran.NO
    retry_after: float | None = None
    reason: str = ""

    @property
    def counter(self) -> str:
        """Return the name of the counter that this refusal increments."""
        return f"refused.{self.reason or self.kind.value}"

    def problem(self, *, request_id: str) -> dict[str, object]:
        """Return the members of the problem document (RFC 9457)."""
        answer = ERROR_RESPONSES[self.kind]
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
