"""Give refused callers that retry on time priority over new requests.

A ticket states from when it is valid and carries a keyed digest of that time and
its customer, so any node can verify it and no node has to store it.
"""

from __future__ import annotations

import hashlib
import hmac
import time
from collections.abc import Callable

__all__ = ["TICKET_HEADER", "Tickets"]

TICKET_HEADER = "Fielddrift-Ticket"

_VALID_SECONDS = 10.0
_EARLY_SECONDS = 0.2
_DIGEST_BYTES = 16


class Tickets:
    """Issue and verify retry tickets with the key shared by the nodes."""

    def __init__(self, *, key: str, clock: Callable[[], float] = time.time) -> None:
        self._key = hashlib.sha256(key.encode()).digest()
        self._clock = clock

    def issue(self, customer: str, after: float) -> str:
        """Return a ticket that becomes valid `after` seconds from now, for a limited time."""
        valid_from = f"{self._clock() + after:.1f}"
        return f"{valid_from}-{self._digest(customer, valid_from)}"

    def is_valid(self, ticket: str, customer: str) -> bool:
        """Return whether a customer's ticket is valid now; False if it is malformed."""
        valid_from, _, digest = ticket.partition("-")
        if not hmac.compare_digest(digest.encode(), self._digest(customer, valid_from).encode()):
            return False
        since = self._clock() - float(valid_from)
        return -_EARLY_SECONDS <= since <= _VALID_SECONDS

    def _digest(self, customer: str, valid_from: str) -> str:
        text = f"{valid_from}\0{customer}".encode()
        return hashlib.blake2b(text, key=self._key, digest_size=_DIGEST_BYTES).hexdigest()
