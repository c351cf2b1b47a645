"""Refuse a request at once that has ended the targets that ran it."""

from __future__ import annotations

from fielddrift_core.errors import Refusal
from result import Err, Ok, Result

from ..exchange import Exchange

__all__ = ["hold_back"]


def hold_back(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Refuse what is held back, but a claimed request: its claim may have an answer for it.

    That one is refused before its first send.
    """
    if not exchange.repeatable:
        return Ok(exchange)
    refusal = exchange.held_back()
    return Err(refusal) if refusal else Ok(exchange)
