"""Stand in for a managed store of kept parts, and for the copies that workers make there.

A save takes its room at once and is whole after its transfer; a fetch of a part that is still being
written, or was broken off, is noted as one that draws from a store that is not whole.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple
from urllib.parse import parse_qs

from http_server import HttpServer, Reply, Request

__all__ = ["KvStore", "Draw"]

_POLL_SECONDS = 0.005


class Draw(NamedTuple):
    """A fetch of a part: `state` is `whole`, `miss`, `thrown away` or `not whole`."""

    at: float
    request_id: str
    salt: str
    part: str
    state: str
    written_for: float
    """Seconds since the save of the part began, 0 unless it is being written."""


class _Part(NamedTuple):
    tokens: int
    began: float
    whole_at: float


class KvStore:
    """A store at `address`: `link_mbps`, `first_ms` and `token_bytes` give the time of a save."""

    def __init__(
        self, *, address: str, link_mbps: float, first_ms: float, token_bytes: int = 18432
    ) -> None:
        self.address = address
        self._seconds_per_token = token_bytes * 8 / (link_mbps * 1e6)
        self._first = first_ms / 1000
        self._epoch = 77120
        self._parts: dict[tuple[str, str], _Part] = {}
        self._events: list[list[object]] = []
        self._server: HttpServer | None = None
        self.draws: list[Draw] = []
        self.saves: list[tuple[float, float, str, str, str]] = []
        """Begin, end, request, salt and part of each save."""
        self.calls: list[tuple[float, str, str]] = []
        """Time, caller's address and path of each call."""

    async def start(self) -> None:
        """Start, empty and with another epoch."""
        self._epoch += 1
        self._parts.clear()
        self._events.clear()
        host, _, port = self.address.rpartition(":")
        self._server = HttpServer(self._answer)
        await self._server.start(host, int(port))

    def stop(self) -> None:
        """End as a crashed process does."""
        if self._server is not None:
            self._server.close()
        self._server = None
        self._parts.clear()

    @property
    def is_up(self) -> bool:
        return self._server is not None

    # --- workers -------------------------------------------------------------------

    def save(self, request_id: str, salt: str, part: str, tokens: int, factor: float) -> None:
        """Begin to write a part; one that is there, whole or not, stays as it is."""
        if not self.is_up or (salt, part) in self._parts:
            return
        seconds = self._first + tokens * self._seconds_per_token * factor
        now = time.monotonic()
        self._parts[salt, part] = _Part(tokens, now, now + seconds)
        self.saves.append((now, now + seconds, request_id, salt, part))
        epoch = self._epoch
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._written, epoch, salt, part, tokens)

    def _written(self, epoch: int, salt: str, part: str, tokens: int) -> None:
        if epoch == self._epoch and self.is_up:
            self._events.append([len(self._events) + 1, "+", salt, part, tokens, "m"])

    def draw(
        self, request_id: str, salt: str, part: str, until_ms: float, factor: float
    ) -> float | None:
        """Fetch a part; return the seconds that the transfer takes, None for a miss.

        A fetch that has not ended by `until_ms` on the workers' clock is thrown away.
        """
        now = time.monotonic()
        found = self._parts.get((salt, part)) if self.is_up else None
        if found is None:
            self.draws.append(Draw(now, request_id, salt, part, "miss", 0.0))
            return None
        seconds = self._first + found.tokens * self._seconds_per_token * factor
        if (now + seconds) * 1000 > until_ms:
            self.draws.append(Draw(now, request_id, salt, part, "thrown away", 0.0))
            return None
        is_whole = now >= found.whole_at
        state, age = ("whole", 0.0) if is_whole else ("not whole", now - found.began)
        self.draws.append(Draw(now, request_id, salt, part, state, age))
        return seconds

    # --- nodes ---------------------------------------------------------------------

    async def _answer(self, request: Request) -> Reply:
        path, _, query = request.target.partition("?")
        self.calls.append((time.monotonic(), request.source, path))
        if path == "/kv-list":
            now = time.monotonic()
            held = [[s, p, e.tokens, "m"] for (s, p), e in self._parts.items() if now >= e.whole_at]
            partial = [[s, p, 0, e.tokens] for (s, p), e in self._parts.items() if now < e.whole_at]
            return self._reply({"held": held, "partial": partial})
        if path == "/kv-events":
            since = int(parse_qs(query)["since"][0])
            until = time.monotonic() + int(request.headers.get("wait-ms", "0")) / 1000
            while len(self._events) <= since and time.monotonic() < until:
                await asyncio.sleep(_POLL_SECONDS)
            return self._reply({"lost": False, "events": self._events[since:]})
        if path == "/kv-free":
            for salt, part in json.loads(request.body)["parts"]:
                self._parts.pop((salt, part), None)
                self._events.append([len(self._events) + 1, "-", salt, part, 0, "m"])
            return self._reply({})
        if path == "/report":
            used = sum(each.tokens for each in self._parts.values())
            return self._reply({"kv-used": used, "kv-total": 1_000_000})
        return Reply(404, b"{}")

    def _reply(self, more: dict[str, object]) -> Reply:
        clock = time.monotonic() * 1000
        body = {"boot-epoch": self._epoch, "next-token": len(self._events), "clock_ms": clock}
        return Reply(
            200, json.dumps({**body, **more}).encode(), {"Content-Type": "application/json"}
        )
