"""At most once: claims under crashes, pauses, lost and late writes, and races."""

from __future__ import annotations

import random
import threading
import unittest
from typing import Any
from unittest import mock

from fielddrift_core import claims as core
from fielddrift_core.claims import (
    AskClaimant,
    AttemptRegistry,
    AttemptStatus,
    ClaimOutcome,
    ClaimRow,
    ClaimState,
    InsertClaim,
    StoredClaim,
    TakeOverClaim,
    claim_steps,
    decide,
)
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.claims import Claim, ClaimManager
from fielddrift_node.metrics import Metrics

from .fakes import FakeTable
from .machines import Walk, explore


class _Node:
    """One incarnation of a node, and the attempts that it is driving."""

    def __init__(self, number: int, boot: int) -> None:
        self.name = f"node-{number}-{boot}"
        self.registry = AttemptRegistry()
        self.driving: list[list[Any]] = []
        self.held: list[ClaimRow] = []


class ClaimWalk(Walk):
    """Three nodes claim one key; any step may be lost, late, or the node's last."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.boots = 0
        self.attempts = 0
        self.nodes = [self._boot(n) for n in range(3)]
        self.row: StoredClaim | None = None
        self.late: list[Any] = []
        self.journal: list[str] = []
        for node in self.nodes:
            self._request(node)

    def moves(self) -> list[Any]:
        quick = [self.step] * 8 + [self.send] * 3
        return [*quick, self.request, self.crash, self.send_and_crash, self.late_write_lands]

    def check(self) -> None:
        assert len(self.journal) <= 1, f"ran twice: {self.journal}"

    # --- moves ---

    def request(self) -> None:
        self._request(self.rng.choice(self.nodes))

    def step(self) -> None:
        node = self.rng.choice(self.nodes)
        if not node.driving:
            return
        entry = self.rng.choice(node.driving)
        fate = self.rng.choice(["ok", "ok", "ok", "lost", "late", "never"])
        try:
            entry[1] = entry[0].send(self._event(entry[1], fate))
        except StopIteration as ended:
            node.driving.remove(entry)
            self._ended(node, entry[2], ended.value)

    def send(self) -> None:
        node = self.rng.choice(self.nodes)
        if not node.held:
            return
        row = node.held.pop()
        if not node.registry.begin_send(row.attempt):
            return
        state = self.rng.choice([ClaimState.RAN, ClaimState.NOT_RUN])
        if state is ClaimState.RAN:
            self.journal.append(row.attempt)
        if self.row is not None and self.row.row.attempt == row.attempt:
            self.row = StoredClaim(row._replace(state=state, body=""), self.row.version + 1)

    def send_and_crash(self) -> None:
        node = self.rng.choice(self.nodes)
        if node.held and node.registry.begin_send(node.held[-1].attempt):
            self.journal.append(node.held[-1].attempt)
            self._crash(node)

    def crash(self) -> None:
        self._crash(self.rng.choice(self.nodes))

    def late_write_lands(self) -> None:
        if self.late:
            self._write(self.late.pop(0))

    # --- the table, and what a node does ---

    def _boot(self, number: int) -> _Node:
        self.boots += 1
        return _Node(number, self.boots)

    def _crash(self, node: _Node) -> None:
        number = self.nodes.index(node)
        self.nodes[number] = self._boot(number)

    def _request(self, node: _Node) -> None:
        self.attempts += 1
        row = ClaimRow("c", "k", node.name, node.name, f"a{self.attempts}", "digest")
        steps = claim_steps(row, node.registry)
        node.driving.append([steps, next(steps), row])

    def _write(self, step: Any) -> None:
        absent = isinstance(step, InsertClaim) and self.row is None
        version = self.row.version if self.row else 0
        if absent or (isinstance(step, TakeOverClaim) and step.version == version):
            self.row = StoredClaim(step.row, version + 1)

    def _event(self, step: Any, fate: str) -> Any:
        if isinstance(step, AskClaimant):
            asked = [n for n in self.nodes if n.name == step.row.claimant]
            return asked[0].registry.word(step.row.attempt) if asked and fate == "ok" else None
        if fate == "late":
            self.late.append(step)
            return None
        if fate != "never":
            self._write(step)
        return self.row if fate == "ok" else None

    def _ended(self, node: _Node, row: ClaimRow, outcome: ClaimOutcome) -> None:
        if outcome.refusal is None and outcome.kept is None:
            node.held.append(row)
        elif outcome.refusal is not None and outcome.refusal.kind is ErrorKind.PLATFORM_DOWN:
            # The caller asks again, at any node.
            self.request()


class ClaimProtocolTest(unittest.TestCase):
    def test_no_key_runs_twice(self) -> None:
        explore(ClaimWalk)

    def test_taking_over_from_a_silent_claimant_runs_twice(self) -> None:
        """When a claim is taken over without the claimant's status, a key runs twice."""

        def careless(
            row: ClaimRow, own_row: ClaimRow, word: AttemptStatus | None
        ) -> core.ClaimDecision:
            silent = row.state is ClaimState.CLAIMED and word is None
            return core.ClaimDecision(take_over=True) if silent else decide(row, own_row, word)

        with (
            mock.patch.object(core, "decide", careless),
            self.assertRaisesRegex(Exception, "twice"),
        ):
            explore(ClaimWalk)

    def test_sending_after_abandoning_runs_twice(self) -> None:
        """When the registry does not record the abandonment, an abandoned attempt is still sent."""
        with (
            mock.patch.object(AttemptRegistry, "abandon", lambda self, attempt: True),
            mock.patch.object(AttemptRegistry, "word", lambda self, attempt: AttemptStatus.NEVER),
            self.assertRaisesRegex(Exception, "twice"),
        ):
            explore(ClaimWalk)

    def test_a_key_of_another_request_is_noticed(self) -> None:
        mine = ClaimRow("c", "k", "n", "n", "a1", "digest-1")
        other = ClaimRow("c", "k", "n", "n", "a0", "digest-0", ClaimState.RAN, 200, "", "x")
        refusal = decide(other, mine, None).refusal
        assert refusal is not None
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.KEY_REUSED, Ran.NO))


class ClaimDeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = FakeTable()
        self.desks: dict[str, ClaimManager] = {}
        self.silent: set[str] = set()
        for name in ("n1", "n2"):
            self._start(name)

    def _start(self, name: str, **options: float) -> ClaimManager:
        desk = ClaimManager(
            table=self.table,
            claimant=name,
            address=name,
            ask=self._ask,
            metrics=Metrics(address=""),
            timeout=options.get("timeout", 5.0),
            group_seconds=options.get("group_seconds", 0.001),
        )
        self.desks[name] = desk
        self.addCleanup(desk.close)
        return desk

    def _ask(self, row: ClaimRow) -> AttemptStatus | None:
        if row.claimant in self.silent:
            return None
        return self.desks[row.claimant].word(row.claimant, row.attempt)

    def _claim(self, name: str, key: str = "k") -> Claim | ClaimRow | Refusal:
        return self.desks[name].claim(customer="c", key=key, digest="d")

    def test_a_lost_answer_to_the_insert_is_read_back(self) -> None:
        self.table.lose = 1
        claim = self._claim("n1")
        assert isinstance(claim, Claim)
        self.assertTrue(self.desks["n1"].begin_send(claim))

    def test_an_unconfirmed_claim_is_abandoned_and_free_for_others(self) -> None:
        self.table.lose = 1
        read, self.table.read = self.table.read, self._unreadable  # type: ignore[method-assign]
        refusal = self._claim("n1")
        self.table.read = read  # type: ignore[method-assign]
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.PLATFORM_DOWN, Ran.NO))
        self.assertIn("claim/c/k", self.table.rows)
        self.assertIsInstance(self._claim("n2"), Claim)

    def _unreadable(self, keys: Any) -> Any:
        raise ExternalSystemError("table is down")

    def test_a_key_proved_not_run_is_free_before_its_row_is_written(self) -> None:
        """Found on a busy machine: a repeat quicker than the row got 409."""
        desk = self.desks["n1"]
        claim = self._claim("n1")
        assert isinstance(claim, Claim)
        desk.begin_send(claim)
        with mock.patch.object(desk, "_finish"):
            desk.not_run(claim)
        self.assertIsInstance(self._claim("n2"), Claim)

    def test_a_silent_claimant_keeps_its_claim(self) -> None:
        self._claim("n1")
        self.silent.add("n1")
        refusal = self._claim("n2")
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN))

    def test_the_kept_outcome_answers_a_repeat(self) -> None:
        claim = self._claim("n1")
        assert isinstance(claim, Claim)
        self.desks["n1"].begin_send(claim)
        self.desks["n1"].ran(claim, status=200, content_type="text/plain", body=b"done")
        self._wait_for_state(ClaimState.RAN)
        kept = self._claim("n2")
        assert isinstance(kept, ClaimRow)
        self.assertEqual((kept.status, kept.content_type), (200, "text/plain"))

    def test_two_unsettled_attempts_in_an_outage_both_settle(self) -> None:
        """Found by reading: the second attempt's clean-up once hid the first's outcome."""
        desk = self.desks["n1"]
        claim = self._claim("n1")
        assert isinstance(claim, Claim)
        desk.begin_send(claim)
        self.table.down = True
        desk.ran(claim, status=200, content_type="", body=b"done")
        self.assertIsInstance(self._claim("n1"), Refusal)
        self.table.down = False
        self._wait_for_state(ClaimState.RAN)

    def _wait_for_state(self, state: ClaimState) -> None:
        for _ in range(500):
            found = self.desks["n2"].find("c", "k")
            if found is not None and found.state is state:
                return
            threading.Event().wait(0.02)
        self.fail(f"the claim never came to {state}")

    def test_claims_at_the_same_moment_share_transactions(self) -> None:
        desk = self._start("n3", group_seconds=0.2)
        threads = [threading.Thread(target=self._claim, args=("n3", f"k{n}")) for n in range(20)]
        before = self.table.commits
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertLessEqual(self.table.commits - before, 4)
        self.assertEqual(desk.find("c", "k19").claimant, "n3")  # type: ignore[union-attr]
