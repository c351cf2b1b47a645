"""Leases on this node's duties, stored in the platform's table."""

from __future__ import annotations

import threading
from collections.abc import Sequence

import msgspec
from fielddrift_core.interfaces import ExternalSystemError, Row, Table, Transaction, Write
from fielddrift_core.leases import Lease, LeaseRow
from fielddrift_core.names import rank

from . import clock

__all__ = ["LEASE_PREFIX", "Leases", "contenders", "decode_lease"]

LEASE_PREFIX = "lease/"

_CONTENDER_COUNT = 2


def decode_lease(row: Row) -> LeaseRow:
    """Return the lease stored in `row`."""
    return msgspec.json.decode(row.value, type=LeaseRow)


def contenders(duty: str, nodes: Sequence[str]) -> list[str]:
    """Return the few nodes that contend for a duty; the others need not read its row."""
    return rank(duty, [(name, 1.0) for name in nodes])[:_CONTENDER_COUNT]


class Leases:
    """Renew this node's leases and take over expired ones.  Thread-safe."""

    def __init__(self, *, table: Table, holder: str) -> None:
        self._table = table
        self._holder = holder
        self._leases: dict[str, Lease] = {}
        self._lock = threading.Lock()

    def renew(self, duties: Sequence[str]) -> None:
        """Renew or contend for the lease of each duty; raise `ExternalSystemError`."""
        with self._lock:
            for duty in duties:
                self._leases.setdefault(duty, Lease(duty=duty, holder=self._holder))
            wanted = [self._leases[duty] for duty in duties]
            if wanted:
                rows = self._table.read([LEASE_PREFIX + lease.duty for lease in wanted])
                for lease, row in zip(wanted, rows, strict=True):
                    self._renew_or_contend(lease, row)

    def fence(self, duty: str) -> int | None:
        """Return the fencing token of a duty held now, or None if it is not held."""
        lease = self._leases.get(duty)
        if lease is None or not lease.held(clock.now()):
            return None
        return lease.fence

    def held(self) -> list[str]:
        """Return the duties held now."""
        return [duty for duty in list(self._leases) if self.fence(duty) is not None]

    def release_all(self) -> None:
        """Release all leases so that other nodes need not wait for them to expire."""
        with self._lock:
            for duty in self.held():
                lease = self._leases[duty]
                fence = lease.fence
                row = self._table.read([LEASE_PREFIX + duty])[0]
                if row.version and decode_lease(row)[1:3] == (self._holder, fence):
                    self._write(row, lease.release())

    def _renew_or_contend(self, lease: Lease, row: Row) -> None:
        now = clock.now()
        next_row = lease.next_row(decode_lease(row) if row.version else None, now)
        if next_row is not None and self._write(row, next_row):
            lease.confirm(next_row, now)

    def _write(self, row: Row, next_row: LeaseRow) -> bool:
        value = msgspec.json.encode(next_row).decode()
        write = Write(row.key, value, expect=row.version)
        try:
            return self._table.commit(Transaction((write,))).ok
        except ExternalSystemError:
            # The result is unknown; the next renewal reads the row.
            return False
