"""Store the configuration as an append-only log.

The log is stored in the platform's table.  Each change is one transaction, which
is conditional on the head revision N, sets it to N+1, and writes the change and
the operator's change id.  When the answer to a commit is lost, its result is
looked up by the change id; the change is never written a second time.
`ConfigView` is the configuration in force on one node.
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
    """One accepted change and its revision."""

    revision: int
    change_id: str
    operator: str
    command: Command


def entry_key(revision: int) -> str:
    """Return the table key of the log entry at `revision`."""
    return f"config/log/{revision:012d}"


def change_key(change_id: str) -> str:
    """Return the table key of the row that maps a change id to its revision."""
    return f"config/change/{change_id}"


def encode_entry(entry: LogEntry) -> str:
    """Return `entry` in the encoding stored in the table."""
    fields = [entry.revision, entry.change_id, entry.operator, encode(entry.command).decode()]
    return msgspec.json.encode(fields).decode()


def decode_entry(raw: str) -> LogEntry:
    """Return the entry encoded in `raw`; raise ValueError when it is malformed."""
    fields = msgspec.json.decode(raw, type=tuple[int, str, str, str])
    return LogEntry(fields[0], fields[1], fields[2], decode(fields[3].encode()))


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return the encoded configuration."""
    return msgspec.json.encode(configuration)


def decode_snapshot(raw: bytes) -> Configuration:
    """Return the configuration encoded in `raw`; raise ValueError when it is malformed."""
    return msgspec.json.decode(raw, type=Configuration)


class ConfigView:
    """The configuration in force on one node; its revision never decreases.

    `heard` is the highest revision known to be accepted by the log.  While it is
    above `revision`, entries are missing here; `missing` returns their revisions.
    """

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._heard = 0
        self._entries: dict[int, LogEntry] = {}

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force on this node."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Return the revision in force on this node."""
        return self._configuration.revision

    @property
    def heard(self) -> int:
        """Return the highest revision known to be accepted."""
        return max(self._heard, self.revision)

    @property
    def behind(self) -> bool:
        """Return whether accepted entries are missing on this node."""
        return self.heard > self.revision

    def note_accepted(self, revision: int) -> None:
        """Record that the log accepted `revision`."""
        self._heard = max(self._heard, revision)

    def missing(self) -> range:
        """Return the revisions that are still to be fetched."""
        return range(self.revision + 1, self.heard + 1)

    def put(self, entry: LogEntry) -> int:
        """Add an entry, in any order and repeatedly; return how many were applied."""
        if entry.revision <= self.revision:
            return 0
        self._entries[entry.revision] = entry
        self._heard = max(self._heard, entry.revision)
        return self._advance()

    def apply_snapshot(self, configuration: Configuration) -> bool:
        """Replace the configuration by a later one; return False when it is not later."""
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
