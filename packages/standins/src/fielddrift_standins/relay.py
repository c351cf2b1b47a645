"""Stand in for a network path: pass bytes on, and let open connections fall silent.

A silent connection stays open and its bytes are taken, so that the kernels at
both ends find nothing wrong; they arrive nowhere.
"""

from __future__ import annotations

import asyncio

__all__ = ["Relay"]

_CHUNK_BYTES = 64 * 1024


class Relay:
    """A way to `address`; `silence` acts on the connections that are open now."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._paths: set[_Path] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None
        self.opened = 0
        """Connections accepted since the start."""

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._accepted, host, port)

    def silence(self) -> int:
        """Silence all open connections for good, and return how many they are; new ones work."""
        for path in self._paths:
            path.silent = True
        return len(self._paths)

    def close(self) -> None:
        """Stop listening and drop connections."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        host, _, port = self._address.rpartition(":")
        there_reader, there_writer = await asyncio.open_connection(host, int(port))
        path = _Path()
        self._paths.add(path)
        ways = [path.carry(reader, there_writer), path.carry(there_reader, writer)]
        tasks = [asyncio.ensure_future(way) for way in ways]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks)
        finally:
            self._paths.discard(path)
            self._tasks.difference_update(tasks)


class _Path:
    """One connection through the relay."""

    def __init__(self) -> None:
        self.silent = False

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass bytes on until the end; a silent path swallows them, and its end too."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            # The far end of a silent path learns nothing, until the relay is closed.
            if not self.silent:
                writer.close()
