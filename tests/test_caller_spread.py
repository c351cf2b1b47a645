"""Entry responses must not send small hosts more requests than their links carry."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fielddrift_core.active import Candidate as ActiveCandidate
from fielddrift_core.active import active_names, capacity_of, joint_peak
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


class TestJointPeak(unittest.TestCase):
    """The active hosts must not multiply because each of them reports its own busiest second."""

    def _peaks(self, count: int, rate: float) -> list[float]:
        rng = random.Random(3)
        seconds = [Counter(rng.randrange(count) for _ in range(int(rate))) for _ in range(10)]
        return [float(max(second[host] for second in seconds)) for host in range(count)]

    def test_one_host_keeps_its_own_peak(self) -> None:
        self.assertAlmostEqual(joint_peak([70.0]), 70.0)

    def test_the_peak_of_many_hosts_does_not_grow_with_their_number(self) -> None:
        for count in (6, 34, 100):
            with self.subTest(hosts=count):
                self.assertLess(joint_peak(self._peaks(count, _RATE)), 1.5 * _RATE)
                self.assertGreater(joint_peak(self._peaks(count, _RATE)), 0.9 * _RATE)

    def test_hosts_that_became_active_for_a_burst_stand_by_again(self) -> None:
        # With the sum of the peaks the large hosts' capacity never sufficed again.
        rate = 230.0
        peaks = [*self._peaks(2, 0.8 * rate), *self._peaks(32, 0.2 * rate)]
        hosts = [ActiveCandidate(f"n{i}", _LARGE if i < 2 else _SMALL, peaks[i]) for i in range(34)]
        self.assertGreater(3 * sum(peaks), 2 * _LARGE)
        self.assertEqual(len(active_names(hosts)), 6)
