"""Play many peers of one node from a single light process.

Each answers pings with a few words, as a member of a fleet of that size
would; together they ping the node once a second, its share of probes.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from typing import Any

from fielddrift_node import peer_pb2 as pb
from fielddrift_node.peer_grpc import PeerBase, PeerStub
from grpclib.client import Channel
from grpclib.server import Server

_KEY_HEADER = "fielddrift-key"
_WORDS_A_PING = 2


class FakePeer(PeerBase):
    """Answer as a healthy member with little news."""

    def __init__(self, *, members: list[pb.Member], rng: random.Random) -> None:
        self._members = members
        self._rng = rng

    def gossip(self, sender: str) -> pb.Gossip:
        """Return a message with the words that a fleet without news passes on."""
        some = self._rng.sample(self._members, min(_WORDS_A_PING, len(self._members)))
        return pb.Gossip(sender=sender, revision=0, heard=0, members=some)

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(self.gossip(self._members[0].name))

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.ProbeReply(answered=True))

    async def Entries(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.EntriesReply())

    async def Snapshot(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.SnapshotReply(configuration=b"[0]", members=self._members))

    async def Claim(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.ClaimReply(word="unknown"))

    async def Request(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.RequestReply(state="unknown"))


async def serve(count: int, node: str, key: str) -> None:
    """Serve `count` peers, and ping `node` once a second, until ended."""
    rng = random.Random(count)
    members: list[pb.Member] = []
    servers = []
    for number in range(count):
        server = Server([FakePeer(members=members, rng=rng)])
        await server.start("127.0.0.1", 0)
        listening: Any = server._server
        port = listening.sockets[0].getsockname()[1]
        name = f"127.0.0.1:{port}"
        members.append(
            pb.Member(name=name, http=name, data_centre=f"dc-{number % 6}", incarnation=1)
        )
        servers.append(server)
    print(json.dumps({"address": members[0].name}), flush=True)
    host, _, port_text = node.rpartition(":")
    stub = PeerStub(Channel(host, int(port_text)))
    peer = FakePeer(members=members, rng=rng)
    while True:
        await asyncio.sleep(1.0)
        try:
            message = peer.gossip(rng.choice(members).name)
            await stub.Ping(message, timeout=0.5, metadata={_KEY_HEADER: key})
        except Exception:
            continue


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2], sys.argv[3]))
