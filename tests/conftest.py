"""Let a run pass over the tests in KNOWN-RED.txt, and print them.

A listed test must fail: once it passes, the run fails until it is taken off the list.
"""

from __future__ import annotations

import gc

import pytest

from tests.known_red import known_red


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect listed tests to fail."""
    causes = {red.test: f"{red.cause} ({red.issue})" for red in known_red()}
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=True))


def pytest_collection_finish() -> None:
    """Exclude imported modules and collected tests from garbage collections, as a node does.

    A full collection of them stops the event loop of a test for longer than its latency goals.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list."""
    for red in known_red():
        terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} ({red.issue})")
