"""Report sends to the other nodes of a model, so that all nodes choose with the same data.

Datagrams carry which runs a node sent to which target, what it imports over which link, and
the load that the target reported.  They may be lost, late or duplicated, so they affect only
the choice of targets.  Each carries a keyed digest; datagrams that do not match are dropped.
"""

from __future__ import annotations

import hashlib
import hmac
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from fielddrift_core.outside_values import Finite, decoded

from . import clock
from .log import get
from .metrics import Metrics

__all__ = ["IP_UDP_BYTES", "Ended", "Head", "Sent", "Sighting", "Sightings", "short_hash"]

BATCH_SECONDS = 0.005
BYTES_PER_SECOND = 8000.0
_MAX_DATAGRAM_BYTES = 1400
_DIGEST_BYTES = 8
IP_UDP_BYTES = 28
_MAX_AGE_SECONDS = 5.0


class Sent(NamedTuple):
    """A run was sent: to which target, the tokens to compute, and the import from a store.

    `run` and `prompt` are hashes of longer names by `short_hash`; afterwards the target has the
    prompt's `blocks` in memory.
    """

    target: str
    run: int
    tokens: int
    prompt: int
    blocks: int
    store: str = ""
    size: int = 0


class Head(NamedTuple):
    """A run's first token arrived; with the load that the target reported.

    `root` is the target's own name for the prompt, as in its cache events;
    `import_seconds` is below 0 when nothing was imported.
    """

    target: str
    run: int
    running: int
    queued: int
    backlog: int
    prompt: int
    blocks: int
    root: str
    store: str = ""
    import_seconds: float = -1.0


class Ended(NamedTuple):
    """A run ended before its first token."""

    target: str
    run: int
    store: str = ""


Sighting = Sent | Head | Ended

_KINDS: tuple[type, ...] = (Sent, Head, Ended)


class _Datagram(NamedTuple):
    at: Finite
    sightings: list[tuple[int, list[object]]]


_DECODER = msgspec.msgpack.Decoder(_Datagram)


class _TokenBucket:
    """A token bucket of `rate` bytes per second that holds at most two seconds' worth."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = 2 * rate
        self._at = clock.now()

    def take(self, size: int) -> bool:
        now = clock.now()
        self._left = min(2 * self._rate, self._left + (now - self._at) * self._rate)
        self._at = now
        if size > self._left:
            return False
        self._left -= size
        return True


def short_hash(name: str) -> int:
    """Return a 32-bit hash of `name`; hashes of different names may collide."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")


class Sightings:
    """Send and receive sightings over UDP, on the peers' address.

    `audience` returns the addresses of the nodes that receive the sightings of a model;
    `on_receive` is called with each sighting received.  Sightings beyond `bytes_per_second` are not
    sent: choices get worse, but the control traffic stays bounded.
    """

    def __init__(
        self,
        *,
        address: str,
        key: str,
        audience: Callable[[str], Iterable[str]],
        on_receive: Callable[[Sighting], None],
        metrics: Metrics,
        bytes_per_second: float = BYTES_PER_SECOND,
    ) -> None:
        self._key = hashlib.sha256(key.encode()).digest()
        self._audience = audience
        self._on_receive = on_receive
        self._metrics = metrics
        self._budget = _TokenBucket(bytes_per_second)
        self._waiting: dict[str, list[Sighting]] = {}
        self._condition = threading.Condition()
        self._stopped = False
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        for work in (self._send_batches, self._receive):
            threading.Thread(target=work, name="sightings", daemon=True).start()

    def send(self, model: str, sighting: Sighting) -> None:
        """Queue a sighting for the nodes of a model; it is sent within a few milliseconds."""
        with self._condition:
            self._waiting.setdefault(model, []).append(sighting)
            self._condition.notify()

    def close(self) -> None:
        """Stop sending and receiving."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        self._socket.close()

    # --- sending -----------------------------------------------------------

    def _send_batches(self) -> None:
        while True:
            with self._condition:
                self._condition.wait_for(lambda: self._waiting or self._stopped)
                if self._stopped:
                    return
                waiting, self._waiting = self._waiting, {}
            for model, sightings in waiting.items():
                self._send(model, sightings)
            time.sleep(BATCH_SECONDS)

    def _send(self, model: str, sightings: list[Sighting]) -> None:
        peers = list(self._audience(model))
        for data in self.pack(sightings):
            if not self._budget.take(len(peers) * (len(data) + IP_UDP_BYTES)):
                self._metrics.add("sightings.skipped", len(sightings))
                return
            for peer in peers:
                host, _, port = peer.rpartition(":")
                try:
                    self._socket.sendto(data, (host, int(port)))
                except OSError as error:
                    get().debug("sighting not sent", peer=peer, error=str(error))
                self._metrics.add("sightings.bytes", len(data) + IP_UDP_BYTES)

    def pack(self, sightings: list[Sighting]) -> list[bytes]:
        """Return datagrams that carry `sightings`, split so that each fits into a packet."""
        body = msgspec.msgpack.encode(
            _Datagram(time.time(), [(_KINDS.index(type(s)), list(s)) for s in sightings])
        )
        if len(body) + _DIGEST_BYTES > _MAX_DATAGRAM_BYTES and len(sightings) > 1:
            half = len(sightings) // 2
            return [*self.pack(sightings[:half]), *self.pack(sightings[half:])]
        return [self._digest(body) + body]

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=_DIGEST_BYTES).digest()

    # --- receiving ---------------------------------------------------------

    def _receive(self) -> None:
        while True:
            try:
                data, sender = self._socket.recvfrom(65536)
            except OSError:
                return
            try:
                for sighting in self.unpack(data):
                    self._on_receive(sighting)
            except (ValueError, TypeError) as error:
                self._metrics.add("sightings.dropped")
                get().info("sighting dropped", sender=sender[0], error=str(error))
            except Exception:
                # A sighting that cannot be applied must not end the receiving thread.
                get().exception("sighting not taken", sender=sender[0])

    def unpack(self, data: bytes) -> list[Sighting]:
        """Return the sightings in a datagram; raise ValueError when it is not valid.

        The result is empty when the datagram is older than a few seconds: a process that was
        paused finds such datagrams in its socket buffer when it resumes.
        """
        digest, body = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            raise ValueError("keyed digest: does not match")
        datagram = decoded(_DECODER, body)
        if abs(time.time() - datagram.at) > _MAX_AGE_SECONDS:
            return []
        return [self._decode(kind, fields) for kind, fields in datagram.sightings]

    def _decode(self, kind: int, fields: list[object]) -> Sighting:
        if not 0 <= kind < len(_KINDS):
            raise ValueError(f"kind of sighting: {kind}, expected 0 to {len(_KINDS) - 1}")
        sighting: Sighting = msgspec.convert(fields, _KINDS[kind])
        return sighting
