"""Tell the other nodes of a model what was just sent, so that all choose alike.

Datagrams carry what a node sent to which target, what it imports over which
link, and what load the target's answer told.  They may be lost, late or
doubled: they steer choices and nothing else.  Each carries a keyed digest;
what does not match is dropped.
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

from . import clock
from .log import get
from .metrics import Metrics

__all__ = ["IP_UDP_BYTES", "Ended", "Head", "Sent", "Sighting", "Sightings", "short"]

GATHER_SECONDS = 0.005
BYTES_A_SECOND = 8000.0
_LONGEST_DATAGRAM = 1400
_DIGEST_BYTES = 8
IP_UDP_BYTES = 28
_OLDEST_SECONDS = 5.0


class Sent(NamedTuple):
    """A run went out: to whom, how much to compute, what is imported on the way.

    `run` and `prompt` are short numbers drawn from longer names by `short`;
    the target will have the prompt's `blocks` in memory.
    """

    target: str
    run: int
    tokens: int
    prompt: int
    blocks: int
    store: str = ""
    size: int = 0


class Head(NamedTuple):
    """A run's first token came; with the load that the target's answer told.

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
    """A run came to nothing before its first token."""

    target: str
    run: int
    store: str = ""


Sighting = Sent | Head | Ended

_KINDS: tuple[type, ...] = (Sent, Head, Ended)


class _Datagram(NamedTuple):
    at: float
    sightings: list[tuple[int, list[object]]]


class _Budget:
    """Let so many bytes a second through, with two seconds' worth saved up at most."""

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


def short(name: str) -> int:
    """Return a number of 32 bits for a long name; two names may share one."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")


class Sightings:
    """Send and receive sightings over UDP, on the peers' address.

    `audience` gives the addresses of the nodes that should hear about a
    model; `take` takes a sighting in.  Beyond `bytes_a_second` sightings are
    left out: choices get worse, the control traffic stays bounded.
    """

    def __init__(
        self,
        *,
        address: str,
        key: str,
        audience: Callable[[str], Iterable[str]],
        take: Callable[[Sighting], None],
        metrics: Metrics,
        bytes_a_second: float = BYTES_A_SECOND,
    ) -> None:
        self._key = hashlib.sha256(key.encode()).digest()
        self._audience = audience
        self._take = take
        self._metrics = metrics
        self._budget = _Budget(bytes_a_second)
        self._waiting: dict[str, list[Sighting]] = {}
        self._changed = threading.Condition()
        self._stopped = False
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        for work in (self._send_rounds, self._receive):
            threading.Thread(target=work, name="sightings", daemon=True).start()

    def tell(self, model: str, sighting: Sighting) -> None:
        """Tell the nodes of a model, in a few milliseconds."""
        with self._changed:
            self._waiting.setdefault(model, []).append(sighting)
            self._changed.notify()

    def close(self) -> None:
        """Stop sending and receiving."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        self._socket.close()

    # --- sending -----------------------------------------------------------

    def _send_rounds(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._waiting or self._stopped)
                if self._stopped:
                    return
                waiting, self._waiting = self._waiting, {}
            for model, sightings in waiting.items():
                self._send(model, sightings)
            time.sleep(GATHER_SECONDS)

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
        """Return datagrams that carry `sightings`, each within the size of a packet."""
        body = msgspec.msgpack.encode(
            _Datagram(time.time(), [(_KINDS.index(type(s)), list(s)) for s in sightings])
        )
        if len(body) + _DIGEST_BYTES > _LONGEST_DATAGRAM and len(sightings) > 1:
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
                    self._take(sighting)
            except (ValueError, TypeError) as error:
                self._metrics.add("sightings.dropped")
                get().info("sighting dropped", sender=sender[0], error=str(error))
            except Exception:
                # One that cannot be taken must not end the hearing of all others.
                get().exception("sighting not taken", sender=sender[0])

    def unpack(self, data: bytes) -> list[Sighting]:
        """Return the sightings in a datagram; raise ValueError when it is not one of ours.

        Those that are older than a few seconds are left out: a process that
        was paused finds them in its socket when it wakes up.
        """
        digest, body = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            raise ValueError("keyed digest: does not match")
        datagram = msgspec.msgpack.decode(body, type=_Datagram)
        if abs(time.time() - datagram.at) > _OLDEST_SECONDS:
            return []
        return [self._one(kind, fields) for kind, fields in datagram.sightings]

    def _one(self, kind: int, fields: list[object]) -> Sighting:
        if not 0 <= kind < len(_KINDS):
            raise ValueError(f"kind of sighting: {kind}, expected 0 to {len(_KINDS) - 1}")
        sighting: Sighting = msgspec.convert(fields, _KINDS[kind])
        return sighting
