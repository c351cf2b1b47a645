"""Write logs as JSON lines; a request keeps one id in the logs of all nodes.

Lines go through a bounded buffer that a background thread writes out.  If the reader of standard
output stops, or on a burst of lines, lines are dropped and the caller is never blocked.  The
number of dropped lines is logged as soon as lines can be written again.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import sys
import threading
from collections import deque
from typing import Any

import structlog

from . import clock

__all__ = ["LineSink", "configure", "get", "log_loop_error"]

_MAX_BUFFERED_LINE_COUNT = 2000
"""Maximum number of buffered lines: some seconds of a busy node, under 1 MB."""
_MAX_LINES_PER_SECOND = 400
"""Mean rate above which lines are dropped; a node answers some hundred requests per second."""
_MAX_BURST_LINE_COUNT = 800
_WRITE_INTERVAL_SECONDS = 0.1
"""Interval between writes. Lines are batched because each write costs a system call."""


class LineSink:
    """A file-like sink that never blocks its caller."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._allowance = float(_MAX_BURST_LINE_COUNT)
        self._allowance_at = clock.now()
        self._dropped = 0
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._closing = threading.Event()
        self._pending = threading.Event()
        """Set while there may be something to write."""

    @property
    def lost(self) -> int:
        """Return the number of dropped lines that has not been logged yet."""
        return self._dropped

    def write(self, text: str) -> None:
        """Buffer text that ends with a line feed; drop it if a buffer or rate limit is reached."""
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="log", daemon=True)
                self._thread.start()
            if not self._pending.is_set():
                self._pending.set()
            if len(self._lines) >= _MAX_BUFFERED_LINE_COUNT or not self._allowed():
                self._dropped += 1
                return
            self._lines.append(text)

    def flush(self) -> None:
        """Do nothing: the background thread writes the lines."""

    def close(self, *, seconds: float) -> None:
        """Write the buffered lines, for at most `seconds`."""
        self._closing.set()
        self._pending.set()
        if self._thread is not None:
            self._thread.join(seconds)

    def _allowed(self) -> bool:
        now = clock.now()
        gained = (now - self._allowance_at) * _MAX_LINES_PER_SECOND
        self._allowance = min(_MAX_BURST_LINE_COUNT, self._allowance + gained)
        self._allowance_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _run(self) -> None:
        while True:
            closing = self._closing.wait(_WRITE_INTERVAL_SECONDS)
            data = self._take()
            idle = not data
            try:
                while data:
                    data = data[os.write(self._descriptor, data) :]
            except OSError:
                # Standard output cannot be written, so the error cannot be logged either.
                return
            if closing and not self._lines:
                return
            if idle and not self._closing.is_set():
                # A wake-up every interval without any line costs an idle node processor time.
                self._pending.wait()

    def _take(self) -> bytes:
        with self._lock:
            lines = list(self._lines)
            self._lines.clear()
            lost, self._dropped = self._dropped, 0
            self._pending.clear()
        if lost:
            lines.append(json.dumps({"event": "log lines lost", "lines": lost}) + "\n")
        return "".join(lines).encode("utf-8", "replace")


def configure(*, level: str, node: str) -> LineSink:
    """Log JSON lines to standard output, from `level` up and with the name of this node."""
    sink = LineSink(descriptor=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sink),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)
    return sink


def log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception of a callback or of a task that nobody awaits.

    Pass it to `loop.set_exception_handler`; asyncio writes such errors to standard error.
    """
    error = context.get("exception")
    get().error(
        "unhandled error", detail=context["message"], error=repr(error), exc_info=error or False
    )


def get() -> Any:
    """Return the project's logger."""
    return structlog.get_logger()
