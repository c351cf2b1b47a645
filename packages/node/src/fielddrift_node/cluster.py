"""Take part among the nodes: probe, pass words on, spread the configuration.

Wraps the pure `Membership` with the calls it asks for.  Also what a node
answers to its peers.
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
from .peers import Peers, crashes_from, crashes_to, member_from, member_to, word_from, word_to

__all__ = ["Cluster", "CrashTalk"]

_SPREAD_TO = 3
_MOST_FOUND = 512
_ENTRY_KIND = "entry"


class CrashTalk(Protocol):
    """What is known of crashes, as peers tell it each other."""

    def merge(self, news: CrashUpdate) -> bool:
        """Take what a peer tells; return whether any of it is news."""

    def recent(self) -> CrashUpdate:
        """Return what a peer may lack."""


class Cluster:
    """One node's part in the fleet of nodes.  Safe for threads.

    `claim_word` and `request_state` answer peers about this node's own
    attempts and requests.  `connect` gives the calls to peers once they run.
    """

    def __init__(
        self,
        *,
        me: Member,
        rng: random.Random,
        config: ConfigSync,
        pool: ThreadPoolExecutor,
        claim_word: Callable[[str, str], AttemptStatus],
        request_state: Callable[[str, str], str],
        crashes: CrashTalk,
    ) -> None:
        self._membership = Membership(me=me, rng=rng)
        self._rng = rng
        self._config = config
        self._pool = pool
        self._claim_word = claim_word
        self._request_state = request_state
        self._crashes = crashes
        self._lock = threading.Lock()
        self._catching_up = threading.Lock()
        self._peers: Peers | None = None
        self._turns = itertools.count()
        self._found: tuple[int, dict[tuple[str, str, int], object]] = (0, {})

    @property
    def membership(self) -> Membership:
        """Return the view of the nodes; read it only."""
        return self._membership

    def connect(self, peers: Peers) -> None:
        """Set the calls to peers."""
        self._peers = peers

    @property
    def _calls(self) -> Peers:
        assert self._peers is not None
        return self._peers

    # --- what others ask ---------------------------------------------------

    def entry(self, model: str, keep: float) -> EntryAnswer:
        """Return the entry answer for a caller who came to this node."""
        turn = next(self._turns)
        key = ("entry", model, turn % SPREAD_NODE_COUNT)
        with self._lock:
            found = self._found_for(key)
            if found is None:
                usable = self._membership.usable()
                data_centre = self._membership.me.data_centre
                found = order(usable, data_centre=data_centre, model=model, ttl=keep, rotation=turn)
                self._found[1][key] = found
        assert isinstance(found, EntryAnswer)
        return found

    def audience(self, model: str) -> list[str]:
        """Return the other nodes that choose targets for a model."""
        key = ("audience", model, 0)
        with self._lock:
            found = self._found_for(key)
            if found is None:
                chosen = audience(self._membership.usable(), model=model)
                found = [m.name for m in chosen if m.name != self._membership.me.name]
                self._found[1][key] = found
        assert isinstance(found, list)
        return found

    def _found_for(self, key: tuple[str, str, int]) -> object | None:
        """Return what was worked out before, if no member has changed since."""
        generation = self._membership.generation
        if self._found[0] != generation or len(self._found[1]) >= _MOST_FOUND:
            self._found = (generation, {})
        return self._found[1].get(key)

    def nodes(self) -> int:
        """Return how many nodes are usable, at least 1."""
        with self._lock:
            return max(1, len(self._membership.usable()))

    def leaving(self, target: str) -> bool:
        """Return whether anyone said that a target is leaving."""
        word = self._membership.target_word(target)
        return word is not None and word.leaving

    def hear_target(self, word: TargetWord) -> None:
        """Take a word on a target in, and spread it at once if it is news."""
        with self._lock:
            news = self._membership.merge_target(word)
        if news and word.leaving:
            self.spread()

    # --- answering peers ---------------------------------------------------

    def gossip(self, heard: pb.Gossip) -> pb.Gossip:
        """Take a peer's words in; return our own."""
        self._hear(heard)
        reply = self._gossip()
        with self._lock:
            known = {m.name: m for m in self._membership.members}.get(heard.sender)
        if known is not None and known.status is not Status.ALIVE:
            reply.members.append(member_to(known))
        return reply

    def probe(self, name: str) -> bool:
        """Probe a member for a peer; return whether it answered."""
        return self._ping(name)

    def entries(self, first: int, last: int) -> list[str]:
        """Return configuration entries."""
        return self._config.entries(first, last)

    def snapshot(self) -> pb.SnapshotReply:
        """Return the whole configuration, and all members."""
        with self._lock:
            members = [member_to(m) for m in self._membership.members]
        return pb.SnapshotReply(configuration=self._config.snapshot(), members=members)

    def claim(self, claimant: str, attempt: str) -> AttemptStatus:
        """Return our word on one of our attempts."""
        return self._claim_word(claimant, attempt)

    def request(self, customer: str, request_id: str) -> str:
        """Return the state of one of our requests."""
        return self._request_state(request_id, customer)

    # --- probing -----------------------------------------------------------

    def turn(self) -> None:
        """Probe one peer; suspect it when neither it nor helpers reach it."""
        now = clock.now()
        with self._lock:
            self._membership.expire(now)
            member = self._membership.next_probe()
        if member is None or self._ping(member.name):
            return
        with self._lock:
            helpers = self._membership.helpers(member.name)
        if not any(self._helped(helper, member) for helper in helpers):
            with self._lock:
                self._membership.record_probe_failure(member.name, clock.now())

    def spread(self) -> None:
        """Tell a few random peers at once, in the background."""
        with self._lock:
            others = [m for m in self._membership.usable() if m != self._membership.me]
            chosen = self._rng.sample(others, min(_SPREAD_TO, len(others)))
        for member in chosen:
            self._pool.submit(self._ping, member.name)

    def leave(self) -> None:
        """Say to the others that this node is leaving."""
        with self._lock:
            self._membership.leave(clock.now())
        self.spread()

    def join(self, addresses: Iterable[str]) -> bool:
        """Take configuration and members from the first of `addresses` that answers."""
        for address in addresses:
            try:
                reply = self._calls.snapshot(address)
            except ExternalSystemError:
                continue
            self._config.take_snapshot(reply.configuration)
            self._take_members(reply.members)
            self._ping(address)
            return True
        return False

    def hear_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Take the host list in: leaving entry hosts, and ones not met yet."""
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
        """Catch up with the newest configuration that anyone near can tell."""
        with self._lock:
            others = [m.name for m in self._membership.present() if m != self._membership.me]
            asked = self._rng.sample(others, min(_SPREAD_TO, len(others)))
        answered = [self._ping(name) for name in asked]
        self.catch_up()
        return any(answered)

    def catch_up(self, told_by: str = "") -> None:
        """Fetch what is missing of the configuration, from who told of it, else the table."""
        with self._catching_up:
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
            self._config.take_entries(self._calls.entries(peer, first, last))
            if self._config.behind:
                self._config.take_snapshot(self._calls.snapshot(peer).configuration)
        except (ExternalSystemError, ValueError):
            return

    def _helped(self, helper: Member, member: Member) -> bool:
        try:
            return self._calls.probe(helper.name, member.name)
        except ExternalSystemError:
            return False

    def _ping(self, name: str) -> bool:
        try:
            reply = self._calls.ping(name, self._gossip())
            self._hear(reply)
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
            members=[member_to(m) for m in members],
            words=[word_to(w) for w in words],
            **crashes_to(self._crashes.recent()),
        )

    def _hear(self, message: pb.Gossip) -> None:
        words = [word_from(w) for w in message.words]
        self._take_members(message.members)
        with self._lock:
            news = self._membership.merge((), words, clock.now())
        news |= self._crashes.merge(crashes_from(message))
        if news:
            self.spread()
        if self._config.hear(message.heard):
            self._pool.submit(self.catch_up, message.sender)

    def _take_members(self, messages: Iterable[pb.Member]) -> None:
        members = [member_from(m) for m in messages]
        with self._lock:
            self._membership.merge(members, (), clock.now())
