"""A small HTTP/1.1 server for stand-ins: one request at a time on each connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

__all__ = ["HttpServer", "Reply", "Request", "read_head"]


class Request(NamedTuple):
    """A complete request; header names are in lower case, `source` is the caller's address."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    source: str


class Reply(NamedTuple):
    """A complete response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields of a message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body that belongs to `fields`."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class HttpServer:
    """Listens, and answers each request with what `answer` returns."""

    def __init__(self, answer: Callable[[Request], Awaitable[Reply]]) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._accept, host, port, limit=1 << 20)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, OSError):
            while (head := await read_head(reader)) is not None:
                first, fields = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, fields)
                reply = await self._answer(Request(method, target, fields, body, source))
                lines = [f"HTTP/1.1 {reply.status} Status"]
                lines += [f"{name}: {value}" for name, value in reply.headers.items()]
                lines += [f"Content-Length: {len(reply.body)}", "", ""]
                writer.write("\r\n".join(lines).encode("latin-1") + reply.body)
                await writer.drain()
        writer.close()
