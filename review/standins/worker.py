"""Stand-in for a model worker: a process that streams numbered events and journals its runs.

python3 -m standins.worker '{"name": ..., "host": ..., "port": ..., "journal": ...}'
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

from .http import Request, head, serve

__all__: list[str] = []


class Worker:
    """One worker; with `unframed`, streams have no length and end with their connection."""

    def __init__(self, options: dict[str, Any]) -> None:
        self._name: str = options["name"]
        self._unframed: bool = options.get("unframed", False)
        self._pace: float = options.get("pace_seconds", 0.1)
        self._version: int = options.get("version", 1)
        self._software: str = options.get("software", "v1")
        self._model: str = options["model"]
        self._journal = Path(options["journal"]).open("a", buffering=1)  # noqa: SIM115
        self._running = 0

    def note(self, what: str, request_id: str, **more: object) -> None:
        """Append a line to the journal."""
        line = {"at": time.time(), "worker": self._name, "what": what, "id": request_id, **more}
        self._journal.write(json.dumps(line) + "\n")

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        if request.path == "/report":
            writer.write(self._report())
            return True
        if request.path == "/healthz":
            writer.write(head(200, {"X-Instance-Id": self._name, "Content-Length": "0"}))
            return True
        request_id = request.fields.get("x-request-id", "")
        fields = {
            "X-Request-Id": request_id,
            "X-Instance-Id": self._name,
            "X-Weight-Versions": str(self._version),
        }
        expected = request.fields.get("x-expect-instance", self._name)
        weights = int(request.fields.get("x-expect-version", self._version))
        if expected != self._name or weights != self._version:
            writer.write(head(421, {**fields, "Content-Length": "0"}))
            return True
        fields["X-Response-Seal"] = f"{self._name}.{request_id}"
        await self._stream(request, writer, request_id, fields)
        return not self._unframed

    async def _stream(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        request_id: str,
        fields: dict[str, str],
    ) -> None:
        """Send as many events as the request has tokens to generate, one token each."""
        count = int(request.fields["x-token-usage"].partition(",")[2])
        after = int(request.fields.get("last-event-id") or 0)
        self.note("runs", request_id, events=count, after=after)
        fields |= {"Content-Type": "text/event-stream"}
        fields |= {"Connection": "close"} if self._unframed else {"Transfer-Encoding": "chunked"}
        self._running += 1
        try:
            for number in range(after + 1, count + 1):
                await asyncio.sleep(self._pace)
                if number == after + 1:
                    writer.write(head(200, fields))
                data = f"token {number} of {count} by {self._software}"
                event = f"id: {number}\ndata: {data}\n\n".encode()
                writer.write(event if self._unframed else b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.transport.is_closing():
                    self.note("left by its caller", request_id, sent=number)
                    return
                self.note("sent", request_id, event=number)
            if not self._unframed:
                writer.write(b"0\r\n\r\n")
            self.note("ended", request_id, sent=count)
        finally:
            self._running -= 1

    def _report(self) -> bytes:
        models = [{"name": self._model, "version": self._version, "adapters": []}]
        report = {"stage": "combined", "models": models, "busy": False, "seq": 0, "waiting": 0}
        report |= {"running": self._running, "kv-used": 0, "kv-total": 40000, "handles": 0}
        body = json.dumps({**report, "clock_ms": time.monotonic() * 1000}).encode()
        fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        return head(200, fields) + body


async def _run(options: dict[str, Any]) -> None:
    worker = Worker(options)
    server = await serve(options["host"], options["port"], worker.handle)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
