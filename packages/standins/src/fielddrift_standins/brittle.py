"""Stand in for workers with bounded room, which fall over when they turn many requests away."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from fielddrift_node.web.messages import Headers
from fielddrift_node.web.server import Limits, Request, Responder, Server

from .worker import Worker

__all__ = ["BrittleWorker"]

_WINDOW_SECONDS = 1.0
"""Time within which rejections count towards a fall."""


class BrittleWorker(Worker):
    """A worker that runs as many requests as it has room for, lets some wait, and rejects others.

    `room` is how many plain requests, or how many tokens of prompts, run at once; `waiting` is how
    many requests wait for it.  While `brittle` is a number, all answers say so, and the worker
    falls over when it rejects more than that within a second: for `down_seconds` it refuses
    connections.
    """

    def __init__(
        self,
        *,
        name: str,
        room: int,
        waiting: int = 4,
        events: int = 0,
        work_seconds: float = 0.0,
        pause_seconds: float = 0.0,
        down_seconds: float = 3.0,
    ) -> None:
        super().__init__(
            name=name, events=events, work_seconds=work_seconds, pause_seconds=pause_seconds
        )
        self.room = room
        self.waiting = waiting
        self.brittle: int | None = None
        self.down_seconds = down_seconds
        self.falls: list[float] = []
        """When the worker fell over, on the loop's clock."""
        self.rejected: list[float] = []
        """When it rejected a request for want of room, on the loop's clock."""
        self._used = 0
        self._queue: deque[tuple[int, asyncio.Future[None]]] = deque()
        self._address = ("", 0)
        self._down = False

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._address = (host, port)
        await super().start(host, port)

    def notice(self) -> Headers:
        """Return the headers by which this worker speaks of itself."""
        fields = super().notice()
        if self.brittle is not None:
            fields.add(b"Server-Brittle", str(self.brittle).encode())
        return fields

    async def _run(self, request: Request, responder: Responder) -> None:
        need = self._need(request)
        if self._used + need > self.room and len(self._queue) >= self.waiting:
            self._reject(request, responder)
            return
        if self._used + need > self.room or self._queue:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            entry = (need, turn)
            self._queue.append(entry)
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._release(need)
                elif entry in self._queue:
                    self._queue.remove(entry)
                raise
        else:
            self._used += need
        try:
            await super()._run(request, responder)
        finally:
            self._release(need)

    def _need(self, request: Request) -> int:
        usage = request.head.headers.text(b"x-token-usage")
        return sum(int(n) for n in usage.split(",")) if self.events and usage else 1

    def _release(self, need: int) -> None:
        self._used -= need
        while self._queue and self._used + self._queue[0][0] <= self.room:
            next_need, turn = self._queue.popleft()
            if not turn.done():
                self._used += next_need
                turn.set_result(None)

    def _reject(self, request: Request, responder: Responder) -> None:
        loop = asyncio.get_running_loop()
        request_id = request.head.headers.text(b"x-request-id")
        self.arrivals.append((loop.time(), request_id))
        refusal = Headers([*self.head(request_id), (b"X-Not-Executed", b"1")])
        responder.send(503, refusal, b"")
        self.rejected.append(loop.time())
        recent = sum(at > loop.time() - _WINDOW_SECONDS for at in self.rejected)
        if self.brittle is not None and recent > self.brittle and not self._down:
            self._fall()

    def _fall(self) -> None:
        loop = asyncio.get_running_loop()
        self.falls.append(loop.time())
        self._down = True
        self._server.stop_accepting()
        loop.call_soon(self._server.close)
        loop.call_later(self.down_seconds, self._come_back)

    def _come_back(self) -> None:
        if self.closed:
            return
        self._down = False
        self._server = Server(handler=self._handle, limits=Limits)
        task = asyncio.ensure_future(self._server.start(*self._address))
        self._returning: Callable[[], object] = task.cancel
