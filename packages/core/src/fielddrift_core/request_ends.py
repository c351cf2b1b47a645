"""Decide how an accepted request has ended, and by whose action.

A request is accepted once it was read whole.  It ends once: with its whole response handed to the
kernel, or when it is certain that the caller gets no response or no more of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["END_RULES", "EndCause", "EndRule", "end_cause", "end_event"]


class EndCause(StrEnum):
    """Why a request has ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CALLER_CLOSED = "caller-closed"
    CALLER_RESET = "caller-reset"
    TARGET = "target"
    DEADLINE = "deadline"
    MEMORY = "memory"
    STOP = "stop"
    IDLE = "idle"
    LAST_RESPONSE = "last-response"
    FAULT = "fault"


class EndRule(NamedTuple):
    """Who ended a request (`caller`, `target` or `node`), and what happened."""

    by: str
    text: str


END_RULES: Mapping[EndCause, EndRule] = {
    EndCause.ANSWERED: EndRule("node", "the whole response of a target was sent"),
    EndCause.REFUSED: EndRule("node", "a whole response of the node's own was sent"),
    EndCause.CALLER_CLOSED: EndRule("caller", "the caller closed its side of the connection"),
    EndCause.CALLER_RESET: EndRule("caller", "the connection was reset, or its path was silent"),
    EndCause.TARGET: EndRule("target", "a run broke off that could not be resumed"),
    EndCause.DEADLINE: EndRule("node", "the deadline passed within the response"),
    EndCause.MEMORY: EndRule("node", "the connection was closed because memory was short"),
    EndCause.STOP: EndRule("node", "the node stopped"),
    EndCause.IDLE: EndRule("node", "the connection was idle, or a request came too slowly"),
    EndCause.LAST_RESPONSE: EndRule("node", "the response before it closed the connection"),
    EndCause.FAULT: EndRule("node", "a handler failed"),
}
"""The complete list of causes."""


def end_cause(*, sent: bool, refused: bool, closed_by: EndCause | None) -> EndCause:
    """Return why a request ended.

    `sent` says whether its whole response was handed to the kernel, `refused` whether that was a
    response of the node's own; `closed_by` is the first cause for which its connection was
    closed, None if it was not.
    """
    if sent:
        return EndCause.REFUSED if refused else EndCause.ANSWERED
    return closed_by or EndCause.FAULT


def end_event(cause: EndCause, *, begun: bool) -> str:
    """Return the log event for `cause`, empty for those that need no line.

    `begun` says whether any byte of the response was written.
    """
    if cause in (EndCause.ANSWERED, EndCause.REFUSED):
        return ""
    if END_RULES[cause].by == "caller":
        return "request left"
    return "answer cut" if begun else "request dropped"
