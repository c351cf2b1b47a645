"""Write logs as JSON lines, one id following a request through the nodes.

Lines go through a bounded buffer that a thread empties: a reader of standard
output that stops, or a burst of lines, costs lines and never time.  How many
were lost is told as soon as lines can be written again.
"""

from __future__ import annotations

import json
import logging
import os
import sys
import threading
from collections import deque
from typing import Any

import structlog

from . import clock

__all__ = ["LineSink", "configure", "get"]

_MOST_LINES = 2000
"""Lines that wait to be written: some seconds of a busy node, under 1 MB."""
_LINES_A_SECOND = 400
"""Lines kept a second in the mean; a node answers some hundred requests a second."""
_BURST_LINES = 800
_WRITE_SECONDS = 0.1
"""Lines of so long are written together: each write costs a system call."""


class LineSink:
    """A file-like sink that never blocks its caller."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._allowance = float(_BURST_LINES)
        self._counted_at = clock.now()
        self._lost = 0
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._closing = threading.Event()

    @property
    def lost(self) -> int:
        """Return how many lines were lost and not yet told of."""
        return self._lost

    def write(self, text: str) -> None:
        """Take text that ends with a line feed; drop it when there is no room."""
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="log", daemon=True)
                self._thread.start()
            if len(self._lines) >= _MOST_LINES or not self._allowed():
                self._lost += 1
                return
            self._lines.append(text)

    def flush(self) -> None:
        """Do nothing: the thread writes."""

    def close(self, *, seconds: float) -> None:
        """Write what is left, for at most `seconds`."""
        self._closing.set()
        if self._thread is not None:
            self._thread.join(seconds)

    def _allowed(self) -> bool:
        now = clock.now()
        gained = (now - self._counted_at) * _LINES_A_SECOND
        self._allowance = min(_BURST_LINES, self._allowance + gained)
        self._counted_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _run(self) -> None:
        while True:
            closing = self._closing.wait(_WRITE_SECONDS)
            data = self._take()
            try:
                while data:
                    data = data[os.write(self._descriptor, data) :]
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                return
            if closing and not self._lines:
                return

    def _take(self) -> bytes:
        with self._lock:
            lines = list(self._lines)
            self._lines.clear()
            lost, self._lost = self._lost, 0
        if lost:
            lines.append(json.dumps({"event": "log lines lost", "lines": lost}) + "\n")
        return "".join(lines).encode("utf-8", "replace")


def configure(*, level: str, node: str) -> LineSink:
    """Log JSON lines to standard output from `level` up, naming this node."""
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


def get() -> Any:
    """Return the project's logger."""
    return structlog.get_logger()
