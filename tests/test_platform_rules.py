"""Each rule of the users' platform holds in the presence of the failure that would break it."""

from __future__ import annotations

import asyncio
import json
from unittest import mock

from fielddrift_core.names import rank
from fielddrift_core.readers import READER_KEY
from fielddrift_core.workload import Burden
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .platform_fleet import (
    FleetCase,
    RunningNode,
    ask,
    eventually,
    get,
    prompt,
    request,
    send_raw,
)


class TestPlainRequests(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.one = await self.fleet.worker(Worker(name="w1"), "plain")
        self.node = await self.fleet.node()

    async def test_a_response_is_returned_unchanged_with_its_seal(self) -> None:
        answer = await ask(self.node, "/safe/x?y=1", request_id="r7")
        self.assertEqual((answer.status, answer.body), (200, b"answer of w1"))
        self.assertEqual(answer.headers["x-response-seal"], "w1.r7")
        ran = self.one.ran[0]
        self.assertEqual((ran.target, ran.body, ran.request_id), ("/safe/x?y=1", b"ask", "r7"))

    async def test_the_target_receives_the_customer_and_never_the_key(self) -> None:
        forged = {"X_Tenant": "eve", "X_Hold": "h", "X_Kv_Backup": "1.2.3.4:5", "Kv_From": "x"}
        await ask(self.node, "/safe/x", **forged)
        headers = self.one.ran[0].headers
        self.assertEqual(headers["x-tenant"], "ana")
        self.assertFalse({"x-credential", "x-hold", "x-kv-backup", "kv-from"} & set(headers))

    async def test_the_remaining_time_is_sent_to_the_target(self) -> None:
        await ask(self.node, "/safe/x", deadline_ms=700)
        self.assertLessEqual(int(self.one.ran[0].headers["x-deadline-ms"]), 700)

    async def test_an_unknown_key_and_an_unknown_path_are_refused_without_a_send(self) -> None:
        self.assertEqual((await ask(self.node, "/safe/x", key="forged")).status, 401)
        self.assertEqual((await ask(self.node, "/nowhere/x")).status, 404)
        self.assertEqual(self.one.ran, [])

    async def test_an_anonymous_route_needs_no_key(self) -> None:
        self.assertEqual((await ask(self.node, "/open/x", key="")).status, 200)

    async def test_unsafe_work_with_a_lost_response_is_not_retried_nor_called_not_run(self) -> None:
        other = await self.fleet.worker(Worker(name="w2"), "plain")
        self.one.faults, other.faults = ["lost"], ["lost"]
        answer = await ask(self.node, "/unsafe/x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.one.ran) + len(other.ran), 1)

    async def test_a_deadline_while_unsafe_work_runs_promises_nothing(self) -> None:
        self.one.faults = ["hang"]
        answer = await ask(self.node, "/unsafe/x", deadline_ms=300)
        self.assertEqual(answer.status, 504)

    async def test_unsafe_work_that_its_target_refuses_is_refused_with_a_retry_time(self) -> None:
        self.one.faults = ["shed", "shed"]
        answer = await ask(self.node, "/unsafe/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(self.one.ran, [])

    async def test_safe_work_is_retried_on_another_target_after_a_failure(self) -> None:
        other = await self.fleet.worker(Worker(name="w2"), "plain")
        await eventually(lambda: len(self.node.node.views.registry) == 2)
        for fault in ("error", "lost", "garbage"):
            self.one.faults, other.faults = [fault], []
            first = await ask(self.node, "/safe/x")
            self.one.faults, other.faults = [], [fault]
            second = await ask(self.node, "/safe/x")
            self.assertEqual((first.status, second.status), (200, 200), fault)

    async def test_a_response_to_another_request_is_not_forwarded(self) -> None:
        self.one.faults = ["surplus"]
        answer = await ask(self.node, "/unsafe/x")
        self.assertEqual(answer.body, b"the right answer")

    async def test_bytes_after_a_response_belong_to_no_request(self) -> None:
        self.one.faults = ["extra"]
        self.assertEqual((await ask(self.node, "/safe/x")).body, b"whole")
        for _ in range(3):
            self.assertEqual((await ask(self.node, "/safe/x")).body, b"answer of w1")

    async def test_work_is_cancelled_when_its_caller_disconnects(self) -> None:
        self.one.faults = ["hang"]
        host, _, port = self.node.settings.entry.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request("/safe/x", request_id="gone"))
        await eventually(lambda: bool(self.one.ran))
        writer.close()
        await eventually(lambda: self.one.left == ["gone"])

    async def test_another_target_at_the_address_does_not_run_the_request(self) -> None:
        self.one.name = "w9"
        answer = await ask(self.node, "/unsafe/x")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.one.ran, [])


class TestFraming(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.one = await self.fleet.worker(Worker(name="w1"), "plain")
        self.node = await self.fleet.node()

    async def _status(self, data: bytes) -> bytes:
        return (await send_raw(self.node.settings.entry, data)).partition(b"\r\n")[0]

    async def test_invalid_or_conflicting_framing_headers_are_refused(self) -> None:
        head = b"POST /safe/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: a\r\n"
        smuggled = b"0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\nHost: fleet.example\r\n\r\n"
        for fields in (
            b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled,
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + smuggled,
            b"Transfer-Encoding: xchunked\r\n\r\n" + smuggled,
            b"Content-Length: -1\r\n\r\n",
            b"Content-Length: 3x\r\n\r\nabc",
        ):
            self.assertIn(b"400", await self._status(head + fields), fields)
        self.assertEqual(self.one.ran, [])

    async def test_a_header_or_a_body_over_the_limit_is_refused(self) -> None:
        head = b"POST /safe/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: a\r\n"
        long_header = b"X-Long: " + b"x" * 8000 + b"\r\n\r\n"
        self.assertIn(b"431", await self._status(head + long_header))
        self.assertIn(b"413", await self._status(head + b"Content-Length: 99999999\r\n\r\n"))
        self.assertEqual(self.one.ran, [])

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        data = b"".join(
            request("/safe/x", request_id=f"r{n}", **({} if n == 2 else {"Connection": ""}))
            for n in range(3)
        )
        answers = await send_raw(self.node.settings.entry, data)
        seals = [answers.find(f"w1.r{n}".encode()) for n in range(3)]
        self.assertEqual(sorted(seals), seals)
        self.assertGreater(seals[0], 0)

    async def test_a_duplicate_request_id_header_is_refused(self) -> None:
        data = request("/safe/x").replace(b"\r\n\r\n", b"\r\nX-Request-Id: r2\r\n\r\n", 1)
        self.assertIn(b"400", await self._status(data))
        self.assertEqual(self.one.ran, [])


class TestStreams(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.one = await self.fleet.worker(Worker(name="e1", events=5), "engines")
        self.two = await self.fleet.worker(Worker(name="e2", events=5), "engines")
        self.node = await self.fleet.node()
        await eventually(lambda: len(self.node.node.views.registry) == 2)

    def _events(self, body: bytes) -> list[int]:
        return [int(e.split(b"\n")[0][4:]) for e in body.split(b"\n\n") if e]

    async def test_events_are_forwarded_completely(self) -> None:
        answer = await ask(self.node, "/chat/x", **prompt())
        self.assertEqual(self._events(answer.body), [1, 2, 3, 4, 5])
        self.assertEqual(answer.headers["whole"], "yes")

    async def test_a_prompt_that_cannot_be_in_time_is_refused_at_once_and_not_run(self) -> None:
        full_load = {name: Burden(20, 200_000, 100_000) for name in ("e1", "e2")}
        now = asyncio.get_running_loop().time()
        self.node.node.views.workload.update_node("another-node", full_load, now)
        answer = await ask(self.node, "/chat/x", **prompt())
        self.assertEqual(answer.status, 503)
        self.assertLessEqual(float(answer.headers["retry-after"]), 1.0)
        self.assertEqual(self.one.ran + self.two.ran, [])
        self.node.node.views.workload.update_node("another-node", {}, now)
        self.assertEqual((await ask(self.node, "/chat/x", **prompt())).status, 200)

    async def test_a_cut_run_is_resumed_elsewhere_after_its_last_complete_event(self) -> None:
        self.one.faults, self.two.faults = ["cut-event"], []
        for number in range(4):
            self.two.faults = ["cut-event"] if number % 2 else []
            self.one.faults = [] if number % 2 else ["cut-event"]
            answer = await ask(self.node, "/chat/x", request_id=f"r{number}", **prompt())
            self.assertEqual(self._events(answer.body), [1, 2, 3, 4, 5])
            self.assertEqual(answer.headers["whole"], "yes")

    async def test_a_stream_cut_behind_its_last_event_ends_as_whole(self) -> None:
        for number in range(6):
            first, second = (self.one, self.two) if number % 2 else (self.two, self.one)
            first.faults, second.faults = ["cut-end"], []
            answer = await ask(self.node, "/chat/x", request_id=f"r{number}", **prompt())
            self.assertEqual(self._events(answer.body), [1, 2, 3, 4, 5])
            self.assertEqual(answer.headers.get("whole"), "yes")
        self.assertGreater(len(self.one.ran + self.two.ran), 6)

    async def test_a_caller_that_lacks_only_the_end_gets_it(self) -> None:
        """Engines ended such a response correctly, but this was counted as a failure of theirs."""
        answer = await ask(self.node, "/chat/x", Last_Event_Id="5", **prompt())
        self.assertEqual((answer.status, answer.body), (200, b""))
        self.assertEqual(answer.headers.get("whole"), "yes")
        self.assertEqual(len(self.one.ran + self.two.ran), 1)

    async def test_an_engine_that_repeats_what_a_caller_has_is_not_passed_on(self) -> None:
        self.one.faults = self.two.faults = ["repeat"]
        answer = await ask(self.node, "/chat/x", Last_Event_Id="3", **prompt())
        self.assertEqual(self._events(answer.body), [4, 5])
        self.assertEqual(answer.headers.get("whole"), "yes")
        self.assertEqual((self.one.faults, len(self.one.ran + self.two.ran)), ([], 1))

    async def test_a_failure_instead_of_the_rest_never_gets_into_the_stream(self) -> None:
        for number in range(4):
            first, second = (self.one, self.two) if number % 2 else (self.two, self.one)
            first.faults, second.faults = ["cut-event", "error"], ["error"]
            data = request("/chat/x", request_id=f"r{number}", **prompt())
            raw = await send_raw(self.node.settings.entry, data)
            if b"id: 1" in raw:
                self.assertNotIn(b"failed", raw)
                self.assertNotIn(b"0\r\n\r\n", raw)

    async def test_a_cut_run_that_may_not_be_resumed_is_cut_for_the_caller_too(self) -> None:
        self.one.faults, self.two.faults = ["cut-event"], ["cut-event"]
        raw = await send_raw(self.node.settings.entry, request("/verdict/x", **prompt()))
        self.assertNotIn(b"0\r\n\r\n", raw)
        self.assertEqual(len(self.one.ran) + len(self.two.ran), 1)

    async def test_a_send_and_its_cache_salt_name_the_weights(self) -> None:
        await ask(self.node, "/chat/x", **prompt())
        ran = (self.one.ran + self.two.ran)[0]
        self.assertEqual(ran.headers["x-expect-version"], "1")
        self.assertEqual(ran.headers["x-cache-salt"], "m.1.")

    async def test_shared_parts_are_saved_once_and_fetched_when_complete(self) -> None:
        store_index = self.node.node.views.store_index
        await eventually(self.node.may_save)
        await ask(self.node, "/chat/x", **prompt())
        await ask(self.node, "/chat/x", request_id="r2", **prompt())
        saves = [r.headers.get("x-kv-save", "") for r in self.one.ran + self.two.ran]
        self.assertEqual(sorted(saves), ["", f"{self.fleet.kv_address},{self.fleet.kv_address},-"])
        self.fleet.kv.keep("m.1.", "aa", 100)
        self.fleet.kv.keep("m.1.", "bb", 200)
        await eventually(lambda: len(store_index.views[0].held) == 2)
        await ask(self.node, "/chat/x", request_id="r3", **prompt())
        last = [r for r in self.one.ran + self.two.ran if r.request_id == "r3"][0]
        address = self.fleet.kv_address
        self.assertEqual(last.headers["x-kv-fetch"], f"{address},{address},-")
        self.assertIn("x-kv-until", last.headers)

    async def test_a_restarted_store_is_listed_again_before_any_fetch(self) -> None:
        store_index = self.node.node.views.store_index
        self.fleet.kv.keep("m.1.", "aa", 100)
        await eventually(lambda: bool(store_index.views) and len(store_index.views[0].held) == 1)
        self.fleet.kv.restart()
        await eventually(lambda: store_index.views[0].life == 2)
        await ask(self.node, "/chat/x", **prompt())
        self.assertNotIn("x-kv-fetch", (self.one.ran + self.two.ran)[0].headers)

    async def test_an_engine_whose_address_another_has_is_left_at_once(self) -> None:
        self.one.name, self.two.name = "e8", "e9"
        first = await ask(self.node, "/verdict/x", request_id="r1", **prompt())
        second = await ask(self.node, "/verdict/x", request_id="r2", **prompt())
        self.assertEqual((first.status, second.status), (503, 503))
        registry = self.node.node.views.registry
        self.assertEqual(registry.serving("engines"), [])
        self.assertEqual({n for n in ("e1", "e2") if registry.is_replaced(n)}, {"e1", "e2"})
        self.assertEqual(self.one.ran + self.two.ran, [])


class TestWeights(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("e1", "e2", "e3", "e4"):
            await self.fleet.worker(Worker(name=name, events=3), "engines")
        self.node = await self.fleet.node()

    def _versions(self) -> list[int]:
        return [worker.version for worker in self.fleet.workers.values()]

    async def test_named_weights_reach_all_engines_with_one_lease_holder(self) -> None:
        await self.fleet.node("node-2")
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self._versions() == [2, 2, 2, 2])
        orders = [o for w in self.fleet.workers.values() for o in w.orders]
        self.assertEqual({o["holder"] for o in orders}, {orders[0]["holder"]})

    async def test_an_order_without_a_response_is_repeated(self) -> None:
        self.fleet.workers["e2"].unanswered_orders = 1
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self._versions() == [2, 2, 2, 2])

    async def test_parts_of_older_weights_are_freed(self) -> None:
        self.fleet.kv.keep("m.1.", "aa", 100)
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self.fleet.kv.freed == [["m.1.", "aa"]], 20.0)

    async def test_a_call_to_free_parts_that_is_carried_out_late_frees_nothing(self) -> None:
        """Failure: it freed parts that engines had begun to use again meanwhile."""
        self.fleet.kv.late_frees = [2.0]
        self.fleet.kv.keep("m.1.", "aa", 100)
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: not self.fleet.kv.late_frees, 20.0)
        await eventually(lambda: self.fleet.kv.refused_frees == 1, 5.0)

    async def test_parts_that_no_engine_can_use_are_freed_while_others_still_load(self) -> None:
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 2})
        await eventually(lambda: self._versions() == [2, 2, 2, 2])
        self.fleet.kv.keep("m.1.", "aa", 100)
        self.fleet.kv.keep("m.2.", "bb", 100)
        self.fleet.workers["e4"].unanswered_orders = 1 * 100
        self.fleet.store.put("op", "version/m", {"model": "m", "version": 3})
        await eventually(lambda: self._versions() == [3, 3, 3, 2])
        await eventually(lambda: self.fleet.kv.freed == [["m.1.", "aa"]], 20.0)
        self.assertEqual(self.fleet.workers["e4"].version, 2)


class TestConfiguration(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.one = await self.fleet.worker(Worker(name="w1"), "plain")
        self.node = await self.fleet.node()

    async def test_a_revoked_key_is_refused(self) -> None:
        self.fleet.keys = ["another"]
        self.fleet.configure()
        version = self.fleet.version
        await eventually(lambda: self.node.node.views.catalog.version == version)
        self.assertEqual((await ask(self.node, "/safe/x")).status, 401)

    async def test_an_older_configuration_is_never_applied(self) -> None:
        self.fleet.configure()
        newest = self.fleet.version
        await eventually(lambda: self.node.node.views.catalog.version == newest)
        self.fleet.version = 0
        self.fleet.configure()
        await asyncio.sleep(0.2)
        self.assertEqual(self.node.node.views.catalog.version, newest)

    async def test_serving_continues_in_a_store_outage_that_loses_the_history(self) -> None:
        self.fleet.store.down = True
        for number in range(5):
            self.assertEqual((await ask(self.node, "/safe/x", request_id=f"{number}")).status, 200)
        self.fleet.configure()
        self.fleet.store.forget()
        self.fleet.store.down = False
        version = self.fleet.version
        await eventually(lambda: self.node.node.views.catalog.version == version)

    async def test_a_draining_target_gets_no_new_work(self) -> None:
        two = await self.fleet.worker(Worker(name="w2"), "plain")
        self.fleet.enter("w1", "plain", "draining")
        await eventually(lambda: "w1" in self.node.node.views.registry.leaving())
        await eventually(lambda: len(self.node.node.views.registry) == 2)
        before = len(self.one.ran)
        for number in range(6):
            await ask(self.node, "/safe/x", request_id=f"{number}")
        self.assertEqual((len(self.one.ran), len(two.ran)), (before, 6))

    async def test_entries_that_lapse_in_an_outage_are_not_removed_at_once(self) -> None:
        self.fleet.store.down = True
        await asyncio.sleep(1.3)
        self.fleet.store.drop("servers", "w1")
        self.fleet.store.down = False
        await eventually(lambda: self.fleet.store.calls[-1] == "/rows-feed")
        await asyncio.sleep(0.5)
        self.assertEqual((await ask(self.node, "/safe/x")).status, 200)


class TestCutOff(FleetCase):
    """One node alone is partitioned from the store and copies the views of its neighbours."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.fleet.worker(Worker(name="w1"), "plain")
        address = f"{HOST}:{free_port()}"
        self.door = await self.fleet.store.door(HOST, int(address.rpartition(":")[2]))
        # The partitioned node is the one that reads the store for the others.
        reader, *others = rank(READER_KEY, [(f"node-{n}", 1.0) for n in (1, 2, 3)])
        self.cut = await self.fleet.node(reader, store=address)
        self.others = [await self.fleet.node(name) for name in others]
        await eventually(lambda: self.cut.node.views.nodes == 3)

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        self.door.close()

    async def _check_stays_current(self) -> None:
        # Long enough for what the node itself has read to become stale.
        await asyncio.sleep(1.5)
        self.fleet.configure()
        version = self.fleet.version
        async with asyncio.timeout(2.0):
            await eventually(lambda: self.cut.node.views.catalog.version == version)
        await self.fleet.worker(Worker(name="w2"), "plain")
        async with asyncio.timeout(3.0):
            await eventually(lambda: self.cut.node.views.registry.get("w2") is not None)

    async def test_a_node_that_the_store_refuses_copies_the_views_of_others(self) -> None:
        self.door.turned_away = True
        await self._check_stays_current()

    async def test_a_node_whose_store_calls_hang_copies_the_views_of_others(self) -> None:
        self.door.held = True
        await self._check_stays_current()

    async def test_after_relying_on_others_a_target_that_went_gets_no_respite(self) -> None:
        registry = self.cut.node.views.registry
        loop = asyncio.get_running_loop()
        self.door.turned_away = True
        await self._check_stays_current()
        # The first failed read counts as an outage until other nodes have read for long enough.
        await eventually(lambda: not registry.in_grace_period(loop.time()))
        self.door.turned_away = False
        # A copy from another node may have failed meanwhile, and the read of the store in its
        # place too.  The next successful read, by this node or another, ends that outage and
        # starts a grace period.
        feed = self.cut.node._targets
        await eventually(
            lambda: feed._outage_at is None and not registry.in_grace_period(loop.time())
        )
        for node in self.others:
            await node.stop()
        # The node's first own read finds that the entry is gone, which is not an outage.
        held: list[bool] = []
        entry_ended = registry.entry_ended

        def note_end(target: str, now: float) -> None:
            entry_ended(target, now)
            held.append("w2" in registry.lapsed(now))

        with mock.patch.object(registry, "entry_ended", note_end):
            self.fleet.store.drop("servers", "w2")
            await eventually(lambda: registry.get("w2") is None)
        # The read that found the entry gone removed it, however long that read took.
        self.assertEqual(held, [False])

    async def test_the_beliefs_page_shows_the_reader_and_the_age_of_views(self) -> None:
        page = json.loads((await get(self.cut.settings.metrics, "/beliefs")).body)
        self.assertEqual((page["node"], page["reader"]), (self.cut.settings.name, ""))
        self.assertEqual(page["catalog"], self.fleet.version)
        self.assertGreaterEqual(page["operators_seconds"], 0.0)
        self.assertEqual([target["name"] for target in page["targets"]], ["w1"])
        names = sorted(node.settings.name for node in self.others)
        self.assertEqual([node["name"] for node in page["nodes"]], names)
        other = json.loads((await get(self.others[0].settings.metrics, "/beliefs")).body)
        self.assertEqual(other["reader"], self.cut.settings.name)
        text = (await get(self.cut.settings.metrics, "/metrics")).body.decode()
        self.assertIn("fielddrift_operators_age_seconds", text)

    async def test_it_reads_the_store_again_when_the_others_have_stopped(self) -> None:
        self.door.turned_away = True
        await self._check_stays_current()
        self.door.turned_away = False
        for node in self.others:
            await node.stop()
        self.fleet.configure()
        version = self.fleet.version
        await eventually(lambda: self.cut.node.views.catalog.version == version)


class TestEntry(FleetCase):
    async def test_a_node_without_a_configuration_refuses_and_is_not_ready(self) -> None:
        self.fleet.store.drop("op", "config")
        await self.fleet.worker(Worker(name="w1"), "plain")
        lone = RunningNode(name="lone", fleet=self.fleet)
        self.fleet.nodes.append(lone)
        lone.task = asyncio.ensure_future(lone.node.run(lone.stopping))
        await asyncio.sleep(0.3)
        self.assertFalse(await lone.ready())
        answer = await ask(lone, "/safe/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)

    async def test_nodes_find_each_other_and_a_stopping_one_is_no_longer_listed(self) -> None:
        await self.fleet.worker(Worker(name="w1", work_seconds=0.2), "plain")
        one, two = await self.fleet.node("node-1"), await self.fleet.node("node-2")

        async def entries() -> list[str]:
            answer = await get(one.settings.directory, "/resolve?name=x&region=r&zone=a")
            return sorted(json.loads(answer.body)["addresses"])

        both = sorted([one.settings.entry, two.settings.entry])

        async def has_both() -> bool:
            return await entries() == both

        await eventually(has_both)
        in_flight = asyncio.ensure_future(ask(two, "/unsafe/x"))
        await asyncio.sleep(0.05)
        two.stopping.set()

        async def has_one() -> bool:
            return await entries() == [one.settings.entry]

        await eventually(has_one)
        self.assertEqual((await in_flight).status, 200)
        # A caller that still uses an older entry response is served.
        late = await ask(two, "/safe/x", request_id="late")
        self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
