"""Track which targets this node reaches by itself, and which only through other nodes.

Fault pattern: a host loses its links to some or all targets for seconds, while callers, the
platform's store and the other hosts still reach it.  New connections hang, are reset or are
refused; open ones fall silent, are reset or live on.

A failed connection has two explanations: the target is gone, or the path from this node to it is
interrupted.  Another node tells them apart: if it connects to the target, the path is interrupted,
and requests go through that node until a direct connection comes up again.  Once this has been
seen for two targets, and no direct connection has come up since, it is presumed for all.

Time is an argument everywhere, in seconds on a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

__all__ = ["DirectPaths", "PathChange"]

_MIN_UNCONNECTED_COUNT = 2
"""Targets that must fail before the node counts as disconnected: one may have ended by itself."""
_CHECK_SECONDS = 1.0
"""Interval between attempts to connect directly to an interrupted target.  A path that is back is
used a second later at most; each attempt takes a place at the target."""
_RECOVERY_CHECK_SECONDS = 0.1
"""The same once a direct connection to another target has come up: most paths fail together."""
_SUSPECT_SECONDS = 2.0
"""Interval between checks of the path to a silent target that accepts connections."""


class PathChange(NamedTuple):
    """A target that is reached only through other nodes now, or directly again.

    `seconds` is for how long it has been or was reached only through other nodes.
    """

    target: str
    interrupted: bool
    seconds: float


class DirectPaths:
    """The direct paths of this node to targets.  Not thread-safe."""

    def __init__(self) -> None:
        self._connected_at: dict[str, float] = {}
        self._failed_since: dict[str, float] = {}
        """By target, when the first of the failures began that no connection has ended."""
        self._interrupted: dict[str, float] = {}
        """By target, when another node was first seen to reach it although this one did not."""
        self._disconnected_at: float | None = None
        """Since when all targets are presumed to be reached through other nodes only."""
        self._checked_at: dict[str, float] = {}
        self._heard_at = -math.inf
        """When bytes of any target last arrived on a direct connection."""
        self._recovering = False
        """Whether a direct connection has come up while paths are interrupted."""

    def __bool__(self) -> bool:
        return bool(self._interrupted)

    # --- observations ---------------------------------------------------------------

    @property
    def unconnected(self) -> int:
        """Return the number of targets whose last direct connection failed."""
        return len(self._failed_since)

    def disconnected_since(self) -> float | None:
        """Return since when no direct connection to any target came up or carried bytes.

        None if there is one.  At least two targets must have failed since then.
        """
        latest = max(self._heard_at, self._latest_connection())
        failed = [since for since in self._failed_since.values() if since > latest]
        return min(failed) if len(failed) >= _MIN_UNCONNECTED_COUNT else None

    def connected(self, target: str, now: float) -> PathChange | None:
        """Record that a direct connection to `target` came up; return what that changes."""
        self._connected_at[target] = now
        self._failed_since.pop(target, None)
        self._disconnected_at = None
        since = self._interrupted.pop(target, None)
        self._recovering = bool(self._interrupted)
        return None if since is None else PathChange(target, False, now - since)

    def failed(self, target: str, now: float) -> None:
        """Record that a direct connection to `target` failed."""
        self._failed_since.setdefault(target, now)
        if target in self._interrupted:
            self._checked_at[target] = now

    def heard(self, now: float) -> None:
        """Record that bytes of a target arrived on a direct connection."""
        self._heard_at = now

    def reached_elsewhere(self, target: str, now: float) -> PathChange | None:
        """Record that another node connected to `target` after this one failed to.

        Return the change, None if it was known.
        """
        if target in self._interrupted:
            return None
        since = self._failed_since.get(target, now)
        self._interrupted[target] = since
        recent = [at for at in self._interrupted.values() if at > self._latest_connection()]
        if len(recent) >= _MIN_UNCONNECTED_COUNT and self._disconnected_at is None:
            self._disconnected_at = min(recent)
        return PathChange(target, True, now - since)

    # --- decisions ------------------------------------------------------------------

    @property
    def interrupted(self) -> int:
        """Return the number of targets that were seen to be reached only by other nodes."""
        return len(self._interrupted)

    @property
    def disconnected(self) -> bool:
        """Return whether this node is presumed to reach no target by itself."""
        return self._disconnected_at is not None

    def is_interrupted(self, target: str) -> bool:
        """Return whether connections to `target` should go through another node."""
        if target in self._interrupted:
            return True
        since = self._disconnected_at
        return since is not None and self._connected_at.get(target, -math.inf) < since

    def is_known(self, target: str) -> bool:
        """Return whether another node was seen to reach `target` when this one did not."""
        return target in self._interrupted

    def is_unconnected(self, target: str) -> bool:
        """Return whether the last direct connection to `target` failed."""
        return target in self._failed_since

    def due_check(self, now: float) -> str | None:
        """Return an interrupted target to which a direct connection should be tried now."""
        if not self._interrupted:
            return None
        target = min(self._interrupted, key=lambda name: self._checked_at.get(name, -math.inf))
        interval = _RECOVERY_CHECK_SECONDS if self._recovering else _CHECK_SECONDS
        last = max(self._checked_at.get(name, -math.inf) for name in self._interrupted)
        if now - last < interval:
            return None
        self._checked_at[target] = now
        return target

    def should_verify(self, target: str, now: float) -> bool:
        """Return whether the path to a silent target should be checked now."""
        if target in self._interrupted:
            return False
        if now - self._checked_at.get(target, -math.inf) < _SUSPECT_SECONDS:
            return False
        self._checked_at[target] = now
        return True

    def expire(self, listed: Collection[str]) -> None:
        """Remove what is known of targets that are not `listed`."""
        for known in (
            self._connected_at,
            self._failed_since,
            self._interrupted,
            self._checked_at,
        ):
            for target in [name for name in known if name not in listed]:
                del known[target]
        if not self._interrupted:
            self._disconnected_at = None

    def _latest_connection(self) -> float:
        return max(self._connected_at.values(), default=-math.inf)
