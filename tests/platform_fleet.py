"""Run serving nodes against stand-ins of the platform and its targets, in one process."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import NamedTuple
from unittest import mock

from fielddrift_node.serving.node import Dialects, ServingNode
from fielddrift_node.serving.settings import Bounds, NodeSettings
from fielddrift_node.web.client import Client
from fielddrift_platform.callers import PlatformCallers
from fielddrift_platform.entry import PlatformEntry
from fielddrift_platform.store import PlatformStore
from fielddrift_platform.targets import PlatformTargets
from fielddrift_standins.deployment import KEY, Deployment
from fielddrift_standins.fleet import HOST, free_port
from fielddrift_standins.worker import Worker

from .cut_network import CutNetwork

BOUNDS = Bounds(
    drain=2.0,
    grace=1.4,
    retry_ratio=0.2,
    retry_window=10.0,
    retry_slack=20.0,
    handover_pause=0.3,
    weights=10.0,
    entry_cache=5.0,
)
WAIT_SECONDS = 10.0


class Answer(NamedTuple):
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


class Fleet(Deployment):
    """A deployment with serving nodes in this process."""

    def __init__(self) -> None:
        super().__init__()
        self.nodes: list[RunningNode] = []

    async def node(
        self,
        name: str = "node-1",
        *,
        store: str = "",
        data_centre: str = "a",
        bounds: Bounds = BOUNDS,
        network: CutNetwork | None = None,
    ) -> RunningNode:
        """Start a node and wait until it is ready; `store` is another address of the store.

        With `network`, its connections to targets can be cut.
        """
        node = RunningNode(
            name=name,
            fleet=self,
            store=store,
            data_centre=data_centre,
            bounds=bounds,
            network=network,
        )
        self.nodes.append(node)
        await node.start()
        return node

    async def end(self) -> None:
        """Stop the nodes, then everything else."""
        for node in self.nodes:
            await node.stop()
        self.close()


class RunningNode:
    """One node of the fleet."""

    def __init__(
        self,
        *,
        name: str,
        fleet: Fleet,
        store: str = "",
        data_centre: str = "a",
        bounds: Bounds = BOUNDS,
        network: CutNetwork | None = None,
    ) -> None:
        address = [f"{HOST}:{free_port()}" for _ in range(4)]
        self.settings = NodeSettings(
            name=name,
            host=HOST,
            data_centre=data_centre,
            region="r",
            entry=address[0],
            ready=address[1],
            directory=address[2],
            peer=address[3],
            gossip_port=free_port(),
            metrics=f"{HOST}:{free_port()}",
            seeds=(),
            bounds=bounds,
        )
        opener = None if network is None else network.open_connection
        self.client = Client(open_connection=opener)
        self.calls = Client(open_connection=opener)
        self.node = ServingNode(
            settings=self.settings,
            platform=PlatformStore(address=store or fleet.store_address, client=self.calls),
            dialects=Dialects(
                callers=PlatformCallers(),
                targets=PlatformTargets(client=self.calls),
                entry=PlatformEntry(),
            ),
            client=self.client,
            rng=random.Random(name),
        )
        self.stopping = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the node and wait until it reports that it is ready."""
        self.task = asyncio.ensure_future(self.node.run(self.stopping))
        await eventually(self.ready)

    async def ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        try:
            return (await get(self.settings.ready, "/readyz")).status == 200
        except OSError:
            return False

    def may_save(self) -> bool:
        """Return whether the node may let engines save parts in all stores."""
        views = self.node.views
        clock = views.to_engine_clock(asyncio.get_running_loop().time())
        stores = views.store_index.views
        return bool(stores) and all(view.may_save(clock) for view in stores)

    async def stop(self) -> None:
        """Shut the node down gracefully, as a signal does."""
        self.stopping.set()
        if self.task is not None:
            await self.task
        self.calls.close()

    def kill(self) -> None:
        """End the node as a killed process does: it sends nothing, and its connections close."""
        node, task, self.task = self.node, self.task, None
        node._gossip.close()
        for each in [*node._tasks, task]:
            if each is not None:
                each.cancel()
        for server in (
            node._entry_server,
            node._directory_server,
            node._peer_server,
            node._metrics_server,
        ):
            server.stop_accepting()
            server.close()
        node._tunnels.close()
        for client in (self.client, node._peer_client):
            client.close()


async def eventually(check, seconds: float = WAIT_SECONDS) -> None:
    """Wait until `check` returns a true value."""
    async with asyncio.timeout(seconds):
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.01)


async def send_raw(address: str, data: bytes) -> bytes:
    """Send bytes on a new connection; return all bytes received until it is closed."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            return await reader.read()
    except ConnectionResetError:
        return b"(reset)"
    finally:
        writer.close()


def parse(data: bytes) -> Answer:
    """Return the first response in `data`; chunks are joined."""
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    body = rest
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            if length == 0:
                headers["whole"] = "yes"
                break
            body, rest = body + rest[:length], rest[length + 2 :]
    return Answer(int(first.split()[1]) if first.startswith("HTTP") else 0, headers, body)


async def get(address: str, path: str) -> Answer:
    """Send a GET request and return the response."""
    request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    return parse(await send_raw(address, request.encode()))


def request(
    path: str,
    *,
    method: str = "POST",
    request_id: str = "r1",
    key: str = KEY,
    deadline_ms: int = 3000,
    body: bytes = b"ask",
    **headers: str,
) -> bytes:
    """Return a caller's request as bytes."""
    fields = {
        "Host": "fleet.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Credential": key,
        "Connection": "close",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def prompt(**headers: str) -> dict[str, str]:
    """Return the headers of a prompt with two shared parts and one part of its own."""
    parts = "aa:100,bb:200,cc:50"
    return {"X_Model": "m", "X_Token_Usage": "350,10", "X_Prompt_Prefix": parts, **headers}


async def ask(node: RunningNode, path: str, **extra: object) -> Answer:
    """Send a request to a node and return its response."""
    return parse(await send_raw(node.settings.entry, request(path, **extra)))  # type: ignore[arg-type]


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """A test with a fleet of its own."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start()

    async def asyncTearDown(self) -> None:
        await self.fleet.end()

    def tolerate_pauses(self, seconds: float) -> None:
        """Raise timeouts so that a pause of this process up to `seconds` causes no retry."""
        for each in self.fleet.routes:
            # A send without a response times out after twice the route's latency goal.
            each["target-latency-ms"] = round(seconds * 500)
        self.fleet.configure()
        self.tolerate_slow_connects(seconds)

    def tolerate_slow_connects(self, seconds: float) -> None:
        """Raise the timeout of connects so that such a pause lets none of them fail."""
        timeout = "fielddrift_node.serving.target_paths.CONNECT_TIMEOUT_SECONDS"
        connects = mock.patch(timeout, seconds)
        connects.start()
        self.addCleanup(connects.stop)


class TwoTargets(FleetCase):
    """Nodes and two targets of one service; the first one, `speaker`, sends notices."""

    async def start(self, service: str, *, nodes: int = 1, alone: bool = False) -> None:
        """Start the nodes and targets; the second target only if the first is not `alone`."""
        events = 4 if service == "engines" else 0
        self.path = "/chat/1" if events else "/safe/1"
        self.speaker = await self.fleet.worker(Worker(name="speaker", events=events), service)
        self.other: Worker | None = None
        if not alone:
            self.other = await self.fleet.worker(Worker(name="other", events=events), service)
        self.nodes = [await self.fleet.node(f"node-{number}") for number in range(nodes)]
        self.number = 0

    async def ask(self, path: str = "") -> Answer:
        """Send a request to the next node, round robin."""
        path = path or self.path
        self.number += 1
        node = self.nodes[self.number % len(self.nodes)]
        extra = prompt() if path.startswith(("/chat", "/verdict")) else {}
        return await ask(node, path, request_id=f"r{self.number}", **extra)

    async def send_many(self, number: int, seconds: float, path: str = "") -> list[int]:
        """Send `number` requests within `seconds`; return the statuses of the responses."""
        asks = []
        for _ in range(number):
            asks.append(asyncio.ensure_future(self.ask(path)))
            await asyncio.sleep(seconds / number)
        return [answer.status for answer in await asyncio.gather(*asks)]

    async def send_until_received(self, path: str = "") -> None:
        """Send requests, which the other target rejects, until the speaker receives one."""
        before = len(self.speaker.arrivals)
        async with asyncio.timeout(WAIT_SECONDS):
            while len(self.speaker.arrivals) == before:
                if self.other is not None:
                    self.other.faults = ["shed"]
                await self.ask(path)
        if self.other is not None:
            self.other.faults = []
