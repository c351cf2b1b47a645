"""What the cases have in common: the deployment's settings, the record, and the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from fleet import Fleet

__all__ = ["KEY", "LIMITS", "TROUBLE", "Record", "route", "run_case"]

KEY = "nu6wsjnbanfqasnmgkcu"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_MOST_SECONDS = 115
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2


def route(name: str, service: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "pule25.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "allow-anonymous": False,
        "sticky-sessions": kind == "streaming",
        "allow-resume": False,
        "gap-aim-ms": 300,
        **more,
    }


class Record:
    """Lines with the seconds since the start, written to a file and to standard output."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def since_start(self, moment: float) -> float:
        """Return a monotonic time in seconds since the start."""
        return moment - self._started

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line, for now or for the monotonic time `at`."""
        seconds = self.since_start(time.monotonic() if at is None else at)
        line = f"{seconds:8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def run_case(folder: Path, play: Callable[[Fleet, Record], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule held; end what it started, and exit."""
    record = Record(folder / "record.txt")
    record.write("with the disruption" if TROUBLE else "without the disruption")
    sys.exit(asyncio.run(_run(record, play)))


async def _run(record: Record, play: Callable[[Fleet, Record], Awaitable[bool]]) -> int:
    fleet = Fleet()
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(_MOST_SECONDS):
            held = await play(fleet, record)
    except (Exception, asyncio.CancelledError):
        record.write("the case could not run: " + traceback.format_exc())
        return _NOT_RUN
    finally:
        fleet.close()
    record.write("the rule held" if held else "the rule was broken")
    return _HELD if held else _BROKEN
