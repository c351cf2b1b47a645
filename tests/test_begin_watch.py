"""A send that waits is called off in time, by whichever limit comes first."""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.serving.begin_watch import StaleWeightsTimeout
from fielddrift_node.serving.ports import NamedWeights
from fielddrift_node.serving.views import Views

from .virtual_time import VirtualLoop

_PATIENCE = 0.2
_NAMED_BEFORE = 0.01


class TestBeginWatch(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.faults: list[object] = []
        self.loop.set_exception_handler(lambda _, context: self.faults.append(context))

    def _expired(self, *, bound: float) -> bool:
        """Return whether the weights' time ended a send that waits for ever."""
        return self.loop.run_until_complete(self._waits(bound))

    async def _waits(self, bound: float) -> bool:
        views = Views()
        views.update_weights(NamedWeights("m", 2), self.loop.time() - _NAMED_BEFORE)
        watch = StaleWeightsTimeout(views=views, model="m", weights=1, bound=bound)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_PATIENCE) as limit:
                with watch.over(limit):
                    await asyncio.sleep(60.0)
        return watch.expired

    def test_the_weights_time_ends_it_before_patience(self) -> None:
        self.assertTrue(self._expired(bound=0.6))

    def test_patience_ends_it_where_both_end_in_one_moment(self) -> None:
        # A look in the turn in which patience expires moved an expiring limit: the loop
        # logged `Cannot change state of expiring Timeout`, and the engine was not blamed.
        self.assertFalse(self._expired(bound=0.5 + _PATIENCE + _NAMED_BEFORE))
        self.assertEqual(self.faults, [])
