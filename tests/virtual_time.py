"""Virtual time for tests: the laboratory's loop."""

from __future__ import annotations

from bench.lab.virtual_time import VirtualLoop

__all__ = ["VirtualLoop"]
