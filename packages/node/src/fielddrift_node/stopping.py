"""Wait for a signal that asks this process to stop."""

from __future__ import annotations

import signal

__all__ = ["StopSignals"]

_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


class StopSignals:
    """SIGTERM and SIGINT, taken by the main thread when it asks for them.

    They stay blocked for the life of the process.  A Python handler that sets a
    `threading.Event` can find the event's lock held by the code it interrupts,
    its own first run included, and then waits for itself: two signals in a
    row stopped one process in sixty for ever.

    Create it before any thread, for threads inherit what is blocked.
    """

    def __init__(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)

    def wait(self) -> signal.Signals:
        """Return the first signal, also one that came before this call."""
        return signal.Signals(signal.sigwait(_STOP_SIGNALS))
