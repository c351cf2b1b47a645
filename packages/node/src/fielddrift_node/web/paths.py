"""The ways to a server, and why a connection on one did not come up."""

from __future__ import annotations

from typing import NamedTuple

from .errors import CONNECT_REASON, TUNNEL_REASON, CarrierState, ExchangeError
from .tunnel import TunnelError, TunnelStatus

__all__ = ["ServerPath", "connect_error"]


class ServerPath(NamedTuple):
    """The address of a server, and that of the node that carries the connection, if any."""

    address: str
    through: str = ""


def connect_error(path: ServerPath, error: OSError | TimeoutError | ValueError) -> ExchangeError:
    """Return the error for a connection that did not come up."""
    detail = f"{path.address}: no connection: {error or 'timeout'}"
    refused = isinstance(error, ConnectionRefusedError)
    timed_out = isinstance(error, TimeoutError)
    reason = CONNECT_REASON
    carrier: CarrierState | None = None
    if path.through and not isinstance(error, ValueError):
        carrier = _carrier_state(error)
        status = error.status if isinstance(error, TunnelError) else None
        refused, timed_out = status is TunnelStatus.REFUSED, status is TunnelStatus.SILENT
        reason = CONNECT_REASON if refused or timed_out else TUNNEL_REASON
        detail = f"{detail}, through {path.through}"
    return ExchangeError(
        detail,
        sent=False,
        reason=reason,
        refused=refused,
        connect_timed_out=timed_out,
        carrier=carrier,
    )


def _carrier_state(error: OSError | TimeoutError) -> CarrierState:
    """Return what `error`, with which a tunnel was not opened, shows of the carrying node."""
    if isinstance(error, TunnelError):
        return CarrierState.UNKNOWN if error.status is None else CarrierState.ANSWERED
    if isinstance(error, ConnectionRefusedError):
        return CarrierState.REFUSED
    return CarrierState.UNKNOWN
