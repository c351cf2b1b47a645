"""Name cached blocks of prompts by their content.

A name consists of customer, model, weight version and a digest chained over the
prompt, keyed by the customer's salt.  The same text of two customers, or under
two versions, has two names, and a name is never reused for other bytes.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

__all__ = [
    "BLOCK_BYTES",
    "Manifest",
    "ManifestPart",
    "PrefixName",
    "chained_digests",
    "prefix_name",
    "rank",
]

BLOCK_BYTES = 1024
"""Bytes of prompt text in one block."""

_DIGEST_BYTES = 16
_SCORE_CACHE_SIZE = 8192
"""Scores in the cache: the same nodes are ranked several times a second."""


class PrefixName(NamedTuple):
    """The name of a cached prefix: `blocks` full blocks, the last one with `digest`."""

    customer: str
    model: str
    version: str
    root: str
    digest: str
    blocks: int

    @property
    def folder(self) -> str:
        """Return the common path of all cached lengths of prompts with this first block."""
        return f"{self.customer}/{self.model}/{self.version}/{self.root}"

    @property
    def path(self) -> str:
        """Return the path of the manifest."""
        return f"{self.folder}/{self.blocks}-{self.digest}"


class ManifestPart(NamedTuple):
    """A stored part of a prefix: its id, length in bytes and digest."""

    id: str
    length: int
    digest: str


class Manifest(NamedTuple):
    """The list of the parts of a stored prefix; writing it makes the prefix visible.

    Part ids contain the attempt, so that parts of two exporters are never mixed.
    """

    path: str
    attempt: str
    blocks: int
    digest: str
    size: int
    parts: tuple[ManifestPart, ...]


def chained_digests(text: bytes, *, salt: str) -> list[str]:
    """Return a digest for each full block of `text`, chained over all blocks before it.

    A last block that is not full has no digest and is always recomputed.
    """
    key = hashlib.sha256(salt.encode()).digest()
    digests: list[str] = []
    previous = b""
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        previous = hashlib.blake2b(previous + block, key=key, digest_size=_DIGEST_BYTES).digest()
        digests.append(previous.hex())
    return digests


def prefix_name(
    *, customer: str, model: str, version: str, digests: Sequence[str], blocks: int
) -> PrefixName:
    """Return the name of the first `blocks` blocks of a chained prompt.

    Raise ValueError when the prompt has fewer blocks than that.
    """
    if not 0 < blocks <= len(digests):
        raise ValueError(f"blocks: {blocks}, expected 1 to {len(digests)}")
    return PrefixName(
        customer=customer,
        model=model,
        version=version,
        root=digests[0],
        digest=digests[blocks - 1],
        blocks=blocks,
    )


def rank(key: str, names: Iterable[tuple[str, float]]) -> list[str]:
    """Return `names` ordered by weighted rendezvous hash of `key`, highest score first.

    Each name comes with its weight (above 0).  Removing a name moves only the
    keys for which it was first.
    """
    scored = sorted((-_score(key, name, weight), name) for name, weight in names)
    return [name for _, name in scored]


@lru_cache(maxsize=_SCORE_CACHE_SIZE)
def _score(key: str, name: str, weight: float) -> float:
    raw = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    unit = (int.from_bytes(raw, "big") + 1) / (2**64 + 1)
    return -weight / math.log(unit)
