"""State of one run, life of a target, pause or reading does not decide over the next one.

It was kept in an object that outlives it: a sequencer, a note on a target, a mark of a
pause, a row's version.  Most of the places here are of the node's own interface;
`test_left_from_a_try.py` has those of the platform's.  Each test tells what a caller or
an operator saw.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any
from unittest import mock

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.model import TargetRole
from fielddrift_core.routing import Load
from fielddrift_core.stream import EventSequencer
from fielddrift_node.board import Board
from fielddrift_node.configuration import ConfigSync
from fielddrift_node.filters import run as run_filter
from fielddrift_node.metrics import Metrics
from fielddrift_node.servers import ApplicationServer
from fielddrift_node.settle import AttemptFailed
from fielddrift_node.watch import Watch

from .fakes import FakeObjects, FakeTable
from .platform_fleet import HOST, free_port
from .test_named_rows import Node, Table

_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _end(count: int) -> bytes:
    return b'event: end\nid: %d\ndata: {"count": %d}\n\n' % (count + 1, count)


@mock.patch("fielddrift_node.serving.named_rows._log", mock.Mock())
class RowsOfALostTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_row_that_the_table_lost_is_written_anew(self) -> None:
        """The row's version of before was expected for ever, so no naming was saved again."""
        table = Table()
        node = Node(table)
        node.receive(2)
        await node.rows.save("m")
        table.rows_by_key.clear()
        node.receive(3)
        await node.rows.save("m")
        self.assertEqual(sorted(table.rows_by_key), ["m"])


class SequencerTest(unittest.TestCase):
    def test_an_end_mark_that_overtook_the_last_event_ends_the_run(self) -> None:
        """What is held was not looked at when the missing event came by itself."""
        sequencer = EventSequencer()
        out = sequencer.feed(_event(1))
        out += sequencer.feed(_end(2))
        out += sequencer.feed(_event(2))
        self.assertEqual(out, _event(1) + _event(2) + _end(2))
        self.assertTrue(sequencer.whole)

    def test_held_events_go_on_with_the_one_they_waited_for(self) -> None:
        """They waited for any later event; where none comes soon the caller waits too."""
        sequencer = EventSequencer()
        sequencer.feed(_event(2) + _event(3))
        self.assertEqual(sequencer.feed(_event(1)), _event(1) + _event(2) + _event(3))


class ServingListTest(unittest.TestCase):
    def test_a_reading_of_an_older_revision_is_not_kept_for_the_newer(self) -> None:
        """A thread was between its look at the revision and its note of what it found."""
        sync = ConfigSync(
            table=FakeTable(),
            objects=FakeObjects(),
            metrics=Metrics(address=""),
            on_change=lambda revision: None,
        )
        newer = SimpleNamespace(revision=2, serving=lambda role, name: ("new",))
        other = threading.Thread(target=lambda: sync.serving(TargetRole.ENGINE, "n"))

        class Older:
            def serving(self, role: TargetRole, name: str) -> tuple[str, ...]:
                return ("old",)

            @property
            def revision(self) -> int:
                if sync._view.configuration is not newer:
                    sync._view = SimpleNamespace(configuration=newer)  # type: ignore[assignment]
                    other.start()
                    other.join()
                return 1

        sync._serving = (1, {})
        sync._view = SimpleNamespace(configuration=Older())  # type: ignore[assignment]
        sync.serving(TargetRole.ENGINE, "m")
        self.assertEqual(sync.serving(TargetRole.ENGINE, "m"), ("new",))


class NewLifeTest(unittest.TestCase):
    def test_the_events_of_a_new_life_are_asked_for_from_the_first_on(self) -> None:
        """They were asked for behind the old life's last: its evictions were never heard of."""
        board = Board(data_centre="a")
        board.record_load("e1", Load(), 1, ())
        board.record_cache_events("e1", 500, [])
        board.record_load("e1", Load(), 2, ())
        self.assertEqual(board.event_sequence("e1"), 0)


class PauseTest(unittest.TestCase):
    def test_a_pause_while_the_node_catches_up_is_not_forgotten(self) -> None:
        """What was read before the second pause counted as read after it."""
        now = 0.0
        caught_up: list[float] = []

        def refresh() -> bool:
            nonlocal now
            caught_up.append(now)
            if len(caught_up) == 1:
                now += 10.0
                watch.tick()
            return True

        watch = Watch(refresh=refresh, clock=lambda: now)
        now += 10.0
        watch.ensure_fresh()
        watch.ensure_fresh()
        self.assertEqual(len(caught_up), 2)


class FailedAnswerTest(unittest.TestCase):
    def test_an_answer_whose_application_fails_is_cut(self) -> None:
        """The caller waited for the rest of the answer until it gave up."""

        def app(environ: Any, start_response: Any) -> Iterator[bytes]:
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            yield _event(1)
            raise ValueError("a fault of the node")

        port = free_port()
        server = ApplicationServer(app=app, host=HOST, port=port, threads=1, body=1000)
        self.addCleanup(server.stop)
        with socket.create_connection((HOST, port), timeout=2.0) as connection:
            connection.sendall(_REQUEST)
            got = b""
            with contextlib.suppress(ConnectionResetError):
                while data := connection.recv(4096):
                    got += data
        self.assertNotIn(b"0\r\n\r\n", got)


class ProbeTest(unittest.TestCase):
    def test_a_probe_whose_head_cannot_be_read_has_ended(self) -> None:
        """The breaker took the probe for under way, and let no other request through."""
        now = 0.0
        board = Board(data_centre="a", clock=lambda: now)
        target = SimpleNamespace(name="e1")
        for _ in range(3):
            board.failed("e1")
        now = 100.0
        board.sent("e1", "r.1.1", 10)
        exchange = mock.MagicMock()
        exchange.runtime.board = board
        choice, stream = SimpleNamespace(target=target), mock.MagicMock()
        with (
            mock.patch.object(run_filter, "read_head", side_effect=ExternalSystemError("no head")),
            self.assertRaises(AttemptFailed),
        ):
            run_filter._check_head(exchange, choice, mock.Mock(), stream)  # type: ignore[arg-type]
        board.ended("e1", "r.1.1")
        now = 200.0
        self.assertTrue(board.takes(target, ""))  # type: ignore[arg-type]
