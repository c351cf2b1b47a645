"""Order the prompts that wait at a node until an engine's memory has room for them.

Load pattern: more prompts come than the engines' memory holds.  An engine that
is sent more takes them all: the most urgent push out runs that are under way,
and those read their whole prompt again.  What waits here costs an engine
nothing, and goes to whichever engine has room first.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["MemoryTurnover", "PromptQueue", "WaitingPrompt", "queue_name"]

_INITIAL_HOLD_SECONDS = 1.0
"""How long a run is taken to keep its memory until some have ended: a second's answer."""
_HOLD_DECAY_TOKENS = 60_000
"""Tokens of ended runs after which the seconds before them count a third: about what
one engine holds, so that a crowd shows within one turn of its memory."""
_RESERVED_FRACTION = 0.15
"""Part of an engine's memory that is kept for the most urgent: what finds no room there
pushes less urgent runs out, and each of these reads its whole prompt anew."""
_HANDOVER_SECONDS = 0.06
"""Time from the end of a run until a prompt that waits at a node reaches the engine: the
news of it, a look, a connection."""
_MIN_HOLD_SECONDS = 0.1
"""Runs that are shorter are taken to keep their memory for so long."""


def queue_name(service: str, rank: int) -> str:
    """Return the name under which nodes tell each other what waits for `service`."""
    return f"line:{service}:{rank}"


class WaitingPrompt(NamedTuple):
    """A prompt that waits: after `due` (loop time) its answer would be late.

    `request` names it in the load that nodes tell each other; `tokens` are the prompt's.
    """

    request: str
    rank: int
    due: float
    tokens: int


class PromptQueue:
    """The prompts of one service that wait at this node.  Not safe for threads.

    The more urgent rank comes first, within a rank whoever would be late first.
    Callers choose the ids of their requests, so two that wait may have the same one.
    """

    def __init__(self) -> None:
        self._prompts: dict[int, WaitingPrompt] = {}

    def __len__(self) -> int:
        return len(self._prompts)

    def add(self, prompt: WaitingPrompt) -> None:
        """Put a prompt in line."""
        self._prompts[id(prompt)] = prompt

    def remove(self, prompt: WaitingPrompt) -> None:
        """Take a prompt out."""
        self._prompts.pop(id(prompt), None)

    def head(self) -> WaitingPrompt | None:
        """Return whose turn it is, None when nobody waits."""
        return min(self._prompts.values(), key=lambda w: (w.rank, w.due), default=None)

    def count_ahead(self, rank: int) -> int:
        """Return how many prompts that wait come before a new one of `rank`."""
        return sum(waiter.rank <= rank for waiter in self._prompts.values())


class MemoryTurnover:
    """How long runs keep an engine's memory, by the tokens that they keep, in seconds."""

    def __init__(self) -> None:
        self._seconds = _INITIAL_HOLD_SECONDS

    @property
    def seconds(self) -> float:
        """Return for how long a token was kept of late."""
        return self._seconds

    def ended(self, tokens: int, seconds: float) -> None:
        """Count a run that kept `tokens` for `seconds`."""
        weight = 1.0 - math.exp(-tokens / _HOLD_DECAY_TOKENS)
        self._seconds += weight * (max(0.0, seconds) - self._seconds)

    def send_limit(self, rank: int, ranks: Sequence[int]) -> float:
        """Return how much an engine may be sent for a prompt of `rank`, in parts of its memory.

        Beside what its memory holds, an engine needs what takes the place of the runs that
        end before the next prompt can come from a node; without it, where runs are short,
        engines rest while prompts wait.
        """
        part = 1.0 + _HANDOVER_SECONDS / max(_MIN_HOLD_SECONDS, self._seconds)
        return part if rank <= min(ranks, default=rank) else part - _RESERVED_FRACTION

    def wait(self, tokens: int, memory: int) -> float:
        """Return the seconds until `tokens` are free at engines that keep `memory` in all."""
        return tokens / memory * self._seconds if memory > 0 else 0.0
