"""Traffic between data centres, and reads from the platform, for any number of nodes.

Load: five data centres with up to 400 nodes.  Without relays, each active node sent its state
to each active node of the other data centres three times per second, and each data centre read
from the platform itself.  On a day of 19 nodes that cost 18 MB and 908 calls, a fifth
of the value of the answers; with relays it is 7 MB and 271 calls (one run of the same day each).
"""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable
from typing import ClassVar

from fielddrift_core.loading_engines import LoadingEngines
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_core.readers import (
    ReadState,
    read_interval_seconds,
    remote_source,
    source,
    stale_seconds,
)
from fielddrift_core.relays import Contact, DataCentreSize, RemoteNode, contacts
from fielddrift_core.workload import Burden, Workload
from fielddrift_node.serving.heartbeats import HeartbeatTranslator
from fielddrift_node.serving.views import Views
from hypothesis import given, settings
from hypothesis import strategies as st

from .virtual_time import VirtualLoop

_STEP = 0.05
_BOUND = 2.0
_CENTRES = 5


class Sent:
    """Counts of heartbeats between data centres, and of reads from the platform by node."""

    def __init__(self) -> None:
        self.far = 0
        self.readers: Counter[str] = Counter()


class Node:
    """A node's view of the others, and the time of its last read."""

    def __init__(self, name: str, centre: str) -> None:
        self.me = Neighbour(name, 1, centre, f"{name}:1", f"{name}:2", f"{name}:3", 40.0)
        self.neighbours = Neighbours(me=self.me)
        self.neighbours.update_self(serving=True, load=1.0)
        self.read_at = float("-inf")
        self.next_read = 0.0

    def source(self, now: float) -> str:
        """Return the node from which this node copies, empty for the platform."""
        view = self.neighbours
        near = view.read_states(now)
        active = view.active(now)
        found = source(self.me.name, "platform", near, active=active, bound=_BOUND).name
        if found or now - self.read_at > stale_seconds(_BOUND):
            return found
        return remote_source(self.me.name, view.remote_read_states(now), bound=_BOUND).name

    def read(self, now: float, sent: Sent) -> None:
        """Copy the rows from the source of this node, or read them from the platform."""
        found = self.source(now)
        if found:
            remote = self.neighbours.remote_read_states(now).get(found)
            if remote is not None:
                self.read_at = max(self.read_at, now - remote.age)
        elif now >= self.next_read:
            self.read_at, self.next_read = now, now + read_interval_seconds(_BOUND)
            sent.readers[self.me.name] += 1

    def heartbeat(self, node: Neighbour, now: float) -> Heartbeat:
        """Return the heartbeat of this node to `node`."""
        view = self.neighbours
        period = view.period(view.relation(node, now), now)
        return Heartbeat(
            self.me, True, False, 1, {}, {},
            reading=ReadState(age=now - self.read_at),
            period=period,
            active=view.is_active(now),
        )  # fmt: skip


class Network:
    """Nodes in several data centres, with heartbeats delivered at once."""

    def __init__(self, size: int) -> None:
        names = [(f"n{number:03}", f"dc{number % _CENTRES}") for number in range(size)]
        self.nodes = {name: Node(name, centre) for name, centre in names}
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.neighbours.add(other.me)
        self.ended: set[str] = set()
        self.now = 0.0

    def run(self, seconds: float, watch: Callable[[], None] = lambda: None) -> Sent:
        """Send heartbeats for some time."""
        sent, until = Sent(), self.now + seconds
        while self.now < until:
            for name, node in self.nodes.items():
                if name not in self.ended:
                    node.neighbours.update_self(serving=True, load=1.0)
                    node.read(self.now, sent)
                    for other in node.neighbours.due(self.now):
                        self._deliver(node, other, sent)
            watch()
            self.now += _STEP
        return sent

    def _deliver(self, node: Node, other: Neighbour, sent: Sent) -> None:
        if other.name in self.ended:
            return
        heartbeat = node.heartbeat(other, self.now)
        receiver = self.nodes[other.name].neighbours
        receiver.receive(heartbeat, self.now)
        if other.data_centre != node.me.data_centre:
            sent.far += 1
            for near in receiver.nearby(self.now):
                if near.name not in self.ended:
                    self.nodes[near.name].neighbours.receive(heartbeat, self.now)

    def oldest(self) -> float:
        """Return the age of the rows of the stalest source in use."""
        ages = []
        for name, node in self.nodes.items():
            if name not in self.ended:
                near = node.neighbours.read_states(self.now)
                active = node.neighbours.active(self.now)
                found = source(name, "platform", near, active=active, bound=_BOUND).name
                at = self.nodes[found].read_at if found else node.read_at
                ages.append(self.now - at)
        return max(ages)


class TestSizes(unittest.TestCase):
    def test_remote_heartbeats_and_reads_do_not_grow_with_the_number_of_nodes(self) -> None:
        found = {}
        for size in (20, 100):
            network = Network(size)
            network.run(4.0)
            sent = network.run(2.0)
            found[size] = (sent.far, sum(sent.readers.values()), len(sent.readers))
        # Each of the twenty ordered pairs of data centres has 3.3 to 4 heartbeats per second
        # between the primary relays, and three less frequent ones.  Heartbeats between all
        # active nodes would be 1066 per second with 20 nodes.
        for size, (far, readings, readers) in found.items():
            with self.subTest(size=size):
                self.assertLessEqual(far / 2.0, 20 * 10)
                self.assertEqual(readers, 1)
                self.assertLessEqual(readings / 2.0, 1.2 / read_interval_seconds(_BOUND))

    def test_another_node_replaces_a_failed_reader_within_half_of_the_bound(self) -> None:
        network = Network(20)
        network.run(3.0)
        sent = network.run(1.0)
        (reader,) = sent.readers
        network.ended.add(reader)
        ages: list[float] = []
        network.run(4.0, watch=lambda: ages.append(network.oldest()))
        self.assertLessEqual(max(ages), _BOUND / 2 + 2 * _STEP)
        self.assertEqual(len(network.run(2.0).readers), 1)

    def test_a_partitioned_data_centre_reads_for_itself(self) -> None:
        network = Network(20)
        network.run(3.0)
        network.ended = {n for n, node in network.nodes.items() if node.me.data_centre != "dc1"}
        ages: list[float] = []
        sent = network.run(4.0, watch=lambda: ages.append(network.oldest()))
        self.assertLessEqual(max(ages), _BOUND / 2 + 2 * _STEP)
        self.assertLessEqual(len(sent.readers), 2)

    def test_a_limit_is_divided_among_all_data_centres(self) -> None:
        network = Network(60)
        network.run(3.0)
        node = network.nodes["n000"].neighbours
        active = len(node.active(network.now))
        for centre in ("dc1", "dc2", "dc3", "dc4"):
            node.set_size(centre, DataCentreSize(active=4, alive=12))
        self.assertEqual(node.sharing(network.now), 2 * (active + 16))


class TestContacts(unittest.TestCase):
    HEARD: ClassVar = {"b": [RemoteNode("b1", 10.0, True), RemoteNode("b2", 900.0, True)]}

    def test_primary_relays_send_often_and_standby_relays_infrequently(self) -> None:
        self.assertEqual(contacts(0, self.HEARD), [Contact("b2", False), Contact("b1", True)])
        self.assertEqual(contacts(1, self.HEARD), [Contact("b2", True), Contact("b1", True)])

    def test_known_nodes_of_a_data_centre_without_live_ones_are_probed_in_turn(self) -> None:
        silent = [RemoteNode(f"b{n}", 1.0, False, unanswered=n % 2) for n in range(9)]
        found = contacts(0, {"b": silent})
        self.assertEqual([contact.name for contact in found], ["b0", "b2", "b4"])


class TestRemoteSource(unittest.TestCase):
    @given(st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 3), min_size=2))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_no_two_readers_rely_on_each_other(self, ages: dict[str, float]) -> None:
        relies = {}
        for me in ages:
            others = {name: ReadState(age=age) for name, age in ages.items() if name != me}
            relies[me] = remote_source(me, others, bound=_BOUND).name
        for name, other in relies.items():
            if other:
                self.assertNotEqual(relies[other], name)
        self.assertIn("", relies.values())

    def test_a_stale_reader_is_not_used_and_a_failing_node_uses_any_fresh_one(
        self,
    ) -> None:
        old = {"a": ReadState(age=1.0), "b": ReadState(age=1.1)}
        self.assertEqual(remote_source("me", old, bound=_BOUND).name, "")
        self.assertEqual(remote_source("me", old, bound=2 * _BOUND, failing=True).name, "a")


class TestRemoteHeartbeats(unittest.TestCase):
    """Relays send the sums of their data centre, and those of both relays count once."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)

    def _translator(self, name: str, centre: str) -> tuple[Views, Neighbours, HeartbeatTranslator]:
        me = Neighbour(name, 1, centre, f"{name}:1", f"{name}:2", f"{name}:3")
        views, neighbours = Views(), Neighbours(me=me)
        neighbours.update_self(serving=True, load=0.0)
        return views, neighbours, HeartbeatTranslator(views=views, neighbours=neighbours)

    async def _exchange(self) -> None:
        now = self.loop.time()
        views, _, far = self._translator("far", "b")
        for number in (1, 2):
            own, neighbours, near = self._translator(f"n{number}", "a")
            other = Neighbour(f"n{3 - number}", 1, "a", "x:1", "x:2", "x:3")
            neighbours.receive(Heartbeat(other, True, False, 1, {}, {}), now)
            neighbours.receive(Heartbeat(far._neighbours.me, True, False, 1, {}, {}), now)
            own.workload.begin("e", f"r{number}", 10, 100)
            own.workload.update_node(other.name, {"e": Burden(1, 10, 100)}, now)
            own.loading.record_reported("engine", now + 1.0)
            own.loading.record_reported("other", now + 1.0, remote=True)
            standing = neighbours.relation(far._neighbours.me, now)
            heartbeat = near.heartbeat(standing, leaving=False)
            self.assertEqual(set(heartbeat.loading), {"engine"})
            far._neighbours.receive(heartbeat._replace(ready=True), now)
            far.heard(heartbeat)
            self.assertEqual(views.workload.burden_of("e", now), Burden(2, 20, 200))
        self.assertEqual(far._neighbours.sharing(now), 3)
        self.assertGreater(views.loading.seconds("engine", now), 0.9)

    def test_relays_send_the_sums_of_their_data_centre(self) -> None:
        self.loop.run_until_complete(self._exchange())

    def test_state_of_other_data_centres_is_not_forwarded_to_others(self) -> None:
        loading = LoadingEngines()
        loading.record_reported("engine", 5.0, remote=True)
        self.assertEqual(loading.in_data_centre(1.0), {})
        self.assertEqual(loading.seconds("engine", 1.0), 4.0)

    def test_the_sums_of_a_data_centre_include_only_its_own_nodes(self) -> None:
        workload = Workload()
        workload.begin("e", "r", 0, 5)
        workload.update_node("near", {"e": Burden(1, 0, 7)}, 0.0)
        workload.update_node("b", {"e": Burden(9, 0, 90)}, 0.0)
        self.assertEqual(workload.total(["near", "gone"], 0.1), {"e": Burden(2, 0, 12)})


if __name__ == "__main__":
    unittest.main()
