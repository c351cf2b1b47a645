"""A node that becomes its data centre's reader can be relied on as soon as it has read."""

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
    """A store and a neighbour that both answer in time; nothing changes."""

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
    """The reader is gone, and the next one begins to read.

    Sequence: it knows the operators' rows by a copy, so its first call of its own is a
    long poll of 1.2 s; until that ends it has never had an answer itself, and tells an
    age without end.  All other nodes of the data centre take it for overdue, and read
    the targets and the operators' rows for themselves meanwhile.  Cause: to begin a wait
    is judged as to have waited for ever.
    """

    def test_the_next_reader_is_not_overdue_while_its_first_call_waits(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        loop.run_until_complete(self._takes_over())

    async def _takes_over(self) -> None:
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
        # "reader" is a larger host, and so goes before this node.
        reader = _neighbour("reader")._replace(capacity=100.0)
        told = Heartbeat(reader, True, False, 0, {"m": 1}, {}, period=0.15)
        told = told._replace(reading=ReadState(_ROW, 1, 1, 0.1))
        neighbours.receive(told, loop.time())
        task = asyncio.ensure_future(feed.run())
        feed.heard(told)
        while not store.asked_at:
            await asyncio.sleep(0.05)
        # It reads the targets as well, in the same time.
        views.targets_read_at = loop.time()
        await asyncio.sleep(0.3)
        overdue = views.read_state(loop.time()).age
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(views.named, {"m": 1})
        self.assertLessEqual(overdue, 1.0)
