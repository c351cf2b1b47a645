"""Follow which nodes live, by probing a few and passing words on.

Each node probes one random peer a period and piggybacks what it has learned;
a peer that fails its probe, and the probes of two helpers, is suspected, and
declared dead unless it denies it in time (after the SWIM protocol of Das,
Gupta and Motivala, 2002).  The cost a node does not grow with their number.
The view only steers work: nothing safe rests on it.

The same messages carry words about targets that leave and the head of the
configuration log.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

__all__ = ["Member", "Membership", "Status", "TargetWord", "UPDATES_A_MESSAGE"]

UPDATES_A_MESSAGE = 8
SUSPECT_SECONDS = 4.0
_SPREAD_FACTOR = 3
_FORGET_SECONDS = 600.0


class Status(IntEnum):
    """A member's state; of two words on one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """What is known of one node.  `name` is its address for peers."""

    name: str
    http: str
    data_centre: str
    incarnation: int
    status: Status = Status.ALIVE

    @property
    def rank(self) -> tuple[int, int]:
        """Return the order in which words on one member beat each other."""
        return (self.incarnation, self.status)


class TargetWord(NamedTuple):
    """A word that a target is leaving, in the life that `epoch` numbers."""

    target: str
    epoch: int
    leaving: bool


class Membership:
    """Decide whom to probe and what to pass on.  Not safe for threads."""

    def __init__(self, *, me: Member, rng: random.Random) -> None:
        self._me = me
        self._rng = rng
        self._members: dict[str, Member] = {me.name: me}
        self._words: dict[str, TargetWord] = {}
        self._changed_at: dict[str, float] = {}
        self._spread: dict[str, int] = {me.name: 0}
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
        """Return all entries, the dead ones too."""
        return list(self._members.values())

    def usable(self) -> list[Member]:
        """Return the members that callers may be sent to."""
        return [m for m in self._members.values() if m.status is Status.ALIVE]

    def present(self) -> list[Member]:
        """Return the members that may still answer a peer."""
        return [m for m in self._members.values() if m.status is not Status.DEAD]

    def target_word(self, target: str) -> TargetWord | None:
        """Return the last word on `target`, or None."""
        return self._words.get(target)

    # --- what to send ------------------------------------------------------

    def next_probe(self) -> Member | None:
        """Return the next peer to probe, in a shuffled round; None when alone."""
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
        """Return peers that may probe `suspect` in our place."""
        skip = {suspect, self._me.name}
        able = [m for m in self.usable() if m.name not in skip]
        return self._rng.sample(able, min(count, len(able)))

    def outgoing(self) -> tuple[list[Member], list[TargetWord]]:
        """Return the least spread words, as many as a message holds."""
        limit = _SPREAD_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        chosen = sorted(self._spread, key=self._spread_order)[:UPDATES_A_MESSAGE]
        for key in chosen:
            self._spread[key] += 1
            if self._spread[key] >= limit:
                del self._spread[key]
        members = [self._members[key] for key in chosen if key in self._members]
        words = [self._words[key] for key in chosen if key in self._words]
        return members, words

    def _spread_order(self, key: str) -> tuple[bool, int]:
        # Words on leaving and failing go before the many on those who are well.
        member = self._members.get(key)
        well = member is not None and member.status is Status.ALIVE
        return (well, self._spread[key])

    # --- what was heard ----------------------------------------------------

    def hear(self, members: Iterable[Member], words: Iterable[TargetWord], now: float) -> bool:
        """Take a peer's words in; late and repeated ones change nothing.

        Return whether a target's leaving was news, which is worth passing on
        at once.
        """
        for member in members:
            self._hear_member(member, now)
        news = [word for word in words if self.hear_target(word)]
        return any(word.leaving for word in news)

    def hear_target(self, word: TargetWord) -> bool:
        """Take a word on a target in; leaving holds for the rest of its epoch."""
        known = self._words.get(word.target)
        if known and (word.epoch, word.leaving) <= (known.epoch, known.leaving):
            return False
        self._words[word.target] = word
        self._spread[word.target] = 0
        return True

    def probe_failed(self, name: str, now: float) -> None:
        """Suspect `name` after it and its helpers failed to answer."""
        member = self._members.get(name)
        if member is not None and member.status is Status.ALIVE:
            self._set(member._replace(status=Status.SUSPECT), now)

    def expire(self, now: float) -> list[Member]:
        """Declare long suspected members dead, drop long dead ones; return the newly dead."""
        dead = []
        for member in self.members:
            age = now - self._changed_at.get(member.name, now)
            if member.status is Status.SUSPECT and age >= SUSPECT_SECONDS:
                dead.append(member._replace(status=Status.DEAD))
                self._set(dead[-1], now)
            elif member.status is Status.DEAD and age >= _FORGET_SECONDS:
                self._forget(member.name)
        return dead

    def leave(self, now: float) -> None:
        """Say that this node is leaving; final for this process."""
        self._me = self._me._replace(status=Status.LEAVING)
        self._set(self._me, now)

    def _hear_member(self, member: Member, now: float) -> None:
        if member.name == self._me.name:
            self._deny(member, now)
            return
        known = self._members.get(member.name)
        if known is None or member.rank > known.rank:
            self._set(member, now)

    def _deny(self, word: Member, now: float) -> None:
        if word.rank <= self._me.rank:
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
        self._spread[member.name] = 0

    def _forget(self, name: str) -> None:
        self._generation += 1
        del self._members[name]
        self._spread.pop(name, None)
        self._changed_at.pop(name, None)
