"""Failure detection, refutation and leaving targets, driven step by step without clocks."""

from __future__ import annotations

import random
import unittest

from fielddrift_core.entry import SPREAD_NODE_COUNT, audience, order
from fielddrift_core.membership import (
    MAX_UPDATES_PER_MESSAGE,
    SUSPICION_TIMEOUT_SECONDS,
    Member,
    Membership,
    Status,
    TargetWord,
)


def member(number: int) -> Member:
    return Member(f"p{number}", f"h{number}", "dc-a" if number % 2 else "dc-b", 1)


def fleet(size: int) -> list[Membership]:
    views = [Membership(me=member(n), rng=random.Random(n)) for n in range(size)]
    for view in views:
        view.merge([member(n) for n in range(size)], (), 0.0)
    return views


def exchange(one: Membership, two: Membership, now: float) -> None:
    two.merge(*one.next_updates(), now)
    one.merge(*two.next_updates(), now)


def rounds_until(views: list[Membership], done: object, limit: int = 200) -> int:
    """Probe once per node and round until `done` holds for every view; return the rounds."""
    by_name = {view.me.name: view for view in views}
    for number in range(limit):
        if all(done(view) for view in views):  # type: ignore[operator]
            return number
        for view in views:
            probed = view.next_probe()
            if probed is not None and probed.name in by_name:
                exchange(view, by_name[probed.name], float(number))
    raise AssertionError(f"not within {limit} rounds")


class MembershipTest(unittest.TestCase):
    def test_a_silent_member_is_suspected_then_dead(self) -> None:
        view = fleet(3)[0]
        view.record_probe_failure("p1", 10.0)
        self.assertNotIn("p1", [m.name for m in view.usable()])
        self.assertEqual(view.expire(10.0 + SUSPICION_TIMEOUT_SECONDS - 0.1), [])
        self.assertEqual([m.name for m in view.expire(10.0 + SUSPICION_TIMEOUT_SECONDS)], ["p1"])

    def test_a_live_member_refutes_its_suspicion(self) -> None:
        views = fleet(3)
        views[0].record_probe_failure("p1", 0.0)
        exchange(views[0], views[1], 0.1)
        exchange(views[0], views[1], 0.2)
        self.assertIn("p1", [m.name for m in views[0].usable()])
        self.assertEqual(views[1].me.incarnation, 2)

    def test_a_returned_member_refutes_its_death(self) -> None:
        views = fleet(2)
        dead = views[1].me._replace(status=Status.DEAD)
        views[0].merge([dead], (), 0.0)
        views[1].merge([dead], (), 0.0)
        exchange(views[1], views[0], 0.1)
        self.assertIn("p1", [m.name for m in views[0].usable()])

    def test_leaving_is_not_refuted(self) -> None:
        view = fleet(2)[0]
        view.merge([view.me._replace(status=Status.LEAVING)], (), 0.0)
        self.assertIs(view.me.status, Status.LEAVING)
        self.assertEqual(view.me.incarnation, 1)

    def test_an_update_about_a_target_reaches_all_in_few_rounds(self) -> None:
        views = fleet(64)
        views[0].merge_target(TargetWord("t", 1, True))
        rounds = rounds_until(views, lambda view: view.target_word("t") is not None)
        self.assertLessEqual(rounds, 10)

    def test_leaving_lasts_for_the_epoch_and_ends_with_the_next(self) -> None:
        view = fleet(1)[0]
        view.merge_target(TargetWord("t", 5, True))
        self.assertFalse(view.merge_target(TargetWord("t", 5, False)))
        self.assertFalse(view.merge_target(TargetWord("t", 4, False)))
        self.assertTrue(view.merge_target(TargetWord("t", 6, False)))

    def test_the_message_size_is_bounded_for_any_number_of_members(self) -> None:
        view = fleet(400)[0]
        members, words = view.next_updates()
        self.assertLessEqual(len(members) + len(words), MAX_UPDATES_PER_MESSAGE)

    def test_entry_returns_near_members_first_and_no_suspected_one(self) -> None:
        view = fleet(6)[0]
        view.record_probe_failure("p2", 0.0)
        answer = order(view.usable(), data_centre="dc-b", model="m")
        self.assertEqual(set(answer.addresses[:2]), {"h0", "h4"})
        self.assertNotIn("h2", answer.addresses)

    def test_entry_sends_a_models_callers_to_the_same_nodes(self) -> None:
        members = [member(n) for n in range(1, 41, 2)]
        first = {
            order(members, data_centre="dc-a", model="m", rotation=n).addresses[0] for n in range(9)
        }
        self.assertEqual(len(first), SPREAD_NODE_COUNT)
        told = {member.http for member in audience(members, model="m")}
        self.assertEqual(first, told)
        others = {order(members, data_centre="dc-a", model=f"m{n}").addresses[0] for n in range(50)}
        self.assertGreater(len(others), 10)
