"""Call the other nodes, and serve their calls, over gRPC (grpclib).

One thread runs grpclib's event loop; the other threads wait for futures.  Every call
carries the shared peer key; calls without it are rejected as unauthenticated.
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
from fielddrift_core.outside_values import address_of
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
    "PeerHandler",
    "Peers",
    "crashes_from_message",
    "crashes_to_fields",
    "member_from_message",
    "member_to_message",
    "target_word_from_message",
    "target_word_to_message",
]

_KEY_HEADER = "fielddrift-key"
_CALL_TIMEOUT_SECONDS = 0.5
_HEADER_BYTES = 60  # counted for the headers of each message in the traffic metrics
_MAX_MEMBER_COUNT = 64
_T = TypeVar("_T")


class PeerHandler(Protocol):
    """Handlers for the calls of peers.  A ValueError rejects the call's arguments."""

    def gossip(self, heard: pb.Gossip) -> pb.Gossip:
        """Apply a peer's state updates; return this node's."""

    def probe(self, name: str) -> bool:
        """Probe a member on behalf of a peer; return whether it answered."""

    def entries(self, first: int, last: int) -> list[str]:
        """Return the encoded configuration entries from `first` to `last` that are kept here."""

    def snapshot(self) -> pb.SnapshotReply:
        """Return the whole configuration and all members."""

    def claim(self, claimant: str, attempt: str) -> AttemptStatus:
        """Return the status of one of this node's attempts."""

    def request(self, customer: str, request_id: str) -> str:
        """Return the state of one of this node's requests."""


# --- conversion ------------------------------------------------------------


def member_to_message(member: Member) -> pb.Member:
    """Return `member` as a protobuf message."""
    return pb.Member(
        name=member.name,
        http=member.http,
        data_centre=member.data_centre,
        incarnation=member.incarnation,
        status=int(member.status),
    )


def member_from_message(message: pb.Member) -> Member:
    """Return the member in `message`; raise ValueError when it is malformed."""
    if not message.name or not message.http:
        raise ValueError(f"member: {message.name!r}, expected a name and an address")
    status = Status(message.status)
    address_of("member", message.name)
    address_of("member's address", message.http)
    return Member(
        message.name,
        message.http,
        message.data_centre,
        message.incarnation,
        status,
    )


def target_word_to_message(word: TargetWord) -> pb.TargetWord:
    """Return `word` as a protobuf message."""
    return pb.TargetWord(target=word.target, epoch=word.epoch, leaving=word.leaving)


def target_word_from_message(message: pb.TargetWord) -> TargetWord:
    """Return the target's state in `message`; raise ValueError when it is malformed."""
    if not message.target:
        raise ValueError("target state: empty target, expected a name")
    return TargetWord(message.target, message.epoch, message.leaving)


# --- serving ---------------------------------------------------------------


class CrashFields(TypedDict):
    """The fields of a gossip message that report crashes."""

    crashes: list[pb.Crash]
    cleared: list[pb.Since]
    living: list[pb.Since]


def crashes_to_fields(update: CrashUpdate) -> CrashFields:
    """Return the fields of a gossip message for an update on crashes."""
    return CrashFields(
        crashes=[
            pb.Crash(fingerprint=c.fingerprint, target=c.target, ago=c.at, ran=c.ran)
            for c in update.crashes
        ],
        cleared=[pb.Since(name=name, ago=ago) for name, ago in update.cleared],
        living=[pb.Since(name=name, ago=ago) for name, ago in update.living],
    )


def crashes_from_message(message: pb.Gossip) -> CrashUpdate:
    """Return the update on crashes in a gossip message."""
    return CrashUpdate(
        crashes=tuple(Crash(c.fingerprint, c.target, c.ago, c.ran) for c in message.crashes),
        cleared=tuple((each.name, each.ago) for each in message.cleared),
        living=tuple((each.name, each.ago) for each in message.living),
    )


class _PeerServer(PeerBase):
    """Serve peers; blocking handlers run in the loop's default executor."""

    def __init__(self, *, answers: PeerHandler, key: str, metrics: Metrics) -> None:
        self._answers = answers
        self._key = key
        self._metrics = metrics

    async def _receive(self, stream: Any) -> Any:
        presented_key = stream.metadata.get(_KEY_HEADER, "")
        if not hmac.compare_digest(str(presented_key), self._key):
            raise GRPCError(GrpcStatus.UNAUTHENTICATED, "peer key: missing or wrong")
        message = await stream.recv_message()
        if message is None:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, "message: missing, expected one")
        self._metrics.add("peers.received", message.ByteSize() + _HEADER_BYTES)
        return message

    async def _reply(self, stream: Any, build_reply: Callable[[], Any]) -> None:
        loop = asyncio.get_running_loop()
        try:
            reply = await loop.run_in_executor(None, build_reply)
        except ValueError as error:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, str(error)) from None
        self._metrics.add("peers.sent", reply.ByteSize() + _HEADER_BYTES)
        await stream.send_message(reply)

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        message = await self._receive(stream)
        if len(message.members) > _MAX_MEMBER_COUNT:
            detail = f"members: {len(message.members)}, expected at most {_MAX_MEMBER_COUNT}"
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, detail)
        await self._reply(stream, lambda: self._answers.gossip(message))

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        message = await self._receive(stream)
        await self._reply(stream, lambda: pb.ProbeReply(answered=self._answers.probe(message.name)))

    async def Entries(self, stream: Any) -> None:  # noqa: N802
        message = await self._receive(stream)
        await self._reply(
            stream,
            lambda: pb.EntriesReply(entries=self._answers.entries(message.first, message.last)),
        )

    async def Snapshot(self, stream: Any) -> None:  # noqa: N802
        await self._receive(stream)
        await self._reply(stream, self._answers.snapshot)

    async def Claim(self, stream: Any) -> None:  # noqa: N802
        message = await self._receive(stream)
        await self._reply(
            stream,
            lambda: pb.ClaimReply(word=self._answers.claim(message.claimant, message.attempt)),
        )

    async def Request(self, stream: Any) -> None:  # noqa: N802
        message = await self._receive(stream)
        await self._reply(
            stream,
            lambda: pb.RequestReply(
                state=self._answers.request(message.customer, message.request_id)
            ),
        )


class Peers:
    """Call peers and serve their calls.

    Calls block, and raise `ExternalSystemError` when they fail or time out.
    """

    def __init__(self, *, address: str, key: str, answers: PeerHandler, metrics: Metrics) -> None:
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
        """Probe a peer with this node's state updates; return the peer's."""
        return self._call(peer, lambda stub: stub.Ping, gossip)

    def revision(self, peer: str) -> int | None:
        """Return the configuration revision in force at a peer; None when it does not answer."""
        try:
            return int(self.ping(peer, pb.Gossip()).revision)
        except ExternalSystemError:
            return None

    def probe(self, helper: str, name: str) -> bool:
        """Ask `helper` to probe the member `name`; return whether that member answered."""
        request = pb.ProbeRequest(name=name)
        reply = self._call(helper, lambda stub: stub.Probe, request, 2 * _CALL_TIMEOUT_SECONDS)
        return bool(reply.answered)

    def entries(self, peer: str, first: int, last: int) -> list[str]:
        """Return the encoded configuration entries from `first` to `last` that `peer` keeps."""
        request = pb.EntriesRequest(first=first, last=last)
        return list(self._call(peer, lambda stub: stub.Entries, request, 2.0).entries)

    def snapshot(self, peer: str) -> pb.SnapshotReply:
        """Return the whole configuration and all members known to a peer."""
        return self._call(peer, lambda stub: stub.Snapshot, pb.SnapshotRequest(), 5.0)

    def claim(self, row: ClaimRow) -> AttemptStatus | None:
        """Return the status of a claim's attempt at its claimant; None when it does not answer."""
        request = pb.ClaimRequest(claimant=row.claimant, attempt=row.attempt)
        try:
            return AttemptStatus(self._call(row.address, lambda stub: stub.Claim, request).word)
        except (ExternalSystemError, ValueError):
            return None

    def request(self, peer: str, customer: str, request_id: str) -> str:
        """Return the state of a request that `peer` issued the id of."""
        request = pb.RequestRequest(customer=customer, request_id=request_id)
        return str(self._call(peer, lambda stub: stub.Request, request).state)

    def _call(
        self,
        peer: str,
        method: Callable[[Any], Any],
        message: Any,
        seconds: float = _CALL_TIMEOUT_SECONDS,
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

    # --- on the event loop -------------------------------------------------

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
