"""Detect rows in the list of nodes whose nodes no longer exist."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = ["SilentRows"]

_MIN_SILENT_CHECKS = 5
"""Consecutive checks without a heartbeat from a node before its row counts as abandoned: about
ten minutes for the node that checks most often, which is longer than any restart."""


class _Silent(NamedTuple):
    version: int
    checks: int


class SilentRows:
    """Rows whose nodes were silent, with the number of consecutive checks.  Not thread-safe.

    Checks are counted instead of seconds, because a process that was paused has received no
    heartbeats in the meantime.
    """

    def __init__(self) -> None:
        self._silent: dict[str, _Silent] = {}

    def check(self, versions: Mapping[str, int], heard: Collection[str]) -> None:
        """Record a check of the rows, given their versions by node and the live nodes.

        Without any live node this one may itself be partitioned: all counts are reset.
        """
        if not heard:
            self._silent.clear()
            return
        before, self._silent = self._silent, {}
        for name, version in versions.items():
            if name in heard:
                continue
            known = before.get(name, _Silent(version, 0))
            # A new version means a restart: the node may not have sent a heartbeat yet.
            checks = known.checks + 1 if known.version == version else 1
            self._silent[name] = _Silent(version, checks)

    def abandoned(self) -> dict[str, int]:
        """Return the versions of the rows whose nodes were silent at many checks, by node."""
        return {
            name: silent.version
            for name, silent in self._silent.items()
            if silent.checks >= _MIN_SILENT_CHECKS
        }
