"""Base of the cases: each plays a fleet and returns what was seen to break its rule."""

from __future__ import annotations

import asyncio
import os
import tempfile
import traceback
from abc import ABC, abstractmethod
from enum import IntEnum
from pathlib import Path

from .fleet import Fleet

__all__ = ["TROUBLE", "Case", "Verdict"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case plays its disruption."""
_MAX_SECONDS = 110.0


class Verdict(IntEnum):
    """The exit codes of a case."""

    HELD = 0
    BROKEN = 1
    NOT_RUN = 2


class Case(ABC):
    """A case, whose record is written to `folder`."""

    rule: str

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder

    @abstractmethod
    async def play(self, fleet: Fleet) -> list[str]:
        """Play the case; return a line for each breach of the rule."""

    def run(self) -> Verdict:
        """Play and return the verdict; `record.txt` tells what was seen."""
        try:
            return asyncio.run(self._run())
        except Exception:
            traceback.print_exc()
            return Verdict.NOT_RUN

    async def _run(self) -> Verdict:
        record = self._folder / "record.txt"
        with tempfile.TemporaryDirectory() as scratch:
            async with Fleet(folder=Path(scratch), record=record) as fleet:
                async with asyncio.timeout(_MAX_SECONDS):
                    broken = await self.play(fleet)
                fleet.note_runs()
                for line in broken:
                    fleet.note(f"{self.rule} broken:", seen=line)
                fleet.note("verdict", broken=len(broken), trouble=TROUBLE)
        return Verdict.BROKEN if broken else Verdict.HELD
