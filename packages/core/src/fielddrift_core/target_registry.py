"""Follow which targets live, from the platform's feed of their entries.

A target may start again under the id that it had.  Everything that is known of a target
goes by the name of its life, which no other life has, so nothing known of an earlier
one is taken for true of a later one.

Entries may lapse while the platform's store is away, although their targets
live; those get a short respite after its return.  A target that is leaving
gets no new work from the first word on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["RESPITE_SECONDS", "Instance", "TargetRegistry", "life_name", "target_id"]

_LIFE_MARK = "#"

RESPITE_SECONDS = 2.3
"""Lapsed entries are back within about two seconds of the store's return."""
DOUBT_SECONDS = 4.5
"""How long an entry that had ended here is doubted when it stands in a copy that the store came
back from: one that nobody renews goes after three heartbeats, some four seconds."""
_MOST_ENDED = 1000
"""Lives that are remembered which have ended, or said that they leave: those of an hour in which
each target of a large fleet is replaced."""


def life_name(target: str, started: int | None) -> str:
    """Return the name of one life of the target with the id `target`.

    `started` is the Unix time of its start in ms, None for a target that does not tell.
    """
    if started is None and target_id(target) == target:
        return target
    return f"{target}{_LIFE_MARK}{'' if started is None else started}"


def target_id(name: str) -> str:
    """Return the id that a target gives itself, from the name of one of its lives."""
    target, mark, started = name.rpartition(_LIFE_MARK)
    return target if mark and (not started or started.isdigit()) else name


class Instance(NamedTuple):
    """One life of a target; `name` is the life's, as `life_name` gives it.

    `versions` are the weight versions that it said to have, by model.
    """

    name: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
    slots: int = 0
    versions: Mapping[str, int] = {}
    warming: float = 0.0

    @property
    def target(self) -> str:
        """Return the id that the target gives itself."""
        return target_id(self.name)


class TargetRegistry:
    """The targets that are known, by service."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._lives: dict[str, str] = {}
        """The name of the life that is listed, by target id."""
        self._leaving: set[str] = set()
        self._left: dict[str, None] = {}
        """Names of lives that have said that they leave, listed or not, the last ones last: an
        entry that lapses with the store and returns, or a copy, must not make them ready."""
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._respite_until = 0.0
        self._evacuated: frozenset[str] = frozenset()
        self._ended: dict[str, None] = {}
        """Names of lives that have ended, the last ones last."""
        self._doubted: dict[str, Instance] = {}
        """Entries of a copy that the store came back from, whose lives had ended here."""
        self._doubted_until = 0.0
        self.serial = 0
        """Rises with each change of what is listed or lapsed."""

    def __len__(self) -> int:
        return len(self._instances)

    def get(self, name: str) -> Instance | None:
        """Return the instance called `name`."""
        return self._instances.get(name)

    def serving(self, service: str) -> list[Instance]:
        """Return the instances of `service` that take new work."""
        return self._by_service.get(service, [])

    def idle(self, service: str) -> list[Instance]:
        """Return the instances of `service` that stay and get nothing: the evacuated ones."""
        return [
            instance
            for instance in self._instances.values()
            if instance.service == service
            and instance.data_centre in self._evacuated
            and instance.name not in self._leaving
        ]

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose targets get no new work."""
        return self._evacuated

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Take the data centres, all of them, whose targets get no new work."""
        self._evacuated = data_centres
        self._index()

    def all(self) -> Iterable[Instance]:
        """Return every instance that is known, leaving and evacuated ones too."""
        return self._instances.values()

    def store_returned(self, now: float) -> None:
        """Note that the store answers again, at `now`, after it was away."""
        self._respite_until = now + RESPITE_SECONDS
        for name, until in self._lapsed.items():
            if until <= now:
                # Spared while the store was away once more: it may be back by now too.
                self._lapsed[name] = self._respite_until

    def store_went_back(self, now: float) -> None:
        """Note that the store has come back from an older copy of itself, before it is read.

        Entries that it lacks may have been written since the copy: their targets write them
        again.  Those that had ended here may stand in it: they go when nobody renews them.
        """
        self.store_returned(now)
        self._doubted_until = now + DOUBT_SECONDS

    def in_respite(self, now: float) -> bool:
        """Return whether entries may still have lapsed unseen, and so be back soon."""
        return now < self._respite_until

    def heard(self, instance: Instance, now: float) -> None:
        """Take an entry; what another life of the same target had there has ended."""
        self._ended.pop(instance.name, None)
        self._doubted.pop(instance.name, None)
        former = self._lives.get(instance.target)
        if former is not None and former != instance.name:
            self._remove(former)
        returned = self._lapsed.pop(instance.name, None) is not None
        if instance.leaving:
            _remember(self._left, instance.name)
        if instance.name in self._left:
            self._leaving.add(instance.name)
        # Who copied the entry as lapsed gives it up unless it hears of the return.
        if returned or self._instances.get(instance.name) != instance:
            self._instances[instance.name] = instance
            self._lives[instance.target] = instance.name
            self._sort()

    def gone(self, target: str, now: float) -> None:
        """Take the end of a target's entry; during a respite, wait for its return first."""
        for doubted in [n for n in self._doubted if target_id(n) == target]:
            del self._doubted[doubted]
        name = self._lives.get(target, target)
        if name not in self._instances or name in self._lapsed:
            return
        if self.in_respite(now):
            self._lapsed[name] = self._respite_until
            self._sort()
            return
        self._remove(name)

    def drop(self, target: str) -> None:
        """Take that a target's entry names none, whatever its end would be."""
        name = self._lives.get(target)
        if name is not None:
            self._remove(name)

    def replaced(self, entries: Iterable[Instance], now: float) -> None:
        """Take a whole list of entries."""
        listed = {entry.name: entry for entry in entries}
        for entry in listed.values():
            if now < self._doubted_until and entry.name in self._ended:
                self._doubted[entry.name] = entry
            else:
                self.heard(entry, now)
        for name in [n for n in self._instances if n not in listed]:
            self.gone(target_id(name), now)

    def left(self, name: str) -> None:
        """Note a first sign that an instance is leaving, from whoever had it."""
        _remember(self._left, name)
        if name in self._instances and name not in self._leaving:
            self._leaving.add(name)
            self._sort()

    def copied(
        self,
        entries: Iterable[Instance],
        leaving: Iterable[str],
        lapsed: Mapping[str, float] = {},
        *,
        lost: bool = False,
    ) -> None:
        """Take another node's whole list; `lapsed` gives until when it holds what has ended.

        This node holds such an entry no longer than either of them, and only if it lists
        it and has `lost` the store too: for a node that has not, the entry has ended.
        """
        # A held entry that was taken for settled would stay: its end lies behind this list.
        held = {
            name: min(until, self._lapsed.get(name, until))
            for name, until in lapsed.items()
            if name in self._lapsed or (lost and name in self._instances)
        }
        before = self._instances
        self._instances = {e.name: e for e in entries if e.name in held or e.name not in lapsed}
        for name in before.keys() - self._instances.keys():
            self._note_ended(name)
        for name in self._instances:
            self._ended.pop(name, None)
        self._lives = {e.target: name for name, e in self._instances.items()}
        self._lapsed = held
        told = {*leaving, *(e.name for e in self._instances.values() if e.leaving)}
        for name in told - self._left.keys():
            _remember(self._left, name)
        self._leaving = self._left.keys() & self._instances.keys()
        self._sort()

    def leaving(self) -> frozenset[str]:
        """Return the names of instances known to be leaving."""
        return frozenset(self._leaving)

    def lapsed(self, now: float) -> dict[str, float]:
        """Return the seconds for which each lapsed entry is still held."""
        return {name: until - now for name, until in self._lapsed.items()}

    def tick(self, now: float, *, away: bool = False) -> None:
        """Give up lapsed entries whose respite is over.

        While the store is `away`, those of a service all of whose entries have lapsed are
        spared: where a whole service seems to be gone, it is the store that lost it.
        """
        if self._doubted and now >= self._doubted_until:
            # Nobody has ended them since: their targets live.
            for instance in list(self._doubted.values()):
                self.heard(instance, now)
        for name in [n for n, until in self._lapsed.items() if now >= until]:
            if not away or self._has_settled(self._instances[name].service):
                self._remove(name)

    def _has_settled(self, service: str) -> bool:
        return any(
            instance.service == service and instance.name not in self._lapsed
            for instance in self._instances.values()
        )

    def _remove(self, name: str) -> None:
        self._lapsed.pop(name, None)
        if self._instances.pop(name, None) is not None:
            self._note_ended(name)
        if self._lives.get(target_id(name)) == name:
            del self._lives[target_id(name)]
        self._leaving.discard(name)
        self._sort()

    def _note_ended(self, name: str) -> None:
        _remember(self._ended, name)

    def _sort(self) -> None:
        self.serial += 1
        self._index()

    def _index(self) -> None:
        by_service: dict[str, list[Instance]] = {}
        for instance in self._instances.values():
            if instance.name not in self._leaving and instance.data_centre not in self._evacuated:
                by_service.setdefault(instance.service, []).append(instance)
        self._by_service = by_service


def _remember(names: dict[str, None], name: str) -> None:
    names[name] = None
    if len(names) > _MOST_ENDED:
        del names[next(iter(names))]
