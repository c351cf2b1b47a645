"""A store that comes back from an older copy is followed from there on.

What was written since the copy is gone, and its versions are given out again.  A node that
had read further asked for what came after a version of before: it got nothing until the
versions had passed that one, and then only what came later.  Ten seconds after the return
it still refused a new route, still named a target that was gone and did not know a new one.
The header `Store-Era` of each answer, which rises with each return, was not read.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fielddrift_core.crashes import Crash
from fielddrift_core.eras import combine
from fielddrift_core.target_registry import LAPSE_GRACE_SECONDS
from fielddrift_node.serving.ports import HistoryTruncated, RemoteCallError, RowWrite
from fielddrift_node.web.messages import Headers, Reply, ResponseHead
from fielddrift_platform.store import PlatformStore
from fielddrift_standins.deployment import route
from fielddrift_standins.rowstore import StoreCopy
from fielddrift_standins.worker import Worker

from .platform_fleet import HOST, FleetCase, RunningNode, ask, eventually, free_port

_SECONDS = 4.0
"""What operators and targets write after the return must be in force within twice 2 s."""


class StoreGoesBackCase(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(2):
            await self.fleet.worker(Worker(name=f"w{number}"), "plain")

    def _return(self, copy: StoreCopy, *, later: int) -> None:
        """Come back from `copy`; operators and targets write again, `later` rows before that."""
        store = self.fleet.store
        store.go_back(copy)
        for number in range(later):
            store.put("status", f"row-{number}", {})

    async def _known(self, node: RunningNode, names: set[str]) -> None:
        await eventually(
            lambda: {target.name for target in node.node.views.registry.all()} == names, _SECONDS
        )

    async def _served(self, node: RunningNode, path: str) -> None:
        async def answered() -> bool:
            return (await ask(node, path)).status == 200

        await eventually(answered, _SECONDS)

    async def _go_back(self, node: RunningNode, *, later: int) -> None:
        """Let the store lose a write each of the operator and a target, and go on after that."""
        copy = self.fleet.store.copy()
        for _ in range(5):
            self.fleet.configure()
        await self.fleet.worker(Worker(name="lost"), "plain")
        await self._known(node, {"w0", "w1", "lost"})
        self.fleet.store.down = True
        self._return(copy, later=later)
        self.fleet.workers["lost"].close()
        self.fleet.store.down = False
        self.fleet.routes.append(route("new", "plain", "safe"))
        self.fleet.configure()
        await self.fleet.worker(Worker(name="new"), "plain")


class TestReturn(StoreGoesBackCase):
    async def test_where_versions_are_behind_those_that_were_read(self) -> None:
        node = await self.fleet.node()
        await self._go_back(node, later=0)
        await self._served(node, "/new/x")
        await self._known(node, {"w0", "w1", "new"})

    async def test_where_versions_were_given_out_again(self) -> None:
        node = await self.fleet.node()
        await self._go_back(node, later=30)
        await self._served(node, "/new/x")
        await self._known(node, {"w0", "w1", "new"})

    async def test_at_nodes_that_rely_on_another_and_at_one_that_is_cut_off(self) -> None:
        host, _, port = (door := f"{HOST}:{free_port()}").rpartition(":")
        endpoint = await self.fleet.store.door(host, int(port))
        self.addCleanup(endpoint.close)
        nodes = [await self.fleet.node(f"node-{number}") for number in range(2)]
        nodes.append(await self.fleet.node("node-cut", store=door))
        await eventually(lambda: all(n.node.views.nodes == 3 for n in nodes))
        endpoint.turned_away = True
        await self._go_back(nodes[0], later=30)
        for node in nodes:
            await self._served(node, "/new/x")
            await self._known(node, {"w0", "w1", "new"})

    async def test_what_nodes_keep_there_is_written_again(self) -> None:
        store = self.fleet.store
        node = await self.fleet.node("node-0")
        copy = store.copy()
        store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: store.get("namings", "m") is not None)
        late = await self.fleet.node("node-late")
        await eventually(lambda: node.node.views.nodes == 2)
        crashes = [Crash("f" * 16, f"t{number}", 0.0, 0.1) for number in range(3)]
        now = asyncio.get_running_loop().time()
        for crash in crashes:
            node.node.views.crashes.record_crash(crash._replace(at=now))
        await eventually(lambda: store.get("crashes", "f" * 16) is not None)
        store.go_back(copy)
        self.assertIsNone(store.get("members", "node-late"))
        for table, key in (("members", "node-late"), ("namings", "m"), ("crashes", "f" * 16)):
            await eventually(lambda t=table, k=key: store.get(t, k) is not None, _SECONDS)
        # Operators have not named it again yet.
        self.assertEqual(late.node.views.named["m"], 2)

    async def test_the_calls_of_a_return_are_few(self) -> None:
        nodes = [await self.fleet.node(f"node-{number}") for number in range(4)]
        await eventually(lambda: all(n.node.views.nodes == 4 for n in nodes))
        store = self.fleet.store
        copy = store.copy()
        self.fleet.configure()
        await eventually(
            lambda: all(n.node.views.catalog.version == self.fleet.version for n in nodes)
        )
        await asyncio.sleep(1.0)
        before = len(store.calls)
        await asyncio.sleep(2.0)
        usual = len(store.calls) - before
        store.go_back(copy)
        before = len(store.calls)
        await asyncio.sleep(2.0)
        # The whole of both tables, the list of nodes and the namings, once for all nodes; each
        # node that asked for itself before may ask once more.
        self.assertLessEqual(len(store.calls) - before, usual + 4 * 2)


class TestTargets(StoreGoesBackCase):
    async def test_one_that_the_copy_lacks_is_held_until_it_is_written_again(self) -> None:
        node = await self.fleet.node()
        copy = self.fleet.store.copy()
        await self.fleet.worker(Worker(name="younger"), "plain")
        await self._known(node, {"w0", "w1", "younger"})
        self.fleet.store.go_back(copy)
        until = asyncio.get_running_loop().time() + 1.5
        while asyncio.get_running_loop().time() < until:
            self.assertIn("younger", {t.name for t in node.node.views.registry.serving("plain")})
            await asyncio.sleep(0.05)
        self.fleet.enter("younger", "plain")
        await asyncio.sleep(LAPSE_GRACE_SECONDS)
        await self._known(node, {"w0", "w1", "younger"})

    async def test_one_that_is_not_written_again_is_gone(self) -> None:
        node = await self.fleet.node()
        copy = self.fleet.store.copy()
        await self.fleet.worker(Worker(name="younger"), "plain")
        await self._known(node, {"w0", "w1", "younger"})
        self.fleet.store.go_back(copy)
        await self._known(node, {"w0", "w1"})

    async def test_one_that_had_ended_gets_no_work_for_standing_in_the_copy(self) -> None:
        node = await self.fleet.node()
        copy = self.fleet.store.copy()
        self.fleet.store.drop("servers", "w0")
        await self._known(node, {"w1"})
        self.fleet.store.go_back(copy)
        until = asyncio.get_running_loop().time() + 2.0
        while asyncio.get_running_loop().time() < until:
            self.assertNotIn("w0", {t.name for t in node.node.views.registry.all()})
            await asyncio.sleep(0.05)
        # Nobody has ended it since: it lives.
        await eventually(lambda: node.node.views.registry.get("w0") is not None)

    async def test_one_that_was_leaving_stays_so(self) -> None:
        node = await self.fleet.node()
        copy = self.fleet.store.copy()
        self.fleet.enter("w0", "plain", state="draining")
        await eventually(lambda: "w0" in node.node.views.registry.leaving())
        self.fleet.store.go_back(copy)
        self.fleet.configure()
        await asyncio.sleep(2.0)
        self.assertIn("w0", node.node.views.registry.leaving())


class TestAdapter(unittest.IsolatedAsyncioTestCase):
    """What the store's answers tell of its era."""

    def setUp(self) -> None:
        self.client = mock.Mock()
        self.store = PlatformStore(address="s:1", client=self.client)

    def _answer(self, era: int, ver: int = 9, status: int = 200) -> None:
        headers = Headers([(b"Store-Era", str(era).encode())])
        body = b'{"rows": [], "ver": %d, "now-ms": 5.0}' % ver
        reply = Reply(ResponseHead(status, headers, len(body), True), body)
        self.client.call = mock.AsyncMock(return_value=reply)

    async def test_a_mark_of_a_newer_era_is_greater(self) -> None:
        marks = []
        for era, ver in ((0, 9), (1, 4), (2, 3)):
            self._answer(era, ver)
            marks.append((await self.store.target_changes(None)).version)
        self.assertEqual(marks, sorted(marks))

    async def test_a_late_answer_of_an_older_era_is_not_believed(self) -> None:
        self._answer(3)
        await self.store.target_changes(None)
        self._answer(2, 99)
        with self.assertRaisesRegex(RemoteCallError, "era 2"):
            await self.store.target_changes(None)

    async def test_changes_of_another_era_are_not_asked_for(self) -> None:
        self._answer(1)
        after = (await self.store.target_changes(None)).version
        self._answer(2, 99)
        for _ in range(2):
            with self.assertRaises(HistoryTruncated) as caught:
                await self.store.target_changes(after)
            self.assertTrue(caught.exception.store_restored)
        self.client.call.assert_awaited_once()

    async def test_a_condition_of_an_older_era_does_not_hold(self) -> None:
        self._answer(1)
        row = combine(1, 4)
        await self.store.target_changes(None)
        self._answer(2)
        await self.store.target_changes(None)
        self.client.call.reset_mock()
        outcome = await self.store.write("t", [RowWrite("k", b"v", row)])
        self.assertFalse(outcome.done)
        self.client.call.assert_not_awaited()

    async def test_a_conditional_write_that_met_a_new_era_is_not_sure(self) -> None:
        self._answer(1)
        await self.store.target_changes(None)
        self._answer(2)
        with self.assertRaises(RemoteCallError) as caught:
            await self.store.write("t", [RowWrite("k", b"v", combine(1, 4))])
        self.assertFalse(caught.exception.not_executed)
