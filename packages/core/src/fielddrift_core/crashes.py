"""Track what crashes the targets running it, and hold it back: whole requests, parts of prompts.

A target that crashes ends all of its runs, so one crash says little about any of those
requests; `crash_attribution` holds the rule by which crashes are attributed to suspects.  A suspect
is a request, or a part that the prompts of different requests have in common.  A request that any
target has answered completely is cleared of its earlier crashes, and so are the parts of its
prompt.

A hold ends when its time is over, when a complete answer or an operator clears the suspect, or when
targets prove to be alive.  Further crashes end it only if other suspects that are held back explain
its crashes; those of a part, all but one.

Nodes exchange these reports in any order and any number of times.  Merging is a union, and
of two reports about the same request or target the newer one applies, so all nodes converge.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from .crash_attribution import (
    CRASHES_TO_HOLD,
    Attribution,
    Crash,
    HeldRequest,
    chronological,
    is_part,
    part_suspect,
)
from .crash_probes import HoldProbes
from .outside_values import Finite
from .target_registry import target_id

__all__ = [
    "CRASHES_TO_HOLD",
    "Crash",
    "CrashHistory",
    "CrashUpdate",
    "HeldRequest",
    "is_part",
    "part_suspect",
]

_ANSWERED_SECONDS = 5.0
"""How long after a whole answer crashes are not attributed to a part of its prompt.  A part that
crashes engines has none; while many engines crash, a part that most prompts have may get none for
some seconds."""
_MAX_ANSWERED = 4096
"""Parts whose last whole answer is kept: those of a node's prompts of some seconds."""
_RETENTION_SECONDS = 900.0
"""How long crashes are kept after the last one, or after the hold has ended."""
_MAX_CRASHES = 4096
"""Crashes kept: some 300 bytes each.  A crash ends at most about 100 runs, whose prompts have some
parts in common."""
_MAX_ENDED_TARGETS = 512
_MAX_RETRACTIONS = 2048
"""Cleared requests, and targets found alive after all, that are kept so that a late report of
an earlier crash does not count again."""
_SAME_EVENT_SECONDS = 0.5
"""Times received from other nodes are off by the transit time of a datagram: a report that is
newer by at most this much describes the same event."""


class CrashUpdate(NamedTuple):
    """What a node reports to others about crashes; all times are ages in seconds.

    `cleared` are requests that a target has answered completely, or that operators have
    released; `living` are targets that are alive after all.  `data_centre` is the sender's.
    """

    data_centre: str = ""
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[tuple[str, Finite], ...] = ()
    living: tuple[tuple[str, Finite], ...] = ()


class CrashHistory:
    """The recorded crashes, and the requests that are held back because of them.

    Not thread-safe.  All times are in seconds on one clock.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, Crash]] = {}
        """Crashes by request, then by target."""
        self._targets: dict[str, dict[str, Crash]] = {}
        """The same crashes by target, then by request."""
        self._order: deque[Crash] = deque()
        """Crashes in the order of their recording; the first ones are evicted first."""
        self._ended: dict[str, float] = {}
        """When each target crashed, the latest last, also if its crash says nothing any more."""
        self._cleared: dict[str, float] = {}
        self._answered: dict[str, float] = {}
        """When this node last had a whole answer to a prompt with each part, the latest last."""
        self._living: dict[str, float] = {}
        self._frequent: set[str] = set()
        """Suspects with at least `CRASHES_TO_HOLD` crashes."""
        self._last_probes = HoldProbes()
        """The holds when the crashes were last attributed."""
        self._outdated = False
        """Whether crashes of frequent suspects have been added or removed since then."""

    def __len__(self) -> int:
        """Return the number of recorded crashes."""
        return len(self._order)

    # --- Recording events and merging updates ---------------------------------------

    def record_crash(self, crash: Crash) -> bool:
        """Record that a target crashed during a run; return whether this is new."""
        self._record_end(crash)
        alive = _timestamp(self._living, crash.target) + _SAME_EVENT_SECONDS
        known = crash.target in self._crashes.get(crash.fingerprint, {})
        if known or crash.at <= max(alive, self._cleared_until(crash.fingerprint)):
            return False
        self._crashes.setdefault(crash.fingerprint, {})[crash.target] = crash
        self._targets.setdefault(crash.target, {})[crash.fingerprint] = crash
        self._order.append(crash)
        if len(self._order) > _MAX_CRASHES:
            self._evict_oldest()
        if len(self._crashes[crash.fingerprint]) >= CRASHES_TO_HOLD:
            self._frequent.add(crash.fingerprint)
            self._outdated = True
        return True

    def _cleared_until(self, suspect: str) -> float:
        """Return the time until which crashes are not attributed to `suspect`."""
        cleared = _timestamp(self._cleared, suspect)
        if not is_part(suspect):
            return cleared + _SAME_EVENT_SECONDS
        return max(cleared, _timestamp(self._answered, suspect)) + _ANSWERED_SECONDS

    def _record_end(self, crash: Crash) -> None:
        if crash.at <= _timestamp(self._living, crash.target) + _SAME_EVENT_SECONDS:
            return
        at = min(crash.at, self._ended.pop(crash.target, crash.at))
        self._ended[crash.target] = at
        if len(self._ended) > _MAX_ENDED_TARGETS:
            del self._ended[next(iter(self._ended))]

    def record_answer(self, suspects: Iterable[str], at: float) -> list[str]:
        """Record a whole answer; return the suspects that it cleared of recorded crashes."""
        found = []
        for name in suspects:
            if is_part(name):
                self._answered.pop(name, None)
                self._answered[name] = at
                if len(self._answered) > _MAX_ANSWERED:
                    del self._answered[next(iter(self._answered))]
            if name in self._crashes and self.clear(name, at):
                found.append(name)
        return found

    def clear(self, fingerprint: str, at: float) -> bool:
        """Record that a request was answered completely, or released by an operator, at `at`.

        Return whether this is new.
        """
        if not _record_latest(self._cleared, fingerprint, at):
            return False
        until = self._cleared_until(fingerprint)
        known = self._crashes.get(fingerprint, {})
        self._remove_all(crash for crash in known.values() if crash.at <= until)
        return True

    def answers_against(self, crashes: Iterable[Crash]) -> dict[str, float]:
        """Return the parts that whole answers at this node clear of any of `crashes`, each with the
        time of the last answer.

        Parts that other nodes know to be cleared are left out.
        """
        found = {}
        for crash in crashes:
            answered = self._answered.get(crash.fingerprint)
            if answered is None or crash.at > answered + _ANSWERED_SECONDS:
                continue
            if crash.at > _timestamp(self._cleared, crash.fingerprint) + _ANSWERED_SECONDS:
                found[crash.fingerprint] = answered
        return found

    def record_alive(self, target: str, at: float) -> bool:
        """Record that a target reported as crashed is alive at `at`; return whether this is new."""
        if not _record_latest(self._living, target, at):
            return False
        until = at + _SAME_EVENT_SECONDS
        if _timestamp(self._ended, target) <= until:
            self._ended.pop(target, None)
        ended = self._targets.get(target, {})
        self._remove_all(crash for crash in ended.values() if crash.at <= until)
        return True

    def merge(self, update: CrashUpdate, now: float) -> CrashUpdate:
        """Merge another node's update; return the part of it that is new, as it was received."""
        living = [item for item in update.living if self.record_alive(item[0], now - item[1])]
        crashes = [c for c in update.crashes if self.record_crash(c._replace(at=now - c.at))]
        cleared = [item for item in update.cleared if self.clear(item[0], now - item[1])]
        return update._replace(crashes=tuple(crashes), cleared=tuple(cleared), living=tuple(living))

    # --- Requests held back ---------------------------------------------------------

    @property
    def is_empty(self) -> bool:
        """Return whether no crash is recorded."""
        return not self._crashes

    @property
    def has_updates(self) -> bool:
        """Return whether anything is recorded that another node may have missed."""
        return bool(self._crashes or self._cleared or self._living)

    @property
    def has_holds(self) -> bool:
        """Return whether anything is held back, or was and may be again."""
        return bool(self._held)

    @property
    def suspects(self) -> frozenset[str]:
        """Return the requests that are held back, or were and may be again."""
        return frozenset(self._held)

    def ended_instances(self, target: str) -> int:
        """Return the number of crashed instances of the target with the id `target`."""
        return sum(target_id(life) == target for life in self._targets)

    def has_crashes(self, fingerprint: str) -> bool:
        """Return whether any crash is recorded for a request."""
        return fingerprint in self._crashes

    def ended_before(self, target: str, at: float) -> bool:
        """Return whether a crash of the instance `target` before `at` is recorded."""
        return any(crash.at < at for crash in self._targets.get(target, {}).values())

    def held(self, fingerprint: str, now: float) -> HeldRequest | None:
        """Return the hold that applies to a request now, None where it may be sent."""
        return self._probes.held(fingerprint, now)

    def first_held(
        self, suspects: Sequence[str], now: float, *, probe_rank: int = 0
    ) -> HeldRequest | None:
        """Return the hold that applies to a request with these `suspects`, None for none.

        The first of `suspects` is the request itself.  After the hold of a part, nodes of a higher
        `probe_rank` hold it back for longer.
        """
        may_probe = suspects[0] not in self._crashes
        return self._probes.first_held(suspects, now, probe_rank=probe_rank, may_probe=may_probe)

    def admit_request(
        self, suspects: Sequence[str], now: float, *, probe_rank: int = 0
    ) -> HeldRequest | None:
        """Admit a request that is about to be sent; return the hold where it is not admitted.

        After a hold, a single send probes whether the suspect still crashes its target.
        """
        may_probe = suspects[0] not in self._crashes
        return self._probes.admit(suspects, now, probe_rank=probe_rank, may_probe=may_probe)

    def admit(self, fingerprint: str, now: float) -> HeldRequest | None:
        """Admit a request by its fingerprint alone, as `admit_request` does."""
        return self.admit_request((fingerprint,), now)

    def count_prompt(self, suspects: Collection[str]) -> None:
        """Count a prompt that has arrived at this node for the parts that are held back."""
        self._probes.count_prompt(suspects)

    def all_held(self, now: float) -> list[HeldRequest]:
        """Return the requests that are held back at `now`, sorted by fingerprint."""
        return [held for _, held in sorted(self._held.items()) if now < held.until]

    def crashes_of(self, fingerprint: str) -> Sequence[Crash]:
        """Return the crashes recorded for a request, in chronological order."""
        return sorted(self._crashes.get(fingerprint, {}).values(), key=chronological)

    # --- Updates for other nodes ----------------------------------------------------

    def update(self, now: float, *, limit: int, max_age: float) -> CrashUpdate:
        """Return what other nodes may have missed, at most `limit` entries of each kind.

        Crashes of held requests come first, whatever their age.  The rest is at most
        `max_age` seconds old, newest first.
        """
        held = [crash for name in self._held for crash in self.crashes_of(name)]
        sent = frozenset(held)
        newest = [c for c in reversed(self._order) if now - c.at <= max_age and c not in sent]
        crashes = tuple(crash._replace(at=now - crash.at) for crash in [*held, *newest][:limit])
        cleared = _recent(self._cleared, now, max_age)
        living = _recent(self._living, now, max_age)
        return CrashUpdate(crashes=crashes, cleared=cleared[:limit], living=living[:limit])

    # --- Expiry ---------------------------------------------------------------------

    def expire(self, now: float) -> None:
        """Remove entries whose retention has ended."""
        for known in (self._cleared, self._living, self._ended):
            for name in [name for name, at in known.items() if now - at > _RETENTION_SECONDS]:
                del known[name]
        self._remove_all(
            c for c in self._order if now > self._relevant_until(c) + _RETENTION_SECONDS
        )

    def _relevant_until(self, crash: Crash) -> float:
        """Return when the retention of `crash` begins: at the crash, or after the hold."""
        held = self._held.get(crash.fingerprint)
        return crash.at if held is None else held.until

    def _remove_all(self, crashes: Iterable[Crash]) -> None:
        found = list(crashes)
        for crash in found:
            self._remove(crash)
        self._outdated |= any(crash.fingerprint in self._frequent for crash in found)

    def _remove(self, crash: Crash) -> None:
        by_target = self._crashes.get(crash.fingerprint, {})
        if by_target.pop(crash.target, None) is None:
            return
        self._order.remove(crash)
        if not by_target:
            del self._crashes[crash.fingerprint]
            self._last_probes.forget(crash.fingerprint)
        by_request = self._targets[crash.target]
        del by_request[crash.fingerprint]
        if not by_request:
            del self._targets[crash.target]

    def _evict_oldest(self) -> None:
        """Remove the oldest crash, preferably of a suspect with too few to be held back."""
        free = (crash for crash in self._order if crash.fingerprint not in self._frequent)
        self._remove(next(free, self._order[0]))

    # --- Attribution ----------------------------------------------------------------

    @property
    def _held(self) -> Mapping[str, HeldRequest]:
        """The suspects that are held back, or were and may be again."""
        return self._probes.holds

    @property
    def _probes(self) -> HoldProbes:
        """The current holds.

        Crashes are attributed when that is asked: a target that crashes ends many runs, and racks
        many targets.
        """
        if self._outdated:
            self._outdated = False
            counts = {name: len(self._crashes.get(name, {})) for name in self._frequent}
            self._frequent = {name for name, count in counts.items() if count >= CRASHES_TO_HOLD}
            crashes = {name: self._crashes[name] for name in self._frequent}
            attribution = Attribution(crashes=crashes, ended=self._ended.values())
            self._last_probes.update(attribution.holds())
        return self._last_probes


def _timestamp(entries: dict[str, float], name: str) -> float:
    return entries.get(name, float("-inf"))


def _record_latest(entries: dict[str, float], name: str, at: float) -> bool:
    """Set the timestamp of `name` unless it has a newer one; return whether it was set."""
    if at <= _timestamp(entries, name) + _SAME_EVENT_SECONDS:
        return False
    entries.pop(name, None)
    entries[name] = at
    if len(entries) > _MAX_RETRACTIONS:
        entries.pop(next(iter(entries)))
    return True


def _recent(entries: dict[str, float], now: float, max_age: float) -> tuple[tuple[str, float], ...]:
    """Return names and ages in seconds, at most `max_age`, newest first."""
    aged: Iterable[tuple[str, float]] = ((name, now - at) for name, at in entries.items())
    return tuple(sorted((item for item in aged if item[1] <= max_age), key=lambda item: item[1]))
