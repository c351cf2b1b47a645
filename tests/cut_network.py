"""Cut the links from one node to all targets, in each way in which links fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from fielddrift_standins.fleet import HOST

from soak.links import Harm, Link

__all__ = ["Cut", "CutNetwork"]


class Cut(StrEnum):
    """What becomes of a node's connections to targets."""

    NONE = "none"
    SILENT = "silent"
    """Open connections carry nothing, new ones hang."""
    RESET = "reset"
    """Open connections are reset once they are used, and new ones at once."""
    REFUSED = "refused"
    """Open connections live on, new ones are refused."""


class CutNetwork:
    """The links from one node to the targets.

    `is_target` tells for an address whether it is a target's.
    """

    def __init__(self, *, is_target: Callable[[str], bool]) -> None:
        self._is_target = is_target
        self._links: dict[str, Link] = {}
        self._cut = Cut.NONE
        self._only: frozenset[str] = frozenset()
        self._starting = asyncio.Lock()

    def cut(self, cut: Cut, *, only: frozenset[str] = frozenset()) -> None:
        """Cut the links to all targets, or to the addresses in `only`; `Cut.NONE` heals them."""
        self._cut = cut
        self._only = only
        for address, link in self._links.items():
            harmed = cut is Cut.SILENT and self._is_cut(address)
            link.harm = Harm(lose_to_server=harmed, lose_to_client=harmed)
            if cut is Cut.RESET and self._is_cut(address):
                link.lose()
            if harmed:
                link.silence()

    def _is_cut(self, address: str) -> bool:
        return self._cut is not Cut.NONE and (not self._only or address in self._only)

    async def open_connection(
        self, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[asyncio.BaseTransport, Any]:
        """Open a connection, as the event loop's `create_connection` does."""
        address = f"{host}:{port}"
        loop = asyncio.get_running_loop()
        if not self._is_target(address):
            return await loop.create_connection(factory, host, port)
        if self._is_cut(address):
            if self._cut is Cut.SILENT:
                await asyncio.Event().wait()
            failure = ConnectionResetError if self._cut is Cut.RESET else ConnectionRefusedError
            raise failure(f"{address}: {self._cut}")
        async with self._starting:
            if address not in self._links:
                self._links[address] = await Link(target=address).start()
        link_port = int(self._links[address].address.rpartition(":")[2])
        return await loop.create_connection(factory, HOST, link_port)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
