"""Combine the limits of a new configuration with those that it replaces.

Callers and other nodes learn of a configuration a little earlier or later.  Until all of them
know it, a request within the former limits is as valid as one within the new ones.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .server import Limits

__all__ = ["LimitsInForce"]


class _Former(NamedTuple):
    """Replaced limits; `until` is the loop time up to which they are in force."""

    limits: Limits
    until: float


class LimitsInForce:
    """The limits of the newest configuration, and for `overlap_seconds` larger former ones."""

    def __init__(self, *, overlap_seconds: float) -> None:
        self._overlap_seconds = overlap_seconds
        self._newest: Limits | None = None
        self._former: deque[_Former] = deque()

    def replace(self, limits: Limits, now: float) -> None:
        """Put the limits of a new configuration into force at the loop time `now`."""
        if self._newest is not None and limits != self._newest:
            self._former.append(_Former(self._newest, now + self._overlap_seconds))
        self._newest = limits

    def at(self, now: float) -> Limits:
        """Return the limits in force at `now`, the defaults before the first configuration."""
        limits = Limits() if self._newest is None else self._newest
        while self._former and now >= self._former[0].until:
            self._former.popleft()
        for former in self._former:
            limits = limits.widened(former.limits)
        return limits
