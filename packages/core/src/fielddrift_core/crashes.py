"""Track what crashes the targets running it, and hold it back: whole requests, parts of prompts.

A target that crashes ends all of its runs, so one crash says little about any of those
requests.  Three crashes during runs of the same request are strong evidence, unless another
request was running each time: crashes are attributed to the fewest suspects that explain them.
A suspect is a request, or a part that the prompts of different requests have in common.  A
request that any target has answered completely is cleared of its earlier crashes, and so are
the parts of its prompt.

A hold ends when its time is over, when a complete answer or an operator clears the suspect, or when
targets prove to be alive.  Further crashes end it only if other suspects that are held back explain
its crashes; those of a part, all but one.

Nodes exchange these reports in any order and any number of times.  Merging is a union, and
of two reports about the same request or target the newer one applies, so all nodes converge.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

from .errors import ErrorKind, Ran, Refusal
from .fingerprint import fingerprint
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

CRASHES_TO_HOLD = 3
"""Crashes after which a request is held back: one or two can coincide with any request."""
_PART_CRASHES_TO_HOLD = 4
"""Crashes after which a part is held back, where targets that crashed at one moment count once:
a rack that loses power ends runs of many parts."""
_UNEXPLAINED_PART_CRASHES = 2
"""Least number of its crashes that no other suspect which is held back explains."""
_SURE_PART_CRASHES = 8
"""Crashes after which it is held back whatever other targets crashed meanwhile."""
_PART_EXPLAINED_FRACTION = 0.3
"""Below this fraction of the targets that crashed meanwhile, crashes during runs of a part may be
a coincidence."""
_PART_SPAN_SECONDS = 1.0
"""Least time between the first and the last of these crashes: a part that is in many prompts is
cleared within it by a complete answer."""
_PART_WINDOW_SECONDS = 60.0
"""Time within which these crashes happen."""
_MOMENT_SECONDS = 0.15
"""Crashes within this time of the first of them count as one moment.  Measured from the one before,
a part that crashes targets quickly would have a single moment."""
_ANSWERED_SECONDS = 5.0
"""How long after a whole answer crashes are not attributed to a part of its prompt.  A part that
crashes engines has none; while many engines crash, a part that most prompts have may get none for
some seconds."""
_MAX_ANSWERED = 4096
"""Parts whose last whole answer is kept: those of a node's prompts of some seconds."""
_PART_PREFIX = "part-"
_PART_CACHE_SIZE = 4096
_INITIAL_HOLD_SECONDS = 120.0
"""First hold: a caller that has fixed its own error returns within minutes, and a request that
still crashes targets costs one target in that time."""
_MAX_HOLD_SECONDS = 1800.0
"""Upper bound of a hold, which doubles with each further crash."""
_RETENTION_SECONDS = 900.0
"""How long crashes are kept after the last one, or after the hold has ended."""
_PROBE_INTERVAL_SECONDS = 5.0
"""After a hold, one send is allowed in each such interval: a crash shows within that time."""
_EARLY_PROBE_SECONDS = (3.0, 10.0)
"""When after the beginning of a part's hold a send shows whether the part is held back by mistake,
once for each of them: without any whole answer, a part that most prompts have explains the crashes
of several requests."""
_EARLY_PROBE_FRACTION = 0.3
"""Least fraction of a node's prompts since then that have the part: holding back a part of few
prompts by mistake costs less than the targets that such sends may end."""
_EARLY_PROBE_RANKS = 2
"""Probe ranks whose nodes do so: the first node of all, and the first of each data centre."""
_EARLY_PROBE_RANK_SECONDS = 4.0
"""How long the second of these ranks waits for the first one."""
_ANSWER_SECONDS = 2.0
"""Time from a probe to the clearing of a part that is held back by mistake."""
_PROBE_RANK_SECONDS = 30.0
"""How long after a part's hold nodes of the next probe rank wait for those before them: many
requests have the part, and each node would probe with one of its own."""
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


@lru_cache(maxsize=_PART_CACHE_SIZE)
def part_suspect(model: str, part: str) -> str:
    """Return the name under which crashes are recorded for a part of prompts to `model`."""
    return _PART_PREFIX + fingerprint((model.encode(), part.encode()))


def is_part(suspect: str) -> bool:
    """Return whether a suspect is a part of prompts, not a whole request."""
    return suspect.startswith(_PART_PREFIX)


class Crash(NamedTuple):
    """The crash of a target instance during a run of a request.

    `fingerprint` is that of the request, or the name of a part of its prompt (`part_suspect`).
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
    """A request, or the prompts with a part, held back `until` a time.

    `targets` crashed while running it, in this order.  `fingerprint` is as in `Crash`.  From
    `probe_at` on, in seconds on the same clock, a single request with the part may be sent before
    the hold's end.
    """

    fingerprint: str
    targets: tuple[str, ...]
    until: float
    probe_at: float = float("inf")

    def refusal(self, now: float, ran: Ran) -> Refusal:
        """Return the refusal for a caller that sends the request at `now`."""
        left = max(0.0, self.until - now)
        # The answer to an early probe may end the hold before.
        until_answer = max(now, self.probe_at) + _ANSWER_SECONDS - now
        name = self.fingerprint
        what = f"prompts with {name} are" if is_part(name) else f"request {name} is"
        detail = (
            f"{what} held back for {left:.1f} s: "
            f"{len(self.targets)} targets ended while they ran it: {', '.join(self.targets)}"
        )
        return Refusal(ErrorKind.HELD_BACK, detail, ran, min(left, until_answer))


class _PromptCount(NamedTuple):
    """The prompts that arrived in some time, and those of them that have one part."""

    with_part: int = 0
    all: int = 0


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
        self._attributed: dict[str, HeldRequest] = {}
        """What was held back when the crashes were last attributed."""
        self._outdated = False
        """Whether crashes of frequent suspects have been added or removed since then."""
        self._probe_until: dict[str, float] = {}
        self._early_probes: dict[str, int] = {}
        """Requests sent before the end of each part's hold, whatever became of them."""
        self._prompts: dict[str, _PromptCount] = {}
        """Prompts since each part has been held back."""

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
        held = self._held.get(fingerprint)
        if held is None or now < held.until:
            return held
        until = self._probe_until.get(fingerprint, float("-inf"))
        return held._replace(until=until) if now < until else None

    def first_held(
        self, suspects: Sequence[str], now: float, *, probe_rank: int = 0
    ) -> HeldRequest | None:
        """Return the hold that applies to a request with these `suspects`, None for none.

        The first of `suspects` is the request itself.  After the hold of a part, nodes of a higher
        `probe_rank` hold it back for longer.
        """
        names = [name for name in suspects if name in self._held]
        found = [held for name in names if (held := self._held_at(name, now, probe_rank))]
        if len(found) == 1 and self._may_probe_early(found[0], suspects[0], now, probe_rank):
            return None
        if not found:
            return None
        held = found[0]
        if self._is_probed_early(held.fingerprint):
            return held
        return held._replace(probe_at=float("inf"))

    def _held_at(self, name: str, now: float, probe_rank: int) -> HeldRequest | None:
        held = self._held[name]
        until = held.until + probe_rank * _PROBE_RANK_SECONDS
        if is_part(name) and held.until <= now < until:
            return held._replace(until=until)
        return self.held(name, now)

    def _may_probe_early(
        self, held: HeldRequest, fingerprint: str, now: float, probe_rank: int
    ) -> bool:
        """Return whether a request may show whether its only held part is held back by mistake."""
        if probe_rank >= _EARLY_PROBE_RANKS or fingerprint in self._crashes:
            return False
        if not self._is_probed_early(held.fingerprint):
            return False
        probe_at = held.probe_at + probe_rank * _EARLY_PROBE_RANK_SECONDS
        return now >= max(probe_at, self._probe_until.get(held.fingerprint, probe_at))

    def _is_probed_early(self, part: str) -> bool:
        """Return whether a request may still be sent before the end of a part's hold."""
        prompts = self._prompts.get(part, _PromptCount())
        is_common = prompts.with_part >= max(1.0, _EARLY_PROBE_FRACTION * prompts.all)
        return is_common and self._early_probes.get(part, 0) < len(_EARLY_PROBE_SECONDS)

    def admit_request(
        self, suspects: Sequence[str], now: float, *, probe_rank: int = 0
    ) -> HeldRequest | None:
        """Admit a request that is about to be sent; return the hold where it is not admitted.

        After a hold, a single send probes whether the suspect still crashes its target.
        """
        held = self.first_held(suspects, now, probe_rank=probe_rank)
        if held is None:
            for name in suspects:
                if name in self._held:
                    self._probe_until[name] = now + _PROBE_INTERVAL_SECONDS
                    if now < self._held[name].until:
                        self._early_probes[name] = self._early_probes.get(name, 0) + 1
        return held

    def count_prompt(self, suspects: Collection[str]) -> None:
        """Count a prompt that has arrived at this node for the parts that are held back."""
        for name in self._held:
            if is_part(name):
                count = self._prompts.get(name, _PromptCount())
                with_part = count.with_part + (name in suspects)
                self._prompts[name] = _PromptCount(with_part, count.all + 1)

    def admit(self, fingerprint: str, now: float) -> HeldRequest | None:
        """Admit a request by its fingerprint alone, as `admit_request` does."""
        return self.admit_request((fingerprint,), now)

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
            self._early_probes.pop(crash.fingerprint, None)
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
    def _held(self) -> dict[str, HeldRequest]:
        """The suspects that are held back, or were and may be again.

        Crashes are attributed when that is asked: a target that crashes ends many runs, and racks
        many targets.
        """
        if self._outdated:
            self._outdated = False
            self._update_holds()
        return self._attributed

    def _update_holds(self) -> None:
        """Attribute the crashes to the fewest suspects that explain them, and hold those back.

        Requests explain the crashes of a part first, as several requests that crash targets may
        have an innocent part in common.  A request that held parts explain is not held back itself.
        """
        counts = {name: len(self._crashes.get(name, {})) for name in self._frequent}
        suspects = {name for name, count in counts.items() if count >= CRASHES_TO_HOLD}
        self._frequent = suspects
        ranked = sorted(suspects, key=self._suspicion_key)
        requests = [name for name in ranked if not is_part(name)]
        parts = self._evident_parts(name for name in ranked if is_part(name))
        held: dict[str, HeldRequest] = {}
        explained: set[str] = set()
        held_requests = self._hold_requests(requests, explained)
        while parts:
            name = self._first_unexplained(parts, explained | _targets(held_requests.values()))
            if name is None:
                break
            held[name] = self._hold_part(name, parts.pop(name), explained)
            explained.update(held[name].targets)
            held_requests = self._hold_requests(requests, explained)
        held |= held_requests
        self._attributed = held
        self._probe_until = {
            name: until for name, until in self._probe_until.items() if name in held
        }
        self._prompts = {name: count for name, count in self._prompts.items() if name in held}

    def _hold_requests(
        self, ranked: Iterable[str], explained: Collection[str]
    ) -> dict[str, HeldRequest]:
        """Return the holds of requests that explain crashes of other targets than `explained`."""
        held: dict[str, HeldRequest] = {}
        explained = set(explained)
        for name in ranked:
            crashes = self.crashes_of(name)
            own = [crash.target for crash in crashes if crash.target not in explained]
            if len(own) < CRASHES_TO_HOLD:
                continue
            explained.update(own)
            until = crashes[-1].at + _hold_seconds(len(crashes) - CRASHES_TO_HOLD)
            held[name] = HeldRequest(name, tuple(own), until)
        return held

    def _evident_parts(self, ranked: Iterable[str]) -> dict[str, float]:
        """Return when the crashes of each part sufficed, in the order of these times.

        In this order a part that is held back stays so while others gather crashes.
        """
        begun = {}
        for name in ranked:
            if (at := self._evident_at(name)) is not None:
                begun[name] = at
        return dict(sorted(begun.items(), key=lambda item: item[1]))

    def _first_unexplained(self, parts: Iterable[str], explained: Collection[str]) -> str | None:
        """Return the first of `parts` with crashes of other targets than `explained`, if any."""
        for name in parts:
            own = [crash for crash in self.crashes_of(name) if crash.target not in explained]
            if len(_moments(own)) >= _UNEXPLAINED_PART_CRASHES:
                return name
        return None

    def _hold_part(self, name: str, begun: float, explained: Collection[str]) -> HeldRequest:
        crashes = self.crashes_of(name)
        return HeldRequest(
            name,
            tuple(crash.target for crash in crashes if crash.target not in explained),
            crashes[-1].at + _part_hold_seconds(crashes),
            _early_probe_at(_moments(crashes), begun),
        )

    def _evident_at(self, part: str) -> float | None:
        """Return when the crashes of a part sufficed to hold it back, None if they do not.

        Any stretch of them suffices, so that neither more of them nor later crashes of other
        targets count against it.
        """
        times = [crash.at for crash in self.crashes_of(part)]
        ended = sorted(self._ended.values())
        ended_until = [bisect_right(ended, at) for at in times]
        found: float | None = None
        for first, begin in enumerate(times):
            ended_before = bisect_left(ended, begin)
            moments, moment = 0, float("-inf")
            for last, at in enumerate(times[first:], start=first):
                if at - begin >= _PART_WINDOW_SECONDS or (found is not None and at >= found):
                    break
                if at - moment > _MOMENT_SECONDS:
                    moments, moment = moments + 1, at
                if moments < _PART_CRASHES_TO_HOLD or at - begin < _PART_SPAN_SECONDS:
                    continue
                meanwhile = ended_until[last] - ended_before
                is_common = last - first + 1 >= _PART_EXPLAINED_FRACTION * meanwhile
                if is_common or moments >= _SURE_PART_CRASHES:
                    found = at
                    break
        return found

    def _suspicion_key(self, name: str) -> tuple[int, bool, float, str]:
        """Return the sort key among suspects: most crashes first, then the shortest mean run.

        Of a request and a part with the same crashes the request comes first: it is less.  What
        crashes its target does so early; what merely runs at the same time may have run for any
        duration.
        """
        by_target = self._crashes[name]
        ran = sum(crash.ran for crash in by_target.values()) / len(by_target)
        return (-len(by_target), is_part(name), ran, name)


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


def _targets(holds: Iterable[HeldRequest]) -> set[str]:
    return {target for held in holds for target in held.targets}


def _moments(crashes: Iterable[Crash]) -> list[float]:
    """Return the times of `crashes`, in chronological order, that are a moment after the one
    returned before."""
    found: list[float] = []
    for crash in crashes:
        if not found or crash.at - found[-1] > _MOMENT_SECONDS:
            found.append(crash.at)
    return found


def _early_probe_at(times: Sequence[float], begun: float) -> float:
    """Return from when on a request may be sent before the end of a part's hold that has `begun`,
    infinity for never.  `times` are those of the part's crashes."""
    probes = sum(at > begun + _EARLY_PROBE_SECONDS[0] for at in times)
    if probes >= len(_EARLY_PROBE_SECONDS):
        return float("inf")
    return begun + _EARLY_PROBE_SECONDS[probes]


def _part_hold_seconds(crashes: Sequence[Crash]) -> float:
    """Return how long a part is held back after the last of `crashes`."""
    # Sends in progress when the hold begins still crash targets, and are no probes.
    settled = crashes[0].at + _PART_WINDOW_SECONDS
    return _hold_seconds(sum(crash.at > settled for crash in crashes))


def _hold_seconds(further: int) -> float:
    """Return the time of a hold, which doubles with each of `further` crashes."""
    return min(_MAX_HOLD_SECONDS, _INITIAL_HOLD_SECONDS * 2.0 ** min(further, 10))


def _recent(entries: dict[str, float], now: float, max_age: float) -> tuple[tuple[str, float], ...]:
    """Return names and ages in seconds, at most `max_age`, newest first."""
    aged: Iterable[tuple[str, float]] = ((name, now - at) for name, at in entries.items())
    return tuple(sorted((item for item in aged if item[1] <= max_age), key=lambda item: item[1]))
