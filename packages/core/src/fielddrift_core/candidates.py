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

__all__ = ["MOST_WEIGHED", "sample"]

MOST_WEIGHED = 32
"""Engines that are weighed for a prompt at most: some 1 ms of a reference core, a quarter
of what the rest of a request takes."""
_NEAR_PART = 0.75
"""Part of the sample for engines of the node's data centre, as far as there are so many:
bytes to the others cost, and they are of use when the near ones are crowded."""


class Placed(Protocol):
    """Something in a data centre."""

    @property
    def data_centre(self) -> str:
        """Return the name of the data centre."""


_P = TypeVar("_P", bound=Placed)


def sample(
    engines: Sequence[_P], *, data_centre: str, rng: random.Random, most: int = MOST_WEIGHED
) -> list[_P]:
    """Return up to `most` of `engines`, those in `data_centre` first; all where they are few."""
    if len(engines) <= most:
        return list(engines)
    near = [engine for engine in engines if engine.data_centre == data_centre]
    far = [engine for engine in engines if engine.data_centre != data_centre]
    wanted_near = min(len(near), max(int(most * _NEAR_PART), most - len(far)))
    return rng.sample(near, wanted_near) + rng.sample(far, min(len(far), most - wanted_near))
