"""Play a store host: memory and disk behind one limited link.

Parts are plain bytes under an id; a manifest is created once, by a
conditional create, and only it makes the parts findable.  Switches: `down`,
`slow`, `full`, `truncate` and `alter` (so many parts go out damaged).
"""

from __future__ import annotations

import threading
import time
from typing import Any

import click
from werkzeug.wrappers import Request, Response

from .web import App, json_response, listen_options, run

__all__ = ["StoreStandIn", "main"]


class _Link:
    """Let bytes through at a rate, one after the other."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0
        self._lock = threading.Lock()
        self.carried = 0

    def carry(self, size: int) -> None:
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size / self._rate
            self.carried += size
            wait = self._free_at - now
        time.sleep(wait)


class StoreStandIn:
    """Keep parts and manifests."""

    def __init__(self, *, memory: int, disk: int, link: float, disk_seconds: float) -> None:
        self._room = memory + disk
        self._memory = memory
        self._disk_seconds = disk_seconds
        self._link = _Link(link)
        self._parts: dict[str, bytes] = {}
        self._manifests: dict[str, dict[str, Any]] = {}
        self._lock = threading.Lock()
        self.app = App(
            rules=[
                ("PUT", "/parts/<path:part>", self._put_part),
                ("GET", "/parts/<path:part>", self._get_part),
                ("DELETE", "/parts/<path:part>", self._delete_part),
                ("GET", "/parts", self._list_parts),
                ("POST", "/manifests", self._create_manifest),
                ("GET", "/manifests/<path:folder>", self._list_folder),
                ("DELETE", "/manifests/<path:path>", self._delete_manifest),
                ("GET", "/held", self._held),
                ("POST", "/tier", self._set_tier),
                ("GET", "/stats", self._stats),
            ]
        )

    # --- parts ---

    def _put_part(self, request: Request, part: str) -> Response:
        data = request.get_data()
        used = sum(len(kept) for kept in self._parts.values())
        if self.app.faults.get("full") or used + len(data) > self._room:
            return json_response({"error": "full"}, 507)
        self._link.carry(len(data))
        self._parts[part] = data
        return json_response({})

    def _get_part(self, request: Request, part: str) -> Response:
        data = self._parts.get(part)
        if data is None:
            return json_response({"error": f"part {part!r}: not here"}, 404)
        if self._tier_of(part) == "disk":
            time.sleep(self._disk_seconds)
        self._link.carry(len(data))
        if self.app.faults.take("truncate"):
            data = data[: len(data) // 2]
        if self.app.faults.take("alter"):
            data = bytes([data[0] ^ 1]) + data[1:]
        return Response(data)

    def _delete_part(self, request: Request, part: str) -> Response:
        self._parts.pop(part, None)
        return json_response({})

    def _list_parts(self, request: Request) -> Response:
        return json_response({"parts": sorted(self._parts)})

    def _tier_of(self, part: str) -> str:
        attempt = part.split("/")[0]
        with self._lock:
            kept = [m for m in self._manifests.values() if m["attempt"] == attempt]
        return kept[0]["tier"] if kept else "memory"

    # --- manifests ---

    def _create_manifest(self, request: Request) -> Response:
        manifest = request.get_json()
        with self._lock:
            if manifest["path"] in self._manifests:
                return json_response({"error": "exists"}, 409)
            used = sum(m["size"] for m in self._manifests.values() if m["tier"] == "memory")
            manifest["tier"] = "memory" if used + manifest["size"] <= self._memory else "disk"
            manifest["used_at"] = time.monotonic()
            self._manifests[manifest["path"]] = manifest
        return json_response({}, 201)

    def _list_folder(self, request: Request, folder: str) -> Response:
        with self._lock:
            found = [m for p, m in self._manifests.items() if p.startswith(folder + "/")]
            for manifest in found:
                manifest["used_at"] = time.monotonic()
            return json_response({"manifests": found})

    def _delete_manifest(self, request: Request, path: str) -> Response:
        with self._lock:
            kept = self._manifests.get(path)
            if kept is None or kept["attempt"] != request.args.get("attempt"):
                return json_response({"error": "another attempt, or none"}, 409)
            del self._manifests[path]
        return json_response({})

    def _held(self, request: Request) -> Response:
        now = time.monotonic()
        with self._lock:
            held = [
                [
                    m["path"],
                    m["attempt"],
                    m["path"].split("/")[0],
                    m["blocks"],
                    m["size"],
                    round(now - m["used_at"], 3),
                    m["tier"],
                ]
                for m in self._manifests.values()
            ]
        return json_response({"held": held})

    def _set_tier(self, request: Request) -> Response:
        body = request.get_json()
        with self._lock:
            if body["path"] in self._manifests:
                self._manifests[body["path"]]["tier"] = body["tier"]
        return json_response({})

    def _stats(self, request: Request) -> Response:
        return json_response({"link_bytes": self._link.carried, "parts": len(self._parts)})


@click.command()
@listen_options
@click.option("--memory", default=64_000_000, help="Bytes of memory.")
@click.option("--disk", default=256_000_000, help="Bytes of disk.")
@click.option("--link", default=20_000_000.0, help="Bytes a second of the link.")
@click.option("--disk-seconds", default=0.005, help="Seconds before a part comes off the disk.")
def main(host: str, port: int, memory: int, disk: int, link: float, disk_seconds: float) -> None:
    """Serve the store host."""
    run(
        StoreStandIn(memory=memory, disk=disk, link=link, disk_seconds=disk_seconds).app, host, port
    )


if __name__ == "__main__":
    main()
