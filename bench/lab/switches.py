"""Switch mechanisms off, one at a time, to see what each is worth."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from fielddrift_core import placement
from fielddrift_core.workload import Lateness
from fielddrift_node.serving import placing

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
    return [mock.patch.object(placing, "room_part", lambda rank, ranks: float("inf"))]


@_switch("reserve")
def _reserve() -> Sequence[Any]:
    """Keep no room for the most urgent."""
    return [mock.patch.object(placing, "room_part", lambda rank, ranks: 1.0)]


@_switch("refusing")
def _refusing() -> Sequence[Any]:
    """Take everyone, however late."""
    return [mock.patch.object(placing, "come_back", lambda **_: None)]


@_switch("lateness")
def _lateness() -> Sequence[Any]:
    """Take every store to be as quick as its link."""
    return [mock.patch.object(Lateness, "of", lambda self, store, now: 0.0)]


@_switch("failing")
def _failing() -> Sequence[Any]:
    """Take an engine that fails for an empty one."""
    return [mock.patch.object(placement, "FAILING_SHARE", float("inf"))]


@contextmanager
def switched_off(names: Sequence[str]) -> Iterator[None]:
    """Play without the mechanisms called `names`; raise `KeyError` for an unknown one."""
    with ExitStack() as stack:
        for name in names:
            for patch in SWITCHES[name]():
                stack.enter_context(patch)
        yield
