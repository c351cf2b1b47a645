"""Track requests that crash the targets running them, and hold those requests back.

A target that crashes ends all of its runs, so one crash says little about any of those
requests.  Three crashes during runs of the same request are strong evidence, unless another
request was running each time: crashes are attributed to the fewest requests that explain
them.  A request that any target has answered completely is cleared of its earlier crashes.

Nodes exchange these reports in any order and any number of times.  Merging is a union, and
of two reports about the same request or target the newer one applies, so all nodes converge.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .errors import ErrorKind, Ran, Refusal
from .target_registry import target_id

__all__ = ["CRASHES_TO_HOLD", "Crash", "CrashHistory", "CrashUpdate", "HeldRequest"]

CRASHES_TO_HOLD = 3
"""Crashes after which a request is held back: one or two can coincide with any request."""
_INITIAL_HOLD_SECONDS = 120.0
"""First hold: a caller that has fixed its own error returns within minutes, and a request that
still crashes targets costs one target in that time."""
_MAX_HOLD_SECONDS = 1800.0
"""Upper bound of a hold, which doubles with each crash beyond the third."""
_RETENTION_SECONDS = 900.0
"""How long crashes are kept after the last one, or after the hold has ended."""
_PROBE_INTERVAL_SECONDS = 5.0
"""After a hold, one send is allowed in each such interval: a crash shows within that time."""
_MAX_CRASHES = 2048
"""Crashes kept: some 300 bytes each, and a crash ends at most about 100 runs."""
_MAX_RETRACTIONS = 2048
"""Cleared requests, and targets found alive after all, that are kept so that a late report of
an earlier crash does not count again."""
_SAME_EVENT_SECONDS = 0.5
"""Times received from other nodes are off by the transit time of a datagram: a report that is
newer by at most this much describes the same event."""


class Crash(NamedTuple):
    """The crash of a target instance during a run of a request.

    `target` is the instance name.  `at` is the time in seconds on the node's clock, and `ran`
    the duration of the run until then; in a `CrashUpdate`, `at` is the seconds since the crash.
    """

    fingerprint: str
    target: str
    at: float
    ran: float


class CrashUpdate(NamedTuple):
    """What a node reports to others about crashes; all times are ages in seconds.

    `cleared` are requests that a target has answered completely, or that operators have
    released; `living` are targets that are alive after all.  `data_centre` is the sender's.
    """

    data_centre: str = ""
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()
    living: tuple[tuple[str, float], ...] = ()


class HeldRequest(NamedTuple):
    """A request held back `until` a time; `targets` crashed while running it, in this order."""

    fingerprint: str
    targets: tuple[str, ...]
    until: float

    def refusal(self, now: float, ran: Ran) -> Refusal:
        """Return the refusal for a caller that sends the request at `now`."""
        left = max(0.0, self.until - now)
        detail = (
            f"request {self.fingerprint} is held back for {left:.1f} s: "
            f"{len(self.targets)} targets ended while they ran it: {', '.join(self.targets)}"
        )
        return Refusal(ErrorKind.HELD_BACK, detail, ran, left)


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
        self._cleared: dict[str, float] = {}
        self._living: dict[str, float] = {}
        self._frequent: set[str] = set()
        """Requests with at least `CRASHES_TO_HOLD` crashes."""
        self._held: dict[str, HeldRequest] = {}
        self._probe_until: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of recorded crashes."""
        return len(self._order)

    # --- Recording events and merging updates ---------------------------------------

    def record_crash(self, crash: Crash) -> bool:
        """Record that a target crashed during a run; return whether this is new."""
        over = max(
            _timestamp(self._cleared, crash.fingerprint), _timestamp(self._living, crash.target)
        )
        known = crash.target in self._crashes.get(crash.fingerprint, {})
        if known or crash.at <= over + _SAME_EVENT_SECONDS:
            return False
        self._crashes.setdefault(crash.fingerprint, {})[crash.target] = crash
        self._targets.setdefault(crash.target, {})[crash.fingerprint] = crash
        self._order.append(crash)
        if len(self._order) > _MAX_CRASHES:
            self._evict_oldest()
        if len(self._crashes[crash.fingerprint]) >= CRASHES_TO_HOLD:
            self._frequent.add(crash.fingerprint)
            self._update_holds()
        return True

    def clear(self, fingerprint: str, at: float) -> bool:
        """Record that a request was answered completely, or released by an operator, at `at`.

        Return whether this is new.
        """
        if not _record_latest(self._cleared, fingerprint, at):
            return False
        known = self._crashes.get(fingerprint, {})
        self._remove_all(crash for crash in known.values() if crash.at <= at + _SAME_EVENT_SECONDS)
        return True

    def record_alive(self, target: str, at: float) -> bool:
        """Record that a target reported as crashed is alive at `at`; return whether this is new."""
        if not _record_latest(self._living, target, at):
            return False
        ended = self._targets.get(target, {})
        self._remove_all(crash for crash in ended.values() if crash.at <= at + _SAME_EVENT_SECONDS)
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
        held = self._held.get(fingerprint)
        if held is None or now < held.until:
            return held
        until = self._probe_until.get(fingerprint, float("-inf"))
        return held._replace(until=until) if now < until else None

    def admit(self, fingerprint: str, now: float) -> HeldRequest | None:
        """Admit a request that is about to be sent; return the hold where it is not admitted.

        After a hold, a single send probes whether the request still crashes its target.
        """
        held = self.held(fingerprint, now)
        if held is None and fingerprint in self._held:
            self._probe_until[fingerprint] = now + _PROBE_INTERVAL_SECONDS
        return held

    def all_held(self, now: float) -> list[HeldRequest]:
        """Return the requests that are held back at `now`, sorted by fingerprint."""
        return [held for _, held in sorted(self._held.items()) if now < held.until]

    def crashes_of(self, fingerprint: str) -> Sequence[Crash]:
        """Return the crashes recorded for a request, in chronological order."""
        return sorted(self._crashes.get(fingerprint, {}).values(), key=_sort_key)

    # --- Updates for other nodes ----------------------------------------------------

    def update(self, now: float, *, limit: int, max_age: float) -> CrashUpdate:
        """Return what other nodes may have missed, at most `limit` entries of each kind.

        Crashes of held requests come first, whatever their age.  The rest is at most
        `max_age` seconds old, newest first.
        """
        held = [crash for name in self._held for crash in self.crashes_of(name)]
        newest = [c for c in reversed(self._order) if now - c.at <= max_age and c not in held]
        crashes = tuple(crash._replace(at=now - crash.at) for crash in [*held, *newest][:limit])
        cleared = _recent(self._cleared, now, max_age)
        living = _recent(self._living, now, max_age)
        return CrashUpdate(crashes=crashes, cleared=cleared[:limit], living=living[:limit])

    # --- Expiry ---------------------------------------------------------------------

    def expire(self, now: float) -> None:
        """Remove entries whose retention has ended."""
        for known in (self._cleared, self._living):
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
        if any(crash.fingerprint in self._frequent for crash in found):
            self._update_holds()

    def _remove(self, crash: Crash) -> None:
        by_target = self._crashes.get(crash.fingerprint, {})
        if by_target.pop(crash.target, None) is None:
            return
        self._order.remove(crash)
        if not by_target:
            del self._crashes[crash.fingerprint]
        by_request = self._targets[crash.target]
        del by_request[crash.fingerprint]
        if not by_request:
            del self._targets[crash.target]

    def _evict_oldest(self) -> None:
        """Remove the oldest crash, preferably of a request that is not held back."""
        free = (crash for crash in self._order if crash.fingerprint not in self._held)
        self._remove(next(free, self._order[0]))

    # --- Attribution ----------------------------------------------------------------

    def _update_holds(self) -> None:
        """Attribute the crashes to the fewest requests that explain them, and hold those back."""
        counts = {name: len(self._crashes.get(name, {})) for name in self._frequent}
        suspects = {name for name, count in counts.items() if count >= CRASHES_TO_HOLD}
        self._frequent = suspects
        explained: set[str] = set()
        held: dict[str, HeldRequest] = {}
        for name in sorted(suspects, key=self._suspicion_key):
            crashes = [c for c in self.crashes_of(name) if c.target not in explained]
            if len(crashes) < CRASHES_TO_HOLD:
                continue
            explained.update(crash.target for crash in crashes)
            held[name] = HeldRequest(
                name,
                tuple(crash.target for crash in crashes),
                crashes[-1].at + _hold_seconds(len(crashes)),
            )
        self._held = held
        self._probe_until = {
            name: until for name, until in self._probe_until.items() if name in held
        }

    def _suspicion_key(self, name: str) -> tuple[int, float, str]:
        """Return the sort key among suspects: most crashes first, then the shortest mean run.

        A request that crashes its target does so early; one that merely runs at the same time
        may have run for any duration.
        """
        by_target = self._crashes[name]
        ran = sum(crash.ran for crash in by_target.values()) / len(by_target)
        return (-len(by_target), ran, name)


def _sort_key(crash: Crash) -> tuple[float, str]:
    return (crash.at, crash.target)


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


def _hold_seconds(crashes: int) -> float:
    doubled = _INITIAL_HOLD_SECONDS * 2.0 ** min(crashes - CRASHES_TO_HOLD, 10)
    return min(_MAX_HOLD_SECONDS, doubled)


def _recent(entries: dict[str, float], now: float, max_age: float) -> tuple[tuple[str, float], ...]:
    """Return names and ages in seconds, at most `max_age`, newest first."""
    aged: Iterable[tuple[str, float]] = ((name, now - at) for name, at in entries.items())
    return tuple(sorted((item for item in aged if item[1] <= max_age), key=lambda item: item[1]))
