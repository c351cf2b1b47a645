"""Wait for a signal that asks this process to stop."""

from __future__ import annotations

import signal

__all__ = ["StopSignals"]

_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


class StopSignals:
    """SIGTERM and SIGINT, received by the main thread with `sigwait`.

    Both signals stay blocked for the lifetime of the process.  A Python handler that
    sets a `threading.Event` can deadlock, because the code it interrupts (also an
    earlier call of the handler) may hold the event's lock: two signals in a row
    hung one process in sixty for good.

    Create it before any thread, because threads inherit the signal mask.
    """

    def __init__(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)

    def wait(self) -> signal.Signals:
        """Return the first signal, including one that arrived before this call."""
        return signal.Signals(signal.sigwait(_STOP_SIGNALS))
