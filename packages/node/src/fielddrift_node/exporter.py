"""Run exports in the background, on threads that look-ups do not wait for."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from .log import get

__all__ = ["Exporter"]

_THREADS = 4
_MOST_WAITING = 32


class Exporter:
    """A bounded pool for exports.

    When too many exports are waiting, further ones are skipped: a prefix that
    is not kept costs time at its next return, and nothing else.
    """

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix="export")
        self._room = threading.Semaphore(_MOST_WAITING)

    def submit(self, export: Callable[[], None], *, request_id: str) -> bool:
        """Run `export` some time soon; False when too many are waiting."""
        if not self._room.acquire(blocking=False):
            return False
        self._pool.submit(self._run, export, request_id)
        return True

    def close(self) -> None:
        """Finish the exports under way, drop the waiting ones."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _run(self, export: Callable[[], None], request_id: str) -> None:
        try:
            export()
        except Exception:
            get().exception("export failed", request=request_id)
        finally:
            self._room.release()
