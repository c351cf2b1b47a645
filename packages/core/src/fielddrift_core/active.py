"""Choose which hosts callers are sent to: the active ones; the others stand by.

Few hosts can carry what many small ones carry together.  The fewer take
requests, the more each knows of what is under way at the targets, and the
less the hosts have to tell each other.  A host that stands by is ready to
serve at once and becomes active when one before it falls silent or the load
grows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from .names import rank

__all__ = ["Candidate", "active_names", "capacity_of", "size_class"]

_REQUEST_SECONDS = 0.004
"""Processor time of a request with its stream on a reference core (docs/CAPACITY.md): with less,
callers would be sent to fewer hosts than carry them."""
_REQUEST_BYTES = 30_000
"""Bytes that a request takes of a host's link: a long prompt of 9 KB comes in and
goes out, and so does its answer."""
_HEADROOM = 3.0
"""Capacity of the active hosts over the load: a burst of 1.7 while a third is lost."""
_LEAST = 3
"""Active hosts of a data centre at least: two may be lost at once."""
_PART = 6
"""One in so many hosts is active at least, so that a load that grows at once
does not meet three hosts of a hundred."""
_RANK_KEY = "active"


class Candidate(NamedTuple):
    """A host that could be active; `capacity` and `load` in requests a second."""

    name: str
    capacity: float
    load: float = 0.0


def capacity_of(*, cores: float, link_rate: float) -> float:
    """Return the requests a second that a host carries.

    `cores` is its processor in reference cores, `link_rate` in bytes a second.
    """
    return min(cores / _REQUEST_SECONDS, link_rate / _REQUEST_BYTES)


def active_names(candidates: Iterable[Candidate]) -> frozenset[str]:
    """Return the names of the hosts of one data centre that should be active.

    Large hosts come first; among hosts of one size the order is the same for
    everyone and moves little when a host comes or goes.
    """
    known = {candidate.name: candidate for candidate in candidates}
    ranked = rank(_RANK_KEY, [(name, 1.0) for name in known])
    ranked.sort(key=lambda name: -size_class(known[name].capacity))
    wanted = _HEADROOM * sum(candidate.load for candidate in known.values())
    least = max(_LEAST, math.ceil(len(known) / _PART))
    chosen: list[str] = []
    carried = 0.0
    for name in ranked:
        if len(chosen) >= least and carried >= wanted:
            break
        chosen.append(name)
        carried += known[name].capacity
    return frozenset(chosen)


def size_class(capacity: float) -> int:
    """Return the power of two next to `capacity`: nearly equal hosts count as equal."""
    return round(math.log2(max(capacity, 1.0)))
