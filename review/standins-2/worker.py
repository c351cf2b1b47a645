"""Stand in for a worker: runs requests, takes orders, reports, and can be told to misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from http_server import read_body, read_head
from kv_store import KvStore

__all__ = ["Arrival", "Order", "Worker"]


class Arrival(NamedTuple):
    """A request that reached a worker; `ran` is False where it was turned away."""

    at: float
    request_id: str
    source: str
    fields: dict[str, str]
    target: str
    body: bytes
    ran: bool


class Order(NamedTuple):
    """An order that came, or was carried out: `status` is 0 for one that got no answer."""

    at: float
    source: str
    body: dict[str, object]
    status: int


Behaviour = Callable[
    ["Worker", Arrival, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Worker:
    """One worker at `address`.

    `behave`, if set, is awaited for each request that the worker would run, and returns whether it
    has answered; `reads` is cleared to let the worker read no more requests.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        work_seconds: float = 0.02,
        slots: int = 6,
        model: str = "",
        version: int = 1,
        events: int = 0,
        gap_seconds: float = 0.02,
    ) -> None:
        self.name = name
        self.address = address
        self.work_seconds = work_seconds
        self.slots = slots
        self.model = model
        self.version = version
        self.events = events
        self.gap_seconds = gap_seconds
        self.load_seconds = 0.3
        self.versions: list[tuple[float, int]] = []
        """When new weights were loaded, and which."""
        self.changed: Callable[[], None] = lambda: None
        """Called when what the worker's entry tells has changed."""
        self.unanswered_reports = 0
        """Calls for reports that get no answer."""
        self.late_orders: list[float] = []
        """Seconds after which the next orders are carried out, which get no answer."""
        self.arrivals: list[Arrival] = []
        self.orders: list[Order] = []
        self.taken = 0
        self.busy = False
        self.running = 0
        self.behave: Behaviour | None = None
        self.reads = asyncio.Event()
        self.reads.set()
        self.stores: dict[str, KvStore] = {}
        """The stores that the worker reaches, by address."""
        self.tokens_per_second = 56_900.0
        self.move_factor = 1.0
        """How much longer moves take than on the link alone: 2 between zones."""
        self._cache: set[tuple[str, str]] = set()
        """The parts that the worker keeps, by salt and id."""
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port), limit=1 << 17)

    def close(self) -> None:
        """End as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    def entry(
        self, service: str, zone: str, state: str = "ready", seq: int = 0
    ) -> dict[str, object]:
        """Return the entry that the worker writes about itself."""
        entry: dict[str, object] = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": seq,
        }
        if self.model:
            entry["stage"] = "combined"
            entry["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
        return entry

    # --- connections ----------------------------------------------------------------

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        source = writer.get_extra_info("peername")[0]
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, OSError):
                while (head := await read_head(reader)) is not None:
                    await self.reads.wait()
                    first, fields = head
                    method, target, _ = first.split(" ", 2)
                    body = await read_body(reader, fields)
                    if not await self._answer(method, target, fields, body, source, reader, writer):
                        break
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        expected = fields.get("x-expect-instance", "")
        path = target.partition("?")[0]
        if path in ("/report", "/order", "/healthz"):
            if expected not in ("", self.name):
                return await self.reply(writer, 421, b"", {})
            if path == "/order" and self.late_orders:
                seconds, order = self.late_orders.pop(0), json.loads(body)
                self.orders.append(Order(time.monotonic(), source, order, 0))
                asyncio.get_running_loop().call_later(seconds, self._take, order, source)
                await asyncio.sleep(3600)
            if path == "/order":
                order = json.loads(body)
                return await self.reply(writer, self._take(order, source), b"", {})
            if path == "/report" and self.unanswered_reports:
                self.unanswered_reports -= 1
                await asyncio.sleep(3600)
            if path == "/report":
                return await self.reply(writer, 200, json.dumps(self._report()).encode(), {})
            return await self.reply(writer, 200, b"", {})
        request_id = fields.get("x-request-id", "")
        weights = fields.get("x-expect-version", "")
        wrong = expected not in ("", self.name) or (weights and int(weights) != self.version)
        arrival = Arrival(time.monotonic(), request_id, source, fields, target, body, not wrong)
        echo = {"X-Request-Id": request_id}
        if wrong:
            self.arrivals.append(arrival)
            return await self.reply(writer, 421, b"", echo)
        if self.busy and self.model:
            self.arrivals.append(arrival._replace(ran=False))
            return await self.reply(writer, 503, b"", {**echo, "X-Not-Executed": "1"})
        self.arrivals.append(arrival)
        if self.behave is not None and await self.behave(self, arrival, reader, writer):
            return not writer.transport.is_closing()
        async with self._free:
            self.running += 1
            try:
                if self.model:
                    await self._read_prompt(arrival)
                if self.events:
                    return await self._stream(arrival, writer)
                await asyncio.sleep(self.work_seconds)
            finally:
                self.running -= 1
        answer = f"answer to {request_id} by {self.name}".encode()
        return await self.reply(writer, 200, answer, self.sealed(request_id))

    async def _read_prompt(self, arrival: Arrival) -> None:
        """Fetch what the request names and the worker lacks, read the rest, begin the saves."""
        fields, salt = arrival.fields, arrival.fields.get("x-cache-salt", "")
        listed = fields.get("x-prompt-prefix", "")
        parts = [text.split(":") for text in listed.split(",") if text]
        fetches = _addresses(fields.get("x-kv-fetch", ""), len(parts))
        saves = _addresses(fields.get("x-kv-save", ""), len(parts))
        until_ms = float(fields.get("x-kv-until", "inf"))
        unread, kept = 0, True
        for (part, tokens), source in zip(parts, fetches, strict=True):
            if kept and (salt, part) in self._cache:
                continue
            seconds = None
            if kept and source in self.stores:
                store = self.stores[source]
                seconds = store.draw(arrival.request_id, salt, part, until_ms, self.move_factor)
            if seconds is None:
                kept = False
                unread += int(tokens)
            else:
                await asyncio.sleep(seconds)
        await asyncio.sleep(unread / self.tokens_per_second)
        for (part, tokens), target in zip(parts, saves, strict=True):
            self._cache.add((salt, part))
            if target in self.stores:
                saved = (arrival.request_id, salt, part, int(tokens), self.move_factor)
                self.stores[target].save(*saved)

    def sealed(self, request_id: str) -> dict[str, str]:
        """Return the fields of a successful answer."""
        fields = {"X-Request-Id": request_id, "X-Response-Seal": f"{self.name}.{request_id}"}
        if self.model:
            fields["X-Weight-Versions"] = str(self.version)
        return fields

    async def reply(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, fields: dict[str, str]
    ) -> bool:
        """Send a complete response."""
        lines = [f"HTTP/1.1 {status} Status", f"X-Instance-Id: {self.name}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        await writer.drain()
        return True

    async def _stream(self, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{n}: {v}" for n, v in self.sealed(arrival.request_id).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        after = int(arrival.fields.get("last-event-id") or 0)
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_seconds)
            event = f"id: {number}\ndata: {arrival.request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    # --- reports and orders ----------------------------------------------------------

    def _report(self) -> dict[str, object]:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "stage": "combined",
            "models": models if self.model else [],
            "busy": self.busy,
            "seq": self.taken,
            "waiting": 0,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 90000,
            "handles": 0,
            "clock_ms": time.monotonic() * 1000,
        }

    def _take(self, body: dict[str, object], source: str) -> int:
        """Carry an order out if it holds now; return the status of its answer."""
        status = 202
        if self.busy or body.get("expected", self.taken) != self.taken:
            status = 409
        elif body["version"] == self.version:
            status = 200
        self.orders.append(Order(time.monotonic(), source, body, status))
        if status == 202:
            self.taken += 1
            self.busy = True
            asyncio.get_running_loop().call_later(self.load_seconds, self._loaded, body["version"])
        return status

    def _loaded(self, version: int) -> None:
        self.version = version
        self.versions.append((time.monotonic(), version))
        self.busy = False
        self.changed()


def _addresses(listed: str, count: int) -> list[str]:
    """Return one address for each part, empty for none; a single one stands for all of them."""
    found = [text.strip().partition("/")[0].replace("-", "") for text in listed.split(",")]
    return found if len(found) == count else [found[0]] * count
