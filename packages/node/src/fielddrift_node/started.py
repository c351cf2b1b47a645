"""Hold a run that has started, with what was ordered and what its head says."""

from __future__ import annotations

from typing import NamedTuple

from fielddrift_core.routing import Choice

from .http_client import Stream
from .targets import EngineHead, RunOrder

__all__ = ["Started"]


class Started(NamedTuple):
    """A run whose head has come and was checked."""

    choice: Choice
    order: RunOrder
    stream: Stream
    head: EngineHead
