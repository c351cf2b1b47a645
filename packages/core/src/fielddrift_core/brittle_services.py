"""Keep targets that crash when they reject too much from having to reject requests.

Load pattern: under overload the targets of a service report that each of them fails if it rejects
more than a few requests in a second.  Every node that sends to a full target costs it one
rejection, and nodes know each other's sends only after a heartbeat, so that each rejection from
which a node learns is one too many.

While a service is brittle its targets are divided among the active nodes of all data centres.  A
node knows its own sends exactly, so its part of a target's room is never exceeded.  One that has no
part, such as a standby node, uses mostly idle targets with one request at a time.  A target that
rejected requests is left alone for a second.

Time is an argument everywhere, in seconds on a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple

__all__ = ["BrittleReport", "BrittleServices", "NodePosition", "Share", "divide"]

_HOLD_SECONDS = 3.0
"""Time after the last notice for which a service counts as brittle.  Each answer renews it."""
_WINDOW_SECONDS = 1.0
"""Time in which a target's rejections are counted."""
_MIN_RENEWAL_SECONDS = 0.5
"""By how much another node's report must be newer.  Otherwise reports that nodes send back and
forth would renew a notice for ever, because of their transit time."""
_IDLE_FRACTION = 1 / 3
"""Fraction of its room up to which a target counts as mostly idle."""


class BrittleReport(NamedTuple):
    """What a target of `service` stated `age` seconds ago.

    It fails if it rejects more than `tolerance` requests in a second.
    """

    service: str
    tolerance: int
    age: float


class NodePosition(NamedTuple):
    """The place of a node: how many active nodes are `before` it in their order, and `all`."""

    before: int
    all: int


class Share(NamedTuple):
    """How this node may use a target: as one of `owners` nodes, or as none of them for 0."""

    owners: int

    def has_room(self, *, own: int, known: int, need: int, capacity: int) -> bool:
        """Return whether a request that needs `need` of a target's `capacity` may be sent.

        `own` is what this node's requests take there, and `known` what those of all nodes take.
        An idle owner may send one request that is larger than its part.
        """
        if not self.owners:
            return own == 0 and known <= _IDLE_FRACTION * capacity
        return own == 0 or (own + need <= capacity / self.owners and known + need <= capacity)


class _Notice(NamedTuple):
    tolerance: int
    at: float


def divide(targets: Sequence[str], position: NodePosition | None) -> dict[str, Share]:
    """Return how the node at `position` may use each of `targets`, which all nodes sort alike.

    Each node owns one target at least, and each target has owners, as evenly as possible.  What
    belongs to others is left out.  A node without a position owns none, and may use any.
    """
    if position is None or not targets:
        return dict.fromkeys(targets, Share(0))
    count, size = position.all, len(targets)
    if count < size:
        first, last = position.before * size // count, (position.before + 1) * size // count
        return dict.fromkeys(targets[first:last], Share(1))
    target = position.before * size // count
    owners = sum(index * size // count == target for index in range(count))
    return {targets[target]: Share(owners)}


class BrittleServices:
    """The services whose targets are brittle, and their rejections.  Not thread-safe."""

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}
        self._rejections: dict[str, deque[float]] = {}
        """By target, when it rejected this node's requests in the last second."""

    def __bool__(self) -> bool:
        return bool(self._notices)

    def __len__(self) -> int:
        return len(self._notices)

    def named(self, service: str, tolerance: int, now: float) -> bool:
        """Record a notice of a target; return whether the service was not brittle before."""
        known = self._notices.get(service)
        self._notices[service] = _Notice(tolerance, now)
        return known is None

    def merge(self, report: BrittleReport, now: float) -> bool:
        """Merge another node's report; return whether the service was not brittle before."""
        at = now - report.age
        known = self._notices.get(report.service)
        if at <= now - _HOLD_SECONDS:
            return False
        if known is not None and at <= known.at + _MIN_RENEWAL_SECONDS:
            return False
        return self.named(report.service, report.tolerance, at)

    def reports(self, now: float) -> list[BrittleReport]:
        """Return the reports for other nodes."""
        return [
            BrittleReport(service, notice.tolerance, now - notice.at)
            for service, notice in self._notices.items()
        ]

    def is_brittle(self, service: str) -> bool:
        """Return whether the targets of `service` are brittle."""
        return service in self._notices

    def rejected(self, target: str, now: float) -> None:
        """Record that a target rejected a request of this node for want of room."""
        self._recent_rejections(target, now).append(now)

    def wait(self, service: str, target: str, now: float, *, nodes: int) -> float:
        """Return the seconds for which a target is left alone because it rejected requests.

        A node uses up no more than its part of what the target tolerates, but a single rejection
        at least.
        """
        notice = self._notices.get(service)
        if notice is None or target not in self._rejections:
            return 0.0
        times = self._recent_rejections(target, now)
        allowed = max(1, notice.tolerance // max(1, nodes))
        return times[-allowed] + _WINDOW_SECONDS - now if len(times) >= allowed else 0.0

    def expire(self, targets: Collection[str], now: float) -> list[str]:
        """Remove old notices, and rejections of other targets than `targets`.

        Return the services that are brittle no longer.
        """
        ended = [name for name, notice in self._notices.items() if now - notice.at > _HOLD_SECONDS]
        for name in ended:
            del self._notices[name]
        for name in [name for name in self._rejections if name not in targets]:
            del self._rejections[name]
        return ended

    def _recent_rejections(self, target: str, now: float) -> deque[float]:
        """Return the times of a target's rejections within the last second."""
        times = self._rejections.setdefault(target, deque())
        while times and times[0] <= now - _WINDOW_SECONDS:
            times.popleft()
        return times
