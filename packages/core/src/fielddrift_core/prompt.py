"""Describe a prompt as its parts, in order.

Requests can have parts in common, except for the last part, which belongs to
one request or its session.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Part", "Prompt"]


class Part(NamedTuple):
    """A part of a prompt: the id of its content, and its length in tokens."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """A request to an engine: the model, the prompt's parts, its tokens and the output limit.

    `tokens_in` is the length of the prompt, `tokens_out` the most tokens to generate.
    """

    model: str
    parts: tuple[Part, ...]
    tokens_in: int
    tokens_out: int

    @property
    def tokens(self) -> int:
        """Return the most tokens that a run occupies in an engine's memory."""
        return self.tokens_in + self.tokens_out

    @property
    def shared(self) -> tuple[Part, ...]:
        """Return the parts that other requests may also have."""
        return self.parts[:-1]
