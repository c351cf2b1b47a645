"""Share a store host's link between imports and exports.

Every node knows a link's rate from the configuration and takes an equal part
of it among the nodes; within its part, imports come before exports, so that
keeping a block never slows the fetching of one.
"""

from __future__ import annotations

__all__ = ["Link"]

_SECONDS_OF_EXPORT_AHEAD = 2.0


class Link:
    """Account for the bytes that this node has under way on one link.

    `rate` is this node's part, in bytes a second.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._importing = 0
        self._exporting = 0

    @property
    def rate(self) -> float:
        """Return this node's part of the link, in bytes a second."""
        return self._rate

    @rate.setter
    def rate(self, rate: float) -> None:
        self._rate = rate

    def import_seconds(self, size: int) -> float:
        """Return how long an import of `size` bytes would take from now."""
        return (self._importing + size) / self._rate

    def may_export(self, size: int) -> bool:
        """Return whether an export fits into what the imports leave."""
        waiting = self._importing + self._exporting + size
        return self._exporting == 0 or waiting / self._rate <= _SECONDS_OF_EXPORT_AHEAD

    def begin(self, size: int, *, export: bool = False) -> None:
        """Count `size` bytes as under way."""
        if export:
            self._exporting += size
        else:
            self._importing += size

    def end(self, size: int, *, export: bool = False) -> None:
        """Count `size` bytes as done, or given up."""
        self.begin(-size, export=export)
