"""A waiting send is cancelled by the timeout for outdated weights or by its own timeout."""

from __future__ import annotations

import asyncio
import unittest

from fielddrift_node.serving.ports import NamedWeights
from fielddrift_node.serving.stale_weights import StaleWeightsTimeout
from fielddrift_node.serving.views import Views

from .virtual_time import VirtualLoop

_TIMEOUT_SECONDS = 0.2
_NAMED_BEFORE_SECONDS = 0.01


class TestStaleWeightsTimeout(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.faults: list[object] = []
        self.loop.set_exception_handler(lambda _, context: self.faults.append(context))

    def _expired(self, *, bound: float) -> bool:
        """Return whether the timeout for outdated weights cancelled a send without a response."""
        return self.loop.run_until_complete(self._wait(bound))

    async def _wait(self, bound: float) -> bool:
        views = Views()
        views.update_weights(NamedWeights("m", 2), self.loop.time() - _NAMED_BEFORE_SECONDS)
        weights_timeout = StaleWeightsTimeout(views=views, model="m", weights=1, bound=bound)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_SECONDS) as limit:
                with weights_timeout.over(limit):
                    await asyncio.sleep(60.0)
        return weights_timeout.expired

    def test_the_weights_timeout_cancels_a_send_before_its_own_timeout(self) -> None:
        self.assertTrue(self._expired(bound=0.6))

    def test_the_own_timeout_prevails_if_both_expire_together(self) -> None:
        # A check in the loop iteration in which the timeout expires rescheduled an expiring
        # timeout: the loop logged `Cannot change state of expiring Timeout`, and the failure was
        # not attributed to the engine.
        self.assertFalse(self._expired(bound=0.5 + _TIMEOUT_SECONDS + _NAMED_BEFORE_SECONDS))
        self.assertEqual(self.faults, [])
