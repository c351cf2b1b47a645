"""Wait for a send, and replace it if it makes no progress.

The send is kept until its replacement makes progress, so that a request is never without a send
that may still be answered.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import structlog
from fielddrift_core.stalls import prefers_replacement

from .attempts import AttemptFailed, Shortage
from .call import Send
from .metrics import Metrics

__all__ = ["Pending", "Stall", "Takeover", "TakeoverOwner"]

_RETRY_SECONDS = 0.25
"""Interval at which a replacement is sought for a send that makes no progress."""
_CONNECT_POLL_SECONDS = 0.05
"""Interval at which it is checked whether a replacement has been written to its connection."""

_log = structlog.get_logger()
_T = TypeVar("_T")


class Stall:
    """Tells that a send makes no progress, and why.

    `reason` is given for a send that is known to make none already.
    """

    def __init__(self, *, reason: str = "") -> None:
        self._reason = reason
        self._noticed = asyncio.Event()
        if reason:
            self._noticed.set()

    @property
    def reason(self) -> str:
        """Return `silent` or `unresponsive`, empty while the send is not overdue."""
        return self._reason

    def notice(self, reason: str) -> None:
        """Record that the send makes no progress; the first reason is kept."""
        self._reason = self._reason or reason
        self._noticed.set()

    async def wait(self) -> None:
        """Wait until the send makes no progress."""
        await self._noticed.wait()


class Pending(NamedTuple, Generic[_T]):
    """A send in progress, and the task that returns its result or raises `AttemptFailed`."""

    send: Send
    task: asyncio.Task[_T]
    stall: Stall

    @property
    def succeeded(self) -> bool:
        """Return whether the task has returned a result."""
        task = self.task
        return task.done() and not task.cancelled() and task.exception() is None


class TakeoverOwner(Protocol):
    """Starts and ends the sends of one request."""

    def replace(self, pending: Pending[Any]) -> Pending[Any] | Shortage:
        """Start a send that may replace `pending`, or return why there can be none."""

    def record_failure(self, pending: Pending[Any], failure: AttemptFailed) -> None:
        """Record a send that failed."""

    def release(self, pending: Pending[Any]) -> None:
        """End a send whose replacement takes over; its task has been cancelled."""

    def cancel(self, pending: Pending[Any], reason: str) -> None:
        """End a replacement that is not needed; its task has been cancelled."""

    def discard(self, pending: Pending[Any]) -> None:
        """End what a send has begun, if its task returned a result that is not used."""


class Takeover:
    """Waits for one of the sends of a request.

    `last_heard` returns when any byte last arrived from a target.  `max_overlap` bounds the
    seconds for which two sends run at a time, None for no bound.
    """

    def __init__(
        self,
        *,
        owner: TakeoverOwner,
        last_heard: Callable[[str], float | None],
        max_overlap: float | None,
        metrics: Metrics,
        request_id: str,
    ) -> None:
        self._owner = owner
        self._last_heard = last_heard
        self._max_overlap = max_overlap
        self._metrics = metrics
        self._request_id = request_id
        self._shortage: Shortage | None = None
        """Why the send in progress was kept, as logged."""

    async def result(self, first: Pending[Any]) -> Pending[Any]:
        """Return the send that has a result; raise `AttemptFailed` if all of them failed.

        At most two are in progress.  `current` is the older one; when it has failed or is released,
        its replacement takes its place, and may be replaced in turn.
        """
        current, replacement = first, None
        stalled = asyncio.ensure_future(current.stall.wait())
        try:
            while True:
                if replacement is None and stalled.done():
                    replacement = self._replace(current)
                await self._wait(current, replacement, stalled)
                winner = next(
                    (p for p in (current, replacement) if p is not None and p.succeeded), None
                )
                if winner is not None:
                    if replacement is not None:
                        self._settle(current, replacement, winner)
                    return winner
                if replacement is not None and replacement.task.done():
                    self._owner.record_failure(replacement, _failure(replacement))
                    replacement = None
                if current.task.done():
                    failure = _failure(current)
                    self._owner.record_failure(current, failure)
                    if replacement is None:
                        raise failure
                elif replacement is None or self._overlap_left(replacement) > 0:
                    continue
                elif not self._prefers(replacement, current):
                    self._cancel(replacement, "silent")
                    replacement = None
                    continue
                else:
                    self._release(current)
                stalled.cancel()
                current, replacement = replacement, None
                stalled = asyncio.ensure_future(current.stall.wait())
        except BaseException:
            left = [pending for pending in (current, replacement) if pending is not None]
            for pending in left:
                pending.task.cancel()
            try:
                # They must have closed their connections before the request counts as ended.
                await asyncio.gather(*(p.task for p in left), return_exceptions=True)
            finally:
                for pending in left:
                    # A task that was done already could not be cancelled.
                    self._owner.discard(pending)
            raise
        finally:
            stalled.cancel()

    def _replace(self, current: Pending[Any]) -> Pending[Any] | None:
        replacement = self._owner.replace(current)
        if not isinstance(replacement, Shortage):
            self._shortage = None
            return replacement
        if replacement is not self._shortage:
            self._shortage = replacement
            self._metrics.kept_sends.inc(label_value=replacement.value)
            _log.info(
                "send kept",
                request=self._request_id,
                target=current.send.target,
                reason=current.stall.reason,
                lacks=replacement.value,
            )
        return None

    async def _wait(
        self, current: Pending[Any], replacement: Pending[Any] | None, stalled: asyncio.Future[None]
    ) -> None:
        waiting: set[asyncio.Future[Any]] = {current.task}
        seconds = None
        if replacement is not None:
            waiting.add(replacement.task)
            left = self._overlap_left(replacement)
            is_written = replacement.send.written_at is not None
            if not math.isinf(left) or not is_written:
                seconds = max(0.0, left) if is_written else _CONNECT_POLL_SECONDS
        elif not stalled.done():
            waiting.add(stalled)
        else:
            seconds = _RETRY_SECONDS
        await asyncio.wait(waiting, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)

    def _settle(
        self, current: Pending[Any], replacement: Pending[Any], winner: Pending[Any]
    ) -> None:
        """End the send that did not win."""
        if winner is current and replacement.task.done() and not replacement.succeeded:
            self._owner.record_failure(replacement, _failure(replacement))
        elif winner is current:
            self._cancel(replacement, "progress")
        elif current.task.done():
            self._owner.record_failure(current, _failure(current))
        else:
            self._release(current)

    def _overlap_left(self, replacement: Pending[Any]) -> float:
        """Return the seconds for which both sends may still run, infinite for no bound."""
        if self._max_overlap is None or replacement.send.written_at is None:
            return math.inf
        now = asyncio.get_running_loop().time()
        return replacement.send.written_at + self._max_overlap - now

    def _prefers(self, replacement: Pending[Any], current: Pending[Any]) -> bool:
        assert replacement.send.written_at is not None
        return prefers_replacement(
            written_at=replacement.send.written_at,
            replacement_heard_at=self._last_heard(replacement.send.target),
            current_heard_at=self._last_heard(current.send.target),
        )

    def _release(self, pending: Pending[Any]) -> None:
        _discard(pending.task)
        self._owner.release(pending)

    def _cancel(self, pending: Pending[Any], reason: str) -> None:
        _discard(pending.task)
        self._owner.cancel(pending, reason)


def _failure(pending: Pending[Any]) -> AttemptFailed:
    """Return the failure of a send that is done; raise any other exception of its task."""
    error = pending.task.exception()
    if isinstance(error, AttemptFailed):
        return error
    assert error is not None
    raise error


def _discard(task: asyncio.Task[Any]) -> None:
    """Cancel a task whose result is not used."""
    task.cancel()
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
