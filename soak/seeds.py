"""Seeds that failed once, each with its cause: they are run again as regression cases."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["FAILED_ONCE", "FailedSeed"]


class FailedSeed(NamedTuple):
    """A seed, and why it failed."""

    seed: int
    cause: str


FAILED_ONCE: tuple[FailedSeed, ...] = ()
