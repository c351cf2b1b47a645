"""A node that has just started knows which software versions may have begun a stream.

Failure: which version began a stream, and which ones had served, lived in processes only.  After
all nodes had ended, streams of a version that had ended went on at the one that served.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

from fielddrift_core import heartbeat, stream_origins
from fielddrift_core.rollout import StoreClock
from fielddrift_core.stream_origins import SavedVersion, StreamOrigin
from fielddrift_node.serving import origin_rows, version_rows
from fielddrift_node.serving.ports import RemoteCallError
from fielddrift_node.serving.views import Views
from fielddrift_node.web.client import Client
from fielddrift_platform.store import PlatformStore

from .platform_fleet import RunningNode, eventually
from .test_software_versions import _EVENTS, _RETURN_SECONDS, MixedCase, _alive, _Caller

_WORK_SECONDS = 1.5
"""How long an engine works before its first event: longer than another version needs to appear."""
_CONTACT_SECONDS = 3.2
"""From this time after a start on, a node has to let streams go on that may."""


class RestartCase(MixedCase):
    """All nodes end at the same moment, and others start."""

    async def replace_all(self) -> list[RunningNode]:
        """Kill all nodes and start as many new ones."""
        count = sum(node.task is not None for node in self.nodes)
        for node in self.nodes:
            if node.task is not None:
                node.kill()
        started = [await self.fleet.node(f"again-{number}") for number in range(count)]
        self.nodes += started
        await self.known()
        return started

    async def end_version(self, software: str) -> None:
        """Let all engines of a version leave the list and end."""
        for engine in self.engines:
            if engine.software == software:
                self.fleet.store.drop("servers", engine.name)
        running = [node for node in self.nodes if node.task is not None]
        for engine in self.engines:
            if engine.software == software:
                for node in running:
                    registry = node.node.views.registry
                    await eventually(lambda r=registry, e=engine: r.get(e.name) is None)
                engine.crash()

    async def come_back(self, callers: list[_Caller], nodes: list[RunningNode]) -> None:
        """Let the callers return to the nodes in turn, and wait until their responses end."""
        for number, caller in enumerate(callers):
            caller.send(nodes[number % len(nodes)])
        await self.end_streams(callers)

    async def saved(self) -> None:
        """Wait until all nodes know that the versions which serve are saved."""
        for node in self.nodes:
            views = node.node.views
            if node.task is None:
                continue
            for name in views.registry.software().get("engines", ()):
                await eventually(
                    lambda v=views, n=name: v.software_versions.is_recorded("engines", n)
                )

    def begun_by(self, callers: list[_Caller], software: str) -> list[_Caller]:
        """Return the callers whose streams the version began."""
        found = zip(callers, self.software(callers), strict=True)
        return [caller for caller, versions in found if versions == {software}]


class TestAllNodesEnd(RestartCase):
    async def test_streams_of_a_version_that_ended_before_the_start_join_no_other(self) -> None:
        """Failure: a node that started after the end of a version took its streams for any."""
        await self.start(engines=4, versions=("v1", "v1.1"))
        await self.saved()
        callers = await self.open_streams(18, own_parts=True)
        old = self.begun_by(callers, "v1")
        new = self.begun_by(callers, "v1.1")
        self.assertTrue(old and new)
        for caller in old:
            caller.leave()
        await self.end_version("v1")
        await asyncio.sleep(2 * origin_rows._FLUSH_SECONDS)
        nodes = await self.replace_all()
        await self.come_back(callers, nodes)
        self.assert_unmixed(callers)
        self.assertEqual({caller.status for caller in old}, {503})
        self.assert_whole(new)

    async def test_streams_of_all_versions_that_serve_go_on(self) -> None:
        """Failure if a node refuses all streams that began before its start."""
        await self.start(engines=4, versions=("v1", "v1.1"))
        await self.saved()
        callers = await self.open_streams(18, own_parts=True)
        await asyncio.sleep(2 * origin_rows._FLUSH_SECONDS)
        nodes = await self.replace_all()
        await self.come_back(callers, nodes)
        self.assert_whole(callers)

    async def test_streams_go_on_where_a_version_appeared_while_no_node_ran(self) -> None:
        """Failure if a version that no node has seen may have begun streams of former nodes."""
        await self.start(engines=2, versions=("v1",))
        await self.saved()
        callers = await self.open_streams(12, own_parts=True)
        for node in self.nodes:
            node.kill()
        await self.add_engine("late", "v1.1")
        nodes = await self.replace_all_from_none(3)
        await asyncio.sleep(_CONTACT_SECONDS)
        await self.come_back(callers, nodes)
        self.assert_whole(callers)

    async def test_streams_whose_origin_was_not_saved_join_no_former_version(self) -> None:
        """Failure: nodes that started soon after a second version took its streams for the
        first one's."""
        await self.start(engines=2, versions=("v1",))
        await self.saved()
        flush = mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0)
        new = mock.patch.object(stream_origins, "_NEW_VERSION_SECONDS", 10.0)
        with flush, new:
            for number in range(4):
                await self.add_engine(f"late-{number}", "v1.1")
            await self.known()
            await self.saved()
            # The first origins are saved at once, the next ones after the interval.
            callers = await self.open_streams(18, own_parts=True)
            self.assertTrue(self.begun_by(callers, "v1.1"))
            nodes = await self.replace_all()
            await self.come_back(callers, nodes)
        self.assert_unmixed(callers)

    async def test_streams_of_nodes_that_ended_join_no_former_version_at_the_last_node(
        self,
    ) -> None:
        """Failure: the one node that lived on took streams of a second version, which only nodes
        that had ended knew, for the first one's."""
        await self.start(nodes=6, engines=2, versions=("v1",))
        await self.saved()
        flush = mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0)
        new = mock.patch.object(stream_origins, "_NEW_VERSION_SECONDS", 20.0)
        with flush, new:
            for number in range(4):
                await self.add_engine(f"late-{number}", "v1.1")
            await self.known()
            await self.saved()
            last, *others = self.nodes
            callers = await self.open_streams(20, *others, own_parts=True)
            self.assertTrue(self.begun_by(callers, "v1.1"))
            for node in others:
                node.kill()
            await eventually(lambda: _alive(last) == 0)
            # As heartbeats do, so that the list of targets is not outdated.
            before = last.node.views.targets_read_at
            self.fleet.enter(self.engines[0].name, "engines")
            await eventually(lambda: last.node.views.targets_read_at > before)
            await self.come_back(callers, [last])
        self.assert_unmixed(callers)

    async def test_streams_of_nodes_that_started_again_join_no_former_version_at_the_last_node(
        self,
    ) -> None:
        """Failure: the answers of nodes that started again counted for their former processes."""
        await self.start(nodes=6, engines=2, versions=("v1",))
        await self.saved()
        flush = mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0)
        new = mock.patch.object(stream_origins, "_NEW_VERSION_SECONDS", 20.0)
        with flush, new:
            for number in range(4):
                await self.add_engine(f"late-{number}", "v1.1")
            await self.known()
            await self.saved()
            last, *others = self.nodes
            callers = await self.open_streams(20, *others, own_parts=True)
            self.assertTrue(self.begun_by(callers, "v1.1"))
            for node in others:
                node.kill()
            self.nodes = [last, *[await self.fleet.node(n.settings.name) for n in others]]
            await self.known()
            await self.come_back(callers, [last])
        self.assert_unmixed(callers)

    async def test_streams_join_no_former_version_if_one_node_started_again_and_one_is_silent(
        self,
    ) -> None:
        """Failure: a node that had started again and one that gave no answer counted apart."""
        async with self.known_to_ended_nodes() as (callers, last, others):
            settings = others[0].settings
            again = await self.fleet.node(settings.name, data_centre=settings.data_centre)
            name, neighbours = again.settings.name, last.node._neighbours
            boot = again.node._boot
            await eventually(lambda: (n := neighbours.node(name)) is not None and n.boot == boot)
            self.assertEqual(_alive(last), 2)
            await self.come_back(callers, [last])
        self.assert_unmixed(callers)

    async def test_streams_join_no_former_version_before_nodes_that_started_again_are_heard(
        self,
    ) -> None:
        """Failure: processes answered, at the addresses of those before them, that no node knew
        a stream."""
        async with self.known_to_ended_nodes() as (callers, last, others):
            neighbours = last.node._neighbours
            with mock.patch.object(neighbours, "receive", return_value=False):
                for node in others:
                    name, data_centre = node.settings.name, node.settings.data_centre
                    again = await self.fleet.node(name, data_centre=data_centre)
                    # As if it had started at the address of the former process.
                    heard = neighbours._states[name]
                    former = heard.node._replace(peer=again.settings.peer)
                    neighbours._states[name] = neighbours._remote[name] = heard._replace(
                        node=former
                    )
                self.assertEqual(_alive(last), 2)
                await self.come_back(callers, [last])
        self.assert_unmixed(callers)

    @asynccontextmanager
    async def known_to_ended_nodes(
        self,
    ) -> AsyncIterator[tuple[list[_Caller], RunningNode, list[RunningNode]]]:
        """Begin streams of a second version that only two nodes know, and end these.

        Give the callers, the node that lives on, and the others.
        """
        for route in self.fleet.routes:
            route |= {"timeout-ms": 8000, "max-attempts": 3, "target-latency-ms": 1000}
        self.fleet.configure()
        self.engines, self.nodes = [], []
        await self.add_engine("first", "v1")
        # In data centres of their own each origin has one copy.
        for name in ("a", "b", "c"):
            self.nodes.append(await self.fleet.node(f"node-{name}", data_centre=name))
        await self.known()
        await self.saved()
        flush = mock.patch.object(origin_rows, "_FLUSH_SECONDS", 10.0)
        new = mock.patch.object(stream_origins, "_NEW_VERSION_SECONDS", 20.0)
        # Nodes that have ended do not count as silent before their streams' callers return.
        late = mock.patch.object(heartbeat, "_MAX_MISSED_HEARTBEATS", 30)
        with flush, new, late:
            for number in range(4):
                await self.add_engine(f"late-{number}", "v1.1")
            await self.known()
            await self.saved()
            last, *others = self.nodes
            callers = await self.open_streams(20, *others, own_parts=True)
            self.assertTrue(self.begun_by(callers, "v1.1"))
            for node in others:
                node.kill()
            yield callers, last, others

    async def replace_all_from_none(self, count: int) -> list[RunningNode]:
        started = [await self.fleet.node(f"again-{number}") for number in range(count)]
        self.nodes += started
        await self.known()
        return started

    async def test_streams_of_the_only_version_go_on_after_a_mixture_long_ago(self) -> None:
        """Failure if an end that nobody saved counts as new at each start."""
        least = mock.patch.object(stream_origins, "_MIN_RETENTION_SECONDS", 1.0)
        factor = mock.patch.object(stream_origins, "_RETENTION_TIMEOUTS", 0)
        with least, factor:
            await self.start(engines=4, versions=("v1", "v1.1"))
            await self.saved()
            await self.end_version("v1")
            await eventually(lambda: self._is_saved_as_ended("v1"))
            await asyncio.sleep(1.2)
            callers = await self.open_streams(12, own_parts=True)
            for caller in callers:
                caller._first = f"unknown-{caller.name}"
            nodes = await self.replace_all()
            await self.come_back(callers, nodes)
            self.assert_whole(callers)

    def _is_saved_as_ended(self, version: str) -> bool:
        """Return whether the row does not say any more that the version serves."""
        versions = self.fleet.store.get("software", "engines")["versions"]
        return version not in versions or versions[version][1] is not None


class TestUnreadableRows(RestartCase):
    async def test_a_stream_that_an_unreadable_row_may_hold_is_refused(self) -> None:
        """Failure: an unreadable row counted as one without origins."""
        await self.start(nodes=2, engines=2, versions=("v1", "v1.1"))
        rows = self.nodes[0].node._origin_rows
        self.assertEqual((await rows.find("aa")).is_given, True)
        self.fleet.store.put("origins", "gone/1", "not a segment")
        await asyncio.sleep(origin_rows._REUSE_SECONDS)
        self.assertEqual((await rows.find("aa")).is_given, False)


class TestOneNodeStarts(RestartCase):
    async def test_a_node_that_starts_after_the_end_of_a_version_presumes_nothing(self) -> None:
        """Failure: only the versions that serve when a node starts counted there."""
        await self.start(nodes=2, engines=2, versions=("v1", "v1.1"))
        await self.saved()
        callers = await self.open_streams(8, own_parts=True)
        old = self.begun_by(callers, "v1")
        self.assertTrue(old)
        for caller in callers:
            caller.leave()
            caller._first = f"unknown-{caller.name}"
        await self.end_version("v1")
        late = await self.add_node("late")
        await asyncio.sleep(_RETURN_SECONDS)
        await self.come_back(old, [late])
        self.assert_unmixed(old)
        self.assertEqual({caller.status for caller in old}, {503})

    async def test_a_node_that_the_store_turns_away_learns_the_versions_of_others(self) -> None:
        """Failure if a node that starts without the store refuses all streams or takes any."""
        await self.start(nodes=2, engines=4, versions=("v1", "v1.1"))
        await self.saved()
        await self.end_version("v1")
        rows = PlatformStore.rows

        async def refuse(store: PlatformStore, table: str) -> object:
            if table == version_rows.TABLE:
                raise RemoteCallError("turned away")
            return await rows(store, table)

        with mock.patch.object(PlatformStore, "rows", refuse):
            late = await self.fleet.node("late")
            self.nodes.append(late)
            versions = late.node.views.software_versions
            await eventually(lambda: versions.is_history_known)
        self.assertTrue(versions.is_mixed("engines"))


class TestAppearsMeanwhile(RestartCase):
    async def test_a_stream_taken_up_at_the_only_version_goes_on_at_no_later_one(self) -> None:
        """Failure: a caller returned where one version was known, and its run, which broke off
        before its first event, was followed by one at a version that had appeared meanwhile."""
        await self.start(nodes=2, engines=2, versions=("v1",))
        await self.saved()
        callers = await self.open_streams(12, self.nodes[0], own_parts=True)
        for caller in callers:
            caller.leave()
        self.engines[0].work_seconds = _WORK_SECONDS
        for number, caller in enumerate(callers):
            caller.send(self.nodes[1], X_Prompt_Prefix=f"p{number}:300,q{number}:50")
        for number in range(4):
            await self.add_engine(f"late-{number}", "v1.1")
        await self.known()
        await self.saved()
        self.engines[0].crash()
        await self.end_streams(callers)
        self.assert_whole(callers)


class TestBeforeItIsSaved(RestartCase):
    async def test_no_stream_begins_at_a_version_before_it_is_saved(self) -> None:
        """Failure: a version may begin streams, and no node that starts later knows of it."""
        await self.start(nodes=1, engines=1, versions=("v1",))
        await self.saved()
        rows = self.nodes[0].node._version_rows
        with mock.patch.object(rows, "_save", side_effect=RemoteCallError("no answer")):
            for number in range(3):
                await self.add_engine(f"late-{number}", "v1.1")
            await self.known()
            callers = await self.open_streams(8, own_parts=True)
            self.assertEqual(self.begun_by(callers, "v1.1"), [])
        await self.saved()
        more = [_Caller(f"more-{number}") for number in range(8)]
        for number, caller in enumerate(more):
            caller.send(self.nodes[0], X_Prompt_Prefix=f"r{number}:300,s{number}:50")
        for caller in more:
            await caller.has_events(1)
        self.assertTrue(self.begun_by(more, "v1.1"))
        await self.end_streams([*callers, *more])
        self.assertEqual({len(caller.events) for caller in callers}, {_EVENTS})


class TestRows(RestartCase):
    def test_a_version_that_this_node_has_not_recorded_yet_is_saved(self) -> None:
        """Failure: the loop that saves failed where a target came before the next observation."""
        updated = version_rows._updated(
            {},
            serving=frozenset({"v1"}),
            spans={},
            clock=StoreClock(10.0, 1.0, 1.0),
            now=3.0,
            retention_seconds=30.0,
        )
        self.assertEqual(updated, {"v1": SavedVersion(12.0, None)})

    async def test_nothing_is_written_for_streams_of_one_version(self) -> None:
        await self.start(engines=2, versions=("v1",))
        await self.saved()
        before = len(self.fleet.store.calls)
        callers = await self.open_streams(12, own_parts=True)
        await self.end_streams(callers)
        written = [c for c in self.fleet.store.calls[before:] if "rows-tx" in c]
        self.assertEqual(written, [])

    async def test_a_segment_that_is_over_is_not_written_again(self) -> None:
        """Failure: new origins were added to the row that the same call removed."""
        client = Client()
        self.addCleanup(client.close)
        now = asyncio.get_running_loop().time()
        rows = origin_rows.OriginRows(
            platform=PlatformStore(address=self.fleet.store_address, client=client),
            views=Views(),
            neighbours=mock.Mock(),
            instance="n/1",
            rng=random.Random(1),
        )
        rows.add([StreamOrigin("aa", "s", "v1", now + 0.05)])
        await rows._flush()
        await asyncio.sleep(0.06)
        rows.add([StreamOrigin("bb", "s", "v2", now + 60.0)])
        await rows._flush()
        found = (await rows.find("bb")).origin
        self.assertIsNotNone(found)

    async def test_writes_are_bounded_however_many_streams_begin(self) -> None:
        await self.start(nodes=1, engines=4, versions=("v1", "v1.1"))
        await self.saved()
        before = len(self.fleet.store.calls)
        began_at = asyncio.get_running_loop().time()
        callers = await self.open_streams(60, own_parts=True)
        await asyncio.sleep(2 * origin_rows._FLUSH_SECONDS)
        seconds = asyncio.get_running_loop().time() - began_at
        written = [c for c in self.fleet.store.calls[before:] if "rows-tx" in c]
        self.assertTrue(written)
        self.assertLessEqual(len(written), seconds / origin_rows._FLUSH_SECONDS + 2)
        await self.end_streams(callers)
