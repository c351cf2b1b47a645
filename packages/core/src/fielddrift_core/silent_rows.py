"""Tell which rows of a list of nodes stand for nodes that are gone."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = ["SilentRows"]

_SILENT_LOOKS = 5
"""Looks in a row at which a node was not heard before its row counts as left behind:
some ten minutes for the node that looks most often, longer than any restart takes."""


class _Silent(NamedTuple):
    version: int
    looks: int


class SilentRows:
    """Rows whose nodes were not heard, look after look.  Not safe for threads.

    Looks are counted, not seconds: a process that was paused heard nobody meanwhile.
    """

    def __init__(self) -> None:
        self._silent: dict[str, _Silent] = {}

    def look(self, versions: Mapping[str, int], heard: Collection[str]) -> None:
        """Take the listed rows' versions by node, and the names of those that are heard.

        A node that hears nobody may itself be the one that is cut off: it counts nothing.
        """
        if not heard:
            self._silent.clear()
            return
        before, self._silent = self._silent, {}
        for name, version in versions.items():
            if name in heard:
                continue
            known = before.get(name, _Silent(version, 0))
            # A new version is a start: the node may not have been heard yet.
            looks = known.looks + 1 if known.version == version else 1
            self._silent[name] = _Silent(version, looks)

    def left_behind(self) -> dict[str, int]:
        """Return the versions of the rows whose nodes were silent at many looks, by node."""
        return {
            name: silent.version
            for name, silent in self._silent.items()
            if silent.looks >= _SILENT_LOOKS
        }
