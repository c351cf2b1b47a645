"""Small fakes at the interfaces, for tests of failures."""

from __future__ import annotations

from collections.abc import Sequence

from fielddrift_core.interfaces import (
    ExternalSystemError,
    Row,
    Transaction,
    TransactionResult,
)


class FakeTable:
    """A table in memory; `lose` commits take effect unanswered, `down` fails all."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[str, int]] = {}
        self.lose = 0
        self.down = False
        self.commits = 0
        self._version = 0

    def read(self, keys: Sequence[str]) -> list[Row]:
        self._check()
        return [Row(key, *self.rows.get(key, ("", 0))) for key in keys]

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        self._check()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return self.read(keys[:limit])

    def commit(self, transaction: Transaction) -> TransactionResult:
        self._check()
        self.commits += 1
        result = self.apply(transaction)
        if self.lose > 0:
            self.lose -= 1
            raise ExternalSystemError("answer lost")
        return result

    def apply(self, transaction: Transaction) -> TransactionResult:
        ok = all(
            write.expect in (None, self.rows.get(write.key, ("", 0))[1])
            for write in transaction.writes
        )
        for write in transaction.writes if ok else ():
            if write.if_absent and write.key in self.rows:
                continue
            self._version += 1
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = (write.value, self._version)
        rows = tuple(Row(w.key, *self.rows.get(w.key, ("", 0))) for w in transaction.writes)
        return TransactionResult(ok, rows)

    def _check(self) -> None:
        if self.down:
            raise ExternalSystemError("table is down", not_executed=True)


class FakeObjects:
    """An object store in memory."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | None:
        return self.objects.get(name)

    def put(self, name: str, data: bytes) -> None:
        self.objects[name] = data
