"""A fleet per test class, started once."""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any, ClassVar

from fielddrift_standins.check import expected_text, text_of
from fielddrift_standins.demo import small_fleet
from fielddrift_standins.fetch import Fetched, fetch_json
from fielddrift_standins.fleet import Fleet, NodeProcess, wait_until

CUSTOMER = "lega-etna"
_numbers = itertools.count(1)


class FleetTest(unittest.TestCase):
    """Start the small fleet before the class's tests, end it after them."""

    nodes: ClassVar[int] = 2
    engines: ClassVar[int] = 2
    limits: ClassVar[dict[str, float]] = {}
    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(limits=cls.limits)
        cls.addClassCleanup(cls.fleet.stop)
        small_fleet(cls.fleet, nodes=cls.nodes, engines=cls.engines)

    def prompt(self, blocks: int = 6) -> str:
        """Return a prompt that no test has used."""
        line = f"prova {next(_numbers)} di {self.id()}\n"
        return (line * (blocks * 1024 // len(line) + 1))[: blocks * 1024 + 40]

    def assert_right(
        self, got: Fetched, prompt: str, *, version: str = "v1", customer: str = CUSTOMER
    ) -> None:
        """Check that an answer equals that of a fresh run."""
        self.assertEqual(got.status, 200, got.body)
        expected = expected_text(self.fleet, customer, prompt, version, 8)
        self.assertEqual(text_of(got), expected)

    def keep(self, prompt: str, *, customer: str = CUSTOMER) -> None:
        """Have a prompt answered and kept, and forgotten by the engines.

        A store host that another test has slowed may still be resting; then
        the prefix is kept at a later answer.
        """
        before = len(self.fleet.rows("show held"))

        def kept() -> bool:
            self.assert_right(self.fleet.complete(customer, prompt), prompt, customer=customer)
            time.sleep(0.3)
            return len(self.fleet.rows("show held")) > before

        wait_until(kept, "the prefix is kept")
        self.clear_engines()

    def clear_engines(self) -> None:
        """Let the engines' memory go to other prompts."""
        for number in range(self.engines):
            fetch_json("POST", f"http://{self.fleet.addresses[f'engine-{number}']}/kv/clear", {})

    def counter(self, name: str, node: NodeProcess | None = None) -> float:
        """Return a counter of a node."""
        rows = self.fleet.rows("show counters", node=node)
        return float(next((r["value"] for r in rows if r["counter"] == name), 0))

    def ran(self, key: str) -> int:
        """Return how often a key ran on the plain service."""
        return sum(entry["key"] == key for entry in self.fleet.journal("mercato"))


def together(calls: list[Callable[[], Any]]) -> list[Any]:
    """Make all calls at the same moment; return their results in order."""
    results: list[Any] = [None] * len(calls)
    barrier = threading.Barrier(len(calls))

    def one(number: int) -> None:
        barrier.wait()
        results[number] = calls[number]()

    threads = [threading.Thread(target=one, args=(n,)) for n in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
