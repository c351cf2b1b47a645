"""A host that callers, the store and other hosts reach, but that reaches no target, serves."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple

from fielddrift_core.placement import FAILING_RATE
from fielddrift_standins.worker import Worker

from .cut_network import Cut, CutNetwork
from .platform_fleet import Answer, FleetCase, RunningNode, ask, eventually, prompt

_CONTACT_SECONDS = 3.0
"""Time after the beginning of a cut from which first tries count."""
_MEASURED_SECONDS = 2.0
_PAUSE_SECONDS = 0.1
_SETTLE_SECONDS = 1.0
_HEAL_SECONDS = 2.0
_WEIGHTS_SECONDS = 10.0
"""Time within which new weights must be everywhere, as in the nodes' bounds."""
_TARGETS = 4
_MIN_RATIO = 2 / 3
"""How often first tries at hosts without targets must be served, relative to the others."""


class _Try(NamedTuple):
    node: str
    request_id: str
    at: float
    status: int


class TestHostsWithoutTargets(FleetCase):
    """Three hosts of a data centre and one of another; callers send to each at a steady rate."""

    async def start(self, service: str, paths: tuple[str, ...]) -> None:
        # Debug mode records a traceback for each callback, which takes most of the processor time.
        asyncio.get_running_loop().set_debug(False)
        self.paths = paths
        self.workers = []
        for number in range(_TARGETS):
            worker = Worker(name=f"w{number}", events=4 if service == "engines" else 0)
            worker.work_seconds = 0.02
            self.workers.append(await self.fleet.worker(worker, service))
        self.networks: dict[str, CutNetwork] = {}
        self.nodes: list[RunningNode] = []
        for name, data_centre in (("n0", "a"), ("n1", "a"), ("n2", "a"), ("n3", "b")):
            network = CutNetwork(is_target=self.is_target)
            self.addCleanup(network.close)
            self.networks[name] = network
            node = await self.fleet.node(name, data_centre=data_centre, network=network)
            self.nodes.append(node)
        await asyncio.sleep(_SETTLE_SECONDS)
        self.tries: list[_Try] = []
        self.number = 0
        self.calls = [asyncio.ensure_future(self.call(node)) for node in self.nodes]

    async def asyncTearDown(self) -> None:
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        await super().asyncTearDown()

    def is_target(self, address: str) -> bool:
        return address in self.fleet.addresses.values() or address == self.fleet.kv_address

    async def call(self, node: RunningNode) -> None:
        """Send requests to a node at a steady rate."""
        pending: set[asyncio.Task[None]] = set()
        try:
            while True:
                self.number += 1
                path = self.paths[self.number % len(self.paths)]
                task = asyncio.ensure_future(self.ask(node, path, f"r{self.number}"))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(_PAUSE_SECONDS)
        finally:
            for task in pending:
                task.cancel()

    async def ask(self, node: RunningNode, path: str, request_id: str) -> None:
        at = asyncio.get_running_loop().time()
        extra = prompt() if path.startswith(("/chat", "/verdict")) else {}
        answer = await ask(node, path, request_id=request_id, **extra)
        self.tries.append(_Try(node.settings.name, request_id, at, answer.status))

    async def measure(self, cut: frozenset[str]) -> dict[bool, float]:
        """Return the parts of first tries that are served at the nodes in `cut` and elsewhere."""
        loop = asyncio.get_running_loop()
        began = loop.time() + _CONTACT_SECONDS
        await asyncio.sleep(_CONTACT_SECONDS + _MEASURED_SECONDS)
        ended = loop.time()
        await asyncio.sleep(0.5)
        rates = {}
        for side in (True, False):
            counted = [t for t in self.tries if began <= t.at < ended and (t.node in cut) is side]
            rates[side] = sum(t.status == 200 for t in counted) / len(counted)
        return rates

    async def check(self, *names: str) -> None:
        """Cut some nodes off in each way, and check what is served there meanwhile."""
        rates = {}
        for cut in (Cut.REFUSED, Cut.RESET, Cut.SILENT):
            for name in names:
                self.networks[name].cut(cut)
            rates[cut] = await self.measure(frozenset(names))
            for name in names:
                self.networks[name].cut(Cut.NONE)
            await asyncio.sleep(_HEAL_SECONDS)
        for cut, served in rates.items():
            self.assertGreaterEqual(served[False], 0.95, (cut, rates))
            self.assertGreaterEqual(served[True], _MIN_RATIO * served[False], (cut, rates))

    def check_runs(self) -> None:
        """Check that no request of a kind that may run only once has run twice."""
        ran = Counter(
            ran.request_id
            for worker in self.workers
            for ran in worker.ran
            if ran.target.startswith(("/unsafe", "/verdict"))
        )
        self.assertEqual([name for name, times in ran.items() if times > 1], [])
        refused = {t.request_id for t in self.tries if t.status in (429, 503)}
        self.assertEqual([name for name in refused if name in ran], [])

    async def test_plain_requests_are_served(self) -> None:
        await self.start("plain", ("/safe/1", "/unsafe/1"))
        await self.check("n0", "n1")
        self.check_runs()

    async def test_prompts_are_served_also_where_a_whole_data_centre_is_cut_off(self) -> None:
        await self.start("engines", ("/chat/1", "/verdict/1"))
        await self.check("n0", "n1", "n2")
        self.check_runs()


class TestDuties(FleetCase):
    """The node that comes first for the duty of new weights reaches no engine."""

    async def test_new_weights_are_loaded_by_a_node_that_reaches_engines(self) -> None:
        workers = [
            await self.fleet.worker(Worker(name=f"w{number}", events=4), "engines")
            for number in range(_TARGETS)
        ]
        addresses = self.fleet.addresses.values()
        network = CutNetwork(is_target=lambda address: address in addresses)
        self.addCleanup(network.close)
        await self.fleet.node("n0", network=network)
        for name in ("n1", "n2"):
            await self.fleet.node(name)
        await asyncio.sleep(_SETTLE_SECONDS)
        for cut in (Cut.REFUSED, Cut.SILENT):
            network.cut(cut)
            version = workers[0].version + 1
            self.fleet.store.put("op", "version/m", {"model": "m", "version": version})
            await eventually(
                lambda v=version: all(worker.version == v for worker in workers), _WEIGHTS_SECONDS
            )
            network.cut(Cut.NONE)
            await asyncio.sleep(_HEAL_SECONDS)


class TestStreams(FleetCase):
    """Streams are in progress at a node while all its connections to targets are reset."""

    async def test_streams_that_may_be_resumed_go_on_at_others(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        for number in range(_TARGETS):
            worker = Worker(name=f"w{number}", events=10, pause_seconds=0.1)
            await self.fleet.worker(worker, "engines")
        addresses = self.fleet.addresses.values()
        network = CutNetwork(is_target=lambda address: address in addresses)
        self.addCleanup(network.close)
        node = await self.fleet.node("n0", network=network)
        await self.fleet.node("n1")
        await asyncio.sleep(_SETTLE_SECONDS)

        def begin(group: str, number: int) -> list[asyncio.Future[Answer]]:
            # Without shared parts the prompts are spread over all engines.
            return [
                asyncio.ensure_future(
                    ask(
                        node,
                        "/chat/1",
                        request_id=f"{group}{n}",
                        **prompt(X_Prompt_Prefix=f"{group}{n}:350"),
                    )
                )
                for n in range(number)
            ]

        # Their connections are idle when those of the streams are reset.
        await asyncio.gather(*begin("earlier", 24))
        streams = begin("cut", 8)
        await asyncio.sleep(0.4)
        network.cut(Cut.RESET)
        answers = await asyncio.gather(*streams)
        whole = [a.status == 200 and a.headers.get("whole") == "yes" for a in answers]
        self.assertEqual(whole, [True] * len(answers))
        for answer in answers:
            self.assertEqual(answer.body.count(b"data: token"), 10)


class TestFailureRates(FleetCase):
    """A node learns that its paths to all targets are cut from failed connections."""

    async def test_failures_of_a_path_do_not_count_against_its_targets(self) -> None:
        # Targets with high failure rates are left out, and the others were full.
        for number in range(_TARGETS):
            await self.fleet.worker(Worker(name=f"w{number}", events=4), "engines")
        addresses = self.fleet.addresses.values()
        network = CutNetwork(is_target=lambda address: address in addresses)
        self.addCleanup(network.close)
        node = await self.fleet.node("n0", network=network)
        await self.fleet.node("n1")
        await asyncio.sleep(_SETTLE_SECONDS)
        network.cut(Cut.SILENT)
        views, loop = node.node.views, asyncio.get_running_loop()
        number = 0
        async with asyncio.timeout(_CONTACT_SECONDS):
            while not views.direct_paths.disconnected:
                number += 4
                await asyncio.gather(
                    *(
                        ask(node, "/chat/1", request_id=f"r{number + n}", **prompt())
                        for n in range(4)
                    )
                )
        rates = {name: views.health.share(name, loop.time()) for name in self.fleet.addresses}
        self.assertEqual([name for name, rate in rates.items() if rate >= FAILING_RATE], [])
