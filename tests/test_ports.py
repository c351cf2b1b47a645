"""Ports for tests and demos are never given twice, also not by processes side by side."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest

PROCESSES = 8
PORTS_EACH = 150
"""More than a block holds."""
CHILD = f"""
import json, sys
from fielddrift_standins.fleet import free_port
print(json.dumps([free_port() for _ in range({PORTS_EACH})]), flush=True)
sys.stdin.read()
"""


class FreePortTest(unittest.TestCase):
    def test_processes_side_by_side_draw_different_ports(self) -> None:
        children = [
            subprocess.Popen(
                [sys.executable, "-c", CHILD], stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            for _ in range(PROCESSES)
        ]
        drawn: list[int] = []
        for child in children:
            assert child.stdout is not None
            drawn += json.loads(child.stdout.readline())
        for child in children:
            child.communicate()
        self.assertEqual(len(set(drawn)), PROCESSES * PORTS_EACH)
