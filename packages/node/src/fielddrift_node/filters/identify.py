"""Identify the customer of a request by its bearer key."""

from __future__ import annotations

from fielddrift_core.errors import ErrorKind, Refusal
from fielddrift_core.grammar import key_digest
from result import Err, Ok, Result

from ..exchange import Exchange

__all__ = ["bearer_key", "identify"]

_SCHEME_PREFIX = "Bearer "


def bearer_key(authorization: str) -> str:
    """Return the key in the value of an Authorization header, empty if it has no bearer key."""
    return authorization[len(_SCHEME_PREFIX) :] if authorization.startswith(_SCHEME_PREFIX) else ""


def identify(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the customer to which the key belongs; refuse a missing or unknown key."""
    key = bearer_key(exchange.request.headers.get("Authorization", ""))
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
