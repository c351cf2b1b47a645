"""What ends an exchange without a complete response."""

from __future__ import annotations

from enum import StrEnum

__all__ = [
    "BoundExceeded",
    "CONNECT_REASON",
    "CarrierState",
    "ExchangeError",
    "GARBLED_REASON",
    "MEMORY_REASON",
    "REPLACED_REASON",
    "RESET_REASON",
    "TUNNEL_REASON",
    "UNIDENTIFIED_REASON",
]

CONNECT_REASON = "connect"
"""`ExchangeError.reason` if no connection came up."""
TUNNEL_REASON = "tunnel"
"""The same for a tunnel that another node did not open."""
RESET_REASON = "reset"
"""`ExchangeError.reason` if the connection was lost; without a byte sent, before the request."""
REPLACED_REASON = "replaced"
"""`ExchangeError.reason` for a connection that leads to another process than the expected one."""
UNIDENTIFIED_REASON = "unidentified"
"""The same for a connection that was not shown to lead to the expected process."""
GARBLED_REASON = "garbled"
"""The same for bytes that are no valid answer, or exceed a bound."""
MEMORY_REASON = "memory"
"""The same for a response that was given up since the node's memory is full."""


class CarrierState(StrEnum):
    """What an attempt to open a tunnel showed of the node that was to carry it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Nothing listens at its address: its process has ended."""
    UNKNOWN = "unknown"


class ExchangeError(Exception):
    """Raised when an exchange ends without a complete response.

    `sent` is False if certainly no byte of the request was sent; `reason` is a
    short label for metrics.  `refused` is True if the server refused the connection,
    `connect_timed_out` if it did not respond to the attempt to connect.  The reason
    `TUNNEL_REASON` says that another node opened no tunnel, which says nothing of the server.
    `carrier` is what is known of that node, None for a direct connection.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool,
        reason: str,
        refused: bool = False,
        connect_timed_out: bool = False,
        carrier: CarrierState | None = None,
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.reason = reason
        self.refused = refused
        self.connect_timed_out = connect_timed_out
        self.carrier = carrier


class BoundExceeded(Exception):
    """Raised for an answer of which some part is larger than its bound."""

    def __init__(self, part: str, size: int, limit: int, unit: str = "bytes") -> None:
        super().__init__(f"{part}: {size} {unit}, at most {limit}")
