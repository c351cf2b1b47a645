"""HTTP clients for the platform's table, object store and host list."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
from fielddrift_core.interfaces import (
    ExternalSystemError,
    HostEntry,
    Row,
    Transaction,
    TransactionResult,
)
from fielddrift_core.outside_values import StructDecoder, ValueOutOfRange, address_of, decoded

from .http_client import Call, HttpClient, Reply
from .metrics import Metrics
from .serving.left_out import left_out_values

__all__ = ["HttpHostList", "HttpObjectStore", "HttpTable"]

_JSON = {"Content-Type": "application/json"}


class _Rows(msgspec.Struct):
    rows: list[Row]


class _Committed(msgspec.Struct):
    ok: bool
    rows: tuple[Row, ...]


class _Hosts(msgspec.Struct):
    hosts: list[HostEntry]


_HOSTS = StructDecoder(_Hosts)


class HttpTable:
    """The platform's table.  Failures raise `ExternalSystemError`; `timeout` is in seconds."""

    def __init__(
        self, *, address: str, http: HttpClient, metrics: Metrics, timeout: float = 2.0
    ) -> None:
        self._address = address
        self._http = http
        self._metrics = metrics
        self._timeout = timeout

    def read(self, keys: Sequence[str]) -> list[Row]:
        """Return the rows of `keys`, in the order of `keys`."""
        self._metrics.add("table.reads", len(keys))
        return _rows_of(keys, self._call("read", {"keys": list(keys)}, _Rows).rows)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows whose keys start with `prefix` and are greater than `after`."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        rows = self._call("scan", body, _Rows).rows
        self._metrics.add("table.reads", 1 + len(rows))
        return rows

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Commit or abort a transaction.

        After an `ExternalSystemError` without `not_executed`, either may have happened.
        """
        writes = [write._asdict() for write in transaction.writes]
        self._metrics.add("table.writes", len(writes))
        done = self._call("commit", {"writes": writes}, _Committed)
        keys = [write.key for write in transaction.writes]
        return TransactionResult(done.ok, tuple(_rows_of(keys, done.rows)))

    def _call(self, what: str, body: Any, kind: type[Any]) -> Any:
        call = Call(
            "POST",
            f"http://{self._address}/{what}",
            msgspec.json.encode(body),
            _JSON,
            timeout=self._timeout,
            fresh=what == "commit",
        )
        try:
            return _decode(self._http.request(call), kind)
        except ExternalSystemError:
            self._metrics.add("table.failures")
            raise


class HttpObjectStore:
    """The platform's object store.  Failures raise `ExternalSystemError`."""

    def __init__(self, *, address: str, http: HttpClient, timeout: float = 5.0) -> None:
        self._address = address
        self._http = http
        self._timeout = timeout

    def get(self, name: str) -> bytes | None:
        """Return the bytes of an object, or None if it does not exist."""
        reply = self._http.request(Call("GET", self._url(name), timeout=self._timeout))
        if reply.status == 404:
            return None
        _check(reply)
        return reply.body

    def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing any earlier one."""
        _check(self._http.request(Call("PUT", self._url(name), data, timeout=self._timeout)))

    def _url(self, name: str) -> str:
        return f"http://{self._address}/objects/{name}"


class HttpHostList:
    """The platform's host list.  Failures raise `ExternalSystemError`."""

    def __init__(self, *, address: str, http: HttpClient, timeout: float = 2.0) -> None:
        self._address = address
        self._http = http
        self._timeout = timeout

    def hosts(self) -> list[HostEntry]:
        """Return all entries of the list."""
        call = Call("GET", f"http://{self._address}/hosts", timeout=self._timeout)
        reply = self._http.request(call)
        _check(reply)
        try:
            return [entry for entry in _HOSTS.decode(reply.body, _left_out).hosts if _usable(entry)]
        except msgspec.DecodeError as error:
            raise ExternalSystemError(f"platform: {error}") from None


def _rows_of(keys: Sequence[str], rows: Sequence[Row]) -> list[Row]:
    """Return the `rows` of `keys` in their order; raise `ExternalSystemError` for other rows."""
    found = [row.key for row in rows]
    if found != list(keys):
        detail = f"{len(found)} rows, expected those of {len(keys)} keys in their order"
        raise ExternalSystemError(f"platform: {detail}")
    return list(rows)


def _usable(entry: HostEntry) -> bool:
    try:
        address_of("address", entry.address)
    except ValueOutOfRange as error:
        _left_out(error)
        return False
    return True


def _left_out(error: Exception) -> None:
    left_out_values.note("host list", "platform", error)


def _check(reply: Reply) -> None:
    if reply.status not in range(200, 300):
        raise ExternalSystemError(f"platform: status {reply.status}, expected 2xx")


def _decode(reply: Reply, kind: type[Any]) -> Any:
    _check(reply)
    try:
        return decoded(msgspec.json.Decoder(kind), reply.body)
    except msgspec.DecodeError as error:
        raise ExternalSystemError(f"platform: {error}") from None
