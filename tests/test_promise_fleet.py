"""Versions, leaving targets, planned stops and configuration, on real processes."""

from __future__ import annotations

import json
import signal
import threading
import time
from typing import Any

from fielddrift_standins.check import expected_text, is_whole, problem, text_of
from fielddrift_standins.fetch import Fetched, fetch, fetch_json
from fielddrift_standins.fleet import NodeProcess, wait_until

from .fleets import CUSTOMER, FleetTest, together

IN_FORCE_SECONDS = 6.0


class Traffic:
    """Ask for completions from several threads until told to stop."""

    def __init__(self, test: FleetTest, nodes: list[NodeProcess], *, threads: int = 4) -> None:
        self._test = test
        self._nodes = nodes
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.answers: list[tuple[float, str, Fetched]] = []
        self._threads = [threading.Thread(target=self._ask, args=(n,)) for n in range(threads)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[tuple[float, str, Fetched]]:
        """Stop; return when each request was sent, its prompt and its answer."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.answers

    def _ask(self, number: int) -> None:
        for turn in range(10_000):
            if self._stop.is_set():
                return
            prompt = f"{number} {turn} " * 300
            node = self._nodes[turn % len(self._nodes)]
            sent = time.monotonic()
            got = self._test.fleet.complete(CUSTOMER, prompt, node=node, stream=True)
            with self._lock:
                self.answers.append((sent, prompt, got))


class VersionTest(FleetTest):
    nodes = 3

    def test_a_swap_under_traffic_with_a_frozen_node(self) -> None:
        fleet = self.fleet
        frozen = fleet.nodes[2]
        fleet.say("prepare model oracolo version v2")
        wait_until(lambda: self._loaded("v2"), "v2 is loaded")
        traffic = Traffic(self, fleet.nodes[:2])
        time.sleep(0.5)
        frozen.signal(signal.SIGSTOP)
        fleet.say("swap model oracolo to version v2", wait=0)
        time.sleep(3.0)
        swapped_at = time.monotonic()
        time.sleep(0.5)
        answers = traffic.stop()
        frozen.signal(signal.SIGCONT)
        woken = [fleet.complete(CUSTOMER, f"sveglia {n}", node=frozen) for n in range(5)]
        versions = {got.headers.get("fielddrift-version") for got in woken}
        self.assertEqual(versions, {"v2"}, "a woken node used the old version")
        for sent, prompt, got in answers:
            self.assertEqual(got.status, 200, got.body)
            version = got.headers["fielddrift-version"]
            self.assertTrue(is_whole(got))
            self.assertEqual(text_of(got), expected_text(fleet, CUSTOMER, prompt, version, 8))
            if sent > swapped_at:
                self.assertEqual(version, "v2")
        wait_until(lambda: not self._loaded("v1"), "the old version is unloaded", 30)

    def _loaded(self, version: str) -> bool:
        states = [
            fetch_json("GET", f"http://{self.fleet.addresses[f'engine-{n}']}/orders")
            for n in range(self.engines)
        ]
        return all(version in state["versions"] for state in states)


class UncheckedTargetTest(FleetTest):
    engines = 1

    def test_an_old_order_at_a_target_that_checks_nothing_is_put_right(self) -> None:
        fleet = self.fleet
        options = ("--model", "oracolo", "--no-checks", "--weights", fleet.addresses["weights"])
        address = fleet.stand_in("unchecked", "engine", *options)
        fleet.say(f"create engine unchecked at {address} in catania-a serving oracolo unchecked")
        url = f"http://{address}/orders"
        wait_until(lambda: fetch_json("GET", url)["versions"] == ["v1"], "v1 is loaded")
        fetch_json("POST", url, {"fence": 0, "versions": ["v0"]})
        wait_until(lambda: fetch_json("GET", url)["wanted"] == ["v1"], "the order is repeated")

    def test_adapters_and_work_are_ordered_and_read_back(self) -> None:
        url = f"http://{self.fleet.addresses['engine-0']}/orders"
        self.fleet.say("set adapters of model oracolo to trades, lineups")
        self.fleet.say("set work of target engine-0 to prefill")
        wait_until(
            lambda: (
                fetch_json("GET", url)["adapters"] == ["lineups", "trades"]
                and fetch_json("GET", url)["work"] == "prefill"
            ),
            "the order holds",
        )
        self.fleet.say("clear adapters of model oracolo")
        wait_until(lambda: fetch_json("GET", url)["adapters"] == [], "unloaded")

    def test_an_old_order_at_a_checking_target_is_refused(self) -> None:
        url = f"http://{self.fleet.addresses['engine-0']}/orders"
        with self.assertRaisesRegex(ConnectionError, "409"):
            fetch_json("POST", url, {"fence": 0, "versions": ["v0"]})


class LeavingTargetTest(FleetTest):
    nodes = 3
    engines = 3

    def _last_work(self, target: str, leave: Any) -> float:
        """Return for how many seconds after `leave` the target still got new work."""
        traffic = Traffic(self, self.fleet.nodes)
        time.sleep(0.5)
        left_at = time.monotonic()
        leave()
        time.sleep(4.0)
        answers = traffic.stop()
        self.assertTrue(all(got.status == 200 for _, _, got in answers))
        late = [s - left_at for s, _, got in answers if got.headers["fielddrift-target"] == target]
        return max([0.0, *late])

    def test_the_host_list_says_it(self) -> None:
        address = self.fleet.addresses["engine-0"]
        last = self._last_work("engine-0", lambda: self.fleet.set_hosts(leaving=(address,)))
        self.assertLess(last, 3.0)

    def test_the_target_says_it_and_nodes_without_a_host_list_hear_it(self) -> None:
        self.fleet.faults("hosts", down=True)
        self.addCleanup(self.fleet.faults, "hosts", down=False)
        last = self._last_work("engine-1", lambda: self.fleet.faults("engine-1", leaving=True))
        self.assertLess(last, 3.0)
        rows = [self.fleet.rows("show targets where leaving", node=n) for n in self.fleet.nodes]
        for shown in rows:
            self.assertIn("engine-1", [row["target"] for row in shown])


class PlannedStopTest(FleetTest):
    nodes = 3
    limits = {"entry_seconds": 1.0}

    def test_every_node_in_turn_cuts_no_request(self) -> None:
        outcomes: list[tuple[str, Fetched, str]] = []
        ended_early: list[str] = []
        stop = threading.Event()

        def caller(number: int) -> None:
            try:
                call(number)
            except Exception as error:
                ended_early.append(f"caller {number}: {error!r}")

        def call(number: int) -> None:
            addresses: list[str] = []
            until = 0.0
            for turn in range(10_000):
                if stop.is_set():
                    return
                if time.monotonic() >= until:
                    addresses, keep = self._entry(addresses)
                    until = time.monotonic() + keep
                outcomes.append(self._ask(addresses[0], number, turn))

        threads = [threading.Thread(target=caller, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        codes = []
        for number in range(self.nodes):
            time.sleep(0.7)
            node = self.fleet.nodes[number]
            codes.append(node.stop())
            self.fleet.restart_node(node)
            wait_until(lambda: len(self._entry([])[0]) == self.nodes, "all are back")
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(ended_early, [])
        self.assertEqual(codes, [0, 0, 0])
        bad = [(what, got.status, got.body[:200]) for what, got, _ in outcomes if got.status != 200]
        self.assertEqual(bad, [])
        streams = [got for what, got, _ in outcomes if what == "stream"]
        self.assertTrue(all(is_whole(got) for got in streams))
        for what, _, key in outcomes:
            if what == "call":
                self.assertEqual(self.ran(key), 1)

    def _entry(self, known: list[str]) -> tuple[list[str], float]:
        for address in [*known, *(node.http for node in self.fleet.nodes)]:
            got = fetch("GET", f"http://{address}/v1/entry", timeout=2)
            if got.status == 200:
                # Asked once: the node may stop before it could answer again.
                answer = json.loads(got.body)
                return list(answer["addresses"]), float(answer["keep_seconds"])
        raise ConnectionError("no node answers")

    def _ask(self, address: str, number: int, turn: int) -> tuple[str, Fetched, str]:
        node = next(n for n in self.fleet.nodes if n.http == address)
        if turn % 3 == 0:
            key = f"stop-{number}-{turn}"
            return "call", self.fleet.call(CUSTOMER, "transfers", b"{}", key=key, node=node), key
        # Some streams are longer than the entry answer is kept.
        tokens = 250 if turn % 3 == 1 else 30
        got = self.fleet.complete(
            CUSTOMER, f"{number} {turn}", node=node, stream=True, max_tokens=tokens
        )
        return "stream", got, ""


class ConfigurationTest(FleetTest):
    nodes = 3

    def test_changes_are_in_force_everywhere_within_seconds(self) -> None:
        taken = []
        for number in range(12):
            done = self.fleet.say(
                f"create customer distr-{number}", node=self.fleet.nodes[number % 3]
            )
            self.assertTrue(done["in_force"], done)
            taken.append(done["seconds"])
        self.assertLess(max(taken), IN_FORCE_SECONDS)

    def test_of_two_operators_at_once_one_is_told_what_came_first(self) -> None:
        for number in range(5):
            name = f"gara-{number}"
            self.fleet.say(f"create customer {name}")
            since = self._revision()

            def ask(text: str, node: NodeProcess, since: int = since, name: str = name) -> Any:
                try:
                    return self.fleet.say(text.format(name), node=node, wait=0, since=since)
                except ConnectionError as error:
                    return str(error)

            outcomes = together(
                [
                    lambda: ask("set hold for customer {} seconds 60", self.fleet.nodes[0]),
                    lambda: ask("drop customer {}", self.fleet.nodes[1]),
                ]
            )
            refused = [o for o in outcomes if isinstance(o, str)]
            self.assertEqual(len(refused), 1, outcomes)
            self.assertIn("came first", refused[0])

    def _revision(self) -> int:
        return max(row["revision"] for row in self.fleet.rows("show nodes"))

    def test_a_lost_commit_answer_makes_one_change(self) -> None:
        before = self._revision()
        self.fleet.faults("table", lose_answers=1)
        done = self.fleet.say("create customer persa")
        self.assertEqual(done["accepted"], before + 1)
        wait_until(lambda: self._revision() == before + 1, "one change")

    def test_a_frozen_node_catches_up_before_it_serves(self) -> None:
        frozen = self.fleet.nodes[1]
        frozen.signal(signal.SIGSTOP)
        self.fleet.say("create customer nuova", wait=0)
        old = self.fleet.keys[CUSTOMER]
        time.sleep(2.5)
        self.fleet.say(f"rotate key of customer {CUSTOMER}", wait=0)
        frozen.signal(signal.SIGCONT)
        headers = {"Authorization": f"Bearer {old}"}
        got = self.fleet.complete(CUSTOMER, "vecchia", node=frozen, headers=headers)
        self.assertEqual(got.status, 401, "a woken node took a revoked key")
        self.assertEqual(self.fleet.complete("nuova", "ciao", node=frozen).status, 200)

    def test_no_node_is_seen_to_go_back(self) -> None:
        seen: dict[str, int] = {}
        for number in range(10):
            self.fleet.say(f"create customer avanti-{number}", wait=0)
            for row in self.fleet.rows("show nodes", node=self.fleet.nodes[number % 3]):
                self.assertGreaterEqual(row["revision"], seen.get(row["node"], 0))
                seen[row["node"]] = row["revision"]


class CutOffTest(FleetTest):
    """A node that is cut from the table but not from its peers, and the reverse."""

    def _in_force(self, node: NodeProcess, customer: str) -> None:
        wait_until(lambda: self.fleet.complete(customer, "ciao", node=node).status == 200, customer)

    def test_cut_from_the_table_it_hears_changes_from_peers(self) -> None:
        addresses = self.fleet.addresses
        nowhere = {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "hosts": addresses["hosts"]}
        cut = self.fleet.node(settings={"platform": nowhere})
        began = time.monotonic()
        done = self.fleet.say("create customer dal-vicino")
        self.assertTrue(done["in_force"], done)
        self._in_force(cut, "dal-vicino")
        self.assertLess(time.monotonic() - began, IN_FORCE_SECONDS)
        refused = self.fleet.call(CUSTOMER, "t", b"{}", key="tagliato", node=cut)
        self.assertEqual(refused.status, 503)
        self.assertEqual(self.ran("tagliato"), 0)

    def test_cut_from_its_peers_it_reads_changes_from_the_table(self) -> None:
        keys = {"operators": {"demo": "0" * 64}, "peer": "another-key-altogether"}
        cut = self.fleet.node(settings={"keys": keys})
        began = time.monotonic()
        done = self.fleet.say("create customer dalla-tavola", wait=1.0)
        self.assertIn("accepted", done)
        self._in_force(cut, "dalla-tavola")
        self.assertLess(time.monotonic() - began, IN_FORCE_SECONDS)


class OutageTest(FleetTest):
    nodes = 3

    def test_a_node_started_in_an_outage_takes_the_configuration_from_a_peer(self) -> None:
        self.fleet.faults("table", down=True)
        self.addCleanup(self.fleet.faults, "table", down=False)
        fresh = self.fleet.node(data_centre="messina-b")
        got = self.fleet.complete(CUSTOMER, "appena nato", node=fresh)
        self.assertEqual(got.status, 200, got.body)

    def test_serving_goes_on_without_the_platform(self) -> None:
        for name in ("table", "hosts"):
            self.fleet.faults(name, down=True)
            self.addCleanup(self.fleet.faults, name, down=False)
        traffic = Traffic(self, self.fleet.nodes[:3])
        time.sleep(6.0)
        answers = traffic.stop()
        self.assertGreater(len(answers), 20)
        self.assertEqual({got.status for _, _, got in answers}, {200})
        refused = self.fleet.call(
            CUSTOMER, "transfers", b"{}", key="buio", headers={"Fielddrift-Attempt": "1"}
        )
        self.assertEqual((refused.status, problem(refused)["ran"]), (503, "no"))
        self.assertEqual(self.ran("buio"), 0)

    def test_a_change_in_an_outage_is_refused_as_unknown_and_can_be_asked_again(self) -> None:
        self.fleet.faults("table", down=True)
        try:
            with self.assertRaisesRegex(ConnectionError, "platform-down"):
                self.fleet.say("create customer dopo", change_id="una-volta")
        finally:
            self.fleet.faults("table", down=False)
        wait_until(
            lambda: self.fleet.say("create customer dopo", change_id="una-volta"), "accepted"
        )
        names = [row["customer"] for row in self.fleet.rows("show customers")]
        self.assertEqual(names.count("dopo"), 1)


class LastNodeTest(FleetTest):
    nodes = 3

    def test_one_node_left_serves_alone(self) -> None:
        for node in self.fleet.nodes[1:]:
            node.kill()
        prompt = self.prompt(2)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)
        got = self.fleet.call(CUSTOMER, "transfers", b"{}", key="solo")
        self.assertEqual(got.status, 200)
        wait_until(
            lambda: len(fetch_json("GET", self.fleet.nodes[0].url("/v1/entry"))["addresses"]) == 1,
            "the dead are off the entry answer",
        )
        wait_until(
            lambda: len({row["holder"] for row in self.fleet.rows("show duties")}) == 1,
            "the last node does all duties",
            40,
        )
