"""Choose which engines are weighed for a prompt, where there are many.

Load pattern: hundreds of requests a second before hundreds of engines.  Weighing an
engine costs some tens of microseconds, so a node that weighed all of them would spend
its processor on choices.  The best of a random sample is nearly as good as the best of
all, and nodes that sample do not all send to the same engine at once.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

__all__ = ["MAX_CANDIDATES", "sample"]

MAX_CANDIDATES = 32
"""Engines that are weighed for a prompt at most: some 1 ms of a reference core, a quarter
of what the rest of a request takes."""
_LOCAL_FRACTION = 0.75
"""Part of the sample for engines of the node's data centre, as far as there are so many:
bytes to the others cost, and they are of use when the near ones are crowded."""


class HasDataCentre(Protocol):
    """Something in a data centre."""

    @property
    def data_centre(self) -> str:
        """Return the name of the data centre."""


_P = TypeVar("_P", bound=HasDataCentre)


def sample(
    engines: Sequence[_P], *, data_centre: str, rng: random.Random, max_count: int = MAX_CANDIDATES
) -> list[_P]:
    """Return up to `most` of `engines`, those in `data_centre` first; all where they are few."""
    if len(engines) <= max_count:
        return list(engines)
    near = [engine for engine in engines if engine.data_centre == data_centre]
    far = [engine for engine in engines if engine.data_centre != data_centre]
    wanted_near = min(len(near), max(int(max_count * _LOCAL_FRACTION), max_count - len(far)))
    return rng.sample(near, wanted_near) + rng.sample(far, min(len(far), max_count - wanted_near))
