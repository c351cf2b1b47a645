"""Detect targets that have stopped responding, from the sends that wait for them.

Load: a quarter of the engines stop at once, for longer than any caller waits, while requests
arrive at a steady rate.  Their entries lapse only after several seconds, and until then they look
idle, so that each node sends them its next requests.  Requests that may run only once are lost.

A target is unresponsive while a send to it has been outstanding for longer than it may take, and
no byte has arrived from the target for as long, on any connection of this node.  Bytes of other
responses count: an engine that reads a long prompt sends nothing for that prompt, but events of
its other runs.  So does progress of other nodes' requests there: an overloaded engine keeps those
of one node waiting.  Nodes report what they observed themselves to each other.

Time is an argument everywhere, in seconds on a monotonic clock.  `check` must be called every
`CHECK_INTERVAL_SECONDS`; the time by which a call is late is time in which this node's event loop
did not run, and is not counted as silence of targets.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

__all__ = [
    "CHECK_INTERVAL_SECONDS",
    "Responsiveness",
    "ResponsivenessChange",
    "SilenceReport",
    "allowed_seconds",
]

CHECK_INTERVAL_SECONDS = 0.05
"""Interval between checks; a fifth of the shortest silence that is detected."""
_MIN_ALLOWED_SECONDS = 0.25
"""Minimum time for which a send may be outstanding; half of the latency goal of the prompts that
are repeated, so that the second send can still be in time."""
_ALLOWED_ESTIMATES = 2.0
"""Estimates of its duration for which a send may be outstanding."""
_REPORT_SECONDS = 1.0
"""Time for which another node's report holds: two heartbeat periods in a data centre of 33 nodes.
A node that was paused for longer starts without any knowledge of silent targets."""
_MIN_REPORTERS = 2
"""Nodes whose reports are needed: an overloaded engine may keep the prompts of one node waiting
while it sends events to others."""
_REPORT_TURN_SECONDS = 0.1
"""Time after which the next reports are sent if one heartbeat cannot carry all; shorter than the
heartbeat period, so that each report is renewed before it expires."""
_PROBE_INTERVAL_SECONDS = 1.0
"""Interval between the probes that all nodes together send to a target.  Each probe delays a
request by at least a quarter of a second and is repeated on the shared budget."""
_LAPSE_SECONDS = 5.0
"""Time without new evidence after which a target counts as responsive again.  Without requests
that may be repeated there are no probes, and the target would be avoided for ever."""


def allowed_seconds(estimate: float) -> float:
    """Return the seconds for which a send with this `estimate`, in seconds, may be outstanding."""
    return max(_MIN_ALLOWED_SECONDS, _ALLOWED_ESTIMATES * estimate)


class SilenceReport(NamedTuple):
    """A report of a node: nothing has arrived from `target` for the last `age` seconds."""

    target: str
    age: float


class ResponsivenessChange(NamedTuple):
    """A target that became unresponsive, or is no longer so.

    The `evidence` of the first is `send`, `connect` or `report`, and `age` the seconds since the
    last byte or the send.  That of the second is `byte`, `lapsed` (nothing new), `path` (the target
    is reached through another node) or `paused` (this node itself), and `age` the seconds for which
    the target was unresponsive.  `reporter` is the node that sent the report, `allowed` the seconds
    for which the send might be outstanding.
    """

    target: str
    unresponsive: bool
    evidence: str
    age: float
    reporter: str = ""
    allowed: float | None = None


class _Send(NamedTuple):
    at: float
    allowed: float
    is_probe: bool


class _Silence(NamedTuple):
    """What this node observed: silent since `since`, and still so at `confirmed_at`."""

    since: float
    confirmed_at: float


class _State(NamedTuple):
    since: float
    entered_at: float


class Responsiveness:
    """Sends outstanding by target, and the targets that are unresponsive.  Not thread-safe."""

    def __init__(self) -> None:
        self._sends: dict[str, dict[str, _Send]] = {}
        """Outstanding sends by target and request key."""
        self._heard_at: dict[str, float] = {}
        self._bytes_at: dict[str, float] = {}
        """When bytes last arrived, unlike `_heard_at` on the caller's clock."""
        self._progress_at: dict[str, float] = {}
        """When other nodes last reported progress of their requests at a target."""
        self._own: dict[str, _Silence] = {}
        self._reports: dict[str, dict[str, float]] = {}
        """By target, when the report of each node expires."""
        self._states: dict[str, _State] = {}
        """The unresponsive targets."""
        self._probed_at: dict[str, float] = {}
        self._changes: list[ResponsivenessChange] = []
        self._checked_at: float | None = None
        self._stopped = 0.0
        """Seconds in which the event loop of this node did not run."""

    def __bool__(self) -> bool:
        return bool(self._states)

    def __len__(self) -> int:
        return len(self._states)

    # --- own observations -----------------------------------------------------------

    def sent(self, target: str, request: str, *, allowed: float, now: float) -> None:
        """Record a send that may be outstanding for `allowed` seconds."""
        is_probe = target in self._states
        if is_probe:
            self._probed_at[target] = now
        send = _Send(self._running(now), allowed, is_probe)
        self._sends.setdefault(target, {})[request] = send

    def ended(self, target: str, request: str) -> None:
        """Record that a send is no longer outstanding, for whatever reason."""
        sends = self._sends.get(target, {})
        if sends.pop(request, None) is not None and not sends:
            del self._sends[target]

    def heard(self, target: str, now: float) -> None:
        """Record bytes that arrived from a target."""
        self._heard_at[target] = self._running(now)
        self._bytes_at[target] = now
        self._reports.pop(target, None)
        if target in self._states:
            self._own.pop(target, None)
            self._end(target, "byte", now)

    def progressed_elsewhere(self, target: str, now: float) -> None:
        """Record a report that requests of another node at the target have progressed.

        It does not end a state: the target may be out of reach for this node only.
        """
        self._progress_at[target] = self._running(now)

    def connect_timed_out(self, target: str, request: str, now: float) -> None:
        """Record that the target did not accept the connection for an outstanding send."""
        send = self._sends.get(target, {}).get(request)
        if send is None or self._checked_at is None:
            return
        late = now - self._checked_at > 2 * CHECK_INTERVAL_SECONDS
        silence = self._silence(target, send, self._running(now))
        # The time-out may have run out while this node's event loop did not run.
        if not late and silence >= _MIN_ALLOWED_SECONDS:
            self._observe(target, silence, now, evidence="connect", allowed=send.allowed)

    def observed(self) -> list[str]:
        """Return the targets that this node itself found to be silent."""
        return list(self._own)

    def path_changed(self, target: str, now: float) -> None:
        """Record that `target` is reached on another path: its silence was that of the former."""
        self._own.pop(target, None)
        self._reports.pop(target, None)
        if target in self._states:
            self._end(target, "path", now)

    def check(self, now: float) -> list[ResponsivenessChange]:
        """Update all states; return what changed since the last call."""
        last = now if self._checked_at is None else self._checked_at
        self._checked_at = now
        stopped = max(0.0, now - last - CHECK_INTERVAL_SECONDS)
        self._stopped += stopped
        if stopped > _REPORT_SECONDS:
            self._forget(now)
        self._expire(now)
        running = self._running(now)
        for target, sends in self._sends.items():
            overdue = [
                (silence, send.allowed)
                for send in sends.values()
                if (silence := self._silence(target, send, running)) > send.allowed
            ]
            if overdue:
                silence, allowed = max(overdue)
                self._observe(target, silence, now, evidence="send", allowed=allowed)
        changes, self._changes = self._changes, []
        return changes

    def movable(self, now: float) -> list[tuple[str, str]]:
        """Return target and request key of the sends that wait without prospect.

        These are the sends to targets that this node itself found to be unresponsive, and the
        probes among them that have been outstanding for too long.
        """
        running = self._running(now)
        return [
            (target, request)
            for target in self._own
            for request, send in self._sends.get(target, {}).items()
            if not send.is_probe or self._silence(target, send, running) > send.allowed
        ]

    # --- reports --------------------------------------------------------------------

    def merge(self, reporter: str, report: SilenceReport, now: float, *, nodes: int) -> None:
        """Record another node's report, unless this node has heard the target since.

        `nodes` is the number of nodes, this one included.  Two reports are needed where there are
        other nodes to send a second one.
        """
        target = report.target
        since = now - report.age
        if self._alive_at(target) >= self._running(since):
            return
        reports = self._reports.setdefault(target, {})
        reports[reporter] = now + _REPORT_SECONDS
        if target not in self._states and len(reports) >= min(_MIN_REPORTERS, nodes - 1):
            self._begin(target, "report", since, now, reporter=reporter)

    def reports(self, now: float, max_count: int) -> list[SilenceReport]:
        """Return at most `max_count` reports for other nodes; if there are more, in turn."""
        own = [SilenceReport(target, now - silence.since) for target, silence in self._own.items()]
        if len(own) <= max_count:
            return own
        first = int(now / _REPORT_TURN_SECONDS) * max_count % len(own)
        return (own + own)[first : first + max_count]

    # --- decisions ------------------------------------------------------------------

    def is_unresponsive(self, target: str) -> bool:
        """Return whether a target is unresponsive."""
        return target in self._states

    def may_probe(self, target: str, now: float, *, name: str, nodes: int) -> bool:
        """Return whether a probe may be sent to an unresponsive target.

        `name` is the name of this node.  The nodes that observed the silence send probes in turn,
        in the order of their names, so that the first one is soon sent however many they are.  A
        node that only knows of the silence from reports comes last of all `nodes`.
        """
        if any(send.is_probe for send in self._sends.get(target, {}).values()):
            return False
        reporters = self._reports.get(target, {}).keys()
        turn = sharing = max(1, nodes)
        if target in self._own:
            turn = 1 + sum(reporter < name for reporter in reporters)
            sharing = 1 + len(reporters)
        probed_at = self._probed_at.get(target)
        if probed_at is None:
            return now - self._states[target].entered_at >= _PROBE_INTERVAL_SECONDS * turn
        return now - probed_at >= _PROBE_INTERVAL_SECONDS * sharing

    def last_heard(self, target: str) -> float | None:
        """Return when bytes last arrived from a target, None if that is not known."""
        return self._bytes_at.get(target)

    def unresponsive(self) -> frozenset[str]:
        """Return the unresponsive targets."""
        return frozenset(self._states)

    def silent_seconds(self, target: str, now: float) -> float | None:
        """Return for how long an unresponsive target has been silent, None for any other."""
        state = self._states.get(target)
        return None if state is None else now - state.since

    def expire(self, listed: Collection[str]) -> None:
        """Remove observations of targets that are not `listed` and have no outstanding send."""
        for known in (self._heard_at, self._bytes_at, self._progress_at, self._own):
            for target in [t for t in known if t not in listed and t not in self._sends]:
                known.pop(target)

    # --- internals ------------------------------------------------------------------

    def _running(self, now: float) -> float:
        """Return the time for which this node's event loop has run."""
        return now - self._stopped

    def _silence(self, target: str, send: _Send, running: float) -> float:
        """Return for how long there was no sign of life while the send was outstanding."""
        return running - max(send.at, self._alive_at(target))

    def _alive_at(self, target: str) -> float:
        """Return when the target was last seen to be alive, here or by another node."""
        never = -math.inf
        return max(self._heard_at.get(target, never), self._progress_at.get(target, never))

    def _observe(
        self, target: str, silence: float, now: float, *, evidence: str, allowed: float
    ) -> None:
        known = self._own.get(target)
        if known is None:
            self._own[target] = _Silence(now - silence, now)
            if target not in self._states:
                self._begin(target, evidence, now - silence, now, allowed=allowed)
        else:
            self._own[target] = known._replace(confirmed_at=now)

    def _expire(self, now: float) -> None:
        """Remove observations without new evidence, and reports that are not renewed."""
        for target in [t for t, s in self._own.items() if now - s.confirmed_at > _LAPSE_SECONDS]:
            del self._own[target]
        for target, reports in list(self._reports.items()):
            for reporter in [name for name, until in reports.items() if until <= now]:
                del reports[reporter]
            if not reports:
                del self._reports[target]
        for target in [t for t in self._states if t not in self._own and t not in self._reports]:
            self._end(target, "lapsed", now)

    def _forget(self, now: float) -> None:
        """Remove all states: this node was paused for longer than they hold."""
        self._own.clear()
        self._reports.clear()
        running = self._running(now)
        for sends in self._sends.values():
            for request, send in sends.items():
                sends[request] = send._replace(at=running)
        for target in list(self._states):
            self._end(target, "paused", now)

    def _begin(
        self,
        target: str,
        evidence: str,
        since: float,
        now: float,
        *,
        reporter: str = "",
        allowed: float | None = None,
    ) -> None:
        self._states[target] = _State(since, now)
        self._changes.append(
            ResponsivenessChange(target, True, evidence, now - since, reporter, allowed)
        )

    def _end(self, target: str, evidence: str, now: float) -> None:
        state = self._states.pop(target)
        self._probed_at.pop(target, None)
        self._changes.append(ResponsivenessChange(target, False, evidence, now - state.entered_at))
