"""Check which process a connection leads to, before a request is sent on it."""

from __future__ import annotations

import asyncio

from .connection import Connection
from .errors import REPLACED_REASON, UNIDENTIFIED_REASON, ExchangeError
from .exchange import Exchange
from .messages import Reply
from .paths import ServerPath
from .process_check import ProcessAnswer, ProcessCheck

__all__ = ["CHECK_TIMEOUT_SECONDS", "check_process"]

CHECK_TIMEOUT_SECONDS = 1.0
"""How long the answers to the process checks before one send are waited for in all."""
_UNUSABLE_ANSWERS = frozenset({ProcessAnswer.OTHER, ProcessAnswer.FORMER, ProcessAnswer.UNKNOWN})
"""Answers that a connection does not lead, or may not lead, to the expected process."""
_MAX_CHECK_BYTES = 64 * 1024
"""Bytes of such an answer."""


async def check_process(
    path: ServerPath,
    connection: Connection,
    process: ProcessCheck,
    *,
    until: float,
    is_kept: bool,
) -> bool:
    """Ask on a connection which process is at its other end; return whether it may be used.

    The answer is waited for until the loop time `until`.  Raise `ExchangeError` if it is a
    later process, or is not known to be the expected one, unless the connection is a kept one:
    it is closed, and a new one may lead there.
    """
    connection.reserve()
    exchange = Exchange(accepts=process.accepts)
    exchange.bind(connection, through=path.through)
    connection.begin(exchange, process.request)
    is_usable = False
    try:
        async with asyncio.timeout_at(until):
            reply = Reply(await exchange.head(), await exchange.body(max_bytes=_MAX_CHECK_BYTES))
        answer = process.judge(reply)
        is_usable = answer not in _UNUSABLE_ANSWERS and not (
            answer is ProcessAnswer.REFUSED and process.is_required
        )
    except TimeoutError:
        if not process.is_required:
            return True
        detail = f"{path.address}: no process named in {CHECK_TIMEOUT_SECONDS} s"
        raise ExchangeError(
            detail, sent=False, reason=UNIDENTIFIED_REASON, connect_timed_out=True
        ) from None
    except ExchangeError as error:
        if is_kept:
            return False
        raise ExchangeError(str(error), sent=False, reason=error.reason) from None
    finally:
        if not is_usable:
            connection.close()
    if answer is ProcessAnswer.OTHER:
        detail = f"{path.address}: not the process {process.name}"
        raise ExchangeError(detail, sent=False, reason=REPLACED_REASON)
    if not is_usable:
        if is_kept:
            return False
        detail = f"{path.address}: not known to be the process {process.name}: {answer}"
        raise ExchangeError(detail, sent=False, reason=UNIDENTIFIED_REASON)
    if answer is ProcessAnswer.EXPECTED:
        connection.set_process(process.name)
    return True
