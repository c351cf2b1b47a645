"""Order the entry addresses that a caller should use.

Nearest data centre first; within one, by rendezvous hash of the model asked
for, so that a model's requests meet on few nodes.  Those nodes then hear of
the model's targets often enough for their loads to be fresh, without any
node following every target.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .membership import Member
from .names import rank

__all__ = ["KEEP_SECONDS", "EntryAnswer", "order"]

KEEP_SECONDS = 10.0
_MOST_ADDRESSES = 8


class EntryAnswer(NamedTuple):
    """The addresses to use, best first, and how long to keep them, in seconds."""

    addresses: tuple[str, ...]
    keep: float


def order(
    members: Iterable[Member], *, data_centre: str, model: str = "", keep: float = KEEP_SECONDS
) -> EntryAnswer:
    """Return the entry answer for a caller near `data_centre`."""
    near: list[Member] = []
    far: list[Member] = []
    for member in members:
        (near if member.data_centre == data_centre else far).append(member)
    ranked = [*_ranked(near, model), *_ranked(far, model)]
    return EntryAnswer(tuple(ranked[:_MOST_ADDRESSES]), keep)


def _ranked(members: list[Member], model: str) -> list[str]:
    return rank(model, [(member.http, 1.0) for member in members])
