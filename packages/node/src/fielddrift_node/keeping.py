"""Export a prompt's prefix to a store host after its run."""

from __future__ import annotations

import uuid

import msgspec
from fielddrift_core.holding import should_export
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import StoreHost
from fielddrift_core.names import Manifest, ManifestPart, PrefixName, prefix_name

from .exchange import Exchange
from .log import get
from .started import Started
from .stores import candidate_stores

__all__ = ["export_prefix"]

BLOCKS_PER_PART = 32
BYTES_PER_BLOCK = 4096
_EXPORT_TIMEOUT_SECONDS = 30.0


def export_prefix(exchange: Exchange, started: Started) -> None:
    """Export the prefix of a completed run, unless it is not worth storing."""
    runtime = exchange.runtime
    blocks = len(exchange.digests)
    kept = exchange.found.manifest.blocks if exchange.found else 0
    rule = exchange.configuration.holds.get(exchange.customer.name)
    if runtime.watch.leaving or not should_export(rule=rule, blocks=blocks, kept=kept):
        runtime.metrics.add("exports.skipped")
        return
    name = prefix_name(
        customer=exchange.customer.name,
        model=exchange.deployment.model,
        version=exchange.deployment.version,
        digests=exchange.digests,
        blocks=blocks,
    )
    for store in candidate_stores(exchange.configuration, name.folder):
        if runtime.stores.usable(store) and _export(exchange, started, name, store):
            return
    runtime.metrics.add("exports.failed")


def _export(exchange: Exchange, started: Started, name: PrefixName, store: StoreHost) -> bool:
    """Write the parts, then the manifest; return whether no other store need be tried."""
    runtime = exchange.runtime
    size = name.blocks * BYTES_PER_BLOCK
    if not runtime.links.begin_export(store, size):
        runtime.metrics.add("exports.skipped")
        return True
    try:
        manifest = _write(exchange, started, name, store)
    except ExternalSystemError as error:
        runtime.stores.record_result(store, succeeded=False)
        get().info("export failed", request=exchange.request_id, error=str(error))
        return False
    finally:
        runtime.links.end_export(store, size)
    runtime.stores.record_result(store, succeeded=True)
    runtime.metrics.add("exports.done")
    runtime.metrics.add("link.exported", manifest.size)
    return True


def _write(exchange: Exchange, started: Started, name: PrefixName, store: StoreHost) -> Manifest:
    attempt = uuid.uuid4().hex
    order = {
        "run": started.order.run,
        "store": store.address,
        "attempt": attempt,
        "blocks": name.blocks,
        "blocks_a_part": BLOCKS_PER_PART,
    }
    runtime = exchange.runtime
    raw = runtime.targets.export(started.choice.target, order, timeout=_EXPORT_TIMEOUT_SECONDS)
    try:
        parts = tuple(msgspec.convert(raw, list[ManifestPart]))
    except msgspec.ValidationError as error:
        raise ExternalSystemError(f"parts of an export: {error}") from None
    size = sum(part.length for part in parts)
    manifest = Manifest(name.path, attempt, name.blocks, name.digest, size, parts)
    runtime.stores.client(store).create(manifest)
    return manifest
