"""Let a refused caller who comes back when it was told go before newcomers.

A ticket says for whom and from when it counts, under a keyed digest, so any
node can check it and none has to remember it.
"""

from __future__ import annotations

import hashlib
import hmac
import time
from collections.abc import Callable

__all__ = ["TICKET_HEADER", "Tickets"]

TICKET_HEADER = "Fielddrift-Ticket"

_COUNTS_SECONDS = 10.0
_EARLY_SECONDS = 0.2
_DIGEST_BYTES = 16


class Tickets:
    """Issue and check tickets under the peers' shared key."""

    def __init__(self, *, key: str, clock: Callable[[], float] = time.time) -> None:
        self._key = hashlib.sha256(key.encode()).digest()
        self._clock = clock

    def issue(self, customer: str, after: float) -> str:
        """Return a ticket that counts for a while from `after` seconds from now."""
        begins = f"{self._clock() + after:.1f}"
        return f"{begins}-{self._digest(customer, begins)}"

    def counts(self, ticket: str, customer: str) -> bool:
        """Return whether a customer's ticket counts now; False for anything malformed."""
        begins, _, digest = ticket.partition("-")
        if not hmac.compare_digest(digest.encode(), self._digest(customer, begins).encode()):
            return False
        since = self._clock() - float(begins)
        return -_EARLY_SECONDS <= since <= _COUNTS_SECONDS

    def _digest(self, customer: str, begins: str) -> str:
        text = f"{begins}\0{customer}".encode()
        return hashlib.blake2b(text, key=self._key, digest_size=_DIGEST_BYTES).hexdigest()
