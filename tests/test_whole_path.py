"""The whole path on real processes: the demo is the test."""

from __future__ import annotations

import subprocess
import sys
import unittest


class WholePathTest(unittest.TestCase):
    def test_demo_holds(self) -> None:
        command = [sys.executable, "-m", "fielddrift_standins.demo"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=240)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("all of it held", done.stdout)
