"""Routing, admission, retries, links, retention, and the committed figures of the bench."""

from __future__ import annotations

import json
import random
import unittest
from collections import Counter

from fielddrift_core.admission import Admission
from fielddrift_core.errors import ErrorKind, Ran
from fielddrift_core.holding import StoredPrefix, plan_tiers, should_export, value
from fielddrift_core.links import RECOVERY_SECONDS, Link
from fielddrift_core.model import CostWeights, HoldRule, Target, TargetRole
from fielddrift_core.retries import (
    FAILURE_THRESHOLD,
    FIRST_OPEN_SECONDS,
    BreakerState,
    CircuitBreaker,
    RetryBudget,
    backoff,
)
from fielddrift_core.routing import (
    POLICIES,
    SAMPLE_SIZE,
    Choice,
    KeptPrefix,
    Load,
    RequestNeeds,
    Source,
    TargetView,
    sample_targets,
)
from fielddrift_node.tickets import Tickets

from bench.decisions import DATA, check_figures


def target(number: int) -> Target:
    return Target(f"t{number}", TargetRole.ENGINE, "127.0.0.1:1", "dc", "m")


def view(number: int, **more: object) -> TargetView:
    fields: dict[str, object] = {"load": Load(), **more}
    return TargetView(target(number), **fields)  # type: ignore[arg-type]


def choose(need: RequestNeeds, views: list[TargetView], policy: str = "cost") -> Choice:
    choice = POLICIES[policy].choose(need, views, random.Random(1))
    assert choice is not None
    return choice


class RoutingTest(unittest.TestCase):
    KEPT = KeptPrefix(blocks=30, size=120_000, seconds=0.05, link_seconds=0.05)

    def test_a_quick_import_beats_computing(self) -> None:
        choice = choose(RequestNeeds(8000, 32, CostWeights(), self.KEPT), [view(1)])
        self.assertIs(choice.source, Source.IMPORT)

    def test_a_crowded_link_is_not_waited_for(self) -> None:
        kept = self.KEPT._replace(seconds=5.0)
        choice = choose(RequestNeeds(8000, 32, CostWeights(), kept), [view(1)])
        self.assertIs(choice.source, Source.RECOMPUTE)

    def test_a_thin_links_weights_prefer_the_import(self) -> None:
        kept = self.KEPT._replace(seconds=2.0)
        weights = CostWeights(ttft=0.1, recompute=3.0, link=0.3)
        choice = choose(RequestNeeds(8000, 32, weights, kept), [view(1)])
        self.assertIs(choice.source, Source.IMPORT)

    def test_memory_beats_an_idle_target(self) -> None:
        choice = choose(RequestNeeds(8000, 32, CostWeights()), [view(1), view(2, memory_blocks=32)])
        self.assertEqual((choice.target.name, choice.source), ("t2", Source.MEMORY))

    def test_own_sends_since_the_load_count(self) -> None:
        views = [view(1, sent=20, sent_tokens=90_000), view(2, load=Load(running=3))]
        self.assertEqual(choose(RequestNeeds(8000, 32, CostWeights()), views).target.name, "t2")

    def test_what_would_come_too_late_is_avoided_whatever_the_weights(self) -> None:
        weights = CostWeights(ttft=0.0, recompute=3.0, link=0.0)
        kept = self.KEPT._replace(seconds=25.0)
        choice = choose(RequestNeeds(8000, 32, weights, kept, ttft_limit=30.0), [view(1)])
        self.assertIs(choice.source, Source.RECOMPUTE)

    def test_nodes_on_the_same_old_load_do_not_herd(self) -> None:
        loads = [random.Random(7).randrange(8) for _ in range(22)]
        for nodes in (8, 400):
            for policy, most in (("cost", 3.2), ("cost-all", None)):
                busiest = self._busiest(nodes, loads, policy)
                if most is not None:
                    self.assertLess(busiest, most, (nodes, policy))
                else:
                    self.assertGreater(busiest, 5.0, (nodes, policy))

    def _busiest(self, nodes: int, loads: list[int], policy: str) -> float:
        """Return the ratio of the busiest target's requests to the mean, one choice per node."""
        counts: Counter[str] = Counter()
        for node in range(nodes * max(1, 400 // nodes)):
            rng = random.Random(node)
            sampled = sample_targets(
                [target(n) for n in range(22)],
                warm=(),
                allowed=lambda t: True,
                sample=POLICIES[policy].sample,
                rng=rng,
            )
            views = [
                view(int(t.name[1:]), load=Load(running=loads[int(t.name[1:])])) for t in sampled
            ]
            choice = POLICIES[policy].choose(RequestNeeds(8000, 32, CostWeights()), views, rng)
            assert choice is not None
            counts[choice.target.name] += 1
        return max(counts.values()) / (sum(counts.values()) / 22)

    def test_a_draw_takes_few_and_the_warm_ones(self) -> None:
        targets = [target(n) for n in range(800)]
        sampled = sample_targets(
            targets,
            warm=[targets[5]],
            allowed=lambda t: t.name != "t7",
            sample=SAMPLE_SIZE,
            rng=random.Random(1),
        )
        self.assertLessEqual(len(sampled), SAMPLE_SIZE + 1)
        self.assertIn("t5", [t.name for t in sampled])

    def test_a_draw_finds_the_only_one_that_is_allowed(self) -> None:
        targets = [target(n) for n in range(800)]
        sampled = sample_targets(
            targets, warm=(), allowed=lambda t: t.name == "t7", sample=3, rng=random.Random(1)
        )
        self.assertEqual([t.name for t in sampled], ["t7"])


class AdmissionTest(unittest.TestCase):
    def _check(self, admission: Admission, customer: str, **more: float) -> ErrorKind | None:
        fields = {"ttft": 0.2, "wait": 0.0, "ttft_limit": 5.0, "now": 0.0, **more}
        refusal = admission.check(
            customer=customer, share=1.0, tokens=8000, capacity_rate=100_000.0, **fields
        )
        if refusal is not None:
            self.assertIs(refusal.ran, Ran.NO)
            assert refusal.retry_after is not None and refusal.retry_after > 0
        return refusal.kind if refusal else None

    def test_a_deadline_that_cannot_be_met_is_refused(self) -> None:
        self.assertIs(self._check(Admission(), "a", ttft=9.0), ErrorKind.DEADLINE)
        self.assertIs(self._check(Admission(), "a", ttft=9.0, wait=8.0), ErrorKind.OVERLOADED)

    def test_a_large_customer_gives_way_while_targets_are_busy(self) -> None:
        admission = Admission()
        for number in range(50):
            self._check(admission, "large", now=number * 0.01)
        self._check(admission, "small", now=0.6)
        busy = {"ttft": 2.3, "wait": 2.2, "now": 0.7}
        self.assertIs(self._check(admission, "large", **busy), ErrorKind.OVER_SHARE)
        self.assertIsNone(self._check(admission, "small", **busy))

    def test_alone_nobody_is_over_its_share(self) -> None:
        admission = Admission()
        for number in range(50):
            kind = self._check(admission, "only", ttft=2.3, wait=2.2, now=number * 0.01)
            self.assertIsNone(kind)

    def test_those_refused_together_are_not_told_the_same_time(self) -> None:
        admission = Admission()
        times = set()
        for _ in range(10):
            refusal = admission.check(
                customer="a",
                share=1.0,
                tokens=8000,
                ttft=9.0,
                wait=8.0,
                ttft_limit=5.0,
                capacity_rate=100_000.0,
                now=0.0,
            )
            assert refusal is not None
            times.add(refusal.retry_after)
        self.assertEqual(len(times), 10)

    def test_who_returns_goes_before_newcomers(self) -> None:
        fields = {
            "customer": "a",
            "share": 1.0,
            "tokens": 8000,
            "ttft": 3.0,
            "wait": 1.0,
            "ttft_limit": 5.0,
            "capacity_rate": 1e5,
            "now": 0.0,
        }
        self.assertIsNotNone(Admission().check(**fields))  # type: ignore[arg-type]
        self.assertIsNone(Admission().check(**fields, is_retry=True))  # type: ignore[arg-type]


class TicketsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        self.tickets = Tickets(key="k" * 16, clock=lambda: self.now)

    def test_a_ticket_counts_from_its_time_on_and_for_a_while(self) -> None:
        ticket = self.tickets.issue("a", 5.0)
        for at, counts in ((1000.0, False), (1005.0, True), (1014.0, True), (1020.0, False)):
            self.now = at
            self.assertIs(self.tickets.is_valid(ticket, "a"), counts, at)

    def test_a_forged_or_malformed_ticket_does_not_count(self) -> None:
        ticket = self.tickets.issue("a", 0.0)
        self.assertFalse(self.tickets.is_valid(ticket, "b"))
        self.assertFalse(Tickets(key="o" * 16, clock=lambda: 1000.0).is_valid(ticket, "a"))
        for bad in ("", "-", "x-y", ticket[:-1], "9" + ticket, "\u00e9-\u00e9"):
            self.assertFalse(self.tickets.is_valid(bad, "a"), bad)


class RetriesTest(unittest.TestCase):
    def test_retries_stay_a_share_of_first_tries(self) -> None:
        budget = RetryBudget()
        taken = 0
        for _ in range(1000):
            budget.record_first_try()
            taken += budget.spend()
        self.assertLessEqual(taken, 0.1 * 1000 + 3)

    def test_a_wait_never_passes_the_deadline(self) -> None:
        rng = random.Random(1)
        for attempt in range(1, 9):
            wait = backoff(attempt, rng=rng, left=0.3)
            self.assertTrue(wait is None or wait < 0.3)

    def test_a_breaker_opens_probes_once_and_closes(self) -> None:
        breaker = CircuitBreaker()
        for _ in range(FAILURE_THRESHOLD):
            self.assertTrue(breaker.allows(0.0))
            breaker.failed(0.0)
        self.assertFalse(breaker.allows(FIRST_OPEN_SECONDS / 2))
        self.assertIs(breaker.state(FIRST_OPEN_SECONDS), BreakerState.PROBING)
        breaker.sent(FIRST_OPEN_SECONDS)
        self.assertFalse(breaker.allows(FIRST_OPEN_SECONDS))
        breaker.succeeded()
        self.assertTrue(breaker.allows(FIRST_OPEN_SECONDS))


class LinkTest(unittest.TestCase):
    def test_a_late_import_tells_of_a_slow_link_before_it_ends(self) -> None:
        link = Link(rate=1000.0)
        link.begin_import("a", 1000, 0.0)
        self.assertAlmostEqual(link.rate(5.0), 200.0)

    def test_a_slow_link_is_learned_and_tried_again_later(self) -> None:
        link = Link(rate=1000.0)
        for number in range(6):
            link.begin_import(number, 1000, 10.0 * number)
            link.end_import(number, 10.0 * number + 10.0, 10.0)
        self.assertLess(link.rate(60.0), 250.0)
        self.assertGreater(link.rate(60.0 + 5 * RECOVERY_SECONDS), 950.0)

    def test_what_is_ahead_is_not_taken_for_slowness(self) -> None:
        link = Link(rate=1000.0)
        link.begin_import("others", 4000, 0.0)
        link.begin_import("mine", 1000, 0.0)
        self.assertAlmostEqual(link.import_seconds(1000, 0.0), 6.0)
        link.end_import("others", 4.0, 4.0)
        link.end_import("mine", 5.0, 5.0)
        self.assertAlmostEqual(link.rate(5.0), 1000.0)

    def test_an_import_whose_end_is_never_heard_is_forgotten(self) -> None:
        link = Link(rate=1000.0)
        link.begin_import("other", 1000, 0.0)
        self.assertAlmostEqual(link.import_seconds(1000, 90.0), 1.0)

    def test_an_unknown_end_changes_nothing(self) -> None:
        link = Link(rate=1000.0)
        link.end_import("never-begun", 1.0, 50.0)
        self.assertEqual(link.rate(1.0), 1000.0)

    def test_exports_wait_for_imports(self) -> None:
        link = Link(rate=1000.0)
        self.assertTrue(link.may_export(0.0))
        link.begin_import("a", 1000, 0.0)
        self.assertFalse(link.may_export(0.0))


class HoldingTest(unittest.TestCase):
    RULES = {"a": HoldRule("a", 3600.0, 0.8), "b": HoldRule("b", 3600.0, 0.1)}

    def _held(self, name: str, customer: str, idle: float, tier: str = "memory") -> StoredPrefix:
        return StoredPrefix(name, "x", customer, 10, 1000, idle, tier)

    def test_the_least_worthy_goes_to_disk_first(self) -> None:
        held = [self._held(f"a{n}", "a", 10.0) for n in range(5)]
        held += [self._held(f"b{n}", "b", 10.0) for n in range(5)]
        done = plan_tiers(held, rules=self.RULES, memory=8000, disk=10**6, week_second=0.0)
        self.assertTrue(done.demote)
        self.assertEqual({h.customer for h in done.demote}, {"b"})
        self.assertEqual(done.free, ())

    def test_what_is_past_its_rule_is_freed(self) -> None:
        held = [self._held("old", "a", 4000.0), self._held("young", "a", 10.0)]
        done = plan_tiers(held, rules=self.RULES, memory=10**6, disk=10**6, week_second=0.0)
        self.assertEqual([h.path for h in done.free], ["old"])

    def test_ahead_of_a_known_rush_the_disk_is_emptied_into_memory(self) -> None:
        rules = {"a": HoldRule("a", 3600.0, 0.8, rush=10_000.0)}
        held = [self._held("squad", "a", 100_000.0, tier="disk")]
        before = plan_tiers(held, rules=rules, memory=10**6, disk=10**6, week_second=0.0)
        near = plan_tiers(held, rules=rules, memory=10**6, disk=10**6, week_second=9_000.0)
        self.assertEqual([h.path for h in before.free], ["squad"])
        self.assertEqual([h.path for h in near.promote], ["squad"])
        self.assertGreater(value(held[0], rules["a"], 9_000.0), 0)

    def test_what_is_nearly_kept_is_not_exported_again(self) -> None:
        self.assertFalse(should_export(rule=None, blocks=100, kept=90))
        self.assertTrue(should_export(rule=None, blocks=100, kept=10))


class BenchTest(unittest.TestCase):
    def test_the_committed_figures_come_out_again_to_the_digit(self) -> None:
        committed = json.loads(DATA.read_text())["check"]
        self.assertEqual(check_figures(), committed)

    def test_the_policy_keeps_its_goals_against_the_committed_figures(self) -> None:
        committed = json.loads(DATA.read_text())
        match = committed["matchday"]["fair weather"]
        plain = ("random", "least-loaded", "sticky", "always-recompute", "always-import")
        best = min(match[policy]["p95"] for policy in plain)
        self.assertLessEqual(match["cost"]["p95"], 0.5 * best)
        self.assertLessEqual(match["cost"]["p95"], 1.15 * match["oracle"]["p95"])
        circle = committed["circle-day"]["fair weather"]
        recomputed = circle["cost"]["recomputed"]
        self.assertLessEqual(recomputed, 0.5 * circle["least-loaded"]["recomputed"])
        self.assertLess(circle["cost"]["link_gb"], circle["always-import"]["link_gb"])
        self.assertLessEqual(circle["cost"]["cost"], 1.15 * circle["oracle"]["cost"])
