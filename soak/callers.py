"""Send requests as the users' clients do, and keep what came of each."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import re
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fielddrift_standins.deployment import KEY

__all__ = [
    "EVENTS",
    "KINDS",
    "PATIENCE_SECONDS",
    "REST_PART",
    "TALK",
    "Attempt",
    "Caller",
    "Kind",
    "RestingCaller",
]

EVENTS = 12
"""Events of each stream."""
_KEEP_SECONDS = 1.0
"""How long an entry answer is kept."""
_DIRECTORY_SECONDS = 1.0
_CONNECT_SECONDS = 1.0
_IDLE_SECONDS = 0.5
"""Rest after which a kept connection is not used again."""
_KEEP_CHANCE = 0.7
_LEAVE_CHANCE = 0.05
_PATIENCE_MS = 2500
PATIENCE_SECONDS = _PATIENCE_MS / 1000
"""The deadline that each request names, counted from its sending."""
_SILENCE_SECONDS = 1.0
"""How long a caller waits beyond it."""
REST_PART = 0.8
"""Part of the idle time for which a resting connection may be taken up again."""
_LONGEST_REST_SECONDS = 5.0
_SHORT_REST_CHANCE = 0.25
_SHORT_REST_SECONDS = 0.2
_PARTS = "aa:100,bb{session}:200,cc{number}:50"

_EVENT_ID = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")
_RETURN_CHANCE = 0.4
_RETURN_SECONDS = (0.05, 0.25)
"""How soon a caller that takes its stream up again leaves it."""
_MOST_TAKEN_UP = 3
"""How often a caller takes a stream up."""
_numbers = itertools.count(1)


class Kind(NamedTuple):
    """A kind of request: its route, whether it may run again, whether events answer it."""

    route: str
    repeatable: bool
    streams: bool

    @property
    def resumable(self) -> bool:
        """Whether its streams may be taken up."""
        return self.streams and self.repeatable


KINDS = (
    Kind("safe", repeatable=True, streams=False),
    Kind("unsafe", repeatable=False, streams=False),
    Kind("chat", repeatable=True, streams=True),
    Kind("verdict", repeatable=False, streams=True),
)
TALK = Kind("talk", repeatable=True, streams=True)
"""As a chat, with more attempts.  It takes the place of drawn chats while a fault asks for it:
were it one of `KINDS`, seeds that failed once would draw other requests."""


class Attempt:
    """One request as its caller saw it."""

    def __init__(self, *, kind: Kind, now: float) -> None:
        self.id = f"r{next(_numbers)}"
        self.kind = kind
        self.path = f"/{kind.route}/{self.id}?of={self.id}"
        self.body = f"ask {self.id}".encode()
        self.sent_at = now
        self.ended_at: float | None = None
        self.address = ""
        self.status = 0
        self.seal = ""
        self.answer = b""
        self.taken_up: Attempt | None = None
        """The attempt whose stream this one takes up behind its last whole event."""
        self.whole = False
        self.left = False
        self.returns = False
        """Whether its caller left to take its stream up at another node."""
        self.sent = False
        """Whether the whole request was handed to a connection."""
        self.handed_at: float | None = None
        """When it was."""
        self.end = ""
        """How the connection ended where no whole answer came: `closed`, `reset`, `silent` or
        `malformed`."""
        self.late = False
        """Whether the connection had been closed when the request was handed to it."""
        self.earlier = 0
        """Requests that the connection carried before."""
        self.rested = 0.0
        """Seconds for which the connection had rested."""
        self.found_closed: tuple[str, float] | None = None
        """The address, and the begin of the rest, of a connection that was to be taken up again
        and had been closed."""

    @property
    def first(self) -> Attempt:
        """The attempt that began the stream: this one, or the one that it takes up in the end."""
        return self if self.taken_up is None else self.taken_up.first

    @property
    def last_event(self) -> int:
        """The number of the last whole event, 0 before the first one."""
        numbers = _EVENT_ID.findall(self.answer)
        if numbers:
            return int(numbers[-1])
        return 0 if self.taken_up is None else self.taken_up.last_event

    @property
    def broke_off(self) -> bool:
        """Whether its stream broke off behind an event, and its caller has not left for good."""
        stays = self.returns or not self.left
        return self.status == 200 and not self.whole and stays and self.last_event > 0

    def take_up(self, *, now: float) -> Attempt:
        """Return an attempt that takes this one's stream up."""
        again = Attempt(kind=self.kind, now=now)
        again.path, again.body, again.taken_up = self.path, self.body, self
        return again

    def head(self, rng: random.Random) -> bytes:
        """Return the request."""
        fields = {
            "Host": "fleet.example",
            "X-Request-Id": self.id,
            "X-Deadline-Ms": str(_PATIENCE_MS),
            "X-Credential": KEY,
            "X-Tenant": "forged",
            "Content-Length": str(len(self.body)),
        }
        if self.kind.streams:
            session, number = rng.randrange(8), rng.randrange(1 << 30)
            fields["X-Model"] = "m"
            fields["X-Token-Usage"] = "350,10"
            fields["X-Prompt-Prefix"] = _PARTS.format(session=session, number=f"{number:x}")
        if self.taken_up is not None:
            fields["Last-Event-Id"] = str(self.taken_up.last_event)
            fields["Resumes"] = self.first.id
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"POST {self.path} HTTP/1.1\r\n{lines}\r\n".encode() + self.body


class _Connection(NamedTuple):
    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def closed(self) -> bool:
        """Return whether the other end has closed it."""
        ended = self.reader.at_eof() or self.reader.exception() is not None
        return ended or self.writer.transport.is_closing()


class Caller:
    """One client: asks the directory, keeps a connection, sends one request after another."""

    def __init__(
        self,
        *,
        directories: Callable[[], Sequence[str]],
        rng: random.Random,
        attempts: list[Attempt],
        talks: Callable[[], bool] = lambda: False,
        takes_up: Callable[[], bool] = lambda: False,
    ) -> None:
        self._takes_up = takes_up
        """Tells whether streams that broke off are to be taken up."""
        self._talks = talks
        """Tells whether most chats are to be sent as talks."""
        self._chats = 0
        """Chats drawn while they were."""
        self._directories = directories
        self._rng = rng
        self._attempts = attempts
        self._addresses: list[str] = []
        self._until = 0.0
        self._kept: _Connection | None = None
        self._carried = 0
        """Requests that it has carried."""
        self._rested_at = 0.0
        self._loop = asyncio.get_running_loop()

    async def run(self, pause: Callable[[], float]) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / pause()))
            attempt = Attempt(kind=self._kind(), now=self._loop.time())
            await self.ask(attempt)
            for _ in range(_MOST_TAKEN_UP):
                if not (self._takes_up() and attempt.kind.resumable and attempt.broke_off):
                    break
                self._drop()
                attempt = attempt.take_up(now=self._loop.time())
                await self.ask(attempt)

    async def ask(self, attempt: Attempt) -> None:
        """Send a request, and note what comes of it."""
        self._attempts.append(attempt)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS + _SILENCE_SECONDS):
                await self._send(attempt)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            attempt.end = _end_of(error)
            self._drop()
        finally:
            attempt.ended_at = self._loop.time()

    def _kind(self) -> Kind:
        kind = self._rng.choice(KINDS)
        if kind.route != "chat" or not self._talks():
            return kind
        self._chats += 1
        return kind if self._chats % 3 == 0 else TALK

    async def _send(self, attempt: Attempt) -> None:
        connection = await self._connection(attempt)
        attempt.address = connection.address
        attempt.earlier = self._carried
        attempt.rested = self._loop.time() - self._rested_at if self._carried else 0.0
        attempt.late = connection.closed
        self._carried += 1
        connection.writer.write(attempt.head(self._rng))
        attempt.sent = True
        attempt.handed_at = self._loop.time()
        if self._rng.random() < _LEAVE_CHANCE:
            await asyncio.sleep(self._rng.uniform(0, 0.1))
            attempt.left = True
            self._drop()
            return
        if attempt.kind.resumable and self._takes_up() and self._rng.random() < _RETURN_CHANCE:
            try:
                async with asyncio.timeout(self._rng.uniform(*_RETURN_SECONDS)):
                    keep = await self._read(attempt, connection.reader)
            except TimeoutError:
                attempt.left = attempt.returns = True
                self._drop()
                return
        else:
            keep = await self._read(attempt, connection.reader)
        if not keep or not self._keeps():
            self._drop()
        self._rested_at = self._loop.time()

    async def _read(self, attempt: Attempt, reader: asyncio.StreamReader) -> bool:
        """Read an answer; return whether the connection may be used again."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        attempt.status = int(head[0].split()[1])
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        attempt.seal = fields.get("x-response-seal", "")
        if fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(attempt, reader)
        else:
            attempt.answer = await reader.readexactly(int(fields["content-length"]))
        attempt.whole = True
        return fields.get("connection") != "close"

    async def _read_chunks(self, attempt: Attempt, reader: asyncio.StreamReader) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            attempt.answer += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)

    # --- connections --------------------------------------------------------------

    def _keeps(self) -> bool:
        """Return whether a connection that may be used again is kept."""
        return self._rng.random() <= _KEEP_CHANCE

    def _may_use(self, connection: _Connection, attempt: Attempt) -> bool:
        """Return whether a kept connection may carry one more request."""
        return self._loop.time() - self._rested_at < _IDLE_SECONDS

    async def _connection(self, attempt: Attempt) -> _Connection:
        if self._kept is not None and self._may_use(self._kept, attempt):
            return self._kept
        self._drop()
        await self._resolve()
        address = self._rng.choice(self._addresses)
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            # Left out until a new answer comes.
            self._addresses.remove(address)
            raise
        self._kept, self._carried = _Connection(address, reader, writer), 0
        return self._kept

    def close(self) -> None:
        """Abort the connection that is kept, while the event loop still runs."""
        self._drop()

    def _drop(self) -> None:
        if self._kept is not None:
            self._kept.writer.transport.abort()
            self._kept = None

    async def _resolve(self) -> None:
        if self._addresses and self._loop.time() < self._until:
            return
        for directory in self._rng.sample(self._directories(), k=3):
            try:
                async with asyncio.timeout(_DIRECTORY_SECONDS):
                    self._addresses = await _ask_directory(directory)
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                continue
            if self._addresses:
                self._until = self._loop.time() + _KEEP_SECONDS
                return
        if not self._addresses:
            raise OSError("no directory answers")


class RestingCaller(Caller):
    """A client that keeps its connection until the other end closes it, and lets it rest."""

    def __init__(
        self,
        *,
        directories: Callable[[], Sequence[str]],
        rng: random.Random,
        attempts: list[Attempt],
        idle_seconds: Callable[[], float],
    ) -> None:
        super().__init__(directories=directories, rng=rng, attempts=attempts)
        self._idle_seconds = idle_seconds
        """Tells the idle time of the newest configuration."""

    async def rest_and_ask(self) -> None:
        """Send until cancelled, with rests for which the idle time allows."""
        while True:
            if self._rng.random() < _SHORT_REST_CHANCE:
                rest = self._rng.uniform(0.0, _SHORT_REST_SECONDS)
            else:
                longest = min(REST_PART * self._idle_seconds(), _LONGEST_REST_SECONDS)
                rest = self._rng.uniform(_SHORT_REST_SECONDS, longest)
            await asyncio.sleep(rest)
            await self.ask(Attempt(kind=self._kind(), now=self._loop.time()))

    def _keeps(self) -> bool:
        return True

    def _may_use(self, connection: _Connection, attempt: Attempt) -> bool:
        if self._loop.time() - self._rested_at > REST_PART * self._idle_seconds():
            return False
        if connection.closed:
            attempt.found_closed = (connection.address, self._rested_at)
            return False
        return True


def _end_of(error: Exception) -> str:
    """Return how a connection ended on which `error` was seen."""
    if isinstance(error, TimeoutError):
        return "silent"
    if isinstance(error, asyncio.IncompleteReadError):
        return "closed"
    return "reset" if isinstance(error, OSError) else "malformed"


async def _ask_directory(address: str) -> list[str]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        question = "GET /resolve?name=fleet.example&region=r&zone=a HTTP/1.1\r\n"
        writer.write(f"{question}Host: x\r\nConnection: close\r\n\r\n".encode())
        answer = await reader.read()
    finally:
        writer.transport.abort()
    head, _, body = answer.partition(b"\r\n\r\n")
    if b" 200 " not in head.partition(b"\r\n")[0]:
        return []
    found: list[str] = json.loads(body)["addresses"]
    return found
