"""Compute the changes between two states of the target registry, for the log."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from fielddrift_core.target_registry import TargetRegistry

__all__ = ["RegistrySnapshot", "TargetChange"]


class TargetChange(NamedTuple):
    """A change, as the event name of its log line and the fields specific to it."""

    event: str
    fields: dict[str, object]


class RegistrySnapshot(NamedTuple):
    """The targets in a registry at one time.

    `lapsed` maps the names of lapsed ones to the seconds for which they are still used.
    """

    services: dict[str, str]
    leaving: frozenset[str]
    lapsed: dict[str, float]

    @classmethod
    def of(cls, registry: TargetRegistry, now: float) -> RegistrySnapshot:
        """Return the state of `registry` at the time `now`."""
        services = {target.name: target.service for target in registry.all()}
        return cls(services, registry.leaving(), registry.lapsed(now))

    def changes_since(self, before: RegistrySnapshot) -> Iterator[TargetChange]:
        """Yield the changes from `before` to this state."""
        for name in self.services.keys() - before.services.keys():
            yield TargetChange("target heard", {"target": name, "service": self.services[name]})
        for name in self.leaving - before.leaving:
            yield TargetChange("target leaving", {"target": name})
        for name in self.lapsed.keys() - before.lapsed.keys():
            seconds = round(self.lapsed[name], 3)
            yield TargetChange("target entry lapsed", {"target": name, "seconds": seconds})
        for name in before.lapsed.keys() - self.lapsed.keys():
            event = "returned" if name in self.services else "given up"
            yield TargetChange(f"target entry {event}", {"target": name})
        for name in before.services.keys() - self.services.keys() - before.lapsed.keys():
            yield TargetChange("target entry ended", {"target": name})
