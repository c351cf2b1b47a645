"""Signals that ask a process to stop, also many in a row; calls under way when a client closes."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import threading
import unittest

from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_node.http_client import Call, HttpClient

WAIT_SECONDS = 20.0
PROCESSES = 20
SIGNALS_EACH = 50
"""Fifty in a row stopped 14 processes of 60 for ever when a handler set an event."""

CHILD = """
from fielddrift_node.stopping import StopSignals
signals = StopSignals()
print("ready", flush=True)
signals.wait()
"""


class StopSignalsTest(unittest.TestCase):
    def test_many_signals_in_a_row_end_a_process_with_0(self) -> None:
        for _ in range(PROCESSES):
            with subprocess.Popen([sys.executable, "-c", CHILD], stdout=subprocess.PIPE) as child:
                assert child.stdout is not None
                child.stdout.readline()
                for _ in range(SIGNALS_EACH):
                    child.send_signal(signal.SIGTERM)
                try:
                    self.assertEqual(child.wait(WAIT_SECONDS), 0)
                finally:
                    child.kill()


class ClosedClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.silent.close)
        self.call = Call("GET", f"http://127.0.0.1:{self.silent.getsockname()[1]}/", timeout=600)

    def test_a_call_under_way_ends_when_the_client_closes(self) -> None:
        client = HttpClient()
        errors: list[ExternalSystemError] = []

        def ask() -> None:
            try:
                client.request(self.call)
            except ExternalSystemError as error:
                errors.append(error)

        asking = threading.Thread(target=ask, daemon=True)
        asking.start()
        connection, _ = self.silent.accept()
        self.addCleanup(connection.close)
        client.close()
        asking.join(WAIT_SECONDS)
        self.assertEqual(len(errors), 1)

    def test_a_call_after_the_close_fails_at_once_and_surely_did_not_run(self) -> None:
        client = HttpClient()
        client.close()
        stream = client.stream(self.call)
        with self.assertRaises(ExternalSystemError) as caught:
            stream.head.result(timeout=WAIT_SECONDS)
        self.assertTrue(caught.exception.not_executed)
