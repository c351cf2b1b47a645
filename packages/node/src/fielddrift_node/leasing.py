"""Hold leases in the platform's table for this node's duties."""

from __future__ import annotations

import threading
from collections.abc import Sequence

import msgspec
from fielddrift_core.interfaces import ExternalSystemError, Row, Table, Transaction, Write
from fielddrift_core.leases import Lease, LeaseRow
from fielddrift_core.names import rank

from . import clock

__all__ = ["LEASE_PREFIX", "Leases", "candidates", "decode_lease"]

LEASE_PREFIX = "lease/"

_CONTENDERS = 2


def decode_lease(row: Row) -> LeaseRow:
    """Return the lease kept in `row`."""
    return msgspec.json.decode(row.value, type=LeaseRow)


def candidates(duty: str, nodes: Sequence[str]) -> list[str]:
    """Return the few nodes that contend for a duty, so that the others need not read its row."""
    return rank(duty, [(name, 1.0) for name in nodes])[:_CONTENDERS]


class Leases:
    """Renew this node's leases and take over lapsed ones.  Safe for threads."""

    def __init__(self, *, table: Table, holder: str) -> None:
        self._table = table
        self._holder = holder
        self._leases: dict[str, Lease] = {}
        self._lock = threading.Lock()

    def turn(self, duties: Sequence[str]) -> None:
        """Renew or contend for each of `duties`; raise `ExternalSystemError`."""
        with self._lock:
            for duty in duties:
                self._leases.setdefault(duty, Lease(duty=duty, holder=self._holder))
            wanted = [self._leases[duty] for duty in duties]
            if wanted:
                rows = self._table.read([LEASE_PREFIX + lease.duty for lease in wanted])
                for lease, row in zip(wanted, rows, strict=True):
                    self._try(lease, row)

    def fence(self, duty: str) -> int | None:
        """Return the fence of a duty held now, None when it is not held."""
        lease = self._leases.get(duty)
        if lease is None or not lease.held(clock.now()):
            return None
        return lease.fence

    def held(self) -> list[str]:
        """Return the duties held now."""
        return [duty for duty in list(self._leases) if self.fence(duty) is not None]

    def give_back(self) -> None:
        """Free all leases so that others need not wait for them to lapse."""
        with self._lock:
            for duty in self.held():
                lease = self._leases[duty]
                fence = lease.fence
                row = self._table.read([LEASE_PREFIX + duty])[0]
                if row.version and decode_lease(row)[1:3] == (self._holder, fence):
                    self._write(row, lease.release())

    def _try(self, lease: Lease, row: Row) -> None:
        now = clock.now()
        wish = lease.next_row(decode_lease(row) if row.version else None, now)
        if wish is not None and self._write(row, wish):
            lease.confirm(wish, now)

    def _write(self, row: Row, wish: LeaseRow) -> bool:
        value = msgspec.json.encode(wish).decode()
        write = Write(row.key, value, expect=row.version)
        try:
            return self._table.commit(Transaction((write,))).ok
        except ExternalSystemError:
            # Unknown: the next turn reads the row and finds out.
            return False
