"""Keep the configuration as an append-only log that only moves forward.

The log lives in the platform's table.  A change is one transaction: the head
is still N, and becomes N+1; the change and the operator's change id are
written with it.  A lost answer is read back by the change id, never repeated.
`ConfigView` is what one node has in force.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .commands import Command, apply, decode, encode
from .model import Configuration

__all__ = [
    "HEAD_KEY",
    "ConfigView",
    "LogEntry",
    "change_key",
    "decode_entry",
    "decode_snapshot",
    "encode_entry",
    "encode_snapshot",
    "entry_key",
]

HEAD_KEY = "config/head"
SNAPSHOT_INTERVAL_REVISIONS = 50


class LogEntry(NamedTuple):
    """One accepted change, at its revision."""

    revision: int
    change_id: str
    operator: str
    command: Command


def entry_key(revision: int) -> str:
    """Return the table key of the entry at `revision`."""
    return f"config/log/{revision:012d}"


def change_key(change_id: str) -> str:
    """Return the table key under which a change id finds its revision."""
    return f"config/change/{change_id}"


def encode_entry(entry: LogEntry) -> str:
    """Return `entry` as text."""
    fields = [entry.revision, entry.change_id, entry.operator, encode(entry.command).decode()]
    return msgspec.json.encode(fields).decode()


def decode_entry(raw: str) -> LogEntry:
    """Return the entry kept as `raw`; raise ValueError when it is not one."""
    fields = msgspec.json.decode(raw, type=tuple[int, str, str, str])
    return LogEntry(fields[0], fields[1], fields[2], decode(fields[3].encode()))


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return a whole configuration as bytes."""
    return msgspec.json.encode(configuration)


def decode_snapshot(raw: bytes) -> Configuration:
    """Return the configuration kept as `raw`; raise ValueError when it is not one."""
    return msgspec.json.decode(raw, type=Configuration)


class ConfigView:
    """Hold what one node has in force; it never goes back.

    `heard` is the highest revision that anyone told of: where it is above
    `revision`, entries are missing and `missing` says which.
    """

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._heard = 0
        self._entries: dict[int, LogEntry] = {}

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self._configuration.revision

    @property
    def heard(self) -> int:
        """Return the highest revision known to be accepted."""
        return max(self._heard, self.revision)

    @property
    def behind(self) -> bool:
        """Return whether accepted entries are missing here."""
        return self.heard > self.revision

    def note_accepted(self, revision: int) -> None:
        """Note that `revision` was accepted somewhere."""
        self._heard = max(self._heard, revision)

    def missing(self) -> range:
        """Return the revisions still to be fetched."""
        return range(self.revision + 1, self.heard + 1)

    def put(self, entry: LogEntry) -> int:
        """Take an entry in any order, any number of times; return how many came in force."""
        if entry.revision <= self.revision:
            return 0
        self._entries[entry.revision] = entry
        self._heard = max(self._heard, entry.revision)
        return self._advance()

    def apply_snapshot(self, configuration: Configuration) -> bool:
        """Jump to a later configuration; False when it is not later."""
        if configuration.revision <= self.revision:
            return False
        self._configuration = configuration
        for revision in [r for r in self._entries if r <= self.revision]:
            del self._entries[revision]
        self._advance()
        return True

    def _advance(self) -> int:
        count = 0
        while (entry := self._entries.pop(self.revision + 1, None)) is not None:
            self._configuration = apply(self._configuration, entry.command)
            count += 1
        return count
