"""Know which requests end the targets that run them, and hold those back.

A target that ends takes all of its runs with it, so one crash says little of any of
them.  Three crashes under one request say much, unless another request was there each
time: crashes are laid to as few requests as explain them.  A request that any target
answered whole has ended none, and is cleared of what was noted before.

Nodes tell each other all of it, in any order and any number of times: what a node knows
grows by union, and clearing goes by time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .errors import Kind, Ran, Refusal
from .target_registry import target_id

__all__ = ["CRASHES_TO_HOLD", "Crash", "CrashHistory", "CrashNews", "Held"]

CRASHES_TO_HOLD = 3
"""Ends of targets after which a request is held back: one or two happen to any request."""
_HOLD_SECONDS = 120.0
"""How long a request is held back first: a caller that has an error of its own mended returns
within minutes, and a request that still crashes costs one target in that time."""
_LONGEST_HOLD_SECONDS = 1800.0
"""What holds grow to, doubling with each crash beyond the third."""
_FORGET_SECONDS = 900.0
"""How long crashes are remembered beyond the last one, or beyond the hold."""
_TRIAL_SECONDS = 5.0
"""After a hold one send goes out, and no other for so long: its end shows within that time."""
_MOST_CRASHES = 2048
"""Crashes that are remembered: some 300 bytes each, and a target ends under 100 runs or so."""
_MOST_NOTED = 2048
"""Requests that were cleared, and targets that live after all, which are remembered so that
late news does not count again."""
_SAME_SECONDS = 0.5
"""Times that nodes tell each other differ by the way of a datagram: one that is newer by less
is the same event told again."""


class Crash(NamedTuple):
    """The end of a target, by the name of its life, under a run of a request.

    `at` is when, in seconds on the node's clock, and `ran` how long the run had lasted; in
    `CrashNews` `at` is the seconds since then.
    """

    fingerprint: str
    target: str
    at: float
    ran: float


class CrashNews(NamedTuple):
    """What a node tells others of crashes; all times are in seconds before it was told.

    `cleared` are requests that a target has answered whole, or that operators let go, and
    when; `living` are targets that live after all.  `data_centre` is the teller's.
    """

    data_centre: str = ""
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()
    living: tuple[tuple[str, float], ...] = ()


class Held(NamedTuple):
    """A request that is held back `until` a time; `targets` ended under it, in this order."""

    fingerprint: str
    targets: tuple[str, ...]
    until: float

    def refusal(self, now: float, ran: Ran) -> Refusal:
        """Return what a caller is told that asks at `now`."""
        left = max(0.0, self.until - now)
        detail = (
            f"request {self.fingerprint} is held back for {left:.1f} s: "
            f"{len(self.targets)} targets ended while they ran it: {', '.join(self.targets)}"
        )
        return Refusal(Kind.HELD_BACK, detail, ran, left)


class CrashHistory:
    """The crashes that are remembered, and the requests held back for them.

    Not safe for threads.  All times are in seconds on one clock.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, Crash]] = {}
        """By request, then by target."""
        self._targets: dict[str, dict[str, Crash]] = {}
        """The same by target, then by request."""
        self._order: deque[Crash] = deque()
        """As they were noted: what is remembered too long, or beyond the most, goes first."""
        self._cleared: dict[str, float] = {}
        self._living: dict[str, float] = {}
        self._frequent: set[str] = set()
        """Requests with as many crashes as it takes to be held back."""
        self._held: dict[str, Held] = {}
        self._trials: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many crashes are remembered."""
        return len(self._order)

    # --- what was seen and heard ---------------------------------------------------

    def crashed(self, crash: Crash) -> bool:
        """Note that a target ended under a run; return whether that is news."""
        over = max(_at(self._cleared, crash.fingerprint), _at(self._living, crash.target))
        known = crash.target in self._crashes.get(crash.fingerprint, {})
        if known or crash.at <= over + _SAME_SECONDS:
            return False
        self._crashes.setdefault(crash.fingerprint, {})[crash.target] = crash
        self._targets.setdefault(crash.target, {})[crash.fingerprint] = crash
        self._order.append(crash)
        if len(self._order) > _MOST_CRASHES:
            self._drop_oldest()
        if len(self._crashes[crash.fingerprint]) >= CRASHES_TO_HOLD:
            self._frequent.add(crash.fingerprint)
            self._judge()
        return True

    def clear(self, fingerprint: str, at: float) -> bool:
        """Note that a request was answered whole, or let go, at `at`; True when that is news."""
        if not _note(self._cleared, fingerprint, at):
            return False
        known = self._crashes.get(fingerprint, {})
        self._drop_all(crash for crash in known.values() if crash.at <= at + _SAME_SECONDS)
        return True

    def lives(self, target: str, at: float) -> bool:
        """Note that a target lives at `at`, whose end was noted; return whether that is news."""
        if not _note(self._living, target, at):
            return False
        ended = self._targets.get(target, {})
        self._drop_all(crash for crash in ended.values() if crash.at <= at + _SAME_SECONDS)
        return True

    def take(self, news: CrashNews, now: float) -> CrashNews:
        """Take what another node tells; return the part of it that is news, as it came."""
        living = [item for item in news.living if self.lives(item[0], now - item[1])]
        crashes = [c for c in news.crashes if self.crashed(c._replace(at=now - c.at))]
        cleared = [item for item in news.cleared if self.clear(item[0], now - item[1])]
        return news._replace(crashes=tuple(crashes), cleared=tuple(cleared), living=tuple(living))

    # --- who is held back -----------------------------------------------------------

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is remembered."""
        return not self._crashes

    @property
    def remembers(self) -> bool:
        """Return whether there is anything that another node may lack."""
        return bool(self._crashes or self._cleared or self._living)

    @property
    def suspects(self) -> frozenset[str]:
        """Return the requests that are held back, or were and may be again."""
        return frozenset(self._held)

    def ended_lives(self, target: str) -> int:
        """Return how many lives of the target with the id `target` are taken to have ended."""
        return sum(target_id(life) == target for life in self._targets)

    def concerns(self, fingerprint: str) -> bool:
        """Return whether a crash is laid to a request."""
        return fingerprint in self._crashes

    def ended_before(self, target: str, at: float) -> bool:
        """Return whether `target` is taken to have ended before `at`."""
        return any(crash.at < at for crash in self._targets.get(target, {}).values())

    def held(self, fingerprint: str, now: float) -> Held | None:
        """Return how a request is held back now, None where it may be sent."""
        held = self._held.get(fingerprint)
        if held is None or now < held.until:
            return held
        until = self._trials.get(fingerprint, float("-inf"))
        return held._replace(until=until) if now < until else None

    def send(self, fingerprint: str, now: float) -> Held | None:
        """Take that a request is about to be sent; return how it is held back instead.

        After a hold one send shows whether the request still ends its target.
        """
        held = self.held(fingerprint, now)
        if held is None and fingerprint in self._held:
            self._trials[fingerprint] = now + _TRIAL_SECONDS
        return held

    def all_held(self, now: float) -> list[Held]:
        """Return all that are held back at `now`, by their fingerprints."""
        return [held for _, held in sorted(self._held.items()) if now < held.until]

    def crashes_of(self, fingerprint: str) -> Sequence[Crash]:
        """Return the crashes that are laid to a request, in their order."""
        return sorted(self._crashes.get(fingerprint, {}).values(), key=_order)

    # --- telling -------------------------------------------------------------------

    def news(self, now: float, *, most: int, young: float) -> CrashNews:
        """Return what others may lack, `most` entries: first of those held back, then the newest.

        Of the others only what is at most `young` seconds old.
        """
        held = [crash for name in self._held for crash in self.crashes_of(name)]
        newest = [c for c in reversed(self._order) if now - c.at <= young and c not in held]
        crashes = tuple(crash._replace(at=now - crash.at) for crash in [*held, *newest][:most])
        cleared = _youngest(self._cleared, now, young)
        living = _youngest(self._living, now, young)
        return CrashNews(crashes=crashes, cleared=cleared[:most], living=living[:most])

    # --- forgetting ------------------------------------------------------------------

    def expire(self, now: float) -> None:
        """Forget what is long over."""
        for known in (self._cleared, self._living):
            for name in [name for name, at in known.items() if now - at > _FORGET_SECONDS]:
                del known[name]
        self._drop_all(c for c in self._order if now > self._last(c) + _FORGET_SECONDS)

    def _last(self, crash: Crash) -> float:
        """Return when the request of `crash` was last of interest."""
        held = self._held.get(crash.fingerprint)
        return crash.at if held is None else held.until

    def _drop_all(self, crashes: Iterable[Crash]) -> None:
        found = list(crashes)
        for crash in found:
            self._drop(crash)
        if any(crash.fingerprint in self._frequent for crash in found):
            self._judge()

    def _drop(self, crash: Crash) -> None:
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

    def _drop_oldest(self) -> None:
        free = (crash for crash in self._order if crash.fingerprint not in self._held)
        self._drop(next(free, self._order[0]))

    # --- judging -------------------------------------------------------------------

    def _judge(self) -> None:
        """Lay the crashes to as few requests as explain them, and hold those back."""
        counts = {name: len(self._crashes.get(name, {})) for name in self._frequent}
        suspects = {name for name, count in counts.items() if count >= CRASHES_TO_HOLD}
        self._frequent = suspects
        explained: set[str] = set()
        held: dict[str, Held] = {}
        for name in sorted(suspects, key=self._order_of_suspicion):
            crashes = [c for c in self.crashes_of(name) if c.target not in explained]
            if len(crashes) < CRASHES_TO_HOLD:
                continue
            explained.update(crash.target for crash in crashes)
            held[name] = Held(
                name,
                tuple(crash.target for crash in crashes),
                crashes[-1].at + _hold_seconds(len(crashes)),
            )
        self._held = held
        self._trials = {name: until for name, until in self._trials.items() if name in held}

    def _order_of_suspicion(self, name: str) -> tuple[int, float, str]:
        """Return the place among suspects: who was there most often, then the shortest runs.

        A request that ends its target does so early; one that stands beside has run for
        any time.
        """
        by_target = self._crashes[name]
        ran = sum(crash.ran for crash in by_target.values()) / len(by_target)
        return (-len(by_target), ran, name)


def _order(crash: Crash) -> tuple[float, str]:
    return (crash.at, crash.target)


def _at(noted: dict[str, float], name: str) -> float:
    return noted.get(name, float("-inf"))


def _note(noted: dict[str, float], name: str, at: float) -> bool:
    """Note `name` with the newer time; return whether that is news."""
    if at <= _at(noted, name) + _SAME_SECONDS:
        return False
    noted.pop(name, None)
    noted[name] = at
    if len(noted) > _MOST_NOTED:
        noted.pop(next(iter(noted)))
    return True


def _hold_seconds(crashes: int) -> float:
    doubled = _HOLD_SECONDS * 2.0 ** min(crashes - CRASHES_TO_HOLD, 10)
    return min(_LONGEST_HOLD_SECONDS, doubled)


def _youngest(known: dict[str, float], now: float, young: float) -> tuple[tuple[str, float], ...]:
    """Return the newest entries of `known` and their ages, at most `young` seconds."""
    aged: Iterable[tuple[str, float]] = ((name, now - at) for name, at in known.items())
    return tuple(sorted((item for item in aged if item[1] <= young), key=lambda item: item[1]))
