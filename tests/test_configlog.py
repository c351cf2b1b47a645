"""The configuration log: conflicts, lost answers, disorder; it never goes back."""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest import mock

from fielddrift_core.commands import Command, CreateCustomer, Rejected, SetDraining, apply
from fielddrift_core.configlog import (
    ConfigView,
    LogEntry,
    decode_snapshot,
    encode_snapshot,
)
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.grammar import GeneratedSecrets, parse
from fielddrift_core.model import Configuration
from fielddrift_node.configuration import Accepted, ConfigSync
from fielddrift_node.metrics import Metrics

from .fakes import FakeObjects, FakeTable
from .machines import Walk, explore


def statement(text: str) -> Command:
    """Return the command of a statement."""
    command = parse(text, secrets=GeneratedSecrets(key="k", salt="s"))
    assert not hasattr(command, "noun")
    return command  # type: ignore[return-value]


class ViewWalk(Walk):
    """Entries and snapshots reach three nodes late, twice and in any order."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.views = [ConfigView() for _ in range(3)]
        self.log: list[LogEntry] = []
        self.true = [Configuration()]
        self.seen = [0, 0, 0]

    def moves(self) -> list[Any]:
        return [self.append] * 2 + [self.deliver] * 4 + [self.snapshot, self.old_snapshot]

    def append(self) -> None:
        revision = len(self.log) + 1
        command = CreateCustomer(f"c{revision}", 1.0, f"d{revision}", "s")
        self.log.append(LogEntry(revision, f"id{revision}", "op", command))
        self.true.append(apply(self.true[-1], command))

    def deliver(self) -> None:
        if self.log:
            self.rng.choice(self.views).put(self.rng.choice(self.log))

    def snapshot(self) -> None:
        view = self.rng.choice(self.views)
        view.apply_snapshot(decode_snapshot(encode_snapshot(self.true[-1])))

    def old_snapshot(self) -> None:
        self.rng.choice(self.views).apply_snapshot(self.rng.choice(self.true))

    def check(self) -> None:
        for number, view in enumerate(self.views):
            assert view.revision >= self.seen[number], "a node went back"
            self.seen[number] = view.revision
            assert view.configuration == self.true[view.revision], "a revision differs"


class ConfigViewTest(unittest.TestCase):
    def test_no_node_goes_back_or_skips(self) -> None:
        explore(ViewWalk)

    def test_without_the_revision_check_a_snapshot_takes_a_node_back(self) -> None:
        def careless(view: ConfigView, configuration: Configuration) -> bool:
            view._configuration = configuration
            return True

        with (
            mock.patch.object(ConfigView, "apply_snapshot", careless),
            self.assertRaisesRegex(Exception, "went back"),
        ):
            explore(ViewWalk)


class ConfigSyncTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = FakeTable()
        self.objects = FakeObjects()

    def _sync(self) -> ConfigSync:
        return ConfigSync(
            table=self.table,
            objects=self.objects,
            metrics=Metrics(address=""),
            on_change=lambda revision: None,
        )

    def _submit(self, sync: ConfigSync, text: str, change_id: str, **more: Any) -> Any:
        return sync.submit(statement(text), change_id=change_id, operator="op", **more)

    def test_of_two_conflicting_commands_one_is_told_which_came_first(self) -> None:
        one, two = self._sync(), self._sync()
        self._submit(one, "create model m version v1", "i0")
        self._submit(one, "create engine e at 127.0.0.1:1 in dc serving m", "i1")
        two.poll()
        seen = two.revision
        self.assertEqual(self._submit(one, "drain target e", "i2"), Accepted(3))
        refusal = self._submit(two, "drop target e", "i3", since=seen)
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.CONFLICT, Ran.NO))
        self.assertIn("i2", refusal.detail)
        self.assertTrue(two.current.targets["e"].draining)

    def test_commands_on_different_subjects_are_both_taken(self) -> None:
        one, two = self._sync(), self._sync()
        self.assertEqual(self._submit(one, "create customer a", "i1"), Accepted(1))
        self.assertEqual(self._submit(two, "create customer b", "i2"), Accepted(2))

    def test_a_lost_commit_answer_is_read_back_not_repeated(self) -> None:
        sync = self._sync()
        self.table.lose = 1
        self.assertEqual(self._submit(sync, "create customer a", "i1"), Accepted(1))
        self.assertEqual(sync.revision, 1)

    def test_a_change_sent_again_is_taken_once(self) -> None:
        one, two = self._sync(), self._sync()
        self._submit(one, "create customer a", "i1")
        self.assertEqual(self._submit(two, "create customer a", "i1"), Accepted(1, repeated=True))

    def test_without_the_change_id_a_repeat_is_refused_or_doubled(self) -> None:
        one = self._sync()
        self._submit(one, "create customer a", "i1")
        self.assertIsInstance(self._submit(one, "create customer a", "i2"), Refusal)

    def test_an_outage_leaves_the_state_unknown_not_refused(self) -> None:
        sync = self._sync()
        self.table.down = True
        refusal = self._submit(sync, "create customer a", "i1")
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.PLATFORM_DOWN, Ran.UNKNOWN))

    def test_a_fresh_node_takes_the_stored_snapshot_and_the_rest(self) -> None:
        sync = self._sync()
        for number in range(53):
            self._submit(sync, f"create customer c{number}", f"i{number}")
        self.assertTrue(self.objects.objects)
        fresh = self._sync()
        fresh.poll()
        self.assertEqual(fresh.current, sync.current)

    def test_a_command_that_does_not_fit_is_refused_with_the_value(self) -> None:
        refusal = self._submit(self._sync(), "drain target nowhere", "i1")
        self.assertEqual(refusal.kind, ErrorKind.NOT_FOUND)
        self.assertIn("nowhere", refusal.detail)

    def test_applying_never_changes_the_configuration_before(self) -> None:
        before = Configuration()
        after = apply(before, CreateCustomer("a", 1.0, "d", "s"))
        self.assertEqual((before.revision, len(before.customers)), (0, 0))
        self.assertEqual(after.keys, {"d": "a"})
        with self.assertRaises(Rejected):
            apply(after, SetDraining("x", True))
