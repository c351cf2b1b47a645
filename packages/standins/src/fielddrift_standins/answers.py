"""Compute a model engine's KV cache and answers.

The KV bytes of a block depend on version, salt and all text before it; an
answer depends on the very KV bytes that were used.  A block of another
customer or version, or a damaged one, therefore shows in the answer.
"""

from __future__ import annotations

import hashlib

__all__ = ["BLOCK_BYTES", "KV_BYTES", "TOKEN_BYTES", "answer", "first_kv", "kv_block", "kv_chain"]

BLOCK_BYTES = 1024
TOKEN_BYTES = 4
KV_BYTES = 4096


def first_kv(version: str, salt: str) -> bytes:
    """Return the state before the first block."""
    return hashlib.blake2b(f"{version}\0{salt}".encode(), digest_size=32).digest()


def kv_block(before: bytes, text: bytes) -> bytes:
    """Return the KV bytes of a block of `text` that follows the KV bytes `before`."""
    digest = hashlib.blake2b(before, digest_size=32).digest()
    seed = hashlib.blake2b(digest + text, digest_size=32).digest()
    return hashlib.shake_128(seed).digest(KV_BYTES)


def kv_chain(prompt: bytes, version: str, salt: str) -> list[bytes]:
    """Return the KV bytes of all whole blocks of `prompt`."""
    blocks: list[bytes] = []
    before = first_kv(version, salt)
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        before = kv_block(before, prompt[start : start + BLOCK_BYTES])
        blocks.append(before)
    return blocks


def answer(prompt: bytes, blocks: list[bytes], version: str, salt: str, count: int) -> list[str]:
    """Return `count` words computed from the KV bytes used and the prompt's tail."""
    state = hashlib.blake2b(first_kv(version, salt))
    for block in blocks:
        state.update(block)
    state.update(prompt[len(blocks) * BLOCK_BYTES :])
    seed = state.digest()
    return [
        hashlib.blake2b(seed + number.to_bytes(4, "big"), digest_size=3).hexdigest()
        for number in range(count)
    ]
