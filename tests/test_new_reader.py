"""A node that becomes its data centre's reader is not stale while its first call waits."""

from __future__ import annotations

import asyncio
import random
import unittest

from fielddrift_core.neighbours import Heartbeat, Neighbour, Neighbours
from fielddrift_core.readers import ReadState
from fielddrift_node.serving.feeds import FeedTools
from fielddrift_node.serving.operator_feed import OperatorFeed
from fielddrift_node.serving.ports import NamedWeights, OperatorChanges
from fielddrift_node.serving.sharing import OperatorCopy
from fielddrift_node.serving.views import Views

from .virtual_time import VirtualLoop

_CALL_SECONDS = 0.005
_ROW = 7


def _neighbour(name: str) -> Neighbour:
    return Neighbour(name, 1, "a", f"{name}:80", f"{name}:81", f"{name}:82")


class Store:
    """A store and a neighbour that respond in time, without any changes."""

    calls = 0

    def __init__(self) -> None:
        self.asked_at: list[float] = []

    async def operator_changes(self, after: int | None, wait: float) -> OperatorChanges:
        self.asked_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(_CALL_SECONDS + wait)
        return OperatorChanges(None, (), _ROW)

    async def operators(self, node: Neighbour) -> OperatorCopy:
        await asyncio.sleep(_CALL_SECONDS)
        return OperatorCopy(None, {"m": 1}, _ROW)


class TestNewReader(unittest.TestCase):
    """The reader has failed, and the next one starts to read.

    Failure: the new reader has a copy of the operators' rows, so its first own call is a long
    poll of 1.2 s.  Until that call ends it has no response of its own, and reports an infinite
    age.  All other nodes of the data centre take it for stale, and read the targets and the
    operators' rows themselves in the meantime.
    """

    def test_the_next_reader_is_not_stale_while_its_first_call_waits(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        loop.run_until_complete(self._take_over())

    async def _take_over(self) -> None:
        loop = asyncio.get_running_loop()
        store, views = Store(), Views()
        views.update_weights(NamedWeights("m", 0), loop.time())
        neighbours = Neighbours(me=_neighbour("me"))
        neighbours.update_self(serving=True, load=0.0)
        tools = FeedTools(
            platform=store,  # type: ignore[arg-type]
            peers=store,  # type: ignore[arg-type]
            neighbours=neighbours,
            views=views,
            rng=random.Random(1),
        )
        feed = OperatorFeed(tools=tools, on_change=lambda: None)
        # "reader" is a larger host, so it precedes this node in the order.
        reader = _neighbour("reader")._replace(capacity=100.0)
        sent = Heartbeat(reader, True, False, 0, {"m": 1}, {}, period=0.15)
        sent = sent._replace(reading=ReadState(_ROW, 1, 1, 0.1))
        neighbours.receive(sent, loop.time())
        task = asyncio.ensure_future(feed.run())
        feed.heard(sent)
        while not store.asked_at:
            await asyncio.sleep(0.05)
        # Meanwhile it reads the targets as well.
        views.targets_read_at = loop.time()
        await asyncio.sleep(0.3)
        age = views.read_state(loop.time()).age
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(views.named, {"m": 1})
        self.assertLessEqual(age, 1.0)
