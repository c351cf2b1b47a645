"""Play the platform's transactional table and its object store.

Switches: `down`, `slow` (seconds), `lose_answers` (so many commits take
effect but go unanswered).  `GET /stats` counts reads and writes.
"""

from __future__ import annotations

import threading
from bisect import bisect_right, insort
from typing import Any

import click
from werkzeug.wrappers import Request, Response

from .web import App, json_response, listen_options, lost, run

__all__ = ["TableStandIn", "main"]


class TableStandIn:
    """Rows with versions; a transaction takes effect whole or not at all."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[str, int]] = {}
        self._keys: list[str] = []
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._lock = threading.Lock()
        self._stats = {"reads": 0, "writes": 0, "commits": 0, "objects": 0}
        self.app = App(
            rules=[
                ("POST", "/read", self._read),
                ("POST", "/scan", self._scan),
                ("POST", "/commit", self._commit),
                ("GET", "/stats", self._get_stats),
                ("GET", "/objects/<path:name>", self._get_object),
                ("PUT", "/objects/<path:name>", self._put_object),
            ]
        )

    def _row(self, key: str) -> list[Any]:
        value, version = self._rows.get(key, ("", 0))
        return [key, value, version]

    def _read(self, request: Request) -> Response:
        keys = request.get_json()["keys"]
        with self._lock:
            self._stats["reads"] += len(keys)
            return json_response({"rows": [self._row(key) for key in keys]})

    def _scan(self, request: Request) -> Response:
        body = request.get_json()
        with self._lock:
            start = bisect_right(self._keys, max(body["after"], body["prefix"][:-1] + "\0"))
            keys = [k for k in self._keys[start:] if k.startswith(body["prefix"])]
            keys = keys[: body["limit"]]
            self._stats["reads"] += 1 + len(keys)
            return json_response({"rows": [self._row(key) for key in keys]})

    def _commit(self, request: Request) -> Response:
        writes = request.get_json()["writes"]
        with self._lock:
            self._stats["commits"] += 1
            ok = all(w["expect"] in (None, self._row(w["key"])[2]) for w in writes)
            if ok:
                self._apply(writes)
            rows = [self._row(w["key"]) for w in writes]
        if self.app.faults.take("lose_answers"):
            return lost()
        return json_response({"ok": ok, "rows": rows})

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        for write in writes:
            key = write["key"]
            if write["if_absent"] and key in self._rows:
                continue
            self._stats["writes"] += 1
            self._version += 1
            if key not in self._rows:
                insort(self._keys, key)
            if write["value"] is None:
                self._rows.pop(key, None)
                self._keys.remove(key)
            else:
                self._rows[key] = (write["value"], self._version)

    def _get_stats(self, request: Request) -> Response:
        return json_response(self._stats)

    def _get_object(self, request: Request, name: str) -> Response:
        self._stats["objects"] += 1
        data = self._objects.get(name)
        return Response(data or b"", 404 if data is None else 200)

    def _put_object(self, request: Request, name: str) -> Response:
        self._stats["objects"] += 1
        self._objects[name] = request.get_data()
        return json_response({})


@click.command()
@listen_options
def main(host: str, port: int) -> None:
    """Serve the table and the object store."""
    run(TableStandIn().app, host, port)


if __name__ == "__main__":
    main()
