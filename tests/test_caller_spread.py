"""Entry responses must not send small hosts more requests than their links carry."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fielddrift_core.active import Candidate as ActiveCandidate
from fielddrift_core.active import active_names, capacity_of
from fielddrift_core.caller_spread import sample_hosts

_LARGE = capacity_of(cores=2.15, link_rate=100e6 / 8)
_SMALL = capacity_of(cores=0.36, link_rate=5e6 / 8)
_CALLER_COUNT = 90
_RATE = 170.0
"""Requests per second of one data centre at the top of a wave."""


class _Host(NamedTuple):
    name: str
    capacity: float


def _active_hosts() -> list[_Host]:
    hosts = [_Host(f"n{i}", _LARGE if i < 2 else _SMALL) for i in range(34)]
    load = _RATE / len(hosts)
    active = active_names(ActiveCandidate(h.name, h.capacity, load) for h in hosts)
    return [host for host in hosts if host.name in active]


def _utilizations(choose: Callable[[], Sequence[_Host]], rng: random.Random) -> dict[str, float]:
    """Return each host's requests per second as a fraction of its capacity.

    Every caller keeps its connection to one address of each response.
    """
    chosen = Counter(rng.choice(choose()) for _ in range(_CALLER_COUNT * 40))
    rate = _RATE / chosen.total()
    return {host.name: count * rate / host.capacity for host, count in chosen.items()}


class TestUnevenHosts(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(7)
        self.hosts = _active_hosts()

    def test_small_hosts_get_no_more_than_their_links_carry(self) -> None:
        even = _utilizations(lambda: self.hosts, self.rng)
        self.assertGreater(max(even.values()), 1.0, "the load that this test replays")
        spread = _utilizations(lambda: sample_hosts(self.hosts, self.rng), self.rng)
        self.assertLess(max(spread.values()), 0.6)

    def test_a_response_names_a_second_host_for_when_the_first_fails(self) -> None:
        for _ in range(200):
            self.assertGreaterEqual(len(set(sample_hosts(self.hosts, self.rng))), 2)

    def test_one_large_host_is_in_nearly_all_responses(self) -> None:
        hosts = [_Host("large", _LARGE), *(_Host(f"n{i}", _SMALL) for i in range(5))]
        named = sum(hosts[0] in sample_hosts(hosts, self.rng) for _ in range(500))
        self.assertGreater(named, 450)

    def test_hosts_of_similar_capacity_are_all_named(self) -> None:
        hosts = [_Host(f"n{i}", 40.0 + 10 * i) for i in range(4)]
        self.assertEqual(sample_hosts(hosts, self.rng), hosts)

    def test_two_hosts_are_both_named_whatever_their_capacity(self) -> None:
        hosts = [_Host("large", _LARGE), _Host("small", _SMALL)]
        self.assertEqual(sample_hosts(hosts, self.rng), hosts)
