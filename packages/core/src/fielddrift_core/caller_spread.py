"""Choose the hosts that an entry response names, so that load follows capacity.

Load pattern: a few large hosts and many small ones are active in one data centre.  A caller
opens each new connection to a random address of its last entry response.  If all responses
named all hosts, a small host would get as many requests as a large one: more than its link
carries, while the large hosts are nearly idle.

Each response names a random sample of the hosts, weighted by capacity.  The sample does not
depend on the caller, because many callers may share one address behind a gateway.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

from .active import differ

__all__ = ["sample_hosts"]

_SAMPLE_COUNT = 2
"""Hosts per response: a caller needs a second address until it learns that the first failed.
With more, most samples would include small hosts, and those would get more than their share."""


class HasCapacity(Protocol):
    """Protocol of hosts with a known capacity."""

    @property
    def capacity(self) -> float:
        """Return the requests per second that the host can serve."""


_H = TypeVar("_H", bound=HasCapacity)


def sample_hosts(hosts: Sequence[_H], rng: random.Random) -> list[_H]:
    """Return the hosts that one entry response names, in the order of `hosts`.

    All are returned if their capacities are similar.
    """
    capacities = [host.capacity for host in hosts]
    if len(hosts) <= _SAMPLE_COUNT or not differ(capacities):
        return list(hosts)
    # Weighted sampling without replacement: the largest of `u ** (1 / weight)` for uniform `u`.
    scores = [rng.random() ** (1 / max(1.0, capacity)) for capacity in capacities]
    chosen = sorted(range(len(hosts)), key=scores.__getitem__)[-_SAMPLE_COUNT:]
    return [hosts[index] for index in sorted(chosen)]
