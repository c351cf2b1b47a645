"""Stand in for the platform's store: rows with versions, feeds, transactions.

Faults are switches: `down` refuses, `silent` never answers, `lose_answers`
does writes without answering, `lose_news` loses the answers of so many long
polls that would bring rows, `forget` drops the history, `go_back` brings a
`copy` back.  With `keeps` off it
closes a connection after each answer.  `under_way` names the calls that have
no answer yet, so that a test can set a fault while just those are asked.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server

__all__ = ["RowStore", "StoreCopy", "StoreEndpoint"]

_POLL_SECONDS = 0.01
_OTHERS = ("op", "servers")
"""Tables that operators and targets write."""
_JSON = Headers([(b"Content-Type", b"application/json")])
_JSON_LAST = Headers([*_JSON, (b"Connection", b"close")])


class StoreCopy(NamedTuple):
    """What a store held at a moment."""

    rows: dict[tuple[str, str], tuple[bytes, int]]
    history: list[tuple[int, str, str]]
    version: int


class StoreEndpoint:
    """Another address of a store; `turned_away` refuses every call, `held` answers none."""

    def __init__(self, *, handler: Callable[[Request, Responder], Awaitable[None]]) -> None:
        self._handler = handler
        self._server = Server(handler=self._handle, limits=Limits)
        self.turned_away = False
        self.held = False

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self._server.start(host, port)

    def close(self) -> None:
        """Stop listening and drop connections."""
        self._server.stop_accepting()
        self._server.close()

    async def _handle(self, request: Request, responder: Responder) -> None:
        if self.held:
            await asyncio.sleep(3600)
        if self.turned_away:
            responder.send(503, Headers(), b"")
            return
        await self._handler(request, responder)


class RowStore:
    """Rows by (table, key), in memory."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, str, str]] = []
        self._version = 0
        self.era = 1
        """Rises each time the store comes back from a copy."""
        self._forgotten = 0
        self._server = Server(handler=self._handle, limits=Limits)
        self._started = time.monotonic()
        self.down = False
        self.silent = False
        self.lose_answers = 0
        self.lose_news = 0
        self.keeps = True
        self.calls: list[str] = []
        self._under_way = Counter[str]()

    @property
    def under_way(self) -> list[str]:
        """Return the paths of the calls under way; those of long polls end in `?wait`."""
        return sorted(self._under_way.elements())

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self._server.start(host, port)

    async def door(self, host: str, port: int) -> StoreEndpoint:
        """Listen at another address too, which can refuse whoever comes there."""
        endpoint = StoreEndpoint(handler=self._handle)
        await endpoint.start(host, port)
        return endpoint

    def close(self) -> None:
        """Stop listening and drop connections."""
        self._server.stop_accepting()
        self._server.close()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as an operator or a target does; return the new version."""
        return self._set(table, key, json.dumps(value).encode())

    def put_text(self, table: str, key: str, text: str) -> int:
        """Write a row whose value is `text`, JSON or not; return the new version."""
        return self._set(table, key, text.encode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._remove(table, key)

    def get(self, table: str, key: str) -> Any:
        """Return a row's decoded value, None when there is none."""
        row = self._rows.get((table, key))
        return None if row is None else json.loads(row[0])

    def forget(self) -> None:
        """Drop the history: feeds from before now are gone."""
        self._forgotten = self._version
        self._history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy to go back to."""
        return StoreCopy(dict(self._rows), list(self._history), self._version)

    def go_back(self, copy: StoreCopy) -> None:
        """Come back from `copy`: what was written since is lost, its versions are given anew."""
        self._rows, self._history = dict(copy.rows), list(copy.history)
        self._version = copy.version
        self.era += 1

    def write_again(self, lost: StoreCopy, copy: StoreCopy) -> None:
        """Let operators and targets write again what they wrote between `copy` and `lost`.

        What somebody has written since the return stays.
        """
        for table, key in lost.rows.keys() | copy.rows.keys():
            name = (table, key)
            before, after = (side.rows.get(name, (None, 0))[0] for side in (copy, lost))
            now = self._rows.get(name, (None, 0))[0]
            if table not in _OTHERS or before == after or now != before:
                continue
            if after is None:
                self._remove(table, key)
            else:
                self._set(table, key, after)

    @property
    def _headers(self) -> Headers:
        return Headers([*(_JSON if self.keeps else _JSON_LAST), *self._era])

    @property
    def _era(self) -> Headers:
        return Headers([(b"Store-Era", str(self.era).encode())])

    # --- rows -----------------------------------------------------------------

    def _set(self, table: str, key: str, value: bytes) -> int:
        self._version += 1
        self._rows[(table, key)] = (value, self._version)
        self._history.append((self._version, table, key))
        return self._version

    def _remove(self, table: str, key: str) -> None:
        self._version += 1
        self._rows.pop((table, key), None)
        self._history.append((self._version, table, key))

    def _row(self, table: str, key: str) -> dict[str, object]:
        row = self._rows.get((table, key))
        if row is None:
            return {"table": table, "part": "", "key": key, "ver": 0, "tombstone": True}
        value = base64.b64encode(row[0]).decode()
        return {"table": table, "part": "", "key": key, "value": value, "ver": row[1]}

    def _answer(self, rows: list[dict[str, object]]) -> bytes:
        clock = (time.monotonic() - self._started) * 1000
        answer = {"rows": rows, "more-pages": False, "ver": self._version, "now-ms": clock}
        return json.dumps(answer).encode()

    # --- calls ----------------------------------------------------------------

    async def _handle(self, request: Request, responder: Responder) -> None:
        path, _, query = request.head.target.decode().partition("?")
        self.calls.append(path)
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        name = f"{path}?wait" if int(asked.get("wait-ms", "0")) else path
        self._under_way[name] += 1
        try:
            await self._answered(path, asked, request, responder)
        finally:
            self._under_way[name] -= 1

    async def _answered(
        self, path: str, asked: dict[str, str], request: Request, responder: Responder
    ) -> None:
        if self.silent:
            await asyncio.sleep(3600)
        if self.down:
            responder.send(503, self._era, b"")
            return
        if path == "/rows-get":
            rows = [self._row(t, k) for t, k in sorted(self._rows) if t == asked["table"]]
            responder.send(200, self._headers, self._answer(rows))
        elif path == "/rows-feed":
            await self._feed(asked, responder)
        elif path == "/rows-tx":
            self._transact(json.loads(request.body), responder)
        else:
            responder.send(404, self._era, b"")

    async def _feed(self, asked: dict[str, str], responder: Responder) -> None:
        after = int(asked["after"])
        until = time.monotonic() + int(asked.get("wait-ms", "0")) / 1000
        while True:
            if after < self._forgotten or after > self._version:
                responder.send(410, self._era, b"{}")
                return
            changed = {
                key: None for v, t, key in self._history if v > after and t == asked["table"]
            }
            if changed or time.monotonic() >= until:
                if changed and self.lose_news > 0 and int(asked.get("wait-ms", "0")):
                    self.lose_news -= 1
                    await asyncio.sleep(3600)
                rows = [self._row(asked["table"], key) for key in changed]
                responder.send(200, self._headers, self._answer(rows))
                return
            await asyncio.sleep(_POLL_SECONDS)

    def _transact(self, asked: dict[str, list[dict[str, Any]]], responder: Responder) -> None:
        expected = asked.get("expected", [])
        for row in expected:
            held = self._rows.get((row["table"], row["key"]))
            if (held[1] if held else 0) != row["ver"]:
                rows = [self._row(r["table"], r["key"]) for r in expected]
                responder.send(412, self._headers, self._answer(rows))
                return
        for row in asked.get("set-keys", []):
            self._set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in asked.get("remove", []):
            self._remove(row["table"], row["key"])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            responder.cut()
            return
        responder.send(200, self._headers, self._answer([]))
