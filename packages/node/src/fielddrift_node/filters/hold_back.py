"""Refuse a request that is held back because its earlier runs crashed their targets."""

from __future__ import annotations

from fielddrift_core.errors import Refusal
from result import Err, Ok, Result

from ..exchange import Exchange

__all__ = ["hold_back"]


def hold_back(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Refuse a repeatable request that is held back.

    A request that may not be repeated passes, since its claim may hold a stored
    answer; without one it is refused before its first send.
    """
    if not exchange.repeatable:
        return Ok(exchange)
    refusal = exchange.held_back()
    return Err(refusal) if refusal else Ok(exchange)
