"""Identify requests by their content: a caller's retries have different request ids."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["FINGERPRINT_CHARACTERS", "fingerprint"]

_DIGEST_BYTES = 8
"""64 bits: among a million requests, the probability of a collision is 1 in 37 million."""
FINGERPRINT_CHARACTERS = 2 * _DIGEST_BYTES
"""Length of a fingerprint in hexadecimal digits."""


def fingerprint(fields: Iterable[bytes]) -> str:
    """Return a short digest of `fields` in hexadecimal; equal requests have equal digests."""
    state = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        # The length prefix keeps the end of one field from being read as part of the next.
        state.update(len(field).to_bytes(8, "big"))
        state.update(field)
    return state.hexdigest()
