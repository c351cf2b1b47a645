"""Store and look up prompt prefixes on store hosts.

A prefix becomes visible when its manifest is created, by one conditional write after all of its
parts are written.  To free a prefix, its manifest is removed first.
"""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeout
from concurrent.futures import wait as wait_for
from typing import Any, NamedTuple

import msgspec
from fielddrift_core.holding import StoredPrefix
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import Configuration, StoreHost
from fielddrift_core.names import Manifest, ManifestPart, PrefixName, rank
from fielddrift_core.outside_values import decoded
from fielddrift_core.retries import CircuitBreaker

from . import clock
from .http_client import Call, HttpClient

__all__ = ["Found", "StoreClient", "Stores", "candidate_stores"]

_JSON = {"Content-Type": "application/json"}
_LOOKUP_TIMEOUT_SECONDS = 0.1
_CANDIDATE_COUNT = 2


class Found(NamedTuple):
    """A stored prefix and its store host."""

    manifest: Manifest
    store: StoreHost


class _ManifestEntry(msgspec.Struct):
    path: str
    attempt: str
    blocks: int
    digest: str
    size: int
    parts: list[ManifestPart]

    def manifest(self) -> Manifest:
        return Manifest(
            self.path, self.attempt, self.blocks, self.digest, self.size, tuple(self.parts)
        )


class _FolderListing(msgspec.Struct):
    manifests: list[_ManifestEntry]


class _HeldList(msgspec.Struct):
    held: list[StoredPrefix]


def candidate_stores(configuration: Configuration, folder: str) -> list[StoreHost]:
    """Return the store hosts that may have the prefixes of `folder`, in order of preference."""
    weights = [(s.name, float(s.memory + s.disk)) for s in configuration.stores.values()]
    return [configuration.stores[name] for name in rank(folder, weights)[:_CANDIDATE_COUNT]]


class StoreClient:
    """Calls to one store host; the methods raise `ExternalSystemError`."""

    def __init__(self, *, http: HttpClient, store: StoreHost) -> None:
        self._http = http
        self._url = f"http://{store.address}"

    def folder(self, folder: str, *, timeout: float = _LOOKUP_TIMEOUT_SECONDS) -> list[Manifest]:
        """Return the manifests under `folder`."""
        listed = self._get(f"manifests/{folder}", _FolderListing, timeout)
        return [entry.manifest() for entry in listed.manifests]

    def create(self, manifest: Manifest) -> bool:
        """Create `manifest`; return False if there is one already."""
        body = msgspec.json.encode(manifest._asdict())
        return self._send("POST", "manifests", body) != 409

    def remove(self, path: str, attempt: str) -> bool:
        """Remove a manifest if it is still the one of `attempt`; return False if it is not."""
        return self._send("DELETE", f"manifests/{path}?attempt={attempt}") != 409

    def held(self) -> list[StoredPrefix]:
        """Return all stored prefixes."""
        held: list[StoredPrefix] = self._get("held", _HeldList, 5.0).held
        return held

    def parts(self) -> list[str]:
        """Return the ids of all parts."""
        return list(self._get("parts", dict[str, list[str]], 5.0)["parts"])

    def delete_part(self, part: str) -> None:
        """Delete a part; no effect if it does not exist."""
        self._send("DELETE", f"parts/{part}")

    def set_tier(self, path: str, tier: str) -> None:
        """Move a prefix to the tier memory or disk."""
        self._send("POST", "tier", msgspec.json.encode({"path": path, "tier": tier}))

    def _get(self, path: str, kind: Any, timeout: float) -> Any:
        call = Call("GET", f"{self._url}/{path}", timeout=timeout, connect_timeout=timeout)
        reply = self._http.request(call)
        if reply.status != 200:
            raise ExternalSystemError(f"{call.url}: status {reply.status}, expected 200")
        try:
            return decoded(msgspec.json.Decoder(kind), reply.body)
        except msgspec.DecodeError as error:
            raise ExternalSystemError(f"{call.url}: {error}") from None

    def _send(self, method: str, path: str, body: bytes | None = None) -> int:
        reply = self._http.request(Call(method, f"{self._url}/{path}", body, _JSON))
        if reply.status >= 400 and reply.status != 409:
            raise ExternalSystemError(f"{method} {self._url}/{path}: status {reply.status}")
        return reply.status


class Stores:
    """Lookup of prefixes on the few store hosts that may have them.

    A circuit breaker skips a store host after failures, so that requests fall back to
    recomputing without delay.
    """

    def __init__(self, *, http: HttpClient, pool: ThreadPoolExecutor) -> None:
        self._http = http
        self._pool = pool
        self._breakers: dict[str, CircuitBreaker] = {}

    def client(self, store: StoreHost) -> StoreClient:
        """Return a client for one store host."""
        return StoreClient(http=self._http, store=store)

    def usable(self, store: StoreHost) -> bool:
        """Return whether the circuit breaker allows calls to a store host now."""
        return self._breaker(store).allows(clock.now())

    def record_result(self, store: StoreHost, *, succeeded: bool) -> None:
        """Record whether a call to a store host succeeded."""
        breaker = self._breaker(store)
        if succeeded:
            breaker.succeeded()
        else:
            breaker.failed(clock.now())

    def find(
        self, configuration: Configuration, name: PrefixName, digests: list[str]
    ) -> Found | None:
        """Return the longest stored prefix of a prompt; None if none is found in time."""
        lookups = {
            self._pool.submit(self._list_manifests, store, name.folder): store
            for store in candidate_stores(configuration, name.folder)
            if self.usable(store)
        }
        wait_for(lookups, timeout=2 * _LOOKUP_TIMEOUT_SECONDS)
        found = [
            Found(manifest, store)
            for future, store in lookups.items()
            for manifest in self._result(future)
            if _matches(manifest, digests)
        ]
        return max(found, key=lambda f: f.manifest.blocks, default=None)

    def _list_manifests(self, store: StoreHost, folder: str) -> list[Manifest]:
        try:
            found = self.client(store).folder(folder)
        except ExternalSystemError:
            self.record_result(store, succeeded=False)
            return []
        self.record_result(store, succeeded=True)
        return found

    def _result(self, future: Future[list[Manifest]]) -> list[Manifest]:
        try:
            return future.result(timeout=0)
        except (FutureTimeout, ExternalSystemError):
            return []

    def _breaker(self, store: StoreHost) -> CircuitBreaker:
        return self._breakers.setdefault(store.name, CircuitBreaker())


def _matches(manifest: Manifest, digests: list[str]) -> bool:
    """Return whether the manifest's prefix is a prefix of the prompt with these `digests`."""
    blocks = manifest.blocks
    return 0 < blocks <= len(digests) and manifest.digest == digests[blocks - 1]
