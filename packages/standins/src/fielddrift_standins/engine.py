"""Play a model engine: batching, a bounded prefix cache, KV export and import.

Prefills go one at a time, by priority; decodes share the slots.  Switches:
`down`, `slow`, `hang` (seconds before the first token), `cut_after` (events
before each stream is cut), `cut_inside` (the same, and half of the next event
comes too), `early_end` (events before an end mark that tells of fewer), `double`,
`reorder`, `leaving`, `gap` (cache events are lost), `short` (the end comes early
without its mark), `wrong_version`, `trusting` (imports are not checked).
"""

from __future__ import annotations

import hashlib
import json
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from itertools import count
from typing import Any, NamedTuple

import click
from werkzeug.wrappers import Request, Response

from .answers import BLOCK_BYTES, TOKEN_BYTES, answer, first_kv, kv_block
from .fetch import fetch
from .web import App, json_response, listen_options, run

__all__ = ["EngineStandIn", "main"]

_EVENT = b'id: %d\ndata: {"choices": [{"index": 0, "text": "%s "}]}\n\n'
_END = b'event: end\nid: %d\ndata: {"count": %d}\n\n'
_THREADS = 260
_KEPT_RUNS = 500
_LONGEST_QUEUE = 64


class _Used(NamedTuple):
    memory: int
    imported: int
    recomputed: int
    import_seconds: float


class _Turns:
    """Let so many holders in at a time, the highest priority first."""

    def __init__(self, size: int) -> None:
        self._free = size
        self._waiting: list[tuple[int, int]] = []
        self._numbers = count()
        self._changed = threading.Condition()

    def enter(self, priority: int) -> None:
        with self._changed:
            mine = (-priority, next(self._numbers))
            self._waiting.append(mine)
            self._changed.wait_for(lambda: self._free and min(self._waiting) == mine)
            self._waiting.remove(mine)
            self._free -= 1
            self._changed.notify_all()

    def leave(self) -> None:
        with self._changed:
            self._free += 1
            self._changed.notify_all()

    @property
    def waiting(self) -> int:
        return len(self._waiting)


class _PrefixCache:
    """A bounded cache of KV blocks, the least recently used going first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._blocks: OrderedDict[str, bytes] = OrderedDict()
        self._lock = threading.Lock()
        self._events: list[tuple[float, int, str]] = []
        self._sequence = 0

    def get(self, name: str) -> bytes | None:
        with self._lock:
            if name in self._blocks:
                self._blocks.move_to_end(name)
            return self._blocks.get(name)

    def put(self, name: str, data: bytes) -> None:
        with self._lock:
            self._blocks[name] = data
            while len(self._blocks) > self._limit:
                gone, _ = self._blocks.popitem(last=False)
                self._sequence += 1
                event = (time.monotonic(), self._sequence, gone)
                self._events = [*self._events[-499:], event]

    def events(self, after: int, lag: float) -> list[tuple[int, str]]:
        """Return the evictions numbered above `after`, each `lag` seconds late."""
        seen = time.monotonic() - lag
        with self._lock:
            return [(n, gone) for at, n, gone in self._events if n > after and at <= seen]

    def clear(self) -> None:
        with self._lock:
            self._blocks.clear()


def _names(prompt: bytes, version: str, salt: str) -> list[str]:
    state = hashlib.blake2b(f"{version}\0{salt}\0".encode(), digest_size=8)
    names = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(prompt[start : start + BLOCK_BYTES])
        names.append(state.copy().hexdigest())
    return names


class EngineStandIn:
    """Serve one model, in one or more weight versions."""

    def __init__(
        self,
        *,
        model: str,
        slots: int,
        prefill_rate: float,
        step: float,
        cache_blocks: int,
        load_lag: float,
        checks: bool,
        weights: str,
    ) -> None:
        self._model = model
        self._prefill_rate = prefill_rate
        self._step = step
        self._load_lag = load_lag
        self._checks = checks
        self._weights = weights
        self._slots = _Turns(slots)
        self._prefill = _Turns(1)
        self._cache = _PrefixCache(cache_blocks)
        self._lock = threading.Lock()
        self._versions: set[str] = set()
        self._wanted: set[str] = set()
        self._adapters: set[str] = set()
        self._work = "both"
        self._running: dict[str, int] = {}
        self._fence = 0
        self._backlog = 0
        self._active = 0
        self._orders = 0
        self._loads: list[tuple[float, dict[str, Any]]] = []
        self._runs: OrderedDict[str, tuple[bytes, str, str]] = OrderedDict()
        self._cancelled: set[str] = set()
        self._epoch = int(time.time() * 1000)
        self.app = App(
            rules=[
                ("POST", "/v1/runs", self._run),
                ("DELETE", "/v1/runs/<run_id>", self._cancel),
                ("POST", "/kv/export", self._export),
                ("POST", "/kv/clear", self._clear),
                ("GET", "/load", self._get_load),
                ("POST", "/orders", self._order),
                ("GET", "/orders", self._get_orders),
            ]
        )

    # --- runs ---

    def _run(self, request: Request) -> Response:
        order = request.get_json()
        if self.app.faults.get("leaving"):
            return json_response({}, 503, X_Started="no", X_Leaving=str(self._epoch))
        if order["version"] not in self._versions or order["version"] not in self._wanted:
            detail = f"version {order['version']!r}: not loaded"
            return json_response({"detail": detail}, 409, X_Started="no")
        if self._slots.waiting >= _LONGEST_QUEUE:
            return json_response({"detail": "queue is full"}, 429, X_Started="no")
        prompt = order["prompt"].encode()
        self._count(order["version"], 1, len(prompt) // TOKEN_BYTES)
        try:
            self._slots.enter(order.get("priority", 0))
        finally:
            self._count(order["version"], 0, -(len(prompt) // TOKEN_BYTES))
        self.app.end_if_fatal(order["prompt"])
        try:
            blocks, used = self._context(order, prompt)
        except BaseException:
            self._finish(order["version"])
            raise
        return self._start(order, prompt, blocks, used)

    def _start(
        self, order: dict[str, Any], prompt: bytes, blocks: list[bytes], used: _Used
    ) -> Response:
        version = order["version"]
        words = answer(prompt, blocks, version, order["salt"], order["max_tokens"])
        with self._lock:
            self._runs[order["run"]] = (prompt, version, order["salt"])
            while len(self._runs) > _KEPT_RUNS:
                self._runs.popitem(last=False)
        if self.app.faults.get("wrong_version"):
            version = "another"
        headers = {
            "X-Version": version,
            "X-Customer": order["customer"],
            "X-Context": f"memory={used.memory} imported={used.imported} "
            f"recomputed={used.recomputed} import_seconds={used.import_seconds:.4f}",
            "X-Load": json.dumps(self._lagged()),
            "X-Epoch": str(self._epoch),
            "X-Root": next(iter(_names(prompt, order["version"], order["salt"])), ""),
        }
        events = self._faulty(self._events(order, words))
        response = Response(events, 200, headers, mimetype="text/event-stream")
        response.call_on_close(lambda: self._finish(order["version"]))
        return response

    def _events(self, order: dict[str, Any], words: list[str]) -> Iterator[bytes]:
        first = order.get("resume_at", 1)
        for number, word in enumerate(words, 1):
            if number < first:
                continue
            if order["run"] in self._cancelled:
                return
            yield _EVENT % (number, word.encode())
            time.sleep(self._step)
        if not self.app.faults.get("short"):
            yield _END % (len(words) + 1, len(words))

    def _faulty(self, events: Iterator[bytes]) -> Iterator[bytes]:
        faults = self.app.faults
        cut_after, cut_inside = faults.get("cut_after"), faults.get("cut_inside")
        early_end = faults.get("early_end")
        held = b""
        for number, event in enumerate(events, 1):
            if cut_after is not None and number > cut_after:
                raise ConnectionAbortedError
            if cut_inside is not None and number > cut_inside:
                yield event[: len(event) // 2]
                raise ConnectionAbortedError
            if early_end is not None and number > early_end:
                yield _END % (number, number - 2)
                return
            if faults.get("reorder") and number % 3 == 1:
                held = event
                continue
            yield event + held
            held = b""
            if faults.get("double") and number % 4 == 0:
                yield event
        yield held

    def _context(self, order: dict[str, Any], prompt: bytes) -> tuple[list[bytes], _Used]:
        """Fill the prompt's blocks from memory, an import, or by computing them."""
        names = _names(prompt, order["version"], order["salt"])
        began = time.monotonic()
        imported = self._import(order.get("context"), names)
        import_seconds = time.monotonic() - began
        self._prefill.enter(order.get("priority", 0))
        try:
            if hang := self.app.faults.get("hang"):
                time.sleep(hang)
            blocks, computed = self._fill(order, prompt, names)
            rest = len(prompt) - len(names) * BLOCK_BYTES
            tokens = (computed * BLOCK_BYTES + rest) / TOKEN_BYTES
            time.sleep(tokens / self._prefill_rate)
        finally:
            self._prefill.leave()
        memory = max(0, len(names) - computed - imported)
        return blocks, _Used(memory, imported, computed, import_seconds)

    def _fill(
        self, order: dict[str, Any], prompt: bytes, names: list[str]
    ) -> tuple[list[bytes], int]:
        blocks: list[bytes] = []
        before = first_kv(order["version"], order["salt"])
        computed = 0
        for index, name in enumerate(names):
            block = self._cache.get(name) if computed == 0 else None
            if block is None:
                computed += 1
                text = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
                block = kv_block(before, text)
                self._cache.put(name, block)
            blocks.append(block)
            before = block
        return blocks, computed

    def _import(self, context: dict[str, Any] | None, names: list[str]) -> int:
        """Import whole parts that match the manifest; return the blocks taken."""
        if context is None:
            return 0
        data = b""
        until = time.monotonic() + context["seconds"]
        for part_id, length, digest in context["parts"]:
            url = f"http://{context['store']}/parts/{part_id}"
            got = fetch("GET", url, timeout=max(0.001, until - time.monotonic()))
            body = got.body
            right = hashlib.sha256(body).hexdigest() == digest or self.app.faults.get("trusting")
            if got.status != 200 or len(body) != length or not right:
                return 0
            data += body
        blocks = min(context["blocks"], len(names))
        size = len(data) // context["blocks"]
        for index in range(blocks):
            self._cache.put(names[index], data[index * size : (index + 1) * size])
        return blocks

    def _cancel(self, request: Request, run_id: str) -> Response:
        self._cancelled.add(run_id)
        return json_response({})

    def _count(self, version: str, runs: int, tokens: int) -> None:
        with self._lock:
            self._running[version] = self._running.get(version, 0) + runs
            self._active += runs
            self._backlog += tokens

    def _finish(self, version: str) -> None:
        self._slots.leave()
        self._count(version, -1, 0)
        self._unload()

    # --- KV cache ---

    def _export(self, request: Request) -> Response:
        """Write a run's blocks to a store host as parts of one attempt."""
        order = request.get_json()
        with self._lock:
            kept = self._runs.get(order["run"])
        if kept is None:
            return json_response({"error": "run is forgotten"}, 404)
        names = _names(*kept)[: order["blocks"]]
        blocks = [self._cache.get(name) for name in names]
        parts: list[list[Any]] = []
        per_part = order["blocks_a_part"]
        for start in range(0, len(blocks), per_part):
            piece = blocks[start : start + per_part]
            if any(block is None for block in piece):
                return json_response({"error": "blocks were evicted"}, 409)
            data = b"".join(block for block in piece if block)
            part = f"{order['attempt']}/{start}"
            url = f"http://{order['store']}/parts/{part}"
            if fetch("PUT", url, data, timeout=10.0).status != 200:
                return json_response({"error": "store host refused"}, 502)
            parts.append([part, len(data), hashlib.sha256(data).hexdigest()])
        return json_response({"parts": parts})

    def _clear(self, request: Request) -> Response:
        self._cache.clear()
        return json_response({})

    # --- load and orders ---

    def _sample(self) -> dict[str, Any]:
        waiting = self._slots.waiting
        return {
            "running": max(0, self._active - waiting),
            "queued": waiting,
            "backlog": self._backlog,
            "leaving": bool(self.app.faults.get("leaving")),
            "epoch": self._epoch,
            "versions": sorted(self._versions & self._wanted),
        }

    def _lagged(self) -> dict[str, Any]:
        now = time.monotonic()
        with self._lock:
            self._loads.append((now, self._sample()))
            while len(self._loads) > 1 and self._loads[1][0] <= now - self._load_lag:
                self._loads.pop(0)
            return self._loads[0][1]

    def _get_load(self, request: Request) -> Response:
        after = int(request.args.get("after", 0))
        events = self._cache.events(after, self._load_lag)
        sequence = events[-1][0] if events else after
        if self.app.faults.get("gap"):
            events = []
        return json_response({**self._lagged(), "events": events, "sequence": sequence})

    def _order(self, request: Request) -> Response:
        order = request.get_json()
        with self._lock:
            if self._checks and order["fence"] < self._fence:
                return json_response({"error": "fence is old", "fence": self._fence}, 409)
            self._fence = max(self._fence, order["fence"])
            self._orders += 1
            self._wanted = set(order["versions"])
            self._adapters = set(order.get("adapters", ()))
            self._work = order.get("work", "both")
            self._model = order.get("model", self._model)
            missing = self._wanted - self._versions
        for version in sorted(missing):
            url = f"http://{self._weights}/weights/{self._model}/{version}"
            if self._weights and fetch("GET", url).status != 200:
                return json_response({"error": "weights are not to be had"}, 502)
            self._versions.add(version)
        self._unload()
        return self._get_orders(request)

    def _unload(self) -> None:
        with self._lock:
            for version in sorted(self._versions - self._wanted):
                if self._running.get(version, 0) <= 0:
                    self._versions.discard(version)

    def _get_orders(self, request: Request) -> Response:
        return json_response(
            {
                "versions": sorted(self._versions),
                "wanted": sorted(self._wanted),
                "model": self._model,
                "adapters": sorted(self._adapters),
                "work": self._work,
                "fence": self._fence,
                "orders": self._orders,
            }
        )


@click.command()
@listen_options
@click.option("--model", required=True)
@click.option("--slots", default=8)
@click.option("--prefill-rate", default=20_000.0, help="Tokens a second.")
@click.option("--step", default=0.01, help="Seconds between tokens.")
@click.option("--cache-blocks", default=256, help="Blocks that the memory holds.")
@click.option("--load-lag", default=0.2, help="Seconds by which the load is late.")
@click.option("--checks/--no-checks", default=True, help="Refuse orders with an old fence.")
@click.option("--weights", default="", help="Address of the weight store.")
def main(host: str, port: int, **options: Any) -> None:
    """Serve the engine."""
    run(EngineStandIn(**options).app, host, port, threads=_THREADS)


if __name__ == "__main__":
    main()
