"""Stand-in for the platform's store: rows with versions, a feed and transactions, in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs

from .http import Request, head, serve

__all__ = ["Store"]

_ANSWER_SECONDS = 0.004
_POLL_SECONDS = 0.01


class Store:
    """Rows by (table, key) in the empty part; nothing is forgotten."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, str, str]] = []
        self._version = 0
        self._started = time.monotonic()

    async def start(self, host: str, port: int) -> None:
        """Listen on the address."""
        await serve(host, port, self._handle)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker does."""
        self._set(table, key, json.dumps(value).encode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows.pop((table, key), None)
        self._history.append((self._version, table, key))

    def _set(self, table: str, key: str, value: bytes) -> None:
        self._version += 1
        self._rows[table, key] = (value, self._version)
        self._history.append((self._version, table, key))

    def _row(self, table: str, key: str) -> dict[str, object]:
        row = self._rows.get((table, key))
        if row is None:
            return {"table": table, "part": "", "key": key, "ver": 0, "tombstone": True}
        value = base64.b64encode(row[0]).decode()
        return {"table": table, "part": "", "key": key, "value": value, "ver": row[1]}

    def _answer(self, rows: list[dict[str, object]], status: int = 200) -> bytes:
        clock = (time.monotonic() - self._started) * 1000
        answer = {"rows": rows, "more-pages": False, "ver": self._version, "now-ms": clock}
        body = json.dumps(answer).encode()
        fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        return head(status, fields) + body

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        asked = {name: values[0] for name, values in parse_qs(request.query).items()}
        await asyncio.sleep(_ANSWER_SECONDS)
        if request.path == "/rows-get":
            keys = sorted(key for table, key in self._rows if table == asked["table"])
            start = asked.get("from", "")
            rows = [self._row(asked["table"], key) for key in keys if key >= start]
            writer.write(self._answer(rows))
        elif request.path == "/rows-feed":
            writer.write(await self._feed(asked))
        elif request.path == "/rows-tx":
            writer.write(self._transact(json.loads(request.body)))
        else:
            writer.write(head(404, {"Content-Length": "0"}))
        return True

    async def _feed(self, asked: dict[str, str]) -> bytes:
        after, table = int(asked["after"]), asked["table"]
        until = time.monotonic() + int(asked.get("wait-ms", "0")) / 1000
        while True:
            changed = {key: None for ver, t, key in self._history if ver > after and t == table}
            if changed or time.monotonic() >= until:
                return self._answer([self._row(table, key) for key in changed])
            await asyncio.sleep(_POLL_SECONDS)

    def _transact(self, asked: dict[str, list[dict[str, Any]]]) -> bytes:
        expected = asked.get("expected", [])
        for row in expected:
            held = self._rows.get((row["table"], row["key"]))
            if (held[1] if held else 0) != row["ver"]:
                return self._answer([self._row(r["table"], r["key"]) for r in expected], 412)
        for row in asked.get("set-keys", []):
            self._set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in asked.get("remove", []):
            self.drop(row["table"], row["key"])
        return self._answer([])
