"""A caller that leaves while a request waits for news is noticed, also in the moment of the news.

Symptom: a walk of nodes' views hung at its end; a task that was cancelled went on.
Sequence: what it waited for came in the same turn of the loop as the cancel.
Cause: `asyncio.wait_for` of Python 3.11 returns the result then and drops the cancel.
A request that waits for the operators' rows is ended by such a cancel when its caller
closes; it would have gone on to its target.
"""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.serving.views import Views

_TURNS = 5
"""Turns of the loop between news and cancel that are tried."""


class TestCancelledWait(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancel_beside_the_news_is_not_lost(self) -> None:
        for turns in range(_TURNS):
            with self.subTest(turns=turns):
                views = Views()
                waiting = asyncio.ensure_future(views.wait_until_refreshed(60.0))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                views.mark_current()
                for _ in range(turns):
                    await asyncio.sleep(0)
                if waiting.cancel():
                    with self.assertRaises(asyncio.CancelledError):
                        await waiting
