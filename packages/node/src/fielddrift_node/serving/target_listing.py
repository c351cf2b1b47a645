"""Tell what changed between two moments in the list of targets, for the log."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from fielddrift_core.target_registry import TargetRegistry

__all__ = ["Change", "Listing"]


class Change(NamedTuple):
    """One change: the event of its log line, and the fields that are its own."""

    event: str
    fields: dict[str, object]


class Listing(NamedTuple):
    """What a registry listed at a moment; `lapsed` by the seconds that were left."""

    services: dict[str, str]
    leaving: frozenset[str]
    lapsed: dict[str, float]

    @classmethod
    def of(cls, registry: TargetRegistry, now: float) -> Listing:
        """Return what `registry` lists at the time `now`."""
        services = {target.name: target.service for target in registry.all()}
        return cls(services, registry.leaving(), registry.lapsed(now))

    def changes_since(self, before: Listing) -> Iterator[Change]:
        """Yield what is not as it was `before`."""
        for name in self.services.keys() - before.services.keys():
            yield Change("target heard", {"target": name, "service": self.services[name]})
        for name in self.leaving - before.leaving:
            yield Change("target leaving", {"target": name})
        for name in self.lapsed.keys() - before.lapsed.keys():
            seconds = round(self.lapsed[name], 3)
            yield Change("target entry lapsed", {"target": name, "seconds": seconds})
        for name in before.lapsed.keys() - self.lapsed.keys():
            event = "returned" if name in self.services else "given up"
            yield Change(f"target entry {event}", {"target": name})
        for name in before.services.keys() - self.services.keys() - before.lapsed.keys():
            yield Change("target entry ended", {"target": name})
