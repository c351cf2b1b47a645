"""On the node's own interface too a request is held back once it has ended three targets.

Each stand-in is a process of its own that ends when a body has one text.  Without holding
back, `_TRIES` sends a request end as many targets, and the next request as many again.
"""

from __future__ import annotations

import itertools
import json
import time

from fielddrift_standins.fetch import Fetched
from fielddrift_standins.fleet import free_port

from .fleets import CUSTOMER, FleetTest

_FATAL = "the text that ends whoever runs it"
_SERVICES = 5
_SECONDS_BACK = 0.4
_ALLOWED = 3
_keys = itertools.count(1)


class OwnInterfaceTest(FleetTest):
    engines = 4

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        for name in ("registro", "posta"):
            for number in range(_SERVICES):
                cls._start(f"{name}-{number}")
                address = cls.fleet.addresses[f"{name}-{number}"]
                once = " not repeatable POST" if name == "posta" else ""
                cls.fleet.say(
                    f"create service {name}-{number} at {address} in catania-a serving {name}{once}"
                )

    @classmethod
    def _start(cls, name: str, port: str = "") -> None:
        cls.fleet.stand_in(name, "service", "--port", port or str(free_port()))
        cls.fleet.faults(name, fatal=_FATAL)

    def _revive(self, name: str) -> int:
        """Start the ended targets of a service again; return how many there were."""
        ended = [
            each
            for each, process in self.fleet.processes.items()
            if each.startswith(f"{name}-") and process.ended
        ]
        for each in ended:
            self._start(each, self.fleet.addresses[each].rpartition(":")[2])
        return len(ended)

    def _insist(self, name: str, body: str, *, keyed: bool, asks: int = 24) -> tuple[int, Fetched]:
        """Ask one node after the other; return the ends beyond the third, and the last answer."""
        ends = 0
        for number in range(asks):
            node = self.fleet.nodes[number % len(self.fleet.nodes)]
            key = f"key-{next(_keys)}" if keyed else ""
            got = self.fleet.call(
                CUSTOMER, "x", body.encode(), key=key, node=node, service=name, timeout=10.0
            )
            time.sleep(_SECONDS_BACK / 4)
            if number % 4 == 3:
                ends += self._revive(name)
        return ends - 3, got

    def _assert_held(self, got: Fetched) -> None:
        problem = json.loads(got.body)
        self.assertEqual(got.status, 503, problem)
        self.assertEqual(problem["type"], "urn:fielddrift:held-back")
        self.assertEqual(problem["ran"], "no")
        self.assertGreater(problem["retry_after"], 1.0)

    def test_a_call_and_others_beside_it(self) -> None:
        late, got = self._insist("registro", _FATAL, keyed=False)
        self.assertLessEqual(late, _ALLOWED)
        self._assert_held(got)
        time.sleep(1.0)
        other = self.fleet.call(CUSTOMER, "x", b"another body", service="registro")
        self.assertEqual(other.status, 200, other.body)
        for node in self.fleet.nodes:
            (row,) = [r for r in self.fleet.rows("show crashes", node=node) if r["targets"]]
            self.assertIn("registro-", row["targets"])
        late_node = self.fleet.node()
        got = self.fleet.call(CUSTOMER, "x", _FATAL.encode(), node=late_node, service="registro")
        self._assert_held(got)
        self.fleet.say(f'lift "{row["request"]}"')
        ended = self._insist("registro", _FATAL, keyed=False, asks=8)[0] + 3
        self.assertGreater(ended, 0, "a request that was let go is sent again")

    def test_a_call_that_may_run_once(self) -> None:
        late, got = self._insist("posta", f"{_FATAL}, once", keyed=True)
        self.assertLessEqual(late, _ALLOWED)
        problem = json.loads(got.body)
        self.assertEqual(problem["type"], "urn:fielddrift:held-back")
        self.assertEqual(problem["ran"], "no")

    def test_a_prompt(self) -> None:
        names = [f"engine-{number}" for number in range(self.engines)]
        for name in names:
            self.fleet.faults(name, fatal=_FATAL)
        for number in range(6):
            node = self.fleet.nodes[number % len(self.fleet.nodes)]
            got = self.fleet.complete(CUSTOMER, f"{_FATAL}, a prompt", node=node)
            time.sleep(0.3)
        self._assert_held(got)
        left = [name for name in names if not self.fleet.processes[name].ended]
        self.assertGreaterEqual(len(left), 1)
        prompt = self.prompt()
        self.assert_right(self.fleet.complete(CUSTOMER, prompt), prompt)
