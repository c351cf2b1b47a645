"""A started run, with its order and the head of its response."""

from __future__ import annotations

from typing import NamedTuple

from fielddrift_core.routing import Choice

from .http_client import Stream
from .targets import EngineHead, RunOrder

__all__ = ["Started"]


class Started(NamedTuple):
    """A run whose response head has arrived and been verified."""

    choice: Choice
    order: RunOrder
    stream: Stream
    head: EngineHead
