"""A minimal HTTP/1.1 server for stand-ins, on asyncio's streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

__all__ = ["Request", "head", "read_request", "serve"]


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: str
    fields: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one request; returns whether the connection is kept."""


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    fields: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(method, path, query, fields, body)


def head(status: int, fields: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen on the address and answer one request of a connection at a time."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await handler(request, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    return await asyncio.start_server(connected, host, port, backlog=256)
