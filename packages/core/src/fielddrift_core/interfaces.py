"""Describe the outside systems, as the node meets them.

Adapters live in the node; fakes for benches and tests satisfy the same
protocols.  All calls block and raise `ExternalSystemError`; `no_effect` says whether the
call surely had no effect.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

__all__ = [
    "HostEntry",
    "HostList",
    "ObjectStore",
    "ExternalSystemError",
    "Row",
    "Table",
    "Transaction",
    "TransactionResult",
    "Write",
]


class ExternalSystemError(Exception):
    """An outside system failed; `no_effect` when the call surely had no effect.

    `refused` says that nobody listened, `broken` that the other side closed the connection
    before its answer was whole.
    """

    def __init__(
        self, detail: str, *, no_effect: bool = False, refused: bool = False, broken: bool = False
    ) -> None:
        super().__init__(detail)
        self.no_effect = no_effect
        self.refused = refused
        self.broken = broken


class Row(NamedTuple):
    """A table row; `version` is 0 for a row that is not there."""

    key: str
    value: str
    version: int


class Write(NamedTuple):
    """One write of a transaction.

    `expect` aborts the transaction unless the row has that version; with
    `if_absent` the write is skipped, without aborting, when the row is there.
    A `value` of None deletes the row.
    """

    key: str
    value: str | None
    expect: int | None = None
    if_absent: bool = False


class Transaction(NamedTuple):
    """Writes that take effect together or not at all."""

    writes: tuple[Write, ...]


class TransactionResult(NamedTuple):
    """Whether it took effect, and the rows as they are after it, write by write."""

    ok: bool
    rows: tuple[Row, ...]


class Table(Protocol):
    """The platform's transactional table."""

    def read(self, keys: Sequence[str]) -> list[Row]:
        """Return the rows of `keys`, in their order."""

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows whose key starts with `prefix` and follows `after`."""

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Commit, or abort; an `ExternalSystemError` that is not sure may hide either."""


class ObjectStore(Protocol):
    """The platform's object store."""

    def get(self, name: str) -> bytes | None:
        """Return an object's bytes, None when there is none."""

    def put(self, name: str, data: bytes) -> None:
        """Store an object whole."""


class HostEntry(NamedTuple):
    """A host in the platform's list; `epoch` numbers its lives."""

    address: str
    kind: str
    data_centre: str
    leaving: bool
    epoch: int
    labels: Mapping[str, str] = {}


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    def hosts(self) -> list[HostEntry]:
        """Return all entries."""
