"""Replicate the configuration log from the table or from peers, and append changes to it.

A change is appended by one conditional transaction.  The more nodes there are, the less often
each polls the head of the log; between polls, nodes learn of new revisions by gossip.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import NamedTuple

from fielddrift_core.commands import Command, Rejected, apply
from fielddrift_core.configlog import (
    HEAD_KEY,
    SNAPSHOT_INTERVAL_REVISIONS,
    ConfigView,
    LogEntry,
    change_key,
    decode_entry,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
    entry_key,
)
from fielddrift_core.errors import ErrorKind, Ran, Refusal
from fielddrift_core.interfaces import (
    ExternalSystemError,
    ObjectStore,
    Row,
    Table,
    Transaction,
    Write,
)
from fielddrift_core.model import Configuration, Target, TargetRole

from .log import get
from .metrics import Metrics

__all__ = ["Accepted", "ConfigSync", "poll_seconds", "subject"]

SNAPSHOT_OBJECT = "config/snapshot"
_MAX_ENTRIES_PER_READ = 100
_POLLS_PER_SECOND = 40.0
_MIN_POLL_SECONDS = 0.5
_MAX_ATTEMPT_COUNT = 8


class Accepted(NamedTuple):
    """A change in the log; `repeated` if it was accepted earlier under the same change id."""

    revision: int
    repeated: bool = False


def poll_seconds(members: int) -> float:
    """Return the seconds between two reads of the head by one of `members` nodes.

    All nodes together read it at most `_POLLS_PER_SECOND` times per second.
    """
    return max(_MIN_POLL_SECONDS, members / _POLLS_PER_SECOND)


def subject(command: Command) -> tuple[str, str]:
    """Return the kind and name that `command` changes; two changes to one subject may conflict."""
    first = command[0]
    name = first if isinstance(first, str) else first[0]
    kind = type(command).__name__
    for word in ("Customer", "Key", "Hold"):
        if word in kind:
            return ("customer", str(name))
    for word in ("Model", "Version"):
        if word in kind:
            return ("model", str(name))
    return ("host", str(name))


class ConfigSync:
    """Keep one node's `ConfigView` up to date.  Thread-safe."""

    def __init__(
        self,
        *,
        table: Table,
        objects: ObjectStore,
        metrics: Metrics,
        on_change: Callable[[int], None],
    ) -> None:
        self._table = table
        self._objects = objects
        self._metrics = metrics
        self._on_change = on_change
        self._view = ConfigView()
        self._lock = threading.Lock()
        self._entries: dict[int, str] = {}
        self._serving: tuple[int, dict[tuple[TargetRole, str], tuple[Target, ...]]] = (0, {})

    @property
    def current(self) -> Configuration:
        """Return the configuration in force at this node."""
        return self._view.configuration

    @property
    def revision(self) -> int:
        """Return the revision in force at this node."""
        return self._view.revision

    @property
    def heard(self) -> int:
        """Return the highest revision known to be accepted."""
        return self._view.heard

    def serving(self, role: TargetRole, name: str) -> tuple[Target, ...]:
        """Return the targets of `role` that serve `name`, cached for the revision in force."""
        configuration = self.current
        # Read once: another thread may replace the pair by that of a later revision, whose
        # cache must not get results of this one.
        revision, cached = self._serving
        if revision != configuration.revision:
            cached = {}
            self._serving = (configuration.revision, cached)
        if (role, name) not in cached:
            cached[(role, name)] = configuration.serving(role, name)
        return cached[(role, name)]

    # --- catching up -------------------------------------------------------

    def poll(self) -> None:
        """Read the head and the missing entries from the table.

        Raises `ExternalSystemError` when the table or the object store fails.
        """
        head = _head(self._table.read([HEAD_KEY])[0])
        with self._lock:
            self._view.note_accepted(head)
        if self.revision == 0 and head > 1:
            self._take_stored_snapshot()
        self._fetch()

    @property
    def behind(self) -> bool:
        """Return whether accepted changes are missing at this node."""
        return self._view.behind

    def note_accepted(self, revision: int) -> bool:
        """Record that `revision` was accepted; return whether changes are missing."""
        with self._lock:
            self._view.note_accepted(revision)
            return self._view.behind

    def add_entries(self, entries: list[str]) -> None:
        """Add encoded entries from a peer, in any order."""
        self._put([(raw, decode_entry(raw)) for raw in entries])

    def apply_snapshot(self, raw: bytes) -> bool:
        """Apply an encoded snapshot; return False if it is not later than the revision in force."""
        configuration = decode_snapshot(raw)
        with self._lock:
            taken = self._view.apply_snapshot(configuration)
        if taken:
            self._changed(1)
        return taken

    def snapshot(self) -> bytes:
        """Return the encoded snapshot of the configuration in force."""
        return encode_snapshot(self.current)

    def entries(self, first: int, last: int) -> list[str]:
        """Return the encoded entries from `first` to `last` that this node still keeps."""
        last = min(last, first + _MAX_ENTRIES_PER_READ)
        return [self._entries[r] for r in range(first, last + 1) if r in self._entries]

    def _take_stored_snapshot(self) -> None:
        raw = self._objects.get(SNAPSHOT_OBJECT)
        if raw is not None:
            self.apply_snapshot(raw)

    def _fetch(self) -> None:
        while missing := list(self._view.missing())[:_MAX_ENTRIES_PER_READ]:
            rows = self._table.read([entry_key(revision) for revision in missing])
            stored = [row.value for row in rows if row.version]
            if not stored:
                raise ExternalSystemError(f"configuration entry {missing[0]}: not in the table")
            self._put([(raw, decode_entry(raw)) for raw in stored])

    def _put(self, entries: list[tuple[str, LogEntry]]) -> None:
        with self._lock:
            count = 0
            for raw, entry in entries:
                self._entries[entry.revision] = raw
                count += self._view.put(entry)
            while len(self._entries) > 10 * _MAX_ENTRIES_PER_READ:
                del self._entries[min(self._entries)]
        if count:
            self._changed(count)

    def _changed(self, count: int) -> None:
        self._metrics.add("config.applied", count)
        self._metrics.gauge("config.revision", self.revision)
        self._on_change(self.revision)

    # --- changing ----------------------------------------------------------

    def submit(
        self, command: Command, *, change_id: str, operator: str, since: int | None = None
    ) -> Accepted | Refusal:
        """Append a change; return its revision, or the refusal of it.

        `since` is the revision that the operator saw, by default the one in force: the change
        is refused if a later one has the same subject.  Each `change_id` is applied only once.
        """
        base = self.revision if since is None else since
        try:
            for _ in range(_MAX_ATTEMPT_COUNT):
                outcome = self._try_append(command, change_id, operator, base)
                if outcome is not None:
                    return outcome
        except ExternalSystemError as error:
            return self._unreachable(error)
        return Refusal(ErrorKind.CONFLICT, "other changes kept coming first", Ran.NO, 1.0)

    def _try_append(
        self, command: Command, change_id: str, operator: str, base: int
    ) -> Accepted | Refusal | None:
        head, before = self._table.read([HEAD_KEY, change_key(change_id)])
        with self._lock:
            self._view.note_accepted(max(_head(head), int(before.value or 0)))
        if before.version:
            self._fetch()
            return Accepted(int(before.value), repeated=True)
        self.poll()
        if self.revision != _head(head):
            return None
        if refusal := self._find_refusal(command, base):
            return refusal
        entry = LogEntry(self.revision + 1, change_id, operator, command)
        return self._append(entry, head)

    def _find_refusal(self, command: Command, base: int) -> Refusal | None:
        for revision in range(base + 1, self.revision + 1):
            raw = self._entries.get(revision)
            if raw is None:
                continue
            entry = decode_entry(raw)
            if subject(entry.command) == subject(command):
                detail = (
                    f"{' '.join(subject(command))}: change {entry.change_id} by "
                    f"{entry.operator} came first, at revision {entry.revision}"
                )
                return Refusal(ErrorKind.CONFLICT, detail)
        try:
            apply(self.current, command)
        except Rejected as rejected:
            return rejected.refusal
        return None

    def _append(self, entry: LogEntry, head: Row) -> Accepted | None:
        raw = encode_entry(entry)
        revision = str(entry.revision)
        writes = (
            Write(HEAD_KEY, revision, expect=head.version),
            Write(entry_key(entry.revision), raw, expect=0),
            Write(change_key(entry.change_id), revision, expect=0),
        )
        try:
            done = self._table.commit(Transaction(writes)).ok
        except ExternalSystemError:
            # The transaction may have been committed although its response was lost.
            done = bool(self._table.read([change_key(entry.change_id)])[0].version)
        if not done:
            return None
        self._put([(raw, entry)])
        if entry.revision % SNAPSHOT_INTERVAL_REVISIONS == 0:
            self._store_snapshot()
        return Accepted(entry.revision)

    def _store_snapshot(self) -> None:
        try:
            self._objects.put(SNAPSHOT_OBJECT, self.snapshot())
        except ExternalSystemError as error:
            get().warning("configuration snapshot not stored", error=str(error))

    def _unreachable(self, error: ExternalSystemError) -> Refusal:
        detail = f"whether the change was taken is not known: {error}; ask again with its id"
        return Refusal(ErrorKind.PLATFORM_DOWN, detail, Ran.UNKNOWN, retry_after=2.0)


def _head(row: Row) -> int:
    return int(row.value) if row.version else 0
