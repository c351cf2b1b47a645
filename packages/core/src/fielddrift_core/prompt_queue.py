"""Queue prompts at a node until an engine's memory has room for them.

Load pattern: more prompts arrive than the engines' memory holds.  An engine accepts all
prompts that it is sent: the most urgent ones preempt running ones, which then have to
prefill their whole prompt again.  A prompt that waits at a node costs the engines nothing
and goes to the first engine that has room.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from .rank_reserve import MIN_RESERVE_FRACTION

__all__ = ["MemoryTurnover", "PromptQueue", "WaitingPrompt", "late_rank", "queue_name"]

_INITIAL_HOLD_SECONDS = 1.0
"""Initial estimate of how long a run keeps its memory: a response of one second."""
_HOLD_DECAY_TOKENS = 60_000
"""Tokens of ended runs after which the weight of the previous estimate falls to 1/e.  It is
about what one engine holds, so that congestion shows within one turnover of its memory."""
_HANDOVER_SECONDS = 0.06
"""Time from the end of a run until a prompt that waits at a node reaches the engine: the
report of the end, the choice of an engine, and a connection."""
_MIN_HOLD_SECONDS = 0.1
"""Lower bound of the estimate; shorter runs count as if they kept their memory for so long."""
_LATE_RANKS = 1000
"""First rank of prompts that will be late in any case, behind all others."""


def late_rank(rank: int) -> int:
    """Return the rank of prompts of `rank` that will be late in any case."""
    return _LATE_RANKS + rank


def queue_name(service: str, rank: int) -> str:
    """Return the key under which nodes report the prompts of `rank` that wait for `service`."""
    return f"line:{service}:{rank}"


class WaitingPrompt(NamedTuple):
    """A prompt in the queue; after `due` (loop time in seconds) its response would be late.

    `request` is its key in the load reports between nodes, `tokens` the prompt's length.
    """

    request: str
    rank: int
    due: float
    tokens: int


def _order(prompt: WaitingPrompt) -> tuple[int, float]:
    return prompt.rank, prompt.due


class PromptQueue:
    """The prompts of one service that wait at this node.  Not thread-safe.

    They are ordered by rank, lowest first, then by due time.  Prompts are identified by
    object identity: callers choose request ids, so two waiting prompts may have the same id.
    """

    def __init__(self) -> None:
        self._prompts: dict[int, WaitingPrompt] = {}
        self._head: WaitingPrompt | None = None

    def __len__(self) -> int:
        return len(self._prompts)

    def add(self, prompt: WaitingPrompt) -> None:
        """Add a prompt to the queue."""
        self._prompts[id(prompt)] = prompt
        if self._head is None or _order(prompt) < _order(self._head):
            self._head = prompt

    def remove(self, prompt: WaitingPrompt) -> None:
        """Remove a prompt; one that is not queued is ignored."""
        self._prompts.pop(id(prompt), None)
        if prompt is self._head:
            self._head = min(self._prompts.values(), key=_order, default=None)

    def head(self) -> WaitingPrompt | None:
        """Return the first prompt, or None if the queue is empty.

        Every waiting prompt asks this many times a second, so it must not search the queue.
        """
        return self._head

    def count_ahead(self, rank: int) -> int:
        """Return the number of queued prompts that come before a new one of `rank`."""
        return sum(prompt.rank <= rank for prompt in self._prompts.values())


class MemoryTurnover:
    """Moving average of how long runs keep engine memory, weighted by their tokens."""

    def __init__(self) -> None:
        self._seconds = _INITIAL_HOLD_SECONDS

    @property
    def seconds(self) -> float:
        """Return the average time in seconds for which a token of memory is kept."""
        return self._seconds

    def ended(self, tokens: int, seconds: float) -> None:
        """Record the end of a run that kept `tokens` for `seconds`."""
        weight = 1.0 - math.exp(-tokens / _HOLD_DECAY_TOKENS)
        self._seconds += weight * (max(0.0, seconds) - self._seconds)

    def send_limit(
        self, rank: int, ranks: Sequence[int], *, reserve: float = MIN_RESERVE_FRACTION
    ) -> float:
        """Return up to which fraction of its memory an engine is sent prompts of `rank`.

        `reserve` is the fraction that is kept free for prompts of higher rank.

        The fraction may exceed 1: beside what its memory holds, an engine needs prompts that
        replace the runs which end before the next prompt can arrive from a node.  Without
        them engines would idle while prompts wait if runs are short.
        """
        part = 1.0 + _HANDOVER_SECONDS / max(_MIN_HOLD_SECONDS, self._seconds)
        return part if rank <= min(ranks, default=rank) else part - reserve

    def rate(self, memory: int) -> float:
        """Return how many tokens of `memory` become free per second."""
        return memory / max(_MIN_HOLD_SECONDS, self._seconds)

    def wait(self, tokens: int, memory: int) -> float:
        """Return the expected seconds until `tokens` are free.

        `memory` is the total memory of the engines in tokens; 0 means unknown and gives 0.
        """
        return tokens / memory * self._seconds if memory > 0 else 0.0
