"""Find out whose request it is, by its bearer key."""

from __future__ import annotations

from fielddrift_core.errors import ErrorKind, Refusal
from fielddrift_core.grammar import key_digest
from result import Err, Ok, Result

from ..exchange import Exchange

__all__ = ["bearer", "identify"]

_SCHEME = "Bearer "


def bearer(authorization: str) -> str:
    """Return the key in an Authorization header, empty when there is none."""
    return authorization[len(_SCHEME) :] if authorization.startswith(_SCHEME) else ""


def identify(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the customer that the key belongs to; refuse an unknown key."""
    key = bearer(exchange.request.headers.get("Authorization", ""))
    if not key:
        detail = "Authorization: missing, expected 'Bearer ' and a customer's key"
        return Err(Refusal(ErrorKind.UNAUTHORIZED, detail))
    exchange.runtime.watch.ensure_fresh()
    configuration = exchange.runtime.config.current
    name = configuration.keys.get(key_digest(key))
    if name is None:
        return Err(Refusal(ErrorKind.UNAUTHORIZED, "Authorization: the key is not known"))
    exchange.customer = configuration.customers[name]
    return Ok(exchange)
