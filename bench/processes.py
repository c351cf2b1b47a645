"""Read what a process has used from the kernel's own accounts."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import NamedTuple

__all__ = ["Use", "loopback_bytes", "measure", "resident"]

_TICKS = os.sysconf("SC_CLK_TCK")


class Use(NamedTuple):
    """What a process used over a span: share of a core, resident bytes, bytes on loopback."""

    core: float
    resident: int
    loopback: float


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise LookupError(f"process {pid}: no VmRSS")


def loopback_bytes() -> int:
    """Return the bytes that the loopback device has carried, headers included."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def measure(pid: int, seconds: float) -> Use:
    """Return what `pid` uses over the next `seconds`."""
    began, used, carried = time.monotonic(), processor_seconds(pid), loopback_bytes()
    time.sleep(seconds)
    span = time.monotonic() - began
    return Use(
        core=(processor_seconds(pid) - used) / span,
        resident=resident(pid),
        loopback=(loopback_bytes() - carried) / span,
    )
