"""Find the longest stored prefix of a prompt."""

from __future__ import annotations

from fielddrift_core.errors import Refusal
from fielddrift_core.names import chained_digests, prefix_name
from fielddrift_core.routing import KeptPrefix, RequestNeeds
from result import Ok, Result

from .. import clock
from ..exchange import Exchange
from ..stores import Found

__all__ = ["BYTES_PER_TOKEN", "locate"]

BYTES_PER_TOKEN = 4
"""Estimated bytes of prompt text per token."""


def locate(exchange: Exchange) -> Result[Exchange, Refusal]:
    """Set the prompt's block digests, its stored prefix and the needs of the request.

    It never refuses: without a prefix found in time the context is recomputed.
    """
    assert exchange.completion is not None
    runtime = exchange.runtime
    prompt = exchange.completion.prompt.encode()
    exchange.digests = chained_digests(prompt, salt=exchange.customer.salt)
    if exchange.digests and exchange.configuration.stores:
        started_at = clock.now()
        exchange.found = _find_prefix(exchange)
        runtime.metrics.time("locate", clock.now() - started_at)
    exchange.need = RequestNeeds(
        tokens=len(prompt) // BYTES_PER_TOKEN,
        blocks=len(exchange.digests),
        weights=exchange.deployment.weights,
        kept=_stored_prefix(exchange),
        ttft_limit=exchange.left,
    )
    return Ok(exchange)


def _find_prefix(exchange: Exchange) -> Found | None:
    name = prefix_name(
        customer=exchange.customer.name,
        model=exchange.deployment.model,
        version=exchange.deployment.version,
        digests=exchange.digests,
        blocks=len(exchange.digests),
    )
    return exchange.runtime.stores.find(exchange.configuration, name, exchange.digests)


def _stored_prefix(exchange: Exchange) -> KeptPrefix:
    if exchange.found is None:
        return KeptPrefix()
    manifest, store = exchange.found
    return KeptPrefix(
        blocks=manifest.blocks,
        size=manifest.size,
        seconds=exchange.runtime.links.import_seconds(store, manifest.size),
        link_seconds=manifest.size / store.link_rate,
    )
