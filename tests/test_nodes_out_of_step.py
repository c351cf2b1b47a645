"""A node that is out of step joins no streams of software versions that it has not heard of.

Failure: a node whose list of targets lacked a second version, as it stood still, was cut off or
merely read the list later than others, asked no other node for the origin of a stream that a caller
resumed there, and went on at the only version that it knew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock
from unittest.mock import AsyncMock

from fielddrift_core.stream_origins import StreamOrigin, stream_key
from fielddrift_node.serving import origin_rows
from fielddrift_node.serving.ports import RemoteCallError
from structlog.testing import capture_logs

from .platform_fleet import RunningNode, eventually
from .test_software_versions import _EVENTS, MixedCase, _alive, _Caller
from .test_targets_restarted_beside_stopped_nodes import StoppedNodesCase, stopped

_CUSTOMER = "ana"
_ARRIVAL_SECONDS = 0.1
"""Time for requests to arrive at a node that stands still."""


@contextmanager
def unread(node: RunningNode) -> Iterator[None]:
    """Let a node read no list of targets."""
    with mock.patch.object(node.node._targets, "_update", AsyncMock(return_value=0.2)):
        yield


@contextmanager
def unheard(node: RunningNode) -> Iterator[None]:
    """Let all datagrams to a node be lost."""
    with mock.patch.object(node.node._gossip, "datagram_received"):
        yield


class OutOfStepCase(MixedCase):
    """Targets of a second version join while one node does not read its list."""

    async def join(self, *nodes: RunningNode, count: int = 6) -> None:
        """Let targets of a second version join, and wait until `nodes` may use them."""
        before = len(self.engines)
        for number in range(before, before + count):
            await self.add_engine(f"e{number}", "v1.1")
        for node in nodes:
            views = node.node.views
            await eventually(lambda v=views: len(v.registry.serving("engines")) == before + count)
            await eventually(lambda v=views: v.software_versions.is_recorded("engines", "v1.1"))

    async def open_at(
        self, node: RunningNode, count: int, *, not_held_by: str = ""
    ) -> list[_Caller]:
        """Let callers begin streams whose origins are not sent to the node `not_held_by`."""
        now = asyncio.get_running_loop().time()
        callers: list[_Caller] = []
        number = 0
        while len(callers) < count:
            caller = _Caller(f"s{number}")
            key = stream_key(_CUSTOMER, f"{caller.name}-1")
            holders = {held.name for held in node.node._streams._holders(key, now)}
            if not_held_by not in holders:
                caller.send(node, X_Prompt_Prefix=f"p{number}:300,q{number}:50")
                callers.append(caller)
            number += 1
        for caller in callers:
            await caller.has_events(3)
        self.assertTrue(any(found == {"v1.1"} for found in self.software(callers)))
        return callers

    async def return_to(self, node: RunningNode, callers: list[_Caller]) -> None:
        """Let callers lose their connections, and return to `node` at once."""
        for caller in callers:
            caller.leave()
        for caller in callers:
            caller.send(node)
        await self.end_streams(callers)

    def assert_one_version(self, callers: list[_Caller]) -> None:
        """Check that each stream is whole or was refused, and has events of one version."""
        self.assert_unmixed(callers)
        for caller in callers:
            self.assertTrue(caller.in_order, caller.events)
            if not caller.whole or len(caller.events) < _EVENTS:
                self.assertEqual(caller.status, 503)


class TestReadsLater(OutOfStepCase):
    async def test_a_node_that_reads_its_list_later_joins_no_versions(self) -> None:
        """Failure: nothing was wrong but that one node read its list after the others."""
        await self.start(nodes=6, engines=2, versions=("v1",))
        *others, behind = self.nodes
        with unread(behind):
            await self.join(*others)
            callers = await self.open_at(self.nodes[0], 24, not_held_by=behind.settings.name)
            self.assertFalse(behind.node.views.software_versions.is_mixed("engines"))
            await self.return_to(behind, callers)
        self.assert_one_version(callers)

    async def test_a_node_that_was_cut_off_for_less_than_a_second_joins_no_versions(self) -> None:
        """Failure: the origins that were sent to it were lost, too."""
        await self.start(nodes=3, engines=2, versions=("v1",))
        *others, behind = self.nodes
        with unread(behind), unheard(behind):
            await self.join(*others)
            callers = await self.open_at(self.nodes[0], 24)
            await self.return_to(behind, callers)
        self.assert_one_version(callers)

    async def test_a_node_that_no_other_one_answers_joins_no_versions(self) -> None:
        """Failure: a node that hears of nobody took the versions that it had read for all."""
        await self.start(nodes=3, engines=2, versions=("v1",))
        *others, behind = self.nodes
        with unread(behind), unheard(behind):
            await self.join(*others)
            callers = await self.open_at(self.nodes[0], 12)
            for node in others:
                node.kill()
            await self.return_to(behind, callers)
        self.assert_one_version(callers)

    async def test_a_node_that_no_other_one_answers_reads_its_list_first(self) -> None:
        """Failure if every stream is refused that began before the other nodes ended."""
        await self.start(nodes=3, engines=4, versions=("v1",))
        *others, last = self.nodes
        callers = await self.open_streams(12, *others, own_parts=True)
        for node in others:
            node.kill()
        await self.return_to(last, callers)
        self.assert_whole(callers)


class TestReadsAtLast(OutOfStepCase):
    """The node reads its list while the callers return, and presumes nothing of what it missed."""

    async def test_a_node_that_was_cut_off_from_the_only_other_one_joins_no_versions(self) -> None:
        """Failure: a version that it had only just read was taken for one that had only just
        appeared, and all streams for the former version's."""
        await self.start(nodes=2, engines=2, versions=("v1",))
        other, behind = self.nodes
        # The origins of the last moments before a node ends are not saved.
        with unheard(behind), mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0):
            with unread(behind):
                await self.join(other)
                callers = await self.open_at(other, 12)
                await eventually(lambda: _alive(behind) == 0)
            other.kill()
            await self.return_to(behind, callers)
        self.assert_one_version(callers)

    async def test_a_caller_that_names_no_attempt_gets_no_presumed_version(self) -> None:
        """Failure: shortly after a second version had appeared, a stream of which the caller named
        no attempt went on at the first version, though every node knew both."""
        await self.start(nodes=2, engines=2, versions=("v1",))
        await self.join(*self.nodes)
        callers = await self.open_at(self.nodes[0], 12)
        for caller in callers:
            caller._first = ""
        await self.return_to(self.nodes[1], callers)
        self.assert_one_version(callers)


class TestStoodStill(OutOfStepCase, StoppedNodesCase):
    async def test_a_node_that_stood_still_joins_no_versions(self) -> None:
        """Failure: what came while it stood still was decided before it had read its list."""
        await self.start(nodes=5, engines=2, versions=("v1",))
        *others, behind = self.nodes
        with stopped([behind]):
            await self.join(*others)
            callers = await self.open_at(self.nodes[0], 24, not_held_by=behind.settings.name)
            for caller in callers:
                caller.leave()
            for caller in callers:
                caller.send(behind)
            await asyncio.sleep(_ARRIVAL_SECONDS)
        await self.end_streams(callers)
        self.assert_one_version(callers)


class TestAsked(OutOfStepCase):
    async def test_a_node_that_stood_still_denies_no_origin(self) -> None:
        """Failure: a node that went on answered before it had read the origins that had come
        meanwhile, and the node that asked presumed another version."""
        await self.start(nodes=2, engines=1, versions=("v1",))
        asking, asked = self.nodes
        peers, known = asking.node._streams._peers, asking.node._neighbours.node("node-1")
        assert known is not None
        views, now = asked.node.views, asyncio.get_running_loop().time()
        views.origins.record(StreamOrigin("aa", "engines", "v1", now + 10.0))
        views.stale.set()
        with self.assertRaises(RemoteCallError):
            await peers.origins(known, ["aa", "bb"])
        views.stale.set()
        self.assertEqual(
            [each.key for each in (await peers.origins(known, ["aa"])).origins], ["aa"]
        )
        views.mark_current()
        self.assertEqual((await peers.origins(known, ["bb"])).origins, [])


class TestLog(OutOfStepCase):
    async def test_a_return_tells_how_far_its_node_is_behind(self) -> None:
        """Failure: nothing told afterwards that a node which took up a stream was out of step."""
        await self.start(nodes=3, engines=2, versions=("v1",))
        *_, behind = self.nodes
        callers = await self.open_streams(2, self.nodes[0], own_parts=True)
        with unread(behind), capture_logs() as lines:
            views, now = behind.node.views, asyncio.get_running_loop().time()
            await self.return_to(self.nodes[1], callers[:1])
            await asyncio.sleep(max(0.0, views.targets_read_at + 3.1 - now))
            late = await self.open_streams(2, self.nodes[0], own_parts=True)
            await self.return_to(behind, late[1:])
        told = [line for line in lines if line["event"] == "stream returned"]
        self.assertEqual([line["out_of_step"] for line in told], [False, True])
        self.assertLess(told[0]["targets_age"], 3.0)
        self.assertGreater(told[1]["targets_age"], 3.0)
        self.assertLessEqual(told[1]["targets_row"], told[1]["heard_row"])


class TestListReadMeanwhile(OutOfStepCase):
    async def test_a_version_in_a_list_that_is_read_while_other_nodes_are_asked_counts(
        self,
    ) -> None:
        """Failure: the node judged by the versions that it had observed before, and went on at the
        only one of them, although its list had a second one by then."""
        await self.start(nodes=3, engines=2, versions=("v1",))
        *others, behind = self.nodes
        streams, feed = behind.node._streams, behind.node._targets
        ask_others = streams._ask_others

        async def ask_and_read(key: str) -> object:
            found = await ask_others(key)
            await feed._read()
            return found

        with unread(behind), unheard(behind):
            await self.join(*others)
            callers = await self.open_at(self.nodes[0], 12)
            for node in others:
                node.kill()
            with mock.patch.object(streams, "_ask_others", ask_and_read):
                await self.return_to(behind, callers)
        self.assert_one_version(callers)
