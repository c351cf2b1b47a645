"""A heartbeat is applied completely or not at all."""

from __future__ import annotations

import unittest

import msgspec
from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours, Relation
from fielddrift_node.serving.gossip import Gossip


def neighbour(name: str, boot: int) -> Neighbour:
    return Neighbour(name, boot, "a", f"{name}:80", f"{name}:81", f"{name}:82")


class TestFormerLife(unittest.IsolatedAsyncioTestCase):
    """A late heartbeat of a former process instance is not applied to the views.

    A failure that was not observed: a node is killed and restarted, and a datagram of its former
    instance arrives after the first one of the new instance. The neighbours ignored it, but its
    sends, leaving targets and loads were still applied.
    """

    async def test_nothing_that_it_tells_is_taken(self) -> None:
        heard: list[int] = []
        gossip = Gossip(
            neighbours=Neighbours(me=neighbour("me", 1)),
            heartbeat=self._heartbeat,
            heard=lambda heartbeat: heard.append(heartbeat.node.boot),
        )
        for node in (neighbour("n1", 9), neighbour("n1", 7), neighbour("me", 0)):
            former = Heartbeat(node, True, False, 1, {}, {})
            gossip.datagram_received(msgspec.msgpack.encode(former), ("127.0.0.1", 1))
        self.assertEqual(heard, [9])

    def _heartbeat(self, standing: Relation) -> Heartbeat:
        return Heartbeat(neighbour("me", 1), True, False, 1, {}, {})
