"""Tell requests apart by what they ask, not by the id that each try of a caller has."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["FINGERPRINT_CHARACTERS", "fingerprint"]

_BYTES = 8
"""64 bits: among a million requests, two share one with a chance of 1 in 37 million."""
FINGERPRINT_CHARACTERS = 2 * _BYTES
"""Length of a fingerprint, hexadecimal digits."""


def fingerprint(fields: Iterable[bytes]) -> str:
    """Return a short digest of `fields`: whoever asks the same of the same place has the same."""
    state = hashlib.blake2b(digest_size=_BYTES)
    for field in fields:
        # With its length, so that what ends one field cannot begin the next.
        state.update(len(field).to_bytes(8, "big"))
        state.update(field)
    return state.hexdigest()
