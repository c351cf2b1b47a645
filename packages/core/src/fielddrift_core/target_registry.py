"""Track the live targets, from the platform's feed of their entries.

A target may restart under the same id.  All state of a target is kept under its instance name,
which is unique to one process instance, so that state of an earlier instance is never applied
to a later one.

Entries may lapse while the platform's store is unavailable although their targets are alive;
they are held for a grace period after the store's return.  A target that is leaving gets no new
requests from the first report on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["LAPSE_GRACE_SECONDS", "Instance", "TargetRegistry", "instance_name", "target_id"]

_INSTANCE_SEPARATOR = "#"

LAPSE_GRACE_SECONDS = 2.3
"""Lapsed entries are written again within about two seconds of the store's return."""
RESTORE_GRACE_SECONDS = 4.5
"""Time after a restore of the store from an older copy during which an entry that had already
ended here is ignored.  An entry that is not renewed expires within this time: after three
heartbeats, about four seconds."""
_MAX_ENDED_INSTANCES = 1000
"""Ended and leaving instances that are kept: those of one hour in which each target of a large
fleet is replaced."""


def instance_name(target: str, started: int | None) -> str:
    """Return the name of one process instance of the target with the id `target`.

    `started` is the Unix time of its start in ms, None for a target that does not report it.
    """
    if started is None and target_id(target) == target:
        return target
    return f"{target}{_INSTANCE_SEPARATOR}{'' if started is None else started}"


def target_id(name: str) -> str:
    """Return the id of the target to which an instance name belongs."""
    target, separator, started = name.rpartition(_INSTANCE_SEPARATOR)
    return target if separator and (not started or started.isdigit()) else name


class Instance(NamedTuple):
    """One process instance of a target; `name` is as returned by `instance_name`.

    `versions` are the weight versions that it reported, by model.  `cold_seconds` is the time
    for which it will still be cold.  `software` is the version of its program, empty if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
    slots: int = 0
    versions: Mapping[str, int] = {}
    cold_seconds: float = 0.0
    software: str = ""

    @property
    def target(self) -> str:
        """Return the id of the target."""
        return target_id(self.name)

    @property
    def started(self) -> int | None:
        """Return the Unix time in ms at which the process started, None if the entry tells none."""
        _, separator, started = self.name.rpartition(_INSTANCE_SEPARATOR)
        return int(started) if separator and started.isdigit() else None

    @property
    def tells_process(self) -> bool:
        """Return whether the entry tells the process from others of the target."""
        return self.started is not None


class TargetRegistry:
    """The known targets, by service."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._names: dict[str, str] = {}
        """The name of the listed instance, by target id."""
        self._leaving: set[str] = set()
        self._left: dict[str, None] = {}
        """Names of instances reported to be leaving, listed or not, the latest last.  Neither
        an entry that returns after a lapse nor another node's copy may make them ready again."""
        self._replaced: dict[str, None] = {}
        """Names of instances at whose addresses another process was found, the latest last.  They
        have ended, and their entries stay until those of the other processes come; or they have not
        begun, and a former target still holds their address."""
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._lapse_grace_until = 0.0
        self._evacuated: frozenset[str] = frozenset()
        self._ended: dict[str, None] = {}
        """Names of ended instances, the latest last."""
        self._unconfirmed: dict[str, Instance] = {}
        """Entries of the copy from which the store was restored, whose instances had ended."""
        self._restore_grace_until = 0.0
        self._software: tuple[int, Mapping[str, frozenset[str]]] = (-1, {})
        """The software versions by service, and the serial of which that is true."""
        self.serial = 0
        """Incremented with each change of the listed or lapsed entries."""

    def __len__(self) -> int:
        return len(self._instances)

    def get(self, name: str) -> Instance | None:
        """Return the instance called `name`, or None."""
        return self._instances.get(name)

    def serving(self, service: str) -> list[Instance]:
        """Return the instances of `service` that get new requests."""
        return self._by_service.get(service, [])

    def idle(self, service: str) -> list[Instance]:
        """Return the instances of `service` that are evacuated: they stay but get no requests."""
        return [
            instance
            for instance in self._instances.values()
            if instance.service == service
            and instance.data_centre in self._evacuated
            and instance.name not in self._leaving
            and instance.name not in self._replaced
        ]

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose targets get no new requests."""
        return self._evacuated

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose targets get no new requests."""
        self._evacuated = data_centres
        self._reindex()

    def all(self) -> Iterable[Instance]:
        """Return all known instances, including leaving and evacuated ones."""
        return self._instances.values()

    def software(self) -> Mapping[str, frozenset[str]]:
        """Return the known software versions of the listed instances, by service."""
        if self._software[0] != self.serial:
            found: dict[str, set[str]] = {}
            for instance in self._instances.values():
                if instance.software:
                    found.setdefault(instance.service, set()).add(instance.software)
            versions = {service: frozenset(names) for service, names in found.items()}
            self._software = (self.serial, versions)
        return self._software[1]

    def store_returned(self, now: float) -> None:
        """Record that the store is available again, at `now`, after it was unavailable."""
        self._lapse_grace_until = now + LAPSE_GRACE_SECONDS
        for name, until in self._lapsed.items():
            if until <= now:
                # Spared because the store was unavailable again: its entry may return as well.
                self._lapsed[name] = self._lapse_grace_until

    def store_restored(self, now: float) -> None:
        """Record that the store was restored from an older copy, before it is read again.

        Entries missing from it may have been written after the copy was made: their targets
        write them again.  Entries that had ended here may be in the copy: they end unless they
        are renewed.
        """
        self.store_returned(now)
        self._restore_grace_until = now + RESTORE_GRACE_SECONDS

    def in_grace_period(self, now: float) -> bool:
        """Return whether entries may have lapsed with the store, and so may return soon."""
        return now < self._lapse_grace_until

    def heard(self, instance: Instance, now: float) -> None:
        """Add or update an entry; a different instance of the same target has ended."""
        self._ended.pop(instance.name, None)
        self._unconfirmed.pop(instance.name, None)
        former = self._names.get(instance.target)
        if former is not None and former != instance.name:
            self._remove(former)
        returned = self._lapsed.pop(instance.name, None) is not None
        if instance.leaving:
            _remember(self._left, instance.name)
        if instance.name in self._left:
            self._leaving.add(instance.name)
        # A return is a change also for nodes that have copied the entry as lapsed: they would
        # remove it otherwise.
        if returned or self._instances.get(instance.name) != instance:
            self._instances[instance.name] = instance
            self._names[instance.target] = instance.name
            self._changed()

    def entry_ended(self, target: str, now: float) -> None:
        """Record the end of a target's entry; in a grace period it is held as lapsed first."""
        for unconfirmed in [n for n in self._unconfirmed if target_id(n) == target]:
            del self._unconfirmed[unconfirmed]
        name = self._names.get(target, target)
        if name not in self._instances or name in self._lapsed:
            return
        if self.in_grace_period(now):
            self._lapsed[name] = self._lapse_grace_until
            self._changed()
            return
        self._remove(name)

    def drop(self, target: str) -> None:
        """Remove a target whose entry is invalid, also in a grace period."""
        name = self._names.get(target)
        if name is not None:
            self._remove(name)

    def replaced(self, entries: Iterable[Instance], now: float) -> None:
        """Apply a complete list of entries."""
        listed = {entry.name: entry for entry in entries}
        for entry in listed.values():
            if now < self._restore_grace_until and entry.name in self._ended:
                self._unconfirmed[entry.name] = entry
            else:
                self.heard(entry, now)
        for name in [n for n in self._instances if n not in listed]:
            self.entry_ended(target_id(name), now)

    def left(self, name: str) -> None:
        """Record the first report, from any source, that an instance is leaving."""
        _remember(self._left, name)
        if name in self._instances and name not in self._leaving:
            self._leaving.add(name)
            self._changed()

    def process_replaced(self, name: str) -> bool:
        """Record that another process was found at the address of an instance.

        Return whether that was not known before.
        """
        if name in self._replaced:
            return False
        _remember(self._replaced, name)
        if name in self._instances:
            self._changed()
        return True

    def process_found(self, name: str) -> None:
        """Record that the process of an instance was found at its address after all."""
        if name in self._replaced:
            del self._replaced[name]
            self._changed()

    def replaced_instances(self) -> list[Instance]:
        """Return the listed instances at whose addresses another process was found."""
        return [self._instances[name] for name in self._replaced if name in self._instances]

    def is_replaced(self, name: str) -> bool:
        """Return whether another process was found at the address of an instance."""
        return name in self._replaced

    def apply_copy(
        self,
        entries: Iterable[Instance],
        leaving: Iterable[str],
        lapsed: Mapping[str, float] = {},
        *,
        lost: bool = False,
    ) -> None:
        """Apply another node's complete list; `lapsed` gives until when it holds lapsed entries.

        This node holds such an entry no longer than either node, and only if it lists the entry
        and has `lost` the store too: for a node that has not, the entry has ended.
        """
        # A held entry must stay in `lapsed`: its end is before this list and is not reported
        # again, so it would never be removed.
        held = {
            name: min(until, self._lapsed.get(name, until))
            for name, until in lapsed.items()
            if name in self._lapsed or (lost and name in self._instances)
        }
        before = self._instances
        self._instances = {e.name: e for e in entries if e.name in held or e.name not in lapsed}
        for name in before.keys() - self._instances.keys():
            self._record_end(name)
        for name in self._instances:
            self._ended.pop(name, None)
        self._names = {e.target: name for name, e in self._instances.items()}
        self._lapsed = held
        reported = {*leaving, *(e.name for e in self._instances.values() if e.leaving)}
        for name in reported - self._left.keys():
            _remember(self._left, name)
        self._leaving = self._left.keys() & self._instances.keys()
        self._changed()

    def leaving(self) -> frozenset[str]:
        """Return the names of the listed instances that are leaving."""
        return frozenset(self._leaving)

    def lapsed(self, now: float) -> dict[str, float]:
        """Return the seconds for which each lapsed entry is still held."""
        return {name: until - now for name, until in self._lapsed.items()}

    def tick(self, now: float, *, away: bool = False) -> None:
        """Remove lapsed entries whose grace period has ended.

        While the store is `away`, entries are kept if all entries of their service have lapsed:
        then the store has probably lost them, rather than the whole service having ended.
        """
        if self._unconfirmed and now >= self._restore_grace_until:
            # They have not ended since the store was restored, so their targets are alive.
            for instance in list(self._unconfirmed.values()):
                self.heard(instance, now)
        for name in [n for n, until in self._lapsed.items() if now >= until]:
            if not away or self._has_unlapsed(self._instances[name].service):
                self._remove(name)

    def _has_unlapsed(self, service: str) -> bool:
        return any(
            instance.service == service and instance.name not in self._lapsed
            for instance in self._instances.values()
        )

    def _remove(self, name: str) -> None:
        self._lapsed.pop(name, None)
        if self._instances.pop(name, None) is not None:
            self._record_end(name)
        if self._names.get(target_id(name)) == name:
            del self._names[target_id(name)]
        self._leaving.discard(name)
        self._changed()

    def _record_end(self, name: str) -> None:
        _remember(self._ended, name)

    def _changed(self) -> None:
        self.serial += 1
        self._reindex()

    def _reindex(self) -> None:
        by_service: dict[str, list[Instance]] = {}
        for instance in self._instances.values():
            unusable = instance.name in self._leaving or instance.name in self._replaced
            if not unusable and instance.data_centre not in self._evacuated:
                by_service.setdefault(instance.service, []).append(instance)
        self._by_service = by_service


def _remember(names: dict[str, None], name: str) -> None:
    """Add `name` to an ordered set, and evict the oldest one beyond the maximum size."""
    names[name] = None
    if len(names) > _MAX_ENDED_INSTANCES:
        del names[next(iter(names))]
