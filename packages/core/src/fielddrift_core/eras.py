"""Put a version of the platform's store and the era that it is of into one number.

A store that comes back from an older copy begins a new era, in which versions are given out
again.  A mark of a newer era is greater than any of an older one, so marks are compared, kept
and told as versions are.
"""

from __future__ import annotations

__all__ = ["era_of", "mark", "version_of"]

_VERSION_BITS = 44
"""Bits of a version: 17 million million writes, 1,200 a second for centuries."""


def mark(era: int, version: int) -> int:
    """Return the mark of `version` in `era`."""
    return (era << _VERSION_BITS) | version


def era_of(number: int) -> int:
    """Return the era of a mark."""
    return number >> _VERSION_BITS


def version_of(number: int) -> int:
    """Return the version of a mark, as the store knows it."""
    return number & ((1 << _VERSION_BITS) - 1)
