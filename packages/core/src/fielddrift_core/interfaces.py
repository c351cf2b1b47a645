"""Define protocols for the external systems that a node uses.

The node has the adapters; fakes for benchmarks and tests implement the same
protocols.  All calls block, and raise `ExternalSystemError` on failure.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from .outside_values import Count

__all__ = [
    "ExternalSystemError",
    "HostEntry",
    "HostList",
    "ObjectStore",
    "Row",
    "Table",
    "Transaction",
    "TransactionResult",
    "Write",
]


class ExternalSystemError(Exception):
    """A call to an external system failed.

    `not_executed` is true when the call certainly had no effect, `refused` when the connection
    was refused, `broken` when the peer closed the connection before its answer was complete.
    """

    def __init__(
        self,
        detail: str,
        *,
        not_executed: bool = False,
        refused: bool = False,
        broken: bool = False,
    ) -> None:
        super().__init__(detail)
        self.not_executed = not_executed
        self.refused = refused
        self.broken = broken


class Row(NamedTuple):
    """A table row; `version` is 0 for a row that does not exist."""

    key: str
    value: str
    version: int


class Write(NamedTuple):
    """One write of a transaction.

    `expect` aborts the transaction unless the row has that version; with
    `if_absent` the write is skipped, without aborting, when the row exists.
    A `value` of None deletes the row.
    """

    key: str
    value: str | None
    expect: int | None = None
    if_absent: bool = False


class Transaction(NamedTuple):
    """Writes that are applied atomically."""

    writes: tuple[Write, ...]


class TransactionResult(NamedTuple):
    """Whether the transaction was committed, and each written row as it is afterwards."""

    ok: bool
    rows: tuple[Row, ...]


class Table(Protocol):
    """The platform's transactional table."""

    def read(self, keys: Sequence[str]) -> list[Row]:
        """Return the rows of `keys`, in the same order."""

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows whose key starts with `prefix` and sorts after `after`."""

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Commit or abort; it is unknown which after an error without `not_executed`."""


class ObjectStore(Protocol):
    """The platform's object store."""

    def get(self, name: str) -> bytes | None:
        """Return the bytes of the object `name`, None when it does not exist."""

    def put(self, name: str, data: bytes) -> None:
        """Store all of `data` as the object `name`."""


class HostEntry(NamedTuple):
    """A host in the platform's list; `epoch` increases with each of its starts."""

    address: str
    kind: str
    data_centre: str
    leaving: bool
    epoch: Count
    labels: Mapping[str, str] = {}


class HostList(Protocol):
    """The platform's list of running and leaving hosts; updates arrive with a delay."""

    def hosts(self) -> list[HostEntry]:
        """Return all entries of the list."""
