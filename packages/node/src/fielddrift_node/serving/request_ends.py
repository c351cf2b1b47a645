"""Count and log how callers' requests end; `fielddrift_core.request_ends` decides the cause.

The requests that were accepted and have not ended are in progress.  A difference from the number
of requests that the server holds means that an end was lost.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog
from fielddrift_core.request_ends import END_RULES, EndCause, end_event

from ..web.messages import RequestHead
from ..web.request_ends import RequestEnd
from .metrics import Metrics

__all__ = ["RequestEnds"]

_log = structlog.get_logger()


class RequestEnds:
    """The account of a node's accepted requests.

    `request_id` returns the id that a caller gave to its request.
    """

    def __init__(self, *, metrics: Metrics, request_id: Callable[[RequestHead], str]) -> None:
        self._metrics = metrics
        self._request_id = request_id

    def accepted(self) -> None:
        """Count a request that was read whole."""
        self._metrics.accepted.inc()

    def ended(self, end: RequestEnd) -> None:
        """Count the end of a request, and log it unless a whole response was sent."""
        metrics, cause = self._metrics, end.cause
        metrics.ended.inc(label_value=cause.value)
        event = end_event(cause, begun=end.written > 0)
        if not event:
            return
        by = END_RULES[cause].by
        if by == "caller":
            metrics.left.inc()
        elif end.written:
            metrics.cut.inc()
        log = _log.info if by == "caller" else _log.warning
        log(
            event,
            request=self._request_id(end.head),
            cause=cause.value,
            by=by,
            age_ms=round(end.age * 1000),
            written=end.written,
            handled=end.handled,
            **end.details,
        )

    def unread(self, cause: EndCause) -> None:
        """Count a request that was not read whole."""
        self._metrics.unread.inc(label_value=cause.value)
