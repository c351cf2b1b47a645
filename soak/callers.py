"""Send requests as the users' clients do, and keep what came of each."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fielddrift_standins.deployment import KEY

__all__ = ["EVENTS", "KINDS", "TALK", "Attempt", "Caller", "Kind"]

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
_PARTS = "aa:100,bb{session}:200,cc{number}:50"

_numbers = itertools.count(1)


class Kind(NamedTuple):
    """A kind of request: its route, whether it may run again, whether events answer it."""

    route: str
    repeatable: bool
    streams: bool


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
        self.whole = False
        self.left = False
        self.sent = False
        """Whether the whole request was handed to a connection."""

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
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"POST {self.path} HTTP/1.1\r\n{lines}\r\n".encode() + self.body


class _Connection(NamedTuple):
    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """One client: asks the directory, keeps a connection, sends one request after another."""

    def __init__(
        self,
        *,
        directories: Callable[[], Sequence[str]],
        rng: random.Random,
        attempts: list[Attempt],
        talks: Callable[[], bool] = lambda: False,
    ) -> None:
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
        self._rested_at = 0.0
        self._loop = asyncio.get_running_loop()

    async def run(self, pause: Callable[[], float]) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / pause()))
            await self.ask(Attempt(kind=self._kind(), now=self._loop.time()))

    async def ask(self, attempt: Attempt) -> None:
        """Send a request, and note what comes of it."""
        self._attempts.append(attempt)
        try:
            async with asyncio.timeout(_PATIENCE_MS / 1000 + 1.0):
                await self._send(attempt)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
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
        connection = await self._connection()
        attempt.address = connection.address
        connection.writer.write(attempt.head(self._rng))
        attempt.sent = True
        if self._rng.random() < _LEAVE_CHANCE:
            await asyncio.sleep(self._rng.uniform(0, 0.1))
            attempt.left = True
            self._drop()
            return
        keep = await self._read(attempt, connection.reader)
        if not keep or self._rng.random() > _KEEP_CHANCE:
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
        while size := int(await reader.readline(), 16):
            attempt.answer += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)

    # --- connections --------------------------------------------------------------

    async def _connection(self) -> _Connection:
        if self._kept is not None and self._loop.time() - self._rested_at < _IDLE_SECONDS:
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
        self._kept = _Connection(address, reader, writer)
        return self._kept

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
