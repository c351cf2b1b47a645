"""Hold the heads of HTTP messages as plain data."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

__all__ = ["HOP_BY_HOP", "Headers", "RequestHead", "ResponseHead", "reason_phrase"]

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
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

_REASONS = {
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
    """Return the reason phrase that goes with `status`."""
    return _REASONS.get(status, b"Status")


class Headers:
    """Header fields in their order; names compare without case."""

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
        """Return the first value of `name` (in lower case), None when there is none."""
        for field, value in self._fields:
            if field.lower() == name:
                return value
        return None

    def text(self, name: bytes) -> str:
        """Return the first value of `name` as text, empty when there is none."""
        value = self.get(name)
        return "" if value is None else value.decode("latin-1").strip()

    def count(self, name: bytes) -> int:
        """Return how often `name` (in lower case) stands here."""
        return sum(1 for field, _ in self._fields if field.lower() == name)

    def without_hop_by_hop(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield the fields that travel on, neither hop-by-hop nor a length."""
        for name, value in self._fields:
            lower = name.lower()
            if lower not in HOP_BY_HOP and lower != b"content-length":
                yield name, value


class RequestHead(NamedTuple):
    """The head of a request; `target` is the request target as it was sent."""

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool
    http_1_0: bool = False


class ResponseHead(NamedTuple):
    """The head of a response; `length` is None where the body's end is marked otherwise."""

    status: int
    headers: Headers
    length: int | None
    keep_alive: bool

    @property
    def framed(self) -> bool:
        """Return whether the body's end is marked, not told by the end of the connection."""
        chunked = self.headers.get(b"transfer-encoding") is not None
        return self.length is not None or chunked or self.status in (204, 304)
