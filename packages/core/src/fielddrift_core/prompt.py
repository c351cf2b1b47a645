"""Describe a prompt as its parts, in order.

Parts are shared between requests, but for the last one, which belongs to the
request or its session.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Part", "Prompt"]


class Part(NamedTuple):
    """A piece of a prompt: the id of its content, and its length in tokens."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """What a request asks an engine for: the model, the parts, tokens to make at most."""

    model: str
    parts: tuple[Part, ...]
    tokens_in: int
    tokens_out: int

    @property
    def tokens(self) -> int:
        """Return the tokens that a run needs of an engine's memory at most."""
        return self.tokens_in + self.tokens_out

    @property
    def shared(self) -> tuple[Part, ...]:
        """Return the parts that other requests may have in common with this one."""
        return self.parts[:-1]
