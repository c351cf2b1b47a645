"""Speak with the other nodes over grpclib.

One thread runs grpclib's event loop; the rest of the node uses futures.  The
peers' key travels with every call; without it nothing is answered.
"""

from __future__ import annotations

import asyncio
import hmac
import threading
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future
from typing import Any, Protocol, TypedDict, TypeVar

from fielddrift_core.claims import AttemptStatus, ClaimRow
from fielddrift_core.crashes import Crash, CrashUpdate
from fielddrift_core.interfaces import ExternalSystemError
from fielddrift_core.membership import Member, Status, TargetWord
from grpclib.client import Channel
from grpclib.const import Status as GrpcStatus
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from . import peer_pb2 as pb
from .clock import SuspendAwareLoop
from .log import get
from .metrics import Metrics
from .peer_grpc import PeerBase, PeerStub

__all__ = [
    "PeerAnswers",
    "Peers",
    "crashes_from",
    "crashes_to",
    "member_from",
    "member_to",
    "word_from",
    "word_to",
]

_KEY_HEADER = "fielddrift-key"
_CALL_SECONDS = 0.5
_HEADER_BYTES = 60
_MOST_MEMBERS = 64
_T = TypeVar("_T")


class PeerAnswers(Protocol):
    """What a node answers to its peers."""

    def gossip(self, heard: pb.Gossip) -> pb.Gossip:
        """Take a peer's words in; return our own."""

    def probe(self, name: str) -> bool:
        """Probe a member for a peer; return whether it answered."""

    def entries(self, first: int, last: int) -> list[str]:
        """Return configuration entries."""

    def snapshot(self) -> pb.SnapshotReply:
        """Return the whole configuration, and all members."""

    def claim(self, claimant: str, attempt: str) -> AttemptStatus:
        """Return our word on one of our attempts."""

    def request(self, customer: str, request_id: str) -> str:
        """Return the state of one of our requests."""


# --- converting ------------------------------------------------------------


def member_to(member: Member) -> pb.Member:
    """Return `member` as a message."""
    return pb.Member(
        name=member.name,
        http=member.http,
        data_centre=member.data_centre,
        incarnation=member.incarnation,
        status=int(member.status),
    )


def member_from(message: pb.Member) -> Member:
    """Return the member in `message`; raise ValueError when it is malformed."""
    if not message.name or not message.http:
        raise ValueError(f"member: {message.name!r}, expected a name and an address")
    return Member(
        message.name,
        message.http,
        message.data_centre,
        message.incarnation,
        Status(message.status),
    )


def word_to(word: TargetWord) -> pb.TargetWord:
    """Return `word` as a message."""
    return pb.TargetWord(target=word.target, epoch=word.epoch, leaving=word.leaving)


def word_from(message: pb.TargetWord) -> TargetWord:
    """Return the word in `message`; raise ValueError when it is malformed."""
    if not message.target:
        raise ValueError("target word: empty target, expected a name")
    return TargetWord(message.target, message.epoch, message.leaving)


# --- serving ---------------------------------------------------------------


class CrashFields(TypedDict):
    """What a message says of crashes."""

    crashes: list[pb.Crash]
    cleared: list[pb.Since]
    living: list[pb.Since]


def crashes_to(news: CrashUpdate) -> CrashFields:
    """Return the message's fields for news of crashes."""
    return CrashFields(
        crashes=[
            pb.Crash(fingerprint=c.fingerprint, target=c.target, ago=c.at, ran=c.ran)
            for c in news.crashes
        ],
        cleared=[pb.Since(name=name, ago=ago) for name, ago in news.cleared],
        living=[pb.Since(name=name, ago=ago) for name, ago in news.living],
    )


def crashes_from(message: pb.Gossip) -> CrashUpdate:
    """Return the news of crashes in a message."""
    return CrashUpdate(
        crashes=tuple(Crash(c.fingerprint, c.target, c.ago, c.ran) for c in message.crashes),
        cleared=tuple((each.name, each.ago) for each in message.cleared),
        living=tuple((each.name, each.ago) for each in message.living),
    )


class _PeerServer(PeerBase):
    """Answer peers; blocking answers run in the loop's default executor."""

    def __init__(self, *, answers: PeerAnswers, key: str, metrics: Metrics) -> None:
        self._answers = answers
        self._key = key
        self._metrics = metrics

    async def _take(self, stream: Any) -> Any:
        given = stream.metadata.get(_KEY_HEADER, "")
        if not hmac.compare_digest(str(given), self._key):
            raise GRPCError(GrpcStatus.UNAUTHENTICATED, "peer key: missing or wrong")
        message = await stream.recv_message()
        if message is None:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, "message: missing, expected one")
        self._metrics.add("peers.received", message.ByteSize() + _HEADER_BYTES)
        return message

    async def _give(self, stream: Any, make: Callable[[], Any]) -> None:
        loop = asyncio.get_running_loop()
        try:
            reply = await loop.run_in_executor(None, make)
        except ValueError as error:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, str(error)) from None
        self._metrics.add("peers.sent", reply.ByteSize() + _HEADER_BYTES)
        await stream.send_message(reply)

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        message = await self._take(stream)
        if len(message.members) > _MOST_MEMBERS:
            detail = f"members: {len(message.members)}, expected at most {_MOST_MEMBERS}"
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, detail)
        await self._give(stream, lambda: self._answers.gossip(message))

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        message = await self._take(stream)
        await self._give(stream, lambda: pb.ProbeReply(answered=self._answers.probe(message.name)))

    async def Entries(self, stream: Any) -> None:  # noqa: N802
        message = await self._take(stream)
        await self._give(
            stream,
            lambda: pb.EntriesReply(entries=self._answers.entries(message.first, message.last)),
        )

    async def Snapshot(self, stream: Any) -> None:  # noqa: N802
        await self._take(stream)
        await self._give(stream, self._answers.snapshot)

    async def Claim(self, stream: Any) -> None:  # noqa: N802
        message = await self._take(stream)
        await self._give(
            stream,
            lambda: pb.ClaimReply(word=self._answers.claim(message.claimant, message.attempt)),
        )

    async def Request(self, stream: Any) -> None:  # noqa: N802
        message = await self._take(stream)
        await self._give(
            stream,
            lambda: pb.RequestReply(
                state=self._answers.request(message.customer, message.request_id)
            ),
        )


class Peers:
    """Call peers and serve them; calls block and raise `ExternalSystemError`."""

    def __init__(self, *, address: str, key: str, answers: PeerAnswers, metrics: Metrics) -> None:
        self._address = address
        self._key = key
        self._metrics = metrics
        self._channels: dict[str, Channel] = {}
        self._loop = SuspendAwareLoop()
        self._server = _PeerServer(answers=answers, key=key, metrics=metrics)
        self._thread = threading.Thread(target=self._loop.run_forever, name="peers", daemon=True)
        self._thread.start()
        self._grpc = self._run(self._listen()).result(timeout=10)

    def close(self) -> None:
        """Stop serving and calling."""
        self._run(self._close()).result(timeout=5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=5)

    # --- calls -------------------------------------------------------------

    def ping(self, peer: str, gossip: pb.Gossip) -> pb.Gossip:
        """Probe a peer, telling our words; return its own."""
        return self._call(peer, lambda stub: stub.Ping, gossip)

    def revision(self, peer: str) -> int | None:
        """Return the configuration revision in force at a peer; None when it gives none."""
        try:
            return int(self.ping(peer, pb.Gossip()).revision)
        except ExternalSystemError:
            return None

    def probe(self, helper: str, name: str) -> bool:
        """Have `helper` probe the member `name`."""
        request = pb.ProbeRequest(name=name)
        reply = self._call(helper, lambda stub: stub.Probe, request, 2 * _CALL_SECONDS)
        return bool(reply.answered)

    def entries(self, peer: str, first: int, last: int) -> list[str]:
        """Return configuration entries that `peer` has."""
        request = pb.EntriesRequest(first=first, last=last)
        return list(self._call(peer, lambda stub: stub.Entries, request, 2.0).entries)

    def snapshot(self, peer: str) -> pb.SnapshotReply:
        """Return a peer's whole configuration and members."""
        return self._call(peer, lambda stub: stub.Snapshot, pb.SnapshotRequest(), 5.0)

    def claim(self, row: ClaimRow) -> AttemptStatus | None:
        """Ask a claimant for its word on its claim; None when it gives none."""
        request = pb.ClaimRequest(claimant=row.claimant, attempt=row.attempt)
        try:
            return AttemptStatus(self._call(row.address, lambda stub: stub.Claim, request).word)
        except (ExternalSystemError, ValueError):
            return None

    def request(self, peer: str, customer: str, request_id: str) -> str:
        """Ask a peer for the state of one of its requests."""
        request = pb.RequestRequest(customer=customer, request_id=request_id)
        return str(self._call(peer, lambda stub: stub.Request, request).state)

    def _call(
        self, peer: str, method: Callable[[Any], Any], message: Any, seconds: float = _CALL_SECONDS
    ) -> Any:
        self._metrics.add("peers.sent", message.ByteSize() + _HEADER_BYTES)
        future = self._run(self._send(peer, method, message, seconds))
        try:
            reply = future.result(timeout=seconds + 1.0)
        except (GRPCError, StreamTerminatedError, ProtocolError, OSError, TimeoutError) as error:
            self._metrics.add("peers.failed")
            raise ExternalSystemError(f"peer {peer}: {error!r}") from None
        self._metrics.add("peers.received", reply.ByteSize() + _HEADER_BYTES)
        return reply

    # --- in the loop -------------------------------------------------------

    def _run(self, coroutine: Coroutine[Any, Any, _T]) -> Future[_T]:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    async def _listen(self) -> Server:
        host, _, port = self._address.rpartition(":")
        server = Server([self._server])
        await server.start(host, int(port))
        return server

    async def _send(
        self, peer: str, method: Callable[[Any], Any], message: Any, seconds: float
    ) -> Any:
        stub = PeerStub(self._channel(peer))
        call: Awaitable[Any] = method(stub)(
            message, timeout=seconds, metadata={_KEY_HEADER: self._key}
        )
        return await asyncio.wait_for(call, seconds)

    def _channel(self, peer: str) -> Channel:
        if peer not in self._channels:
            host, _, port = peer.rpartition(":")
            self._channels[peer] = Channel(host, int(port))
        return self._channels[peer]

    async def _close(self) -> None:
        self._grpc.close()
        for channel in self._channels.values():
            channel.close()
        await self._grpc.wait_closed()
        get().debug("peers closed")
