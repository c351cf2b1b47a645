"""Hold what a serving node is told at its start."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Bounds", "NodeSettings", "SettingsError"]


class SettingsError(Exception):
    """Settings that cannot be used; the message names the place and the value."""


class Bounds(NamedTuple):
    """Times in seconds that a deployment promises; they come from its operators.

    `drain` bounds new work at a target after its leaving was told, `grace`
    how long a stop may take, `turn` the pause between orders of two holders,
    `weights` how long requests may begin on older weights, `entry_cache` how
    long callers keep an entry answer.  Repeated sends within `retry_window`
    are at most `retry_ratio` of the requests and `retry_slack`.  `change` is the time
    after which a change of the configuration must be in force.  A cold target gets at most
    `cold_overage` times the requests a second that it bears, and `cold_slack`.
    """

    drain: float
    grace: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    handover_pause: float
    weights: float
    entry_cache: float
    change: float = 2.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0

    @property
    def staleness(self) -> float:
        """Return the seconds within which a node must know what operators and targets wrote."""
        return min(self.drain, self.change)


class NodeSettings(NamedTuple):
    """Where a node is and listens.  Addresses are IP:PORT.

    `capacity` is the requests a second that its host carries.
    """

    name: str
    host: str
    data_centre: str
    region: str
    entry: str
    ready: str
    directory: str
    peer: str
    gossip_port: int
    metrics: str
    seeds: tuple[str, ...]
    bounds: Bounds
    capacity: float = 1.0
