"""Take part in the cluster of nodes: probe members, gossip updates, spread the configuration.

Wraps the `Membership` state, which does no I/O, with the calls that it requires, and
handles the calls of peers.
"""

from __future__ import annotations

import itertools
import random
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from fielddrift_core.claims import AttemptStatus
from fielddrift_core.crashes import CrashUpdate
from fielddrift_core.entry import SPREAD_NODE_COUNT, EntryAnswer, audience, order
from fielddrift_core.interfaces import ExternalSystemError, HostEntry
from fielddrift_core.membership import Member, Membership, Status, TargetWord

from . import clock
from . import peer_pb2 as pb
from .configuration import ConfigSync
from .peers import (
    Peers,
    crashes_from_message,
    crashes_to_fields,
    member_from_message,
    member_to_message,
    target_word_from_message,
    target_word_to_message,
)

__all__ = ["Cluster", "CrashGossip"]

_SPREAD_PEER_COUNT = 3
_MAX_CACHED_COUNT = 512
_ENTRY_KIND = "entry"


class CrashGossip(Protocol):
    """The crash records that peers exchange by gossip."""

    def merge(self, update: CrashUpdate) -> bool:
        """Merge a peer's update; return whether any of it was new."""

    def recent(self) -> CrashUpdate:
        """Return the recent changes, which a peer may lack."""


class Cluster:
    """One node's part in the cluster.  Thread-safe.

    `claim_status` and `request_state` return the state of this node's own attempts and
    requests, for peers.  `connect` must be called before any method that calls peers.
    """

    def __init__(
        self,
        *,
        me: Member,
        rng: random.Random,
        config: ConfigSync,
        pool: ThreadPoolExecutor,
        claim_status: Callable[[str, str], AttemptStatus],
        request_state: Callable[[str, str], str],
        crashes: CrashGossip,
    ) -> None:
        self._membership = Membership(me=me, rng=rng)
        self._rng = rng
        self._config = config
        self._pool = pool
        self._claim_status = claim_status
        self._request_state = request_state
        self._crashes = crashes
        self._lock = threading.Lock()
        self._catch_up_lock = threading.Lock()
        self._peers: Peers | None = None
        self._entry_counter = itertools.count()
        self._cache: tuple[int, dict[tuple[str, str, int], object]] = (0, {})

    @property
    def membership(self) -> Membership:
        """Return this node's view of the nodes; callers must not change it."""
        return self._membership

    def connect(self, peers: Peers) -> None:
        """Set the client for calls to peers."""
        self._peers = peers

    @property
    def _calls(self) -> Peers:
        assert self._peers is not None
        return self._peers

    # --- queries -----------------------------------------------------------

    def entry(self, model: str, ttl_seconds: float) -> EntryAnswer:
        """Return the nodes that a caller of `model` should use, valid for `ttl_seconds` seconds.

        Successive answers are rotated, to spread the callers over the nodes.
        """
        rotation = next(self._entry_counter)
        key = ("entry", model, rotation % SPREAD_NODE_COUNT)
        with self._lock:
            cached = self._cached_value(key)
            if cached is None:
                usable = self._membership.usable()
                data_centre = self._membership.me.data_centre
                cached = order(
                    usable, data_centre=data_centre, model=model, ttl=ttl_seconds, rotation=rotation
                )
                self._cache[1][key] = cached
        assert isinstance(cached, EntryAnswer)
        return cached

    def audience(self, model: str) -> list[str]:
        """Return the other nodes that choose targets for a model."""
        key = ("audience", model, 0)
        with self._lock:
            cached = self._cached_value(key)
            if cached is None:
                chosen = audience(self._membership.usable(), model=model)
                cached = [m.name for m in chosen if m.name != self._membership.me.name]
                self._cache[1][key] = cached
        assert isinstance(cached, list)
        return cached

    def _cached_value(self, key: tuple[str, str, int]) -> object | None:
        """Return the cached value for `key`; clear the cache when it is outdated or full."""
        generation = self._membership.generation
        if self._cache[0] != generation or len(self._cache[1]) >= _MAX_CACHED_COUNT:
            self._cache = (generation, {})
        return self._cache[1].get(key)

    def nodes(self) -> int:
        """Return the number of usable nodes, at least 1."""
        with self._lock:
            return max(1, len(self._membership.usable()))

    def leaving(self, target: str) -> bool:
        """Return whether a target is reported to be leaving."""
        word = self._membership.target_word(target)
        return word is not None and word.leaving

    def merge_target(self, word: TargetWord) -> None:
        """Merge a target's state; gossip at once if it is new and the target is leaving."""
        with self._lock:
            changed = self._membership.merge_target(word)
        if changed and word.leaving:
            self.spread()

    # --- handlers for peers ------------------------------------------------

    def gossip(self, heard: pb.Gossip) -> pb.Gossip:
        """Apply a peer's state updates; return this node's.

        A sender that is not alive in this node's view gets that view of itself, to refute it.
        """
        self._apply_gossip(heard)
        reply = self._gossip()
        with self._lock:
            known = {m.name: m for m in self._membership.members}.get(heard.sender)
        if known is not None and known.status is not Status.ALIVE:
            reply.members.append(member_to_message(known))
        return reply

    def probe(self, name: str) -> bool:
        """Probe a member on behalf of a peer; return whether it answered."""
        return self._ping(name)

    def entries(self, first: int, last: int) -> list[str]:
        """Return the encoded configuration entries from `first` to `last` that are kept here."""
        return self._config.entries(first, last)

    def snapshot(self) -> pb.SnapshotReply:
        """Return the whole configuration and all members."""
        with self._lock:
            members = [member_to_message(m) for m in self._membership.members]
        return pb.SnapshotReply(configuration=self._config.snapshot(), members=members)

    def claim(self, claimant: str, attempt: str) -> AttemptStatus:
        """Return the status of one of this node's attempts."""
        return self._claim_status(claimant, attempt)

    def request(self, customer: str, request_id: str) -> str:
        """Return the state of one of this node's requests."""
        return self._request_state(request_id, customer)

    # --- probing -----------------------------------------------------------

    def probe_next(self) -> None:
        """Probe one peer; record a failure when it answers neither directly nor through helpers."""
        now = clock.now()
        with self._lock:
            self._membership.expire(now)
            member = self._membership.next_probe()
        if member is None or self._ping(member.name):
            return
        with self._lock:
            helpers = self._membership.helpers(member.name)
        if not any(self._probe_through(helper, member) for helper in helpers):
            with self._lock:
                self._membership.record_probe_failure(member.name, clock.now())

    def spread(self) -> None:
        """Gossip to a few random peers at once, in the background."""
        with self._lock:
            others = [m for m in self._membership.usable() if m != self._membership.me]
            chosen = self._rng.sample(others, min(_SPREAD_PEER_COUNT, len(others)))
        for member in chosen:
            self._pool.submit(self._ping, member.name)

    def leave(self) -> None:
        """Announce to the other nodes that this node is leaving."""
        with self._lock:
            self._membership.leave(clock.now())
        self.spread()

    def join(self, addresses: Iterable[str]) -> bool:
        """Load configuration and members from the first of `addresses` that answers.

        Returns whether any of them answered.
        """
        for address in addresses:
            try:
                reply = self._calls.snapshot(address)
            except ExternalSystemError:
                continue
            self._config.apply_snapshot(reply.configuration)
            self._merge_members(reply.members)
            self._ping(address)
            return True
        return False

    def apply_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Apply the host list: mark leaving entry hosts, and ping one that is not a member yet."""
        entries = [h for h in hosts if h.kind == _ENTRY_KIND and "peer" in h.labels]
        now = clock.now()
        with self._lock:
            known = {m.name: m for m in self._membership.present()}
            for host in entries:
                member = known.get(host.labels["peer"])
                if host.leaving and member is not None and member.status is Status.ALIVE:
                    self._membership.merge([member._replace(status=Status.LEAVING)], (), now)
        absent = [h.labels["peer"] for h in entries if h.labels["peer"] not in known]
        if absent:
            self._pool.submit(self._ping, self._rng.choice(absent))

    def refresh(self) -> bool:
        """Fetch the newest configuration known to a few peers or the table.

        Returns whether any peer answered.
        """
        with self._lock:
            others = [m.name for m in self._membership.present() if m != self._membership.me]
            sampled = self._rng.sample(others, min(_SPREAD_PEER_COUNT, len(others)))
        answered = [self._ping(name) for name in sampled]
        self.catch_up()
        return any(answered)

    def catch_up(self, told_by: str = "") -> None:
        """Fetch missing configuration entries, from the peer `told_by` or else from the table."""
        with self._catch_up_lock:
            if told_by and self._config.behind:
                self._fetch_from(told_by)
            if self._config.behind or not told_by:
                try:
                    self._config.poll()
                except ExternalSystemError:
                    return

    def _fetch_from(self, peer: str) -> None:
        try:
            first, last = self._config.revision + 1, self._config.heard
            self._config.add_entries(self._calls.entries(peer, first, last))
            if self._config.behind:
                self._config.apply_snapshot(self._calls.snapshot(peer).configuration)
        except (ExternalSystemError, ValueError):
            return

    def _probe_through(self, helper: Member, member: Member) -> bool:
        try:
            return self._calls.probe(helper.name, member.name)
        except ExternalSystemError:
            return False

    def _ping(self, name: str) -> bool:
        try:
            reply = self._calls.ping(name, self._gossip())
            self._apply_gossip(reply)
        except (ExternalSystemError, ValueError):
            return False
        return True

    def _gossip(self) -> pb.Gossip:
        with self._lock:
            members, words = self._membership.next_updates()
            me = self._membership.me
        return pb.Gossip(
            sender=me.name,
            revision=self._config.revision,
            heard=self._config.heard,
            members=[member_to_message(m) for m in members],
            words=[target_word_to_message(w) for w in words],
            **crashes_to_fields(self._crashes.recent()),
        )

    def _apply_gossip(self, message: pb.Gossip) -> None:
        words = [target_word_from_message(w) for w in message.words]
        self._merge_members(message.members)
        with self._lock:
            changed = self._membership.merge((), words, clock.now())
        changed |= self._crashes.merge(crashes_from_message(message))
        if changed:
            self.spread()
        if self._config.note_accepted(message.heard):
            self._pool.submit(self.catch_up, message.sender)

    def _merge_members(self, messages: Iterable[pb.Member]) -> None:
        members = [member_from_message(m) for m in messages]
        with self._lock:
            self._membership.merge(members, (), clock.now())
