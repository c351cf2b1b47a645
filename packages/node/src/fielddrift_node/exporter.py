"""Run exports in the background, on threads separate from those of look-ups."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from .log import get

__all__ = ["Exporter"]

_THREAD_COUNT = 4
_MAX_PENDING_COUNT = 32


class Exporter:
    """A bounded thread pool for exports.

    When too many exports are pending, further ones are skipped: a prefix that is
    not stored only costs recomputation when it is next requested.
    """

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(_THREAD_COUNT, thread_name_prefix="export")
        self._slots = threading.Semaphore(_MAX_PENDING_COUNT)

    def submit(self, export: Callable[[], None], *, request_id: str) -> bool:
        """Queue `export`; return False if too many exports are pending."""
        if not self._slots.acquire(blocking=False):
            return False
        self._pool.submit(self._run, export, request_id)
        return True

    def close(self) -> None:
        """Finish the running exports and cancel the queued ones."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _run(self, export: Callable[[], None], request_id: str) -> None:
        try:
            export()
        except Exception:
            get().exception("export failed", request=request_id)
        finally:
            self._slots.release()
