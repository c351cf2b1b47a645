"""Choose which engines are evaluated for a prompt if there are many.

Load pattern: hundreds of requests per second for hundreds of engines.  Evaluating an engine
costs some tens of microseconds, so a node that evaluated all of them would spend its
processor time on choices.  The best of a random sample is nearly as good as the best of
all, and nodes that sample do not all send to the same engine at once.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

__all__ = ["MAX_CANDIDATES", "sample"]

MAX_CANDIDATES = 32
"""Maximum number of engines evaluated per prompt: some 1 ms of a reference core, a quarter of
what the rest of a request takes."""
_LOCAL_FRACTION = 0.75
"""Fraction of the sample that is taken from the node's own data centre, if it has enough
engines: bytes to other data centres cost, but their engines help when the local ones are
overloaded."""


class HasDataCentre(Protocol):
    """Protocol of objects that are located in a data centre."""

    @property
    def data_centre(self) -> str:
        """Return the name of the data centre."""


_P = TypeVar("_P", bound=HasDataCentre)


def sample(
    engines: Sequence[_P], *, data_centre: str, rng: random.Random, max_count: int = MAX_CANDIDATES
) -> list[_P]:
    """Return a random sample of at most `max_count` of `engines`, mostly in `data_centre`.

    If there are no more than `max_count`, all of them are returned.
    """
    if len(engines) <= max_count:
        return list(engines)
    local = [engine for engine in engines if engine.data_centre == data_centre]
    remote = [engine for engine in engines if engine.data_centre != data_centre]
    local_count = min(len(local), max(int(max_count * _LOCAL_FRACTION), max_count - len(remote)))
    return rng.sample(local, local_count) + rng.sample(
        remote, min(len(remote), max_count - local_count)
    )
