"""Stand in for the platform's metadata store: rows with versions, feeds and transactions."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs

from http_server import HttpServer, Reply, Request

__all__ = ["PlatformStore"]

_POLL_SECONDS = 0.01


class PlatformStore:
    """Keeps rows in memory and answers `/rows-get`, `/rows-feed`, `/rows-tx` and `/rows-parts`.

    `turned_away` holds source addresses that get 503 for every call.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, str, str]] = []
        self._version = 0
        self._started = time.monotonic()
        self._server = HttpServer(self._answer)
        self.silent = False
        self.writes: list[tuple[float, str, dict[str, Any]]] = []
        """Time, caller's address and body of each transaction that was done."""

    async def start(self, host: str, port: int) -> None:
        await self._server.start(host, port)

    def close(self) -> None:
        self._server.close()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as an operator or a worker does; return its version."""
        return self._set(table, key, json.dumps(value).encode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows.pop((table, key), None)
        self._history.append((self._version, table, key))

    def get(self, table: str, key: str) -> Any:
        """Return the decoded value of a row, None without one."""
        row = self._rows.get((table, key))
        return None if row is None else json.loads(row[0])

    def _set(self, table: str, key: str, value: bytes) -> int:
        self._version += 1
        self._rows[(table, key)] = (value, self._version)
        self._history.append((self._version, table, key))
        return self._version

    def _row(self, table: str, key: str) -> dict[str, object]:
        row = self._rows.get((table, key))
        base = {"table": table, "part": "", "key": key}
        if row is None:
            return {**base, "ver": 0, "tombstone": True}
        return {**base, "value": base64.b64encode(row[0]).decode(), "ver": row[1]}

    def _reply(self, status: int, rows: list[dict[str, object]]) -> Reply:
        clock = (time.monotonic() - self._started) * 1000
        body = {"rows": rows, "more-pages": False, "ver": self._version, "now-ms": clock}
        return Reply(status, json.dumps(body).encode(), {"Content-Type": "application/json"})

    async def _answer(self, request: Request) -> Reply:
        path, _, query = request.target.partition("?")
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        if self.silent:
            await asyncio.sleep(3600)
        if path == "/rows-get":
            keys = [k for k in sorted(self._rows) if k[0] == asked["table"]]
            return self._reply(200, [self._row(*key) for key in keys])
        if path == "/rows-parts":
            return Reply(200, b'{"parts":[""],"more-pages":false}')
        if path == "/rows-feed":
            return await self._feed(asked)
        if path == "/rows-tx":
            return self._transact(request)
        return Reply(404, b"{}")

    async def _feed(self, asked: dict[str, str]) -> Reply:
        after, table = int(asked["after"]), asked["table"]
        until = time.monotonic() + int(asked.get("wait-ms", "0")) / 1000
        while True:
            changed = dict.fromkeys(k for v, t, k in self._history if v > after and t == table)
            if changed or time.monotonic() >= until:
                return self._reply(200, [self._row(table, key) for key in changed])
            await asyncio.sleep(_POLL_SECONDS)

    def _transact(self, request: Request) -> Reply:
        asked = json.loads(request.body)
        expected = asked.get("expected", [])
        for row in expected:
            held = self._rows.get((row["table"], row["key"]))
            if (held[1] if held else 0) != row["ver"]:
                return self._reply(412, [self._row(r["table"], r["key"]) for r in expected])
        for row in asked.get("set-keys", []):
            self._set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in asked.get("remove", []):
            self.drop(row["table"], row["key"])
        self.writes.append((time.monotonic(), request.source, asked))
        return self._reply(200, [])
