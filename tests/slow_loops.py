"""A pytest plugin that slows the event loops of tests down, as a busy machine does.

    python -m pytest -p tests.slow_loops tests/test_x.py

Tests on real sockets run nodes, targets and callers in one process.  `SLOW_LOOPS` is the factor by
which each iteration of a loop takes longer (default 3), `STOP_SECONDS` and `STOP_INTERVAL_SECONDS`
stop the loop for so long each so many seconds (default none, and 1).
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any

_FACTOR = float(os.environ.get("SLOW_LOOPS", "3"))
_STOP_SECONDS = float(os.environ.get("STOP_SECONDS", "0"))
_STOP_INTERVAL_SECONDS = float(os.environ.get("STOP_INTERVAL_SECONDS", "1"))

_run_once: Any = asyncio.BaseEventLoop._run_once  # type: ignore[attr-defined]
_next_stops: dict[int, float] = {}
"""When each loop is stopped next, by its identity."""


def _run_once_slowly(loop: asyncio.BaseEventLoop) -> None:
    now = time.monotonic()
    if _STOP_SECONDS and now >= _next_stops.setdefault(id(loop), now + _STOP_INTERVAL_SECONDS):
        time.sleep(_STOP_SECONDS)
        _next_stops[id(loop)] = time.monotonic() + _STOP_INTERVAL_SECONDS
    used = time.thread_time()
    _run_once(loop)
    time.sleep(max(0.0, (time.thread_time() - used) * (_FACTOR - 1.0)))


asyncio.BaseEventLoop._run_once = _run_once_slowly  # type: ignore[attr-defined]
