"""Attribute crashes of targets to the requests, or the parts of prompts, that caused them.

Three crashes during runs of one request hold it back; four, at different moments and not few of all
crashes meanwhile, hold back a part of the prompts that ran.  A suspect is not held back if others
that are explain its crashes: all but two of a request's, all but one of a part's.  Further crashes
never end a hold otherwise, unless reports come late and show that those of a part were few.

All of this is a function of the crashes, so nodes that know the same ones hold back the same.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from typing import NamedTuple

from .errors import ErrorKind, Ran, Refusal
from .fingerprint import fingerprint
from .outside_values import Finite

__all__ = [
    "CRASHES_TO_HOLD",
    "EARLY_PROBE_SECONDS",
    "INITIAL_HOLD_SECONDS",
    "MAX_HOLD_SECONDS",
    "Attribution",
    "Crash",
    "HeldRequest",
    "chronological",
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
_SURE_SECONDS = 60.0
"""Time within which these crashes happen."""
_PART_EXPLAINED_FRACTION = 0.3
"""Below this fraction of the targets that crashed meanwhile, crashes during runs of a part may be
a coincidence."""
_PART_SPAN_SECONDS = 1.0
"""Least time between the first and the last of these crashes: a part that is in many prompts is
cleared within it by a complete answer."""
_PART_WINDOW_SECONDS = 900.0
"""Time within which `_PART_CRASHES_TO_HOLD` crashes happen: as long as crashes are kept, since a
sound part is cleared by the next whole answer."""
_SETTLING_SECONDS = 60.0
"""Time after the first crash in which sends that were in progress may still crash targets."""
_MOMENT_SECONDS = 0.15
"""Crashes within this time of the first of them count as one moment.  Measured from the one before,
a part that crashes targets quickly would have a single moment."""
_PART_PREFIX = "part-"
_PART_CACHE_SIZE = 4096
INITIAL_HOLD_SECONDS = 120.0
"""First hold: a caller that has fixed its own error returns within minutes, and a request that
still crashes targets costs one target in that time."""
MAX_HOLD_SECONDS = 1800.0
"""Upper bound of a hold, which doubles with each further crash."""
EARLY_PROBE_SECONDS = (3.0, 10.0)
"""When after the beginning of a part's hold a send shows whether the part is held back by mistake,
once for each of them: without any whole answer, a part that most prompts have explains the crashes
of several requests."""
_ANSWER_SECONDS = 2.0
"""Time from a probe to the clearing of a part that is held back by mistake."""


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
    at: Finite
    ran: Finite


class HeldRequest(NamedTuple):
    """A request, or the prompts with a part, held back `until` a time.

    `targets` crashed while running it, in this order.  `fingerprint` is as in `Crash`.  From
    `probe_at` on, in seconds on the same clock, a single request with the part may be sent before
    the hold's end.  `is_ambiguous` tells whether repeated requests would explain as well what the
    part is held back for.
    """

    fingerprint: str
    targets: tuple[str, ...]
    until: float
    probe_at: float = float("inf")
    is_ambiguous: bool = False

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


class Attribution:
    """The suspects that some crashes are attributed to.

    `crashes` are those of each suspect, by target, and `ended` the times at which targets ended,
    also where it is not known during which runs.
    """

    def __init__(
        self, *, crashes: Mapping[str, Mapping[str, Crash]], ended: Collection[float]
    ) -> None:
        self._crashes = {
            name: sorted(by.values(), key=chronological) for name, by in crashes.items()
        }
        self._ended = sorted(ended)
        self._repeated = {
            target
            for name, known in self._crashes.items()
            if not is_part(name) and len(known) >= CRASHES_TO_HOLD
            for target in (crash.target for crash in known)
        }
        """Targets that crashed during runs of requests with enough crashes to be held back."""

    def holds(self) -> dict[str, HeldRequest]:
        """Return the fewest suspects that explain the crashes, each with its hold.

        Requests explain the crashes of a part first, as several requests that crash targets may
        have an innocent part in common.  A request that held parts explain is not held back itself.
        """
        ranked = sorted(self._crashes, key=self._suspicion_key)
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
        return held | held_requests

    def _hold_requests(
        self, ranked: Iterable[str], explained: Collection[str]
    ) -> dict[str, HeldRequest]:
        """Return the holds of requests that explain crashes of other targets than `explained`."""
        held: dict[str, HeldRequest] = {}
        explained = set(explained)
        for name in ranked:
            crashes = self._crashes[name]
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
            if not self._is_explained(name, explained):
                return name
        return None

    def _is_explained(self, part: str, explained: Collection[str]) -> bool:
        """Return whether crashes of the targets `explained` are all but one of a part's."""
        own = [crash for crash in self._crashes[part] if crash.target not in explained]
        return len(_moments(own)) < _UNEXPLAINED_PART_CRASHES

    def _hold_part(self, name: str, begun: float, explained: Collection[str]) -> HeldRequest:
        crashes = self._crashes[name]
        return HeldRequest(
            name,
            tuple(crash.target for crash in crashes if crash.target not in explained),
            crashes[-1].at + _part_hold_seconds(crashes),
            self._early_probe_at(crashes, begun),
            self._is_explained(name, self._repeated),
        )

    def _early_probe_at(self, crashes: Iterable[Crash], begun: float) -> float:
        """Return from when on a request may be sent before the end of a part's hold that has
        `begun`, infinity for never."""
        # Repeated requests that are still running crash targets as well, and are no probes.
        probes = [crash for crash in crashes if crash.target not in self._repeated]
        failed = sum(at > begun + EARLY_PROBE_SECONDS[0] for at in _moments(probes))
        if failed >= len(EARLY_PROBE_SECONDS):
            return float("inf")
        return begun + EARLY_PROBE_SECONDS[failed]

    def _evident_at(self, part: str) -> float | None:
        """Return when the crashes of a part sufficed to hold it back, None if they do not.

        Any stretch of them suffices, so that neither more of them nor later crashes of other
        targets count against it.
        """
        times = [crash.at for crash in self._crashes[part]]
        ended_until = [bisect_right(self._ended, at) for at in times]
        found: float | None = None
        for first, begin in enumerate(times):
            ended_before = bisect_left(self._ended, begin)
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
                is_sure = moments >= _SURE_PART_CRASHES and at - begin < _SURE_SECONDS
                if is_common or is_sure:
                    found = at
                    break
        return found

    def _suspicion_key(self, name: str) -> tuple[int, bool, float, str]:
        """Return the sort key among suspects: most crashes first, then the shortest mean run.

        Of a request and a part with the same crashes the request comes first: it is less.  What
        crashes its target does so early; what merely runs at the same time may have run for any
        duration.
        """
        crashes = self._crashes[name]
        ran = sum(crash.ran for crash in crashes) / len(crashes)
        return (-len(crashes), is_part(name), ran, name)


def chronological(crash: Crash) -> tuple[float, str]:
    """Return the sort key of crashes: by time, then by target."""
    return (crash.at, crash.target)


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


def _part_hold_seconds(crashes: Sequence[Crash]) -> float:
    """Return how long a part is held back after the last of `crashes`."""
    # Sends in progress when the hold begins still crash targets, and are no probes.
    settled = max(crashes[0].at + _SETTLING_SECONDS, crashes[_PART_CRASHES_TO_HOLD - 1].at)
    return _hold_seconds(sum(crash.at > settled for crash in crashes))


def _hold_seconds(further: int) -> float:
    """Return the time of a hold, which doubles with each of `further` crashes."""
    return min(MAX_HOLD_SECONDS, INITIAL_HOLD_SECONDS * 2.0 ** min(further, 10))
