"""Track the live nodes by gossip: probe a few peers, and piggyback state updates.

Each node probes one random peer per period and adds the updates it has received recently.  A
peer that fails its probe, and the indirect probes by two helpers, becomes suspected, and is
declared dead unless it refutes the suspicion in time (after the SWIM protocol of Das, Gupta
and Motivala, 2002).  The cost per node does not grow with the number of nodes.  The view only
directs work: correctness must not depend on it.

The same messages carry updates about targets that are leaving, and the head of the
configuration log.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

__all__ = ["MAX_UPDATES_PER_MESSAGE", "Member", "Membership", "Status", "TargetWord"]

MAX_UPDATES_PER_MESSAGE = 8
SUSPICION_TIMEOUT_SECONDS = 4.0
_TRANSMIT_FACTOR = 3
"""Transmissions of an update, as a multiple of the binary logarithm of the number of members."""
_DEAD_RETENTION_SECONDS = 600.0


class Status(IntEnum):
    """The status of a member; of two updates with the same incarnation the higher one applies."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """The state of one node.  `name` is its address for peers."""

    name: str
    http: str
    data_centre: str
    incarnation: int
    status: Status = Status.ALIVE

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key by which the higher of two updates about a member applies."""
        return (self.incarnation, self.status)


class TargetWord(NamedTuple):
    """An update on whether a target is leaving; `epoch` numbers its process instance."""

    target: str
    epoch: int
    leaving: bool


class Membership:
    """The view of the members; selects whom to probe and what to send.  Not thread-safe."""

    def __init__(self, *, me: Member, rng: random.Random) -> None:
        self._me = me
        self._rng = rng
        self._members: dict[str, Member] = {me.name: me}
        self._target_words: dict[str, TargetWord] = {}
        self._changed_at: dict[str, float] = {}
        self._transmissions: dict[str, int] = {me.name: 0}
        """How often each pending update was sent, by name of its member or target."""
        self._round: list[str] = []
        self._generation = 0

    @property
    def me(self) -> Member:
        """Return this node's own entry."""
        return self._me

    @property
    def generation(self) -> int:
        """Return a number that grows with each change of the view."""
        return self._generation

    @property
    def members(self) -> list[Member]:
        """Return all entries, including dead members."""
        return list(self._members.values())

    def usable(self) -> list[Member]:
        """Return the members to which callers may be sent."""
        return [m for m in self._members.values() if m.status is Status.ALIVE]

    def present(self) -> list[Member]:
        """Return the members that are not dead, and so may still answer a peer."""
        return [m for m in self._members.values() if m.status is not Status.DEAD]

    def target_word(self, target: str) -> TargetWord | None:
        """Return the latest update about `target`, or None."""
        return self._target_words.get(target)

    # --- Probes and outgoing updates ----------------------------------------

    def next_probe(self) -> Member | None:
        """Return the next peer to probe, in a shuffled round; None without any peer."""
        while True:
            if not self._round:
                self._round = [m.name for m in self.present() if m.name != self._me.name]
                self._rng.shuffle(self._round)
            if not self._round:
                return None
            member = self._members[self._round.pop()]
            if member.status is not Status.DEAD:
                return member

    def helpers(self, suspect: str, count: int = 2) -> list[Member]:
        """Return up to `count` random peers for an indirect probe of `suspect`."""
        skip = {suspect, self._me.name}
        able = [m for m in self.usable() if m.name not in skip]
        return self._rng.sample(able, min(count, len(able)))

    def next_updates(self) -> tuple[list[Member], list[TargetWord]]:
        """Return the updates for one message, the least transmitted first, and count them."""
        limit = _TRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        chosen = sorted(self._transmissions, key=self._transmit_key)[:MAX_UPDATES_PER_MESSAGE]
        for key in chosen:
            self._transmissions[key] += 1
            if self._transmissions[key] >= limit:
                del self._transmissions[key]
        members = [self._members[key] for key in chosen if key in self._members]
        words = [self._target_words[key] for key in chosen if key in self._target_words]
        return members, words

    def _transmit_key(self, key: str) -> tuple[bool, int]:
        # Updates about leaving and failures precede the many about healthy members.
        member = self._members.get(key)
        healthy = member is not None and member.status is Status.ALIVE
        return (healthy, self._transmissions[key])

    # --- Received updates ---------------------------------------------------

    def merge(self, members: Iterable[Member], words: Iterable[TargetWord], now: float) -> bool:
        """Merge a peer's updates; outdated and repeated ones have no effect.

        Return whether a target is newly known to be leaving, which should be sent on at once.
        """
        for member in members:
            self._merge_member(member, now)
        changes = [word for word in words if self.merge_target(word)]
        return any(word.leaving for word in changes)

    def merge_target(self, word: TargetWord) -> bool:
        """Merge an update about a target; return whether it is new.

        A target that is leaving cannot return in the same epoch.
        """
        known = self._target_words.get(word.target)
        if known and (word.epoch, word.leaving) <= (known.epoch, known.leaving):
            return False
        self._target_words[word.target] = word
        self._transmissions[word.target] = 0
        return True

    def record_probe_failure(self, name: str, now: float) -> None:
        """Suspect `name`, after the direct and the indirect probes have failed."""
        member = self._members.get(name)
        if member is not None and member.status is Status.ALIVE:
            self._set(member._replace(status=Status.SUSPECT), now)

    def expire(self, now: float) -> list[Member]:
        """Declare members dead after the suspicion timeout, and remove old dead members.

        Return the members that were declared dead.
        """
        dead = []
        for member in self.members:
            age = now - self._changed_at.get(member.name, now)
            if member.status is Status.SUSPECT and age >= SUSPICION_TIMEOUT_SECONDS:
                dead.append(member._replace(status=Status.DEAD))
                self._set(dead[-1], now)
            elif member.status is Status.DEAD and age >= _DEAD_RETENTION_SECONDS:
                self._remove(member.name)
        return dead

    def leave(self, now: float) -> None:
        """Announce that this node is leaving; it cannot be undone in this process."""
        self._me = self._me._replace(status=Status.LEAVING)
        self._set(self._me, now)

    def _merge_member(self, member: Member, now: float) -> None:
        if member.name == self._me.name:
            self._refute(member, now)
            return
        known = self._members.get(member.name)
        if known is None or member.precedence > known.precedence:
            self._set(member, now)

    def _refute(self, word: Member, now: float) -> None:
        """Answer an update about this node that supersedes its own entry.

        Leaving is accepted; suspicion and death are refuted with a higher incarnation.
        """
        if word.precedence <= self._me.precedence:
            return
        if word.status is Status.LEAVING:
            self._me = self._me._replace(incarnation=word.incarnation, status=Status.LEAVING)
        else:
            self._me = self._me._replace(incarnation=word.incarnation + 1)
        self._set(self._me, now)

    def _set(self, member: Member, now: float) -> None:
        self._generation += 1
        self._members[member.name] = member
        self._changed_at[member.name] = now
        self._transmissions[member.name] = 0

    def _remove(self, name: str) -> None:
        self._generation += 1
        del self._members[name]
        self._transmissions.pop(name, None)
        self._changed_at.pop(name, None)
