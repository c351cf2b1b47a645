"""Run nodes as processes of their own, each at a loopback address of its own."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

from fielddrift_standins.fleet import free_port

from .links import Link

__all__ = ["GRACE_SECONDS", "Machine", "Net"]

GRACE_SECONDS = 4.0
_SETTINGS = """\
node-name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "r"
port-range = [{gossip}, {gossip}]
seeds = []
[listen]
front = "{front}"
ready = "{ready}"
control = "{peer}"
directory = "{directory}"
[platform]
address = "{store}"
[bounds]
drain-ms = 2000
grace-s = {grace}
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
lease-ms = 1000
version-ms = 6000
cold-overage = 1.5
cold-slack = 2
ttl_max_s = 5
"""


class Net:
    """Loopback addresses that no other soak of this moment is likely to use."""

    def __init__(self, *, rng: random.Random) -> None:
        self._prefix = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        self._used = 0

    def address(self) -> str:
        """Return an address that was not given before."""
        self._used += 1
        return f"{self._prefix}.{self._used}"


class Machine:
    """One node: its settings, its process, and how each of its processes ended."""

    def __init__(self, *, name: str, ip: str, zone: str, folder: Path, store: Link) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store = store
        self.entry, self.ready, self.directory, self.peer = (
            f"{ip}:{free_port()}" for _ in range(4)
        )
        self.faults: list[str] = []
        """Ends of its processes that nobody asked for."""
        self.touched_at = float("-inf")
        """The loop's time until which the process was last paused, killed or started."""
        self.stopped_at: list[float] = []
        """The loop's times at which its process was asked to stop."""
        self.busy = False
        """Whether a fault that ends or pauses the process is under way."""
        self._starts = 0
        self._lines: dict[str | None, list[str]] = {}
        """The log's lines by event: it grows too long to be read anew each second."""
        self._read_bytes = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                gossip=free_port(),
                front=self.entry,
                ready=self.ready,
                peer=self.peer,
                directory=self.directory,
                store=store.address,
                grace=GRACE_SECONDS,
            )
        )

    def start(self) -> None:
        """Start its process."""
        environment = {**os.environ, "FIELDDRIFT_SETTINGS": str(self._settings)}
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.bound_node"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self._starts += 1
        self.touch()

    @property
    def running(self) -> bool:
        """Return whether its process lives."""
        return self._process is not None and self._process.poll() is None

    def touch(self) -> None:
        """Note that its process was disturbed just now."""
        self.touched_at = asyncio.get_running_loop().time()

    def look(self) -> None:
        """Note an end of its process that nobody asked for."""
        if self._process is not None and not self.busy and self._process.poll() is not None:
            self.faults.append(f"{self.name} ended by itself: {self._process.returncode}")
            self.start()

    def send(self, number: int) -> None:
        """Send a signal to its process."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)
            self.touch()

    async def kill(self) -> None:
        """Kill its process."""
        self.send(signal.SIGKILL)
        await self._wait()

    def reload(self) -> None:
        """Tell its process that the settings have changed, unless it is still starting."""
        # Until it listens the signal would end it.
        if self.running and len(self.logged("started")) >= self._starts:
            assert self._process is not None
            self._process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Ask its process to stop, and wait until it has."""
        self.stopped_at.append(asyncio.get_running_loop().time())
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS + 1.0):
                code = await self._wait()
        except TimeoutError:
            self.faults.append(f"{self.name} outlived its grace")
            await self.kill()
            return
        # The signal ends a process that has not come as far as to listen: nobody was served.
        starting = len(self.logged("started")) < self._starts
        if code != 0 and not (starting and code == -signal.SIGTERM):
            self.faults.append(f"{self.name} ended with {code} after SIGTERM")

    def end(self) -> None:
        """End its process for good."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        self.store.close()

    def logged(self, *events: str) -> list[str]:
        """Return the lines of its log with one of `events`."""
        rest = self._read_log()
        lines = [line for event in events for line in self._lines.get(event, ())]
        return lines + [line for line in rest if _event_of(line) in events]

    def strays(self) -> list[str]:
        """Return the lines of its output that are no log lines, such as a traceback's."""
        rest = self._read_log()
        return self._lines.get(None, []) + [line for line in rest if _event_of(line) is None]

    def _read_log(self) -> list[str]:
        """Keep the lines that came since the last call; return the one that has no end yet."""
        with self.log.open("rb") as log:
            log.seek(self._read_bytes)
            whole, end, rest = log.read().rpartition(b"\n")
        self._read_bytes += len(whole) + len(end)
        for line in whole.decode(errors="replace").splitlines():
            self._lines.setdefault(_event_of(line), []).append(line)
        return [rest.decode(errors="replace")] if rest else []

    async def _wait(self) -> int:
        assert self._process is not None
        while self._process.poll() is None:
            await asyncio.sleep(0.02)
        return self._process.returncode


def _event_of(line: str) -> str | None:
    """Return the event of a log line, None where it is no log line."""
    try:
        event: str = json.loads(line)["event"]
    except (ValueError, TypeError, KeyError):
        return None
    return event
