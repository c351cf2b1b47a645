"""The nodes and all that is outside them: what faults work on."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from .callers import Attempt, Caller, RestingCaller
from .machines import Machine, Net
from .outside import Outside

__all__ = ["Site", "status_of"]

_ZONES = ("a", "b", "c")
_READY_SECONDS = 60.0


class Site:
    """What a soak runs, without its callers and checks."""

    def __init__(self, *, folder: Path) -> None:
        self.machines: list[Machine] = []
        self.outside = Outside()
        self.pace = 1.0
        """Callers' rests are this part of their usual ones."""
        self.attempts: list[Attempt] = []
        """All requests of callers."""
        self.talks = 0
        """Faults under way that ask for talks in place of most chats."""
        self.takes_up = False
        """Whether callers take streams up that broke off."""
        self._callers: list[Caller] = []
        self._folder = folder
        self._net = Net(rng=random.Random())

    async def open(self, nodes: int) -> None:
        """Start everything, and wait until all nodes are ready."""
        await self.outside.open(plain=3, engines=4)
        for _ in range(nodes):
            await self.add_machine()
        async with asyncio.timeout(_READY_SECONDS):
            for machine in self.machines:
                while await status_of(machine.ready, "/readyz") != 200:
                    await asyncio.sleep(0.1)

    async def add_machine(self) -> None:
        """Start one more node."""
        number = len(self.machines)
        machine = Machine(
            name=f"n{number}",
            ip=self._net.address(),
            zone=_ZONES[number % len(_ZONES)],
            folder=self._folder,
            store=await self.outside.store_link(),
        )
        machine.start()
        self.machines.append(machine)

    def caller(self, rng: random.Random) -> Caller:
        """Return a caller of its own, whose requests a fault chooses."""
        caller = Caller(
            directories=lambda: [m.directory for m in self.some_machines()],
            rng=rng,
            attempts=self.attempts,
            talks=lambda: self.talks > 0,
            takes_up=lambda: self.takes_up,
        )
        self._callers.append(caller)
        return caller

    def resting_caller(self, rng: random.Random) -> RestingCaller:
        """Return a caller that keeps a connection which rests between requests."""
        caller = RestingCaller(
            directories=lambda: [m.directory for m in self.some_machines()],
            rng=rng,
            attempts=self.attempts,
            idle_seconds=lambda: self.outside.idle_seconds,
        )
        self._callers.append(caller)
        return caller

    def some_machines(self) -> list[Machine]:
        """Return the nodes, some twice where they are fewer than a caller asks."""
        return self.machines if len(self.machines) >= 3 else self.machines * 3

    def close(self) -> None:
        """End everything that was started here."""
        for caller in self._callers:
            caller.close()
        for machine in self.machines:
            machine.end()
        self.outside.end()


async def status_of(address: str, path: str, key: str = "") -> int:
    """Return the status of an answer, 0 where none comes."""
    host, _, port = address.rpartition(":")
    request_id = f"probe-{random.getrandbits(40):x}"
    request = (
        f"GET {path} HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 1000\r\nX-Credential: {key}\r\nConnection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request.encode())
                line = await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0
    return int(line.split()[1]) if line.startswith(b"HTTP") else 0
