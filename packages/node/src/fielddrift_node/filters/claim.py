"""Claim the idempotency key of a request that may not be repeated, before it is sent."""

from __future__ import annotations

import base64
import hashlib

from fielddrift_core.claims import ClaimRow
from fielddrift_core.errors import ErrorKind, Refusal
from result import Err, Ok, Result

from ..claims import Claim
from ..exchange import Answer, Exchange

__all__ = ["claim"]


def claim(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Claim the key; answer with the stored outcome of an earlier run, or refuse."""
    if exchange.repeatable:
        return Ok(exchange)
    if not exchange.key:
        detail = "Idempotency-Key: missing, expected one for a request that may not be repeated"
        return Err(Refusal(ErrorKind.BAD_REQUEST, detail))
    held = exchange.runtime.claims.claim(
        customer=exchange.customer.name, key=exchange.key, digest=_request_digest(exchange)
    )
    if isinstance(held, Refusal):
        return Err(held)
    if isinstance(held, Claim):
        exchange.claim = held
    else:
        exchange.answer = _stored_answer(held)
    return Ok(exchange)


def _request_digest(exchange: Exchange) -> str:
    """Return a digest of the fields of the request, to detect a key used for another request."""
    state = hashlib.sha256()
    for field in exchange.call or exchange.completion or ():
        data = field if isinstance(field, bytes) else repr(field).encode()
        state.update(len(data).to_bytes(8, "big") + data)
    return state.hexdigest()


def _stored_answer(row: ClaimRow) -> Answer:
    body = base64.b64decode(row.body or "")
    return Answer(row.status, row.content_type, body, {"Fielddrift-Kept": "yes"})
