"""Compare the start of a process that a report tells with that of its target's entry."""

from __future__ import annotations

from fielddrift_core.target_registry import Instance

from ..web.process_check import ProcessAnswer, process_answer
from .ports import RemoteCallError

__all__ = ["check_start", "start_ms"]


def start_ms(born: float | None) -> int | None:
    """Return the start of a process in ms; raise `ValueError` unless it is a whole number."""
    if born is None:
        return None
    if born < 0 or born != born // 1:
        raise ValueError(f"start: {born!s:.30}, expected a whole number of ms")
    return int(born)


def check_start(instance: Instance, born: float | None) -> None:
    """Raise `RemoteCallError` when `born`, in ms, is not the start time of `instance`."""
    try:
        answer = process_answer(start_ms(born), expected=instance.started)
    except ValueError as error:
        raise RemoteCallError(f"{instance.address}: answer cannot be decoded: {error}") from None
    if answer in (ProcessAnswer.OTHER, ProcessAnswer.FORMER):
        raise RemoteCallError(
            f"{instance.address}: born {born!s:.30}, {instance.name} has started again, or not yet",
            not_executed=True,
            replaced=answer is ProcessAnswer.OTHER,
        )
