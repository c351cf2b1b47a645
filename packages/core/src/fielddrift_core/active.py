"""Select the active hosts, which take callers' requests; the others are on standby.

A few large hosts can replace many small ones.  The fewer hosts take requests, the more each
knows of the requests in flight at the targets, and the less state the hosts have to exchange.
A standby host is ready to serve at once, and becomes active when an active one before it in
the order fails or the load grows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from .names import rank

__all__ = ["Candidate", "active_names", "capacity_of", "differ", "joint_peak", "size_class"]

_CPU_SECONDS_PER_REQUEST = 0.004
"""Processor time of a request with its stream on a reference core (docs/CAPACITY.md).  With a
lower value, callers would be sent to fewer hosts than the load needs."""
_LINK_BYTES_PER_REQUEST = 30_000
"""Bytes that a request takes of a host's link: a long prompt of 9 KB is received and sent on,
and so is its answer."""
_HEADROOM_FACTOR = 3.0
"""Ratio of the active hosts' capacity to the load: enough for a burst of 1.7 times the load
while a third of the hosts is lost."""
_MIN_ACTIVE_HOSTS = 3
"""Minimum number of active hosts in a data centre: two may fail at the same time."""
_HOSTS_PER_ACTIVE_HOST = 6
"""At least one host in this many is active, so that a sudden increase of the load does not
arrive at three hosts out of a hundred."""
_MAX_EVEN_RATIO = 2.0
"""Ratio of the largest to the smallest capacity below which hosts are treated alike.  Hosts have
enough headroom for load that is uneven by this factor."""
_PEAK_DEVIATIONS = 2.5
"""Standard deviations by which the busiest of ten seconds exceeds the mean of random arrivals."""
_RANK_KEY = "active"
_ORDER_CACHE_SIZE = 8
"""Orders of hosts that are cached: a node selects among the same hosts several times a second."""


class Candidate(NamedTuple):
    """A host that can be active; `capacity` and `load` are in requests per second."""

    name: str
    capacity: float
    load: float = 0.0


def capacity_of(*, cores: float, link_rate: float) -> float:
    """Return the requests per second that a host can serve.

    `cores` is its processor in reference cores, `link_rate` its link in bytes per second.
    """
    return min(cores / _CPU_SECONDS_PER_REQUEST, link_rate / _LINK_BYTES_PER_REQUEST)


def active_names(candidates: Iterable[Candidate]) -> frozenset[str]:
    """Return the names of the hosts of one data centre that should be active.

    Large hosts come first.  Among hosts of one size class every node uses the same order, which
    changes little when a host is added or removed.  Where capacities differ, most small hosts
    have little load, and their peaks are not simply added up.
    """
    known = {candidate.name: candidate for candidate in candidates}
    ranked = _selection_order(tuple([(c.name, c.capacity) for c in known.values()]))
    loads = [candidate.load for candidate in known.values()]
    uneven = differ([candidate.capacity for candidate in known.values()])
    wanted = _HEADROOM_FACTOR * (joint_peak(loads) if uneven else sum(loads))
    min_count = max(_MIN_ACTIVE_HOSTS, math.ceil(len(known) / _HOSTS_PER_ACTIVE_HOST))
    chosen: list[str] = []
    capacity = 0.0
    for name in ranked:
        if len(chosen) >= min_count and capacity >= wanted:
            break
        chosen.append(name)
        capacity += known[name].capacity
    return frozenset(chosen)


@lru_cache(maxsize=_ORDER_CACHE_SIZE)
def _selection_order(capacities: tuple[tuple[str, float], ...]) -> tuple[str, ...]:
    """Return the names of hosts, each with its capacity, in the order in which they are chosen."""
    classes = {name: size_class(capacity) for name, capacity in capacities}
    ranked = rank(_RANK_KEY, [(name, 1.0) for name in classes])
    return tuple(sorted(ranked, key=lambda name: -classes[name]))


def differ(capacities: Iterable[float]) -> bool:
    """Return whether the capacities of hosts differ so much that their load should, too."""
    known = list(capacities)
    return bool(known) and max(known) >= _MAX_EVEN_RATIO * min(known)


def joint_peak(peaks: Iterable[float]) -> float:
    """Return the peak rate of several streams of requests together, from their own peak rates.

    Streams have their busiest seconds at different times, so the sum of the peaks is too high,
    the more so the more of them there are.  Added up, the peaks of a hundred hosts with a request
    per second each would make all of them active, and their traffic smaller still.
    """
    # The peak of a mean rate m is m + d * sqrt(m), for d deviations.
    deviations = _PEAK_DEVIATIONS
    # Most hosts are on standby, without any load, and add nothing.
    mean = sum(
        ((math.sqrt(deviations**2 + 4 * peak) - deviations) / 2) ** 2 for peak in peaks if peak > 0
    )
    return mean + deviations * math.sqrt(mean)


def size_class(capacity: float) -> int:
    """Return the binary logarithm of `capacity`, rounded: similar hosts count as equal."""
    return round(math.log2(max(capacity, 1.0)))
