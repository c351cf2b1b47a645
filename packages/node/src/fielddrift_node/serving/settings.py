"""Settings of a serving node."""

from __future__ import annotations

from typing import NamedTuple

from fielddrift_core.outside_values import ValueOutOfRange, address_of

__all__ = ["Bounds", "NodeSettings", "SettingsError"]


class SettingsError(Exception):
    """Raised for invalid settings; the message names the setting and its value."""


class Bounds(NamedTuple):
    """Limits that the operators of a deployment set; times are in seconds.

    `drain` is the maximum time for which a leaving target gets new work, `grace` the maximum
    duration of a shutdown, `handover_pause` the pause between orders of two duty holders,
    `weights` the maximum time for which requests may start on outdated weights, `entry_cache`
    the time for which callers cache an entry response, and `change` the time after which a
    configuration change must be in force.  Retries within `retry_window` are limited to
    `retry_ratio` times the requests plus `retry_slack`.  A cold target gets at most
    `cold_overage` times its capacity in requests per second plus `cold_slack`.
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
        """Return the maximum age in seconds of a node's view of operators' and targets' rows."""
        return min(self.drain, self.change)


class NodeSettings(NamedTuple):
    """Location and listening addresses (IP:PORT) of a node.

    `capacity` is the number of requests per second that its host can handle, `memory_limit` the
    memory in bytes above which the process is killed, 0 if that is unknown.
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
    memory_limit: int = 0

    def checked(self, place: str) -> NodeSettings:
        """Return these settings; raise `SettingsError` if a listening address cannot be one."""
        addresses = {"entry": self.entry, "ready": self.ready, "directory": self.directory}
        # A node may have no address for other nodes.
        if self.peer:
            addresses["peer"] = self.peer
        for field, address in addresses.items():
            try:
                address_of(field, address)
            except ValueOutOfRange as error:
                raise SettingsError(f"{place}: {error}") from None
        return self
