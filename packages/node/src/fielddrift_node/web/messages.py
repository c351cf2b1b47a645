"""The heads of HTTP requests and responses, and complete responses, as plain data."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import NamedTuple

from fielddrift_core.outside_values import Range

__all__ = [
    "BODILESS_STATUSES",
    "Framing",
    "HOP_BY_HOP",
    "Headers",
    "Reply",
    "MESSAGE_LENGTH",
    "RequestHead",
    "ResponseHead",
    "STATUS",
    "reason_phrase",
]

STATUS = Range(100, 599)
"""Statuses of responses (RFC 9110, section 15)."""
MESSAGE_LENGTH = Range(0, 2**64 - 1)
"""Values of Content-Length in bytes, as the parser accepts them."""
BODILESS_STATUSES = frozenset({204, 304})
"""Final statuses of responses without a body, whatever their fields tell of one."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Lower-case names of the header fields that apply to one connection only.

See RFC 9110, section 7.6.1.
"""

_REASON_PHRASES = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of `status`, `Status` if it has none here."""
    return _REASON_PHRASES.get(status, b"Status")


class Headers:
    """Header fields in the order received; names are compared case-insensitively."""

    __slots__ = ("_fields",)

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._fields = list(fields)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self._fields)

    def __len__(self) -> int:
        return len(self._fields)

    def add(self, name: bytes, value: bytes) -> None:
        """Append a field."""
        self._fields.append((name, value))

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the field `name` (in lower case), or None."""
        for field, value in self._fields:
            if field.lower() == name:
                return value
        return None

    def text(self, name: bytes) -> str:
        """Return the first value of the field `name` (in lower case) as stripped text.

        It is empty if there is no such field.
        """
        value = self.get(name)
        return "" if value is None else value.decode("latin-1").strip()

    def texts(self, name: bytes) -> list[str]:
        """Return the values of all fields `name` (in lower case) as stripped text."""
        values = (value for field, value in self._fields if field.lower() == name)
        return [value.decode("latin-1").strip() for value in values]

    def count(self, name: bytes) -> int:
        """Return the number of fields with `name` (in lower case)."""
        return sum(1 for field, _ in self._fields if field.lower() == name)

    def without_hop_by_hop(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield the fields to forward: neither hop-by-hop fields nor Content-Length."""
        for name, value in self._fields:
            lower = name.lower()
            if lower not in HOP_BY_HOP and lower != b"content-length":
                yield name, value


class RequestHead(NamedTuple):
    """The head of a request; `target` is the request target exactly as received."""

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool
    http_1_0: bool = False


class Framing(StrEnum):
    """What ends the body of a response (RFC 9112, section 6.3)."""

    NO_BODY = "no-body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """The end of the connection, which looks the same if the sender ended before it was done."""


class ResponseHead(NamedTuple):
    """The head of a response; `length` is the Content-Length in bytes, or None without one."""

    status: int
    headers: Headers
    length: int | None
    keep_alive: bool

    @property
    def framing(self) -> Framing:
        """Return what ends the body."""
        if self.status in BODILESS_STATUSES:
            return Framing.NO_BODY
        if self.headers.get(b"transfer-encoding") is not None:
            return Framing.CHUNKS
        return Framing.CLOSE if self.length is None else Framing.LENGTH


class Reply(NamedTuple):
    """A complete response.

    `is_repeated` is True if it may be a late copy of the response to an earlier request.
    """

    head: ResponseHead
    body: bytes
    is_repeated: bool = False
