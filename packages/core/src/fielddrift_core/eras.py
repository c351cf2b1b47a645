"""Combine a version of the platform's store with the store's era into one number.

A store that is restored from an older copy begins a new era, in which it assigns versions
again.  The combined version of a newer era is greater than any of an older era, so combined
versions can be compared, stored and sent like plain ones.
"""

from __future__ import annotations

__all__ = ["combine", "era_of", "version_of"]

_VERSION_BITS = 44
"""Bits of a plain version: 17 * 10**12 writes, which is 1,200 per second for centuries."""


def combine(era: int, version: int) -> int:
    """Return the combined version of `version` in `era`."""
    return (era << _VERSION_BITS) | version


def era_of(number: int) -> int:
    """Return the era of a combined version."""
    return number >> _VERSION_BITS


def version_of(number: int) -> int:
    """Return the plain version of a combined one, as the store uses it."""
    return number & ((1 << _VERSION_BITS) - 1)
