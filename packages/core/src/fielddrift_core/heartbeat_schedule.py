"""Schedule the heartbeats to other nodes, and count those that remain unanswered."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["Relation", "SentHeartbeats", "periods"]

_SECONDS_PER_RECEIVER = 0.015
"""Minimum period for each receiver of a kind: a node sends at most about seventy heartbeats per
second to each kind of neighbour, regardless of their number."""
_DUE_FRACTION = 0.9
"""Fraction of a period after which a heartbeat is due: the sending loop runs in steps."""


class Relation(NamedTuple):
    """How a node relates to another one, which determines what it sends there and how often.

    `near`: both are in the same data centre.  `self_active` and `peer_active`: this node and
    the other one are active.  `infrequent`: both are relays of different data centres, and at
    least one of them is a standby relay.
    """

    near: bool
    self_active: bool
    peer_active: bool
    infrequent: bool = False


_MIN_PERIODS_SECONDS = {
    Relation(near=True, self_active=True, peer_active=True): 0.15,
    Relation(near=True, self_active=True, peer_active=False): 0.25,
    Relation(near=True, self_active=False, peer_active=True): 1.0,
    Relation(near=True, self_active=False, peer_active=False): 3.0,
    Relation(near=False, self_active=True, peer_active=True): 0.3,
    Relation(near=False, self_active=True, peer_active=True, infrequent=True): 0.9,
    Relation(near=False, self_active=True, peer_active=False): 3.0,
    Relation(near=False, self_active=False, peer_active=True): 5.0,
    Relation(near=False, self_active=False, peer_active=False): 10.0,
}
"""Seconds between heartbeats.  Two active nodes need each other's sends while these are in
flight, about 0.3 s.  A standby node must detect within about a second that an active node has
failed, because it answers callers that ask for addresses; it needs the state of other nodes
only once it is active itself."""


def periods(counts: Mapping[bool, int]) -> dict[Relation, float]:
    """Return the seconds between heartbeats for each relation of two nodes.

    `counts` are the numbers of other nodes in this data centre, by whether they are active.
    """
    found = {}
    for relation, period in _MIN_PERIODS_SECONDS.items():
        receivers = counts.get(relation.peer_active, 0) if relation.near else 0
        found[relation] = max(period, receivers * _SECONDS_PER_RECEIVER)
    return found


class _Sent(NamedTuple):
    at: float
    period: float
    unanswered: int


_NEVER_SENT = _Sent(float("-inf"), 0.0, 0)


class SentHeartbeats:
    """The last heartbeat sent to each receiver.  Not thread-safe."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def record_if_due(self, name: str, *, period: float, silent: bool, now: float) -> bool:
        """Return whether a heartbeat to the node `name` is due, and record it as sent if so.

        `silent`: the node is not alive, so this heartbeat counts as unanswered.
        """
        sent = self._sent.get(name, _NEVER_SENT)
        # A longer period is announced at once: the receiver would take this node for dead.
        due = period > sent.period or now - sent.at >= period * _DUE_FRACTION
        if due:
            self._sent[name] = _Sent(now, period, sent.unanswered + 1 if silent else 0)
        return due

    def unanswered(self, name: str) -> int:
        """Return the number of consecutive heartbeats sent to a silent node."""
        return self._sent[name].unanswered if name in self._sent else 0

    def forget(self, name: str) -> None:
        """Remove the record of a receiver."""
        self._sent.pop(name, None)
