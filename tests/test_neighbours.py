"""Selection of readers, detection of live nodes, and selection of the active nodes."""

from __future__ import annotations

import itertools
import random
import unittest
from typing import ClassVar

from fielddrift_core.active import Candidate, active_names
from fielddrift_core.names import rank
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Relation, StorePosition
from fielddrift_core.readers import ReadState, reader, source, store_sources
from fielddrift_core.workload import PeakRate
from fielddrift_node.serving.views import Views
from hypothesis import given, settings
from hypothesis import strategies as st


def neighbour(name: str, data_centre: str = "a", boot: int = 1) -> Neighbour:
    return Neighbour(name, boot, data_centre, f"{name}:80", f"{name}:81", f"{name}:82")


def heartbeat(node: Neighbour, *, ready: bool = True, leaving: bool = False) -> Heartbeat:
    return Heartbeat(node, ready, leaving, 1, {}, {})


def own_read_state(*, targets: float, operators: float) -> ReadState:
    """Return the read state of a node whose last reads were so many seconds ago."""
    views = Views()
    views.targets_read_at, views.operators_read_at = -targets, -operators
    return views.read_state(0.0)


class TestInstances(unittest.TestCase):
    """Heartbeats of a restarted node are accepted even if its instance number is lower.

    Instance numbers are taken from the time of day.  A node started while its host's clock was
    two seconds ahead, the clock was set back, and the node restarted with a lower number.  Its
    neighbours took each heartbeat for a delayed one of a former instance and ignored it, so
    `known_nodes` reported the node as silent for ever.
    """

    def test_a_lower_instance_is_accepted_once_the_higher_one_is_silent(self) -> None:
        neighbours = Neighbours(me=neighbour("me"))
        neighbours.receive(heartbeat(neighbour("n1", boot=9)), 0.0)
        self.assertFalse(neighbours.receive(heartbeat(neighbour("n1", boot=7)), 0.5))
        self.assertEqual(neighbours.node("n1"), neighbour("n1", boot=9))
        self.assertTrue(neighbours.receive(heartbeat(neighbour("n1", boot=7)), 2.5))
        self.assertEqual(neighbours.node("n1"), neighbour("n1", boot=7))
        self.assertEqual([node.boot for node in neighbours.alive(2.6)], [7])

    def test_heartbeats_of_a_former_instance_are_ignored(self) -> None:
        # Otherwise its sends and leaving targets would be added to those of the new instance.
        me = neighbour("me")
        neighbours = Neighbours(me=me)
        neighbours.receive(heartbeat(neighbour("n1", boot=9)), 0.0)
        self.assertTrue(neighbours.is_former_instance(neighbour("n1", boot=7), 0.5))
        self.assertTrue(neighbours.is_former_instance(me._replace(boot=0), 0.5))
        self.assertFalse(neighbours.is_former_instance(neighbour("n1", boot=9), 0.5))
        self.assertFalse(neighbours.is_former_instance(neighbour("n2"), 0.5))


class TestReaders(unittest.TestCase):
    def test_one_node_reads_for_all_and_each_reads_itself_when_it_is_stale(self) -> None:
        names = ["n1", "n2", "n3"]
        fresh = {name: ReadState(age=0.1) for name in names}
        readers = set()
        for name in names:
            others = {n: r for n, r in fresh.items() if n != name}
            readers.add(source(name, "platform", others, active=names).name or name)
        self.assertEqual(len(readers), 1)
        (reader,) = readers
        old = {n: ReadState(age=5.0) for n in names}
        for name in names:
            others = {n: r for n, r in old.items() if n != name}
            self.assertEqual(source(name, "platform", others, active=names).name, "", reader)

    def test_the_next_reader_replaces_one_that_is_partitioned(self) -> None:
        names = ["n1", "n2", "n3", "n4"]
        active = names[:3]
        order = rank("platform", [(name, 1.0) for name in active])
        ages = {order[0]: 3.0, order[1]: 0.1, order[2]: 0.4, "n4": 0.4}
        found = {}
        for name in names:
            others = {n: ReadState(age=age) for n, age in ages.items() if n != name}
            found[name] = source(name, "platform", others, active=active).name
        self.assertEqual(found, {order[0]: "", order[1]: "", order[2]: order[1], "n4": order[1]})

    def test_a_reader_with_stale_operators_rows_is_not_used(self) -> None:
        names = ["n1", "n2", "n3"]
        first, second, third = rank("platform", [(name, 1.0) for name in names])
        fresh = {first: own_read_state(targets=0.1, operators=1.7), second: ReadState(age=0.1)}
        self.assertEqual(source(third, "platform", fresh, active=names).name, first)
        # Its view of the targets is fresh, but its call for the operators' rows hangs.
        hung = {first: own_read_state(targets=0.1, operators=2.3), second: ReadState(age=0.1)}
        self.assertEqual(source(third, "platform", hung, active=names).name, second)
        hung = {n: reading._replace(age=reading.age + 2.3) for n, reading in fresh.items()}
        self.assertEqual(source(third, "platform", hung, active=names).name, "")

    def test_a_standby_node_never_reads_for_others_and_waits_longer(self) -> None:
        late = {"n1": ReadState(age=1.5), "n2": ReadState(age=1.6)}
        self.assertEqual(source("n3", "k", late, active=["n1", "n2"]).name, "n1")
        lost = {"n1": ReadState(age=2.5), "n2": ReadState(age=2.6)}
        self.assertEqual(source("n3", "k", lost, active=["n1", "n2"]).name, "")
        # With a higher bound, reads are further apart.
        self.assertEqual(source("n3", "k", lost, active=["n1", "n2"], bound=4.0).name, "n1")
        lost = {name: ReadState(age=3.1) for name in ("n1", "n2")}
        self.assertEqual(source("n3", "k", lost, active=["n1", "n2"], bound=4.0).name, "")

    def test_large_hosts_read_for_small_ones(self) -> None:
        sizes = {"n1": 20.0, "n2": 20.0, "n3": 500.0, "n4": 20.0}
        for key in ("platform", "stores", "x", "y"):
            self.assertEqual(reader(key, sizes, capacity=sizes.__getitem__), "n3")
        readings = {name: ReadState(age=0.1) for name in sizes if name != "n1"}
        found = source("n1", "platform", readings, active=sizes, capacity=sizes.__getitem__)
        self.assertEqual(found.name, "n3")

    def test_each_store_is_copied_from_a_node_with_a_recent_position_if_the_listener_has_none(
        self,
    ) -> None:
        marks = {
            "listener": {"s1": StorePosition(1, 5, 0.1)},
            "n2": {
                "s1": StorePosition(1, 5, 0.0),
                "s2": StorePosition(1, 5, 0.4),
                "s3": StorePosition(1, 5, 9.0),
            },
            "n3": {"s2": StorePosition(1, 5, 0.2)},
        }
        found = store_sources(["s1", "s2", "s3", "s4"], marks, "listener")
        self.assertEqual(found, {"s1": "listener", "s2": "n3"})


class TestFailover(unittest.TestCase):
    """All active nodes of a data centre fail at once; standby nodes start to read in time."""

    STEP = 0.05
    END = 5.0

    def _seconds(self, near: int, far: int) -> float:
        """Return the seconds until a remaining node of the data centre reads for itself."""
        everyone = [neighbour(f"n{n:02}") for n in range(near)]
        everyone += [neighbour(f"f{n:02}", "b") for n in range(far)]
        views = {node.name: Neighbours(me=node) for node in everyone}
        for view, node in itertools.product(views.values(), everyone):
            view.add(node)
        read: dict[str, float] = {}
        ended: frozenset[str] = frozenset()
        for step in itertools.count():
            now = step * self.STEP
            if now >= self.END and not ended:
                ended = views["n00"].active(now)
            for name in [name for name in views if name not in ended]:
                view = views[name]
                view.update_self(serving=True, load=1.0)
                seen, active = view.read_states(now), view.active(now)
                if not source(name, "platform", seen, active=active).name:
                    read[name] = now
                    if ended and name.startswith("n"):
                        return now - self.END
                self._send_heartbeats(views, name, now - read.get(name, float("-inf")), now)
        raise AssertionError("not reached")

    def _send_heartbeats(
        self, views: dict[str, Neighbours], name: str, age: float, now: float
    ) -> None:
        view = views[name]
        for node in view.due(now):
            sent = heartbeat(view.me)._replace(
                reading=ReadState(age=age),
                active=view.is_active(now),
                period=view.period(view.relation(node, now), now),
            )
            views[node.name].receive(sent, now)

    def test_standby_nodes_read_in_time_for_a_new_catalog(self) -> None:
        # A check every 0.3 s, a call and a copy follow.  A catalog must be in force 2 s after its
        # acknowledgement, and 3 s in large deployments, where heartbeats are further apart.
        for near, far, seconds in ((4, 0, 1.5), (9, 9, 1.5), (31, 10, 2.5)):
            self.assertLessEqual(self._seconds(near, far), seconds, (near, far))


class TestNeighbours(unittest.TestCase):
    def setUp(self) -> None:
        self.view = Neighbours(me=neighbour("me"))

    def _addresses(self, now: float, data_centre: str = "a") -> list[str]:
        return self.view.addresses(data_centre, now, random.Random(1))

    def test_a_silent_node_is_removed_from_the_addresses_and_returns_with_a_heartbeat(self) -> None:
        self.view.receive(heartbeat(neighbour("n1")), 0.0)
        self.assertEqual(self._addresses(0.5), ["n1:80"])
        self.assertEqual(self._addresses(2.0), [])
        self.view.receive(heartbeat(neighbour("n1")), 2.0)
        self.assertEqual(len(self._addresses(2.1)), 1)

    def test_a_standby_node_that_ended_is_not_named_for_as_long_as_it_counts_as_alive(self) -> None:
        # It was selected as active after its end: callers were sent to it for 10 s.
        ended = heartbeat(neighbour("n1"))._replace(period=3.0, active=False)
        self.view.receive(ended, 0.0)
        self.assertEqual(self._addresses(3.3), ["n1:80"])
        self.assertEqual(self._addresses(4.5), [])
        self.assertEqual([node.name for node in self.view.alive(4.5)], ["n1"])

    def test_a_node_is_named_until_its_next_heartbeat_is_due(self) -> None:
        # With 300 standby nodes an active one sends to each every 4.5 s; after 4 s a standby node
        # named only itself to callers.
        self.view.receive(heartbeat(neighbour("n1"))._replace(period=4.5), 0.0)
        self.assertEqual(self._addresses(4.6), ["n1:80"])
        self.assertEqual(self._addresses(5.6), [])

    def test_a_leaving_node_is_removed_from_the_addresses_at_once(self) -> None:
        self.view.receive(heartbeat(neighbour("n1")), 0.0)
        self.assertEqual(len(self._addresses(0.01)), 1)
        self.view.receive(heartbeat(neighbour("n1"), leaving=True), 0.02)
        self.assertEqual(self._addresses(0.03), [])
        self.view.update_self(serving=True, load=0.0)
        self.assertEqual(self._addresses(0.04), ["me:80"])
        self.view.update_self(serving=False, load=0.0)
        self.assertEqual(self._addresses(0.05), [])

    def test_a_heartbeat_of_a_former_instance_is_ignored(self) -> None:
        self.view.receive(heartbeat(neighbour("n1", boot=2)), 0.0)
        self.view.receive(heartbeat(neighbour("n1", boot=1), leaving=True), 0.1)
        self.assertEqual(len(self._addresses(0.2)), 1)

    def test_callers_are_sent_to_their_own_data_centre_first(self) -> None:
        self.view.receive(heartbeat(neighbour("n1", "a")), 0.0)
        self.view.receive(heartbeat(neighbour("n2", "b")), 0.0)
        self.assertEqual(self._addresses(0.1, "b"), ["n2:80"])
        self.assertEqual(self._addresses(0.1, "c"), ["n1:80", "n2:80"])

    def test_a_large_host_is_named_also_after_more_hosts_than_a_response_has_room_for(self) -> None:
        # The list was cut to 64 hosts by name before the sample was taken.
        for number in range(80):
            small = neighbour(f"a{number:02}")._replace(capacity=20.0)
            self.view.receive(heartbeat(small)._replace(load=14.0), 0.0)
        large = neighbour("z")._replace(capacity=400.0)
        self.view.receive(heartbeat(large)._replace(load=200.0), 0.0)
        rng = random.Random(1)
        named = sum("z:80" in self.view.addresses("a", 0.1, rng) for _ in range(200))
        self.assertGreater(named, 40)

    def test_the_heartbeat_rate_is_bounded(self) -> None:
        for number in range(200):
            many = heartbeat(neighbour(f"n{number}"))._replace(period=3.0)
            self.view.receive(many, 0.0)
        self.assertEqual(len(self.view.due(0.0)), 200)
        sent = sum(len(self.view.due(tick / 20)) for tick in range(1, 41))
        self.assertLessEqual(sent, 150)

    def _sent_to_silent_nodes(self, began: float, seconds: int) -> int:
        return sum(len(self.view.due(began + tick)) for tick in range(0, seconds, 5))

    def test_a_node_that_is_silent_for_minutes_is_removed(self) -> None:
        self.view.add(neighbour("n1"))
        self.view.receive(heartbeat(neighbour("n2")), 0.0)
        self.assertGreater(self._sent_to_silent_nodes(20.0, 60), 20)
        self.assertEqual(len(self.view.known_nodes(100.0)), 2)
        self._sent_to_silent_nodes(100.0, 900)
        self.assertEqual(self.view.known_nodes(1000.0), [])
        self.assertEqual(self._sent_to_silent_nodes(1000.0, 60), 0)
        self.view.add(neighbour("n1"))
        self.assertTrue(self.view.receive(heartbeat(neighbour("n2")), 1100.0))
        self.assertEqual(len(self.view.due(1100.0)), 2)

    def test_a_process_that_was_paused_for_long_removes_no_node(self) -> None:
        self.view.receive(heartbeat(neighbour("n1")), 0.0)
        self.view.due(0.1)
        self.assertEqual(len(self.view.due(7200.0)), 1)
        self.assertEqual(len(self.view.known_nodes(7200.1)), 1)

    def test_a_node_that_answers_occasionally_is_not_removed(self) -> None:
        for minute in range(60):
            self.view.receive(heartbeat(neighbour("n1")), minute * 60.0)
            self._sent_to_silent_nodes(minute * 60.0, 60)
        self.assertEqual(len(self.view.known_nodes(3600.0)), 1)

    def test_the_first_active_node_is_the_coordinator(self) -> None:
        self.view.update_self(serving=True, load=0.0)
        self.view.receive(heartbeat(neighbour("n1")), 0.0)
        self.assertTrue(self.view.is_coordinator(0.1))
        self.view.receive(heartbeat(neighbour("a1")), 0.2)
        self.assertFalse(self.view.is_coordinator(0.3))
        self.view.update_self(serving=False, load=0.0)
        self.assertFalse(self.view.is_coordinator(9.0))

    def test_a_longer_period_is_announced_at_once(self) -> None:
        self.view.update_self(serving=True, load=0.0)
        self.view.receive(heartbeat(neighbour("n1")), 0.0)
        self.assertEqual(len(self.view.due(0.0)), 1)
        self.assertEqual(self.view.due(0.05), [])
        self.view.update_self(serving=False, load=0.0)
        self.assertEqual(len(self.view.due(0.06)), 1)


class TestActive(unittest.TestCase):
    """Selection of the active hosts, and the view of a standby host."""

    HOSTS: ClassVar = [Candidate(f"small-{n}", 40.0) for n in range(20)]
    LARGE: ClassVar = [Candidate(f"large-{n}", 500.0) for n in range(2)]

    def test_large_hosts_come_first_and_at_least_three_are_active(self) -> None:
        chosen = active_names([*self.HOSTS, *self.LARGE])
        self.assertTrue({"large-0", "large-1"} <= chosen)
        self.assertEqual(len(chosen), 4)
        self.assertEqual(len(active_names(self.HOSTS[:2])), 2)

    def test_more_hosts_become_active_as_the_load_grows(self) -> None:
        loaded = [host._replace(load=10.0) for host in self.HOSTS]
        chosen = active_names(loaded)
        self.assertEqual(len(chosen), 15)
        self.assertTrue(active_names(self.HOSTS) <= chosen)

    @given(st.integers(0, 19))
    @settings(max_examples=20, derandomize=True, deadline=None)
    def test_a_host_that_goes_changes_at_most_one_place(self, gone: int) -> None:
        before = active_names(self.HOSTS)
        after = active_names([host for n, host in enumerate(self.HOSTS) if n != gone])
        self.assertLessEqual(len(before - after), 1)
        self.assertLessEqual(len(after - before), 1)

    def _view(self, names: list[str]) -> Neighbours:
        view = Neighbours(me=neighbour("n0"))
        view.update_self(serving=True, load=0.0)
        for name in names:
            view.receive(heartbeat(neighbour(name))._replace(period=0.25), 0.0)
        return view

    def test_a_standby_host_replaces_a_silent_one(self) -> None:
        names = [f"n{number}" for number in range(1, 9)]
        view = self._view(names)
        chosen = view.active(0.1)
        self.assertEqual(len(chosen), 3)
        silent = min(chosen - {"n0"})
        for name in names:
            if name != silent:
                view.receive(heartbeat(neighbour(name))._replace(period=0.25), 1.2)
        after = view.active(1.5)
        self.assertNotIn(silent, after)
        self.assertEqual(len(after), 3)
        self.assertTrue(chosen - {silent} <= after)

    def test_a_limit_is_divided_among_active_nodes_and_their_replacements(self) -> None:
        view = self._view([f"n{number}" for number in range(1, 9)])
        self.assertEqual(view.sharing(0.1), 6)
        self.assertEqual(self._view(["n1"]).sharing(0.1), 2)
        self.assertEqual(self._view([]).sharing(0.1), 1)

    def test_standby_nodes_use_long_heartbeat_periods(self) -> None:
        view = self._view([f"n{number}" for number in range(1, 30)])
        both = view.period(Relation(near=True, self_active=True, peer_active=True), 0.1)
        none = view.period(Relation(near=True, self_active=False, peer_active=False), 0.1)
        self.assertLess(both, 0.2)
        self.assertGreaterEqual(none, 3.0)

    def test_a_peak_rate_lasts_for_some_seconds(self) -> None:
        rate = PeakRate()
        for _ in range(7):
            rate.add(100.2)
        rate.add(101.5)
        self.assertEqual(rate.value(105.0), 7.0)
        self.assertEqual(rate.value(111.2), 1.0)
        self.assertEqual(rate.value(120.0), 0.0)
