"""Only the request that crashes its targets is held back, not other requests on these targets.

A crash ends all runs of a target, but a lost answer or a link reset looks the same to the sender:
the connection closes before the answer is complete. Each test causes more such failures than the
number of crashes after which a request is held back.
"""

from __future__ import annotations

import asyncio

from click.testing import CliRunner, Result
from fielddrift_cli.main import main
from fielddrift_core.crashes import Crash
from fielddrift_standins.worker import Worker

from soak.links import Link

from .crashing_fleet import FATAL, CrashingCase, chat
from .platform_fleet import Answer, RunningNode, ask, eventually

_BYSTANDER_BODY = b"the body that stands beside"


class TestBystanders(CrashingCase):
    async def _assert_served(self, node: RunningNode, path: str, **headers: str) -> None:
        answer = await ask(node, path, request_id="last", body=_BYSTANDER_BODY, **headers)
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(node.node.views.crashes.all_held(0.0), [])

    async def test_answers_that_are_lost(self) -> None:
        workers = await self.targets("plain", 6)
        (node,) = await self.nodes(1)
        for worker in workers:
            worker.faults = ["lost", "lost"]
        for number in range(10):
            await ask(node, "/unsafe/x", request_id=f"b{number}", body=_BYSTANDER_BODY)
            await asyncio.sleep(0.1)
        for worker in workers:
            worker.faults = []
        await self._assert_served(node, "/unsafe/x")

    async def test_streams_that_break_off(self) -> None:
        workers = await self.targets("engines", 4)
        (node,) = await self.nodes(1)
        for worker in workers:
            worker.faults = ["cut-event", "cut-first"]
        for number in range(4):
            await ask(node, "/verdict/x", request_id=f"b{number}", body=_BYSTANDER_BODY, **chat())
            await asyncio.sleep(0.1)
        for worker in workers:
            worker.faults = []
        await self._assert_served(node, "/verdict/x", **chat())

    async def test_links_that_are_reset(self) -> None:
        links = []
        for number in range(4):
            worker = await self.fleet.worker(Worker(name=f"w{number}", work_seconds=0.2), "plain")
            link = await Link(target=self.fleet.addresses[worker.name]).start()
            self.addCleanup(link.close)
            self.fleet.addresses[worker.name] = link.address
            self.fleet.enter(worker.name, "plain")
            links.append(link)
        (node,) = await self.nodes(1)
        for number in range(6):
            asked = asyncio.ensure_future(
                ask(node, "/unsafe/x", request_id=f"b{number}", body=_BYSTANDER_BODY)
            )
            await asyncio.sleep(0.1)
            for link in links:
                link.reset()
            await asked
        await self._assert_served(node, "/unsafe/x")

    async def test_a_request_beside_another_that_ends_the_targets(self) -> None:
        for worker in await self.targets("plain", 3, back_seconds=0.5, entry_seconds=0.4):
            worker.work_seconds = 2.0
        (node,) = await self.nodes(1)
        beside: list[asyncio.Task[Answer]] = []
        for number in range(8):
            beside += [
                asyncio.ensure_future(
                    ask(node, "/unsafe/x", request_id=f"b{number}-{n}", body=_BYSTANDER_BODY)
                )
                for n in range(6)
            ]
            await asyncio.sleep(0.2)
            await ask(node, "/unsafe/x", request_id=f"f{number}", body=FATAL)
            await asyncio.sleep(0.3)
        self.assertEqual({answer.status for answer in await asyncio.gather(*beside)}, {200, 502})
        self.assertGreaterEqual(len(self.fleet.crashes), 3)
        held = node.node.views.crashes.all_held(0.0)
        self.assertEqual(len(held), 1)
        answer = await ask(node, "/unsafe/x", request_id="last", body=_BYSTANDER_BODY)
        self.assertEqual(answer.status, 200)
        self.assertEqual((await ask(node, "/unsafe/x", body=FATAL)).status, 503)

    async def test_targets_that_said_they_would_leave(self) -> None:
        workers = await self.targets("plain", 5)
        (node,) = await self.nodes(1)
        for number, worker in enumerate(workers[:4]):
            for other in workers:
                other.work_seconds = 0.5
            asked = asyncio.ensure_future(
                ask(node, "/unsafe/x", request_id=f"b{number}", body=_BYSTANDER_BODY)
            )
            await eventually(
                lambda: any(w.ran and w.ran[-1].body == _BYSTANDER_BODY for w in workers)
            )
            busy = next((w for w in workers if not w.closed and w.ran), worker)
            self.fleet.enter(busy.name, "plain", state="draining")
            await eventually(lambda busy=busy: busy.name in node.node.views.registry.leaving())
            busy.crash()
            await asked
        self.assertEqual(len(node.node.views.crashes), 0)

    async def test_targets_whose_entries_went_without_a_word(self) -> None:
        workers = await self.targets("plain", 5)
        for worker in workers:
            worker.work_seconds = 0.6
        (node,) = await self.nodes(1)
        for number in range(4):
            asked = asyncio.ensure_future(
                ask(node, "/unsafe/x", request_id=f"b{number}", body=_BYSTANDER_BODY)
            )
            busy = await self._running(workers, f"b{number}")
            self.fleet.store.drop("servers", busy.name)
            await eventually(lambda busy=busy: node.node.views.registry.get(busy.name) is None)
            busy.crash()
            await asked
        self.assertEqual(len(node.node.views.crashes), 0)

    async def _running(self, workers: list[Worker], request_id: str) -> Worker:
        def runs(worker: Worker) -> bool:
            return any(ran.request_id == request_id for ran in worker.ran)

        await eventually(lambda: any(map(runs, workers)))
        return next(filter(runs, workers))


class TestForgotten(CrashingCase):
    """A node that was disconnected for long receives what it missed, and does not bring back what
    the others cleared."""

    async def test_a_lift_reaches_a_node_that_was_cut_off_for_long(self) -> None:
        await self.targets("plain", 1)
        nodes = await self.nodes(2)
        now = asyncio.get_running_loop().time()
        for node in nodes:
            for number in range(3):
                crash = Crash("f" * 16, f"t{number}", now - 100.0, 0.1)
                node.node.views.crashes.record_crash(crash)
        # The other node does not receive this, as if the datagrams were lost at that time.
        nodes[0].node.views.crashes.clear("f" * 16, now - 60.0)
        await eventually(lambda: not nodes[1].node.views.crashes.all_held(0.0), 15.0)
        self.assertEqual(nodes[0].node.views.crashes.all_held(0.0), [])


class TestCommandLine(CrashingCase):
    async def _run(self, *arguments: str) -> Result:
        return await asyncio.to_thread(CliRunner().invoke, main, list(arguments))

    async def test_it_shows_what_is_held_back_and_lifts_it_everywhere(self) -> None:
        await self.targets("plain", 6)
        nodes = await self.nodes(2)
        await self.insist(nodes, "/safe/x", seconds=1.5)
        (held,) = nodes[0].node.views.crashes.all_held(0.0)
        options = [o for node in nodes for o in ("--node", node.settings.metrics)]
        shown = await self._run("--held", *options)
        self.assertEqual(shown.exit_code, 0, shown.output)
        for text in (held.fingerprint, *held.targets, "node-0", "node-1"):
            self.assertIn(text, shown.output)
        lifted = await self._run("--lift", held.fingerprint, "--node", nodes[0].settings.metrics)
        self.assertEqual(lifted.exit_code, 0, lifted.output)
        for node in nodes:
            await eventually(lambda node=node: not node.node.views.crashes.all_held(0.0))
        unknown = await self._run("--lift", "nothing", "--node", nodes[0].settings.metrics)
        self.assertNotEqual(unknown.exit_code, 0)
