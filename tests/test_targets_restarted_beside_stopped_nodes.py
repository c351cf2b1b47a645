"""A node that was stopped over a target's restart joins no streams of two software versions.

Failure: a node that goes on finds, all at once, that connections have ended, that the target
accepts new ones, and an entry that tells of the former process or already of the next one.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager

from .platform_fleet import WAIT_SECONDS, Fleet, RunningNode
from .test_software_versions import _EVENTS, _Caller
from .test_targets_restarted_in_place import RestartCase

_ARRIVAL_SECONDS = 0.1
"""Time for the last events and the ends of connections to arrive at nodes that are stopped."""
_ENTRY_SECONDS = 0.3
"""How long after the nodes go on the entries of the new processes come."""


class StoppableNode(RunningNode):
    """A node with an event loop of its own, which can be stopped as a process can."""

    @classmethod
    async def open(cls, name: str, fleet: Fleet) -> StoppableNode:
        """Return a node that is ready."""
        loop = asyncio.new_event_loop()
        thread = threading.Thread(target=loop.run_forever, daemon=True)
        thread.start()

        async def make() -> StoppableNode:
            node = cls(name=name, fleet=fleet)
            node._loop, node._thread = loop, thread
            await RunningNode.start(node)
            return node

        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(make(), loop))

    async def stop(self) -> None:
        stopping = asyncio.run_coroutine_threadsafe(super().stop(), self._loop)
        await asyncio.wrap_future(stopping)
        self._loop.call_soon_threadsafe(self._loop.stop)
        await asyncio.to_thread(self._thread.join)
        self._loop.close()

    @contextmanager
    def stopped(self) -> Iterator[None]:
        """Stop the node; the kernel goes on to accept and to receive for it."""
        is_stopped, goes_on = threading.Event(), threading.Event()

        def stop() -> None:
            is_stopped.set()
            goes_on.wait(WAIT_SECONDS)

        self._loop.call_soon_threadsafe(stop)
        is_stopped.wait(WAIT_SECONDS)
        try:
            yield
        finally:
            goes_on.set()


@contextmanager
def stopped(nodes: Iterable[RunningNode]) -> Iterator[None]:
    """Stop nodes."""
    with ExitStack() as stack:
        for node in nodes:
            assert isinstance(node, StoppableNode)
            stack.enter_context(node.stopped())
        yield


class StoppedNodesCase(RestartCase):
    """Nodes that can be stopped, and engines that start again in place as another version."""

    async def add_node(self, name: str) -> RunningNode:
        node = await StoppableNode.open(name, self.fleet)
        self.fleet.nodes.append(node)
        self.nodes.append(node)
        await self.known()
        return node

    async def restart_beside(self, nodes: Iterable[RunningNode], *, entries: bool) -> None:
        """Start two engines again while `nodes` are stopped, with `entries` written meanwhile."""
        with stopped(nodes):
            for engine in self.engines[:2]:
                again = await self.restart(engine, "v2")
                if entries:
                    self.fleet.enter(again.name, "engines")
            await asyncio.sleep(_ARRIVAL_SECONDS)

    async def enter(self) -> None:
        """Write the entries of the new processes after some time."""
        await asyncio.sleep(_ENTRY_SECONDS)
        for engine in self.engines[:2]:
            self.fleet.enter(engine.name, "engines")

    def assert_one_version(self, callers: list[_Caller]) -> None:
        """Check that each stream has events of one version, in order, and most are whole."""
        self.assert_unmixed(callers)
        self.assertTrue(all(caller.in_order for caller in callers))
        self.assertTrue(all(len(caller.events) == _EVENTS for caller in callers if caller.whole))
        self.assertGreater(sum(caller.whole for caller in callers), len(callers) // 2)


class TestStoppedNodes(StoppedNodesCase):
    async def test_streams_go_on_at_their_version_when_the_nodes_go_on(self) -> None:
        await self.start(engines=4, versions=("v1",))
        callers = await self.open_streams(18, own_parts=True)
        await self.restart_beside(self.nodes, entries=False)
        await self.enter()
        await self.end_streams(callers)
        self.assert_one_version(callers)

    async def test_streams_go_on_at_their_version_if_the_entries_came_meanwhile(self) -> None:
        await self.start(engines=4, versions=("v1",))
        callers = await self.open_streams(18, own_parts=True)
        await self.restart_beside(self.nodes, entries=True)
        await self.end_streams(callers)
        self.assert_one_version(callers)

    async def test_a_caller_that_returns_to_a_node_that_was_stopped_gets_its_version(self) -> None:
        await self.start(engines=4, versions=("v1",))
        callers = await self.open_streams(18, own_parts=True)
        for caller in callers:
            caller.leave()
        await self.restart_beside(self.nodes[:1], entries=False)
        for caller in callers:
            caller.send(self.nodes[0])
        await self.enter()
        await self.end_streams(callers)
        self.assert_one_version(callers)

    async def test_requests_that_came_while_the_node_was_stopped_begin_one_version(self) -> None:
        await self.start(engines=4, versions=("v1",))
        callers = [_Caller(f"c{number}") for number in range(12)]
        with stopped(self.nodes):
            for number, caller in enumerate(callers):
                parts = f"r{number}:300,s{number}:50"
                caller.send(self.nodes[number % 3], X_Prompt_Prefix=parts)
            for engine in self.engines[:2]:
                await self.restart(engine, "v2")
            await asyncio.sleep(_ARRIVAL_SECONDS)
        await self.enter()
        # Streams that a new process began must not go on at the others.
        self.engines[2].crash()
        await self.end_streams(callers)
        self.assert_one_version(callers)
