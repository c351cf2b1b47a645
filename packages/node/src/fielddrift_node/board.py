"""Remember what this node knows of each target.

Loads are heard on answers and by polling; hints say which target may still
have which prompt in memory.  All of it may be late or wrong: it costs time,
never a wrong answer.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence

from fielddrift_core.model import Configuration, Target, TargetRole
from fielddrift_core.retries import CircuitBreaker, RetryBudget
from fielddrift_core.routing import Load, TargetView
from fielddrift_core.target_notices import TargetPauses

from . import clock

__all__ = ["HINT_DIGITS", "Board", "TargetNote"]

HINT_DIGITS = 16
"""Hex digits of a prefix digest by which hints are kept: 64 bits."""

_MOST_HINTS = 20_000
_MOST_SENT = 2_000
_VIEW_AGE_SECONDS = 1.0
RUN_SECONDS_WEIGHT = 0.1


class TargetNote:
    """What is known of one target; guarded by the board's lock."""

    def __init__(self) -> None:
        self.load = Load()
        self.sent: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.breaker = CircuitBreaker()
        self.budget = RetryBudget()
        self.versions: tuple[str, ...] | None = None
        self.epoch = 0
        self.sequence = 0
        self.run_seconds = 1.0

    def sent_since(self) -> tuple[int, int]:
        """Return the runs, and their tokens, that the last load cannot have counted."""
        recent = [tokens for at, tokens in self.sent.values() if at > self.load.received_at]
        return len(recent), sum(recent)


class Board:
    """Keep a note per target, and hints per prompt.  Safe for threads."""

    def __init__(self, *, data_centre: str, clock: Callable[[], float] = clock.now) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._notes: dict[str, TargetNote] = {}
        self._pauses = TargetPauses()
        self._hints: OrderedDict[str, dict[str, tuple[int, str]]] = OrderedDict()
        self._active: dict[str, float] = {}
        self._lock = threading.Lock()

    # --- what was heard ----------------------------------------------------

    def heard_load(self, name: str, load: Load, epoch: int, versions: Iterable[str]) -> None:
        """Take a target's word on its load; a new life of it clears its hints."""
        with self._lock:
            note = self._note(name)
            if epoch > note.epoch:
                note.epoch = epoch
                # Each life numbers its cache events from 1 on.
                note.sequence = 0
                self._drop_hints(name)
            note.load = load
            note.versions = tuple(versions)

    def heard_events(
        self,
        name: str,
        sequence: int,
        gone: Iterable[str],
        *,
        after: int | None = None,
        epoch: int | None = None,
    ) -> None:
        """Take cache events in; a gap drops every hint on that target.

        `after` is the number behind which the events were asked for, `epoch` the life
        that answered, None for unknown.  Events that do not follow on those heard of this
        life are left out.
        """
        gone = list(gone)
        with self._lock:
            note = self._note(name)
            if after not in (None, note.sequence) or epoch not in (None, note.epoch):
                # Asked for before a new life was heard of: its first events would be skipped.
                return
            if sequence - note.sequence > len(gone):
                self._drop_hints(name)
            note.sequence = sequence
            evicted = set(gone)
            self._drop_hints(name, evicted)

    def epoch(self, name: str) -> int:
        """Return the number of a target's life, 0 until it was heard."""
        with self._lock:
            return self._note(name).epoch

    def event_sequence(self, name: str) -> int:
        """Return the number of the last cache event heard from a target."""
        with self._lock:
            return self._note(name).sequence

    def remember(self, name: str, digest: str, blocks: int, target_root: str) -> None:
        """Hint that target `name` has the prefix that ends in `digest`."""
        with self._lock:
            key = digest[:HINT_DIGITS]
            self._hints.setdefault(key, {})[name] = (blocks, target_root)
            self._hints.move_to_end(key)
            while len(self._hints) > _MOST_HINTS:
                self._hints.popitem(last=False)

    # --- sending -----------------------------------------------------------

    def sent(self, name: str, run: str, tokens: int) -> None:
        """Note that `run` goes out to target `name`."""
        now = self._clock()
        with self._lock:
            note = self._note(name)
            note.breaker.sent(now)
            note.budget.record_first_try()
            note.sent[run] = (now, tokens)

    def ended(self, name: str, run: str) -> None:
        """Note that `run` holds none of the target's slots any more."""
        now = self._clock()
        with self._lock:
            note = self._note(name)
            started = note.sent.pop(run, None)
            if started is not None:
                taken = now - started[0]
                note.run_seconds += RUN_SECONDS_WEIGHT * (taken - note.run_seconds)

    def heard_again(self, name: str, running: int, queued: int, backlog: int) -> None:
        """Take a target's load as another node heard it a moment ago."""
        with self._lock:
            self._note(name).load = Load(running, queued, backlog, self._clock())

    def heard_sent(self, name: str, run: str, tokens: int) -> None:
        """Note that another node sent `run` to target `name` a moment ago."""
        with self._lock:
            sent = self._note(name).sent
            sent[run] = (self._clock(), tokens)
            while len(sent) > _MOST_SENT:
                sent.popitem(last=False)

    def forget_sent(self, name: str, run: str) -> None:
        """Forget another node's run: the target's own load counts it from now on."""
        with self._lock:
            self._note(name).sent.pop(run, None)

    def worked(self, name: str) -> None:
        """Note that target `name` answered."""
        with self._lock:
            self._note(name).breaker.succeeded()

    def failed(self, name: str) -> None:
        """Note that target `name` failed."""
        with self._lock:
            self._note(name).breaker.failed(self._clock())

    def asked_for_pause(self, name: str, seconds: float) -> None:
        """Note that target `name` wants nothing from this node for `seconds`, 0 for no time."""
        if not seconds:
            return
        now = self._clock()
        with self._lock:
            self._pauses.expire(now)
            self._pauses.record(name, seconds, now)

    def soonest(self, targets: Iterable[Target]) -> float:
        """Return the seconds until the first of `targets` is over its pause."""
        with self._lock:
            return self._pauses.min_left([target.name for target in targets], self._clock())

    def may_retry(self, name: str) -> bool:
        """Spend a retry on account of target `name`'s failure."""
        with self._lock:
            return self._note(name).budget.spend()

    # --- choosing ----------------------------------------------------------

    def takes(self, target: Target, version: str) -> bool:
        """Return whether a target may get a request for `version` now, as far as is known."""
        with self._lock:
            note = self._note(target.name)
            now = self._clock()
            loaded = not version or note.versions is None or version in note.versions
            paused = self._pauses.left(target.name, now) > 0
            return loaded and not paused and note.breaker.allows(now)

    def warm(self, digests: Sequence[str]) -> dict[str, int]:
        """Return the longest prefix of a prompt that each target may have in memory."""
        found: dict[str, int] = {}
        with self._lock:
            for digest in reversed(digests):
                for name, (blocks, _) in self._hints.get(digest[:HINT_DIGITS], {}).items():
                    found.setdefault(name, blocks)
        return found

    def views(self, targets: Sequence[Target], warm: Mapping[str, int]) -> list[TargetView]:
        """Return what is known of `targets`, with the prefixes that are `warm` there."""
        with self._lock:
            return [self._view(t, self._note(t.name), warm.get(t.name, 0)) for t in targets]

    def load(self, name: str) -> tuple[Load, int, str]:
        """Return the load, own runs under way, and breaker state of a target."""
        with self._lock:
            note = self._note(name)
            return note.load, len(note.sent), note.breaker.state(self._clock()).value

    def touch(self, model: str) -> None:
        """Note that `model` is in use here, so that its targets are polled."""
        self._active[model] = self._clock()

    def stale(self, configuration: Configuration, *, idle: float) -> list[Target]:
        """Return the targets in use here whose load is old, the oldest first."""
        now = self._clock()
        models = {m for m, at in list(self._active.items()) if now - at < idle}
        with self._lock:
            old = [
                (self._note(t.name).load.received_at, t.name)
                for t in configuration.targets.values()
                if t.serves in models and t.role is TargetRole.ENGINE
                if not self._pauses.left(t.name, now)
            ]
        due = sorted((at, name) for at, name in old if now - at >= _VIEW_AGE_SECONDS)
        return [configuration.targets[name] for _, name in due]

    def _view(self, target: Target, note: TargetNote, memory_blocks: int) -> TargetView:
        sent, tokens = note.sent_since()
        return TargetView(
            target=target,
            load=note.load,
            sent=sent,
            sent_tokens=tokens,
            memory_blocks=memory_blocks,
            is_local=target.data_centre == self._data_centre,
            slot_seconds=note.run_seconds,
        )

    def _note(self, name: str) -> TargetNote:
        if name not in self._notes:
            self._notes[name] = TargetNote()
        return self._notes[name]

    def _drop_hints(self, name: str, roots: set[str] | None = None) -> None:
        """Drop the hints on a target, all or those with one of its own `roots`."""
        for digest, by_target in list(self._hints.items()):
            if name in by_target and (roots is None or by_target[name][1] in roots):
                del by_target[name]
                if not by_target:
                    del self._hints[digest]
