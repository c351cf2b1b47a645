"""Model an engine as the users' pages describe it: steps over a batch, memory by blocks.

Each step reads a piece of the prompts that are not read yet and makes one token
for every other run.  Memory is shared by running prompts and parts that may
give way; when it is full, the newest of the least urgent runs is pushed out for
a more urgent one and reads its prompt anew.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable

from fielddrift_core.prompt import Part
from fielddrift_core.store_index import allocated_tokens
from fielddrift_node.serving.ports import OutgoingRequest
from fielddrift_node.web.errors import ExchangeError
from fielddrift_node.web.exchange import Exchange
from fielddrift_node.web.messages import Headers, ResponseHead

from .sizes import Sizes
from .stores import StoreHost

__all__ = ["Engine", "Reads"]

_QUEUE_FACTOR = 3
"""Prompts that wait at an engine at most, in its places."""
_STRIDE = 7
"""Tokens in one event of an answer."""
_USUAL_URGENCY = 5
_STREAM = ResponseHead(200, Headers([(b"Transfer-Encoding", b"chunked")]), None, True)
_FULL = ResponseHead(503, Headers(), 0, True)


class Reads:
    """Prompt tokens that engines read, found kept, and read again although kept before."""

    def __init__(self) -> None:
        self.read = 0
        self.kept = 0
        self.again = 0
        self.preempted = 0
        self.seen: set[tuple[str, str]] = set()


class _Run:
    """A prompt at an engine."""

    def __init__(self, *, send: OutgoingRequest, exchange: Exchange, number: int) -> None:
        prompt = send.parsed.prompt
        assert prompt is not None
        self.send = send
        self.exchange = exchange
        self.prompt = prompt
        self.number = number
        self.urgency = _USUAL_URGENCY if send.urgency is None else send.urgency
        self.fetched: set[str] = set()
        self.alive = True
        self.unread = 0
        self.read_parts: list[Part] = []
        self.made = 0
        self.own_room = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return what is admitted first and pushed out last."""
        return self.urgency, self.number


class _Line:
    """Stands for the connection of an exchange: what its close ends."""

    carrier_process = ""
    """No other node carries it."""
    process = ""
    """Engines here do not start again."""

    def __init__(self, closed: Callable[[], None]) -> None:
        self.close = closed

    def pause_reading(self) -> None:
        """Nothing is held up here."""

    def resume_reading(self) -> None:
        """Nothing is held up here."""


class Engine:
    """One engine, by the name of its instance."""

    def __init__(
        self, *, name: str, sizes: Sizes, stores: dict[str, StoreHost], reads: Reads
    ) -> None:
        self.name = name
        self.slowness = 1.0
        self.up = True
        self._sizes = sizes
        self._stores = stores
        self._reads = reads
        self._loop = asyncio.get_running_loop()
        self._numbers = Counter[str]()
        self._waiting: list[_Run] = []
        self._running: list[_Run] = []
        self._fetching = 0
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._uses = Counter[tuple[str, str]]()
        self._used = 0
        self._stepping = False

    @property
    def waiting(self) -> int:
        """Return how many prompts wait."""
        return len(self._waiting) + self._fetching

    def take(self, send: OutgoingRequest, exchange: Exchange) -> None:
        """Take a prompt, or say that it is not run."""
        if self.waiting >= _QUEUE_FACTOR * self._sizes.slots:
            exchange.head_received(_FULL)
            exchange.completed()
            return
        self._numbers["run"] += 1
        run = _Run(send=send, exchange=exchange, number=self._numbers["run"])
        exchange.bind(_Line(lambda: self._leave(run)))  # type: ignore[arg-type]
        ready = self._fetch(run)
        self._fetching += 1
        self._loop.call_at(ready, self._fetched, run)

    def crash(self) -> None:
        """Break off every run and forget everything."""
        self.up = False
        for run in [*self._running, *self._waiting]:
            run.alive = False
            run.exchange.failed(ExchangeError("connection lost", sent=True, reason="reset"))
        self._running, self._waiting = [], []
        self._parts.clear()
        self._uses.clear()
        self._used = 0

    # --- arriving ---------------------------------------------------------------

    def _fetch(self, run: _Run) -> float:
        """Order the fetches of `run`; return when the last one has ended."""
        ready = self._loop.time()
        salt = run.send.salt
        for part, source in zip(run.prompt.parts, run.send.fetch.sources, strict=False):
            if (salt, part.id) in self._parts:
                continue
            store = self._stores.get(source)
            at = None if store is None else store.fetch(salt, part, self._sizes.token_bytes)
            if at is None:
                break
            run.fetched.add(part.id)
            ready = max(ready, at)
        return ready

    def _fetched(self, run: _Run) -> None:
        self._fetching -= 1
        if run.alive and self.up:
            self._waiting.append(run)
            self._waiting.sort(key=lambda r: r.order)
            self._wake()

    def _leave(self, run: _Run) -> None:
        """End a run whose caller or node has gone."""
        if not run.alive:
            return
        run.alive = False
        if run in self._waiting:
            self._waiting.remove(run)
        if run in self._running:
            self._release(run)

    # --- memory -----------------------------------------------------------------

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._sizes.slots:
            run = self._waiting[0]
            needed = self._needed(run)
            if needed > self._sizes.memory:
                self._waiting.pop(0)
                run.alive = False
                run.exchange.head_received(_FULL)
                run.exchange.completed()
                continue
            if not self._make_room(run, needed):
                return
            self._waiting.pop(0)
            self._start(run)

    def _needed(self, run: _Run) -> int:
        """Return the tokens of memory that `run` takes beside what other runs use."""
        salt = run.send.salt
        used = {part.id for part in run.prompt.shared if self._uses[(salt, part.id)] > 0}
        shared = sum(
            allocated_tokens(part.tokens) for part in run.prompt.shared if part.id not in used
        )
        return shared + allocated_tokens(run.prompt.parts[-1].tokens + run.prompt.tokens_out)

    def _make_room(self, run: _Run, needed: int) -> bool:
        while self._used + needed > self._sizes.memory:
            pushed = max(self._running, key=lambda r: r.order, default=None)
            if pushed is None or pushed.urgency <= run.urgency:
                return False
            self._release(pushed)
            pushed.fetched.clear()
            self._reads.preempted += 1
            self._waiting.append(pushed)
            self._waiting.sort(key=lambda r: r.order)
            needed = self._needed(run)
        kept = sum(tokens for key, tokens in self._parts.items() if not self._uses[key])
        for key in [key for key in self._parts if not self._uses[key]]:
            if self._used + needed + kept <= self._sizes.memory:
                break
            kept -= self._parts.pop(key)
        return True

    def _start(self, run: _Run) -> None:
        salt = run.send.salt
        run.unread, run.read_parts, gap = 0, [], False
        for part in run.prompt.shared:
            key = (salt, part.id)
            ready = not gap and (key in self._parts or part.id in run.fetched)
            if ready:
                self._reads.kept += part.tokens
            else:
                gap = True
                run.unread += part.tokens
                run.read_parts.append(part)
                self._reads.again += part.tokens if key in self._reads.seen else 0
                self._reads.seen.add(key)
            if self._uses[key] == 0:
                self._used += allocated_tokens(part.tokens)
            self._uses[key] += 1
            self._parts[key] = allocated_tokens(part.tokens)
            self._parts.move_to_end(key)
        own = run.prompt.parts[-1].tokens
        run.unread += own
        self._reads.read += run.unread
        run.own_room = allocated_tokens(own + run.prompt.tokens_out)
        self._used += run.own_room
        run.made = 0
        self._running.append(run)

    def _release(self, run: _Run) -> None:
        self._running.remove(run)
        self._used -= run.own_room
        for part in run.prompt.shared:
            key = (run.send.salt, part.id)
            self._uses[key] -= 1
            if self._uses[key] == 0:
                self._used -= self._parts.get(key, 0)
                if run.unread > 0 and part in run.read_parts:
                    self._parts.pop(key, None)

    # --- steps ------------------------------------------------------------------

    def _wake(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._stepping = False
        if not self.up:
            return
        self._admit()
        if not self._running:
            return
        sizes = self._sizes
        left, reading, making = sizes.chunk, [], []
        for run in self._running:
            if run.unread > 0:
                piece = min(left, run.unread)
                left -= piece
                run.unread -= piece
                if piece and run.unread == 0:
                    reading.append(run)
            else:
                making.append(run)
        seconds = sizes.step_seconds + sizes.step_run_seconds * len(self._running)
        seconds += (sizes.chunk - left) / sizes.read_rate
        self._stepping = True
        self._loop.call_later(seconds * self.slowness, self._stepped, reading, making)

    def _stepped(self, reading: list[_Run], making: list[_Run]) -> None:
        self._stepping = False
        if not self.up:
            return
        for run in reading:
            if run.alive and run in self._running:
                self._read(run)
        for run in [*reading, *making]:
            if run.alive and run in self._running:
                self._make(run)
        self._wake()

    def _read(self, run: _Run) -> None:
        """Save what was read, where that was asked for."""
        saves = dict(zip(run.prompt.parts, run.send.fetch.saves, strict=False))
        for part in run.read_parts:
            store = self._stores.get(saves.get(part, ""))
            if store is not None:
                store.save(run.send.salt, part, self._sizes.token_bytes)

    def _make(self, run: _Run) -> None:
        run.made += 1
        if run.made == 1:
            run.exchange.head_received(_STREAM)
        last = run.made >= run.prompt.tokens_out
        if run.made % _STRIDE == 1 or last:
            run.exchange.body_received(b"id: %d\ndata: t\n\n" % run.made)
        if last:
            run.alive = False
            self._release(run)
            run.exchange.completed()
