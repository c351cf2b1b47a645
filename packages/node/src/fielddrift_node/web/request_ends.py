"""What a server reports about the requests that it has accepted, and how each of them ended."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from fielddrift_core.request_ends import EndCause

from .messages import RequestHead

__all__ = ["NOT_OBSERVED", "RequestEnd", "RequestObserver"]


class RequestEnd(NamedTuple):
    """The end of one accepted request."""

    head: RequestHead
    cause: EndCause
    age: float
    """Seconds since the first byte of the request."""
    handled: bool
    """Whether its handler was started; otherwise it was queued behind other requests."""
    written: int
    """Bytes of the response that were written, its head included."""
    details: Mapping[str, object]
    """Log fields that the handler adds."""


class RequestObserver(Protocol):
    """Is told of each request; `accepted` and `ended` are called once for each of them."""

    def accepted(self) -> None:
        """Record that a request was read whole."""

    def ended(self, end: RequestEnd) -> None:
        """Record the end of an accepted request."""

    def unread(self, cause: EndCause) -> None:
        """Record that reading of a request ended before it was whole, and why."""


class _NoObserver:
    """Ignores all reports: servers that answer no callers' requests are not counted."""

    def accepted(self) -> None: ...

    def ended(self, end: RequestEnd) -> None: ...

    def unread(self, cause: EndCause) -> None: ...


NOT_OBSERVED: RequestObserver = _NoObserver()
