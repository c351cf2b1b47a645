"""The list of tests that are known to fail is short, well formed and names tests that exist."""

from __future__ import annotations

import unittest
from pathlib import Path

from tests.known_red import LIST, MOST_LISTED, KnownRed, known_red, parsed

_LINE = "tests/test_x.py::TestX::test_y | a cause | issue 1"


class TestKnownRed(unittest.TestCase):
    def test_each_listed_test_exists(self) -> None:
        for red in known_red():
            path, _, names = red.test.partition("::")
            text = (LIST.parent / Path(path)).read_text()
            for kind, name in zip(("class", "def"), names.split("::"), strict=True):
                self.assertIn(f"{kind} {name}(", text, red.test)

    def test_a_line_names_test_cause_and_issue(self) -> None:
        expected = [KnownRed("tests/test_x.py::TestX::test_y", "a cause", "issue 1")]
        self.assertEqual(parsed(f"# remark\n\n{_LINE}\n"), expected)
        for line in ("tests/test_x.py", "a | b", "a | b | ", "a | b | c | d"):
            with self.assertRaisesRegex(ValueError, "expected TEST"):
                parsed(line)

    def test_more_than_may_be_listed_are_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "at most"):
            parsed("\n".join([_LINE] * (MOST_LISTED + 1)))
