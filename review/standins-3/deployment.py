"""Play a small deployment around the project's own program: store, workers, nodes, clients.

Only the standard library is used.  All addresses are loopback addresses; ports are free ones.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "fleet.example"
BROKEN = 10
"""The exit code of a case whose rule was broken: no error of the interpreter has it."""
_ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""How a connection that a stand-in serves may end."""


_METRICS_PORT = 9464
"""The port that `deploy/system.toml` names for the figures of a node."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a free TCP port of `host`."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((host, port))
            udp.bind((host, port))
        except OSError:
            return False
        return True


class Ports(NamedTuple):
    """The ports of a node, alike on all nodes; `inner` is the first of sixteen."""

    front: int
    ready: int
    control: int
    directory: int
    inner: int

    @classmethod
    def free_on(cls, hosts: list[str]) -> Ports:
        """Return ports that are free on all `hosts`."""
        if not all(_is_free(host, _METRICS_PORT) for host in hosts):
            raise RuntimeError(f"port {_METRICS_PORT} is in use")
        for _ in range(100):
            base = random.randrange(20_000, 60_000, 20)
            if all(_is_free(host, base + each) for host in hosts for each in range(20)):
                return cls(base + 16, base + 17, base + 18, base + 19, base)
        raise RuntimeError("no free ports")


class Message(NamedTuple):
    """The head of a request or a response, and its body."""

    first: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields, with names in lower case; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return a whole body; raise `IncompleteReadError` if it is cut off."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        chunks = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(chunks)
            chunks.append(data[:-2])
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Record:
    """What was sent, answered and run, as lines of text."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: rows with versions, feeds and transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, str]] = []
        self.version = 0
        self.address = ""
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    async def put(self, table: str, key: str, value: object, *, part: str = "") -> None:
        """Write a row as the operator or a worker does."""
        self._set(table, part, key, json.dumps(value).encode())
        await self._notify()

    async def drop(self, table: str, key: str, *, part: str = "") -> None:
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, part, key), None)
        self.history.append((self.version, table, part, key))
        await self._notify()

    def _set(self, table: str, part: str, key: str, value: bytes) -> None:
        self.version += 1
        self.rows[table, part, key] = value, self.version
        self.history.append((self.version, table, part, key))

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _row(self, table: str, part: str, key: str) -> dict[str, object]:
        found = self.rows.get((table, part, key))
        if found is None:
            return {"table": table, "part": part, "key": key, "ver": 0, "tombstone": True}
        value = base64.b64encode(found[0]).decode()
        return {"table": table, "part": part, "key": key, "value": value, "ver": found[1]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*_ENDS):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                path, _, query = head[0].split()[1].partition("?")
                asked = {name: values[0] for name, values in parse_qs(query).items()}
                status, rows = await self._answer(path, asked, body)
                data = {"rows": rows, "more-pages": False, "ver": self.version}
                data["now-ms"] = time.monotonic() * 1000
                text = json.dumps(data).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, asked: dict[str, str], body: bytes
    ) -> tuple[int, list[dict[str, object]]]:
        if path == "/rows-get":
            table, part, start = asked["table"], asked.get("part", ""), asked.get("from", "")
            keys = sorted(k for t, p, k in self.rows if (t, p) == (table, part) and k >= start)
            return 200, [self._row(table, part, key) for key in keys]
        if path == "/rows-feed":
            return 200, await self._feed(asked)
        if path != "/rows-tx":
            return 404, []
        tx = json.loads(body)
        expected = [(r["table"], r["part"], r["key"], r["ver"]) for r in tx.get("expected", [])]
        if any(self.rows.get((t, p, k), (b"", 0))[1] != ver for t, p, k, ver in expected):
            return 412, [self._row(t, p, k) for t, p, k, _ in expected]
        for row in tx.get("set-keys", []):
            self._set(row["table"], row["part"], row["key"], base64.b64decode(row["value"]))
        for row in tx.get("remove", []):
            await self.drop(row["table"], row["key"], part=row["part"])
        await self._notify()
        return 200, []

    async def _feed(self, asked: dict[str, str]) -> list[dict[str, object]]:
        table, after = asked["table"], int(asked["after"])

        def changed() -> list[tuple[str, str]]:
            found = [(p, k) for v, t, p, k in self.history if v > after and t == table]
            return list(dict.fromkeys(found))

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(asked.get("wait-ms", "0")) / 1000):
                async with self._changed:
                    await self._changed.wait_for(changed)
        return [self._row(table, part, key) for part, key in changed()]


class Work(NamedTuple):
    """A request that a worker began to work on."""

    worker: str
    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    at: float

    @property
    def id(self) -> str:
        return self.fields.get("x-request-id", "")


Behaviour = Callable[["Worker", Work, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """A worker of one service; `behave` answers in its place and returns True if it did."""

    def __init__(
        self,
        name: str,
        service: str,
        runs: list[Work],
        *,
        seconds: float = 0.05,
        events: int = 0,
        behave: Behaviour | None = None,
        host: str = "127.0.0.1",
    ) -> None:
        self.name, self.service, self.runs = name, service, runs
        self.seconds, self.events, self.behave = seconds, events, behave
        self.address = f"{host}:{free_port(host)}"
        self.orders = 0
        self.models = [{"name": "m", "version": 1, "adapters": []}]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's entry in the platform's store."""
        entry = {"service": self.service, "address": self.address, "zone": "a", "version": "v1"}
        entry |= {"slots": 64, "state": state, "cold-left-ms": 0, "seq": 1}
        if self.events:
            entry |= {"stage": "combined", "models": self.models}
        return entry

    def seal(self, work: Work) -> str:
        """Return the worker's signature of its answer."""
        return f"{self.name}.{work.id}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*_ENDS):
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split()
                body = await read_body(reader, head[1])
                work = Work(self.name, method, path, head[1], body, time.monotonic())
                await self.respond(work, writer)
                await writer.drain()
        writer.close()

    async def respond(self, work: Work, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        named = work.fields.get("x-expect-instance", self.name)
        if work.path == "/report":
            text = json.dumps(
                {"stage": "combined", "models": self.models, "busy": False, "seq": self.orders}
                | {"waiting": 0, "running": 0, "kv-used": 0, "kv-total": 40000, "handles": 0}
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
            return
        tail = f"X-Request-Id: {work.id}\r\nX-Instance-Id: {self.name}\r\n"
        if named != self.name:
            writer.write(f"HTTP/1.1 421 X\r\n{tail}Content-Length: 0\r\n\r\n".encode())
            return
        self.runs.append(work)
        if self.behave is not None and await self.behave(self, work, writer):
            return
        if self.events:
            await self.stream(work, writer)
            return
        await asyncio.sleep(self.seconds)
        text = f"{self.name} ran {work.id}".encode()
        head = f"HTTP/1.1 200 OK\r\n{tail}X-Response-Seal: {self.seal(work)}\r\n"
        writer.write(f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text)

    async def stream(self, work: Work, writer: asyncio.StreamWriter) -> None:
        """Answer with events."""
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += f"Transfer-Encoding: chunked\r\nX-Request-Id: {work.id}\r\n"
        head += f"X-Response-Seal: {self.seal(work)}\r\n"
        version = self.models[0]["version"]
        writer.write(f"{head}X-Weight-Versions: {version}\r\n\r\n".encode())
        first = int(work.fields.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.seconds)
            event = f"id: {number}\ndata: {work.id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Node:
    """A process of the project's own program, on a loopback address of its own."""

    def __init__(
        self, host: str, *, zone: str, ports: Ports, seeds: list[str], store: str, folder: Path
    ) -> None:
        self.name = f"front-{zone}-{host.rpartition('.')[2]}"
        self.host = host
        self.front, self.ready = f"{host}:{ports.front}", f"{host}:{ports.ready}"
        self.control, self.directory = f"{host}:{ports.control}", f"{host}:{ports.directory}"
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.settings.write_text(
            f'node-name = "{self.name}"\nrole = "node"\nmachine-class = "front"\n'
            'serves = ["front","directory","control"]\n'
            f'ip = "{self.host}"\nzone = "{zone}"\nregion = "r"\n'
            f"port-range = [{ports.inner},{ports.inner + 15}]\nseeds = {json.dumps(seeds)}\n"
            'bootstrap = true\n[zones]\na = "r"\nb = "r"\nc = "r"\n'
            f'[listen]\nfront = "{self.front}"\nready = "{self.ready}"\n'
            f'control = "{self.control}"\ndirectory = "{self.directory}"\n'
            "[limits]\ncpu-share = 0.537\ncores = 2\nmemory-mb = 300\nmax-fds = 4100\n"
            "link-mbps = 1000.0\ndisk-mb = 0\n"
            "[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\n"
            "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\n"
            "retry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 54\n"
            "lease-ms = 3000\nversion-ms = 10000\nttl_max_s = 5\n"
            f'[platform]\naddress = "{store}"\nform = "table"\n'
        )

    async def start(self) -> None:
        """Start the program with the command of the deploy file."""
        variables = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        variables |= {"FIELDDRIFT_SETTINGS": str(self.settings), "PYTHONPATH": "target/deps"}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "-m", "fielddrift_platform",
                cwd=ROOT, env=variables, stdout=log, stderr=log,
            )  # fmt: skip

    def signal(self, number: int) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def until_ready(self, seconds: float = 10.0) -> bool:
        """Wait until the node says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, EOFError):
                question = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                if (await ask(self.ready, question)).status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    async def end(self) -> int | None:
        """End the process; return the code with which it had ended by itself."""
        if self.process is None:
            return None
        code = self.process.returncode
        if code is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        return code


class Connection:
    """A client's connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 20))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self, seconds: float = 10.0) -> Message:
        """Return the next whole response; raise `EOFError` or `TimeoutError` without one."""
        async with asyncio.timeout(seconds):
            head = await read_head(self.reader)
            if head is None:
                raise EOFError("closed")
            return Message(head[0], head[1], await read_body(self.reader, head[1]))

    def close(self) -> None:
        self.writer.close()


async def ask(address: str, data: bytes, seconds: float = 10.0) -> Message:
    """Send a request on a new connection and return the response."""
    connection = await Connection.open(address)
    try:
        connection.send(data)
        return await connection.answer(seconds)
    finally:
        connection.close()


def request(
    path: str, request_id: str, *, method: str = "POST", body: bytes = b"ask",
    deadline_ms: int = 2500, key: str | None = "key-of-ana", host: str = HOST_NAME,
    **fields: str,
) -> bytes:  # fmt: skip
    """Return a client's request; underscores in the names of fields stand for hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}"]
    lines.append(f"X-Deadline-Ms: {deadline_ms}")
    if key is not None:
        lines.append(f"X-Credential: {key}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


PROMPT = {"X_Model": "m", "X_Token_Usage": "350,10", "X_Prompt_Prefix": "aa:100,bb:200,cc:50"}


def route(name: str, service: str, kind: str, **extra: object) -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        "name": name, "host": HOST_NAME, "path-prefix": f"/{name}/", "kind": kind,
        "timeout-ms": 4000, "target-latency-ms": 200, "priority": 1, "service": service,
        "max-attempts": 2, "allow-anonymous": False, "sticky-sessions": False,
        "gap-aim-ms": 300, "allow-resume": False, **extra,
    }  # fmt: skip


class Site:
    """Store, workers and nodes of a small deployment."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="fielddrift-review-"))
        self.store = Store()
        self.runs: list[Work] = []
        self.workers: dict[str, Worker] = {}
        self.nodes: list[Node] = []
        self.version = 0
        self.routes: list[dict[str, Any]] = [
            route("safe", "app", "safe"),
            route("unsafe", "app", "unsafe"),
            route("open", "app", "unsafe", **{"allow-anonymous": True}),
            route("chat", "llm", "streaming", **{"allow-resume": True}),
            route("verdict", "llm", "streaming", **{"max-attempts": 1}),
        ]
        self.tenants: list[dict[str, Any]] = [
            {"name": "ana", "api-keys": ["key-of-ana"], "priority": 1},
            {"name": "bea", "api-keys": ["key-of-bea"], "priority": 1},
        ]
        engine = {"slots": 64, "kv-capacity": 41564, "kv-token-bytes": 18432, "max-inflight": 12,
                  "link-mbps": 130000.0, "models": [{"name": "m"}]}  # fmt: skip
        self.services: list[dict[str, object]] = [
            {"name": "app", "health-path": "/healthz", "max-conns": 110},
            {"name": "llm", "health-path": "/healthz", "max-conns": 360, "engine": engine},
        ]
        self.limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}  # fmt: skip

    def configuration(self) -> dict[str, Any]:
        """Return what the operator's row holds."""
        return {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": self.limits,
            "tenants": self.tenants,
        }

    async def configure(self) -> None:
        """Write a configuration under the next version."""
        self.version += 1
        await self.store.put("op", "config", self.configuration())

    async def add_worker(self, worker: Worker) -> Worker:
        """Start a worker and write its entry."""
        await worker.start()
        self.workers[worker.name] = worker
        await self.store.put("servers", worker.name, worker.entry())
        return worker

    async def start(self, nodes: int) -> None:
        """Start the store, then nodes until they are ready; workers are there already."""
        await self.store.put("op", "version/m", {"model": "m", "version": 1})
        await self.configure()
        block = random.randrange(1, 250)
        hosts = [f"127.77.{block}.{10 + number}" for number in range(nodes)]
        ports = Ports.free_on(hosts)
        seeds = [f"{host}:{ports.control}" for host in hosts[:3]]
        for number, host in enumerate(hosts):
            zone, store, folder = "abc"[number % 3], self.store.address, self.folder
            node = Node(host, zone=zone, ports=ports, seeds=seeds, store=store, folder=folder)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            if not await node.until_ready():
                raise RuntimeError(f"{node.name} is not ready: {node.log.read_text()[-2000:]}")

    async def end(self) -> None:
        """End all processes."""
        for node in self.nodes:
            code = await node.end()
            if code is not None:
                self.record.write(f"{node.name} had ended by itself with {code}")
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Callable[[bool], Awaitable[bool]], folder: Path) -> None:
    """Play `case`, which is told whether there is trouble and returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await case(trouble)

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else BROKEN)
