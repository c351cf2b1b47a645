"""On the own interface each run that breaks off is looked after, however soon after another."""

from __future__ import annotations

import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from fielddrift_core.crashes import CrashUpdate
from fielddrift_core.interfaces import ExternalSystemError, Row
from fielddrift_core.lost_runs import LostRun
from fielddrift_core.model import Target, TargetRole
from fielddrift_node import clock
from fielddrift_node.crash_desk import CRASH_PREFIX, CrashDesk
from fielddrift_node.metrics import Metrics
from fielddrift_standins.fleet import HOST, free_port, wait_until

from .fakes import FakeTable


class CrashDeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(2)
        self.addCleanup(self.pool.shutdown)
        self.table = FakeTable()
        self.desk = self._desk()
        port = free_port()
        self.target = Target("t", TargetRole.SERVICE, f"{HOST}:{port}", "a", "s")
        self.listener = socket.create_server((HOST, port))
        self.addCleanup(self.listener.close)

    def _desk(self) -> CrashDesk:
        return CrashDesk(
            table=self.table,
            pool=self.pool,
            metrics=Metrics(address=""),
            changed=lambda: None,
        )

    def _break_off(self, life: str = "t#1") -> None:
        self.desk.record_lost_run(LostRun("r", "f", life, clock.now(), 0.1), self.target)

    def _hold(self) -> None:
        self.listener.close()
        for life in ("t#1", "t#2", "t#3"):
            self._break_off(life)
        wait_until(lambda: self.desk.check("f") is not None, "the request is held back", 2.0)

    def test_a_crash_soon_after_a_lost_answer_is_seen(self) -> None:
        self._break_off()
        time.sleep(0.3)
        self.assertEqual(self.desk.recent(), CrashUpdate())
        self.listener.close()
        self._break_off()
        wait_until(lambda: self.desk.recent().crashes, "the crash is seen", 2.0)

    def test_what_is_held_back_is_saved_and_read_by_the_next_node(self) -> None:
        self._hold()
        self.desk.turn()
        again = self._desk()
        again.restore()
        self.assertIsNotNone(again.check("f"))

    def test_a_row_is_removed_once_the_request_is_let_go(self) -> None:
        self._hold()
        self.desk.turn()
        self.assertTrue(self.desk.lift("f"))
        self.desk.turn()
        self.assertEqual(self.table.scan(CRASH_PREFIX, CRASH_PREFIX, 10), [])

    def test_a_row_is_removed_once_a_target_answers_the_request(self) -> None:
        self._hold()
        self.desk.turn()
        self.desk.answered("f", "t#4", clock.now())
        self.desk.turn()
        self.assertEqual(self.table.scan(CRASH_PREFIX, CRASH_PREFIX, 10), [])

    def test_an_answer_to_a_request_that_was_never_saved_writes_nothing(self) -> None:
        self.listener.close()
        self._break_off()
        wait_until(lambda: self.desk.recent().crashes, "the crash is seen", 2.0)
        self.desk.answered("f", "t#4", clock.now())
        self.desk.turn()
        self.assertEqual(self.table.commits, 0)

    def test_a_write_that_failed_is_tried_again(self) -> None:
        self._hold()
        with mock.patch.object(self.table, "commit", side_effect=ExternalSystemError("down")):
            self.assertRaises(ExternalSystemError, self.desk.turn)
        self.desk.turn()
        self.assertEqual(len(self.table.scan(CRASH_PREFIX, CRASH_PREFIX, 10)), 1)

    def test_a_row_of_another_writer_keeps_no_other_away(self) -> None:
        self._hold()
        self.desk.turn()
        rows = [Row(f"{CRASH_PREFIX}bad", "{", 1), *self.table.scan(CRASH_PREFIX, CRASH_PREFIX, 10)]
        again = self._desk()
        with mock.patch.object(self.table, "scan", return_value=rows):
            again.restore()
        self.assertIsNotNone(again.check("f"))
