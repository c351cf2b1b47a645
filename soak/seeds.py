"""Seeds that failed once, each with its cause: they are run again as regression cases."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["FAILED_ONCE", "FailedSeed"]


class FailedSeed(NamedTuple):
    """A seed, and why it failed."""

    seed: int
    cause: str


_CROSSED = "a check of the soak's own: requests that crossed the close of a stopping node"

_ENDLESS = "a stream that broke off behind its last event was resumed, and cut for want of more"

FAILED_ONCE = (
    FailedSeed(2966062626, f"{_CROSSED}; then, beside hunts: {_ENDLESS}"),
    FailedSeed(2859916874, f"{_CROSSED}; then a process that was stopped while it still loaded"),
    FailedSeed(2393083761, f"{_CROSSED}; then, beside hunts: {_ENDLESS}"),
)
