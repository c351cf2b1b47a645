"""Virtual time for tests: the laboratory's loop."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from bench.lab.virtual_time import VirtualLoop

__all__ = ["VirtualLoop", "in_virtual_time"]

_Case = TypeVar("_Case")


def in_virtual_time(
    test: Callable[[_Case], Coroutine[Any, Any, None]],
) -> Callable[[_Case], None]:
    """Run a test in a loop of its own whose time passes at once, however busy the machine."""

    @functools.wraps(test)
    def run(case: _Case) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(case))

    return run
