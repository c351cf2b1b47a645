"""Keep this node's view of each target: load, health, pauses and cached prompt prefixes.

Loads are read from responses and by polling; hints name the targets that may still have a
prompt prefix in memory.  All of it may be stale or wrong, which costs time but never gives a
wrong answer.
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

__all__ = ["HINT_DIGITS", "Board", "TargetState"]

HINT_DIGITS = 16
"""Hex digits of a prefix digest that form the key of a hint: 64 bits."""

_MAX_HINT_COUNT = 20_000
_MAX_REMOTE_SEND_COUNT = 2_000
_STALE_LOAD_SECONDS = 1.0
_RUN_SECONDS_WEIGHT = 0.1
"""Weight of the latest run in the moving average of a target's run time."""


class TargetState:
    """State of one target as this node knows it; guarded by the board's lock."""

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
        """Return the count of runs sent since the last load report, and the sum of their tokens."""
        recent = [tokens for at, tokens in self.sent.values() if at > self.load.received_at]
        return len(recent), sum(recent)


class Board:
    """State by target, and hints by prompt prefix.  Thread-safe."""

    def __init__(self, *, data_centre: str, clock: Callable[[], float] = clock.now) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._states: dict[str, TargetState] = {}
        self._pauses = TargetPauses()
        self._hints: OrderedDict[str, dict[str, tuple[int, str]]] = OrderedDict()
        self._active: dict[str, float] = {}
        self._lock = threading.Lock()

    # --- reports from targets ----------------------------------------------

    def record_load(self, name: str, load: Load, epoch: int, versions: Iterable[str]) -> None:
        """Record a load report of a target; a new process instance (`epoch`) clears its hints."""
        with self._lock:
            state = self._state(name)
            if epoch > state.epoch:
                state.epoch = epoch
                # Each process instance numbers its cache events from 1.
                state.sequence = 0
                self._drop_hints(name)
            state.load = load
            state.versions = tuple(versions)

    def record_cache_events(
        self,
        name: str,
        sequence: int,
        gone: Iterable[str],
        *,
        after: int | None = None,
        epoch: int | None = None,
    ) -> None:
        """Apply the cache evictions `gone` up to event `sequence`.

        A gap in the numbers drops all hints on that target.  `after` is the event number after
        which the poll requested events, `epoch` the process instance that answered; None means
        unknown.  Events that do not continue those known of this instance are ignored.
        """
        gone = list(gone)
        with self._lock:
            state = self._state(name)
            if after not in (None, state.sequence) or epoch not in (None, state.epoch):
                # The poll started before a new process instance was known: applying its answer
                # would skip the first events of that instance.
                return
            if sequence - state.sequence > len(gone):
                self._drop_hints(name)
            state.sequence = sequence
            evicted = set(gone)
            self._drop_hints(name, evicted)

    def epoch(self, name: str) -> int:
        """Return the epoch of a target's process instance, 0 while it is unknown."""
        with self._lock:
            return self._state(name).epoch

    def event_sequence(self, name: str) -> int:
        """Return the number of the last cache event received from a target."""
        with self._lock:
            return self._state(name).sequence

    def remember(self, name: str, digest: str, blocks: int, target_root: str) -> None:
        """Add a hint that target `name` has the prefix of `blocks` blocks that ends in `digest`."""
        with self._lock:
            key = digest[:HINT_DIGITS]
            self._hints.setdefault(key, {})[name] = (blocks, target_root)
            self._hints.move_to_end(key)
            while len(self._hints) > _MAX_HINT_COUNT:
                self._hints.popitem(last=False)

    # --- sending -----------------------------------------------------------

    def sent(self, name: str, run: str, tokens: int) -> None:
        """Record that `run`, with `tokens` tokens, is sent to target `name`."""
        now = self._clock()
        with self._lock:
            state = self._state(name)
            state.breaker.sent(now)
            state.budget.record_first_try()
            state.sent[run] = (now, tokens)

    def ended(self, name: str, run: str) -> None:
        """Record that `run` no longer occupies a slot of the target."""
        now = self._clock()
        with self._lock:
            state = self._state(name)
            started = state.sent.pop(run, None)
            if started is not None:
                taken = now - started[0]
                state.run_seconds += _RUN_SECONDS_WEIGHT * (taken - state.run_seconds)

    def record_relayed_load(self, name: str, running: int, queued: int, backlog: int) -> None:
        """Record a target's load that another node has just received."""
        with self._lock:
            self._state(name).load = Load(running, queued, backlog, self._clock())

    def record_remote_send(self, name: str, run: str, tokens: int) -> None:
        """Record that another node has just sent `run` to target `name`."""
        with self._lock:
            sent = self._state(name).sent
            sent[run] = (self._clock(), tokens)
            while len(sent) > _MAX_REMOTE_SEND_COUNT:
                sent.popitem(last=False)

    def remove_remote_send(self, name: str, run: str) -> None:
        """Remove another node's run: the target's own load includes it from now on."""
        with self._lock:
            self._state(name).sent.pop(run, None)

    def succeeded(self, name: str) -> None:
        """Record that target `name` answered."""
        with self._lock:
            self._state(name).breaker.succeeded()

    def failed(self, name: str) -> None:
        """Record that target `name` failed."""
        with self._lock:
            self._state(name).breaker.failed(self._clock())

    def record_pause(self, name: str, seconds: float) -> None:
        """Record a target's request for no sends from this node for `seconds`; 0 means none."""
        if not seconds:
            return
        now = self._clock()
        with self._lock:
            self._pauses.expire(now)
            self._pauses.record(name, seconds, now)

    def min_pause_seconds(self, targets: Iterable[Target]) -> float:
        """Return the seconds until the first pause among `targets` ends."""
        with self._lock:
            return self._pauses.min_left([target.name for target in targets], self._clock())

    def may_retry(self, name: str) -> bool:
        """Spend a retry after a failure of target `name`; return whether its budget allows it."""
        with self._lock:
            return self._state(name).budget.spend()

    # --- selection ----------------------------------------------------------

    def takes(self, target: Target, version: str) -> bool:
        """Return whether a target may be sent a request for `version` now.

        It may if it has the version loaded as far as is known, has not asked for a pause, and its
        circuit breaker allows it.
        """
        with self._lock:
            state = self._state(target.name)
            now = self._clock()
            loaded = not version or state.versions is None or version in state.versions
            paused = self._pauses.left(target.name, now) > 0
            return loaded and not paused and state.breaker.allows(now)

    def warm(self, digests: Sequence[str]) -> dict[str, int]:
        """Return the longest prefix of a prompt, in blocks, that each target may have in memory.

        `digests` are those of the prompt's prefixes, the shortest first.
        """
        found: dict[str, int] = {}
        with self._lock:
            for digest in reversed(digests):
                for name, (blocks, _) in self._hints.get(digest[:HINT_DIGITS], {}).items():
                    found.setdefault(name, blocks)
        return found

    def views(self, targets: Sequence[Target], warm: Mapping[str, int]) -> list[TargetView]:
        """Return the routing views of `targets`, with the `warm` prefix blocks of each by name."""
        with self._lock:
            return [self._view(t, self._state(t.name), warm.get(t.name, 0)) for t in targets]

    def load(self, name: str) -> tuple[Load, int, str]:
        """Return the load of a target, the count of runs in flight, and its breaker state."""
        with self._lock:
            state = self._state(name)
            return state.load, len(state.sent), state.breaker.state(self._clock()).value

    def touch(self, model: str) -> None:
        """Record that `model` is in use on this node, so that its targets are polled."""
        self._active[model] = self._clock()

    def stale(self, configuration: Configuration, *, idle: float) -> list[Target]:
        """Return the engines to poll, the one with the oldest load first.

        These are the engines of models used on this node in the last `idle` seconds whose load is
        stale and that have not asked for a pause.
        """
        now = self._clock()
        models = {m for m, at in list(self._active.items()) if now - at < idle}
        with self._lock:
            old = [
                (self._state(t.name).load.received_at, t.name)
                for t in configuration.targets.values()
                if t.serves in models and t.role is TargetRole.ENGINE
                if not self._pauses.left(t.name, now)
            ]
        due = sorted((at, name) for at, name in old if now - at >= _STALE_LOAD_SECONDS)
        return [configuration.targets[name] for _, name in due]

    def _view(self, target: Target, state: TargetState, memory_blocks: int) -> TargetView:
        sent, tokens = state.sent_since()
        return TargetView(
            target=target,
            load=state.load,
            sent=sent,
            sent_tokens=tokens,
            memory_blocks=memory_blocks,
            is_local=target.data_centre == self._data_centre,
            slot_seconds=state.run_seconds,
        )

    def _state(self, name: str) -> TargetState:
        if name not in self._states:
            self._states[name] = TargetState()
        return self._states[name]

    def _drop_hints(self, name: str, roots: set[str] | None = None) -> None:
        """Drop the hints on a target: all, or those whose root is in `roots`."""
        for digest, by_target in list(self._hints.items()):
            if name in by_target and (roots is None or by_target[name][1] in roots):
                del by_target[name]
                if not by_target:
                    del self._hints[digest]
