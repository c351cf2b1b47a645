"""No answer from a freed, partly written or foreign block; no other customer's data."""

from __future__ import annotations

import json
import time
import unittest

from fielddrift_core.model import Configuration, HoldRule, StoreHost
from fielddrift_node.duties import DELETE_DELAY_SECONDS, ORPHAN_PART_SECONDS, StoreReconciler
from fielddrift_node.metrics import Metrics
from fielddrift_standins.check import expected_text, problem, text_of
from fielddrift_standins.fetch import Fetched, fetch, fetch_json
from fielddrift_standins.fleet import wait_until

from .fleets import CUSTOMER, FleetTest, together

STORES = ("archivio-rose", "archivio-storico")


class BlocksTest(FleetTest):
    def _set(self, **values: object) -> None:
        for store in STORES:
            self.fleet.faults(store, **values)

    def _parts(self) -> list[tuple[str, str]]:
        return [
            (store, part)
            for store in STORES
            for part in fetch_json("GET", f"http://{self.fleet.addresses[store]}/parts")["parts"]
        ]

    def test_a_truncated_part_is_recomputed(self) -> None:
        prompt = self.prompt()
        self.keep(prompt)
        self._set(truncate=100)
        self.addCleanup(self._set, truncate=0)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)

    def test_an_altered_part_is_recomputed(self) -> None:
        prompt = self.prompt()
        self.keep(prompt)
        self._set(alter=100)
        self.addCleanup(self._set, alter=0)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)

    def test_without_the_digests_an_altered_part_shows_in_the_answer(self) -> None:
        prompt = self.prompt()
        self.keep(prompt)
        self._set(alter=100)
        self.addCleanup(self._set, alter=0)
        for number in range(self.engines):
            self.fleet.faults(f"engine-{number}", trusting=True)
            self.addCleanup(self.fleet.faults, f"engine-{number}", trusting=False)
        # A look-up that takes over 0.1 s is left, and the prompt computed: that proves nothing.
        got = wait_until(lambda: self._imported(prompt), "the prompt is imported")
        self.assertNotEqual(text_of(got), expected_text(self.fleet, CUSTOMER, prompt, "v1", 8))

    def _imported(self, prompt: str) -> Fetched | None:
        """Ask for `prompt`; return the answer if blocks were imported for it."""
        before = self._blocks_imported()
        got = self.fleet.complete(CUSTOMER, prompt)
        self.clear_engines()
        return got if self._blocks_imported() > before else None

    def _blocks_imported(self) -> float:
        return sum(self.counter("blocks.imported", node) for node in self.fleet.nodes)

    def test_parts_freed_after_they_were_found_are_recomputed(self) -> None:
        prompt = self.prompt()
        self.keep(prompt)
        for store, part in self._parts():
            fetch_json("DELETE", f"http://{self.fleet.addresses[store]}/parts/{part}")
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)

    def test_parts_without_a_manifest_are_never_used(self) -> None:
        """A node killed between parts and manifest leaves just this behind."""
        prompt = self.prompt()
        self.keep(prompt)
        for row in self.fleet.rows("show held"):
            self.assertGreater(row["blocks"], 0)
        for store in STORES:
            address = self.fleet.addresses[store]
            for path, attempt, *_ in fetch_json("GET", f"http://{address}/held")["held"]:
                fetch("DELETE", f"http://{address}/manifests/{path}?attempt={attempt}")
        self.assertTrue(self._parts())
        before = sum(self.counter("blocks.imported", node) for node in self.fleet.nodes)
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)
        after = sum(self.counter("blocks.imported", node) for node in self.fleet.nodes)
        self.assertEqual(before, after)

    def test_two_exporters_of_one_prefix_keep_one_whole_manifest(self) -> None:
        prompt = self.prompt()
        asks = [
            lambda node=node: self.fleet.complete(CUSTOMER, prompt, node=node)
            for node in self.fleet.nodes * 3
        ]
        for got in together(asks):
            self.assert_right(got, prompt)
        time.sleep(1.0)
        self.clear_engines()
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)

    def test_a_full_store_host_costs_no_answer(self) -> None:
        self._set(full=True)
        self.addCleanup(self._set, full=False)
        prompt = self.prompt()
        for _ in range(2):
            self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)
            self.clear_engines()

    def test_a_store_host_that_does_not_answer_is_not_waited_for(self) -> None:
        prompt = self.prompt()
        self.keep(prompt)
        self._set(slow=5.0)
        self.addCleanup(self._set, slow=0)
        got = self.fleet.complete(CUSTOMER, prompt, headers={"Fielddrift-Deadline": "3"})
        self.assert_right(got, prompt)


class CustomersTest(FleetTest):
    def test_the_same_text_of_two_customers_shares_nothing(self) -> None:
        self.fleet.say("create customer lega-iblea")
        prompt = self.prompt()
        self.keep(prompt)
        before = self.counter("blocks.imported")
        got = self.fleet.complete("lega-iblea", prompt)
        self.assert_right(got, prompt, customer="lega-iblea")
        self.assertNotEqual(text_of(got), expected_text(self.fleet, CUSTOMER, prompt, "v1", 8))
        self.assertEqual(self.counter("blocks.imported"), before)

    def test_forged_and_revoked_keys_get_nothing(self) -> None:
        self.fleet.say("create customer lega-breve")
        old = self.fleet.keys["lega-breve"]
        self.fleet.say("rotate key of customer lega-breve")
        for key in (old, "forged", ""):
            headers = {"Authorization": f"Bearer {key}"}
            got = self.fleet.complete(CUSTOMER, "x", headers=headers, node=self.fleet.nodes[1])
            self.assertEqual(got.status, 401)
            self.assertEqual(problem(got)["ran"], "no")
        got = self.fleet.complete("lega-breve", "y" * 10)
        self.assert_right(got, "y" * 10, customer="lega-breve")

    def test_a_request_of_another_customer_is_unknown(self) -> None:
        self.fleet.say("create customer lega-altra")
        mine = self.fleet.complete(CUSTOMER, self.prompt(1)).headers["fielddrift-request"]
        for customer, state in ((CUSTOMER, "ran"), ("lega-altra", "unknown")):
            for node in self.fleet.nodes:
                bearer = f"Bearer {self.fleet.keys[customer]}"
                url = node.url(f"/v1/requests/{mine}")
                self.assertEqual(
                    fetch_json("GET", url, Authorization=bearer)["state"], state, node.http
                )

    def test_another_customers_claim_on_the_same_key_is_its_own(self) -> None:
        self.fleet.say("create customer lega-terza")
        first = self.fleet.call(CUSTOMER, "transfers", b"mine", key="same")
        second = self.fleet.call("lega-terza", "transfers", b"theirs", key="same")
        self.assertEqual(json.loads(first.body)["body"], "mine")
        self.assertEqual(json.loads(second.body)["body"], "theirs")
        self.assertEqual(self.ran("same"), 2)


class _FakeClient:
    """A store host in memory, as the reconciler sees it."""

    def __init__(self) -> None:
        self.manifests: dict[str, str] = {}
        self.stored: list[str] = []

    def held(self) -> list[object]:
        from fielddrift_core.holding import StoredPrefix

        return [StoredPrefix(p, a, "c", 1, 100, 9e9, "memory") for p, a in self.manifests.items()]

    def remove(self, path: str, attempt: str) -> bool:
        if self.manifests.get(path) != attempt:
            return False
        del self.manifests[path]
        return True

    def parts(self) -> list[str]:
        return list(self.stored)

    def delete_part(self, part: str) -> None:
        if part in self.stored:
            self.stored.remove(part)

    def set_tier(self, path: str, tier: str) -> None:
        pass


class _FakeStores:
    def __init__(self, client: _FakeClient) -> None:
        self._client = client

    def client(self, store: StoreHost) -> _FakeClient:
        return self._client


class StoreReconcilerTest(unittest.TestCase):
    STORE = StoreHost("s", "127.0.0.1:1", "dc", 1000, 1000, 1e6)

    def setUp(self) -> None:
        self.client = _FakeClient()
        self.configuration = Configuration(holds={"c": HoldRule("c", 60.0)})

    def _reconciler(self) -> StoreReconciler:
        stores = _FakeStores(self.client)
        return StoreReconciler(stores=stores, metrics=Metrics(address=""))  # type: ignore[arg-type]

    def _reconcile(self, reconciler: StoreReconciler, now: float) -> None:
        reconciler.reconcile(self.STORE, self.configuration, 0.0, now)

    def test_the_manifest_goes_first_and_the_parts_after_the_readers_grace(self) -> None:
        self.client.manifests["p"] = "a1"
        self.client.stored = ["a1/0"]
        reconciler = self._reconciler()
        self._reconcile(reconciler, 0.0)
        self.assertEqual((self.client.manifests, self.client.stored), ({}, ["a1/0"]))
        self._reconcile(reconciler, DELETE_DELAY_SECONDS - 0.1)
        self.assertEqual(self.client.stored, ["a1/0"])
        self._reconcile(reconciler, DELETE_DELAY_SECONDS)
        self.assertEqual(self.client.stored, [])

    def test_a_woken_evictor_harms_no_prefix_written_since(self) -> None:
        """The first reconciler freezes after taking the manifest away; the prefix is kept anew."""
        self.client.manifests["p"] = "a1"
        self.client.stored = ["a1/0"]
        frozen = self._reconciler()
        self._reconcile(frozen, 0.0)
        self.configuration = Configuration(holds={"c": HoldRule("c", 1e12)})
        self.client.manifests["p"] = "a2"
        self.client.stored.append("a2/0")
        self._reconcile(frozen, 1000.0)
        self.assertEqual((self.client.manifests, self.client.stored), ({"p": "a2"}, ["a2/0"]))

    def test_parts_without_a_manifest_are_swept_but_not_at_once(self) -> None:
        self.client.stored = ["a1/0"]
        reconciler = self._reconciler()
        self._reconcile(reconciler, 0.0)
        self._reconcile(reconciler, ORPHAN_PART_SECONDS - 1)
        self.assertEqual(self.client.stored, ["a1/0"])
        self._reconcile(reconciler, ORPHAN_PART_SECONDS)
        self.assertEqual(self.client.stored, [])
