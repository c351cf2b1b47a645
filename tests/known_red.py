"""Read KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

One line a test: its id, the cause and the issue, apart by `|`.  Lines that begin
with `#` are remarks.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

__all__ = ["LIST", "MOST_LISTED", "KnownRed", "known_red", "parsed"]

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST_LISTED = 3
"""Tests that may be listed at once: they are to be mended first, not gathered."""


class KnownRed(NamedTuple):
    """A listed test, as pytest names it, why it fails, and the issue that asks for its mending."""

    test: str
    cause: str
    issue: str


def parsed(text: str) -> list[KnownRed]:
    """Return what `text` lists; raise `ValueError` where a line is not understood."""
    found = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"{LIST.name}:{number}: {line!r}: expected TEST | CAUSE | ISSUE")
        found.append(KnownRed(*fields))
    if len(found) > MOST_LISTED:
        raise ValueError(f"{LIST.name}: {len(found)} tests, expected {MOST_LISTED} at most")
    return found


def known_red() -> list[KnownRed]:
    """Return the tests that are listed, none when there is no list."""
    return parsed(LIST.read_text()) if LIST.exists() else []
