"""Serve the entry addresses to callers, and this node's readiness to the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import parse_qs

from ..web.messages import Headers
from ..web.server import Request, Responder

__all__ = ["EntryRequest", "EntryDialect", "EntryHandler"]


class EntryRequest(NamedTuple):
    """A caller's request for addresses; `data_centre` is the one it comes from."""

    data_centre: str


class EntryDialect(Protocol):
    """Format of the callers' requests for addresses and of the answers."""

    resolve_path: str
    ready_path: str

    def read(self, query: dict[str, list[str]]) -> EntryRequest:
        """Decode the query of a request."""

    def answer(self, addresses: list[str], cache_seconds: float) -> bytes:
        """Return the body of an answer that callers may cache for `cache_seconds` seconds."""


class EntryHandler:
    """Answers requests for addresses and for readiness."""

    def __init__(
        self,
        *,
        dialect: EntryDialect,
        addresses: Callable[[str], list[str]],
        ready: Callable[[], bool],
        cache_seconds: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._addresses = addresses
        self._is_ready = ready
        self._cache_seconds = cache_seconds

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        path, _, query = request.head.target.decode("latin-1").partition("?")
        if path == self._dialect.ready_path:
            responder.send(200 if self._is_ready() else 503, Headers(), b"")
            return
        if path != self._dialect.resolve_path:
            responder.send(404, Headers(), b"no such path")
            return
        entry_request = self._dialect.read(parse_qs(query))
        addresses = self._addresses(entry_request.data_centre)
        if not addresses:
            responder.send(503, Headers(), b"no node is known to be ready")
            return
        headers = Headers([(b"Content-Type", b"application/json")])
        responder.send(200, headers, self._dialect.answer(addresses, self._cache_seconds()))
