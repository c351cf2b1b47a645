"""Switch mechanisms off, one at a time, to see what each is worth."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from fielddrift_core import placement, prompt_queue
from fielddrift_core.engine_slowdown import EngineSlowdowns
from fielddrift_core.prompt_queue import MemoryTurnover
from fielddrift_core.rank_reserve import RankReserve
from fielddrift_core.returns import latest_delay
from fielddrift_core.workload import Lateness
from fielddrift_node.serving import caller_returns, prompt_placement
from fielddrift_node.serving.call import Call

__all__ = ["SWITCHES", "switched_off"]

_Patches = Callable[[], Sequence[Any]]
SWITCHES: dict[str, _Patches] = {}
"""What to patch so that a mechanism does nothing, by its name."""


def _switch(name: str) -> Callable[[_Patches], _Patches]:
    def register(patches: _Patches) -> _Patches:
        SWITCHES[name] = patches
        return patches

    return register


@_switch("room")
def _room() -> Sequence[Any]:
    """Send on whatever an engine's memory holds."""
    return [mock.patch.object(MemoryTurnover, "send_limit", lambda *_, **__: float("inf"))]


@_switch("handover")
def _handover() -> Sequence[Any]:
    """Send no more than an engine's memory holds, however short its runs are."""
    return [mock.patch.object(prompt_queue, "_HANDOVER_SECONDS", 0.0)]


@_switch("reserve")
def _reserve() -> Sequence[Any]:
    """Keep no room for the most urgent."""
    return [
        mock.patch.object(RankReserve, "fraction", 0.0),
        mock.patch.object(RankReserve, "observe", lambda *_: 0.0),
    ]


@_switch("turnover")
def _turnover() -> Sequence[Any]:
    """Take no account of those who wait when a newcomer's answer is estimated."""
    return [mock.patch.object(MemoryTurnover, "wait", lambda self, tokens, memory: 0.0)]


@_switch("refusing")
def _refusing() -> Sequence[Any]:
    """Take everyone, however late."""
    return [mock.patch.object(prompt_placement, "is_too_late", lambda **_: False)]


@_switch("returns")
def _returns() -> Sequence[Any]:
    """Tell all refused callers to return after the longest time that they honour."""

    def delay(*, time_left: float, rng: random.Random, **_: object) -> tuple[float, bool]:
        return latest_delay(time_left=time_left, rng=rng), False

    return [mock.patch.object(caller_returns, "return_delay", delay)]


@_switch("yielding")
def _yielding() -> Sequence[Any]:
    """Let prompts that will be late in any case compete with the others."""
    return [mock.patch.object(Call, "yields", False)]


@_switch("lateness")
def _lateness() -> Sequence[Any]:
    """Take every store to be as quick as its link."""
    return [mock.patch.object(Lateness, "by_store", lambda self, now: {})]


@_switch("pace")
def _pace() -> Sequence[Any]:
    """Take every engine to be as quick as usual ones."""
    return [mock.patch.object(EngineSlowdowns, "factor", lambda self, service, engine: 1.0)]


@_switch("reading")
def _reading() -> Sequence[Any]:
    """Send on whatever an engine has to read."""
    return [mock.patch.object(placement, "_MAX_PREFILL_QUEUE_SECONDS", float("inf"))]


@_switch("failing")
def _failing() -> Sequence[Any]:
    """Take an engine that fails for an empty one."""
    return [mock.patch.object(placement, "FAILING_RATE", float("inf"))]


@contextmanager
def switched_off(names: Sequence[str]) -> Iterator[None]:
    """Play without the mechanisms called `names`; raise `KeyError` for an unknown one."""
    with ExitStack() as stack:
        for name in names:
            for patch in SWITCHES[name]():
                stack.enter_context(patch)
        yield
